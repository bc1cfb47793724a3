//! Transport failures, crashes and the requests behind them.

use toucanledge_core::{Fingerprint, Millis, RefusalReason, VmId};
use toucanledge_slots::{
    DispatchAction, EjectionReason, LeaseGrant, LeaseOutcome, ShardDispatcher,
};

use crate::support;

fn candidates(steps: &[DispatchAction]) -> Vec<Fingerprint> {
    let named = |step: &DispatchAction| match step {
        DispatchAction::CrashSuspects { fingerprints, .. } => Some(fingerprints.clone()),
        _ => None,
    };
    steps.iter().filter_map(named).flatten().collect()
}

fn reason(steps: &[DispatchAction]) -> Option<EjectionReason> {
    steps.iter().find_map(|step| match step {
        DispatchAction::Ejected(note) => Some(note.reason),
        _ => None,
    })
}

fn grant(dispatcher: &mut ShardDispatcher, number: u64, now: u64) -> LeaseGrant {
    support::granted(&dispatcher.request_lease(support::GATEWAY, support::ask(number), Millis(now)))
}

fn end(
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

/// Grants one lease on each of four backend servers and more on the first.
fn leases_on(dispatcher: &mut ShardDispatcher, backend: VmId, count: usize) -> Vec<LeaseGrant> {
    let grants: Vec<LeaseGrant> = (0..16).map(|number| grant(dispatcher, number, 0)).collect();
    grants
        .into_iter()
        .filter(|grant| grant.backend == backend)
        .take(count)
        .collect()
}

/// Guards against a backend server that refuses connections and stays in service.
#[test]
fn three_failures_in_a_row_eject() {
    let mut dispatcher = support::dispatcher(4, 4);
    let grants = leases_on(&mut dispatcher, support::backend(0), 4);
    for grant in &grants[..2] {
        assert!(end(&mut dispatcher, grant, LeaseOutcome::ConnectFailed, 5).is_empty());
    }
    let steps = end(&mut dispatcher, &grants[2], LeaseOutcome::BadAnswer, 6);
    assert_eq!(reason(&steps), Some(EjectionReason::Transport));
    assert!(candidates(&steps).is_empty(), "nothing was lost in flight");
}

/// Guards against ejection for failures between which requests completed.
#[test]
fn an_answer_ends_the_row() {
    let mut dispatcher = support::dispatcher(4, 4);
    let grants = leases_on(&mut dispatcher, support::backend(0), 4);
    let outcomes = [
        LeaseOutcome::ConnectFailed,
        LeaseOutcome::ConnectFailed,
        LeaseOutcome::Completed,
        LeaseOutcome::ConnectFailed,
    ];
    for (grant, outcome) in grants.iter().zip(outcomes) {
        assert_eq!(reason(&end(&mut dispatcher, grant, outcome, 5)), None);
    }
}

/// Guards against a crash that is noticed only after several more requests.
#[test]
fn crash_ejects_at_once_and_names_what_was_lost() {
    let mut dispatcher = support::dispatcher(4, 4);
    let grants = leases_on(&mut dispatcher, support::backend(0), 3);
    end(&mut dispatcher, &grants[0], LeaseOutcome::ConnectionLost, 5);
    end(&mut dispatcher, &grants[1], LeaseOutcome::ConnectionLost, 5);
    let steps = end(&mut dispatcher, &grants[2], LeaseOutcome::ConnectFailed, 6);
    assert_eq!(reason(&steps), Some(EjectionReason::Crash));
    let lost = [0, 1].map(|index| Fingerprint(u128::from(grants[index].request_id.0)));
    assert_eq!(candidates(&steps), lost);
}

/// Guards against a crash on the only request in flight, which no later request reveals.
#[test]
fn probe_confirms_a_single_loss() {
    let mut dispatcher = support::dispatcher(4, 4);
    let lost = grant(&mut dispatcher, 1, 0);
    let steps = end(&mut dispatcher, &lost, LeaseOutcome::ConnectionLost, 5);
    let probe = DispatchAction::Probe {
        backend: lost.backend,
    };
    assert_eq!(steps, vec![probe]);
    // The same request waits until the probe tells whether it is dangerous.
    let mut again = support::ask(2);
    again.fingerprint = Fingerprint(1);
    assert!(
        dispatcher
            .request_lease(support::GATEWAY, again, Millis(6))
            .is_empty()
    );
    let steps = dispatcher.on_probe_result(lost.backend, false, Millis(7));
    assert_eq!(candidates(&steps), vec![Fingerprint(1)]);
    assert_eq!(reason(&steps), Some(EjectionReason::Crash));
    let second = support::granted(&steps);
    assert_ne!(second.backend, lost.backend);
    end(&mut dispatcher, &second, LeaseOutcome::ConnectionLost, 20);
    dispatcher.on_probe_result(second.backend, false, Millis(21));
    let mut third = support::ask(3);
    third.fingerprint = Fingerprint(1);
    let steps = dispatcher.request_lease(support::GATEWAY, third, Millis(22));
    assert_eq!(support::refused(&steps), RefusalReason::CrashSuspect);
}

/// Guards against suspicion of requests whose connection broke without a crash.
#[test]
fn good_probe_clears_the_request() {
    let mut dispatcher = support::dispatcher(4, 4);
    let lost = grant(&mut dispatcher, 1, 0);
    end(&mut dispatcher, &lost, LeaseOutcome::ConnectionLost, 5);
    let steps = dispatcher.on_probe_result(lost.backend, true, Millis(7));
    assert!(steps.is_empty(), "{steps:?}");
    assert_eq!(dispatcher.status(Millis(8)).entry_counts[3], 0);
    for number in 2..4 {
        let mut again = support::ask(number);
        again.fingerprint = Fingerprint(1);
        support::granted(&dispatcher.request_lease(support::GATEWAY, again, Millis(8)));
    }
}

/// Guards against two suspected requests that crash two backend servers at once.
#[test]
fn suspects_run_one_at_a_time() {
    let mut dispatcher = support::dispatcher(4, 4);
    dispatcher.set_crash_suspects((0..8).map(|print| (Fingerprint(print), 1)), Millis(0));
    let first = grant(&mut dispatcher, 0, 0);
    assert!(
        dispatcher
            .request_lease(support::GATEWAY, support::ask(1), Millis(0))
            .is_empty()
    );
    let other = grant(&mut dispatcher, 100, 0);
    end(&mut dispatcher, &other, LeaseOutcome::Completed, 4);
    let steps = end(&mut dispatcher, &first, LeaseOutcome::Completed, 5);
    assert_eq!(support::granted(&steps).request_id.0, 1);
    dispatcher.set_crash_suspects([(Fingerprint(2), 2)], Millis(6));
    let steps = dispatcher.request_lease(support::GATEWAY, support::ask(2), Millis(7));
    assert_eq!(support::refused(&steps), RefusalReason::CrashSuspect);
}

/// Guards against ejection of a backend server that only one gateway cannot reach.
#[test]
fn path_fault_of_one_gateway_does_not_eject() {
    let mut dispatcher = support::dispatcher(4, 8);
    let on_first = |dispatcher: &mut ShardDispatcher, gateway: VmId, number: u64, now: u64| {
        let mut ask = support::ask(number);
        ask.exclude = (1..4).map(support::backend).collect();
        support::granted(&dispatcher.request_lease(gateway, ask, Millis(now)))
    };
    let good = on_first(&mut dispatcher, VmId(2), 1, 0);
    let done = support::report(&good, LeaseOutcome::Completed, 5);
    dispatcher.report_end(VmId(2), done, Millis(10));
    let mut steps = Vec::new();
    for number in 2..6 {
        let grant = on_first(&mut dispatcher, support::GATEWAY, number, 11);
        steps.extend(end(
            &mut dispatcher,
            &grant,
            LeaseOutcome::ConnectFailed,
            12,
        ));
    }
    let probe = DispatchAction::Probe {
        backend: support::backend(0),
    };
    assert_eq!(steps, vec![probe]);
    assert!(
        dispatcher
            .on_probe_result(support::backend(0), true, Millis(37))
            .is_empty()
    );
    // The gateway uses the others meanwhile.
    for number in 10..13 {
        let grant = grant(&mut dispatcher, number, 38);
        assert_ne!(grant.backend, support::backend(0));
    }
    // A second gateway that fails too shows a fault of the backend server.
    let grant = on_first(&mut dispatcher, VmId(3), 6, 40);
    let failed = support::report(&grant, LeaseOutcome::ConnectFailed, 5);
    let steps = dispatcher.report_end(VmId(3), failed, Millis(41));
    assert_eq!(reason(&steps), Some(EjectionReason::Transport));
}
