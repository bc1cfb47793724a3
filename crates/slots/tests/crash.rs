//! Transport failures, crashes of backend servers and crash suspects.

use toucanledge_core::{Fingerprint, Millis, RefusalReason, VmId};
use toucanledge_slots::{
    DispatchAction, EjectionReason, LeaseGrant, LeaseOutcome, ShardDispatcher,
};

use crate::support;

fn crash_suspects(actions: &[DispatchAction]) -> Vec<Fingerprint> {
    let suspects = |action: &DispatchAction| match action {
        DispatchAction::CrashSuspects { fingerprints, .. } => Some(fingerprints.clone()),
        _ => None,
    };
    actions.iter().filter_map(suspects).flatten().collect()
}

fn ejection_reason(actions: &[DispatchAction]) -> Option<EjectionReason> {
    actions.iter().find_map(|action| match action {
        DispatchAction::Ejected(event) => Some(event.reason),
        _ => None,
    })
}

fn request_grant(dispatcher: &mut ShardDispatcher, number: u64, now: u64) -> LeaseGrant {
    support::granted(&dispatcher.request_lease(
        support::GATEWAY,
        support::lease_request(number),
        Millis(now),
    ))
}

fn report(
    dispatcher: &mut ShardDispatcher,
    grant: &LeaseGrant,
    outcome: LeaseOutcome,
    now: u64,
) -> Vec<DispatchAction> {
    dispatcher.report_end(
        support::GATEWAY,
        support::report(grant, outcome, 5),
        Millis(now),
    )
}

/// Grants 16 leases and returns up to `count` of those at one backend server.
fn grants_on(dispatcher: &mut ShardDispatcher, backend: VmId, count: usize) -> Vec<LeaseGrant> {
    let grants: Vec<LeaseGrant> = (0..16)
        .map(|number| request_grant(dispatcher, number, 0))
        .collect();
    grants
        .into_iter()
        .filter(|grant| grant.backend == backend)
        .take(count)
        .collect()
}

/// Guards against a backend server that stays in service although it refuses connections.
#[test]
fn three_consecutive_failures_eject() {
    let mut dispatcher = support::dispatcher(4, 4);
    let grants = grants_on(&mut dispatcher, support::backend(0), 4);
    for grant in &grants[..2] {
        assert!(report(&mut dispatcher, grant, LeaseOutcome::ConnectFailed, 5).is_empty());
    }
    let actions = report(&mut dispatcher, &grants[2], LeaseOutcome::BadAnswer, 6);
    assert_eq!(ejection_reason(&actions), Some(EjectionReason::Transport));
    assert!(
        crash_suspects(&actions).is_empty(),
        "no request was lost in flight, so none is suspected"
    );
}

/// Guards against an ejection for failures that are not consecutive.
#[test]
fn a_response_resets_the_failure_streak() {
    let mut dispatcher = support::dispatcher(4, 4);
    let grants = grants_on(&mut dispatcher, support::backend(0), 4);
    let outcomes = [
        LeaseOutcome::ConnectFailed,
        LeaseOutcome::ConnectFailed,
        LeaseOutcome::Completed,
        LeaseOutcome::ConnectFailed,
    ];
    for (grant, outcome) in grants.iter().zip(outcomes) {
        assert_eq!(
            ejection_reason(&report(&mut dispatcher, grant, outcome, 5)),
            None
        );
    }
}

/// Guards against a crash that is detected only after several more requests.
#[test]
fn crash_ejects_at_once_and_reports_lost_requests() {
    let mut dispatcher = support::dispatcher(4, 4);
    let grants = grants_on(&mut dispatcher, support::backend(0), 3);
    report(&mut dispatcher, &grants[0], LeaseOutcome::ConnectionLost, 5);
    report(&mut dispatcher, &grants[1], LeaseOutcome::ConnectionLost, 5);
    let actions = report(&mut dispatcher, &grants[2], LeaseOutcome::ConnectFailed, 6);
    assert_eq!(ejection_reason(&actions), Some(EjectionReason::Crash));
    let lost = [0, 1].map(|index| Fingerprint(u128::from(grants[index].request_id.0)));
    assert_eq!(crash_suspects(&actions), lost);
}

/// Guards against a crash that goes undetected because a single request was in flight.
#[test]
fn probe_confirms_a_single_loss() {
    let mut dispatcher = support::dispatcher(4, 4);
    let lost = request_grant(&mut dispatcher, 1, 0);
    let actions = report(&mut dispatcher, &lost, LeaseOutcome::ConnectionLost, 5);
    let probe = DispatchAction::Probe {
        backend: lost.backend,
    };
    assert_eq!(actions, vec![probe]);
    // A retry of the request is queued until the probe confirms or excludes a crash.
    let mut retry = support::lease_request(2);
    retry.fingerprint = Fingerprint(1);
    assert!(
        dispatcher
            .request_lease(support::GATEWAY, retry, Millis(6))
            .is_empty()
    );
    let actions = dispatcher.on_probe_result(lost.backend, false, Millis(7));
    assert_eq!(crash_suspects(&actions), vec![Fingerprint(1)]);
    assert_eq!(ejection_reason(&actions), Some(EjectionReason::Crash));
    let second = support::granted(&actions);
    assert_ne!(second.backend, lost.backend);
    report(&mut dispatcher, &second, LeaseOutcome::ConnectionLost, 20);
    dispatcher.on_probe_result(second.backend, false, Millis(21));
    let mut third = support::lease_request(3);
    third.fingerprint = Fingerprint(1);
    let actions = dispatcher.request_lease(support::GATEWAY, third, Millis(22));
    assert_eq!(support::refused(&actions), RefusalReason::CrashSuspect);
}

/// Guards against suspicion of requests whose connection broke without a crash.
#[test]
fn good_probe_dismisses_the_suspicion() {
    let mut dispatcher = support::dispatcher(4, 4);
    let lost = request_grant(&mut dispatcher, 1, 0);
    report(&mut dispatcher, &lost, LeaseOutcome::ConnectionLost, 5);
    let actions = dispatcher.on_probe_result(lost.backend, true, Millis(7));
    assert!(actions.is_empty(), "expected no actions: {actions:?}");
    assert_eq!(dispatcher.status(Millis(8)).entry_counts[3], 0);
    for number in 2..4 {
        let mut retry = support::lease_request(number);
        retry.fingerprint = Fingerprint(1);
        support::granted(&dispatcher.request_lease(support::GATEWAY, retry, Millis(8)));
    }
}

/// Guards against two suspected requests that crash two backend servers at once.
#[test]
fn crash_suspects_run_one_at_a_time() {
    let mut dispatcher = support::dispatcher(4, 4);
    dispatcher.set_crash_suspects(
        (0..8).map(|fingerprint| (Fingerprint(fingerprint), 1)),
        Millis(0),
    );
    let first = request_grant(&mut dispatcher, 0, 0);
    assert!(
        dispatcher
            .request_lease(support::GATEWAY, support::lease_request(1), Millis(0))
            .is_empty()
    );
    let other = request_grant(&mut dispatcher, 100, 0);
    report(&mut dispatcher, &other, LeaseOutcome::Completed, 4);
    let actions = report(&mut dispatcher, &first, LeaseOutcome::Completed, 5);
    assert_eq!(support::granted(&actions).request_id.0, 1);
    dispatcher.set_crash_suspects([(Fingerprint(2), 2)], Millis(6));
    let actions = dispatcher.request_lease(support::GATEWAY, support::lease_request(2), Millis(7));
    assert_eq!(support::refused(&actions), RefusalReason::CrashSuspect);
}

/// Guards against ejection of a backend server that only one gateway cannot reach.
#[test]
fn path_fault_of_one_gateway_does_not_eject() {
    let mut dispatcher = support::dispatcher(4, 8);
    let grant_on_first =
        |dispatcher: &mut ShardDispatcher, gateway: VmId, number: u64, now: u64| {
            let mut request = support::lease_request(number);
            request.exclude = (1..4).map(support::backend).collect();
            support::granted(&dispatcher.request_lease(gateway, request, Millis(now)))
        };
    let good = grant_on_first(&mut dispatcher, VmId(2), 1, 0);
    let done = support::report(&good, LeaseOutcome::Completed, 5);
    dispatcher.report_end(VmId(2), done, Millis(10));
    let mut actions = Vec::new();
    for number in 2..6 {
        let grant = grant_on_first(&mut dispatcher, support::GATEWAY, number, 11);
        actions.extend(report(
            &mut dispatcher,
            &grant,
            LeaseOutcome::ConnectFailed,
            12,
        ));
    }
    let probe = DispatchAction::Probe {
        backend: support::backend(0),
    };
    assert_eq!(actions, vec![probe]);
    assert!(
        dispatcher
            .on_probe_result(support::backend(0), true, Millis(37))
            .is_empty()
    );
    // Meanwhile, the gateway that cannot connect gets other backend servers.
    for number in 10..13 {
        let grant = request_grant(&mut dispatcher, number, 38);
        assert_ne!(grant.backend, support::backend(0));
    }
    // Once a second gateway fails to connect too, the backend server is at fault.
    let grant = grant_on_first(&mut dispatcher, VmId(3), 6, 40);
    let failed = support::report(&grant, LeaseOutcome::ConnectFailed, 5);
    let actions = dispatcher.report_end(VmId(3), failed, Millis(41));
    assert_eq!(ejection_reason(&actions), Some(EjectionReason::Transport));
}
