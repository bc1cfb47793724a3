//! Limits that hold for messages in both directions.
//!
//! Messages are checked before they are sent as well, because a peer closes the link on a
//! message that exceeds a limit.

use toucanledge_claims::{ClaimOutcome, StoredResponse, VoteDecision};
use toucanledge_core::VmList;
use toucanledge_membership::Heartbeat;

use crate::error::ValidationError;
use crate::message::PeerMessage;

/// Greatest size of a link frame in bytes.
pub const MAX_FRAME_BYTES: usize = 1 << 20;
/// Greatest size of a datagram in bytes; below the smallest common MTU, so it is not fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Greatest number of VM list versions in a heartbeat.
pub const HEARTBEAT_HISTORY_LIMIT: usize = 16;
/// Greatest number of exceptions in a heartbeat.
pub const HEARTBEAT_NOT_HEARD_LIMIT: usize = 8;
/// Greatest number of crash suspicions in a heartbeat.
pub const HEARTBEAT_SUSPICION_LIMIT: usize = 4;
/// Greatest number of leaving backend servers in a heartbeat.
pub const HEARTBEAT_LEAVING_LIMIT: usize = 8;
/// Greatest body of a stored answer in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 64 << 10;
/// Version of the protocol; peers of another version are refused.
pub const PROTOCOL_VERSION: u16 = 1;

const EXCLUDE_LIMIT: usize = 64;
const HOLD_LIMIT: usize = 10_000;
const STORED_HEADER_LIMIT: usize = 128;
const STORED_HEADER_BYTES: usize = 64 << 10;
const PART_LIMIT: usize = 1_024;
const PART_KEY_LIMIT: usize = 256;
const LIST_LIMIT: usize = HEARTBEAT_HISTORY_LIMIT;
const VM_NAME_LIMIT: usize = 256;

/// Checks the lengths in a link message.
pub fn check_message(message: &PeerMessage) -> Result<(), ValidationError> {
    match message {
        PeerMessage::LeaseRequest(ask) => {
            check_length("excluded backend servers", ask.exclude.len(), EXCLUDE_LIMIT)
        }
        PeerMessage::HeldLeases(holds) => check_length("leases", holds.leases.len(), HOLD_LIMIT),
        PeerMessage::VoteReply(reply) => check_verdict(&reply.decision),
        PeerMessage::ClaimRecord(record) => check_result(&record.outcome),
        PeerMessage::TableReply { parts, .. } => check_parts(parts),
        PeerMessage::ListRequest {
            known_versions: have,
        } => check_length("list versions", have.len(), LIST_LIMIT),
        PeerMessage::ListReply { lists } => check_lists(lists),
        PeerMessage::Hello { .. }
        | PeerMessage::LeaseReply(_)
        | PeerMessage::LeaseReport { .. }
        | PeerMessage::LeaseCancel { .. }
        | PeerMessage::VoteRequest(_)
        | PeerMessage::LeaseRevoke { .. }
        | PeerMessage::TableRequest { .. } => Ok(()),
    }
}

/// Checks the lengths in a heartbeat.
pub fn check_heartbeat(heartbeat: &Heartbeat) -> Result<(), ValidationError> {
    check_length("history", heartbeat.history.len(), HEARTBEAT_HISTORY_LIMIT)?;
    check_length(
        "exceptions",
        heartbeat.unreachable.len(),
        HEARTBEAT_NOT_HEARD_LIMIT,
    )?;
    check_length(
        "suspicions",
        heartbeat.suspicions.len(),
        HEARTBEAT_SUSPICION_LIMIT,
    )?;
    check_length(
        "leaving backend servers",
        heartbeat.leaving.len(),
        HEARTBEAT_LEAVING_LIMIT,
    )
}

fn check_verdict(verdict: &VoteDecision) -> Result<(), ValidationError> {
    match verdict {
        VoteDecision::Ended(_, result) => check_result(result),
        VoteDecision::Granted | VoteDecision::HeldBy(_) | VoteDecision::Refused(..) => Ok(()),
    }
}

fn check_result(result: &ClaimOutcome) -> Result<(), ValidationError> {
    match result {
        ClaimOutcome::Ran(answer) => check_answer(answer),
        ClaimOutcome::NotRun | ClaimOutcome::RanUnstored | ClaimOutcome::Unknown => Ok(()),
    }
}

fn check_answer(answer: &StoredResponse) -> Result<(), ValidationError> {
    if !(100..1_000).contains(&answer.status) {
        return Err(ValidationError::UnknownCode {
            what: "HTTP status",
            code: answer.status.to_string(),
        });
    }
    let header_bytes = answer
        .headers
        .iter()
        .map(|(name, value)| name.len() + value.len())
        .sum();
    check_length("headers", answer.headers.len(), STORED_HEADER_LIMIT)?;
    check_length("header bytes", header_bytes, STORED_HEADER_BYTES)?;
    check_length("stored body", answer.body.len(), MAX_STORED_BODY_BYTES)
}

fn check_parts(parts: &[(String, String)]) -> Result<(), ValidationError> {
    check_length("table parts", parts.len(), PART_LIMIT)?;
    parts
        .iter()
        .try_for_each(|(key, _)| check_length("key of a table part", key.len(), PART_KEY_LIMIT))
}

fn check_lists(lists: &[VmList]) -> Result<(), ValidationError> {
    check_length("VM lists", lists.len(), LIST_LIMIT)?;
    for list in lists {
        list.validate().map_err(ValidationError::List)?;
        for entry in &list.vms {
            check_length("VM name", entry.name.len(), VM_NAME_LIMIT)?;
        }
    }
    Ok(())
}

fn check_length(what: &'static str, found: usize, limit: usize) -> Result<(), ValidationError> {
    if found <= limit {
        return Ok(());
    }
    Err(ValidationError::TooLong { what, found, limit })
}
