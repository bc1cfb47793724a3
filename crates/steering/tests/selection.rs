//! Guards against work that goes to a server that cannot be trusted with it.

use rand::SeedableRng;
use rand::rngs::SmallRng;
use toucanledge_core::{Millis, PoolId};
use toucanledge_steering::{
    AttemptOutcome, SelectionContext, SelectionError, ServerKey, ServerRegistry, ServerState,
};
use toucanledge_table::RepeatRule;

use crate::support;

const NOW: Millis = Millis(100_000);
const DRAWS: u64 = 300;

fn context(repeat: RepeatRule, retry_available: bool) -> SelectionContext<'static> {
    SelectionContext {
        pool: PoolId::of(support::POOL),
        repeat_rule: repeat,
        retry_available,
        probed_by_repeatable: true,
        attempted: &[],
        failure_domain: "a",
        latency_target_ms: 2_000,
        floor_share: 0.7,
    }
}

/// Returns many choices while every server was in use a moment ago, so that the floor asks for nothing.
fn choices(
    registry: &ServerRegistry,
    context: &SelectionContext<'_>,
    now: Millis,
) -> Vec<(ServerKey, bool)> {
    let mut registry = registry.clone();
    let keys: Vec<ServerKey> = registry.iter().map(|(key, _)| key).collect();
    for key in keys {
        if let Some(entry) = registry.get_mut(key) {
            entry.last_used = now;
        }
    }
    (0..DRAWS)
        .filter_map(|seed| {
            let mut rng = SmallRng::seed_from_u64(seed);
            registry.select(context, now, &mut rng).ok()
        })
        .collect()
}

#[test]
fn work_that_must_not_repeat_is_never_a_trial_while_others_explore() {
    let (mut registry, keys) = support::registry(4);
    registry.record_outcome(support::id(0), AttemptOutcome::OwnError, Millis(10));
    let chosen = choices(&registry, &context(RepeatRule::Keyed, true), NOW);
    assert_eq!(chosen.len(), 300);
    assert!(
        chosen
            .iter()
            .all(|(key, is_probe)| *key != keys[0] && !is_probe)
    );
}

#[test]
fn work_that_must_not_repeat_tries_a_pool_that_nothing_else_explores() {
    let (mut registry, keys) = support::registry(4);
    registry.record_outcome(support::id(0), AttemptOutcome::OwnError, Millis(10));
    let alone = SelectionContext {
        probed_by_repeatable: false,
        ..context(RepeatRule::Keyed, true)
    };
    let chosen = choices(&registry, &alone, NOW);
    assert!(
        chosen
            .iter()
            .any(|(key, is_probe)| *key == keys[0] && *is_probe)
    );
    let early = choices(&registry, &alone, Millis(1_000));
    assert!(early.iter().all(|(key, _)| *key != keys[0]));
}

#[test]
fn repeatable_work_without_a_retry_is_no_trial_during_the_absence() {
    let (mut registry, keys) = support::registry(4);
    registry.record_outcome(support::id(0), AttemptOutcome::OwnError, Millis(10));
    let soon = Millis(2_000);
    let without = choices(&registry, &context(RepeatRule::Repeatable, false), soon);
    assert!(without.iter().all(|(key, _)| *key != keys[0]));
    let with = choices(&registry, &context(RepeatRule::Repeatable, true), soon);
    assert!(
        with.iter()
            .any(|(key, is_probe)| *key == keys[0] && *is_probe)
    );
}

#[test]
fn one_trial_at_a_time() {
    let (mut registry, keys) = support::registry(4);
    registry.record_outcome(support::id(0), AttemptOutcome::OwnError, Millis(10));
    if let Some(entry) = registry.get_mut(keys[0]) {
        entry.probes_in_flight = 1;
    }
    let chosen = choices(&registry, &context(RepeatRule::Repeatable, true), NOW);
    assert!(chosen.iter().all(|(key, _)| *key != keys[0]));
}

#[test]
fn work_that_must_not_repeat_goes_where_a_success_is_most_recent() {
    let (mut registry, keys) = support::registry(4);
    registry.record_outcome(support::id(2), AttemptOutcome::Success, Millis(99_900));
    let chosen = choices(&registry, &context(RepeatRule::Keyed, true), NOW);
    assert!(chosen.iter().all(|(key, _)| *key == keys[2]));
    let repeatable = choices(&registry, &context(RepeatRule::Repeatable, true), NOW);
    assert!(repeatable.iter().all(|(key, _)| *key != keys[2]));
}

#[test]
fn a_full_server_is_left_for_a_free_one() {
    let (mut registry, keys) = support::registry(2);
    registry.record_outcome(support::id(0), AttemptOutcome::Success, Millis(99_900));
    if let Some(entry) = registry.get_mut(keys[0]) {
        entry.peer_in_flight = 4;
    }
    let chosen = choices(&registry, &context(RepeatRule::Keyed, true), NOW);
    assert!(chosen.iter().all(|(key, _)| *key == keys[1]));
}

#[test]
fn a_leaving_server_gets_nothing() {
    let (mut registry, keys) = support::registry(2);
    let mut leaving = support::server("s0", "a");
    leaving.state = ServerState::Leaving;
    registry.upsert(leaving, Millis(2));
    let chosen = choices(&registry, &context(RepeatRule::Repeatable, true), NOW);
    assert!(chosen.iter().all(|(key, _)| *key == keys[1]));
    registry.remove(support::id(1));
    let mut rng = SmallRng::seed_from_u64(1);
    let none = registry.select(&context(RepeatRule::Repeatable, true), NOW, &mut rng);
    assert_eq!(none, Err(SelectionError::NoServer));
}

#[test]
fn work_stays_in_the_failure_domain_while_it_has_room() {
    let (mut registry, keys) = support::registry(2);
    let far = registry.upsert(support::server("far", "b"), Millis(1));
    let chosen = choices(&registry, &context(RepeatRule::Keyed, true), NOW);
    assert!(chosen.iter().all(|(key, _)| *key != far));
    for key in keys {
        if let Some(entry) = registry.get_mut(key) {
            entry.peer_in_flight = 4;
        }
    }
    let chosen = choices(&registry, &context(RepeatRule::Keyed, true), NOW);
    assert!(chosen.iter().all(|(key, _)| *key == far));
}

#[test]
fn all_suspects_still_serve() {
    let (mut registry, keys) = support::registry(3);
    for index in 0..3 {
        let at = Millis(99_000 + 100 * index as u64);
        registry.record_outcome(support::id(index), AttemptOutcome::OwnError, at);
    }
    let chosen = choices(&registry, &context(RepeatRule::Keyed, true), NOW);
    assert!(chosen.iter().all(|(key, _)| *key == keys[0]));
}

#[test]
fn a_restarted_server_starts_without_its_earlier_failures() {
    let (mut registry, keys) = support::registry(1);
    registry.record_outcome(support::id(0), AttemptOutcome::OwnError, Millis(10));
    let mut restarted = support::server("s0", "a");
    restarted.incarnation = Some(2);
    let key = registry.upsert(restarted, Millis(20));
    assert!(registry.get(keys[0]).is_none());
    assert!(
        registry
            .get(key)
            .is_some_and(|entry| !entry.health.is_suspected())
    );
}

/// At a crest, work that would wait past its objective only makes the rest late as well.
#[test]
fn work_that_would_be_late_everywhere_is_refused_at_once() {
    let (mut registry, keys) = support::registry(2);
    for (index, key) in keys.iter().enumerate() {
        registry.record_latency(support::id(index), 200);
        if let Some(entry) = registry.get_mut(*key) {
            entry.peer_in_flight = 15;
        }
    }
    let mut rng = SmallRng::seed_from_u64(1);
    let soon = SelectionContext {
        latency_target_ms: 700,
        ..context(RepeatRule::Keyed, true)
    };
    assert_eq!(
        registry.select(&soon, NOW, &mut rng),
        Err(SelectionError::WouldExceedTarget)
    );
    let later = SelectionContext {
        latency_target_ms: 900,
        ..soon
    };
    assert!(registry.select(&later, NOW, &mut rng).is_ok());
}

/// A free slot is always used, however slow the server.
#[test]
fn a_free_slot_is_never_refused() {
    let (mut registry, keys) = support::registry(1);
    registry.record_latency(support::id(0), 5_000);
    let mut rng = SmallRng::seed_from_u64(1);
    let soon = SelectionContext {
        latency_target_ms: 10,
        ..context(RepeatRule::Keyed, true)
    };
    assert_eq!(registry.select(&soon, NOW, &mut rng), Ok((keys[0], false)));
}

#[test]
fn a_slow_server_gets_less() {
    let (mut registry, keys) = support::registry(3);
    for index in 0..3 {
        for _ in 0..50 {
            registry.record_latency(support::id(index), if index == 0 { 1_200 } else { 200 });
        }
    }
    // Times come with successes; without a recent one they say nothing.
    for index in 0..3 {
        registry.record_outcome(support::id(index), AttemptOutcome::Success, Millis(99_900));
    }
    for key in &keys {
        if let Some(entry) = registry.get_mut(*key) {
            entry.peer_in_flight = 2;
        }
    }
    let chosen = choices(&registry, &context(RepeatRule::Keyed, true), NOW);
    assert!(chosen.iter().all(|(key, _)| *key != keys[0]));
}

#[test]
fn a_request_far_older_than_usual_makes_its_server_a_suspect() {
    let (mut registry, keys) = support::registry(2);
    registry.record_latency(support::id(0), 200);
    registry.record_latency(support::id(1), 200);
    for key in &keys {
        if let Some(entry) = registry.get_mut(*key) {
            entry.in_flight_since.push(Millis(1_000));
        }
    }
    registry.record_outcome(support::id(1), AttemptOutcome::Success, Millis(1_500));
    assert!(registry.stalled_servers(Millis(1_700)).is_empty());
    assert_eq!(
        registry.stalled_servers(Millis(1_900)),
        ["s0".into()],
        "the other answered meanwhile"
    );
}

/// A server that was slow once gets no work while others look faster, so its time is never measured
/// again. Half of a large pool once stayed idle for 10 s after a crest while the rest had queues.
#[test]
fn a_server_that_was_slow_is_used_again() {
    let (mut registry, keys) = support::registry(3);
    for index in 0..3 {
        for _ in 0..50 {
            registry.record_latency(support::id(index), if index == 0 { 2_000 } else { 200 });
        }
        registry.record_outcome(support::id(index), AttemptOutcome::Success, Millis(90_000));
    }
    for key in &keys[1..] {
        if let Some(entry) = registry.get_mut(*key) {
            entry.peer_in_flight = 4;
        }
    }
    let early = choices(&registry, &context(RepeatRule::Keyed, true), Millis(90_100));
    assert!(early.iter().all(|(key, _)| *key != keys[0]));
    let later = choices(&registry, &context(RepeatRule::Keyed, true), NOW);
    assert!(later.iter().all(|(key, _)| *key == keys[0]));
}

/// Without retry budget nobody tried suspects any more: those with a single error, 1.2 in 100
/// requests, stayed out for 10 s each, and the rest of the pool had queues.
#[test]
fn repeatable_work_tries_suspects_without_budget_once_their_absence_is_over() {
    let (mut registry, keys) = support::registry(4);
    registry.record_outcome(support::id(0), AttemptOutcome::OwnError, Millis(10));
    let without = context(RepeatRule::Repeatable, false);
    let early = choices(&registry, &without, Millis(2_000));
    assert!(early.iter().all(|(key, _)| *key != keys[0]));
    let later = choices(&registry, &without, NOW);
    assert!(
        later
            .iter()
            .any(|(key, is_probe)| *key == keys[0] && *is_probe)
    );
    let other = choices(&registry, &context(RepeatRule::Keyed, true), NOW);
    assert!(other.iter().all(|(key, _)| *key != keys[0]));
}

/// Without spare budget all work went to the most recent successes, and less than the floor's share
/// of a large pool was in use.
#[test]
fn repeatable_work_without_budget_uses_every_trusted_server() {
    let (mut registry, keys) = support::registry(20);
    for index in 0..4 {
        registry.record_outcome(support::id(index), AttemptOutcome::Success, Millis(99_900));
    }
    let used = |context: &SelectionContext<'_>| {
        let chosen = choices(&registry, context, NOW);
        keys.iter()
            .filter(|key| chosen.iter().any(|(other, _)| other == *key))
            .count()
    };
    assert_eq!(used(&context(RepeatRule::Repeatable, false)), 20);
    assert_eq!(used(&context(RepeatRule::Keyed, true)), 4);
    let again = SelectionContext {
        attempted: &keys[10..11],
        ..context(RepeatRule::Repeatable, false)
    };
    assert_eq!(used(&again), 4, "a last try goes where it is safest");
}

/// A read that had failed once was sent to a suspect whose absence was over: of 218 reads that failed
/// twice on a calm day, 85 ended so.
#[test]
fn a_request_that_failed_elsewhere_is_no_trial() {
    let (mut registry, keys) = support::registry(4);
    registry.record_outcome(support::id(0), AttemptOutcome::OwnError, Millis(10));
    let again = SelectionContext {
        attempted: &keys[1..2],
        ..context(RepeatRule::Repeatable, false)
    };
    let chosen = choices(&registry, &again, NOW);
    assert!(chosen.iter().all(|(key, _)| *key != keys[0]));
}

/// At a crest the retry budget is spent, so nobody tried suspects while the others had queues.
#[test]
fn repeatable_work_tries_suspects_of_a_crowded_pool() {
    let (mut registry, keys) = support::registry(4);
    registry.record_outcome(support::id(0), AttemptOutcome::Broken, Millis(10));
    let without = context(RepeatRule::Repeatable, false);
    let soon = Millis(1_000);
    assert!(
        choices(&registry, &without, soon)
            .iter()
            .all(|(key, _)| *key != keys[0])
    );
    for key in &keys[1..] {
        if let Some(entry) = registry.get_mut(*key) {
            entry.peer_in_flight = 4;
        }
    }
    assert!(
        choices(&registry, &without, soon)
            .iter()
            .any(|(key, is_probe)| *key == keys[0] && *is_probe)
    );
}

/// All gateways of a failure domain tried the suspect whose failure was longest ago, up to its slots,
/// while a slow one took seconds to answer. Half of a large pool got nothing for 4 to 7 s.
#[test]
fn trials_of_several_gateways_spread_over_the_suspects() {
    let (mut registry, keys) = support::registry(4);
    registry.record_outcome(support::id(0), AttemptOutcome::OwnError, Millis(10));
    registry.record_outcome(support::id(1), AttemptOutcome::OwnError, Millis(20));
    if let Some(entry) = registry.get_mut(keys[0]) {
        entry.peer_in_flight = 1;
    }
    let chosen = choices(&registry, &context(RepeatRule::Repeatable, true), NOW);
    assert!(
        chosen
            .iter()
            .any(|(key, is_probe)| *key == keys[1] && *is_probe)
    );
    assert!(chosen.iter().all(|(key, _)| *key != keys[0]));
}
