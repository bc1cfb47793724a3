//! Messages on the links between gateways.

use toucanledge_claims::{ClaimRecord, VoteReply, VoteRequest};
use toucanledge_core::{Incarnation, ListVersion, ShardId, TableRevision, VmId, VmList};
use toucanledge_slots::{HeldLeases, LeaseReply, LeaseReport, LeaseRequest, LeaseRequestId};

/// A message on a link between two gateways.
#[derive(Clone, Debug, PartialEq, Eq, strum::EnumDiscriminants)]
#[strum_discriminants(
    name(MessageKind),
    doc = "Kind of a peer message; its name labels the counters.",
    derive(
        Hash,
        PartialOrd,
        Ord,
        strum::Display,
        strum::EnumCount,
        strum::EnumIter,
        strum::IntoStaticStr
    ),
    strum(serialize_all = "kebab-case")
)]
pub enum PeerMessage {
    /// Identifies the sender; the first message in each direction of a link.
    Hello {
        /// VM of the sender.
        vm: VmId,
        /// Incarnation of the sender.
        incarnation: Incarnation,
    },
    /// Requests a lease of a slot from a dispatcher.
    #[strum_discriminants(strum(serialize = "slot-ask"))]
    LeaseRequest(LeaseRequest),
    /// Replies to a lease request.
    #[strum_discriminants(strum(serialize = "slot-reply"))]
    LeaseReply(LeaseReply),
    /// Reports the outcome of a lease.
    #[strum_discriminants(strum(serialize = "slot-report"))]
    LeaseReport {
        /// Shard of the lease.
        shard: ShardId,
        /// Outcome of the lease.
        report: LeaseReport,
    },
    /// Cancels a lease request, or returns the slot that was granted for it.
    #[strum_discriminants(strum(serialize = "slot-cancel"))]
    LeaseCancel {
        /// Shard of the lease request.
        shard: ShardId,
        /// Lease request to cancel.
        request_id: LeaseRequestId,
    },
    /// Reports to a new dispatcher the leases that the sender holds.
    #[strum_discriminants(strum(serialize = "slot-holds"))]
    HeldLeases(HeldLeases),
    /// Tells a gateway that holds leases of an ejected backend server to retry their requests.
    #[strum_discriminants(strum(serialize = "slot-revoke"))]
    LeaseRevoke {
        /// Shard of the backend server.
        shard: ShardId,
        /// Ejected backend server.
        backend: VmId,
    },
    /// Requests a vote for a claim attempt.
    #[strum_discriminants(strum(serialize = "claim-ask"))]
    VoteRequest(VoteRequest),
    /// Replies to a vote request.
    #[strum_discriminants(strum(serialize = "claim-reply"))]
    VoteReply(VoteReply),
    /// Reports the outcome of a claim attempt to a voter.
    ClaimRecord(ClaimRecord),
    /// Requests the active table of the receiver if it is newer than the sender's.
    #[strum_discriminants(strum(serialize = "table-ask"))]
    TableRequest {
        /// Revision of the sender's active table.
        known_revision: TableRevision,
    },
    /// Carries a table in the form in which the platform publishes it.
    ///
    /// A table whose texts do not fit into one frame is sent as several replies of the same
    /// revision; see [`PeerMessage::table_replies`].
    TableReply {
        /// Revision of the table head.
        revision: TableRevision,
        /// Text of `table/head`; empty when an earlier reply of this revision carried it.
        head: String,
        /// Key and text of each part.
        parts: Vec<(String, String)>,
    },
    /// Requests VM lists that the sender does not have.
    #[strum_discriminants(strum(serialize = "list-ask"))]
    ListRequest {
        /// List versions that the sender has.
        known_versions: Vec<ListVersion>,
    },
    /// Carries VM lists.
    ListReply {
        /// The lists.
        lists: Vec<VmList>,
    },
}

/// Largest content of a table reply; leaves room in a frame for lengths and keys.
const MAX_TABLE_REPLY_BYTES: usize = 1_010_000;
/// Allowance for the encoded lengths of the key and the text of a part.
const PART_OVERHEAD_BYTES: usize = 16;

impl PeerMessage {
    /// Returns the kind of the message.
    #[must_use]
    pub fn kind(&self) -> MessageKind {
        self.into()
    }

    /// Splits a table into replies that each fit into a frame.
    ///
    /// The platform allows 1 MB for the head and for each part, so a table can exceed a frame. The
    /// first reply carries the head. The receiver has the complete table once it has every part
    /// that the head lists.
    #[must_use]
    pub fn table_replies(
        revision: TableRevision,
        head: String,
        parts: Vec<(String, String)>,
    ) -> Vec<Self> {
        let mut size = head.len();
        let mut batches = vec![(head, Vec::new())];
        for (key, text) in parts {
            let bytes = key.len() + text.len() + PART_OVERHEAD_BYTES;
            if size + bytes > MAX_TABLE_REPLY_BYTES {
                batches.push((String::new(), Vec::new()));
                size = 0;
            }
            size += bytes;
            if let Some((_, batch)) = batches.last_mut() {
                batch.push((key, text));
            }
        }
        batches
            .into_iter()
            .map(|(head, parts)| Self::TableReply {
                revision,
                head,
                parts,
            })
            .collect()
    }
}
