//! Recent service times, means and medians.

use toucanledge_core::Millis;

/// Mean that is assumed before the first sample of a class.
const DEFAULT_MEAN_MS: f64 = 50.0;
/// Number of samples after which each new one has a constant weight in the mean.
const MEAN_SAMPLES: u32 = 64;
/// Time constant of the exponential average.
const AVERAGE_TIME_CONSTANT_MS: f64 = 1_000.0;
/// Samples stored for the median of a class.
const MEDIAN_SAMPLES: usize = 65;
/// Samples stored for a class at a backend server: 4 slots with requests of 10 ms over 160 ms,
/// which covers the least age of a stall.
const MAX_SERVER_SAMPLES: usize = 64;

/// Moving mean; the first samples are averaged, later ones have a constant weight.
#[derive(Clone, Debug, Default)]
pub(crate) struct MovingMean {
    mean: f64,
    count: u32,
}

impl MovingMean {
    pub(crate) fn add(&mut self, millis: u64) {
        self.count = (self.count + 1).min(MEAN_SAMPLES);
        self.mean += (to_f64(millis) - self.mean) / f64::from(self.count);
    }

    pub(crate) fn millis(&self) -> f64 {
        if self.count == 0 {
            DEFAULT_MEAN_MS
        } else {
            self.mean.max(1.0)
        }
    }
}

/// Time-weighted exponential moving average of a value that is sampled at irregular times.
#[derive(Clone, Debug, Default)]
pub(crate) struct ExponentialAverage {
    value: f64,
    sampled: Millis,
}

impl ExponentialAverage {
    pub(crate) fn sample(&mut self, value: f64, now: Millis) {
        let elapsed_ms = to_f64(now.since(self.sampled));
        self.sampled = now;
        self.value += (value - self.value) * (1.0 - (-elapsed_ms / AVERAGE_TIME_CONSTANT_MS).exp());
    }

    pub(crate) fn average(&self) -> f64 {
        self.value
    }
}

/// Median of the last samples, recomputed every few samples.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentMedian {
    samples: Vec<u64>,
    next: usize,
    median: u64,
}

impl RecentMedian {
    pub(crate) fn add(&mut self, millis: u64) {
        if self.samples.len() < MEDIAN_SAMPLES {
            self.samples.push(millis);
        } else {
            self.samples[self.next] = millis;
        }
        self.next = (self.next + 1) % MEDIAN_SAMPLES;
        // Selecting the median for every sample would dominate the cost of a report.
        if self.samples.len() < 8 || self.next.is_multiple_of(4) {
            self.median = median_of(&mut self.samples.clone()).unwrap_or(0);
        }
    }

    /// Returns the median, or none before the first sample.
    pub(crate) fn millis(&self) -> Option<u64> {
        (!self.samples.is_empty()).then_some(self.median)
    }
}

/// Completed request of one class at one backend server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimedRequest {
    pub(crate) start: Millis,
    pub(crate) service_ms: u64,
}

/// Last completed requests of one class at one backend server.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentRequests {
    requests: Vec<TimedRequest>,
    next: usize,
    latest_start: Option<Millis>,
}

impl RecentRequests {
    pub(crate) fn add(&mut self, request: TimedRequest) {
        if self.requests.len() < MAX_SERVER_SAMPLES {
            self.requests.push(request);
        } else {
            self.requests[self.next] = request;
        }
        self.next = (self.next + 1) % MAX_SERVER_SAMPLES;
        self.latest_start = self.latest_start.max(Some(request.start));
    }

    /// Returns whether any request that started after this time has completed.
    pub(crate) fn completed_after(&self, start: Millis) -> bool {
        self.latest_start.is_some_and(|latest| latest > start)
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = TimedRequest> {
        self.requests.iter().copied()
    }
}

/// Returns the median; reorders the samples.
pub(crate) fn median_of(samples: &mut [u64]) -> Option<u64> {
    if samples.is_empty() {
        return None;
    }
    let middle = samples.len() / 2;
    let (_, median, _) = samples.select_nth_unstable(middle);
    Some(*median)
}

/// Converts to a float; values above `u32::MAX` (49 days in milliseconds) saturate.
pub(crate) fn to_f64(value: u64) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}

/// Returns the integer part of a value; saturates at the range of `u32`.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(crate) fn saturating_u32(value: f64) -> u32 {
    value.clamp(0.0, f64::from(u32::MAX)) as u32
}
