//! Slot messages as they travel.

use serde::{Deserialize, Serialize};
use toucanledge_core::{
    CallerHash, ClassId, FailureDomainId, Fingerprint, PoolId, RefusalReason, ShardId,
    TableRevision, VmId,
};
use toucanledge_slots::{
    AskId, HeldLease, LeaseId, RouteHash, SlotAsk, SlotGrant, SlotHolds, SlotOutcome, SlotQueued,
    SlotRefusal, SlotReply, SlotReport,
};

use super::{WireHash, hash_value, wire_hash};
use crate::error::LimitError;

/// Pool, domain, index.
#[derive(Serialize, Deserialize)]
pub struct WireShard(u64, u16, u16);

/// Ask, shard, class, caller, route, fingerprint, time to the deadline, exclusions.
#[derive(Serialize, Deserialize)]
pub struct WireSlotAsk(u64, WireShard, u64, u64, u64, WireHash, u32, Vec<u32>);

#[derive(Serialize, Deserialize)]
pub enum WireSlotReply {
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
pub struct WireSlotReport(u64, u8, u32, bool);

/// Lease, backend server, class, caller, fingerprint, age, time to the deadline.
#[derive(Serialize, Deserialize)]
pub struct WireHeldLease(u64, u32, u64, u64, WireHash, u32, u32);

/// Shard, leases.
#[derive(Serialize, Deserialize)]
pub struct WireSlotHolds(WireShard, Vec<WireHeldLease>);

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

impl From<&SlotAsk> for WireSlotAsk {
    fn from(ask: &SlotAsk) -> Self {
        Self(
            ask.ask.0,
            ask.shard.into(),
            ask.class.0,
            ask.caller.0,
            ask.route.0,
            wire_hash(ask.fingerprint.0),
            ask.deadline_left,
            ask.exclude.iter().map(|vm| vm.0).collect(),
        )
    }
}

impl From<WireSlotAsk> for SlotAsk {
    fn from(ask: WireSlotAsk) -> Self {
        let WireSlotAsk(ask, shard, class, caller, route, fingerprint, deadline_left, exclude) =
            ask;
        Self {
            ask: AskId(ask),
            shard: shard.into(),
            class: ClassId(class),
            caller: CallerHash(caller),
            route: RouteHash(route),
            fingerprint: Fingerprint(hash_value(fingerprint)),
            deadline_left,
            exclude: exclude.into_iter().map(VmId).collect(),
        }
    }
}

impl From<&SlotReply> for WireSlotReply {
    fn from(reply: &SlotReply) -> Self {
        match reply {
            SlotReply::Queued(queued) => Self::Queued(queued.ask.0, queued.expected_wait),
            SlotReply::Grant(grant) => Self::Grant(
                grant.ask.0,
                grant.lease.0,
                grant.backend.0,
                grant.table.0,
                grant.expected_wait,
            ),
            SlotReply::Refusal(refusal) => Self::Refusal(
                refusal.ask.0,
                refusal.reason.to_string(),
                refusal.retry_after,
                refusal.table.0,
                refusal.expected_wait,
            ),
        }
    }
}

impl TryFrom<WireSlotReply> for SlotReply {
    type Error = LimitError;

    fn try_from(reply: WireSlotReply) -> Result<Self, LimitError> {
        Ok(match reply {
            WireSlotReply::Queued(ask, expected_wait) => Self::Queued(SlotQueued {
                ask: AskId(ask),
                expected_wait,
            }),
            WireSlotReply::Grant(ask, lease, backend, table, expected_wait) => {
                Self::Grant(SlotGrant {
                    ask: AskId(ask),
                    lease: LeaseId(lease),
                    backend: VmId(backend),
                    table: TableRevision(table),
                    expected_wait,
                })
            }
            WireSlotReply::Refusal(ask, reason, retry_after, table, expected_wait) => {
                Self::Refusal(SlotRefusal {
                    ask: AskId(ask),
                    reason: refusal_reason(&reason)?,
                    retry_after,
                    table: TableRevision(table),
                    expected_wait,
                })
            }
        })
    }
}

impl From<&SlotReport> for WireSlotReport {
    fn from(report: &SlotReport) -> Self {
        Self(
            report.lease.0,
            outcome_code(report.outcome),
            report.service_time,
            report.leaving,
        )
    }
}

impl TryFrom<WireSlotReport> for SlotReport {
    type Error = LimitError;

    fn try_from(report: WireSlotReport) -> Result<Self, LimitError> {
        let WireSlotReport(lease, outcome, service_time, leaving) = report;
        Ok(Self {
            lease: LeaseId(lease),
            outcome: slot_outcome(outcome)?,
            service_time,
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
            held.age,
            held.deadline_left,
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
            age,
            deadline_left,
        }
    }
}

impl From<&SlotHolds> for WireSlotHolds {
    fn from(holds: &SlotHolds) -> Self {
        Self(
            holds.shard.into(),
            holds.holds.iter().map(Into::into).collect(),
        )
    }
}

impl From<WireSlotHolds> for SlotHolds {
    fn from(WireSlotHolds(shard, holds): WireSlotHolds) -> Self {
        Self {
            shard: shard.into(),
            holds: holds.into_iter().map(Into::into).collect(),
        }
    }
}

fn refusal_reason(name: &str) -> Result<RefusalReason, LimitError> {
    name.parse().map_err(|_| LimitError::Unknown {
        what: "refusal reason",
        code: name.chars().take(40).collect(),
    })
}

fn outcome_code(outcome: SlotOutcome) -> u8 {
    match outcome {
        SlotOutcome::Completed => 0,
        SlotOutcome::ConnectFailed => 1,
        SlotOutcome::ConnectionLost => 2,
        SlotOutcome::BadAnswer => 3,
        SlotOutcome::Shed => 4,
        SlotOutcome::DeadlineExceeded => 5,
        SlotOutcome::Cancelled => 6,
    }
}

fn slot_outcome(code: u8) -> Result<SlotOutcome, LimitError> {
    Ok(match code {
        0 => SlotOutcome::Completed,
        1 => SlotOutcome::ConnectFailed,
        2 => SlotOutcome::ConnectionLost,
        3 => SlotOutcome::BadAnswer,
        4 => SlotOutcome::Shed,
        5 => SlotOutcome::DeadlineExceeded,
        6 => SlotOutcome::Cancelled,
        _ => {
            return Err(LimitError::Unknown {
                what: "slot outcome",
                code: code.to_string(),
            });
        }
    })
}
