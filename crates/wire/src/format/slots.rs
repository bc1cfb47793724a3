//! Wire format of lease messages.

use serde::{Deserialize, Serialize};
use toucanledge_core::{
    CallerHash, ClassId, FailureDomainId, Fingerprint, PoolId, RefusalReason, ShardId,
    TableRevision, VmId,
};
use toucanledge_slots::{
    HeldLease, HeldLeases, LeaseGrant, LeaseId, LeaseOutcome, LeaseQueued, LeaseRefusal,
    LeaseReply, LeaseReport, LeaseRequest, LeaseRequestId, RouteHash,
};

use super::{WireHash, hash_value, wire_hash};
use crate::error::ValidationError;

/// Pool, failure domain, index.
#[derive(Serialize, Deserialize)]
pub struct WireShard(u64, u16, u16);

/// Request id, shard, class, caller, route, fingerprint, milliseconds until the deadline, excluded
/// backend servers.
#[derive(Serialize, Deserialize)]
pub struct WireLeaseRequest(u64, WireShard, u64, u64, u64, WireHash, u32, Vec<u32>);

#[derive(Serialize, Deserialize)]
pub enum WireLeaseReply {
    /// Request id, expected wait in milliseconds.
    #[serde(rename = "q")]
    Queued(u64, u32),
    /// Request id, lease, backend server, table revision, expected wait in milliseconds.
    #[serde(rename = "g")]
    Grant(u64, u64, u32, u64, u32),
    /// Request id, reason, milliseconds until a retry, table revision, expected wait in
    /// milliseconds.
    #[serde(rename = "r")]
    Refusal(u64, String, u32, u64, u32),
}

/// Lease, code of the outcome, service time in milliseconds, whether the backend server is
/// leaving.
#[derive(Serialize, Deserialize)]
pub struct WireLeaseReport(u64, u8, u32, bool);

/// Lease, backend server, class, caller, fingerprint, age in milliseconds, milliseconds until the
/// deadline.
#[derive(Serialize, Deserialize)]
pub struct WireHeldLease(u64, u32, u64, u64, WireHash, u32, u32);

/// Shard, leases.
#[derive(Serialize, Deserialize)]
pub struct WireHeldLeases(WireShard, Vec<WireHeldLease>);

impl From<ShardId> for WireShard {
    fn from(shard: ShardId) -> Self {
        Self(shard.pool.0, shard.domain.0, shard.index)
    }
}

impl From<WireShard> for ShardId {
    fn from(WireShard(pool, domain, index): WireShard) -> Self {
        Self {
            pool: PoolId(pool),
            domain: FailureDomainId(domain),
            index,
        }
    }
}

impl From<&LeaseRequest> for WireLeaseRequest {
    fn from(request: &LeaseRequest) -> Self {
        Self(
            request.request_id.0,
            request.shard.into(),
            request.class.0,
            request.caller.0,
            request.route.0,
            wire_hash(request.fingerprint.0),
            request.remaining_ms,
            request.exclude.iter().map(|vm| vm.0).collect(),
        )
    }
}

impl From<WireLeaseRequest> for LeaseRequest {
    fn from(request: WireLeaseRequest) -> Self {
        let WireLeaseRequest(
            request_id,
            shard,
            class,
            caller,
            route,
            fingerprint,
            remaining_ms,
            exclude,
        ) = request;
        Self {
            request_id: LeaseRequestId(request_id),
            shard: shard.into(),
            class: ClassId(class),
            caller: CallerHash(caller),
            route: RouteHash(route),
            fingerprint: Fingerprint(hash_value(fingerprint)),
            remaining_ms,
            exclude: exclude.into_iter().map(VmId).collect(),
        }
    }
}

impl From<&LeaseReply> for WireLeaseReply {
    fn from(reply: &LeaseReply) -> Self {
        match reply {
            LeaseReply::Queued(queued) => {
                Self::Queued(queued.request_id.0, queued.expected_wait_ms)
            }
            LeaseReply::Grant(grant) => Self::Grant(
                grant.request_id.0,
                grant.lease.0,
                grant.backend.0,
                grant.table_revision.0,
                grant.expected_wait_ms,
            ),
            LeaseReply::Refusal(refusal) => Self::Refusal(
                refusal.request_id.0,
                refusal.reason.to_string(),
                refusal.retry_after_ms,
                refusal.table_revision.0,
                refusal.expected_wait_ms,
            ),
        }
    }
}

impl TryFrom<WireLeaseReply> for LeaseReply {
    type Error = ValidationError;

    fn try_from(reply: WireLeaseReply) -> Result<Self, ValidationError> {
        Ok(match reply {
            WireLeaseReply::Queued(request_id, expected_wait_ms) => Self::Queued(LeaseQueued {
                request_id: LeaseRequestId(request_id),
                expected_wait_ms,
            }),
            WireLeaseReply::Grant(request_id, lease, backend, table_revision, expected_wait_ms) => {
                Self::Grant(LeaseGrant {
                    request_id: LeaseRequestId(request_id),
                    lease: LeaseId(lease),
                    backend: VmId(backend),
                    table_revision: TableRevision(table_revision),
                    expected_wait_ms,
                })
            }
            WireLeaseReply::Refusal(
                request_id,
                reason,
                retry_after_ms,
                table_revision,
                expected_wait_ms,
            ) => Self::Refusal(LeaseRefusal {
                request_id: LeaseRequestId(request_id),
                reason: refusal_reason(&reason)?,
                retry_after_ms,
                table_revision: TableRevision(table_revision),
                expected_wait_ms,
            }),
        })
    }
}

impl From<&LeaseReport> for WireLeaseReport {
    fn from(report: &LeaseReport) -> Self {
        Self(
            report.lease.0,
            outcome_code(report.outcome),
            report.service_time_ms,
            report.leaving,
        )
    }
}

impl TryFrom<WireLeaseReport> for LeaseReport {
    type Error = ValidationError;

    fn try_from(report: WireLeaseReport) -> Result<Self, ValidationError> {
        let WireLeaseReport(lease, outcome, service_time_ms, leaving) = report;
        Ok(Self {
            lease: LeaseId(lease),
            outcome: lease_outcome(outcome)?,
            service_time_ms,
            leaving,
        })
    }
}

impl From<&HeldLease> for WireHeldLease {
    fn from(lease: &HeldLease) -> Self {
        Self(
            lease.lease.0,
            lease.backend.0,
            lease.class.0,
            lease.caller.0,
            wire_hash(lease.fingerprint.0),
            lease.age_ms,
            lease.remaining_ms,
        )
    }
}

impl From<WireHeldLease> for HeldLease {
    fn from(lease: WireHeldLease) -> Self {
        let WireHeldLease(lease, backend, class, caller, fingerprint, age_ms, remaining_ms) = lease;
        Self {
            lease: LeaseId(lease),
            backend: VmId(backend),
            class: ClassId(class),
            caller: CallerHash(caller),
            fingerprint: Fingerprint(hash_value(fingerprint)),
            age_ms,
            remaining_ms,
        }
    }
}

impl From<&HeldLeases> for WireHeldLeases {
    fn from(held: &HeldLeases) -> Self {
        Self(
            held.shard.into(),
            held.leases.iter().map(Into::into).collect(),
        )
    }
}

impl From<WireHeldLeases> for HeldLeases {
    fn from(WireHeldLeases(shard, leases): WireHeldLeases) -> Self {
        Self {
            shard: shard.into(),
            leases: leases.into_iter().map(Into::into).collect(),
        }
    }
}

fn refusal_reason(name: &str) -> Result<RefusalReason, ValidationError> {
    name.parse().map_err(|_| ValidationError::UnknownCode {
        what: "refusal reason",
        code: name.chars().take(40).collect(),
    })
}

fn outcome_code(outcome: LeaseOutcome) -> u8 {
    match outcome {
        LeaseOutcome::Completed => 0,
        LeaseOutcome::ConnectFailed => 1,
        LeaseOutcome::ConnectionLost => 2,
        LeaseOutcome::BadAnswer => 3,
        LeaseOutcome::Shed => 4,
        LeaseOutcome::DeadlineExceeded => 5,
        LeaseOutcome::Cancelled => 6,
    }
}

fn lease_outcome(code: u8) -> Result<LeaseOutcome, ValidationError> {
    Ok(match code {
        0 => LeaseOutcome::Completed,
        1 => LeaseOutcome::ConnectFailed,
        2 => LeaseOutcome::ConnectionLost,
        3 => LeaseOutcome::BadAnswer,
        4 => LeaseOutcome::Shed,
        5 => LeaseOutcome::DeadlineExceeded,
        6 => LeaseOutcome::Cancelled,
        _ => {
            return Err(ValidationError::UnknownCode {
                what: "lease outcome",
                code: code.to_string(),
            });
        }
    })
}
