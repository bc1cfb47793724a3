//! Limits that hold for messages in both directions.
//!
//! Messages are checked before they are sent as well, because a peer closes the link on a
//! message that exceeds a limit.

use toucanledge_claims::{ClaimOutcome, StoredResponse, VoteDecision};
use toucanledge_core::VmList;
use toucanledge_membership::Heartbeat;

use crate::error::LimitError;
use crate::message::PeerMessage;

/// Greatest size of a link frame in bytes.
pub const FRAME_LIMIT: usize = 1 << 20;
/// Greatest size of a datagram in bytes; below the smallest common MTU, so it is not fragmented.
pub const DATAGRAM_LIMIT: usize = 1_200;
/// Greatest number of VM list versions in a heartbeat.
pub const HEARTBEAT_HISTORY_LIMIT: usize = 16;
/// Greatest number of exceptions in a heartbeat.
pub const HEARTBEAT_NOT_HEARD_LIMIT: usize = 8;
/// Greatest number of crash suspicions in a heartbeat.
pub const HEARTBEAT_SUSPICION_LIMIT: usize = 4;
/// Greatest number of leaving backend servers in a heartbeat.
pub const HEARTBEAT_LEAVING_LIMIT: usize = 8;
/// Greatest body of a stored answer in bytes.
pub const STORED_BODY_LIMIT: usize = 64 << 10;
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
pub fn check_message(message: &PeerMessage) -> Result<(), LimitError> {
    match message {
        PeerMessage::SlotAsk(ask) => {
            check_length("excluded backend servers", ask.exclude.len(), EXCLUDE_LIMIT)
        }
        PeerMessage::SlotHolds(holds) => check_length("leases", holds.leases.len(), HOLD_LIMIT),
        PeerMessage::ClaimReply(reply) => check_verdict(&reply.decision),
        PeerMessage::ClaimRecord(record) => check_result(&record.outcome),
        PeerMessage::TableReply { parts, .. } => check_parts(parts),
        PeerMessage::ListAsk { have } => check_length("list versions", have.len(), LIST_LIMIT),
        PeerMessage::ListReply { lists } => check_lists(lists),
        PeerMessage::Hello { .. }
        | PeerMessage::SlotReply(_)
        | PeerMessage::SlotReport { .. }
        | PeerMessage::SlotCancel { .. }
        | PeerMessage::ClaimAsk(_)
        | PeerMessage::SlotRevoke { .. }
        | PeerMessage::TableAsk { .. } => Ok(()),
    }
}

/// Checks the lengths in a heartbeat.
pub fn check_heartbeat(heartbeat: &Heartbeat) -> Result<(), LimitError> {
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

fn check_verdict(verdict: &VoteDecision) -> Result<(), LimitError> {
    match verdict {
        VoteDecision::Ended(_, result) => check_result(result),
        VoteDecision::Granted | VoteDecision::HeldBy(_) | VoteDecision::Refused(..) => Ok(()),
    }
}

fn check_result(result: &ClaimOutcome) -> Result<(), LimitError> {
    match result {
        ClaimOutcome::Ran(answer) => check_answer(answer),
        ClaimOutcome::NotRun | ClaimOutcome::RanUnstored | ClaimOutcome::Unknown => Ok(()),
    }
}

fn check_answer(answer: &StoredResponse) -> Result<(), LimitError> {
    if !(100..1_000).contains(&answer.status) {
        return Err(LimitError::Unknown {
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
    check_length("stored body", answer.body.len(), STORED_BODY_LIMIT)
}

fn check_parts(parts: &[(String, String)]) -> Result<(), LimitError> {
    check_length("table parts", parts.len(), PART_LIMIT)?;
    parts
        .iter()
        .try_for_each(|(key, _)| check_length("key of a table part", key.len(), PART_KEY_LIMIT))
}

fn check_lists(lists: &[VmList]) -> Result<(), LimitError> {
    check_length("VM lists", lists.len(), LIST_LIMIT)?;
    for list in lists {
        list.validate().map_err(LimitError::List)?;
        for entry in &list.vms {
            check_length("VM name", entry.name.len(), VM_NAME_LIMIT)?;
        }
    }
    Ok(())
}

fn check_length(what: &'static str, found: usize, limit: usize) -> Result<(), LimitError> {
    if found <= limit {
        return Ok(());
    }
    Err(LimitError::TooMany { what, found, limit })
}
