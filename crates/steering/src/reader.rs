//! Decides which gateways of a failure domain read the store.

use std::collections;

use toucanledge_core::Millis;

use crate::peers::{PeerId, PeerTable};

/// Time without a message after which a reader is replaced; readers send a heartbeat every 200 ms.
const READER_TIMEOUT_MS: u64 = 700;
/// Back-off after the first failed fetch from a reader. It doubles with each further failure.
const FETCH_BACKOFF_MS: u64 = 1_000;
/// Limit of the doublings, so that a reader is followed again within seconds of its recovery.
const MAX_FETCH_DOUBLINGS: u32 = 3;

/// How a gateway gets the store's records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderRole {
    /// It reads and watches the store itself.
    Reader,
    /// It fetches the records from this peer.
    Follower(PeerId),
}

/// Readers from which this gateway could not fetch records.
///
/// A heartbeat shows only that a reader is heard. A reader that hears nothing, or is too slow, serves
/// no records, so its followers must leave it.
#[derive(Clone, Debug, Default)]
pub struct FetchFailures {
    failures: collections::BTreeMap<PeerId, FetchFailure>,
}

#[derive(Clone, Copy, Debug)]
struct FetchFailure {
    count: u32,
    retry_at: Millis,
}

impl FetchFailures {
    /// Records a failed fetch and returns the back-off in milliseconds before the reader is tried
    /// again.
    pub fn record_failure(&mut self, reader: PeerId, now: Millis) -> u64 {
        let failure = self.failures.entry(reader).or_insert(FetchFailure {
            count: 0,
            retry_at: now,
        });
        let backoff_ms = FETCH_BACKOFF_MS << failure.count.min(MAX_FETCH_DOUBLINGS);
        failure.count = failure.count.saturating_add(1);
        failure.retry_at = now + backoff_ms;
        backoff_ms
    }

    /// Records that records were fetched from a reader.
    pub fn record_success(&mut self, reader: PeerId) {
        self.failures.remove(&reader);
    }

    /// Returns whether no back-off is running for a reader.
    #[must_use]
    pub fn may_follow(&self, reader: PeerId, now: Millis) -> bool {
        self.failures
            .get(&reader)
            .is_none_or(|failure| now >= failure.retry_at)
    }

    /// Returns whether the last fetch from a reader failed.
    #[must_use]
    pub fn has_failed(&self, reader: PeerId) -> bool {
        self.failures.contains_key(&reader)
    }

    /// Forgets the readers that are no longer among the peers.
    pub fn retain_known(&mut self, peers: &PeerTable) {
        self.failures.retain(|reader, _| peers.is_known(*reader));
    }
}

/// Decides whether a gateway reads the store or follows a reader of its failure domain.
///
/// Of the gateways whose reads succeed, the one with the lowest address keeps reading and the
/// others follow it. A gateway whose own reads fail follows any reader, so that it gets changes
/// even when the store rejects its calls. A reader from which a fetch failed is not followed until
/// the back-off is over.
#[must_use]
pub fn reader_role(
    own: PeerId,
    reads_store: bool,
    failure_domain_hash: u64,
    peers: &PeerTable,
    failures: &FetchFailures,
    now: Millis,
) -> ReaderRole {
    let reader = peers
        .reachable(now)
        .filter(|(peer, _)| failures.may_follow(*peer, now))
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
