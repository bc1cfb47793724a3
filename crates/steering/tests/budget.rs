//! Guards against a fleet that makes more retries than its budget allows.

use proptest::prelude::*;
use toucanledge_core::Millis;
use toucanledge_steering::RetryBudget;

const RATIO: f64 = 0.2;
const SLACK: f64 = 58.0;
const GATEWAYS: usize = 36;
const WINDOW_MS: u64 = 10_000;

/// The gateway of a request, the milliseconds since the previous request, and the retries it wants.
type RequestStep = (usize, u64, u8);

proptest! {
    /// However requests and wanted retries are spread over gateways and time, no window has more
    /// retries than the ratio of its requests plus the fixed allowance. Requests of the previous
    /// window may count instead of its own.
    #[test]
    fn fleet_stays_within_budget(
        steps in proptest::collection::vec((0..GATEWAYS, 0..40_u64, 0..4_u8), 1..3000),
    ) {
        let steps: Vec<RequestStep> = steps;
        let mut budgets = vec![RetryBudget::default(); GATEWAYS];
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        let mut now = Millis(60_000);
        for (gateway, pause, wanted_retries) in steps {
            now = now + pause;
            budgets[gateway].record_request(RATIO, SLACK, GATEWAYS, now);
            requests.push(now.0);
            for _ in 0..wanted_retries {
                if budgets[gateway].try_acquire(now) {
                    retries.push(now.0);
                }
            }
        }
        let count_in_window = |times: &[u64], end: u64| {
            let start = end.saturating_sub(WINDOW_MS);
            let count = times.iter().filter(|at| **at > start && **at <= end).count();
            u32::try_from(count).map_or(f64::MAX, f64::from)
        };
        for end in retries.iter().step_by(7) {
            let counted = count_in_window(&requests, *end)
                .max(count_in_window(&requests, end - WINDOW_MS));
            prop_assert!(count_in_window(&retries, *end) <= RATIO * counted + SLACK);
        }
    }
}

#[test]
fn unused_retries_are_available_at_a_failure() {
    let mut budget = RetryBudget::default();
    for index in 0..50 {
        budget.record_request(RATIO, SLACK, GATEWAYS, Millis(1_000 + index * 100));
    }
    let acquired = (0..50)
        .filter(|_| budget.try_acquire(Millis(6_000)))
        .count();
    assert_eq!(acquired, 10);
    assert!(!budget.has_reserve(Millis(6_000)));
}

#[test]
fn the_reserve_is_kept_for_failed_requests() {
    let mut budget = RetryBudget::default();
    for _ in 0..50 {
        budget.record_request(RATIO, SLACK, GATEWAYS, Millis(1_000));
    }
    let without_reserve =
        (0..50).filter(|_| budget.has_reserve(Millis(1_000)) && budget.try_acquire(Millis(1_000)));
    assert_eq!(without_reserve.count(), 8);
    assert!(
        budget.try_acquire(Millis(1_000)),
        "the reserve is for failed requests"
    );
}

#[test]
fn a_released_retry_is_available_again() {
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
fn requests_outside_the_window_allow_no_retry() {
    let mut budget = RetryBudget::default();
    for _ in 0..100 {
        budget.record_request(RATIO, 0.0, GATEWAYS, Millis(1_000));
    }
    assert!(!budget.try_acquire(Millis(12_000)));
}
