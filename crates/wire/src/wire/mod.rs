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

use crate::error::LimitError;
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
    SlotAsk(slots::WireSlotAsk),
    #[serde(rename = "sy")]
    SlotReply(slots::WireSlotReply),
    #[serde(rename = "sr")]
    SlotReport(slots::WireShard, slots::WireSlotReport),
    #[serde(rename = "sc")]
    SlotCancel(slots::WireShard, u64),
    #[serde(rename = "sh")]
    SlotHolds(slots::WireSlotHolds),
    /// Shard, backend server.
    #[serde(rename = "sv")]
    SlotRevoke(slots::WireShard, u32),
    #[serde(rename = "ca")]
    ClaimAsk(claims::WireClaimAsk),
    #[serde(rename = "cy")]
    ClaimReply(claims::WireClaimReply),
    #[serde(rename = "cr")]
    ClaimRecord(claims::WireClaimRecord),
    #[serde(rename = "ta")]
    TableAsk(u64),
    /// Revision, head, parts.
    #[serde(rename = "ty")]
    TableReply(u64, String, Vec<(String, String)>),
    #[serde(rename = "la")]
    ListAsk(Vec<u64>),
    #[serde(rename = "ly")]
    ListReply(Vec<list::WireVmList>),
}

impl From<&PeerMessage> for WireMessage {
    fn from(message: &PeerMessage) -> Self {
        match message {
            PeerMessage::Hello { vm, incarnation } => {
                Self::Hello(PROTOCOL_VERSION, vm.0, incarnation.0)
            }
            PeerMessage::SlotAsk(ask) => Self::SlotAsk(ask.into()),
            PeerMessage::SlotReply(reply) => Self::SlotReply(reply.into()),
            PeerMessage::SlotReport { shard, report } => {
                Self::SlotReport((*shard).into(), report.into())
            }
            PeerMessage::SlotCancel { shard, ask } => Self::SlotCancel((*shard).into(), ask.0),
            PeerMessage::SlotHolds(holds) => Self::SlotHolds(holds.into()),
            PeerMessage::SlotRevoke { shard, backend } => {
                Self::SlotRevoke((*shard).into(), backend.0)
            }
            PeerMessage::ClaimAsk(ask) => Self::ClaimAsk((*ask).into()),
            PeerMessage::ClaimReply(reply) => Self::ClaimReply(reply.into()),
            PeerMessage::ClaimRecord(record) => Self::ClaimRecord(record.into()),
            PeerMessage::TableAsk { have } => Self::TableAsk(have.0),
            PeerMessage::TableReply {
                revision,
                head,
                parts,
            } => Self::TableReply(revision.0, head.clone(), parts.clone()),
            PeerMessage::ListAsk { have } => {
                Self::ListAsk(have.iter().map(|version| version.0).collect())
            }
            PeerMessage::ListReply { lists } => {
                Self::ListReply(lists.iter().map(Into::into).collect())
            }
        }
    }
}

impl TryFrom<WireMessage> for PeerMessage {
    type Error = LimitError;

    fn try_from(message: WireMessage) -> Result<Self, LimitError> {
        let message = convert(message)?;
        limits::check_message(&message)?;
        Ok(message)
    }
}

fn convert(message: WireMessage) -> Result<PeerMessage, LimitError> {
    Ok(match message {
        WireMessage::Hello(protocol, vm, incarnation) => hello(protocol, vm, incarnation)?,
        WireMessage::SlotAsk(ask) => PeerMessage::SlotAsk(ask.into()),
        WireMessage::SlotReply(reply) => PeerMessage::SlotReply(reply.try_into()?),
        WireMessage::SlotReport(shard, report) => PeerMessage::SlotReport {
            shard: shard.into(),
            report: report.try_into()?,
        },
        WireMessage::SlotCancel(shard, ask) => PeerMessage::SlotCancel {
            shard: shard.into(),
            ask: LeaseRequestId(ask),
        },
        WireMessage::SlotHolds(holds) => PeerMessage::SlotHolds(holds.into()),
        WireMessage::SlotRevoke(shard, backend) => PeerMessage::SlotRevoke {
            shard: shard.into(),
            backend: VmId(backend),
        },
        WireMessage::ClaimAsk(ask) => PeerMessage::ClaimAsk(ask.into()),
        WireMessage::ClaimReply(reply) => PeerMessage::ClaimReply(reply.try_into()?),
        WireMessage::ClaimRecord(record) => PeerMessage::ClaimRecord(record.into()),
        WireMessage::TableAsk(have) => PeerMessage::TableAsk {
            have: TableRevision(have),
        },
        WireMessage::TableReply(revision, head, parts) => PeerMessage::TableReply {
            revision: TableRevision(revision),
            head,
            parts,
        },
        WireMessage::ListAsk(have) => PeerMessage::ListAsk {
            have: have.into_iter().map(ListVersion).collect(),
        },
        WireMessage::ListReply(lists) => PeerMessage::ListReply {
            lists: lists
                .into_iter()
                .map(TryInto::try_into)
                .collect::<Result<_, _>>()?,
        },
    })
}

fn hello(protocol: u16, vm: u32, incarnation: u64) -> Result<PeerMessage, LimitError> {
    if protocol != PROTOCOL_VERSION {
        return Err(LimitError::Protocol(protocol));
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
