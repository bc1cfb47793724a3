//! `crest_goodput` and `crest_refusal_time`: overload at twice the capacity.

use std::cmp;
use std::collections;
use std::time;

use toucanledge_bench::{BenchResult, LoadRecord};

use crate::measure::measurement::{MeasurementLine, as_float};
use crate::measure::testbed::{FleetTestbed, as_millis};

/// Service time of every request.
///
/// Equal times make the ideal result independent of the order. They are long enough that the load
/// generator and the gateways can handle twice the capacity on a shared computer.
const SERVICE_TIME: time::Duration = time::Duration::from_millis(100);
/// Duration of the load.
const LOAD_SECONDS: u64 = 6;
/// Latency within which a refusal must arrive.
const REFUSAL_LATENCY_TARGET: time::Duration = time::Duration::from_millis(50);
/// Time with the base load.
const BASE_SECONDS: f64 = 1.0;
/// Time in which the load rises from the base to the peak.
const RAMP_SECONDS: f64 = 2.0;
/// Offered load before the rise as a share of the capacity.
const BASE_LOAD_LEVEL: f64 = 0.3;
/// Offered load after the rise as a share of the capacity.
const PEAK_LOAD_LEVEL: f64 = 2.0;

pub async fn run(testbed: &FleetTestbed) -> BenchResult<Vec<MeasurementLine>> {
    let seconds = testbed.seconds.unwrap_or(LOAD_SECONDS);
    let service_ms = as_millis(SERVICE_TIME);
    let capacity = testbed.capacity(service_ms);
    let load_result = testbed
        .run_load(
            seconds,
            |at| capacity * load_level(at),
            |number, random| testbed.read_request(number, random, service_ms),
        )
        .await;
    let load_end = time::Duration::from_secs(seconds);
    let deadline = time::Duration::from_millis(testbed.deployment.deadline_ms);
    let mut arrivals: Vec<time::Duration> = load_result
        .records
        .iter()
        .map(|record| record.intended_start)
        .collect();
    arrivals.sort_unstable();
    let ideal = ideal_responses(&arrivals, testbed.deployment.slots(), deadline, load_end);
    let completed = load_result.records.iter().filter(|record| {
        record.status == Some(200)
            && record.latency <= deadline
            && record.intended_start + record.latency <= load_end
    });
    let completed = completed.count() as u64;
    let refused: Vec<&LoadRecord> = load_result
        .records
        .iter()
        .filter(|record| record.status.is_some_and(|status| status != 200))
        .collect();
    let explained = refused
        .iter()
        .filter(|record| record.has_retry_after && !record.reason.is_empty());
    let without_response = load_result
        .records
        .iter()
        .filter(|record| record.status.is_none());
    let goodput = testbed
        .load_measurement("crest_goodput", "ratio", &load_result)
        .with_value(as_float(completed) / as_float(ideal), completed)
        .with_detail("ideal", ideal)
        .with_detail("no_answer", without_response.count());
    let refusal = testbed
        .load_measurement("crest_refusal_time", "ms", &load_result)
        .with_distribution(refused.iter().map(|record| as_millis(record.latency)))
        .with_detail("with_reason_and_retry_after", explained.count())
        .with_detail("late", late_reasons(&refused));
    Ok(vec![goodput, refusal])
}

/// Counts the refusals that exceed the latency target, by reason.
fn late_reasons(refused: &[&LoadRecord]) -> serde_json::Value {
    let mut late = collections::BTreeMap::<&str, u64>::new();
    for record in refused
        .iter()
        .filter(|record| record.latency > REFUSAL_LATENCY_TARGET)
    {
        *late.entry(&record.reason).or_default() += 1;
    }
    serde_json::json!(late)
}

fn load_level(at: time::Duration) -> f64 {
    let ramp_share = (at.as_secs_f64() - BASE_SECONDS) / RAMP_SECONDS;
    BASE_LOAD_LEVEL + (PEAK_LOAD_LEVEL - BASE_LOAD_LEVEL) * ramp_share.clamp(0.0, 1.0)
}

/// Returns how many requests an ideal scheduler completes by the end of the load.
///
/// It runs requests in order of arrival, each as soon as a slot is free, and drops those that would
/// miss their deadline. What finishes after the end does not count, as for the measured policies: a
/// longer queue at the end would otherwise count as goodput.
fn ideal_responses(
    arrivals: &[time::Duration],
    slots: u32,
    deadline: time::Duration,
    load_end: time::Duration,
) -> u64 {
    let mut slots_free_at: collections::BinaryHeap<_> = (0..slots)
        .map(|_| cmp::Reverse(time::Duration::ZERO))
        .collect();
    let mut completed = 0;
    for arrival in arrivals {
        let Some(cmp::Reverse(free_at)) = slots_free_at.peek().copied() else {
            break;
        };
        let completed_at = free_at.max(*arrival) + SERVICE_TIME;
        if completed_at > *arrival + deadline {
            continue;
        }
        slots_free_at.pop();
        slots_free_at.push(cmp::Reverse(completed_at));
        completed += u64::from(completed_at <= load_end);
    }
    completed
}
