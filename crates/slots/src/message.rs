//! Messages between gateways and the dispatcher of a shard.

use toucanledge_core::{
    CallerHash, ClassId, Fingerprint, RefusalReason, ShardId, TableRevision, VmId,
};

/// Identifies an ask among the asks of one gateway process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseRequestId(pub u64);

/// Identifies a lease among the leases of one dispatcher process; carries a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(pub u64);

/// Hash of method and path of a request, without its caller and body.
///
/// Service times are remembered by route, so that work known to be long is recognised for a caller
/// that sends it for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteHash(pub u64);

/// A gateway asks the dispatcher of a shard for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRequest {
    /// Identifies the ask.
    pub request_id: LeaseRequestId,
    /// Shard whose backend servers may serve the request.
    pub shard: ShardId,
    /// Class of the request.
    pub class: ClassId,
    /// Caller of the request.
    pub caller: CallerHash,
    /// Method and path of the request.
    pub route: RouteHash,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Milliseconds until the deadline of the request.
    pub remaining_ms: u32,
    /// Backend servers that were tried for this request already.
    pub exclude: Vec<VmId>,
}

/// The dispatcher grants a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Ask that is answered.
    pub request_id: LeaseRequestId,
    /// Lease that the gateway reports on.
    pub lease: LeaseId,
    /// Backend server to use.
    pub backend: VmId,
    /// Table revision behind the decision.
    pub table_revision: TableRevision,
    /// Expected wait in milliseconds for the next ask of this class.
    pub expected_wait_ms: u32,
}

/// The dispatcher refuses an ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRefusal {
    /// Ask that is answered.
    pub request_id: LeaseRequestId,
    /// Why the ask is refused.
    pub reason: RefusalReason,
    /// Milliseconds after which another try may succeed.
    pub retry_after_ms: u32,
    /// Table revision behind the decision.
    pub table_revision: TableRevision,
    /// Expected wait in milliseconds for the next ask of this class.
    pub expected_wait_ms: u32,
}

/// The dispatcher lets an ask wait; the final reply follows.
///
/// It tells a gateway that the dispatcher is there, so that only silence makes it ask another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseQueued {
    /// Ask that waits.
    pub request_id: LeaseRequestId,
    /// Expected wait in milliseconds.
    pub expected_wait_ms: u32,
}

/// Answer of a dispatcher to an ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseReply {
    /// The ask waits.
    Queued(LeaseQueued),
    /// The slot is granted.
    Grant(LeaseGrant),
    /// The ask is refused.
    Refusal(LeaseRefusal),
}

impl LeaseReply {
    /// Returns the ask that is answered.
    #[must_use]
    pub const fn request_id(&self) -> LeaseRequestId {
        match self {
            Self::Queued(queued) => queued.request_id,
            Self::Grant(grant) => grant.request_id,
            Self::Refusal(refusal) => refusal.request_id,
        }
    }
}

/// How the use of a slot ended.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum LeaseOutcome {
    /// The backend server answered whole.
    Completed,
    /// The connection could not be opened.
    ConnectFailed,
    /// The connection broke after the first byte was sent.
    ConnectionLost,
    /// The answer was truncated, malformed or belonged to another request.
    BadAnswer,
    /// The backend server shed the request.
    Shed,
    /// The gateway gave up at the deadline of the request.
    DeadlineExceeded,
    /// The caller went away, or the gateway did not use the slot.
    Cancelled,
}

/// A gateway reports the end of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseReport {
    /// Lease that ended.
    pub lease: LeaseId,
    /// How it ended.
    pub outcome: LeaseOutcome,
    /// Milliseconds from the first byte sent to the end of the answer.
    pub service_time_ms: u32,
    /// The backend server said that it is leaving.
    pub leaving: bool,
}

/// A lease that a gateway holds, as told to a new dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// Lease of the earlier dispatcher.
    pub lease: LeaseId,
    /// Backend server in use.
    pub backend: VmId,
    /// Class of the request.
    pub class: ClassId,
    /// Caller of the request.
    pub caller: CallerHash,
    /// Fingerprint of the request, which may crash its backend server under the new dispatcher.
    pub fingerprint: Fingerprint,
    /// Milliseconds since the grant.
    pub age_ms: u32,
    /// Milliseconds until the deadline of the request.
    pub remaining_ms: u32,
}

/// All leases that a gateway holds in a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldLeases {
    /// Shard of the leases.
    pub shard: ShardId,
    /// Leases granted by earlier dispatchers of the shard.
    pub leases: Vec<HeldLease>,
}
