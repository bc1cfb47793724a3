//! Which gateways read the platform for their failure domain.

use toucanledge_core::Millis;

use crate::peers::{PeerId, PeerTable};

/// Time in milliseconds of silence after which a reader is replaced; readers send a heartbeat every
/// 200 ms.
const READER_SILENT_MS: u64 = 700;

/// What a gateway does about the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderDuty {
    /// It reads and watches the platform.
    Read,
    /// It takes the facts from the peer.
    Follow(PeerId),
}

/// Decides whether a gateway reads the platform or follows a peer of its failure domain.
///
/// Of the gateways whose reads succeed, the one with the smallest address goes on and the others
/// follow it. A gateway whose own reads fail follows any of them, so that one that the platform
/// turns away still hears of changes.
#[must_use]
pub fn reader_duty(
    own: PeerId,
    reading: bool,
    domain: u64,
    peers: &PeerTable,
    now: Millis,
) -> ReaderDuty {
    let reader = peers
        .live(now)
        .filter(|(_, state)| state.domain == domain && state.reading && !state.stopping)
        .filter(|(_, state)| now.since(state.heard) <= READER_SILENT_MS)
        .map(|(peer, _)| peer)
        .find(|peer| !reading || *peer < own);
    match reader {
        Some(peer) => ReaderDuty::Follow(peer),
        None => ReaderDuty::Read,
    }
}

/// Returns how many live gateways of the failure domain have a smaller address.
///
/// When a reader is lost, gateways try the platform in this order.
#[must_use]
pub fn reader_rank(own: PeerId, domain: u64, peers: &PeerTable, now: Millis) -> usize {
    peers
        .live(now)
        .filter(|(peer, state)| *peer < own && state.domain == domain && !state.stopping)
        .filter(|(_, state)| now.since(state.heard) <= READER_SILENT_MS)
        .count()
}
