//! Guards against sound servers that get no work for 2 s while many requests of their pool fail.

use std::collections;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use toucanledge_core::{Millis, PoolId};
use toucanledge_steering::{AttemptOutcome, SelectionContext, ServerKey, ServerRegistry};
use toucanledge_table::RepeatRule;

use crate::support;

const NOW: Millis = Millis(100_000);

fn context(repeat: RepeatRule, probed_by_repeatable: bool) -> SelectionContext<'static> {
    SelectionContext {
        pool: PoolId::of(support::POOL),
        repeat_rule: repeat,
        retry_available: false,
        probed_by_repeatable,
        attempted: &[],
        failure_domain: "a",
        latency_target_ms: 2_000,
        floor_share: 0.7,
    }
}

/// Lets a sixth of the pool's requests fail, which strains it.
fn raise_failure_rate(registry: &mut ServerRegistry) {
    for _ in 0..15 {
        registry.record_outcome(support::id(0), AttemptOutcome::Success, Millis(NOW.0 - 50));
    }
    for _ in 0..3 {
        registry.record_pool_failure(PoolId::of(support::POOL), Millis(NOW.0 - 50));
    }
}

fn chosen(
    registry: &ServerRegistry,
    context: &SelectionContext<'_>,
    now: Millis,
) -> collections::HashSet<ServerKey> {
    (0..200)
        .filter_map(|seed| {
            let mut rng = SmallRng::seed_from_u64(seed);
            registry
                .select(context, now, &mut rng)
                .ok()
                .map(|(key, _)| key)
        })
        .collect()
}

/// Work that must not repeat follows recent successes; on a pool of 7, three servers got nothing for
/// 2 s while a tenth of the requests failed.
#[test]
fn a_strained_pool_uses_its_idle_servers() {
    let (mut registry, keys) = support::registry(4);
    let keyed = context(RepeatRule::Keyed, true);
    registry.record_outcome(support::id(0), AttemptOutcome::Success, Millis(NOW.0 - 50));
    assert!(!chosen(&registry, &keyed, NOW).contains(&keys[3]));
    raise_failure_rate(&mut registry);
    let used = chosen(&registry, &keyed, NOW);
    assert!(keys[1..].iter().any(|key| used.contains(key)));
    for key in &keys[1..] {
        if let Some(entry) = registry.get_mut(*key) {
            entry.last_used = NOW;
        }
    }
    let used = chosen(&registry, &keyed, NOW);
    assert!(keys[1..].iter().all(|key| !used.contains(key)));
}

/// All machines lost power after a calm time in which work that must not repeat had used two thirds
/// of a pool without repeatable work; the requests cut off then made that a breach of the floor.
#[test]
fn a_calm_pool_without_repeatable_work_uses_its_idle_servers() {
    let (mut registry, keys) = support::registry(4);
    registry.record_outcome(support::id(0), AttemptOutcome::Success, Millis(NOW.0 - 50));
    let alone = context(RepeatRule::Keyed, false);
    let used = chosen(&registry, &alone, NOW);
    assert!(keys[1..].iter().any(|key| used.contains(key)));
    registry.record_outcome(support::id(1), AttemptOutcome::OwnError, Millis(10));
    for key in &keys[2..] {
        if let Some(entry) = registry.get_mut(*key) {
            entry.last_used = NOW;
        }
    }
    let early = chosen(&registry, &alone, Millis(2_100));
    assert!(
        !early.contains(&keys[1]),
        "only strain makes a suspect a trial early"
    );
}

/// Three of seven servers were absent at once, two of them well again.
#[test]
fn more_suspects_than_the_floor_allows_are_tried_early() {
    let (mut registry, keys) = support::registry(7);
    let failed = Millis(NOW.0 - 2_500);
    for key in &keys {
        if let Some(entry) = registry.get_mut(*key) {
            entry.last_used = NOW;
        }
    }
    registry.record_outcome(support::id(0), AttemptOutcome::OwnError, failed);
    registry.record_outcome(support::id(1), AttemptOutcome::OwnError, failed);
    let alone = context(RepeatRule::Keyed, false);
    assert!(!chosen(&registry, &alone, NOW).contains(&keys[0]));
    registry.record_outcome(support::id(2), AttemptOutcome::OwnError, failed);
    let used = chosen(&registry, &alone, NOW);
    assert!(keys[..3].iter().any(|key| used.contains(key)));
}

/// In a pool without repeatable work a suspect stayed out for 6 s, though its failing was over.
#[test]
fn a_strained_pool_without_repeatable_work_tries_suspects_early() {
    let (mut registry, keys) = support::registry(2);
    let failed = Millis(NOW.0 - 2_500);
    registry.record_outcome(support::id(1), AttemptOutcome::OwnError, failed);
    registry.record_outcome(support::id(1), AttemptOutcome::OwnError, failed);
    let alone = context(RepeatRule::Keyed, false);
    assert!(!chosen(&registry, &alone, NOW).contains(&keys[1]));
    raise_failure_rate(&mut registry);
    assert!(chosen(&registry, &alone, NOW).contains(&keys[1]));
    let explored = context(RepeatRule::Keyed, true);
    assert!(!chosen(&registry, &explored, NOW).contains(&keys[1]));
}

/// A suspect that failed a moment ago is not sound, and trying it only loses requests.
#[test]
fn a_suspect_that_just_failed_stays_out() {
    let (mut registry, keys) = support::registry(2);
    registry.record_outcome(
        support::id(1),
        AttemptOutcome::OwnError,
        Millis(NOW.0 - 1_500),
    );
    raise_failure_rate(&mut registry);
    let used = chosen(&registry, &context(RepeatRule::Keyed, false), NOW);
    assert!(!used.contains(&keys[1]));
}

/// Single errors are no strain: work that must not repeat keeps to the recent successes then.
#[test]
fn few_failures_do_not_strain_a_pool() {
    let (mut registry, _) = support::registry(2);
    let pool = PoolId::of(support::POOL);
    for step in 0..100 {
        let outcome = if step % 20 == 0 {
            AttemptOutcome::OwnError
        } else {
            AttemptOutcome::Success
        };
        registry.record_outcome(support::id(0), outcome, Millis(NOW.0 - 50));
    }
    assert!(!registry.has_high_failure_rate(pool, NOW));
    for _ in 0..20 {
        registry.record_pool_failure(pool, NOW);
    }
    assert!(registry.has_high_failure_rate(pool, NOW));
    assert!(!registry.has_high_failure_rate(pool, Millis(NOW.0 + 2_600)));
}
