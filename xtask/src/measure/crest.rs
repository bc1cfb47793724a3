//! `crest_goodput` and `crest_refusal_time`: a rise of demand to twice the capacity.

use std::cmp;
use std::collections;
use std::time;

use toucanledge_bench::{BenchResult, LoadRecord};

use crate::measure::bed::{MeasureBed, as_millis};
use crate::measure::figure::{FigureLine, as_float};

/// Service time of every request; equal times make the ideal independent of the order.
/// They are long enough that twice the capacity stays within what the load generator and the
/// gateways can carry on a shared machine.
const SERVICE: time::Duration = time::Duration::from_millis(100);
const SECONDS: u64 = 6;
/// Time within which a refusal is to arrive.
const REFUSAL_TARGET: time::Duration = time::Duration::from_millis(50);
/// Time at the first demand, and of the rise.
const LOW_SECONDS: f64 = 1.0;
const RISE_SECONDS: f64 = 2.0;
/// Demand in shares of the capacity before and after the rise.
const LOW: f64 = 0.3;
const HIGH: f64 = 2.0;

pub async fn run(bed: &MeasureBed) -> BenchResult<Vec<FigureLine>> {
    let seconds = bed.seconds.unwrap_or(SECONDS);
    let service_ms = as_millis(SERVICE);
    let capacity = bed.capacity(service_ms);
    let run = bed
        .load(
            seconds,
            |at| capacity * demand(at),
            |number, random| bed.read(number, random, service_ms),
        )
        .await;
    let until = time::Duration::from_secs(seconds);
    let deadline = time::Duration::from_millis(bed.deployment.deadline_ms);
    let mut arrivals: Vec<time::Duration> = run
        .records
        .iter()
        .map(|record| record.intended_start)
        .collect();
    arrivals.sort_unstable();
    let ideal = ideal_answers(&arrivals, bed.deployment.slots(), deadline, until);
    let answered = run.records.iter().filter(|record| {
        record.status == Some(200)
            && record.latency <= deadline
            && record.intended_start + record.latency <= until
    });
    let answered = answered.count() as u64;
    let refused: Vec<&LoadRecord> = run
        .records
        .iter()
        .filter(|record| record.status.is_some_and(|status| status != 200))
        .collect();
    let explained = refused
        .iter()
        .filter(|record| record.has_retry_after && !record.reason.is_empty());
    let lost = run.records.iter().filter(|record| record.status.is_none());
    let goodput = bed
        .line("crest_goodput", "ratio", &run)
        .value(as_float(answered) / as_float(ideal), answered)
        .detail("ideal", ideal)
        .detail("no_answer", lost.count());
    let refusal = bed
        .line("crest_refusal_time", "ms", &run)
        .spread(refused.iter().map(|record| as_millis(record.latency)))
        .detail("with_reason_and_retry_after", explained.count())
        .detail("late", late_reasons(&refused));
    Ok(vec![goodput, refusal])
}

/// Returns the number of refusals beyond the target, by reason.
fn late_reasons(refused: &[&LoadRecord]) -> serde_json::Value {
    let mut late = collections::BTreeMap::<&str, u64>::new();
    for record in refused
        .iter()
        .filter(|record| record.latency > REFUSAL_TARGET)
    {
        *late.entry(&record.reason).or_default() += 1;
    }
    serde_json::json!(late)
}

fn demand(at: time::Duration) -> f64 {
    let risen = (at.as_secs_f64() - LOW_SECONDS) / RISE_SECONDS;
    LOW + (HIGH - LOW) * risen.clamp(0.0, 1.0)
}

/// Returns how many requests an ideal scheduler answers by the end of the load.
///
/// It starts each request at once on a free slot, without any delay, and drops those that would
/// miss their deadline. Nothing that finishes after the end counts, for it as for the policies:
/// a longer queue at the end would otherwise count as goodput.
fn ideal_answers(
    arrivals: &[time::Duration],
    slots: u32,
    deadline: time::Duration,
    until: time::Duration,
) -> u64 {
    let mut free: collections::BinaryHeap<_> = (0..slots)
        .map(|_| cmp::Reverse(time::Duration::ZERO))
        .collect();
    let mut answered = 0;
    for arrival in arrivals {
        let Some(cmp::Reverse(earliest)) = free.peek().copied() else {
            break;
        };
        let end = earliest.max(*arrival) + SERVICE;
        if end > *arrival + deadline {
            continue;
        }
        free.pop();
        free.push(cmp::Reverse(end));
        answered += u64::from(end <= until);
    }
    answered
}
