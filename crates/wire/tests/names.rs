//! Names and texts that are visible outside the process.

use strum::IntoEnumIterator;
use toucanledge_wire::{MessageKind, ValidationError, WireError};

/// Guards against a renamed variant that changes the label of the link counters.
#[test]
fn message_kinds_keep_their_outer_names() {
    let expected = [
        (MessageKind::Hello, "hello"),
        (MessageKind::LeaseRequest, "slot-ask"),
        (MessageKind::LeaseReply, "slot-reply"),
        (MessageKind::LeaseReport, "slot-report"),
        (MessageKind::LeaseCancel, "slot-cancel"),
        (MessageKind::HeldLeases, "slot-holds"),
        (MessageKind::LeaseRevoke, "slot-revoke"),
        (MessageKind::VoteRequest, "claim-ask"),
        (MessageKind::VoteReply, "claim-reply"),
        (MessageKind::ClaimRecord, "claim-record"),
        (MessageKind::TableRequest, "table-ask"),
        (MessageKind::TableReply, "table-reply"),
        (MessageKind::ListRequest, "list-ask"),
        (MessageKind::ListReply, "list-reply"),
    ];
    let kinds: Vec<MessageKind> = MessageKind::iter().collect();
    assert_eq!(kinds, expected.map(|(kind, _)| kind));
    for (kind, name) in expected {
        assert_eq!(kind.to_string(), name);
        assert_eq!(<&'static str>::from(kind), name);
    }
}

/// Guards against a changed text in log lines.
#[test]
fn wire_errors_keep_their_texts() {
    let expected = [
        (WireError::TooLarge, "message exceeds the size limit"),
        (WireError::BadFrame, "bytes are no valid message"),
        (WireError::BadValue, "message has a value out of range"),
        (WireError::Connect, "connection to peer failed"),
        (WireError::Handshake, "WebSocket handshake with peer failed"),
        (WireError::Hello, "peer sent no hello"),
        (
            WireError::ProtocolVersion,
            "peer speaks another protocol version",
        ),
        (WireError::Socket, "socket failed"),
    ];
    for (error, text) in expected {
        assert_eq!(error.to_string(), text);
        assert_eq!(<&'static str>::from(error), text);
    }
}

/// Guards against a changed text in log lines.
#[test]
fn validation_errors_keep_their_texts() {
    let too_long = ValidationError::TooLong {
        what: "leases",
        found: 3,
        limit: 2,
    };
    assert_eq!(too_long.to_string(), "leases: length 3 exceeds 2");
    let unknown = ValidationError::UnknownCode {
        what: "vote refusal",
        code: "9".to_owned(),
    };
    assert_eq!(unknown.to_string(), "vote refusal: 9 has no meaning");
    let protocol = ValidationError::ProtocolVersion(7);
    assert_eq!(protocol.to_string(), "protocol version 7");
}
