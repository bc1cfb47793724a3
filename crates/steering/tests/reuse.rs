//! Guards against requests that are lost on connections which rested too long, and against
//! connections that carry the bytes of another response.

use rand::SeedableRng;
use rand::rngs::SmallRng;
use toucanledge_core::{Millis, PoolId};
use toucanledge_steering::{
    AttemptOutcome, ConnectionRest, ReusePolicy, SelectionContext, ServerId,
};
use toucanledge_table::RepeatRule;

use crate::support;

const NOW: Millis = Millis(100_000);
const DRAWS: u64 = 200;

#[test]
fn a_non_repeatable_request_uses_only_a_connection_answered_a_moment_ago() {
    let policy = ReusePolicy::default();
    let pool = PoolId::of(support::POOL);
    assert!(policy.max_rest_ms(pool, RepeatRule::Keyed, NOW) <= 1_000);
    assert!(policy.max_rest_ms(pool, RepeatRule::Repeatable, NOW) > 1_000);
}

/// Backend servers that forget idle connections lost one request after another.
#[test]
fn a_lost_connection_shortens_the_rests_of_its_pool() {
    let mut policy = ReusePolicy::default();
    let pool = PoolId::of(support::POOL);
    policy.record_lost(pool, 600, NOW);
    assert_eq!(policy.max_rest_ms(pool, RepeatRule::Repeatable, NOW), 300);
    assert_eq!(policy.max_rest_ms(pool, RepeatRule::Keyed, NOW), 300);
    policy.record_lost(pool, 200, NOW);
    assert_eq!(policy.max_rest_ms(pool, RepeatRule::Repeatable, NOW), 100);
    let other = PoolId::of("another");
    assert!(policy.max_rest_ms(other, RepeatRule::Repeatable, NOW) > 1_000);
    let later = NOW + 30_000;
    assert!(policy.max_rest_ms(pool, RepeatRule::Repeatable, later) > 1_000);
}

#[test]
fn a_connection_is_closed_before_the_stated_idle_timeout() {
    let policy = ReusePolicy::default();
    let server = ServerId::of("s0");
    assert_eq!(policy.keep_ms(server, Some(5_000), NOW), Some(4_000));
    assert_eq!(policy.keep_ms(server, Some(1_000), NOW), None);
    assert_eq!(policy.keep_ms(server, Some(0), NOW), None);
    assert!(policy.keep_ms(server, None, NOW) <= Some(1_000));
    assert!(policy.keep_ms(server, Some(u64::MAX), NOW) <= Some(8_000));
}

/// The second copy of a response reached the next request on the connection.
#[test]
fn no_connection_is_kept_to_a_server_that_sends_bytes_without_a_request() {
    let mut policy = ReusePolicy::default();
    let server = ServerId::of("s0");
    policy.record_foreign_bytes(server, NOW);
    assert_eq!(policy.keep_ms(server, Some(5_000), NOW + 10_000), None);
    assert!(policy.keep_ms(server, Some(5_000), NOW + 30_000).is_some());
    assert!(
        policy
            .keep_ms(ServerId::of("s1"), Some(5_000), NOW)
            .is_some()
    );
}

fn context(repeat_rule: RepeatRule, max_rest_ms: u64) -> SelectionContext<'static> {
    SelectionContext {
        pool: PoolId::of(support::POOL),
        repeat_rule,
        retry_available: false,
        probed_by_repeatable: true,
        attempted: &[],
        failure_domain: "a",
        latency_target_ms: 2_000,
        floor_share: 0.7,
        max_rest_ms,
    }
}

/// A steady low load of a pool opens few connections: requests follow the connection that is still
/// warm, unless its server is loaded or suspected, or the connection rested too long.
#[test]
fn requests_follow_a_warm_connection_while_its_server_is_free() {
    let (mut registry, keys) = support::registry(6);
    for index in 0..6 {
        registry.record_outcome(support::id(index), AttemptOutcome::Success, Millis(99_900));
    }
    let rest = ConnectionRest {
        since: Millis(99_500),
        close_at: Millis(100_100),
    };
    for (index, key) in keys.iter().enumerate() {
        if let Some(entry) = registry.get_mut(*key) {
            entry.last_used = Some(NOW);
            entry.idle_connection = (index == 3).then_some(rest);
        }
    }
    let chosen = |registry: &toucanledge_steering::ServerRegistry, max_rest_ms: u64| {
        let context = context(RepeatRule::Keyed, max_rest_ms);
        let hits = (0..DRAWS).filter(|seed| {
            let mut rng = SmallRng::seed_from_u64(*seed);
            registry.select(&context, NOW, &mut rng) == Ok((keys[3], false))
        });
        hits.count() as u64
    };
    assert_eq!(chosen(&registry, 1_000), DRAWS);
    assert!(
        chosen(&registry, 400) < DRAWS / 2,
        "the connection rested too long"
    );
    if let Some(entry) = registry.get_mut(keys[3]) {
        entry.peer_in_flight = 4;
    }
    assert_eq!(chosen(&registry, 1_000), 0, "all slots are in use");
    if let Some(entry) = registry.get_mut(keys[3]) {
        entry.peer_in_flight = 0;
    }
    registry.record_outcome(support::id(3), AttemptOutcome::OwnError, Millis(99_950));
    assert_eq!(chosen(&registry, 1_000), 0, "the server is suspected");
}

/// Requests followed a connection that had been closed long before, and a retry used an idle one.
#[test]
fn a_connection_is_usable_until_it_closes_and_never_for_a_retry() {
    let rest = ConnectionRest {
        since: Millis(10_000),
        close_at: Millis(11_000),
    };
    assert!(rest.is_usable(8_000, Millis(10_900)));
    assert!(!rest.is_usable(8_000, Millis(11_000)));
    assert!(!rest.is_usable(500, Millis(10_500)));
    assert!(
        !rest.is_usable(0, Millis(10_000)),
        "a retry opens a connection"
    );
}
