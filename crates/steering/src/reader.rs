//! Which gateways read the platform for their failure domain.

use toucanledge_core::Millis;

use crate::peers::{PeerId, PeerTable};

/// Time in milliseconds of silence after which a reader is replaced; readers send a heartbeat every
/// 200 ms.
const READER_TIMEOUT_MS: u64 = 700;

/// What a gateway does about the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderRole {
    /// It reads and watches the platform.
    Reader,
    /// It takes the facts from the peer.
    Follower(PeerId),
}

/// Decides whether a gateway reads the platform or follows a peer of its failure domain.
///
/// Of the gateways whose reads succeed, the one with the smallest address goes on and the others
/// follow it. A gateway whose own reads fail follows any of them, so that one that the platform
/// turns away still hears of changes.
#[must_use]
pub fn reader_role(
    own: PeerId,
    reads_store: bool,
    failure_domain_hash: u64,
    peers: &PeerTable,
    now: Millis,
) -> ReaderRole {
    let reader = peers
        .reachable(now)
        .filter(|(_, state)| {
            state.failure_domain_hash == failure_domain_hash && state.reads_store && !state.stopping
        })
        .filter(|(_, state)| now.since(state.last_message_at) <= READER_TIMEOUT_MS)
        .map(|(peer, _)| peer)
        .find(|peer| !reads_store || *peer < own);
    match reader {
        Some(peer) => ReaderRole::Follower(peer),
        None => ReaderRole::Reader,
    }
}

/// Returns how many live gateways of the failure domain have a smaller address.
///
/// When a reader is lost, gateways try the platform in this order.
#[must_use]
pub fn takeover_rank(
    own: PeerId,
    failure_domain_hash: u64,
    peers: &PeerTable,
    now: Millis,
) -> usize {
    peers
        .reachable(now)
        .filter(|(peer, state)| {
            *peer < own && state.failure_domain_hash == failure_domain_hash && !state.stopping
        })
        .filter(|(_, state)| now.since(state.last_message_at) <= READER_TIMEOUT_MS)
        .count()
}
