//! Queue, shares and refusals.

use toucanledge_core::{ClassId, Millis, RefusalReason};
use toucanledge_slots::{LeaseOutcome, LeaseRequestId, ShardDispatcher, shard_rate_limit};

use crate::support;

/// Lets the dispatcher learn the service time of class `read`.
fn learn(dispatcher: &mut ShardDispatcher, time: u64) -> u64 {
    for number in 0..20 {
        let at = number * time;
        let steps =
            dispatcher.request_lease(support::GATEWAY, support::ask(10_000 + number), Millis(at));
        let done = support::report(
            &support::granted(&steps),
            LeaseOutcome::Completed,
            u32::try_from(time).unwrap(),
        );
        dispatcher.report_end(support::GATEWAY, done, Millis(at + time));
    }
    20 * time
}

/// Guards against uneven use of equal backend servers.
#[test]
fn spreads_evenly() {
    let mut dispatcher = support::dispatcher(8, 4);
    let mut held = std::collections::HashMap::new();
    for number in 0..16 {
        let steps = dispatcher.request_lease(support::GATEWAY, support::ask(number), Millis(0));
        *held.entry(support::granted(&steps).backend).or_insert(0) += 1;
    }
    assert!(held.values().all(|count| *count == 2), "{held:?}");
}

/// Guards against a retry on a backend server that was tried already.
#[test]
fn excluded_is_never_granted() {
    let mut dispatcher = support::dispatcher(2, 2);
    for number in 0..2 {
        let mut ask = support::ask(number);
        ask.exclude = vec![support::backend(0)];
        let steps = dispatcher.request_lease(support::GATEWAY, ask, Millis(0));
        assert_eq!(support::granted(&steps).backend, support::backend(1));
    }
    let mut ask = support::ask(3);
    ask.exclude = vec![support::backend(0), support::backend(1)];
    let steps = dispatcher.request_lease(support::GATEWAY, ask, Millis(0));
    assert_eq!(support::refused(&steps), RefusalReason::NoBackend);
}

/// Guards against serving a later deadline before an earlier one.
#[test]
fn earliest_deadline_first() {
    let mut dispatcher = support::dispatcher(1, 1);
    let steps = dispatcher.request_lease(support::GATEWAY, support::ask(0), Millis(0));
    let first = support::granted(&steps);
    for (number, deadline) in [(1, 900), (2, 300)] {
        let mut ask = support::ask(number);
        ask.remaining_ms = deadline;
        assert!(
            dispatcher
                .request_lease(support::GATEWAY, ask, Millis(1))
                .is_empty()
        );
    }
    let done = support::report(&first, LeaseOutcome::Completed, 20);
    let steps = dispatcher.report_end(support::GATEWAY, done, Millis(20));
    assert_eq!(support::granted(&steps).request_id, LeaseRequestId(2));
}

/// Guards against waiting for a slot that will not be free in time.
#[test]
fn refuses_at_once_by_expected_wait() {
    let mut dispatcher = support::dispatcher(1, 2);
    let start = learn(&mut dispatcher, 100);
    let mut refused = Vec::new();
    for number in 0..10 {
        let steps = dispatcher.request_lease(
            support::GATEWAY,
            support::ask(number),
            Millis(start + number),
        );
        refused.extend(support::refusals(&steps));
    }
    // Two run and four fit a wait of 200 ms at 50 ms a request.
    assert_eq!(refused.len(), 4, "{refused:?}");
    for refusal in refused {
        assert_eq!(refusal.reason, RefusalReason::QueueFull);
        assert!((150..=300).contains(&refusal.retry_after_ms), "{refusal:?}");
    }
}

/// Guards against late refusal of queued requests.
#[test]
fn refusals_are_due_at_the_limit() {
    let mut dispatcher = support::dispatcher(1, 1);
    dispatcher.request_lease(support::GATEWAY, support::ask(0), Millis(0));
    dispatcher.request_lease(support::GATEWAY, support::ask(1), Millis(10));
    let mut short = support::ask(2);
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

/// Guards against one class that starves another, and against a class above its share of slots.
#[test]
fn classes_share_slots_by_weight() {
    let mut heavy = support::class_row("read");
    heavy.weight = 3.0;
    heavy.queue_ms = 60_000;
    let mut light = support::class_row("search");
    light.queue_ms = 60_000;
    light.slot_share = 0.5;
    let mut dispatcher = support::dispatcher_of(vec![heavy, light], 1, 4);
    let mut running = Vec::new();
    for number in 0..400 {
        let mut ask = support::ask(number);
        ask.remaining_ms = 60_000;
        if number % 2 == 0 {
            ask.class = ClassId::of("search");
        }
        running.extend(support::grants(&dispatcher.request_lease(
            support::GATEWAY,
            ask,
            Millis(0),
        )));
    }
    let mut served = [0, 0];
    for round in 0..160 {
        let grant = running.remove(0);
        served[usize::from(grant.request_id.0 % 2 == 1)] += 1;
        let searches = running
            .iter()
            .filter(|grant| grant.request_id.0 % 2 == 0)
            .count();
        assert!(searches <= 2, "search holds more than half of the slots");
        let done = support::report(&grant, LeaseOutcome::Completed, 20);
        let steps = dispatcher.report_end(support::GATEWAY, done, Millis(20 + round));
        running.extend(support::grants(&steps));
    }
    assert!((110..=130).contains(&served[1]), "{served:?}");
}

/// Guards against a rate above the limit and against a `retry_after` that does not help.
#[test]
fn rate_limit_refuses_above_the_share() {
    let mut row = support::class_row("read");
    row.rate_limit_per_s = 20.0;
    let mut dispatcher = support::dispatcher_of(vec![row], 8, 4);
    let mut granted = 0;
    for number in 0..1_000 {
        let now = Millis(number * 2);
        let steps = dispatcher.request_lease(support::GATEWAY, support::ask(number), now);
        for refusal in support::refusals(&steps) {
            assert_eq!(refusal.reason, RefusalReason::RateLimit);
            assert!(refusal.retry_after_ms >= 50);
        }
        for grant in support::grants(&steps) {
            granted += 1;
            let done = support::report(&grant, LeaseOutcome::Completed, 1);
            dispatcher.report_end(support::GATEWAY, done, now);
        }
    }
    // 20 a second for 2 s and a burst of a quarter second.
    assert!((40..=46).contains(&granted), "{granted}");
}

/// Guards against shares whose sum exceeds the limit of the fleet.
#[test]
fn rate_shares_add_up() {
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

/// Guards against a grant to a request whose caller gave up, and against a lost slot.
#[test]
fn cancel_withdraws_and_frees() {
    let mut dispatcher = support::dispatcher(1, 1);
    dispatcher.request_lease(support::GATEWAY, support::ask(0), Millis(0));
    dispatcher.request_lease(support::GATEWAY, support::ask(1), Millis(1));
    dispatcher.request_lease(support::GATEWAY, support::ask(2), Millis(1));
    assert!(
        dispatcher
            .cancel(support::GATEWAY, LeaseRequestId(1), Millis(2))
            .is_empty()
    );
    let steps = dispatcher.cancel(support::GATEWAY, LeaseRequestId(0), Millis(3));
    assert_eq!(support::granted(&steps).request_id, LeaseRequestId(2));
}

/// Guards against a silent ask before the table or the class is known.
#[test]
fn unknown_rows_refuse() {
    let mut dispatcher = ShardDispatcher::new(support::shard(), 7);
    let steps = dispatcher.request_lease(support::GATEWAY, support::ask(0), Millis(0));
    assert_eq!(support::refused(&steps), RefusalReason::NoTable);
    let mut dispatcher = support::dispatcher(1, 1);
    let mut ask = support::ask(1);
    ask.class = ClassId::of("unknown");
    let steps = dispatcher.request_lease(support::GATEWAY, ask, Millis(0));
    assert_eq!(support::refused(&steps), RefusalReason::NoRoute);
}

/// Guards against an older table that replaces a newer one.
#[test]
fn older_table_is_ignored() {
    let mut dispatcher = support::dispatcher(1, 1);
    let mut old = support::policy(vec![support::class_row("other")], 1, 9);
    old.table_revision.0 = 11;
    dispatcher.set_policy(old, Millis(5));
    let steps = dispatcher.request_lease(support::GATEWAY, support::ask(0), Millis(6));
    assert_eq!(support::granted(&steps).table_revision.0, 12);
}

/// Guards against a backend server that sheds and, with its slots free again, gets all requests.
#[test]
fn shedding_server_does_not_attract_requests() {
    let mut dispatcher = support::dispatcher(4, 4);
    let mut shed = 0;
    for number in 0..100 {
        let now = Millis(number * 5);
        let steps = dispatcher.request_lease(support::GATEWAY, support::ask(number), now);
        let grant = support::granted(&steps);
        if grant.backend == support::backend(0) {
            shed += 1;
            let report = support::report(&grant, LeaseOutcome::Shed, 1);
            dispatcher.report_end(support::GATEWAY, report, now + 1);
        } else {
            let report = support::report(&grant, LeaseOutcome::Completed, 4);
            dispatcher.report_end(support::GATEWAY, report, now + 4);
        }
    }
    assert!((1..=10).contains(&shed), "{shed}");
}

/// Guards against a dispatcher that costs more than a few microseconds an event.
#[test]
#[cfg(not(debug_assertions))]
fn events_cost_microseconds() {
    let mut dispatcher = support::dispatcher(16, 4);
    let mut running = std::collections::VecDeque::new();
    let start = std::time::Instant::now();
    for number in 0..200_000 {
        let now = Millis(number / 2);
        let steps = dispatcher.ask(support::GATEWAY, support::ask(number), now);
        running.extend(support::grants(&steps));
        if running.len() > 40 {
            let grant = running.pop_front().unwrap();
            let done = support::report(&grant, LeaseOutcome::Completed, 20);
            running.extend(support::grants(&dispatcher.report(
                support::GATEWAY,
                done,
                now,
            )));
        }
    }
    let micros = start.elapsed().as_micros() / 400_000;
    println!("{micros} microseconds an event");
    assert!(micros < 20, "{micros} microseconds an event");
}
