//! Guards against retries of the whole fleet beyond the published budget.

use proptest::prelude::*;
use toucanledge_core::Millis;
use toucanledge_steering::RetryBudget;

const RATIO: f64 = 0.2;
const SLACK: f64 = 58.0;
const GATEWAYS: usize = 36;
const WINDOW_MS: u64 = 10_000;

/// A request at a gateway, the milliseconds since the one before, and the retries it wants.
type Step = (usize, u64, u8);

proptest! {
    /// However requests and wishes to retry are spread over gateways and time, no window has more
    /// retries than its ratio and the fixed allowance; requests are those of the window or of the
    /// one before it.
    #[test]
    fn fleet_stays_within_budget(
        steps in proptest::collection::vec((0..GATEWAYS, 0..40_u64, 0..4_u8), 1..3000),
    ) {
        let steps: Vec<Step> = steps;
        let mut budgets = vec![RetryBudget::default(); GATEWAYS];
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        let mut now = Millis(60_000);
        for (gateway, pause, wishes) in steps {
            now = now + pause;
            budgets[gateway].record_request(RATIO, SLACK, GATEWAYS, now);
            requests.push(now.0);
            for _ in 0..wishes {
                if budgets[gateway].try_acquire(now) {
                    retries.push(now.0);
                }
            }
        }
        let inside = |times: &[u64], end: u64| {
            let start = end.saturating_sub(WINDOW_MS);
            let count = times.iter().filter(|at| **at > start && **at <= end).count();
            u32::try_from(count).map_or(f64::MAX, f64::from)
        };
        for end in retries.iter().step_by(7) {
            let counted = inside(&requests, *end).max(inside(&requests, end - WINDOW_MS));
            prop_assert!(inside(&retries, *end) <= RATIO * counted + SLACK);
        }
    }
}

#[test]
fn what_was_not_used_before_a_failure_is_there_when_it_comes() {
    let mut budget = RetryBudget::default();
    for index in 0..50 {
        budget.record_request(RATIO, SLACK, GATEWAYS, Millis(1_000 + index * 100));
    }
    let taken = (0..50)
        .filter(|_| budget.try_acquire(Millis(6_000)))
        .count();
    assert_eq!(taken, 10);
    assert!(!budget.has_reserve(Millis(6_000)));
}

#[test]
fn a_failed_request_goes_before_a_risk() {
    let mut budget = RetryBudget::default();
    for _ in 0..50 {
        budget.record_request(RATIO, SLACK, GATEWAYS, Millis(1_000));
    }
    let risks =
        (0..50).filter(|_| budget.has_reserve(Millis(1_000)) && budget.try_acquire(Millis(1_000)));
    assert_eq!(risks.count(), 8);
    assert!(
        budget.try_acquire(Millis(1_000)),
        "the reserve is for failed requests"
    );
}

#[test]
fn a_retry_that_was_not_used_comes_back() {
    let mut budget = RetryBudget::default();
    for _ in 0..6 {
        budget.record_request(RATIO, 0.0, GATEWAYS, Millis(1_000));
    }
    assert!(budget.try_acquire(Millis(1_000)));
    assert!(!budget.try_acquire(Millis(1_000)));
    budget.release(Millis(1_000));
    assert!(budget.try_acquire(Millis(1_000)));
}

#[test]
fn old_requests_earn_nothing() {
    let mut budget = RetryBudget::default();
    for _ in 0..100 {
        budget.record_request(RATIO, 0.0, GATEWAYS, Millis(1_000));
    }
    assert!(!budget.try_acquire(Millis(12_000)));
}
