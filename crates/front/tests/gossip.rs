//! Guards against gossip messages that are decoded wrongly, and against other bytes that are
//! accepted.

use std::net;

use proptest::prelude::*;
use toucanledge_core::{Fingerprint, Incarnation};
use toucanledge_front::{decode_message, encode_message};
use toucanledge_steering::{AttemptOutcome, GossipKind, GossipMessage, OutcomeReport, ServerId};

fn any_report() -> impl Strategy<Value = OutcomeReport> {
    (
        any::<u64>(),
        0..7_u8,
        any::<u64>(),
        any::<u64>(),
        any::<Option<u128>>(),
    )
        .prop_map(
            |(server, outcome, age_ms, latency_ms, request)| OutcomeReport {
                server: ServerId(server),
                outcome: AttemptOutcome::from_repr(outcome).unwrap_or(AttemptOutcome::Success),
                age_ms,
                latency_ms,
                crash_request: request.map(Fingerprint),
            },
        )
}

fn any_message() -> impl Strategy<Value = GossipMessage> {
    let head = (any::<u64>(), any::<u64>(), any::<u64>(), any::<u64>());
    let kind = prop::sample::select(vec![
        GossipKind::Delta,
        GossipKind::Snapshot,
        GossipKind::Relay,
        GossipKind::Discovery,
    ]);
    let flags = (any::<bool>(), any::<bool>(), kind);
    let in_flight = proptest::collection::vec((any::<u64>(), any::<u32>()), 0..20);
    let outcomes = proptest::collection::vec(any_report(), 0..10);
    let peers = proptest::collection::vec((any::<u32>(), any::<u16>()), 0..10);
    (head, flags, in_flight, outcomes, peers).prop_map(
        |(head, flags, in_flight, outcomes, peers)| GossipMessage {
            incarnation: Incarnation(head.0),
            sequence: head.1,
            failure_domain_hash: head.2,
            store_revision: head.3,
            reads_store: flags.0,
            stopping: flags.1,
            kind: flags.2,
            in_flight: in_flight
                .into_iter()
                .map(|(server, count)| (ServerId(server), count))
                .collect(),
            outcomes,
            known_peers: peers
                .into_iter()
                .map(|(ip, port)| net::SocketAddr::from((net::Ipv4Addr::from(ip), port)))
                .collect(),
        },
    )
}

proptest! {
    #[test]
    fn a_message_round_trips(message in any_message()) {
        prop_assert_eq!(decode_message(&encode_message(&message)), Some(message));
    }

    #[test]
    fn invalid_bytes_are_not_decoded(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        prop_assert_eq!(decode_message(&bytes), None);
    }

    #[test]
    fn a_damaged_message_never_panics(
        message in any_message(),
        position in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let mut datagram = encode_message(&message);
        let index = position.index(datagram.len());
        datagram[index] = byte;
        let _ = decode_message(&datagram);
        let _ = decode_message(&datagram[..index]);
    }
}

#[test]
fn a_message_with_too_many_entries_is_not_decoded() {
    let message = GossipMessage {
        incarnation: Incarnation(1),
        sequence: 1,
        failure_domain_hash: 1,
        store_revision: 1,
        reads_store: false,
        stopping: false,
        kind: GossipKind::Snapshot,
        in_flight: vec![(ServerId(1), 1); 1_025],
        outcomes: Vec::new(),
        known_peers: Vec::new(),
    };
    assert_eq!(decode_message(&encode_message(&message)), None);
}
