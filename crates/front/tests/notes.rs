//! Guards against datagrams that are misread, and against bytes that are none.

use std::net;

use proptest::prelude::*;
use toucanledge_core::{Fingerprint, Incarnation};
use toucanledge_front::{decode_note, encode_note};
use toucanledge_steering::{EvidenceNote, NoteScope, PeerNote, ServerEvidence, ServerId};

fn evidence() -> impl Strategy<Value = EvidenceNote> {
    (
        any::<u64>(),
        0..7_u8,
        any::<u64>(),
        any::<u64>(),
        any::<Option<u128>>(),
    )
        .prop_map(
            |(server, evidence, age_ms, took_ms, request)| EvidenceNote {
                server: ServerId(server),
                evidence: ServerEvidence::from_repr(evidence).unwrap_or(ServerEvidence::Success),
                age_ms,
                took_ms,
                request: request.map(Fingerprint),
            },
        )
}

fn note() -> impl Strategy<Value = PeerNote> {
    let head = (any::<u64>(), any::<u64>(), any::<u64>(), any::<u64>());
    let scope = prop::sample::select(vec![
        NoteScope::Changes,
        NoteScope::Full,
        NoteScope::Relay,
        NoteScope::Greeting,
    ]);
    let flags = (any::<bool>(), any::<bool>(), scope);
    let loads = proptest::collection::vec((any::<u64>(), any::<u32>()), 0..20);
    let evidence = proptest::collection::vec(evidence(), 0..10);
    let peers = proptest::collection::vec((any::<u32>(), any::<u16>()), 0..10);
    (head, flags, loads, evidence, peers).prop_map(|(head, flags, loads, evidence, peers)| {
        PeerNote {
            boot: Incarnation(head.0),
            sequence: head.1,
            domain: head.2,
            revision: head.3,
            reading: flags.0,
            stopping: flags.1,
            scope: flags.2,
            loads: loads
                .into_iter()
                .map(|(server, load)| (ServerId(server), load))
                .collect(),
            evidence,
            peers: peers
                .into_iter()
                .map(|(ip, port)| net::SocketAddr::from((net::Ipv4Addr::from(ip), port)))
                .collect(),
        }
    })
}

proptest! {
    #[test]
    fn a_note_survives_the_wire(note in note()) {
        prop_assert_eq!(decode_note(&encode_note(&note)), Some(note));
    }

    #[test]
    fn bytes_that_are_no_note_are_refused(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        prop_assert_eq!(decode_note(&bytes), None);
    }

    #[test]
    fn a_damaged_note_never_panics(
        note in note(),
        at in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let mut datagram = encode_note(&note);
        let index = at.index(datagram.len());
        datagram[index] = byte;
        let _ = decode_note(&datagram);
        let _ = decode_note(&datagram[..index]);
    }
}

#[test]
fn a_note_with_too_many_entries_is_refused() {
    let note = PeerNote {
        boot: Incarnation(1),
        sequence: 1,
        domain: 1,
        revision: 1,
        reading: false,
        stopping: false,
        scope: NoteScope::Full,
        loads: vec![(ServerId(1), 1); 1_025],
        evidence: Vec::new(),
        peers: Vec::new(),
    };
    assert_eq!(decode_note(&encode_note(&note)), None);
}
