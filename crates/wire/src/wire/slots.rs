//! Slot messages as they travel.

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

/// Pool, domain, index.
#[derive(Serialize, Deserialize)]
pub struct WireShard(u64, u16, u16);

/// Ask, shard, class, caller, route, fingerprint, time to the deadline, exclusions.
#[derive(Serialize, Deserialize)]
pub struct WireLeaseRequest(u64, WireShard, u64, u64, u64, WireHash, u32, Vec<u32>);

#[derive(Serialize, Deserialize)]
pub enum WireLeaseReply {
    /// Ask, expected wait.
    #[serde(rename = "q")]
    Queued(u64, u32),
    /// Ask, lease, backend server, table, expected wait.
    #[serde(rename = "g")]
    Grant(u64, u64, u32, u64, u32),
    /// Ask, reason, time to the next try, table, expected wait.
    #[serde(rename = "r")]
    Refusal(u64, String, u32, u64, u32),
}

/// Lease, outcome, service time, leaving.
#[derive(Serialize, Deserialize)]
pub struct WireLeaseReport(u64, u8, u32, bool);

/// Lease, backend server, class, caller, fingerprint, age, time to the deadline.
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
    fn from(ask: &LeaseRequest) -> Self {
        Self(
            ask.request_id.0,
            ask.shard.into(),
            ask.class.0,
            ask.caller.0,
            ask.route.0,
            wire_hash(ask.fingerprint.0),
            ask.remaining_ms,
            ask.exclude.iter().map(|vm| vm.0).collect(),
        )
    }
}

impl From<WireLeaseRequest> for LeaseRequest {
    fn from(ask: WireLeaseRequest) -> Self {
        let WireLeaseRequest(ask, shard, class, caller, route, fingerprint, remaining_ms, exclude) =
            ask;
        Self {
            request_id: LeaseRequestId(ask),
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
            WireLeaseReply::Queued(ask, expected_wait) => Self::Queued(LeaseQueued {
                request_id: LeaseRequestId(ask),
                expected_wait_ms: expected_wait,
            }),
            WireLeaseReply::Grant(ask, lease, backend, table, expected_wait) => {
                Self::Grant(LeaseGrant {
                    request_id: LeaseRequestId(ask),
                    lease: LeaseId(lease),
                    backend: VmId(backend),
                    table_revision: TableRevision(table),
                    expected_wait_ms: expected_wait,
                })
            }
            WireLeaseReply::Refusal(ask, reason, retry_after, table, expected_wait) => {
                Self::Refusal(LeaseRefusal {
                    request_id: LeaseRequestId(ask),
                    reason: refusal_reason(&reason)?,
                    retry_after_ms: retry_after,
                    table_revision: TableRevision(table),
                    expected_wait_ms: expected_wait,
                })
            }
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
        let WireLeaseReport(lease, outcome, service_time, leaving) = report;
        Ok(Self {
            lease: LeaseId(lease),
            outcome: slot_outcome(outcome)?,
            service_time_ms: service_time,
            leaving,
        })
    }
}

impl From<&HeldLease> for WireHeldLease {
    fn from(held: &HeldLease) -> Self {
        Self(
            held.lease.0,
            held.backend.0,
            held.class.0,
            held.caller.0,
            wire_hash(held.fingerprint.0),
            held.age_ms,
            held.remaining_ms,
        )
    }
}

impl From<WireHeldLease> for HeldLease {
    fn from(held: WireHeldLease) -> Self {
        let WireHeldLease(lease, backend, class, caller, fingerprint, age, deadline_left) = held;
        Self {
            lease: LeaseId(lease),
            backend: VmId(backend),
            class: ClassId(class),
            caller: CallerHash(caller),
            fingerprint: Fingerprint(hash_value(fingerprint)),
            age_ms: age,
            remaining_ms: deadline_left,
        }
    }
}

impl From<&HeldLeases> for WireHeldLeases {
    fn from(holds: &HeldLeases) -> Self {
        Self(
            holds.shard.into(),
            holds.leases.iter().map(Into::into).collect(),
        )
    }
}

impl From<WireHeldLeases> for HeldLeases {
    fn from(WireHeldLeases(shard, holds): WireHeldLeases) -> Self {
        Self {
            shard: shard.into(),
            leases: holds.into_iter().map(Into::into).collect(),
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

fn slot_outcome(code: u8) -> Result<LeaseOutcome, ValidationError> {
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
                what: "slot outcome",
                code: code.to_string(),
            });
        }
    })
}
