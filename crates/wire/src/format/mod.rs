//! Wire format of messages, separate from the domain types.
//!
//! Structs are encoded as CBOR arrays, enum variants under short names, and hashes of 128 bits as
//! byte strings.

mod claims;
mod heartbeat;
mod list;
mod slots;

use serde::{Deserialize, Serialize};
use serde_bytes::ByteArray;
use toucanledge_core::{Incarnation, ListVersion, TableRevision, VmId};
use toucanledge_slots::LeaseRequestId;

use crate::error::ValidationError;
use crate::limits::{self, PROTOCOL_VERSION};
use crate::message::PeerMessage;

pub use heartbeat::WireHeartbeat;

/// 128-bit hash in network byte order.
type WireHash = ByteArray<16>;

/// Wire format of a link message.
#[derive(Serialize, Deserialize)]
pub enum WireMessage {
    /// Protocol version, VM, incarnation.
    #[serde(rename = "h")]
    Hello(u16, u32, u64),
    #[serde(rename = "sa")]
    LeaseRequest(slots::WireLeaseRequest),
    #[serde(rename = "sy")]
    LeaseReply(slots::WireLeaseReply),
    /// Shard, lease report.
    #[serde(rename = "sr")]
    LeaseReport(slots::WireShard, slots::WireLeaseReport),
    /// Shard, id of the lease request.
    #[serde(rename = "sc")]
    LeaseCancel(slots::WireShard, u64),
    #[serde(rename = "sh")]
    HeldLeases(slots::WireHeldLeases),
    /// Shard, backend server.
    #[serde(rename = "sv")]
    LeaseRevoke(slots::WireShard, u32),
    #[serde(rename = "ca")]
    VoteRequest(claims::WireVoteRequest),
    #[serde(rename = "cy")]
    VoteReply(claims::WireVoteReply),
    #[serde(rename = "cr")]
    ClaimRecord(claims::WireClaimRecord),
    /// Known revision.
    #[serde(rename = "ta")]
    TableRequest(u64),
    /// Revision, head, parts.
    #[serde(rename = "ty")]
    TableReply(u64, String, Vec<(String, String)>),
    /// Known versions.
    #[serde(rename = "la")]
    ListRequest(Vec<u64>),
    #[serde(rename = "ly")]
    ListReply(Vec<list::WireVmList>),
}

impl From<&PeerMessage> for WireMessage {
    fn from(message: &PeerMessage) -> Self {
        match message {
            PeerMessage::Hello { vm, incarnation } => {
                Self::Hello(PROTOCOL_VERSION, vm.0, incarnation.0)
            }
            PeerMessage::LeaseRequest(request) => Self::LeaseRequest(request.into()),
            PeerMessage::LeaseReply(reply) => Self::LeaseReply(reply.into()),
            PeerMessage::LeaseReport { shard, report } => {
                Self::LeaseReport((*shard).into(), report.into())
            }
            PeerMessage::LeaseCancel { shard, request_id } => {
                Self::LeaseCancel((*shard).into(), request_id.0)
            }
            PeerMessage::HeldLeases(held) => Self::HeldLeases(held.into()),
            PeerMessage::LeaseRevoke { shard, backend } => {
                Self::LeaseRevoke((*shard).into(), backend.0)
            }
            PeerMessage::VoteRequest(request) => Self::VoteRequest((*request).into()),
            PeerMessage::VoteReply(reply) => Self::VoteReply(reply.into()),
            PeerMessage::ClaimRecord(record) => Self::ClaimRecord(record.into()),
            PeerMessage::TableRequest { known_revision } => Self::TableRequest(known_revision.0),
            PeerMessage::TableReply {
                revision,
                head,
                parts,
            } => Self::TableReply(revision.0, head.clone(), parts.clone()),
            PeerMessage::ListRequest { known_versions } => {
                Self::ListRequest(known_versions.iter().map(|version| version.0).collect())
            }
            PeerMessage::ListReply { lists } => {
                Self::ListReply(lists.iter().map(Into::into).collect())
            }
        }
    }
}

impl TryFrom<WireMessage> for PeerMessage {
    type Error = ValidationError;

    fn try_from(message: WireMessage) -> Result<Self, ValidationError> {
        let message = convert(message)?;
        limits::check_message(&message)?;
        Ok(message)
    }
}

fn convert(message: WireMessage) -> Result<PeerMessage, ValidationError> {
    Ok(match message {
        WireMessage::Hello(protocol, vm, incarnation) => hello(protocol, vm, incarnation)?,
        WireMessage::LeaseRequest(request) => PeerMessage::LeaseRequest(request.into()),
        WireMessage::LeaseReply(reply) => PeerMessage::LeaseReply(reply.try_into()?),
        WireMessage::LeaseReport(shard, report) => PeerMessage::LeaseReport {
            shard: shard.into(),
            report: report.try_into()?,
        },
        WireMessage::LeaseCancel(shard, request_id) => PeerMessage::LeaseCancel {
            shard: shard.into(),
            request_id: LeaseRequestId(request_id),
        },
        WireMessage::HeldLeases(held) => PeerMessage::HeldLeases(held.into()),
        WireMessage::LeaseRevoke(shard, backend) => PeerMessage::LeaseRevoke {
            shard: shard.into(),
            backend: VmId(backend),
        },
        WireMessage::VoteRequest(request) => PeerMessage::VoteRequest(request.into()),
        WireMessage::VoteReply(reply) => PeerMessage::VoteReply(reply.try_into()?),
        WireMessage::ClaimRecord(record) => PeerMessage::ClaimRecord(record.into()),
        WireMessage::TableRequest(known_revision) => PeerMessage::TableRequest {
            known_revision: TableRevision(known_revision),
        },
        WireMessage::TableReply(revision, head, parts) => PeerMessage::TableReply {
            revision: TableRevision(revision),
            head,
            parts,
        },
        WireMessage::ListRequest(known_versions) => PeerMessage::ListRequest {
            known_versions: known_versions.into_iter().map(ListVersion).collect(),
        },
        WireMessage::ListReply(lists) => PeerMessage::ListReply {
            lists: lists
                .into_iter()
                .map(TryInto::try_into)
                .collect::<Result<_, _>>()?,
        },
    })
}

fn hello(protocol: u16, vm: u32, incarnation: u64) -> Result<PeerMessage, ValidationError> {
    if protocol != PROTOCOL_VERSION {
        return Err(ValidationError::ProtocolVersion(protocol));
    }
    Ok(PeerMessage::Hello {
        vm: VmId(vm),
        incarnation: Incarnation(incarnation),
    })
}

fn wire_hash(hash: u128) -> WireHash {
    ByteArray::new(hash.to_be_bytes())
}

fn hash_value(hash: WireHash) -> u128 {
    u128::from_be_bytes(hash.into_array())
}
