//! Limits on messages, in both directions.
//!
//! Messages are also checked before they are sent, because a peer closes the link on a message
//! that exceeds a limit.

use toucanledge_claims::{ClaimOutcome, StoredResponse, VoteDecision};
use toucanledge_core::VmList;
use toucanledge_membership::Heartbeat;

use crate::error::ValidationError;
use crate::message::PeerMessage;

/// Largest size of a frame on a link.
pub const MAX_FRAME_BYTES: usize = 1 << 20;
/// Largest size of a datagram; below the smallest common MTU, so that it is not fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Largest number of VM list versions in a heartbeat.
pub const MAX_HEARTBEAT_HISTORY: usize = 16;
/// Largest number of unreachable gateways in a heartbeat.
pub const MAX_HEARTBEAT_UNREACHABLE: usize = 8;
/// Largest number of crash suspicions in a heartbeat.
pub const MAX_HEARTBEAT_SUSPICIONS: usize = 4;
/// Largest number of leaving backend servers in a heartbeat.
pub const MAX_HEARTBEAT_LEAVING: usize = 8;
/// Largest body of a stored response.
pub const MAX_STORED_BODY_BYTES: usize = 64 << 10;
/// Version of the peer protocol; peers of another version are refused.
pub const PROTOCOL_VERSION: u16 = 1;

const MAX_EXCLUDED_BACKENDS: usize = 64;
const MAX_HELD_LEASES: usize = 10_000;
const MAX_STORED_HEADERS: usize = 128;
const MAX_STORED_HEADER_BYTES: usize = 64 << 10;
const MAX_TABLE_PARTS: usize = 1_024;
const MAX_PART_KEY_BYTES: usize = 256;
const MAX_VM_LISTS: usize = MAX_HEARTBEAT_HISTORY;
const MAX_VM_NAME_BYTES: usize = 256;

/// Checks the lengths in a link message.
pub fn check_message(message: &PeerMessage) -> Result<(), ValidationError> {
    match message {
        PeerMessage::LeaseRequest(request) => check_length(
            "excluded backend servers",
            request.exclude.len(),
            MAX_EXCLUDED_BACKENDS,
        ),
        PeerMessage::HeldLeases(held) => check_length("leases", held.leases.len(), MAX_HELD_LEASES),
        PeerMessage::VoteReply(reply) => check_decision(&reply.decision),
        PeerMessage::ClaimRecord(record) => check_outcome(&record.outcome),
        PeerMessage::TableReply { parts, .. } => check_parts(parts),
        PeerMessage::ListRequest { known_versions } => {
            check_length("list versions", known_versions.len(), MAX_VM_LISTS)
        }
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
    check_length("history", heartbeat.history.len(), MAX_HEARTBEAT_HISTORY)?;
    // Log lines call the unreachable gateways exceptions.
    check_length(
        "exceptions",
        heartbeat.unreachable.len(),
        MAX_HEARTBEAT_UNREACHABLE,
    )?;
    check_length(
        "suspicions",
        heartbeat.suspicions.len(),
        MAX_HEARTBEAT_SUSPICIONS,
    )?;
    check_length(
        "leaving backend servers",
        heartbeat.leaving.len(),
        MAX_HEARTBEAT_LEAVING,
    )
}

fn check_decision(decision: &VoteDecision) -> Result<(), ValidationError> {
    match decision {
        VoteDecision::Ended(_, outcome) => check_outcome(outcome),
        VoteDecision::Granted | VoteDecision::HeldBy(_) | VoteDecision::Refused(..) => Ok(()),
    }
}

fn check_outcome(outcome: &ClaimOutcome) -> Result<(), ValidationError> {
    match outcome {
        ClaimOutcome::Ran(response) => check_response(response),
        ClaimOutcome::NotRun | ClaimOutcome::RanUnstored | ClaimOutcome::Unknown => Ok(()),
    }
}

fn check_response(response: &StoredResponse) -> Result<(), ValidationError> {
    if !(100..1_000).contains(&response.status) {
        return Err(ValidationError::UnknownCode {
            what: "HTTP status",
            code: response.status.to_string(),
        });
    }
    let header_bytes = response
        .headers
        .iter()
        .map(|(name, value)| name.len() + value.len())
        .sum();
    check_length("headers", response.headers.len(), MAX_STORED_HEADERS)?;
    check_length("header bytes", header_bytes, MAX_STORED_HEADER_BYTES)?;
    check_length("stored body", response.body.len(), MAX_STORED_BODY_BYTES)
}

fn check_parts(parts: &[(String, String)]) -> Result<(), ValidationError> {
    check_length("table parts", parts.len(), MAX_TABLE_PARTS)?;
    parts
        .iter()
        .try_for_each(|(key, _)| check_length("key of a table part", key.len(), MAX_PART_KEY_BYTES))
}

fn check_lists(lists: &[VmList]) -> Result<(), ValidationError> {
    check_length("VM lists", lists.len(), MAX_VM_LISTS)?;
    for list in lists {
        list.validate().map_err(ValidationError::List)?;
        for entry in &list.vms {
            check_length("VM name", entry.name.len(), MAX_VM_NAME_BYTES)?;
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
