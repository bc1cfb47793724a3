//! Types as they travel, apart from the domain types.
//!
//! Structs travel as CBOR arrays and enum variants under short names. Hashes of 128 bits travel
//! as byte strings.

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

/// A link message as it travels.
#[derive(Serialize, Deserialize)]
pub enum WireMessage {
    /// Protocol version, VM, incarnation.
    #[serde(rename = "h")]
    Hello(u16, u32, u64),
    #[serde(rename = "sa")]
    LeaseRequest(slots::WireLeaseRequest),
    #[serde(rename = "sy")]
    LeaseReply(slots::WireLeaseReply),
    #[serde(rename = "sr")]
    LeaseReport(slots::WireShard, slots::WireLeaseReport),
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
    #[serde(rename = "ta")]
    TableRequest(u64),
    /// Revision, head, parts.
    #[serde(rename = "ty")]
    TableReply(u64, String, Vec<(String, String)>),
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
            PeerMessage::LeaseRequest(ask) => Self::LeaseRequest(ask.into()),
            PeerMessage::LeaseReply(reply) => Self::LeaseReply(reply.into()),
            PeerMessage::LeaseReport { shard, report } => {
                Self::LeaseReport((*shard).into(), report.into())
            }
            PeerMessage::LeaseCancel {
                shard,
                request_id: ask,
            } => Self::LeaseCancel((*shard).into(), ask.0),
            PeerMessage::HeldLeases(holds) => Self::HeldLeases(holds.into()),
            PeerMessage::LeaseRevoke { shard, backend } => {
                Self::LeaseRevoke((*shard).into(), backend.0)
            }
            PeerMessage::VoteRequest(ask) => Self::VoteRequest((*ask).into()),
            PeerMessage::VoteReply(reply) => Self::VoteReply(reply.into()),
            PeerMessage::ClaimRecord(record) => Self::ClaimRecord(record.into()),
            PeerMessage::TableRequest {
                known_revision: have,
            } => Self::TableRequest(have.0),
            PeerMessage::TableReply {
                revision,
                head,
                parts,
            } => Self::TableReply(revision.0, head.clone(), parts.clone()),
            PeerMessage::ListRequest {
                known_versions: have,
            } => Self::ListRequest(have.iter().map(|version| version.0).collect()),
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
        WireMessage::LeaseRequest(ask) => PeerMessage::LeaseRequest(ask.into()),
        WireMessage::LeaseReply(reply) => PeerMessage::LeaseReply(reply.try_into()?),
        WireMessage::LeaseReport(shard, report) => PeerMessage::LeaseReport {
            shard: shard.into(),
            report: report.try_into()?,
        },
        WireMessage::LeaseCancel(shard, ask) => PeerMessage::LeaseCancel {
            shard: shard.into(),
            request_id: LeaseRequestId(ask),
        },
        WireMessage::HeldLeases(holds) => PeerMessage::HeldLeases(holds.into()),
        WireMessage::LeaseRevoke(shard, backend) => PeerMessage::LeaseRevoke {
            shard: shard.into(),
            backend: VmId(backend),
        },
        WireMessage::VoteRequest(ask) => PeerMessage::VoteRequest(ask.into()),
        WireMessage::VoteReply(reply) => PeerMessage::VoteReply(reply.try_into()?),
        WireMessage::ClaimRecord(record) => PeerMessage::ClaimRecord(record.into()),
        WireMessage::TableRequest(have) => PeerMessage::TableRequest {
            known_revision: TableRevision(have),
        },
        WireMessage::TableReply(revision, head, parts) => PeerMessage::TableReply {
            revision: TableRevision(revision),
            head,
            parts,
        },
        WireMessage::ListRequest(have) => PeerMessage::ListRequest {
            known_versions: have.into_iter().map(ListVersion).collect(),
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
