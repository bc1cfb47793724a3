//! Decides which gateways of a failure domain read the store.

use toucanledge_core::Millis;

use crate::peers::{PeerId, PeerTable};

/// Time without a message after which a reader is replaced; readers send a heartbeat every 200 ms.
const READER_TIMEOUT_MS: u64 = 700;

/// How a gateway gets the store's records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderRole {
    /// It reads and watches the store itself.
    Reader,
    /// It fetches the records from this peer.
    Follower(PeerId),
}

/// Decides whether a gateway reads the store or follows a reader of its failure domain.
///
/// Of the gateways whose reads succeed, the one with the lowest address keeps reading and the
/// others follow it. A gateway whose own reads fail follows any reader, so that it gets changes
/// even when the store rejects its calls.
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

/// Returns the gateway's position, by address, among the reachable gateways of its failure domain.
///
/// When the reader is lost, gateways try to read the store in this order.
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
