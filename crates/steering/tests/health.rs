//! Guards against servers that are trusted too early or set aside without a reason.

use toucanledge_core::Millis;
use toucanledge_steering::{AttemptOutcome, HealthChange, ServerHealth};

#[test]
fn one_failure_makes_a_suspect_and_one_success_clears_it() {
    let mut health = ServerHealth::default();
    let change = health.record(AttemptOutcome::Broken, Millis(100));
    assert_eq!(change, HealthChange::Suspected);
    assert!(health.is_suspected());
    let change = health.record(AttemptOutcome::Success, Millis(200));
    assert_eq!(change, HealthChange::Recovered);
    assert!(!health.is_suspected());
}

/// 72 in 100 errors at once begin an episode, in which 15 in 100 requests succeed: after one success
/// a quarter of the requests that must not repeat were still lost.
#[test]
fn an_error_at_once_takes_two_successes() {
    let mut health = ServerHealth::default();
    health.record(AttemptOutcome::OwnError, Millis(100));
    let change = health.record(AttemptOutcome::Success, Millis(200));
    assert_eq!(change, HealthChange::StillSuspected);
    assert!(
        health.probe_due(Millis(201)),
        "the second trial need not wait"
    );
    let change = health.record(AttemptOutcome::Success, Millis(300));
    assert_eq!(change, HealthChange::Recovered);
}

#[test]
fn one_success_in_an_episode_of_failing_clears_nothing() {
    let mut health = ServerHealth::default();
    health.record(AttemptOutcome::OwnError, Millis(100));
    health.record(AttemptOutcome::OwnError, Millis(110));
    let change = health.record(AttemptOutcome::Success, Millis(200));
    assert_eq!(change, HealthChange::StillSuspected);
    assert!(
        health.probe_due(Millis(201)),
        "the second trial need not wait"
    );
    health.record(AttemptOutcome::OwnError, Millis(210));
    health.record(AttemptOutcome::Success, Millis(900));
    assert!(health.is_suspected());
    let change = health.record(AttemptOutcome::Success, Millis(950));
    assert_eq!(change, HealthChange::Recovered);
}

#[test]
fn a_success_that_is_older_than_the_failure_clears_nothing() {
    let mut health = ServerHealth::default();
    health.record(AttemptOutcome::Broken, Millis(200));
    health.record(AttemptOutcome::Success, Millis(150));
    assert!(health.is_suspected());
}

/// Requests in flight when a server begins to fail still succeed. Each cleared the first failure, and
/// the next request that must not repeat was lost as well.
#[test]
fn a_success_of_a_request_sent_before_the_failure_clears_nothing() {
    let mut health = ServerHealth::default();
    health.record(AttemptOutcome::Broken, Millis(200));
    let change = health.record_sent_at(AttemptOutcome::Success, Millis(100), Millis(350));
    assert_eq!(change, HealthChange::Unchanged);
    assert!(health.is_suspected());
    let change = health.record_sent_at(AttemptOutcome::Success, Millis(400), Millis(600));
    assert_eq!(change, HealthChange::Recovered);
    assert_eq!(health.last_success_sent(), Millis(400));
}

/// An answer that is lost on its way says nothing about requests that were sent later. With each such
/// loss a server was out for seconds, and at a crest the others could not carry the work.
#[test]
fn a_success_of_a_request_sent_after_the_one_that_broke_clears() {
    let mut health = ServerHealth::default();
    health.record_sent_at(AttemptOutcome::Broken, Millis(100), Millis(400));
    let change = health.record_sent_at(AttemptOutcome::Success, Millis(200), Millis(450));
    assert_eq!(change, HealthChange::Recovered);
}

#[test]
fn a_server_that_refuses_work_is_avoided_for_a_while_and_not_suspected() {
    let mut health = ServerHealth::default();
    health.record(AttemptOutcome::Full, Millis(100));
    assert!(!health.is_suspected());
    assert!(health.recently_overloaded(Millis(700)));
    assert!(!health.recently_overloaded(Millis(900)));
}

#[test]
fn trials_back_off_to_a_bound() {
    let mut health = ServerHealth::default();
    let mut pauses = Vec::new();
    for _ in 0..5 {
        health.record(AttemptOutcome::OwnError, Millis(1_000));
        let due = (0..10_000).find(|wait| health.probe_due(Millis(1_000 + wait)));
        pauses.push(due.unwrap_or_default());
    }
    assert!(pauses.is_sorted());
    assert!(
        pauses.iter().all(|pause| (100..=1_000).contains(pause)),
        "{pauses:?}"
    );
}

#[test]
fn a_path_without_connections_is_avoided_and_tried_again() {
    let mut health = ServerHealth::default();
    health.record_connect_failure(Millis(1_000));
    assert!(!health.is_reachable(Millis(1_500)));
    assert!(health.is_reachable(Millis(2_000)));
    assert!(
        !health.is_suspected(),
        "one gateway's path says nothing about the server"
    );
    for _ in 0..20 {
        health.record_connect_failure(Millis(3_000));
    }
    assert!(health.is_reachable(Millis(3_000 + 8_000)));
    health.record_connect_failure(Millis(20_000));
    health.record(AttemptOutcome::Success, Millis(20_001));
    assert!(health.is_reachable(Millis(20_002)));
}

/// 1.2 in 100 requests fail by their own work, and each took a healthy server out for up to 3 s.
#[test]
fn one_failure_after_ordinary_work_makes_no_suspect() {
    let mut health = ServerHealth::default();
    health.record(AttemptOutcome::Success, Millis(100));
    let change = health.record(AttemptOutcome::LateError, Millis(300));
    assert_eq!(change, HealthChange::Unchanged);
    assert!(!health.is_suspected());
    let change = health.record(AttemptOutcome::LateError, Millis(500));
    assert_eq!(change, HealthChange::Suspected);
}

#[test]
fn a_success_between_two_such_failures_keeps_the_trust() {
    let mut health = ServerHealth::default();
    health.record(AttemptOutcome::LateError, Millis(300));
    health.record(AttemptOutcome::Success, Millis(400));
    health.record(AttemptOutcome::LateError, Millis(500));
    assert!(!health.is_suspected());
}

/// A server is sound again 2 s after its failure, as the floor counts it, and must not get nothing for
/// 2 s more. With an absence of 6 s, 3 of 9 sound servers of a pool without repeatable work were idle.
#[test]
fn no_absence_outlasts_the_floor() {
    let mut health = ServerHealth::default();
    for failures in 1..20 {
        health.record(AttemptOutcome::OwnError, Millis(1_000));
        assert!(
            health.backoff_over(Millis(1_000 + 3_800)),
            "absent after {failures} failures"
        );
    }
}
