//! Retry budgets: limit retries to a share of the requests of a class.

use std::collections;
use std::sync;
use std::time;

use toucanledge_core::ClassId;
use toucanledge_table::ClassRow;

/// Retries per second that every class has, however few requests it gets.
const BASE_RETRIES_PER_SECOND: f64 = 1.0;
/// Maximum balance of a budget, in retries.
const MAX_BALANCE_RETRIES: f64 = 20.0;

#[derive(Debug)]
struct RetryBudget {
    /// Number of retries that the class may make now.
    balance: f64,
    updated: time::Instant,
}

/// Retry budgets by class.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    budgets: sync::Mutex<collections::HashMap<ClassId, RetryBudget>>,
}

impl RetryBudgets {
    /// Adds the share of one request to the budget of its class.
    pub fn deposit(&self, class: &ClassRow) {
        self.update(class, |budget| {
            budget.balance += f64::from(class.retry_percent) / 100.0;
        });
    }

    /// Withdraws one retry; returns false when the balance is below one retry.
    pub fn try_withdraw(&self, class: &ClassRow) -> bool {
        self.update(class, |budget| {
            let allowed = budget.balance >= 1.0;
            if allowed {
                budget.balance -= 1.0;
            }
            allowed
        })
    }

    fn update<T>(&self, class: &ClassRow, change: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let now = time::Instant::now();
        let mut budgets = self
            .budgets
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let budget = budgets
            .entry(ClassId::of(&class.class))
            .or_insert(RetryBudget {
                balance: MAX_BALANCE_RETRIES / 2.0,
                updated: now,
            });
        let elapsed = now.duration_since(budget.updated).as_secs_f64();
        budget.updated = now;
        budget.balance += elapsed * BASE_RETRIES_PER_SECOND;
        let result = change(budget);
        budget.balance = budget.balance.min(MAX_BALANCE_RETRIES);
        result
    }
}
