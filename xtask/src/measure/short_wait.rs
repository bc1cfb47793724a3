//! `short_wait`: how long short requests wait beside requests that run 100 times longer.

use rand::Rng;
use toucanledge_bench::{BenchResult, LoadRecord};

use crate::measure::deployment::MIXED_PATH;
use crate::measure::measurement::MeasurementLine;
use crate::measure::testbed::{FleetTestbed, LoadResult, as_millis, build_request, count_failures};

/// Service time of short requests.
const SHORT_SERVICE_MS: f64 = 20.0;
/// Service time of long requests.
const LONG_SERVICE_MS: f64 = 2000.0;
/// Share of the requests that are long.
const LONG_SHARE: f64 = 0.05;
/// Offered load of short and long requests together as a share of the capacity.
const LOAD_LEVEL: f64 = 0.5;
/// Duration of each load.
const LOAD_SECONDS: u64 = 6;
/// Number of paths of short requests.
const SHORT_PATHS: u32 = 200;
/// Number of paths of long requests.
const LONG_PATHS: u32 = 10;
/// Prefix of the nonces of long requests.
const LONG_NONCE_PREFIX: &str = "long-";

pub async fn run(testbed: &FleetTestbed) -> BenchResult<Vec<MeasurementLine>> {
    let mean_ms = SHORT_SERVICE_MS * (1.0 - LONG_SHARE) + LONG_SERVICE_MS * LONG_SHARE;
    let rate = LOAD_LEVEL * testbed.capacity(mean_ms);
    let alone = run_mix(testbed, rate * (1.0 - LONG_SHARE), 0.0).await;
    let mixed = run_mix(testbed, rate, LONG_SHARE).await;
    Ok(vec![
        wait_measurement(testbed, "short_wait_alone", &alone),
        wait_measurement(testbed, "short_wait", &mixed),
    ])
}

/// Runs a load with a share of long requests, which have the same callers but other paths.
async fn run_mix(testbed: &FleetTestbed, rate: f64, long_share: f64) -> LoadResult {
    let seconds = testbed.seconds.unwrap_or(LOAD_SECONDS);
    testbed
        .run_load(
            seconds,
            |_| rate,
            |number, random| {
                if random.random::<f64>() < long_share {
                    let document = random.random_range(0..LONG_PATHS);
                    let path = format!("{MIXED_PATH}long/{document}");
                    build_request(
                        path,
                        format!("{LONG_NONCE_PREFIX}{number}"),
                        random,
                        LONG_SERVICE_MS,
                    )
                } else {
                    let document = random.random_range(0..SHORT_PATHS);
                    let path = format!("{MIXED_PATH}{document}");
                    build_request(path, format!("n{number}"), random, SHORT_SERVICE_MS)
                }
            },
        )
        .await
}

/// Creates the measurement of the waits of short requests.
fn wait_measurement(
    testbed: &FleetTestbed,
    measure: &'static str,
    load_result: &LoadResult,
) -> MeasurementLine {
    let short: Vec<&LoadRecord> = load_result
        .records
        .iter()
        .filter(|record| !record.nonce.starts_with(LONG_NONCE_PREFIX))
        .collect();
    let completed = short.iter().filter(|record| record.status == Some(200));
    let waits = completed.map(|record| as_millis(record.latency) - SHORT_SERVICE_MS);
    testbed
        .load_measurement(measure, "ms", load_result)
        .with_distribution(waits)
        .with_detail("failed", count_failures(short.iter().copied()))
}
