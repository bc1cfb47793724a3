//! Messages between gateways and the dispatcher of a shard: lease requests, replies and reports.

use toucanledge_core::{
    CallerHash, ClassId, Fingerprint, RefusalReason, ShardId, TableRevision, VmId,
};

/// Identifies a lease request among those of one gateway process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseRequestId(pub u64);

/// Identifies a lease among those of one dispatcher process; carries a generation, so that a
/// reused entry has a new id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(pub u64);

/// Hash of method and path of a request, without its caller and body.
///
/// The long-work predictor counts by route too, so that it also works for a caller that sends the
/// request for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteHash(pub u64);

/// Lease request: a gateway asks the dispatcher of a shard for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRequest {
    /// Identifies the lease request.
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
    /// Backend servers that earlier attempts of this request used; none of them is granted.
    pub exclude: Vec<VmId>,
}

/// Lease reply that grants a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Lease request that is replied to.
    pub request_id: LeaseRequestId,
    /// Lease that the gateway reports on.
    pub lease: LeaseId,
    /// Backend server to use.
    pub backend: VmId,
    /// Table revision that the decision is based on.
    pub table_revision: TableRevision,
    /// Expected wait in milliseconds of the next request of this class.
    pub expected_wait_ms: u32,
}

/// Lease reply that refuses a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRefusal {
    /// Lease request that is replied to.
    pub request_id: LeaseRequestId,
    /// Why the lease request is refused.
    pub reason: RefusalReason,
    /// Milliseconds after which a retry may succeed.
    pub retry_after_ms: u32,
    /// Table revision that the decision is based on.
    pub table_revision: TableRevision,
    /// Expected wait in milliseconds of the next request of this class.
    pub expected_wait_ms: u32,
}

/// Interim lease reply: the request is queued, and a grant or refusal follows.
///
/// It shows the gateway that the dispatcher is alive; without any reply in time, the gateway asks
/// another dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseQueued {
    /// Lease request that is queued.
    pub request_id: LeaseRequestId,
    /// Expected wait in milliseconds.
    pub expected_wait_ms: u32,
}

/// Reply of a dispatcher to a lease request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseReply {
    /// The request is queued; another reply follows.
    Queued(LeaseQueued),
    /// The slot is granted.
    Grant(LeaseGrant),
    /// The slot is refused.
    Refusal(LeaseRefusal),
}

impl LeaseReply {
    /// Returns the id of the lease request that is replied to.
    #[must_use]
    pub const fn request_id(&self) -> LeaseRequestId {
        match self {
            Self::Queued(queued) => queued.request_id,
            Self::Grant(grant) => grant.request_id,
            Self::Refusal(refusal) => refusal.request_id,
        }
    }
}

/// How a lease ended.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum LeaseOutcome {
    /// The backend server sent a complete response.
    Completed,
    /// The connection could not be opened.
    ConnectFailed,
    /// The connection broke after the first byte was sent.
    ConnectionLost,
    /// The response was truncated, malformed or belonged to another request.
    BadAnswer,
    /// The backend server rejected the request as overloaded.
    Shed,
    /// The deadline of the request passed before the response was complete.
    DeadlineExceeded,
    /// The caller disconnected, or the gateway did not use the slot.
    Cancelled,
}

/// Lease report: a gateway reports how a lease ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseReport {
    /// Lease that ended.
    pub lease: LeaseId,
    /// Outcome of the lease.
    pub outcome: LeaseOutcome,
    /// Milliseconds from the first byte sent to the end of the response.
    pub service_time_ms: u32,
    /// The backend server announced that it is leaving.
    pub leaving: bool,
}

/// A lease that a gateway holds, as reported to a new dispatcher.
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
    /// Fingerprint of the request, by which the new dispatcher detects a crash suspect.
    pub fingerprint: Fingerprint,
    /// Milliseconds since the grant.
    pub age_ms: u32,
    /// Milliseconds until the deadline of the request.
    pub remaining_ms: u32,
}

/// All leases that a gateway holds in a shard, sent to a new dispatcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldLeases {
    /// Shard of the leases.
    pub shard: ShardId,
    /// Leases granted by earlier dispatchers of the shard.
    pub leases: Vec<HeldLease>,
}
