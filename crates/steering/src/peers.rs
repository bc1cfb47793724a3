//! State of the other gateways, as they report it in gossip messages.

use std::collections;
use std::net;

use toucanledge_core::{Fingerprint, Incarnation, Millis};

use crate::health::AttemptOutcome;
use crate::row::ServerId;

/// Time without a message after which a peer is unreachable and its in-flight requests no longer
/// count.
const PEER_TIMEOUT_MS: u64 = 1_600;
/// Time without a message after which a peer is removed.
const PEER_REMOVAL_MS: u64 = 20_000;

/// Identifies a gateway by the address at which its peers reach it.
pub type PeerId = net::SocketAddr;

/// An outcome that a gateway reports to its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutcomeReport {
    /// Backend server of the attempt.
    pub server: ServerId,
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// Milliseconds since the outcome was observed.
    pub age_ms: u64,
    /// Latency of the attempt in milliseconds.
    pub latency_ms: u64,
    /// Request whose connection was lost at the backend server; `None` for other outcomes.
    pub crash_request: Option<Fingerprint>,
}

/// How the receiver handles a gossip message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GossipKind {
    /// `in_flight` lists only the backend servers whose in-flight count changed at the sender.
    Delta,
    /// `in_flight` lists every backend server at which the sender has requests in flight.
    Snapshot,
    /// The receiver passes the outcome reports on inside its failure domain.
    Relay,
    /// The sender asks for the addresses of other gateways.
    Discovery,
}

/// A message that one gateway sends to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipMessage {
    /// Start time of the sender's process.
    pub incarnation: Incarnation,
    /// Sequence number of the message in that process.
    pub sequence: u64,
    /// Hash of the sender's failure domain.
    pub failure_domain_hash: u64,
    /// Newest store revision that the sender knows.
    pub store_revision: u64,
    /// Whether the sender reads the store itself and its reads succeed.
    pub reads_store: bool,
    /// Whether the sender is draining before it stops.
    pub stopping: bool,
    /// How the receiver handles the message.
    pub kind: GossipKind,
    /// In-flight requests of the sender by backend server.
    pub in_flight: Vec<(ServerId, u32)>,
    /// Outcomes that were not reported before.
    pub outcomes: Vec<OutcomeReport>,
    /// Addresses of other gateways that the sender knows.
    pub known_peers: Vec<PeerId>,
}

/// What is known about one peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerState {
    /// Start time of its process.
    pub incarnation: Incarnation,
    /// Sequence number of its newest message.
    pub sequence: u64,
    /// Hash of its failure domain.
    pub failure_domain_hash: u64,
    /// Time of its newest message.
    pub last_message_at: Millis,
    /// Newest store revision that it knows.
    pub store_revision: u64,
    /// Whether it reads the store itself and its reads succeed.
    pub reads_store: bool,
    /// Whether it is draining before it stops.
    pub stopping: bool,
    in_flight: collections::HashMap<ServerId, u32>,
}

/// The peers of a gateway.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: collections::BTreeMap<PeerId, PeerState>,
    undiscovered: collections::BTreeSet<PeerId>,
}

/// Change of a peer's in-flight count at a backend server: count before and after.
type InFlightChange = (ServerId, u32, u32);

impl PeerTable {
    /// Applies a message and returns how the peers' in-flight counts change; `None` for a message
    /// of an earlier process.
    pub fn apply_message(
        &mut self,
        from: PeerId,
        message: &GossipMessage,
        now: Millis,
    ) -> Option<Vec<InFlightChange>> {
        self.undiscovered.remove(&from);
        for peer in &message.known_peers {
            if !self.peers.contains_key(peer) {
                self.undiscovered.insert(*peer);
            }
        }
        let state = self.peers.entry(from).or_insert_with(|| PeerState {
            incarnation: message.incarnation,
            sequence: 0,
            failure_domain_hash: message.failure_domain_hash,
            last_message_at: now,
            store_revision: 0,
            reads_store: false,
            stopping: false,
            in_flight: collections::HashMap::new(),
        });
        if message.incarnation < state.incarnation {
            return None;
        }
        let mut changes = Vec::new();
        if message.incarnation > state.incarnation {
            changes.extend(
                state
                    .in_flight
                    .drain()
                    .map(|(server, count)| (server, count, 0)),
            );
            state.incarnation = message.incarnation;
            state.sequence = 0;
        }
        if message.sequence <= state.sequence {
            // Datagrams may arrive out of order. The outcome reports of an older one are still new,
            // its in-flight counts are not.
            return Some(changes);
        }
        state.sequence = message.sequence;
        state.failure_domain_hash = message.failure_domain_hash;
        state.last_message_at = now;
        state.store_revision = message.store_revision;
        state.reads_store = message.reads_store;
        state.stopping = message.stopping;
        if message.kind == GossipKind::Snapshot {
            let listed: collections::HashSet<ServerId> = message
                .in_flight
                .iter()
                .map(|(server, _)| *server)
                .collect();
            state.in_flight.retain(|server, count| {
                let keep = listed.contains(server);
                if !keep {
                    changes.push((*server, *count, 0));
                }
                keep
            });
        }
        for (server, count) in &message.in_flight {
            let before = if *count == 0 {
                state.in_flight.remove(server)
            } else {
                state.in_flight.insert(*server, *count)
            };
            let before = before.unwrap_or(0);
            if before != *count {
                changes.push((*server, before, *count));
            }
        }
        Some(changes)
    }

    /// Removes the in-flight counts of unreachable peers, and peers without a message for 20 s.
    pub fn remove_expired(&mut self, now: Millis) -> Vec<InFlightChange> {
        let mut changes = Vec::new();
        self.peers.retain(|_, state| {
            if now.since(state.last_message_at) > PEER_TIMEOUT_MS {
                changes.extend(
                    state
                        .in_flight
                        .drain()
                        .map(|(server, count)| (server, count, 0)),
                );
            }
            now.since(state.last_message_at) <= PEER_REMOVAL_MS
        });
        changes
    }

    /// Returns the sum of the peers' in-flight requests at a backend server.
    #[must_use]
    pub fn in_flight_at(&self, server: ServerId) -> u32 {
        self.peers
            .values()
            .filter_map(|state| state.in_flight.get(&server))
            .fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// Returns the reachable peers.
    pub fn reachable(&self, now: Millis) -> impl Iterator<Item = (PeerId, &PeerState)> {
        self.peers
            .iter()
            .filter(move |(_, state)| now.since(state.last_message_at) <= PEER_TIMEOUT_MS)
            .map(|(peer, state)| (*peer, state))
    }

    /// Returns whether a message of a peer arrived within the last `millis` milliseconds.
    #[must_use]
    pub fn reachable_within(&self, peer: PeerId, millis: u64, now: Millis) -> bool {
        self.peers
            .get(&peer)
            .is_some_and(|state| now.since(state.last_message_at) <= millis)
    }

    /// Returns whether a peer is known, reachable or not.
    #[must_use]
    pub fn is_known(&self, peer: PeerId) -> bool {
        self.peers.contains_key(&peer)
    }

    /// Returns all known peers, reachable or not.
    pub fn all(&self) -> impl Iterator<Item = (PeerId, &PeerState)> {
        self.peers.iter().map(|(peer, state)| (*peer, state))
    }

    /// Returns the peers to announce to a gateway that asks for them; those of its own failure
    /// domain come first.
    ///
    /// Gateways of other failure domains send heartbeats only every few seconds, so the reachable
    /// peers alone would leave most of them out.
    #[must_use]
    pub fn peers_to_announce(
        &self,
        recipient: PeerId,
        failure_domain_hash: u64,
        limit: usize,
    ) -> Vec<PeerId> {
        let own = self
            .peers
            .iter()
            .filter(|(_, state)| state.failure_domain_hash == failure_domain_hash);
        let others = self
            .peers
            .iter()
            .filter(|(_, state)| state.failure_domain_hash != failure_domain_hash);
        own.chain(others)
            .map(|(peer, _)| *peer)
            .filter(|peer| *peer != recipient)
            .take(limit)
            .collect()
    }

    /// Returns and clears the gateways that peers announced but that have sent no message here yet.
    pub fn take_undiscovered(&mut self) -> Vec<PeerId> {
        std::mem::take(&mut self.undiscovered).into_iter().collect()
    }
}
