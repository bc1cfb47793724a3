//! Leases after a change of dispatcher, removed gateways and leaving backend servers.

use toucanledge_core::{CallerHash, ClassId, Fingerprint, Millis, RefusalReason, VmId, VmState};
use toucanledge_slots::{
    DispatchAction, HeldLease, HeldLeases, LeaseId, LeaseOutcome, LeaseReport, ListedServer,
    ServerState,
};

use crate::support;

fn held_lease(lease: u64, index: u32) -> HeldLease {
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

fn held_leases(leases: Vec<HeldLease>) -> HeldLeases {
    HeldLeases {
        shard: support::shard(),
        leases,
    }
}

/// Guards against slots that are granted twice after a change of dispatcher.
#[test]
fn adopted_leases_count_until_reported_or_expired() {
    let mut dispatcher = support::dispatcher(1, 2);
    let reported = held_leases(vec![held_lease(1, 0), held_lease(2, 0)]);
    dispatcher.adopt_leases(support::GATEWAY, &reported, Millis(0));
    dispatcher.adopt_leases(support::GATEWAY, &reported, Millis(1));
    assert!(
        dispatcher
            .request_lease(support::GATEWAY, support::lease_request(0), Millis(1))
            .is_empty()
    );
    let mut actions =
        dispatcher.request_lease(support::GATEWAY, support::lease_request(1), Millis(1));
    assert!(actions.is_empty());
    let done = LeaseReport {
        lease: LeaseId(1),
        outcome: LeaseOutcome::Completed,
        service_time_ms: 20,
        leaving: false,
    };
    actions = dispatcher.report_end(support::GATEWAY, done, Millis(20));
    assert_eq!(support::grants(&actions).len(), 1);
    dispatcher.tick(Millis(749));
    assert_eq!(dispatcher.status(Millis(749)).entry_counts[0], 2);
    dispatcher.tick(Millis(750));
    assert_eq!(dispatcher.status(Millis(750)).entry_counts[0], 1);
}

/// Guards against a crash suspect that goes undetected because the dispatcher changes.
#[test]
fn a_crash_with_an_adopted_lease_reports_its_request() {
    let mut dispatcher = support::dispatcher(2, 2);
    let held = held_lease(7, 0);
    dispatcher.adopt_leases(support::GATEWAY, &held_leases(vec![held]), Millis(0));
    let lost = LeaseReport {
        lease: held.lease,
        outcome: LeaseOutcome::ConnectionLost,
        service_time_ms: 5,
        leaving: false,
    };
    let actions = dispatcher.report_end(support::GATEWAY, lost, Millis(5));
    let backend = support::backend(0);
    assert!(actions.contains(&DispatchAction::Probe { backend }));
    let actions = dispatcher.on_probe_result(backend, false, Millis(10));
    assert!(actions.contains(&DispatchAction::CrashSuspects {
        backend,
        fingerprints: vec![held.fingerprint],
    }));
}

/// Guards against a late report that ends another lease in the same entry of the lease store.
#[test]
fn late_report_is_ignored() {
    let mut dispatcher = support::dispatcher(1, 1);
    let first = support::granted(&dispatcher.request_lease(
        support::GATEWAY,
        support::lease_request(0),
        Millis(0),
    ));
    let done = support::report(&first, LeaseOutcome::Completed, 20);
    dispatcher.report_end(support::GATEWAY, done, Millis(20));
    let second = support::granted(&dispatcher.request_lease(
        support::GATEWAY,
        support::lease_request(1),
        Millis(21),
    ));
    assert_ne!(first.lease, second.lease);
    dispatcher.report_end(support::GATEWAY, done, Millis(22));
    let other = support::report(&second, LeaseOutcome::Completed, 20);
    dispatcher.report_end(VmId(2), other, Millis(23));
    let status = dispatcher.status(Millis(23));
    assert_eq!(status.entry_counts[0], 1);
    assert_eq!(status.counters.late_reports, 2);
}

/// Guards against leases and queued requests that outlive their gateway.
#[test]
fn removed_gateway_frees_its_slots() {
    let mut dispatcher = support::dispatcher(1, 1);
    dispatcher.request_lease(support::GATEWAY, support::lease_request(0), Millis(0));
    dispatcher.request_lease(support::GATEWAY, support::lease_request(1), Millis(0));
    dispatcher.request_lease(VmId(2), support::lease_request(1), Millis(0));
    let actions = dispatcher.remove_gateway(support::GATEWAY, Millis(5));
    let replies = support::replies(&actions);
    assert_eq!(replies.len(), 1);
    assert_eq!(replies[0].0, VmId(2));
}

/// Guards against a lease that stays forever because its report was lost.
#[test]
fn lease_expires_after_its_deadline() {
    let mut dispatcher = support::dispatcher(1, 1);
    dispatcher.request_lease(support::GATEWAY, support::lease_request(0), Millis(0));
    dispatcher.tick(Millis(2_249));
    assert_eq!(dispatcher.status(Millis(2_249)).entry_counts[0], 1);
    dispatcher.tick(Millis(2_250));
    assert_eq!(dispatcher.status(Millis(2_250)).entry_counts[0], 0);
}

/// Guards against new work for a backend server that announced or is listed to be leaving.
#[test]
fn leaving_server_gets_no_grants() {
    let mut dispatcher = support::dispatcher(2, 4);
    let first = support::granted(&dispatcher.request_lease(
        support::GATEWAY,
        support::lease_request(0),
        Millis(0),
    ));
    let second = support::granted(&dispatcher.request_lease(
        support::GATEWAY,
        support::lease_request(1),
        Millis(0),
    ));
    let mut rejected = support::report(&first, LeaseOutcome::Shed, 1);
    rejected.leaving = true;
    dispatcher.report_end(support::GATEWAY, rejected, Millis(2));
    // The VM list lags and still has both as live.
    dispatcher.set_servers(support::listed(0..2), Millis(3));
    for number in 2..5 {
        let actions =
            dispatcher.request_lease(support::GATEWAY, support::lease_request(number), Millis(4));
        assert_eq!(support::granted(&actions).backend, second.backend);
    }
    let leaving = ListedServer {
        backend: second.backend,
        state: VmState::Leaving,
    };
    dispatcher.set_servers([leaving], Millis(5));
    let actions = dispatcher.request_lease(support::GATEWAY, support::lease_request(9), Millis(6));
    assert_eq!(support::refused(&actions), RefusalReason::NoBackend);
    let status = dispatcher.status(Millis(6));
    assert_eq!(
        status.servers.len(),
        1,
        "the unlisted backend server without leases is removed"
    );
    assert_eq!(status.servers[0].state, ServerState::Leaving);
    assert_eq!(
        status.servers[0].leases_held, 4,
        "leases of a leaving backend server continue"
    );
}
