//! Encoding of gossip messages as CBOR datagrams.
//!
//! The module keeps its name because log filters use its path.

use std::net;

use serde::{Deserialize, Serialize};
use toucanledge_core::{Fingerprint, Incarnation};
use toucanledge_steering::{AttemptOutcome, GossipKind, GossipMessage, OutcomeReport, ServerId};

/// Version of the format; a gateway ignores datagrams of other versions.
const FORMAT_VERSION: u8 = 1;
/// Limit of entries per list; a datagram with a longer list was not sent by a gateway.
const MAX_ENTRIES: usize = 1024;

const FLAG_READS_STORE: u8 = 1;
const FLAG_STOPPING: u8 = 2;
const FLAG_SNAPSHOT: u8 = 4;
const FLAG_RELAY: u8 = 8;
const FLAG_DISCOVERY: u8 = 16;

/// Wire format of a gossip message; a tuple, so that no field names are sent.
#[derive(Serialize, Deserialize)]
struct GossipFrame(
    u8,
    u64,
    u64,
    u64,
    u64,
    u8,
    Vec<(u64, u32)>,
    Vec<OutcomeFrame>,
    Vec<net::SocketAddrV4>,
);

#[derive(Serialize, Deserialize)]
struct OutcomeFrame(u64, u8, u64, u64, Option<(u64, u64)>);

impl From<&OutcomeReport> for OutcomeFrame {
    fn from(report: &OutcomeReport) -> Self {
        let request = report.crash_request.map(|request| {
            #[expect(
                clippy::cast_possible_truncation,
                reason = "the two halves of the value"
            )]
            let halves = ((request.0 >> 64) as u64, request.0 as u64);
            halves
        });
        Self(
            report.server.0,
            report.outcome as u8,
            report.age_ms,
            report.latency_ms,
            request,
        )
    }
}

impl TryFrom<OutcomeFrame> for OutcomeReport {
    type Error = ();

    fn try_from(frame: OutcomeFrame) -> Result<Self, Self::Error> {
        let OutcomeFrame(server, outcome, age_ms, latency_ms, request) = frame;
        Ok(Self {
            server: ServerId(server),
            outcome: AttemptOutcome::from_repr(outcome).ok_or(())?,
            age_ms,
            latency_ms,
            crash_request: request
                .map(|(high, low)| Fingerprint((u128::from(high) << 64) | u128::from(low))),
        })
    }
}

impl From<&GossipMessage> for GossipFrame {
    fn from(message: &GossipMessage) -> Self {
        let mut flags = 0;
        if message.reads_store {
            flags |= FLAG_READS_STORE;
        }
        if message.stopping {
            flags |= FLAG_STOPPING;
        }
        flags |= match message.kind {
            GossipKind::Delta => 0,
            GossipKind::Snapshot => FLAG_SNAPSHOT,
            GossipKind::Relay => FLAG_RELAY,
            GossipKind::Discovery => FLAG_DISCOVERY,
        };
        let peers = message.known_peers.iter().filter_map(|peer| match peer {
            net::SocketAddr::V4(peer) => Some(*peer),
            net::SocketAddr::V6(_) => None,
        });
        Self(
            FORMAT_VERSION,
            message.incarnation.0,
            message.sequence,
            message.failure_domain_hash,
            message.store_revision,
            flags,
            message
                .in_flight
                .iter()
                .map(|(server, count)| (server.0, *count))
                .collect(),
            message.outcomes.iter().map(OutcomeFrame::from).collect(),
            peers.collect(),
        )
    }
}

impl TryFrom<GossipFrame> for GossipMessage {
    type Error = ();

    fn try_from(frame: GossipFrame) -> Result<Self, Self::Error> {
        let GossipFrame(
            version,
            incarnation,
            sequence,
            failure_domain_hash,
            store_revision,
            flags,
            in_flight,
            outcomes,
            peers,
        ) = frame;
        let longest = in_flight.len().max(outcomes.len()).max(peers.len());
        if version != FORMAT_VERSION || longest > MAX_ENTRIES {
            return Err(());
        }
        let outcomes: Result<Vec<OutcomeReport>, ()> =
            outcomes.into_iter().map(OutcomeReport::try_from).collect();
        Ok(Self {
            incarnation: Incarnation(incarnation),
            sequence,
            failure_domain_hash,
            store_revision,
            reads_store: flags & FLAG_READS_STORE != 0,
            stopping: flags & FLAG_STOPPING != 0,
            kind: if flags & FLAG_RELAY != 0 {
                GossipKind::Relay
            } else if flags & FLAG_DISCOVERY != 0 {
                GossipKind::Discovery
            } else if flags & FLAG_SNAPSHOT != 0 {
                GossipKind::Snapshot
            } else {
                GossipKind::Delta
            },
            in_flight: in_flight
                .into_iter()
                .map(|(server, count)| (ServerId(server), count))
                .collect(),
            outcomes: outcomes?,
            known_peers: peers.into_iter().map(net::SocketAddr::V4).collect(),
        })
    }
}

/// Encodes a gossip message as a datagram.
#[must_use]
pub fn encode_message(message: &GossipMessage) -> Vec<u8> {
    let mut datagram = Vec::with_capacity(128);
    if let Err(error) = ciborium::into_writer(&GossipFrame::from(message), &mut datagram) {
        log::error!("[peers] message could not be encoded: {error}");
    }
    datagram
}

/// Decodes a datagram; `None` if it is no valid gossip message.
#[must_use]
pub fn decode_message(datagram: &[u8]) -> Option<GossipMessage> {
    let frame: GossipFrame = ciborium::from_reader(datagram).ok()?;
    frame.try_into().ok()
}
