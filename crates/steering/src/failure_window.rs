//! Failure rate of a pool over the last two seconds.

use toucanledge_core::Millis;

const BUCKET_MS: u64 = 500;
/// Buckets in the window: 2 s, the window over which the floor is measured.
const BUCKETS: usize = 4;
/// Failures below which the rate never counts as high; single errors occur in any second.
const MIN_FAILURES: u32 = 3;
/// Share of failed requests from which the rate counts as high. The floor applies from a failure
/// rate of one tenth.
const HIGH_FAILURE_SHARE: f64 = 0.1;

/// Counts of a pool's successful and failed requests in the last 2 s, as far as this gateway knows
/// them.
#[derive(Clone, Debug, Default)]
pub struct FailureWindow {
    buckets: [OutcomeBucket; BUCKETS],
}

#[derive(Clone, Copy, Debug, Default)]
struct OutcomeBucket {
    index: u64,
    total: u32,
    failed: u32,
}

impl FailureWindow {
    /// Records the outcome of a request that ended at `at`.
    pub fn record(&mut self, failed: bool, at: Millis) {
        let index = at.0 / BUCKET_MS;
        let slot = usize::try_from(index % BUCKETS as u64).unwrap_or_default();
        let bucket = &mut self.buckets[slot];
        if bucket.index > index {
            return;
        }
        if bucket.index < index {
            *bucket = OutcomeBucket {
                index,
                ..OutcomeBucket::default()
            };
        }
        bucket.total += 1;
        bucket.failed += u32::from(failed);
    }

    /// Returns whether the failure rate is so high that the floor applies.
    #[must_use]
    pub fn is_high(&self, now: Millis) -> bool {
        let index = now.0 / BUCKET_MS;
        let recent = self
            .buckets
            .iter()
            .filter(|bucket| bucket.index + BUCKETS as u64 > index);
        let (total, failed) = recent.fold((0, 0), |(total, failed), bucket| {
            (total + bucket.total, failed + bucket.failed)
        });
        failed >= MIN_FAILURES && f64::from(failed) >= f64::from(total) * HIGH_FAILURE_SHARE
    }
}
