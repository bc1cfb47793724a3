//! Fairness between classes and shards: weighted fair queueing and rate limits.

use std::collections;

use toucanledge_core::{ClassId, Millis};

use crate::timing;
use crate::{ClassPolicy, queue};

/// Burst size of a rate limit, in seconds of the rate.
const BURST_SECONDS: f64 = 0.25;
/// Requests that the prior of the share of unpredicted long work stands for.
const LONG_PRIOR_REQUESTS: f64 = 50.0;
/// Unpredicted long requests in the prior.
const LONG_PRIOR_LONG_REQUESTS: f64 = 0.18;
/// Counted requests after which older ones count half in the share of unpredicted long work.
const LONG_RATE_WINDOW_REQUESTS: f64 = 2_000.0;

/// Returns the part of a fleet-wide rate limit that a shard may use.
///
/// The limit is divided in proportion to demand in the last second, so that a busy shard may use
/// what others leave. `others` has the demand of each other reachable shard of the pool. While one
/// is unreachable, its demand is unknown and the limit is divided equally.
///
/// ```
/// use toucanledge_slots::shard_rate_limit;
/// assert!((shard_rate_limit(30.0, &[10.0], 100.0, 2) - 75.0).abs() < 1e-9);
/// assert!((shard_rate_limit(30.0, &[], 100.0, 2) - 50.0).abs() < 1e-9);
/// ```
#[must_use]
pub fn shard_rate_limit(demand: f64, others: &[f64], limit: f64, shards: u32) -> f64 {
    let shards = shards.max(1);
    let equal_share = limit / f64::from(shards);
    let total = demand + others.iter().sum::<f64>();
    if others.len() + 1 < shards as usize || total <= 0.0 {
        return equal_share;
    }
    limit * demand / total
}

/// Token bucket of a class.
#[derive(Clone, Debug, Default)]
pub(crate) struct TokenBucket {
    tokens: f64,
    filled: Option<Millis>,
}

impl TokenBucket {
    /// Takes a token, or returns the milliseconds until one is available.
    pub(crate) fn take(&mut self, rate: f64, now: Millis) -> Result<(), u32> {
        if rate <= 0.0 {
            return Ok(());
        }
        self.fill(rate, now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait_ms = (1.0 - self.tokens) / rate * 1_000.0;
        Err(timing::saturating_u32(wait_ms.ceil()))
    }

    /// Puts back the token of a request that was refused for another reason.
    pub(crate) fn refund(&mut self) {
        self.tokens += 1.0;
    }

    fn fill(&mut self, rate: f64, now: Millis) {
        let capacity = (rate * BURST_SECONDS).max(1.0);
        let refill = match self.filled {
            Some(filled) => rate * timing::to_f64(now.since(filled)) / 1_000.0,
            None => capacity,
        };
        self.tokens = (self.tokens + refill).min(capacity);
        self.filled = Some(now);
    }
}

/// Share of the requests without a prediction of long work that were long.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnpredictedLongRate {
    requests: f64,
    long: f64,
}

impl UnpredictedLongRate {
    pub(crate) fn add(&mut self, long: bool) {
        if self.requests >= LONG_RATE_WINDOW_REQUESTS {
            self.requests /= 2.0;
            self.long /= 2.0;
        }
        self.requests += 1.0;
        self.long += f64::from(u8::from(long));
    }

    /// Returns whether any counted request was long.
    pub(crate) fn has_long(&self) -> bool {
        self.long >= 0.5
    }

    pub(crate) fn share(&self) -> f64 {
        (LONG_PRIOR_LONG_REQUESTS + self.long) / (LONG_PRIOR_REQUESTS + self.requests)
    }
}

/// State of a class of work in the dispatcher.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassState {
    /// Row of the class; none when a newer table has no such row.
    pub(crate) policy: Option<ClassPolicy>,
    pub(crate) leases_held: u32,
    pub(crate) bucket: TokenBucket,
    pub(crate) service_median: timing::RecentMedian,
    pub(crate) short_mean: timing::MovingMean,
    pub(crate) long_mean: timing::MovingMean,
    pub(crate) unpredicted_long: UnpredictedLongRate,
    /// Virtual time at which the last granted request of the class ends.
    finish_tag: f64,
}

impl ClassState {
    pub(crate) fn mean_ms(&self, lane: queue::QueueLane) -> f64 {
        match lane {
            queue::QueueLane::Long => self.long_mean.millis(),
            queue::QueueLane::Short | queue::QueueLane::Suspect => self.short_mean.millis(),
        }
    }

    pub(crate) fn weight(&self) -> f64 {
        self.policy
            .as_ref()
            .map_or(1.0, |policy| policy.weight.max(0.001))
    }

    /// Returns how many of these slots the class may hold.
    pub(crate) fn slot_limit(&self, slots: u32) -> u32 {
        let share = self.policy.as_ref().map_or(1.0, |policy| policy.slot_share);
        timing::saturating_u32(f64::from(slots) * share).max(1)
    }
}

/// Classes of a shard with start-time fair queueing between them.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassScheduler {
    pub(crate) classes: collections::BTreeMap<ClassId, ClassState>,
    virtual_time: f64,
}

impl ClassScheduler {
    pub(crate) fn set_policies(&mut self, policies: &[ClassPolicy]) {
        for state in self.classes.values_mut() {
            state.policy = None;
        }
        for policy in policies {
            let state = self.classes.entry(policy.class).or_default();
            state.policy = Some(policy.clone());
        }
        self.drop_unused();
    }

    /// Removes classes without a row and without leases.
    pub(crate) fn drop_unused(&mut self) {
        self.classes
            .retain(|_, state| state.policy.is_some() || state.leases_held > 0);
    }

    pub(crate) fn get(&self, class: ClassId) -> Option<&ClassState> {
        self.classes.get(&class)
    }

    pub(crate) fn get_mut(&mut self, class: ClassId) -> Option<&mut ClassState> {
        self.classes.get_mut(&class)
    }

    pub(crate) fn policy(&self, class: ClassId) -> Option<&ClassPolicy> {
        self.get(class)?.policy.as_ref()
    }

    /// Returns the virtual start time of the next request of a class.
    pub(crate) fn start_tag(&self, class: ClassId) -> f64 {
        self.get(class)
            .map_or(0.0, |state| state.finish_tag.max(self.virtual_time))
    }

    /// Charges a granted lease to its class.
    pub(crate) fn charge(&mut self, class: ClassId, lane: queue::QueueLane) {
        let start = self.start_tag(class);
        self.virtual_time = start;
        if let Some(state) = self.classes.get_mut(&class) {
            state.finish_tag = start + state.mean_ms(lane) / state.weight();
            state.leases_held += 1;
        }
    }
}
