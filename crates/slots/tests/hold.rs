//! Leases of earlier dispatchers, lost gateways and leaving backend servers.

use toucanledge_core::{CallerHash, ClassId, Fingerprint, Millis, RefusalReason, VmId, VmState};
use toucanledge_slots::{
    DispatchAction, HeldLease, HeldLeases, LeaseId, LeaseOutcome, LeaseReport, ListedServer,
    ServerState,
};

use crate::support;

fn hold(lease: u64, index: u32) -> HeldLease {
    HeldLease {
        lease: LeaseId(lease),
        backend: support::backend(index),
        class: ClassId::of("read"),
        caller: CallerHash(lease),
        fingerprint: Fingerprint(u128::from(lease)),
        age_ms: 10,
        remaining_ms: 500,
    }
}

fn holds(holds: Vec<HeldLease>) -> HeldLeases {
    HeldLeases {
        shard: support::shard(),
        leases: holds,
    }
}

/// Guards against slots that are granted twice after a change of dispatcher.
#[test]
fn adopted_holds_count_until_reported_or_ended() {
    let mut dispatcher = support::dispatcher(1, 2);
    let reported = holds(vec![hold(1, 0), hold(2, 0)]);
    dispatcher.adopt_leases(support::GATEWAY, &reported, Millis(0));
    dispatcher.adopt_leases(support::GATEWAY, &reported, Millis(1));
    assert!(
        dispatcher
            .request_lease(support::GATEWAY, support::ask(0), Millis(1))
            .is_empty()
    );
    let mut steps = dispatcher.request_lease(support::GATEWAY, support::ask(1), Millis(1));
    assert!(steps.is_empty());
    let done = LeaseReport {
        lease: LeaseId(1),
        outcome: LeaseOutcome::Completed,
        service_time_ms: 20,
        leaving: false,
    };
    steps = dispatcher.report_end(support::GATEWAY, done, Millis(20));
    assert_eq!(support::grants(&steps).len(), 1);
    dispatcher.tick(Millis(749));
    assert_eq!(dispatcher.status(Millis(749)).entry_counts[0], 2);
    dispatcher.tick(Millis(750));
    assert_eq!(dispatcher.status(Millis(750)).entry_counts[0], 1);
}

/// Guards against a request that crashes its backend server unnoticed while the dispatcher changes.
#[test]
fn a_crash_with_an_adopted_lease_names_its_request() {
    let mut dispatcher = support::dispatcher(2, 2);
    let held = hold(7, 0);
    dispatcher.adopt_leases(support::GATEWAY, &holds(vec![held]), Millis(0));
    let lost = LeaseReport {
        lease: held.lease,
        outcome: LeaseOutcome::ConnectionLost,
        service_time_ms: 5,
        leaving: false,
    };
    let steps = dispatcher.report_end(support::GATEWAY, lost, Millis(5));
    let backend = support::backend(0);
    assert!(steps.contains(&DispatchAction::Probe { backend }));
    let steps = dispatcher.on_probe_result(backend, false, Millis(10));
    assert!(steps.contains(&DispatchAction::CrashSuspects {
        backend,
        fingerprints: vec![held.fingerprint],
    }));
}

/// Guards against a late report that ends the lease that reuses its entry.
#[test]
fn late_report_is_ignored() {
    let mut dispatcher = support::dispatcher(1, 1);
    let first =
        support::granted(&dispatcher.request_lease(support::GATEWAY, support::ask(0), Millis(0)));
    let done = support::report(&first, LeaseOutcome::Completed, 20);
    dispatcher.report_end(support::GATEWAY, done, Millis(20));
    let second =
        support::granted(&dispatcher.request_lease(support::GATEWAY, support::ask(1), Millis(21)));
    assert_ne!(first.lease, second.lease);
    dispatcher.report_end(support::GATEWAY, done, Millis(22));
    let other = support::report(&second, LeaseOutcome::Completed, 20);
    dispatcher.report_end(VmId(2), other, Millis(23));
    let status = dispatcher.status(Millis(23));
    assert_eq!(status.entry_counts[0], 1);
    assert_eq!(status.counters.late_reports, 2);
}

/// Guards against slots and asks that outlive their gateway.
#[test]
fn gateway_gone_frees_its_slots() {
    let mut dispatcher = support::dispatcher(1, 1);
    dispatcher.request_lease(support::GATEWAY, support::ask(0), Millis(0));
    dispatcher.request_lease(support::GATEWAY, support::ask(1), Millis(0));
    dispatcher.request_lease(VmId(2), support::ask(1), Millis(0));
    let steps = dispatcher.remove_gateway(support::GATEWAY, Millis(5));
    let replies = support::replies(&steps);
    assert_eq!(replies.len(), 1);
    assert_eq!(replies[0].0, VmId(2));
}

/// Guards against a lease whose report was lost.
#[test]
fn lease_ends_after_its_deadline() {
    let mut dispatcher = support::dispatcher(1, 1);
    dispatcher.request_lease(support::GATEWAY, support::ask(0), Millis(0));
    dispatcher.tick(Millis(2_249));
    assert_eq!(dispatcher.status(Millis(2_249)).entry_counts[0], 1);
    dispatcher.tick(Millis(2_250));
    assert_eq!(dispatcher.status(Millis(2_250)).entry_counts[0], 0);
}

/// Guards against new work on a backend server that said or is listed to be leaving.
#[test]
fn leaving_gets_no_grants() {
    let mut dispatcher = support::dispatcher(2, 4);
    let first =
        support::granted(&dispatcher.request_lease(support::GATEWAY, support::ask(0), Millis(0)));
    let second =
        support::granted(&dispatcher.request_lease(support::GATEWAY, support::ask(1), Millis(0)));
    let mut shed = support::report(&first, LeaseOutcome::Shed, 1);
    shed.leaving = true;
    dispatcher.report_end(support::GATEWAY, shed, Millis(2));
    // The list lags and still has both as live.
    dispatcher.set_servers(support::listed(0..2), Millis(3));
    for number in 2..5 {
        let steps = dispatcher.request_lease(support::GATEWAY, support::ask(number), Millis(4));
        assert_eq!(support::granted(&steps).backend, second.backend);
    }
    let leaving = ListedServer {
        backend: second.backend,
        state: VmState::Leaving,
    };
    dispatcher.set_servers([leaving], Millis(5));
    let steps = dispatcher.request_lease(support::GATEWAY, support::ask(9), Millis(6));
    assert_eq!(support::refused(&steps), RefusalReason::NoBackend);
    let status = dispatcher.status(Millis(6));
    assert_eq!(status.servers.len(), 1, "the first one has no lease left");
    assert_eq!(status.servers[0].state, ServerState::Leaving);
    assert_eq!(
        status.servers[0].leases_held, 4,
        "leases in flight continue"
    );
}
