//! Rows, asks and reports for the tests.

use std::sync;

use toucanledge_core::{
    CallerHash, ClassId, FailureDomainId, Fingerprint, Millis, PoolId, RefusalReason, ShardId,
    TableRevision, VmId, VmState,
};
use toucanledge_slots::{
    AskId, BackendPolicy, ClassPolicy, DispatchStep, ListedServer, RouteHash, ShardDispatcher,
    ShardPolicy, SlotAsk, SlotGrant, SlotOutcome, SlotRefusal, SlotReply, SlotReport,
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
        rate: 0.0,
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
        table: TableRevision(12),
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
    dispatcher_of(vec![class_row("read")], servers, slots)
}

pub fn dispatcher_of(classes: Vec<ClassPolicy>, servers: u32, slots: u32) -> ShardDispatcher {
    let mut dispatcher = ShardDispatcher::new(shard(), 7);
    dispatcher.set_policy(policy(classes, servers, slots), Millis(0));
    dispatcher.set_servers(listed(0..servers), Millis(0));
    dispatcher
}

pub fn ask(number: u64) -> SlotAsk {
    SlotAsk {
        ask: AskId(number),
        shard: shard(),
        class: ClassId::of("read"),
        caller: CallerHash(number),
        route: RouteHash(1),
        fingerprint: Fingerprint(u128::from(number)),
        deadline_left: 2_000,
        exclude: Vec::new(),
    }
}

pub fn replies(steps: &[DispatchStep]) -> Vec<(VmId, SlotReply)> {
    let reply = |step: &DispatchStep| match step {
        DispatchStep::Reply { gateway, reply } => Some((*gateway, reply.clone())),
        _ => None,
    };
    steps.iter().filter_map(reply).collect()
}

pub fn grants(steps: &[DispatchStep]) -> Vec<SlotGrant> {
    let grant = |(_, reply)| match reply {
        SlotReply::Grant(grant) => Some(grant),
        SlotReply::Refusal(_) | SlotReply::Queued(_) => None,
    };
    replies(steps).into_iter().filter_map(grant).collect()
}

pub fn refusals(steps: &[DispatchStep]) -> Vec<SlotRefusal> {
    let refusal = |(_, reply)| match reply {
        SlotReply::Grant(_) | SlotReply::Queued(_) => None,
        SlotReply::Refusal(refusal) => Some(refusal),
    };
    replies(steps).into_iter().filter_map(refusal).collect()
}

pub fn granted(steps: &[DispatchStep]) -> SlotGrant {
    let grants = grants(steps);
    assert_eq!(grants.len(), 1, "expected one grant in {steps:?}");
    grants[0].clone()
}

pub fn refused(steps: &[DispatchStep]) -> RefusalReason {
    let refusals = refusals(steps);
    assert_eq!(refusals.len(), 1, "expected one refusal in {steps:?}");
    refusals[0].reason
}

pub fn report(grant: &SlotGrant, outcome: SlotOutcome, service_time: u32) -> SlotReport {
    SlotReport {
        lease: grant.lease,
        outcome,
        service_time,
        leaving: false,
    }
}

pub fn ejected(steps: &[DispatchStep]) -> Vec<VmId> {
    let backend = |step: &DispatchStep| match step {
        DispatchStep::Ejected(note) => Some(note.backend),
        _ => None,
    };
    steps.iter().filter_map(backend).collect()
}
