//! A measurement, which is printed as one line.

use serde::Serialize;

/// Largest value of a histogram.
const MAX_VALUE_MICROS: u64 = 600_000_000;

/// Measurement with one policy, printed as a JSON object on one line.
#[derive(Clone, Debug, Serialize)]
pub struct MeasurementLine {
    pub measure: &'static str,
    pub deployment: &'static str,
    pub policy: &'static str,
    pub seed: u64,
    pub gateways: u8,
    pub unit: &'static str,
    pub count: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub value: Option<f64>,
    #[serde(flatten, skip_serializing_if = "Option::is_none")]
    pub quantiles: Option<QuantileSet>,
    /// Whether the load generator kept its schedule.
    pub valid: bool,
    /// Further values that help to interpret the measurement.
    #[serde(flatten)]
    pub details: serde_json::Map<String, serde_json::Value>,
}

/// Quantiles of a distribution.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct QuantileSet {
    pub p50: f64,
    pub p99: f64,
    pub max: f64,
}

impl MeasurementLine {
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Sets a single value.
    pub fn with_value(mut self, value: f64, count: u64) -> Self {
        self.value = Some(round(value));
        self.count = count;
        self
    }

    /// Sets the quantiles and the count of values in ms.
    pub fn with_distribution(mut self, values: impl IntoIterator<Item = f64>) -> Self {
        let histogram = histogram(values);
        self.count = histogram.len();
        self.quantiles = Some(quantiles(&histogram));
        self
    }

    /// Adds a detail.
    pub fn with_detail(mut self, name: &str, value: impl Into<serde_json::Value>) -> Self {
        self.details.insert(name.to_owned(), value.into());
        self
    }
}

/// Returns the quantiles of values in ms.
pub fn quantiles_of(values: impl IntoIterator<Item = f64>) -> QuantileSet {
    quantiles(&histogram(values))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range of the histogram"
)]
fn histogram(values: impl IntoIterator<Item = f64>) -> hdrhistogram::Histogram<u64> {
    let mut histogram =
        hdrhistogram::Histogram::new_with_max(MAX_VALUE_MICROS, 3).expect("the bounds are valid");
    for value in values {
        let micros = (value * 1000.0).clamp(0.0, 600_000_000.0) as u64;
        histogram.saturating_record(micros);
    }
    histogram
}

fn quantiles(histogram: &hdrhistogram::Histogram<u64>) -> QuantileSet {
    let millis = |micros: u64| round(as_float(micros) / 1000.0);
    QuantileSet {
        p50: millis(histogram.value_at_quantile(0.5)),
        p99: millis(histogram.value_at_quantile(0.99)),
        max: millis(histogram.max()),
    }
}

/// Rounds to a thousandth; the histogram is no more accurate.
pub fn round(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}

/// Converts a count to a float.
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
pub fn as_float(count: u64) -> f64 {
    count as f64
}
