//! What the other gateways told.

use std::collections;
use std::net;

use toucanledge_core::{Fingerprint, Incarnation, Millis};

use crate::health::AttemptOutcome;
use crate::row::ServerId;

/// Time in milliseconds without a message after which a peer's load no longer counts.
const PEER_TIMEOUT_MS: u64 = 1_600;
/// Time in milliseconds without a message after which a peer is forgotten.
const PEER_REMOVAL_MS: u64 = 20_000;

/// Identifies a gateway by the address at which its peers reach it.
pub type PeerId = net::SocketAddr;

/// Evidence on a backend server that a peer passes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutcomeReport {
    /// Backend server.
    pub server: ServerId,
    /// What was seen.
    pub outcome: AttemptOutcome,
    /// Milliseconds since it was seen.
    pub age_ms: u64,
    /// Milliseconds that the answer took, for a success.
    pub latency_ms: u64,
    /// Request that the backend server broke off, where that was seen.
    pub crash_request: Option<Fingerprint>,
}

/// How the loads and the evidence of a message are to be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GossipKind {
    /// `loads` names the backend servers at which the sender's requests changed.
    Delta,
    /// `loads` names every backend server at which the sender has requests.
    Snapshot,
    /// The receiver passes the evidence on inside its failure domain.
    Relay,
    /// The sender asks for the names of other gateways.
    Discovery,
}

/// A message of one gateway to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipMessage {
    /// Start of the sender's process.
    pub incarnation: Incarnation,
    /// Number of the message in that process.
    pub sequence: u64,
    /// Hash of the sender's failure domain.
    pub failure_domain_hash: u64,
    /// Revision up to which the sender knows the published facts.
    pub store_revision: u64,
    /// Whether the sender's own reads of the platform succeed.
    pub reads_store: bool,
    /// Whether the sender is stopping.
    pub stopping: bool,
    /// How the receiver is to take loads and evidence.
    pub kind: GossipKind,
    /// Requests of the sender in flight, by backend server.
    pub in_flight: Vec<(ServerId, u32)>,
    /// New evidence.
    pub outcomes: Vec<OutcomeReport>,
    /// Other gateways that the sender heard of late.
    pub known_peers: Vec<PeerId>,
}

/// What is known about one peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerState {
    /// Start of its process.
    pub incarnation: Incarnation,
    /// Number of its last message.
    pub sequence: u64,
    /// Hash of its failure domain.
    pub failure_domain_hash: u64,
    /// When it was last heard.
    pub last_message_at: Millis,
    /// Revision up to which it knows the published facts.
    pub store_revision: u64,
    /// Whether its own reads of the platform succeed.
    pub reads_store: bool,
    /// Whether it is stopping.
    pub stopping: bool,
    in_flight: collections::HashMap<ServerId, u32>,
}

/// Peers of a gateway.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: collections::BTreeMap<PeerId, PeerState>,
    undiscovered: collections::BTreeSet<PeerId>,
}

/// Change of a peer's requests in flight at a backend server: before and after.
type InFlightChange = (ServerId, u32, u32);

impl PeerTable {
    /// Takes a message and returns how the known loads change; `None` for a stale message.
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
                    .map(|(server, load)| (server, load, 0)),
            );
            state.incarnation = message.incarnation;
            state.sequence = 0;
        }
        if message.sequence <= state.sequence {
            // Datagrams may cross; evidence is still news, loads are not.
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
            state.in_flight.retain(|server, load| {
                let keep = listed.contains(server);
                if !keep {
                    changes.push((*server, *load, 0));
                }
                keep
            });
        }
        for (server, load) in &message.in_flight {
            let before = if *load == 0 {
                state.in_flight.remove(server)
            } else {
                state.in_flight.insert(*server, *load)
            };
            let before = before.unwrap_or(0);
            if before != *load {
                changes.push((*server, before, *load));
            }
        }
        Some(changes)
    }

    /// Drops silent peers' loads and forgets peers that are gone.
    pub fn remove_expired(&mut self, now: Millis) -> Vec<InFlightChange> {
        let mut changes = Vec::new();
        self.peers.retain(|_, state| {
            if now.since(state.last_message_at) > PEER_TIMEOUT_MS {
                changes.extend(
                    state
                        .in_flight
                        .drain()
                        .map(|(server, load)| (server, load, 0)),
                );
            }
            now.since(state.last_message_at) <= PEER_REMOVAL_MS
        });
        changes
    }

    /// Returns what a peer has in flight at a backend server.
    #[must_use]
    pub fn in_flight_at(&self, server: ServerId) -> u32 {
        self.peers
            .values()
            .filter_map(|state| state.in_flight.get(&server))
            .sum()
    }

    /// Returns the peers that were heard of late.
    pub fn reachable(&self, now: Millis) -> impl Iterator<Item = (PeerId, &PeerState)> {
        self.peers
            .iter()
            .filter(move |(_, state)| now.since(state.last_message_at) <= PEER_TIMEOUT_MS)
            .map(|(peer, state)| (*peer, state))
    }

    /// Returns whether a peer was heard within some milliseconds.
    #[must_use]
    pub fn reachable_within(&self, peer: PeerId, millis: u64, now: Millis) -> bool {
        self.peers
            .get(&peer)
            .is_some_and(|state| now.since(state.last_message_at) <= millis)
    }

    /// Returns every peer that is remembered, heard of late or not.
    pub fn all(&self) -> impl Iterator<Item = (PeerId, &PeerState)> {
        self.peers.iter().map(|(peer, state)| (*peer, state))
    }

    /// Returns the gateways to name to one that is new: those of its failure domain first.
    ///
    /// Gateways of other domains are heard every few seconds only, so that those heard of late alone
    /// would leave out most.
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

    /// Takes and returns the gateways that only others have spoken of.
    pub fn take_undiscovered(&mut self) -> Vec<PeerId> {
        std::mem::take(&mut self.undiscovered).into_iter().collect()
    }
}
