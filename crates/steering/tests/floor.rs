//! Guards against healthy servers that get no requests for 2 s while many requests of their pool
//! fail.

use std::collections;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use toucanledge_core::{Millis, PoolId};
use toucanledge_steering::{AttemptOutcome, SelectionContext, ServerKey, ServerRegistry};
use toucanledge_table::RepeatRule;

use crate::support;

const NOW: Millis = Millis(100_000);

fn context(repeat_rule: RepeatRule, probed_by_repeatable: bool) -> SelectionContext<'static> {
    SelectionContext {
        pool: PoolId::of(support::POOL),
        repeat_rule,
        retry_available: false,
        probed_by_repeatable,
        attempted: &[],
        failure_domain: "a",
        latency_target_ms: 2_000,
        floor_share: 0.7,
        max_rest_ms: 0,
    }
}

/// Records failures of a sixth of the pool's requests.
fn raise_failure_rate(registry: &mut ServerRegistry) {
    for _ in 0..15 {
        registry.record_outcome(support::id(0), AttemptOutcome::Success, Millis(NOW.0 - 50));
    }
    for _ in 0..3 {
        registry.record_pool_failure(PoolId::of(support::POOL), Millis(NOW.0 - 50));
    }
}

fn selected_servers(
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

/// Non-repeatable requests prefer recent successes. In a pool of 7 servers this left three without
/// requests for 2 s while a tenth of the requests failed.
#[test]
fn idle_servers_are_used_at_a_high_failure_rate() {
    let (mut registry, keys) = support::registry(4);
    let non_repeatable = context(RepeatRule::Keyed, true);
    registry.record_outcome(support::id(0), AttemptOutcome::Success, Millis(NOW.0 - 50));
    assert!(!selected_servers(&registry, &non_repeatable, NOW).contains(&keys[3]));
    raise_failure_rate(&mut registry);
    let used = selected_servers(&registry, &non_repeatable, NOW);
    assert!(keys[1..].iter().any(|key| used.contains(key)));
    for key in &keys[1..] {
        if let Some(entry) = registry.get_mut(*key) {
            entry.last_used = Some(NOW);
        }
    }
    let used = selected_servers(&registry, &non_repeatable, NOW);
    assert!(keys[1..].iter().all(|key| !used.contains(key)));
}

/// Non-repeatable requests used only two thirds of a pool without repeatable ones. When all VMs
/// lost power, the requests that were cut off raised the failure rate, and the floor was missed.
#[test]
fn idle_servers_are_used_without_repeatable_requests() {
    let (mut registry, keys) = support::registry(4);
    registry.record_outcome(support::id(0), AttemptOutcome::Success, Millis(NOW.0 - 50));
    let without_repeatable = context(RepeatRule::Keyed, false);
    let used = selected_servers(&registry, &without_repeatable, NOW);
    assert!(keys[1..].iter().any(|key| used.contains(key)));
    registry.record_outcome(support::id(1), AttemptOutcome::OwnError, Millis(10));
    for key in &keys[2..] {
        if let Some(entry) = registry.get_mut(*key) {
            entry.last_used = Some(NOW);
        }
    }
    let early = selected_servers(&registry, &without_repeatable, Millis(2_100));
    assert!(
        !early.contains(&keys[1]),
        "a suspected server is probed early only at a high failure rate"
    );
}

/// Three of seven servers were in back-off at once, although two of them were healthy again.
#[test]
fn suspected_servers_are_probed_early_when_the_floor_is_at_risk() {
    let (mut registry, keys) = support::registry(7);
    let failed = Millis(NOW.0 - 2_500);
    for key in &keys {
        if let Some(entry) = registry.get_mut(*key) {
            entry.last_used = Some(NOW);
        }
    }
    registry.record_outcome(support::id(0), AttemptOutcome::OwnError, failed);
    registry.record_outcome(support::id(1), AttemptOutcome::OwnError, failed);
    let without_repeatable = context(RepeatRule::Keyed, false);
    assert!(!selected_servers(&registry, &without_repeatable, NOW).contains(&keys[0]));
    registry.record_outcome(support::id(2), AttemptOutcome::OwnError, failed);
    let used = selected_servers(&registry, &without_repeatable, NOW);
    assert!(keys[..3].iter().any(|key| used.contains(key)));
}

/// In a pool without repeatable requests a suspected server got no probe for 6 s, although it was
/// healthy again.
#[test]
fn suspected_servers_are_probed_early_at_a_high_failure_rate() {
    let (mut registry, keys) = support::registry(2);
    let failed = Millis(NOW.0 - 2_500);
    registry.record_outcome(support::id(1), AttemptOutcome::OwnError, failed);
    registry.record_outcome(support::id(1), AttemptOutcome::OwnError, failed);
    let without_repeatable = context(RepeatRule::Keyed, false);
    assert!(!selected_servers(&registry, &without_repeatable, NOW).contains(&keys[1]));
    raise_failure_rate(&mut registry);
    assert!(selected_servers(&registry, &without_repeatable, NOW).contains(&keys[1]));
    let with_repeatable = context(RepeatRule::Keyed, true);
    assert!(!selected_servers(&registry, &with_repeatable, NOW).contains(&keys[1]));
}

/// A server that failed a moment ago does not count as healthy, and probing it only loses requests.
#[test]
fn a_server_that_just_failed_is_not_probed() {
    let (mut registry, keys) = support::registry(2);
    registry.record_outcome(
        support::id(1),
        AttemptOutcome::OwnError,
        Millis(NOW.0 - 1_500),
    );
    raise_failure_rate(&mut registry);
    let used = selected_servers(&registry, &context(RepeatRule::Keyed, false), NOW);
    assert!(!used.contains(&keys[1]));
}

/// Single errors must not change server selection: non-repeatable requests still prefer recent
/// successes.
#[test]
fn single_errors_are_no_high_failure_rate() {
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

/// After all machines had lost power, no server counted as idle for 1.2 s. The first successes drew
/// the non-repeatable requests, the others were spread at random, and half of the sound servers got
/// nothing for 2 s.
#[test]
fn reads_reach_every_unused_server_after_a_restart() {
    let (mut registry, keys) = support::registry(30);
    let start = Millis(200);
    let read = context(RepeatRule::Repeatable, true);
    let mut used = collections::HashSet::new();
    for seed in 0..30 {
        let now = start + seed * 20;
        let mut rng = SmallRng::seed_from_u64(seed);
        let (key, _) = registry
            .select(&read, now, &mut rng)
            .expect("all are ready");
        if let Some(entry) = registry.get_mut(key) {
            entry.last_used = Some(now);
        }
        used.insert(key);
    }
    assert_eq!(used.len(), keys.len());
}

/// Gateways that started together sent their first reads to the same unused server.
#[test]
fn gateways_that_start_together_spread_over_the_unused_servers() {
    let (registry, _) = support::registry(20);
    let used = selected_servers(
        &registry,
        &context(RepeatRule::Repeatable, true),
        Millis(200),
    );
    assert_eq!(used.len(), 20);
}

/// Of 20 servers two were idle, which is less than the share above the floor. They were the only
/// sound ones of a pool in which all others had just restarted, and got nothing for 2 s.
#[test]
fn a_read_goes_to_an_idle_server_however_few_are_idle() {
    let (mut registry, keys) = support::registry(20);
    for key in &keys[2..] {
        if let Some(entry) = registry.get_mut(*key) {
            entry.last_used = Some(NOW);
        }
    }
    let used = selected_servers(&registry, &context(RepeatRule::Repeatable, true), NOW);
    assert!(used.iter().all(|key| keys[..2].contains(key)));
    let used = selected_servers(&registry, &context(RepeatRule::Keyed, false), NOW);
    assert!(used.iter().any(|key| keys[2..].contains(key)));
}
