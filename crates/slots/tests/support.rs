//! Policy rows, lease requests and reports for the tests.

use std::sync;

use toucanledge_core::{
    CallerHash, ClassId, FailureDomainId, Fingerprint, Millis, PoolId, RefusalReason, ShardId,
    TableRevision, VmId, VmState,
};
use toucanledge_slots::{
    BackendPolicy, ClassPolicy, DispatchAction, LeaseGrant, LeaseOutcome, LeaseRefusal, LeaseReply,
    LeaseReport, LeaseRequest, LeaseRequestId, ListedServer, RouteHash, ShardDispatcher,
    ShardPolicy,
};

pub const GATEWAY: VmId = VmId(1);

pub fn shard() -> ShardId {
    ShardId {
        pool: PoolId::of("reading"),
        domain: FailureDomainId(1),
        index: 0,
    }
}

pub fn class_row(name: &str) -> ClassPolicy {
    ClassPolicy {
        class: ClassId::of(name),
        row: sync::Arc::from(name),
        weight: 1.0,
        queue_ms: 200,
        slot_share: 1.0,
        rate_limit_per_s: 0.0,
        floor: 0.7,
        keyed: false,
    }
}

pub fn backend(index: u32) -> VmId {
    VmId(1000 + index)
}

pub fn policy(classes: Vec<ClassPolicy>, servers: u32, slots: u32) -> ShardPolicy {
    let backends = (0..servers).map(|index| BackendPolicy {
        backend: backend(index),
        row: sync::Arc::from(format!("reading-{index:02}")),
        weight: 1.0,
        slots,
        connections: 330,
    });
    ShardPolicy {
        table_revision: TableRevision(12),
        classes,
        backends: backends.collect(),
    }
}

pub fn listed(indexes: impl IntoIterator<Item = u32>) -> Vec<ListedServer> {
    let entry = |index| ListedServer {
        backend: backend(index),
        state: VmState::Live,
    };
    indexes.into_iter().map(entry).collect()
}

/// Returns a dispatcher with one class `read` and equal backend servers.
pub fn dispatcher(servers: u32, slots: u32) -> ShardDispatcher {
    dispatcher_with(vec![class_row("read")], servers, slots)
}

pub fn dispatcher_with(classes: Vec<ClassPolicy>, servers: u32, slots: u32) -> ShardDispatcher {
    let mut dispatcher = ShardDispatcher::new(shard(), 7);
    dispatcher.set_policy(policy(classes, servers, slots), Millis(0));
    dispatcher.set_servers(listed(0..servers), Millis(0));
    dispatcher
}

pub fn lease_request(number: u64) -> LeaseRequest {
    LeaseRequest {
        request_id: LeaseRequestId(number),
        shard: shard(),
        class: ClassId::of("read"),
        caller: CallerHash(number),
        route: RouteHash(1),
        fingerprint: Fingerprint(u128::from(number)),
        remaining_ms: 2_000,
        exclude: Vec::new(),
    }
}

pub fn replies(actions: &[DispatchAction]) -> Vec<(VmId, LeaseReply)> {
    let reply = |action: &DispatchAction| match action {
        DispatchAction::Reply { gateway, reply } => Some((*gateway, reply.clone())),
        _ => None,
    };
    actions.iter().filter_map(reply).collect()
}

pub fn grants(actions: &[DispatchAction]) -> Vec<LeaseGrant> {
    let grant = |(_, reply)| match reply {
        LeaseReply::Grant(grant) => Some(grant),
        LeaseReply::Refusal(_) | LeaseReply::Queued(_) => None,
    };
    replies(actions).into_iter().filter_map(grant).collect()
}

pub fn refusals(actions: &[DispatchAction]) -> Vec<LeaseRefusal> {
    let refusal = |(_, reply)| match reply {
        LeaseReply::Grant(_) | LeaseReply::Queued(_) => None,
        LeaseReply::Refusal(refusal) => Some(refusal),
    };
    replies(actions).into_iter().filter_map(refusal).collect()
}

pub fn granted(actions: &[DispatchAction]) -> LeaseGrant {
    let grants = grants(actions);
    assert_eq!(grants.len(), 1, "expected one grant in {actions:?}");
    grants[0].clone()
}

pub fn refused(actions: &[DispatchAction]) -> RefusalReason {
    let refusals = refusals(actions);
    assert_eq!(refusals.len(), 1, "expected one refusal in {actions:?}");
    refusals[0].reason
}

pub fn report(grant: &LeaseGrant, outcome: LeaseOutcome, service_time_ms: u32) -> LeaseReport {
    LeaseReport {
        lease: grant.lease,
        outcome,
        service_time_ms,
        leaving: false,
    }
}

pub fn ejected(actions: &[DispatchAction]) -> Vec<VmId> {
    let backend = |action: &DispatchAction| match action {
        DispatchAction::Ejected(event) => Some(event.backend),
        _ => None,
    };
    actions.iter().filter_map(backend).collect()
}
