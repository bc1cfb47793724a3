//! Which gateways read the platform for their failure domain.

use toucanledge_core::Millis;

use crate::peers::{PeerId, PeerTable};

/// Readers in each failure domain; one is enough while it succeeds, since another takes over.
const READERS: usize = 1;

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
/// The peer with the smallest address whose own reads succeed is followed. A gateway without such a
/// peer reads by itself.
#[must_use]
pub fn reader_duty(own: PeerId, domain: u64, peers: &PeerTable, now: Millis) -> ReaderDuty {
    let reading = peers
        .live(now)
        .filter(|(_, state)| state.domain == domain && state.reading && !state.stopping)
        .map(|(peer, _)| peer)
        .filter(|peer| *peer < own)
        .take(READERS)
        .last();
    match reading {
        Some(peer) => ReaderDuty::Follow(peer),
        None => ReaderDuty::Read,
    }
}
