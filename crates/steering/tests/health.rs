//! Guards against servers that are trusted too early, and against healthy servers that are avoided.

use toucanledge_core::Millis;
use toucanledge_steering::{AttemptOutcome, HealthChange, ServerHealth};

#[test]
fn one_failure_suspects_and_one_success_recovers() {
    let mut health = ServerHealth::default();
    let change = health.record(AttemptOutcome::Broken, Millis(100));
    assert_eq!(change, HealthChange::Suspected);
    assert!(health.is_suspected());
    let change = health.record(AttemptOutcome::Success, Millis(200));
    assert_eq!(change, HealthChange::Recovered);
    assert!(!health.is_suspected());
}

/// 72 in 100 immediate errors begin a period in which a server fails most requests and serves 15
/// in 100. If one success meant recovery, a quarter of the non-repeatable requests were still lost.
#[test]
fn recovery_from_an_immediate_error_takes_two_successes() {
    let mut health = ServerHealth::default();
    health.record(AttemptOutcome::OwnError, Millis(100));
    let change = health.record(AttemptOutcome::Success, Millis(200));
    assert_eq!(change, HealthChange::StillSuspected);
    assert!(
        health.probe_due(Millis(201)),
        "the second probe need not wait"
    );
    let change = health.record(AttemptOutcome::Success, Millis(300));
    assert_eq!(change, HealthChange::Recovered);
}

#[test]
fn one_success_after_several_failures_is_no_recovery() {
    let mut health = ServerHealth::default();
    health.record(AttemptOutcome::OwnError, Millis(100));
    health.record(AttemptOutcome::OwnError, Millis(110));
    let change = health.record(AttemptOutcome::Success, Millis(200));
    assert_eq!(change, HealthChange::StillSuspected);
    assert!(
        health.probe_due(Millis(201)),
        "the second probe need not wait"
    );
    health.record(AttemptOutcome::OwnError, Millis(210));
    health.record(AttemptOutcome::Success, Millis(900));
    assert!(health.is_suspected());
    let change = health.record(AttemptOutcome::Success, Millis(950));
    assert_eq!(change, HealthChange::Recovered);
}

#[test]
fn a_success_before_the_failure_is_no_recovery() {
    let mut health = ServerHealth::default();
    health.record(AttemptOutcome::Broken, Millis(200));
    health.record(AttemptOutcome::Success, Millis(150));
    assert!(health.is_suspected());
}

/// Requests in flight when a server begins to fail still succeed. Each of them counted as a
/// recovery from the first failure, and the next non-repeatable request was lost as well.
#[test]
fn a_success_of_a_request_sent_before_the_failed_one_is_no_recovery() {
    let mut health = ServerHealth::default();
    health.record(AttemptOutcome::Broken, Millis(200));
    let change = health.record_sent_at(AttemptOutcome::Success, Millis(100), Millis(350));
    assert_eq!(change, HealthChange::Unchanged);
    assert!(health.is_suspected());
    let change = health.record_sent_at(AttemptOutcome::Success, Millis(400), Millis(600));
    assert_eq!(change, HealthChange::Recovered);
    assert_eq!(health.last_success_sent(), Millis(400));
}

/// A lost response says nothing about requests that were sent later. Each such loss took a server
/// out of use for seconds, and under peak load the others could not take over its requests.
#[test]
fn a_success_of_a_request_sent_after_the_failed_one_is_a_recovery() {
    let mut health = ServerHealth::default();
    health.record_sent_at(AttemptOutcome::Broken, Millis(100), Millis(400));
    let change = health.record_sent_at(AttemptOutcome::Success, Millis(200), Millis(450));
    assert_eq!(change, HealthChange::Recovered);
}

#[test]
fn an_overloaded_server_is_avoided_for_a_while_and_not_suspected() {
    let mut health = ServerHealth::default();
    health.record(AttemptOutcome::Full, Millis(100));
    assert!(!health.is_suspected());
    assert!(health.recently_overloaded(Millis(700)));
    assert!(!health.recently_overloaded(Millis(900)));
}

#[test]
fn the_probe_back_off_is_bounded() {
    let mut health = ServerHealth::default();
    let mut backoffs = Vec::new();
    for _ in 0..5 {
        health.record(AttemptOutcome::OwnError, Millis(1_000));
        let due = (0..10_000).find(|wait| health.probe_due(Millis(1_000 + wait)));
        backoffs.push(due.unwrap_or_default());
    }
    assert!(backoffs.is_sorted());
    assert!(
        backoffs
            .iter()
            .all(|backoff| (100..=1_000).contains(backoff)),
        "a back-off is not between 100 and 1000 ms: {backoffs:?}"
    );
}

#[test]
fn a_connect_failure_backs_off_for_a_bounded_time() {
    let mut health = ServerHealth::default();
    health.record_connect_failure(Millis(1_000));
    assert!(!health.is_reachable(Millis(1_500)));
    assert!(health.is_reachable(Millis(2_000)));
    assert!(
        !health.is_suspected(),
        "a connect failure of one gateway says nothing about the server"
    );
    for _ in 0..20 {
        health.record_connect_failure(Millis(3_000));
    }
    assert!(health.is_reachable(Millis(3_000 + 8_000)));
    health.record_connect_failure(Millis(20_000));
    health.record(AttemptOutcome::Success, Millis(20_001));
    assert!(health.is_reachable(Millis(20_002)));
}

/// 1.2 in 100 requests fail because of their own work, and each took a healthy server out of use
/// for up to 3 s.
#[test]
fn one_late_error_does_not_suspect() {
    let mut health = ServerHealth::default();
    health.record(AttemptOutcome::Success, Millis(100));
    let change = health.record(AttemptOutcome::LateError, Millis(300));
    assert_eq!(change, HealthChange::Unchanged);
    assert!(!health.is_suspected());
    let change = health.record(AttemptOutcome::LateError, Millis(500));
    assert_eq!(change, HealthChange::Suspected);
}

#[test]
fn a_success_between_late_errors_keeps_trust() {
    let mut health = ServerHealth::default();
    health.record(AttemptOutcome::LateError, Millis(300));
    health.record(AttemptOutcome::Success, Millis(400));
    health.record(AttemptOutcome::LateError, Millis(500));
    assert!(!health.is_suspected());
}

/// The floor counts a server as healthy 2 s after its failure, and it must get requests within the
/// 2 s after that. With a back-off of 6 s, 3 of 9 healthy servers of a pool without repeatable
/// requests were idle.
#[test]
fn the_back_off_ends_before_the_floor_window() {
    let mut health = ServerHealth::default();
    for failures in 1..20 {
        health.record(AttemptOutcome::OwnError, Millis(1_000));
        assert!(
            health.backoff_over(Millis(1_000 + 3_800)),
            "still in back-off after {failures} failures"
        );
    }
}
