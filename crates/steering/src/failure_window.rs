//! Whether many requests of a pool fail.

use toucanledge_core::Millis;

/// Time in milliseconds that one count covers.
const BUCKET_MS: u64 = 500;
/// Counts that are looked at: the floor is judged over windows of 2 s.
const BUCKETS: usize = 4;
/// Failures from which a pool may be strained; fewer are the single errors of an ordinary second.
const MIN_FAILURES: u32 = 3;
/// Share of failures from which a pool is strained. The floor binds from a tenth on.
const HIGH_FAILURE_SHARE: f64 = 0.1;

/// Outcomes of a pool's requests in the last seconds, as far as the gateway knows them.
#[derive(Clone, Debug, Default)]
pub struct FailureWindow {
    buckets: [OutcomeBucket; BUCKETS],
}

#[derive(Clone, Copy, Debug, Default)]
struct OutcomeBucket {
    index: u64,
    all: u32,
    failed: u32,
}

impl FailureWindow {
    /// Counts the outcome of a request that ended at `at`.
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
        bucket.all += 1;
        bucket.failed += u32::from(failed);
    }

    /// Returns whether so many requests fail that the floor binds.
    #[must_use]
    pub fn is_high(&self, now: Millis) -> bool {
        let index = now.0 / BUCKET_MS;
        let recent = self
            .buckets
            .iter()
            .filter(|bucket| bucket.index + BUCKETS as u64 > index);
        let (all, failed) = recent.fold((0, 0), |(all, failed), bucket| {
            (all + bucket.all, failed + bucket.failed)
        });
        failed >= MIN_FAILURES && f64::from(failed) >= f64::from(all) * HIGH_FAILURE_SHARE
    }
}
