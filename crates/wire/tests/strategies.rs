//! Strategies that generate messages within the limits of the codec.

use std::net;

use proptest::collection::vec;
use proptest::prelude::*;
use strum::IntoEnumIterator;
use toucanledge_claims::{
    AttemptId, ClaimKey, ClaimOutcome, ClaimRecord, StoredResponse, VoteDecision, VoteRefusal,
    VoteReply, VoteRequest,
};
use toucanledge_core::{
    CallerHash, ClassId, FailureDomainId, Fingerprint, Incarnation, ListVersion, Millis, PoolId,
    RefusalReason, ShardId, TableRevision, VmEntry, VmId, VmList, VmRole, VmState,
};
use toucanledge_membership::{CrashSuspicion, GatewayState, Heartbeat};
use toucanledge_slots::{
    HeldLease, HeldLeases, LeaseGrant, LeaseId, LeaseOutcome, LeaseQueued, LeaseRefusal,
    LeaseReply, LeaseReport, LeaseRequest, LeaseRequestId, RouteHash,
};
use toucanledge_wire::PeerMessage;

/// Generates any link message except a hello.
pub fn message() -> impl Strategy<Value = PeerMessage> {
    prop_oneof![lease_message(), claim_message(), table_or_list_message()]
}

/// Generates any heartbeat.
pub fn heartbeat() -> impl Strategy<Value = Heartbeat> {
    let suspicion =
        (any::<u128>(), any::<u8>(), any::<u32>()).prop_map(|(hash, lost_backends, age_ms)| {
            CrashSuspicion {
                fingerprint: Fingerprint(hash),
                lost_backends,
                age_ms,
            }
        });
    (
        (any::<u32>(), any::<u64>(), any::<bool>(), any::<bool>()),
        (any::<u64>(), any::<u64>(), any::<Option<u64>>()),
        any::<u64>(),
        vec(any::<u64>().prop_map(ListVersion), 0..=16),
        vec(any::<u32>().prop_map(VmId), 0..=8),
        vec(suspicion, 0..=4),
        vec(any::<u32>().prop_map(VmId), 0..=8),
    )
        .prop_map(
            |(sender, times, list_version, history, unreachable, suspicions, leaving)| {
                let (from, incarnation, is_leaving, established) = sender;
                let (table_revision, sent_at, echo) = times;
                Heartbeat {
                    from: VmId(from),
                    incarnation: Incarnation(incarnation),
                    state: if is_leaving {
                        GatewayState::Leaving
                    } else {
                        GatewayState::Live
                    },
                    established,
                    list_version: ListVersion(list_version),
                    history,
                    table_revision: TableRevision(table_revision),
                    sent_at: Millis(sent_at),
                    echo: echo.map(Millis),
                    unreachable,
                    suspicions,
                    leaving,
                }
            },
        )
}

fn lease_message() -> impl Strategy<Value = PeerMessage> {
    prop_oneof![
        (
            any::<u64>(),
            shard(),
            any::<(u64, u64, u64, u128)>(),
            any::<u32>(),
            vec(any::<u32>().prop_map(VmId), 0..8)
        )
            .prop_map(
                |(request_id, shard, (class, caller, route, hash), remaining_ms, exclude)| {
                    PeerMessage::LeaseRequest(LeaseRequest {
                        request_id: LeaseRequestId(request_id),
                        shard,
                        class: ClassId(class),
                        caller: CallerHash(caller),
                        route: RouteHash(route),
                        fingerprint: Fingerprint(hash),
                        remaining_ms,
                        exclude,
                    })
                }
            ),
        any::<(u64, u32)>().prop_map(|(request_id, expected_wait_ms)| {
            PeerMessage::LeaseReply(LeaseReply::Queued(LeaseQueued {
                request_id: LeaseRequestId(request_id),
                expected_wait_ms,
            }))
        }),
        any::<(u64, u64, u32, u64, u32)>().prop_map(
            |(request_id, lease, backend, table_revision, expected_wait_ms)| {
                PeerMessage::LeaseReply(LeaseReply::Grant(LeaseGrant {
                    request_id: LeaseRequestId(request_id),
                    lease: LeaseId(lease),
                    backend: VmId(backend),
                    table_revision: TableRevision(table_revision),
                    expected_wait_ms,
                }))
            }
        ),
        (any::<(u64, u32, u64, u32)>(), refusal_reason()).prop_map(
            |((request_id, retry_after_ms, table_revision, expected_wait_ms), reason)| {
                PeerMessage::LeaseReply(LeaseReply::Refusal(LeaseRefusal {
                    request_id: LeaseRequestId(request_id),
                    reason,
                    retry_after_ms,
                    table_revision: TableRevision(table_revision),
                    expected_wait_ms,
                }))
            }
        ),
        (shard(), any::<(u64, u32, bool)>(), lease_outcome()).prop_map(
            |(shard, (lease, service_time_ms, leaving), outcome)| PeerMessage::LeaseReport {
                shard,
                report: LeaseReport {
                    lease: LeaseId(lease),
                    outcome,
                    service_time_ms,
                    leaving,
                },
            }
        ),
        (shard(), any::<u64>()).prop_map(|(shard, request_id)| PeerMessage::LeaseCancel {
            shard,
            request_id: LeaseRequestId(request_id),
        }),
        (shard(), vec(held_lease(), 0..20))
            .prop_map(|(shard, leases)| PeerMessage::HeldLeases(HeldLeases { shard, leases })),
        (shard(), any::<u32>()).prop_map(|(shard, backend)| PeerMessage::LeaseRevoke {
            shard,
            backend: VmId(backend),
        }),
    ]
}

fn claim_message() -> impl Strategy<Value = PeerMessage> {
    prop_oneof![
        (any::<u128>(), attempt(), any::<u64>()).prop_map(|(key, attempt, list_version)| {
            PeerMessage::VoteRequest(VoteRequest {
                key: ClaimKey(key),
                attempt,
                list_version: ListVersion(list_version),
            })
        }),
        (any::<u128>(), attempt(), vote_decision()).prop_map(|(key, attempt, decision)| {
            PeerMessage::VoteReply(VoteReply {
                key: ClaimKey(key),
                attempt,
                decision,
            })
        }),
        (any::<u128>(), attempt(), claim_outcome()).prop_map(|(key, attempt, outcome)| {
            PeerMessage::ClaimRecord(ClaimRecord {
                key: ClaimKey(key),
                attempt,
                outcome,
            })
        }),
    ]
}

fn table_or_list_message() -> impl Strategy<Value = PeerMessage> {
    prop_oneof![
        any::<u64>().prop_map(|revision| PeerMessage::TableRequest {
            known_revision: TableRevision(revision)
        }),
        (
            any::<u64>(),
            ".{0,200}",
            vec(("[a-z/]{1,20}", ".{0,200}"), 0..4)
        )
            .prop_map(|(revision, head, parts)| PeerMessage::TableReply {
                revision: TableRevision(revision),
                head,
                parts,
            }),
        vec(any::<u64>().prop_map(ListVersion), 0..=16)
            .prop_map(|known_versions| PeerMessage::ListRequest { known_versions }),
        vec(vm_list(), 0..4).prop_map(|lists| PeerMessage::ListReply { lists }),
    ]
}

fn shard() -> impl Strategy<Value = ShardId> {
    any::<(u64, u16, u16)>().prop_map(|(pool, domain, index)| ShardId {
        pool: PoolId(pool),
        domain: FailureDomainId(domain),
        index,
    })
}

fn held_lease() -> impl Strategy<Value = HeldLease> {
    any::<(u64, u32, u64, u64, u128, u32, u32)>().prop_map(
        |(lease, backend, class, caller, hash, age_ms, remaining_ms)| HeldLease {
            lease: LeaseId(lease),
            backend: VmId(backend),
            class: ClassId(class),
            caller: CallerHash(caller),
            fingerprint: Fingerprint(hash),
            age_ms,
            remaining_ms,
        },
    )
}

fn refusal_reason() -> impl Strategy<Value = RefusalReason> {
    prop::sample::select(RefusalReason::iter().collect::<Vec<_>>())
}

fn lease_outcome() -> impl Strategy<Value = LeaseOutcome> {
    prop::sample::select(vec![
        LeaseOutcome::Completed,
        LeaseOutcome::ConnectFailed,
        LeaseOutcome::ConnectionLost,
        LeaseOutcome::BadAnswer,
        LeaseOutcome::Shed,
        LeaseOutcome::DeadlineExceeded,
        LeaseOutcome::Cancelled,
    ])
}

fn attempt() -> impl Strategy<Value = AttemptId> {
    any::<(u32, u64, u64)>().prop_map(|(gateway, incarnation, counter)| AttemptId {
        gateway: VmId(gateway),
        incarnation: Incarnation(incarnation),
        counter,
    })
}

fn claim_outcome() -> impl Strategy<Value = ClaimOutcome> {
    prop_oneof![
        Just(ClaimOutcome::NotRun),
        Just(ClaimOutcome::RanUnstored),
        Just(ClaimOutcome::Unknown),
        (
            100_u16..1_000,
            vec(("[a-z-]{1,20}", vec(any::<u8>(), 0..40)), 0..4),
            vec(any::<u8>(), 0..5_000)
        )
            .prop_map(|(status, headers, body)| ClaimOutcome::Ran(StoredResponse {
                status,
                headers,
                body: body.into(),
            })),
    ]
}

fn vote_decision() -> impl Strategy<Value = VoteDecision> {
    let refusal = prop::sample::select(vec![
        VoteRefusal::ListVersion,
        VoteRefusal::NotEstablished,
        VoteRefusal::NoLease,
        VoteRefusal::NewVoter,
        VoteRefusal::Full,
    ]);
    prop_oneof![
        Just(VoteDecision::Granted),
        attempt().prop_map(VoteDecision::HeldBy),
        (attempt(), claim_outcome())
            .prop_map(|(attempt, outcome)| VoteDecision::Ended(attempt, outcome)),
        (refusal, any::<u64>())
            .prop_map(|(refusal, version)| VoteDecision::Refused(refusal, ListVersion(version))),
    ]
}

fn vm_list() -> impl Strategy<Value = VmList> {
    let entry = (
        ".{0,20}",
        any::<(bool, bool)>(),
        any::<u16>(),
        any::<net::IpAddr>(),
        any::<u16>(),
    );
    (any::<u64>(), vec(entry, 0..8)).prop_map(|(version, entries)| VmList {
        version: ListVersion(version),
        vms: entries
            .into_iter()
            .zip(1..)
            .map(|((name, (gateway, leaving), domain, ip, port), vm)| {
                let address = net::SocketAddr::new(ip, port);
                VmEntry {
                    vm: VmId(vm),
                    name,
                    role: if gateway {
                        VmRole::Gateway
                    } else {
                        VmRole::Backend
                    },
                    failure_domain: FailureDomainId(domain),
                    peer: gateway.then_some(address),
                    address: (!gateway).then_some(address),
                    state: if leaving {
                        VmState::Leaving
                    } else {
                        VmState::Live
                    },
                }
            })
            .collect(),
    })
}
