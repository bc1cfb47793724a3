//! Limits and timing of heartbeats, shards and crash suspicions.

/// Time between two heartbeats to the same peer.
///
/// Heartbeats of 42 bytes plus 28 bytes of headers, to and from 43 peers, then take 4.6 KB/s,
/// within the limit of 5 KB/s for a gateway. At one heartbeat a second they would take 6 KB/s.
pub const HEARTBEAT_INTERVAL_MS: u64 = 1_300;
/// A peer is reachable while its last heartbeat is no older than this.
pub const HEARTBEAT_TIMEOUT_MS: u64 = 3_000;
/// Largest number of gateways in a cohort; bounds the heartbeat traffic of a gateway.
pub const MAX_COHORT_SIZE: usize = 64;
/// Largest number of unreachable gateways in a heartbeat.
pub const MAX_UNREACHABLE_REPORTED: usize = 8;
/// Largest number of VM list versions in a heartbeat.
pub const MAX_HISTORY_VERSIONS: usize = 16;
/// Time after the last lost backend server until a crash suspicion expires.
pub const SUSPICION_TTL_MS: u64 = 60_000;
/// Largest number of crash suspicions in a heartbeat.
pub const MAX_SUSPICIONS_REPORTED: usize = 4;
/// Largest number of leaving backend servers in a heartbeat.
pub const MAX_LEAVING_REPORTED: usize = 8;
/// Largest number of crash suspicions that are stored.
pub const MAX_SUSPICIONS: usize = 64;
/// Largest number of backend servers in a shard.
pub const MAX_SHARD_SIZE: usize = 16;
/// Largest pool, in backend servers, that is a single shard over all failure domains.
pub const MAX_SINGLE_SHARD_POOL_SIZE: usize = 12;
/// Largest number of gateways that watch the platform.
pub const MAX_PLATFORM_WATCHERS: usize = 3;

/// Time between two events from which the process counts as having been frozen: the shortest time
/// after which this gateway may have become unreachable for a peer.
pub const FREEZE_THRESHOLD_MS: u64 = HEARTBEAT_TIMEOUT_MS - HEARTBEAT_INTERVAL_MS;
/// Time after a freeze in which a received heartbeat may have waited in the socket meanwhile.
pub const STALE_HEARTBEAT_PERIOD_MS: u64 = 200;
/// Time without any heartbeat after a freeze from which a gateway counts as having no peers.
pub const NO_PEERS_TIMEOUT_MS: u64 = 5_000;
/// Time for which the reports of most peers must agree before a gateway changes whether it counts
/// itself as reachable; covers at least one further heartbeat of each peer.
pub const REACHABILITY_HOLD_MS: u64 = 1_500;
/// Largest number of unlisted peers that are stored.
pub const MAX_UNLISTED_PEERS: usize = 64;
/// Time after its last heartbeat until an unlisted peer is removed.
pub const UNLISTED_PEER_TTL_MS: u64 = 60_000;
/// Difference in age up to which two suspicions count as the same loss.
///
/// Without it, the travel time of each heartbeat would make a suspicion younger at every hop, and
/// it would never expire.
pub const LOSS_DEDUP_TOLERANCE_MS: u64 = 1_000;
