//! Guards against healthy servers that are suspected because of the request's own work.

use toucanledge_core::{Millis, PoolId};
use toucanledge_front::FleetState;
use toucanledge_steering::{AttemptOutcome, ServerId, ServerRow, ServerState};

fn state_with_server() -> (FleetState, ServerId) {
    let mut state = FleetState::default();
    let row = ServerRow {
        name: "s0".into(),
        pool: PoolId::of("reading"),
        address: ([127, 0, 0, 1], 8000).into(),
        failure_domain: "a".into(),
        slots: 4,
        state: ServerState::Ready,
        slow_start_ms: 0,
        incarnation: None,
    };
    state.servers.upsert(row, Millis(1));
    (state, ServerId::of("s0"))
}

fn is_suspected(state: &FleetState, server: ServerId) -> bool {
    let key = state.servers.find(server);
    key.and_then(|key| state.servers.get(key))
        .is_some_and(|entry| entry.health.is_suspected())
}

/// Requests that ran longer than their time-out made a server suspected that responded to all
/// others, twice per second in a fleet of 36 gateways.
#[test]
fn a_timeout_at_a_server_that_responds_to_others_does_not_suspect_it() {
    let (mut state, server) = state_with_server();
    state.record_outcome(server, AttemptOutcome::Success, 100, None, Millis(1_500));
    assert!(!state.record_outcome(server, AttemptOutcome::Silent, 1_100, None, Millis(2_000)));
    assert!(!is_suspected(&state, server));
}

#[test]
fn a_timeout_at_a_server_that_responds_to_nobody_suspects_it() {
    let (mut state, server) = state_with_server();
    state.record_outcome(server, AttemptOutcome::Success, 100, None, Millis(500));
    assert!(state.record_outcome(server, AttemptOutcome::Silent, 1_100, None, Millis(2_000)));
    assert!(is_suspected(&state, server));
}

/// An immediate error is the server's, one after about the usual latency is the request's.
#[test]
fn one_late_error_does_not_suspect_a_server() {
    let (mut state, server) = state_with_server();
    state.record_outcome(server, AttemptOutcome::Success, 200, None, Millis(500));
    state.record_outcome(server, AttemptOutcome::OwnError, 180, None, Millis(900));
    assert!(!is_suspected(&state, server));
    state.record_outcome(server, AttemptOutcome::Success, 200, None, Millis(1_000));
    assert!(state.record_outcome(server, AttemptOutcome::OwnError, 3, None, Millis(1_200)));
    assert!(is_suspected(&state, server));
}

/// Where requests take a few milliseconds, the errors of a failing server looked as if the requests
/// caused them, and a second request was lost.
#[test]
fn an_error_of_a_fast_request_suspects_the_server() {
    let (mut state, server) = state_with_server();
    state.record_outcome(server, AttemptOutcome::Success, 2, None, Millis(500));
    assert!(state.record_outcome(server, AttemptOutcome::OwnError, 2, None, Millis(900)));
    assert!(is_suspected(&state, server));
}

/// One request that only read the configuration made a pool count as probed by repeatable requests
/// for 5 s. Its suspected servers got no probes and its idle servers no requests, and the floor was
/// missed.
#[test]
fn a_few_reads_are_not_enough_to_probe_a_pool() {
    let mut state = FleetState::default();
    let pool = PoolId::of("publishing");
    for number in 0..200 {
        state.record_request(pool, number % 15 == 0);
    }
    assert!(!state.probed_by_repeatable(pool));
    for number in 0..200 {
        state.record_request(pool, number % 4 == 0);
    }
    assert!(state.probed_by_repeatable(pool));
}

/// A gateway that gets three requests a second for a pool without repeatable ones took 8 s to see
/// it, and left the pool's suspected servers without probes for so long that the floor was missed.
#[test]
fn a_pool_without_repeatable_requests_is_recognised_within_a_few_requests() {
    let mut state = FleetState::default();
    let pool = PoolId::of("payments");
    for _ in 0..6 {
        state.record_request(pool, false);
    }
    assert!(!state.probed_by_repeatable(pool));
}

/// A mixed pool must not lose non-repeatable requests to probes because its first ones came before
/// the first repeatable one.
#[test]
fn a_mixed_pool_is_recognised_by_one_repeatable_request_in_nine() {
    let mut state = FleetState::default();
    let pool = PoolId::of("records");
    for index in 0..9 {
        state.record_request(pool, index == 4);
    }
    assert!(state.probed_by_repeatable(pool));
}
