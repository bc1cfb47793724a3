//! Retry budget of one gateway: its part of the budget that the whole fleet shares.

use toucanledge_core::Millis;

/// Share of the configured retry ratio that is used. The rest covers requests that were counted but
/// never sent to the pool.
const RATIO_SHARE: f64 = 0.95;
/// Share of the fleet's fixed retry allowance that all gateways use together. A restarted gateway
/// does not know how many retries it made before, so half is kept in reserve for restarts.
const SLACK_SHARE: f64 = 0.5;
/// Limit of one gateway's part of the fixed allowance, in retries. A restarted gateway knows few
/// peers yet and would take too large a part.
const MAX_SLACK: f64 = 1.5;
/// Share of the allowance that is reserved for requests that already failed;
/// [`RetryBudget::has_reserve`] leaves it untouched.
const RESERVE_SHARE: f64 = 0.3;
const BUCKET_MS: u64 = 500;
/// Buckets in the 10 s window of requests. The newest bucket is still filling, so the window is
/// slightly shorter than 10 s.
const REQUEST_BUCKETS: u64 = 20;
/// Buckets in the 10 s window of retries: one more than for requests, so the window is slightly
/// longer than 10 s.
const RETRY_BUCKETS: u64 = 21;
const KEPT_BUCKETS: usize = 21;

/// Retries that one gateway may make to one pool.
///
/// In every window the gateway's retries stay within the ratio of its requests plus its part of the
/// fixed allowance, so the sum over the fleet stays within the fleet's budget. Retries that were
/// not used before a failure are available when the failure comes.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    buckets: [WindowBucket; KEPT_BUCKETS],
    slack: f64,
    ratio: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct WindowBucket {
    index: u64,
    requests: u32,
    retries: u32,
}

impl RetryBudget {
    /// Counts a request to the pool and sets the ratio, and this gateway's part of the fixed
    /// allowance.
    pub fn record_request(&mut self, ratio: f64, slack: f64, gateways: usize, now: Millis) {
        let gateways = u32::try_from(gateways.max(1)).map_or(f64::MAX, f64::from);
        self.ratio = ratio * RATIO_SHARE;
        self.slack = (slack * SLACK_SHARE / gateways).min(MAX_SLACK);
        self.current_bucket(now).requests += 1;
    }

    /// Acquires one retry; returns `false` when the budget is used up.
    pub fn try_acquire(&mut self, now: Millis) -> bool {
        let allowed = self.available(now) >= 1.0;
        if allowed {
            self.current_bucket(now).retries += 1;
        }
        allowed
    }

    /// Returns whether the budget allows an attempt that may need a retry, without using the
    /// reserve for requests that already failed.
    #[must_use]
    pub fn has_reserve(&self, now: Millis) -> bool {
        self.available(now) >= 1.0_f64.max(self.allowed(now) * RESERVE_SHARE)
    }

    /// Returns a retry that was acquired but not used.
    pub fn release(&mut self, now: Millis) {
        let bucket = self.current_bucket(now);
        bucket.retries = bucket.retries.saturating_sub(1);
    }

    fn available(&self, now: Millis) -> f64 {
        let retries: u32 = self
            .buckets_within(now, RETRY_BUCKETS)
            .map(|bucket| bucket.retries)
            .sum();
        self.allowed(now) - f64::from(retries)
    }

    fn allowed(&self, now: Millis) -> f64 {
        let requests: u32 = self
            .buckets_within(now, REQUEST_BUCKETS)
            .map(|bucket| bucket.requests)
            .sum();
        f64::from(requests) * self.ratio + self.slack
    }

    fn buckets_within(&self, now: Millis, buckets: u64) -> impl Iterator<Item = &WindowBucket> {
        let index = now.0 / BUCKET_MS;
        self.buckets
            .iter()
            .filter(move |bucket| bucket.index + buckets > index && bucket.index <= index)
    }

    fn current_bucket(&mut self, now: Millis) -> &mut WindowBucket {
        let index = now.0 / BUCKET_MS;
        let slot = usize::try_from(index % KEPT_BUCKETS as u64).unwrap_or_default();
        let bucket = &mut self.buckets[slot];
        if bucket.index != index {
            *bucket = WindowBucket {
                index,
                requests: 0,
                retries: 0,
            };
        }
        bucket
    }
}
