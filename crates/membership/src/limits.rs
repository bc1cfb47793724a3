//! Limits and times of the membership rules.

/// Time between two heartbeats to the same peer.
///
/// Heartbeats of 42 bytes and 28 bytes of headers to and from 43 peers then take 4.6 KB/s, within
/// the 5 KB/s of a gateway; once a second they would take 6 KB/s.
pub const HEARTBEAT_INTERVAL_MS: u64 = 1_300;
/// A peer is heard while its last heartbeat is no older than this.
pub const HEARTBEAT_TIMEOUT_MS: u64 = 3_000;
/// Greatest number of gateways of a cohort; bounds the cost of a gateway.
pub const MAX_COHORT_SIZE: usize = 64;
/// Greatest number of exceptions in a heartbeat.
pub const MAX_UNREACHABLE_REPORTED: usize = 8;
/// Greatest number of VM list versions in a heartbeat.
pub const MAX_HISTORY_VERSIONS: usize = 16;
/// Time after its last loss for which a fingerprint is suspected.
pub const SUSPICION_TTL_MS: u64 = 60_000;
/// Greatest number of crash suspicions in a heartbeat.
pub const MAX_SUSPICIONS_REPORTED: usize = 4;
/// Greatest number of leaving backend servers in a heartbeat.
pub const MAX_LEAVING_REPORTED: usize = 8;
/// Greatest number of crash suspicions remembered.
pub const MAX_SUSPICIONS: usize = 64;
/// Greatest number of backend servers of a shard.
pub const MAX_SHARD_SIZE: usize = 16;
/// Greatest number of backend servers of a pool that is one shard over all failure domains.
pub const MAX_SINGLE_SHARD_POOL_SIZE: usize = 12;
/// Greatest number of gateways that watch the platform.
pub const MAX_PLATFORM_WATCHERS: usize = 3;

/// Pause between two events after which the process counts as frozen: the shortest pause after
/// which a peer may have stopped hearing this gateway.
pub const FREEZE_THRESHOLD_MS: u64 = HEARTBEAT_TIMEOUT_MS - HEARTBEAT_INTERVAL_MS;
/// Time after a wake in which a heartbeat may have waited in the socket during the freeze.
pub const STALE_HEARTBEAT_PERIOD_MS: u64 = 200;
/// Time without any heartbeat after a wake from which a gateway counts as alone.
pub const NO_PEERS_TIMEOUT_MS: u64 = 5_000;
/// Time for which most peers must agree before a gateway changes its mind about being heard;
/// covers at least one further heartbeat of each peer.
pub const REACHABILITY_HOLD_MS: u64 = 1_500;
/// Greatest number of heartbeat senders outside the cohort that are remembered.
pub const MAX_UNLISTED_PEERS: usize = 64;
/// Time after which an unheard sender outside the cohort is forgotten.
pub const UNLISTED_PEER_TTL_MS: u64 = 60_000;
/// Difference in age below which two suspicions are the same loss. Without it, the time that each
/// heartbeat travels would make a suspicion younger at every hop, and it would never expire.
pub const LOSS_DEDUP_TOLERANCE_MS: u64 = 1_000;
