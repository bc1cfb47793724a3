//! Codec: round trips, limits and invalid input.

use std::collections;

use bytes::Bytes;
use proptest::prelude::*;
use strum::{EnumCount, IntoEnumIterator};
use toucanledge_claims::{AttemptId, ClaimKey, ClaimOutcome, ClaimRecord, StoredResponse};
use toucanledge_core::{Fingerprint, Incarnation, ListVersion, Millis, TableRevision, VmId};
use toucanledge_membership::{CrashSuspicion, GatewayState, Heartbeat};
use toucanledge_wire::{
    MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, MAX_STORED_BODY_BYTES, MessageKind, PeerMessage,
    WireError, decode, decode_heartbeat, encode, encode_heartbeat,
};

use crate::strategies;

fn outcome_record(body: usize) -> PeerMessage {
    PeerMessage::ClaimRecord(ClaimRecord {
        key: ClaimKey(7),
        attempt: AttemptId {
            gateway: VmId(1),
            incarnation: Incarnation(1_796_000_000_000),
            counter: 3,
        },
        outcome: ClaimOutcome::Ran(StoredResponse {
            status: 200,
            headers: vec![("content-type".to_owned(), b"text/plain".to_vec())],
            body: Bytes::from(vec![0xa5; body]),
        }),
    })
}

fn typical_heartbeat() -> Heartbeat {
    Heartbeat {
        from: VmId(40),
        incarnation: Incarnation(1_796_000_000_000),
        state: GatewayState::Live,
        established: true,
        list_version: ListVersion(40_000),
        history: (39_996..=40_000).map(ListVersion).collect(),
        table_revision: TableRevision(70_000),
        sent_at: Millis(86_400_000 * 30),
        echo: Some(Millis(86_400_000 * 30)),
        unreachable: vec![VmId(70_001), VmId(70_002)],
        suspicions: vec![CrashSuspicion {
            fingerprint: Fingerprint(u128::MAX),
            lost_backends: 1,
            age_ms: 60_000,
        }],
        leaving: Vec::new(),
    }
}

fn full_heartbeat() -> Heartbeat {
    let suspicion = CrashSuspicion {
        fingerprint: Fingerprint(u128::MAX),
        lost_backends: u8::MAX,
        age_ms: u32::MAX,
    };
    Heartbeat {
        from: VmId(u32::MAX),
        incarnation: Incarnation(u64::MAX),
        list_version: ListVersion(u64::MAX),
        history: vec![ListVersion(u64::MAX); 16],
        table_revision: TableRevision(u64::MAX),
        sent_at: Millis(u64::MAX),
        echo: Some(Millis(u64::MAX)),
        unreachable: vec![VmId(u32::MAX); 8],
        suspicions: vec![suspicion; 4],
        leaving: vec![VmId(u32::MAX); 8],
        ..typical_heartbeat()
    }
}

proptest! {
    /// Guards against a field that is lost, swapped or truncated in the wire format.
    #[test]
    fn every_message_round_trips(message in strategies::message()) {
        let frame = encode(&message).unwrap();
        prop_assert_eq!(decode(&frame).unwrap(), message);
    }

    /// Guards against a heartbeat field that is lost, and against datagrams above the size limit.
    #[test]
    fn every_heartbeat_round_trips(heartbeat in strategies::heartbeat()) {
        let datagram = encode_heartbeat(&heartbeat).unwrap();
        prop_assert!(datagram.len() <= MAX_DATAGRAM_BYTES);
        prop_assert_eq!(decode_heartbeat(&datagram).unwrap(), heartbeat);
    }

    /// Guards against a panic on arbitrary bytes from the network.
    #[test]
    fn any_bytes_are_decoded_or_refused(
        bytes in prop::collection::vec(any::<u8>(), 0..2_000),
    ) {
        let _ = decode(&bytes);
        let _ = decode_heartbeat(&bytes);
    }

    /// Guards against a panic on messages that are valid except for a few bytes.
    #[test]
    fn damaged_messages_are_decoded_or_refused(
        message in strategies::message(),
        heartbeat in strategies::heartbeat(),
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..4),
        length in any::<prop::sample::Index>(),
    ) {
        for valid in [encode(&message).unwrap(), encode_heartbeat(&heartbeat).unwrap()] {
            let mut bytes = valid.to_vec();
            for (index, value) in &changes {
                let position = index.index(bytes.len());
                bytes[position] = *value;
            }
            let _ = decode(&bytes);
            let _ = decode_heartbeat(&bytes);
            let _ = decode(&valid[..length.index(valid.len())]);
            let _ = decode_heartbeat(&valid[..length.index(valid.len())]);
        }
    }

    /// Guards against a second message that is hidden after the first.
    #[test]
    fn trailing_bytes_are_refused(message in strategies::message(), extra in any::<u8>()) {
        let mut bytes = encode(&message).unwrap().to_vec();
        bytes.push(extra);
        prop_assert!(decode(&bytes).is_err());
    }

    /// Guards against a truncated message that is accepted.
    #[test]
    fn truncated_messages_are_refused(
        message in strategies::message(),
        length in any::<prop::sample::Index>(),
    ) {
        let bytes = encode(&message).unwrap();
        prop_assert!(decode(&bytes[..length.index(bytes.len())]).is_err());
    }
}

/// Guards against a stack overflow on nested arrays, maps and tags.
#[test]
fn deep_nesting_is_refused() {
    for byte in [0x81, 0x9f, 0xa1, 0xbf, 0xc1, 0xd8] {
        let frame = vec![byte; MAX_FRAME_BYTES];
        assert!(decode(&frame).is_err(), "frame of bytes {byte:#x} accepted");
        assert!(decode_heartbeat(&frame[..MAX_DATAGRAM_BYTES]).is_err());
    }
    let mut unknown_variant = vec![0xa1, 0x61, b'x'];
    unknown_variant.resize(MAX_FRAME_BYTES, 0x81);
    assert!(decode(&unknown_variant).is_err());
}

/// Guards against frames and datagrams above the size limit in either direction.
#[test]
fn oversized_messages_are_refused() {
    let report = decode(&vec![0; MAX_FRAME_BYTES + 1]).unwrap_err();
    assert_eq!(*report.current_context(), WireError::TooLarge);
    let report = decode_heartbeat(&[0; MAX_DATAGRAM_BYTES + 1]).unwrap_err();
    assert_eq!(*report.current_context(), WireError::TooLarge);
    let table = PeerMessage::TableReply {
        revision: TableRevision(1),
        head: "x".repeat(MAX_FRAME_BYTES),
        parts: Vec::new(),
    };
    let report = encode(&table).unwrap_err();
    assert_eq!(*report.current_context(), WireError::TooLarge);
}

/// Guards against a message that the peer refuses, which would close the link.
#[test]
fn lengths_are_checked_before_sending() {
    assert!(encode(&outcome_record(MAX_STORED_BODY_BYTES)).is_ok());
    let report = encode(&outcome_record(MAX_STORED_BODY_BYTES + 1)).unwrap_err();
    assert_eq!(*report.current_context(), WireError::BadValue);
    let mut heartbeat = full_heartbeat();
    heartbeat.unreachable.push(VmId(1));
    let report = encode_heartbeat(&heartbeat).unwrap_err();
    assert_eq!(*report.current_context(), WireError::BadValue);
}

/// Replaces one element of an encoded heartbeat and decodes the result.
fn decode_patched(element: usize, value: ciborium::Value) -> Result<Heartbeat, WireError> {
    let datagram = encode_heartbeat(&full_heartbeat()).unwrap();
    let mut wire: ciborium::Value = ciborium::from_reader(&datagram[..]).unwrap();
    wire.as_array_mut().unwrap()[element] = value;
    let mut patched = Vec::new();
    ciborium::into_writer(&wire, &mut patched).unwrap();
    decode_heartbeat(&patched).map_err(|report| *report.current_context())
}

/// Guards against values from a peer that this gateway would refuse to send.
#[test]
fn values_out_of_range_are_refused_on_receipt() {
    let list = |length: u64| ciborium::Value::Array((0..length).map(Into::into).collect());
    let (version, flags, history, unreachable) = (0, 3, 5, 9);
    assert!(decode_patched(history, list(16)).is_ok());
    assert!(decode_patched(unreachable, list(8)).is_ok());
    for (element, value) in [
        (version, 2.into()),
        (flags, 4.into()),
        (history, list(17)),
        (unreachable, list(9)),
    ] {
        let result = decode_patched(element, value);
        assert_eq!(result, Err(WireError::BadValue), "element {element}");
    }
    let frame = |name: &str, value: ciborium::Value| {
        let message = ciborium::Value::Map(vec![(name.into(), value)]);
        let mut bytes = Vec::new();
        ciborium::into_writer(&message, &mut bytes).unwrap();
        decode(&bytes).map_err(|report| *report.current_context())
    };
    assert!(frame("la", list(16)).is_ok());
    let report = |outcome: u8| {
        let shard = ciborium::Value::Array(vec![1.into(), 2.into(), 3.into()]);
        let report = vec![9.into(), outcome.into(), 5.into(), false.into()];
        ciborium::Value::Array(vec![shard, ciborium::Value::Array(report)])
    };
    let refusal = |reason: &str| {
        let fields = vec![1.into(), reason.into(), 2.into(), 3.into(), 4.into()];
        ciborium::Value::Map(vec![("r".into(), ciborium::Value::Array(fields))])
    };
    assert!(frame("sr", report(6)).is_ok());
    assert!(frame("sy", refusal("queue-full")).is_ok());
    for (name, value) in [
        ("la", list(17)),
        ("sr", report(7)),
        ("sy", refusal("no-such-reason")),
    ] {
        assert_eq!(
            frame(name, value),
            Err(WireError::BadValue),
            "message {name}"
        );
    }
}

/// Guards against heartbeats that exceed their bandwidth limit.
#[test]
fn heartbeats_are_small() {
    let typical = encode_heartbeat(&typical_heartbeat()).unwrap();
    assert!(
        typical.len() < 200,
        "expected less than 200 bytes, got {}",
        typical.len()
    );
    let full = encode_heartbeat(&full_heartbeat()).unwrap();
    assert!(
        full.len() <= MAX_DATAGRAM_BYTES,
        "expected at most {MAX_DATAGRAM_BYTES} bytes, got {}",
        full.len()
    );
}

/// Guards against a stored response that grows when it is encoded, as a list of numbers would.
#[test]
fn stored_responses_are_encoded_as_byte_strings() {
    let frame = encode(&outcome_record(MAX_STORED_BODY_BYTES)).unwrap();
    assert!(
        frame.len() < MAX_STORED_BODY_BYTES + 200,
        "expected less than 200 bytes besides the body, got a frame of {} bytes",
        frame.len()
    );
}

/// Guards against a table that the platform allows but that cannot be sent.
#[test]
fn the_largest_table_is_sent_in_several_replies() {
    let text = "x".repeat(1_000_000);
    let parts: Vec<(String, String)> = (0..3)
        .map(|part| (format!("table/part/{part}"), text.clone()))
        .chain((3..6).map(|part| (format!("table/part/{part}"), "small".to_owned())))
        .collect();
    let replies = PeerMessage::table_replies(TableRevision(9), text.clone(), parts.clone());
    let mut received = Vec::new();
    let mut heads = Vec::new();
    for reply in &replies {
        let frame = encode(reply).unwrap();
        let PeerMessage::TableReply {
            revision,
            head,
            parts,
        } = decode(&frame).unwrap()
        else {
            panic!("expected a table reply");
        };
        assert_eq!(revision, TableRevision(9));
        heads.push(head);
        received.extend(parts);
    }
    assert_eq!(heads.concat(), text);
    assert_eq!(received, parts);
    assert_eq!(replies.len(), 4);
}

/// Guards against a message of another protocol version that is accepted.
#[test]
fn other_protocol_versions_are_refused() {
    let hello = PeerMessage::Hello {
        vm: VmId(1),
        incarnation: Incarnation(2),
    };
    let frame = encode(&hello).unwrap();
    assert_eq!(decode(&frame).unwrap(), hello);
    let version_index = frame.len() - 3;
    let mut other = frame.to_vec();
    assert_eq!(other[version_index], 1);
    other[version_index] = 2;
    let report = decode(&other).unwrap_err();
    assert_eq!(*report.current_context(), WireError::BadValue);
}

/// Guards against two message kinds with the same counter label.
#[test]
fn kinds_have_distinct_names() {
    let names: collections::HashSet<&'static str> = MessageKind::iter().map(Into::into).collect();
    assert_eq!(names.len(), MessageKind::COUNT);
    assert!(names.contains("slot-ask"));
}
