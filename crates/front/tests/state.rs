//! Guards against servers that are suspected of what a request's own work did.

use toucanledge_core::{Millis, PoolId};
use toucanledge_front::FleetState;
use toucanledge_steering::{AttemptOutcome, ServerId, ServerRow, ServerState};

fn state() -> (FleetState, ServerId) {
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

/// Work that is longer than its time made a suspect of a server that answered everyone else, twice
/// a second on a fleet of 36.
#[test]
fn long_work_at_a_server_that_answers_others_is_no_evidence() {
    let (mut state, server) = state();
    state.record_outcome(server, AttemptOutcome::Success, 100, None, Millis(1_500));
    assert!(!state.record_outcome(server, AttemptOutcome::Silent, 1_100, None, Millis(2_000)));
    assert!(!is_suspected(&state, server));
}

#[test]
fn a_server_that_answers_nobody_is_a_suspect() {
    let (mut state, server) = state();
    state.record_outcome(server, AttemptOutcome::Success, 100, None, Millis(500));
    assert!(state.record_outcome(server, AttemptOutcome::Silent, 1_100, None, Millis(2_000)));
    assert!(is_suspected(&state, server));
}

/// An error at once is the server's, one after ordinary work is the request's.
#[test]
fn an_error_after_ordinary_work_is_no_evidence_alone() {
    let (mut state, server) = state();
    state.record_outcome(server, AttemptOutcome::Success, 200, None, Millis(500));
    state.record_outcome(server, AttemptOutcome::OwnError, 180, None, Millis(900));
    assert!(!is_suspected(&state, server));
    state.record_outcome(server, AttemptOutcome::Success, 200, None, Millis(1_000));
    assert!(state.record_outcome(server, AttemptOutcome::OwnError, 3, None, Millis(1_200)));
    assert!(is_suspected(&state, server));
}

/// With work of a few milliseconds a failing server's answers looked like the requests' own failures,
/// and a second request was lost to it.
#[test]
fn an_error_of_fast_work_is_the_servers() {
    let (mut state, server) = state();
    state.record_outcome(server, AttemptOutcome::Success, 2, None, Millis(500));
    assert!(state.record_outcome(server, AttemptOutcome::OwnError, 2, None, Millis(900)));
    assert!(is_suspected(&state, server));
}

/// One request that only looked at the configuration made a pool of other work count as explored for
/// 5 s. Nobody tried its suspects then or kept its servers in use, and the floor broke.
#[test]
fn a_few_reads_do_not_explore_a_pool() {
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
