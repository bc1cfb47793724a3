//! Messages on the links between gateways.

use toucanledge_claims::{ClaimRecord, VoteReply, VoteRequest};
use toucanledge_core::{Incarnation, ListVersion, ShardId, TableRevision, VmId, VmList};
use toucanledge_slots::{HeldLeases, LeaseReply, LeaseReport, LeaseRequest, LeaseRequestId};

/// One message on a link between two gateways.
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
    /// Names the sender; the first message in each direction of a link.
    Hello {
        /// VM that sends.
        vm: VmId,
        /// Incarnation of that VM.
        incarnation: Incarnation,
    },
    /// Asks a dispatcher for a slot.
    #[strum_discriminants(strum(serialize = "slot-ask"))]
    LeaseRequest(LeaseRequest),
    /// Answers an ask.
    #[strum_discriminants(strum(serialize = "slot-reply"))]
    LeaseReply(LeaseReply),
    /// Reports the end of a lease.
    #[strum_discriminants(strum(serialize = "slot-report"))]
    LeaseReport {
        /// Shard of the lease.
        shard: ShardId,
        /// How the lease ended.
        report: LeaseReport,
    },
    /// Withdraws an ask, or returns the slot that was granted for it.
    #[strum_discriminants(strum(serialize = "slot-cancel"))]
    LeaseCancel {
        /// Shard that was asked.
        shard: ShardId,
        /// Ask to withdraw.
        request_id: LeaseRequestId,
    },
    /// Tells a new dispatcher which leases the sender holds.
    #[strum_discriminants(strum(serialize = "slot-holds"))]
    HeldLeases(HeldLeases),
    /// Tells a gateway that holds leases of an ejected backend server to try its requests again.
    #[strum_discriminants(strum(serialize = "slot-revoke"))]
    LeaseRevoke {
        /// Shard of the backend server.
        shard: ShardId,
        /// Backend server that was ejected.
        backend: VmId,
    },
    /// Asks a voter for its vote.
    #[strum_discriminants(strum(serialize = "claim-ask"))]
    VoteRequest(VoteRequest),
    /// Answers the ask for a vote.
    #[strum_discriminants(strum(serialize = "claim-reply"))]
    VoteReply(VoteReply),
    /// Tells a voter how an attempt ended.
    ClaimRecord(ClaimRecord),
    /// Asks for the table in force when it is newer than the sender's.
    #[strum_discriminants(strum(serialize = "table-ask"))]
    TableRequest {
        /// Revision that the sender has.
        known_revision: TableRevision,
    },
    /// Carries a table as the platform published it.
    ///
    /// A table whose texts do not fit into one frame is sent as several replies of the same
    /// revision; see [`PeerMessage::table_replies`].
    TableReply {
        /// Revision of the head.
        revision: TableRevision,
        /// Text of `table/head`; empty when an earlier reply of this revision carried it.
        head: String,
        /// Key and text of each part.
        parts: Vec<(String, String)>,
    },
    /// Asks for VM lists that the sender does not have.
    #[strum_discriminants(strum(serialize = "list-ask"))]
    ListRequest {
        /// Versions that the sender has.
        known_versions: Vec<ListVersion>,
    },
    /// Carries VM lists.
    ListReply {
        /// The lists.
        lists: Vec<VmList>,
    },
}

/// Bytes that a table reply may carry; leaves room in a frame for lengths and keys.
const TABLE_REPLY_BYTES: usize = 1_010_000;

impl PeerMessage {
    /// Returns the kind of the message.
    #[must_use]
    pub fn kind(&self) -> MessageKind {
        self.into()
    }

    /// Returns the table replies that carry a table, each small enough for a frame.
    ///
    /// The platform allows 1 MB for the head and for each part, so a table can exceed a frame.
    /// The head travels in the first reply; the receiver has the whole table when it has every
    /// part that the head names.
    #[must_use]
    pub fn table_replies(
        revision: TableRevision,
        head: String,
        parts: Vec<(String, String)>,
    ) -> Vec<Self> {
        let mut size = head.len();
        let mut batches = vec![(head, Vec::new())];
        for (key, text) in parts {
            let bytes = key.len() + text.len() + 16;
            if size + bytes > TABLE_REPLY_BYTES {
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
