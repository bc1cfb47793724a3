//! The share of the fleet's retry budget that one gateway may use.

use toucanledge_core::Millis;

/// Part of the budget's ratio that a gateway uses; the rest covers requests that were counted but
/// never reached the pool.
const RATIO_SHARE: f64 = 0.95;
/// Part of the fleet's fixed allowance that all gateways together use. A restarted gateway does not
/// know what it used before, so half is kept for that.
const SLACK_SHARE: f64 = 0.5;
/// Greatest part of the fixed allowance of one gateway; after a restart it knows few peers and would
/// take too much.
const MAX_SLACK: f64 = 1.5;
/// Part of the allowance that stays for requests that failed, when others ask whether they may risk
/// a try.
const RESERVE_SHARE: f64 = 0.3;
/// Time in milliseconds that one count covers.
const BUCKET_MS: u64 = 500;
/// Counts that a window of 10 s spans for requests; the running one makes it a little shorter.
const REQUEST_BUCKETS: u64 = 20;
/// Counts that a window of 10 s spans for retries; one more makes it a little longer.
const RETRY_BUCKETS: u64 = 21;
/// Counts that are kept.
const KEPT_BUCKETS: usize = 21;

/// Retries that one gateway may make to one pool.
///
/// In every window the gateway's retries stay within the ratio of its requests and its part of the
/// fixed allowance, so the sum over the fleet stays within the budget. What was not used before a
/// failure is there when it comes.
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
    /// Counts a request for the pool.
    pub fn record_request(&mut self, ratio: f64, slack: f64, gateways: usize, now: Millis) {
        let gateways = u32::try_from(gateways.max(1)).map_or(f64::MAX, f64::from);
        self.ratio = ratio * RATIO_SHARE;
        self.slack = (slack * SLACK_SHARE / gateways).min(MAX_SLACK);
        self.current_bucket(now).requests += 1;
    }

    /// Takes one retry and returns whether it was allowed.
    pub fn try_acquire(&mut self, now: Millis) -> bool {
        let allowed = self.available(now) >= 1.0;
        if allowed {
            self.current_bucket(now).retries += 1;
        }
        allowed
    }

    /// Returns whether a request may risk a try that may have to be repeated.
    #[must_use]
    pub fn has_reserve(&self, now: Millis) -> bool {
        self.available(now) >= 1.0_f64.max(self.allowed(now) * RESERVE_SHARE)
    }

    /// Returns a retry that was taken and not used.
    pub fn release(&mut self, now: Millis) {
        let bucket = self.current_bucket(now);
        bucket.retries = bucket.retries.saturating_sub(1);
    }

    fn available(&self, now: Millis) -> f64 {
        let retries: u32 = self
            .within(now, RETRY_BUCKETS)
            .map(|bucket| bucket.retries)
            .sum();
        self.allowed(now) - f64::from(retries)
    }

    fn allowed(&self, now: Millis) -> f64 {
        let requests: u32 = self
            .within(now, REQUEST_BUCKETS)
            .map(|bucket| bucket.requests)
            .sum();
        f64::from(requests) * self.ratio + self.slack
    }

    fn within(&self, now: Millis, buckets: u64) -> impl Iterator<Item = &WindowBucket> {
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
