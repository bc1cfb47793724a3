//! Guards against retries of the whole fleet beyond the published budget.

use proptest::prelude::*;
use toucanledge_steering::RetryBudget;

const RATIO: f64 = 0.2;
const SLACK: f64 = 58.0;

proptest! {
    /// However requests and wishes to retry are spread over the gateways, no span of requests has
    /// more retries than its ratio and the fixed allowance.
    #[test]
    fn fleet_stays_within_budget(
        steps in proptest::collection::vec((0..36_usize, any::<bool>()), 1..3000),
        start in 0..2000_usize,
    ) {
        let mut budgets = vec![RetryBudget::default(); 36];
        let mut requests = 0.0;
        let mut retries = 0.0;
        for (index, (gateway, eager)) in steps.iter().enumerate() {
            budgets[*gateway].earn(RATIO, SLACK, 36);
            let taken = *eager && budgets[*gateway].take();
            if index >= start {
                requests += 1.0;
                retries += f64::from(u8::from(taken));
            }
        }
        prop_assert!(retries <= RATIO * requests + SLACK);
    }
}

#[test]
fn a_retry_that_was_not_used_comes_back() {
    let mut budget = RetryBudget::default();
    assert!(budget.take());
    assert!(!budget.any());
    budget.give_back();
    assert!(budget.take());
    assert!(!budget.take());
}

#[test]
fn a_large_fleet_still_lets_each_gateway_retry_once() {
    let mut budget = RetryBudget::default();
    budget.earn(RATIO, SLACK, 5_900);
    assert!(budget.any());
}
