//! What the other gateways told.

use std::collections;
use std::net;

use toucanledge_core::{Fingerprint, Incarnation, Millis};

use crate::health::ServerEvidence;
use crate::row::ServerId;

/// Time in milliseconds without a message after which a peer's load no longer counts.
const SILENT_MS: u64 = 1_600;
/// Time in milliseconds without a message after which a peer is forgotten.
const FORGET_MS: u64 = 20_000;

/// Identifies a gateway by the address at which its peers reach it.
pub type PeerId = net::SocketAddr;

/// Evidence on a backend server that a peer passes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvidenceNote {
    /// Backend server.
    pub server: ServerId,
    /// What was seen.
    pub evidence: ServerEvidence,
    /// Milliseconds since it was seen.
    pub age_ms: u64,
    /// Milliseconds that the answer took, for a success.
    pub took_ms: u64,
    /// Request that the backend server broke off, where that was seen.
    pub request: Option<Fingerprint>,
}

/// How the loads and the evidence of a message are to be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoteScope {
    /// `loads` names the backend servers at which the sender's requests changed.
    Changes,
    /// `loads` names every backend server at which the sender has requests.
    Full,
    /// The receiver passes the evidence on inside its failure domain.
    Relay,
    /// The sender asks for the names of other gateways.
    Greeting,
}

/// A message of one gateway to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerNote {
    /// Start of the sender's process.
    pub boot: Incarnation,
    /// Number of the message in that process.
    pub sequence: u64,
    /// Hash of the sender's failure domain.
    pub domain: u64,
    /// Revision up to which the sender knows the published facts.
    pub revision: u64,
    /// Whether the sender's own reads of the platform succeed.
    pub reading: bool,
    /// Whether the sender is stopping.
    pub stopping: bool,
    /// How the receiver is to take loads and evidence.
    pub scope: NoteScope,
    /// Requests of the sender in flight, by backend server.
    pub loads: Vec<(ServerId, u32)>,
    /// New evidence.
    pub evidence: Vec<EvidenceNote>,
    /// Other gateways that the sender heard of late.
    pub peers: Vec<PeerId>,
}

/// What is known about one peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerState {
    /// Start of its process.
    pub boot: Incarnation,
    /// Number of its last message.
    pub sequence: u64,
    /// Hash of its failure domain.
    pub domain: u64,
    /// When it was last heard.
    pub heard: Millis,
    /// Revision up to which it knows the published facts.
    pub revision: u64,
    /// Whether its own reads of the platform succeed.
    pub reading: bool,
    /// Whether it is stopping.
    pub stopping: bool,
    loads: collections::HashMap<ServerId, u32>,
}

/// Peers of a gateway.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: collections::BTreeMap<PeerId, PeerState>,
    rumours: collections::BTreeSet<PeerId>,
}

/// Change of a peer's requests in flight at a backend server: before and after.
type LoadShift = (ServerId, u32, u32);

impl PeerTable {
    /// Takes a message and returns how the known loads change; `None` for a stale message.
    pub fn hear(&mut self, from: PeerId, note: &PeerNote, now: Millis) -> Option<Vec<LoadShift>> {
        self.rumours.remove(&from);
        for peer in &note.peers {
            if !self.peers.contains_key(peer) {
                self.rumours.insert(*peer);
            }
        }
        let state = self.peers.entry(from).or_insert_with(|| PeerState {
            boot: note.boot,
            sequence: 0,
            domain: note.domain,
            heard: now,
            revision: 0,
            reading: false,
            stopping: false,
            loads: collections::HashMap::new(),
        });
        if note.boot < state.boot {
            return None;
        }
        let mut shifts = Vec::new();
        if note.boot > state.boot {
            shifts.extend(state.loads.drain().map(|(server, load)| (server, load, 0)));
            state.boot = note.boot;
            state.sequence = 0;
        }
        if note.sequence <= state.sequence {
            // Datagrams may cross; evidence is still news, loads are not.
            return Some(shifts);
        }
        state.sequence = note.sequence;
        state.domain = note.domain;
        state.heard = now;
        state.revision = note.revision;
        state.reading = note.reading;
        state.stopping = note.stopping;
        if note.scope == NoteScope::Full {
            let named: collections::HashSet<ServerId> =
                note.loads.iter().map(|(server, _)| *server).collect();
            state.loads.retain(|server, load| {
                let keep = named.contains(server);
                if !keep {
                    shifts.push((*server, *load, 0));
                }
                keep
            });
        }
        for (server, load) in &note.loads {
            let before = if *load == 0 {
                state.loads.remove(server)
            } else {
                state.loads.insert(*server, *load)
            };
            let before = before.unwrap_or(0);
            if before != *load {
                shifts.push((*server, before, *load));
            }
        }
        Some(shifts)
    }

    /// Drops silent peers' loads and forgets peers that are gone.
    pub fn expire(&mut self, now: Millis) -> Vec<LoadShift> {
        let mut shifts = Vec::new();
        self.peers.retain(|_, state| {
            if now.since(state.heard) > SILENT_MS {
                shifts.extend(state.loads.drain().map(|(server, load)| (server, load, 0)));
            }
            now.since(state.heard) <= FORGET_MS
        });
        shifts
    }

    /// Returns what a peer has in flight at a backend server.
    #[must_use]
    pub fn load_at(&self, server: ServerId) -> u32 {
        self.peers
            .values()
            .filter_map(|state| state.loads.get(&server))
            .sum()
    }

    /// Returns the peers that were heard of late.
    pub fn live(&self, now: Millis) -> impl Iterator<Item = (PeerId, &PeerState)> {
        self.peers
            .iter()
            .filter(move |(_, state)| now.since(state.heard) <= SILENT_MS)
            .map(|(peer, state)| (*peer, state))
    }

    /// Returns whether a peer was heard within some milliseconds.
    #[must_use]
    pub fn heard_within(&self, peer: PeerId, millis: u64, now: Millis) -> bool {
        self.peers
            .get(&peer)
            .is_some_and(|state| now.since(state.heard) <= millis)
    }

    /// Returns every peer that is remembered, heard of late or not.
    pub fn known(&self) -> impl Iterator<Item = (PeerId, &PeerState)> {
        self.peers.iter().map(|(peer, state)| (*peer, state))
    }

    /// Returns the gateways to name to one that is new: those of its failure domain first.
    ///
    /// Gateways of other domains are heard every few seconds only, so that those heard of late alone
    /// would leave out most.
    #[must_use]
    pub fn names_for(&self, newcomer: PeerId, domain: u64, most: usize) -> Vec<PeerId> {
        let own = self
            .peers
            .iter()
            .filter(|(_, state)| state.domain == domain);
        let others = self
            .peers
            .iter()
            .filter(|(_, state)| state.domain != domain);
        own.chain(others)
            .map(|(peer, _)| *peer)
            .filter(|peer| *peer != newcomer)
            .take(most)
            .collect()
    }

    /// Takes and returns the gateways that only others have spoken of.
    pub fn take_rumours(&mut self) -> Vec<PeerId> {
        std::mem::take(&mut self.rumours).into_iter().collect()
    }
}
