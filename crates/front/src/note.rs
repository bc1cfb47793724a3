//! Datagrams between gateways, in CBOR.

use std::net;

use serde::{Deserialize, Serialize};
use toucanledge_core::{Fingerprint, Incarnation};
use toucanledge_steering::{EvidenceNote, NoteScope, PeerNote, ServerEvidence, ServerId};

/// Version of the format; a gateway ignores other versions.
const NOTE_VERSION: u8 = 1;
/// Entries of a list that a datagram may carry; a longer one is not from a gateway.
const MAX_ENTRIES: usize = 1024;

const FLAG_READING: u8 = 1;
const FLAG_STOPPING: u8 = 2;
const FLAG_FULL: u8 = 4;
const FLAG_RELAY: u8 = 8;
const FLAG_GREETING: u8 = 16;

/// Datagram as it is written; tuples keep field names off the wire.
#[derive(Serialize, Deserialize)]
struct NoteFrame(
    u8,
    u64,
    u64,
    u64,
    u64,
    u8,
    Vec<(u64, u32)>,
    Vec<EvidenceFrame>,
    Vec<net::SocketAddrV4>,
);

#[derive(Serialize, Deserialize)]
struct EvidenceFrame(u64, u8, u64, u64, Option<(u64, u64)>);

impl From<&EvidenceNote> for EvidenceFrame {
    fn from(note: &EvidenceNote) -> Self {
        let request = note.request.map(|request| {
            #[expect(
                clippy::cast_possible_truncation,
                reason = "the two halves of the value"
            )]
            let halves = ((request.0 >> 64) as u64, request.0 as u64);
            halves
        });
        Self(
            note.server.0,
            note.evidence as u8,
            note.age_ms,
            note.took_ms,
            request,
        )
    }
}

impl TryFrom<EvidenceFrame> for EvidenceNote {
    type Error = ();

    fn try_from(frame: EvidenceFrame) -> Result<Self, Self::Error> {
        let EvidenceFrame(server, evidence, age_ms, took_ms, request) = frame;
        Ok(Self {
            server: ServerId(server),
            evidence: ServerEvidence::from_repr(evidence).ok_or(())?,
            age_ms,
            took_ms,
            request: request
                .map(|(high, low)| Fingerprint((u128::from(high) << 64) | u128::from(low))),
        })
    }
}

impl From<&PeerNote> for NoteFrame {
    fn from(note: &PeerNote) -> Self {
        let mut flags = 0;
        if note.reading {
            flags |= FLAG_READING;
        }
        if note.stopping {
            flags |= FLAG_STOPPING;
        }
        flags |= match note.scope {
            NoteScope::Changes => 0,
            NoteScope::Full => FLAG_FULL,
            NoteScope::Relay => FLAG_RELAY,
            NoteScope::Greeting => FLAG_GREETING,
        };
        let peers = note.peers.iter().filter_map(|peer| match peer {
            net::SocketAddr::V4(peer) => Some(*peer),
            net::SocketAddr::V6(_) => None,
        });
        Self(
            NOTE_VERSION,
            note.boot.0,
            note.sequence,
            note.domain,
            note.revision,
            flags,
            note.loads
                .iter()
                .map(|(server, load)| (server.0, *load))
                .collect(),
            note.evidence.iter().map(EvidenceFrame::from).collect(),
            peers.collect(),
        )
    }
}

impl TryFrom<NoteFrame> for PeerNote {
    type Error = ();

    fn try_from(frame: NoteFrame) -> Result<Self, Self::Error> {
        let NoteFrame(version, boot, sequence, domain, revision, flags, loads, evidence, peers) =
            frame;
        let longest = loads.len().max(evidence.len()).max(peers.len());
        if version != NOTE_VERSION || longest > MAX_ENTRIES {
            return Err(());
        }
        let evidence: Result<Vec<EvidenceNote>, ()> =
            evidence.into_iter().map(EvidenceNote::try_from).collect();
        Ok(Self {
            boot: Incarnation(boot),
            sequence,
            domain,
            revision,
            reading: flags & FLAG_READING != 0,
            stopping: flags & FLAG_STOPPING != 0,
            scope: if flags & FLAG_RELAY != 0 {
                NoteScope::Relay
            } else if flags & FLAG_GREETING != 0 {
                NoteScope::Greeting
            } else if flags & FLAG_FULL != 0 {
                NoteScope::Full
            } else {
                NoteScope::Changes
            },
            loads: loads
                .into_iter()
                .map(|(server, load)| (ServerId(server), load))
                .collect(),
            evidence: evidence?,
            peers: peers.into_iter().map(net::SocketAddr::V4).collect(),
        })
    }
}

/// Returns the datagram of a note.
#[must_use]
pub fn encode_note(note: &PeerNote) -> Vec<u8> {
    let mut datagram = Vec::with_capacity(128);
    if let Err(error) = ciborium::into_writer(&NoteFrame::from(note), &mut datagram) {
        log::error!("[peers] encode failed: {error}");
    }
    datagram
}

/// Returns the note of a datagram; `None` when it is not one.
#[must_use]
pub fn decode_note(datagram: &[u8]) -> Option<PeerNote> {
    let frame: NoteFrame = ciborium::from_reader(datagram).ok()?;
    frame.try_into().ok()
}
