//! Queue, fairness, rate limits and refusals.

use toucanledge_core::{ClassId, Millis, RefusalReason};
use toucanledge_slots::{LeaseOutcome, LeaseRequestId, ShardDispatcher, shard_rate_limit};

use crate::support;

/// Completes 20 requests of class `read` with this service time and returns the time at the end.
fn complete_requests(dispatcher: &mut ShardDispatcher, service_ms: u64) -> u64 {
    for number in 0..20 {
        let at = number * service_ms;
        let actions = dispatcher.request_lease(
            support::GATEWAY,
            support::lease_request(10_000 + number),
            Millis(at),
        );
        let done = support::report(
            &support::granted(&actions),
            LeaseOutcome::Completed,
            u32::try_from(service_ms).unwrap(),
        );
        dispatcher.report_end(support::GATEWAY, done, Millis(at + service_ms));
    }
    20 * service_ms
}

/// Guards against uneven use of equal backend servers.
#[test]
fn load_spreads_evenly() {
    let mut dispatcher = support::dispatcher(8, 4);
    let mut by_server = std::collections::HashMap::new();
    for number in 0..16 {
        let actions =
            dispatcher.request_lease(support::GATEWAY, support::lease_request(number), Millis(0));
        *by_server
            .entry(support::granted(&actions).backend)
            .or_insert(0) += 1;
    }
    assert!(
        by_server.values().all(|count| *count == 2),
        "expected 2 leases each: {by_server:?}"
    );
}

/// Guards against a retry on a backend server that an earlier attempt used.
#[test]
fn excluded_server_is_never_granted() {
    let mut dispatcher = support::dispatcher(2, 2);
    for number in 0..2 {
        let mut request = support::lease_request(number);
        request.exclude = vec![support::backend(0)];
        let actions = dispatcher.request_lease(support::GATEWAY, request, Millis(0));
        assert_eq!(support::granted(&actions).backend, support::backend(1));
    }
    let mut request = support::lease_request(3);
    request.exclude = vec![support::backend(0), support::backend(1)];
    let actions = dispatcher.request_lease(support::GATEWAY, request, Millis(0));
    assert_eq!(support::refused(&actions), RefusalReason::NoBackend);
}

/// Guards against a grant to a later deadline before an earlier one.
#[test]
fn earliest_deadline_first() {
    let mut dispatcher = support::dispatcher(1, 1);
    let actions = dispatcher.request_lease(support::GATEWAY, support::lease_request(0), Millis(0));
    let first = support::granted(&actions);
    for (number, deadline) in [(1, 900), (2, 300)] {
        let mut request = support::lease_request(number);
        request.remaining_ms = deadline;
        assert!(
            dispatcher
                .request_lease(support::GATEWAY, request, Millis(1))
                .is_empty()
        );
    }
    let done = support::report(&first, LeaseOutcome::Completed, 20);
    let actions = dispatcher.report_end(support::GATEWAY, done, Millis(20));
    assert_eq!(support::granted(&actions).request_id, LeaseRequestId(2));
}

/// Guards against queueing for a slot that will not be free in time.
#[test]
fn long_expected_wait_refuses_at_once() {
    let mut dispatcher = support::dispatcher(1, 2);
    let start = complete_requests(&mut dispatcher, 100);
    let mut refused = Vec::new();
    for number in 0..10 {
        let actions = dispatcher.request_lease(
            support::GATEWAY,
            support::lease_request(number),
            Millis(start + number),
        );
        refused.extend(support::refusals(&actions));
    }
    // Two requests run. Four more fit a wait of 200 ms, as a slot is free every 50 ms.
    assert_eq!(refused.len(), 4, "refusals {refused:?}");
    for refusal in refused {
        assert_eq!(refusal.reason, RefusalReason::QueueFull);
        assert!(
            (150..=300).contains(&refusal.retry_after_ms),
            "expected a retry after 150 to 300 ms: {refusal:?}"
        );
    }
}

/// Guards against refusals later than the deadline or the wait limit of queued requests.
#[test]
fn queued_requests_are_refused_at_their_limit() {
    let mut dispatcher = support::dispatcher(1, 1);
    dispatcher.request_lease(support::GATEWAY, support::lease_request(0), Millis(0));
    dispatcher.request_lease(support::GATEWAY, support::lease_request(1), Millis(10));
    let mut short = support::lease_request(2);
    short.remaining_ms = 120;
    dispatcher.request_lease(support::GATEWAY, short, Millis(10));
    let mut reasons = Vec::new();
    while let Some(due) = dispatcher.next_deadline().filter(|due| *due < Millis(400)) {
        for refusal in support::refusals(&dispatcher.tick(due)) {
            reasons.push((due, refusal.request_id, refusal.reason));
        }
    }
    let expected = vec![
        (Millis(130), LeaseRequestId(2), RefusalReason::QueueDeadline),
        (Millis(210), LeaseRequestId(1), RefusalReason::QueueFull),
    ];
    assert_eq!(reasons, expected);
}

/// Guards against a class that starves another and against a class beyond its share of slots.
#[test]
fn classes_share_slots_by_weight() {
    let mut heavy = support::class_row("read");
    heavy.weight = 3.0;
    heavy.queue_ms = 60_000;
    let mut light = support::class_row("search");
    light.queue_ms = 60_000;
    light.slot_share = 0.5;
    let mut dispatcher = support::dispatcher_with(vec![heavy, light], 1, 4);
    let mut granted = Vec::new();
    for number in 0..400 {
        let mut request = support::lease_request(number);
        request.remaining_ms = 60_000;
        if number % 2 == 0 {
            request.class = ClassId::of("search");
        }
        granted.extend(support::grants(&dispatcher.request_lease(
            support::GATEWAY,
            request,
            Millis(0),
        )));
    }
    let mut served = [0, 0];
    for round in 0..160 {
        let grant = granted.remove(0);
        served[usize::from(grant.request_id.0 % 2 == 1)] += 1;
        let searches = granted
            .iter()
            .filter(|grant| grant.request_id.0 % 2 == 0)
            .count();
        assert!(searches <= 2, "search holds more than half of the slots");
        let done = support::report(&grant, LeaseOutcome::Completed, 20);
        let actions = dispatcher.report_end(support::GATEWAY, done, Millis(20 + round));
        granted.extend(support::grants(&actions));
    }
    assert!(
        (110..=130).contains(&served[1]),
        "expected about 120 of 160 grants for class read: {served:?}"
    );
}

/// Guards against grants above the rate limit and against a `retry_after_ms` that is too short.
#[test]
fn rate_limit_refuses_requests_above_it() {
    let mut row = support::class_row("read");
    row.rate_limit_per_s = 20.0;
    let mut dispatcher = support::dispatcher_with(vec![row], 8, 4);
    let mut granted = 0;
    for number in 0..1_000 {
        let now = Millis(number * 2);
        let actions =
            dispatcher.request_lease(support::GATEWAY, support::lease_request(number), now);
        for refusal in support::refusals(&actions) {
            assert_eq!(refusal.reason, RefusalReason::RateLimit);
            assert!(refusal.retry_after_ms >= 50);
        }
        for grant in support::grants(&actions) {
            granted += 1;
            let done = support::report(&grant, LeaseOutcome::Completed, 1);
            dispatcher.report_end(support::GATEWAY, done, now);
        }
    }
    // 20 per second for 2 s and a burst of a quarter second.
    assert!(
        (40..=46).contains(&granted),
        "expected 40 to 46 grants, got {granted}"
    );
}

/// Guards against rate limits of shards whose sum exceeds the limit of the fleet.
#[test]
fn shard_rate_limits_add_up() {
    let demand = [5.0, 0.0, 25.0, 70.0];
    let share = |index: usize| {
        let mut others = demand.to_vec();
        let own = others.remove(index);
        shard_rate_limit(own, &others, 80.0, 4)
    };
    let total: f64 = (0..4).map(share).sum();
    assert!((total - 80.0).abs() < 1e-9);
    assert!((shard_rate_limit(70.0, &[5.0], 80.0, 4) - 20.0).abs() < 1e-9);
    assert!((shard_rate_limit(0.0, &[0.0], 80.0, 2) - 40.0).abs() < 1e-9);
}

/// Guards against a grant to a cancelled request and against a slot that is not freed.
#[test]
fn cancel_removes_from_queue_and_frees_slot() {
    let mut dispatcher = support::dispatcher(1, 1);
    dispatcher.request_lease(support::GATEWAY, support::lease_request(0), Millis(0));
    dispatcher.request_lease(support::GATEWAY, support::lease_request(1), Millis(1));
    dispatcher.request_lease(support::GATEWAY, support::lease_request(2), Millis(1));
    assert!(
        dispatcher
            .cancel(support::GATEWAY, LeaseRequestId(1), Millis(2))
            .is_empty()
    );
    let actions = dispatcher.cancel(support::GATEWAY, LeaseRequestId(0), Millis(3));
    assert_eq!(support::granted(&actions).request_id, LeaseRequestId(2));
}

/// Guards against a lease request without a reply before the table or the class is known.
#[test]
fn missing_table_or_class_refuses() {
    let mut dispatcher = ShardDispatcher::new(support::shard(), 7);
    let actions = dispatcher.request_lease(support::GATEWAY, support::lease_request(0), Millis(0));
    assert_eq!(support::refused(&actions), RefusalReason::NoTable);
    let mut dispatcher = support::dispatcher(1, 1);
    let mut request = support::lease_request(1);
    request.class = ClassId::of("unknown");
    let actions = dispatcher.request_lease(support::GATEWAY, request, Millis(0));
    assert_eq!(support::refused(&actions), RefusalReason::NoRoute);
}

/// Guards against an older table that replaces a newer one.
#[test]
fn older_table_is_ignored() {
    let mut dispatcher = support::dispatcher(1, 1);
    let mut old = support::policy(vec![support::class_row("other")], 1, 9);
    old.table_revision.0 = 11;
    dispatcher.set_policy(old, Millis(5));
    let actions = dispatcher.request_lease(support::GATEWAY, support::lease_request(0), Millis(6));
    assert_eq!(support::granted(&actions).table_revision.0, 12);
}

/// Guards against an overloaded backend server that gets all requests, since each one that it
/// rejects frees its slot at once.
#[test]
fn overloaded_server_does_not_attract_requests() {
    let mut dispatcher = support::dispatcher(4, 4);
    let mut rejected = 0;
    for number in 0..100 {
        let now = Millis(number * 5);
        let actions =
            dispatcher.request_lease(support::GATEWAY, support::lease_request(number), now);
        let grant = support::granted(&actions);
        if grant.backend == support::backend(0) {
            rejected += 1;
            let report = support::report(&grant, LeaseOutcome::Shed, 1);
            dispatcher.report_end(support::GATEWAY, report, now + 1);
        } else {
            let report = support::report(&grant, LeaseOutcome::Completed, 4);
            dispatcher.report_end(support::GATEWAY, report, now + 4);
        }
    }
    assert!(
        (1..=10).contains(&rejected),
        "expected 1 to 10 rejected requests, got {rejected}"
    );
}

/// Guards against events that cost more than a few microseconds.
#[test]
#[cfg(not(debug_assertions))]
fn events_cost_microseconds() {
    let mut dispatcher = support::dispatcher(16, 4);
    let mut granted = std::collections::VecDeque::new();
    let start = std::time::Instant::now();
    for number in 0..200_000 {
        let now = Millis(number / 2);
        let actions =
            dispatcher.request_lease(support::GATEWAY, support::lease_request(number), now);
        granted.extend(support::grants(&actions));
        if granted.len() > 40 {
            let grant = granted.pop_front().unwrap();
            let done = support::report(&grant, LeaseOutcome::Completed, 20);
            granted.extend(support::grants(&dispatcher.report_end(
                support::GATEWAY,
                done,
                now,
            )));
        }
    }
    let micros = start.elapsed().as_micros() / 400_000;
    println!("{micros} microseconds an event");
    assert!(
        micros < 20,
        "expected less than 20 microseconds an event, got {micros}"
    );
}
