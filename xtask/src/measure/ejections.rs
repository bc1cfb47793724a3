//! `wrong_ejections`: ejections while all backend servers are healthy.

use std::time;

use toucanledge_bench::{BackendFaults, BenchResult, ServerControl};

use crate::measure::measurement::{MeasurementLine, as_float};
use crate::measure::testbed::{FleetTestbed, caller_name, count_failures, sample_exponential};

/// Mean of the exponential service times.
const SERVICE_MS: f64 = 40.0;
/// Duration of the load.
const LOAD_SECONDS: u64 = 8;
/// Low and high offered load as shares of the capacity; they alternate.
const LOAD_LEVELS: [f64; 2] = [0.3, 1.3];
/// Duration of each level.
const LEVEL_SECONDS: f64 = 1.5;
/// Indices of the servers that restart with a slow start, one in each failure domain.
const RESTARTED_SERVERS: [usize; 3] = [0, 4, 8];
/// Indices of the servers that are slow for some callers.
const PARTLY_SLOW_SERVERS: [usize; 3] = [9, 13, 17];
/// Number of callers for which these are slow.
const SLOW_CALLERS: u32 = 5;
/// Factor on the service time for these callers.
const SLOW_FACTOR: f64 = 10.0;
/// Time after the load in which ejections are still counted.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(500);

const EJECTION_COUNTER: &str = "toucanledge_ejections_total";

pub async fn run(testbed: &FleetTestbed) -> BenchResult<Vec<MeasurementLine>> {
    let before = testbed.sum_counter(EJECTION_COUNTER).await;
    let seconds = testbed.seconds.unwrap_or(LOAD_SECONDS);
    let capacity = testbed.capacity(SERVICE_MS);
    let load = testbed.run_load(
        seconds,
        |at| capacity * load_level(at),
        |number, random| {
            let service_ms = sample_exponential(random, SERVICE_MS);
            testbed.read_request(number, random, service_ms)
        },
    );
    let (load_result, injected) = tokio::join!(load, inject_faults(testbed));
    injected?;
    tokio::time::sleep(SETTLE_TIME).await;
    let ejections = testbed
        .sum_counter(EJECTION_COUNTER)
        .await
        .saturating_sub(before);
    let healthy = ServerControl {
        faults: Some(BackendFaults::default()),
        ..ServerControl::default()
    };
    testbed
        .fleet
        .send_server_control(PARTLY_SLOW_SERVERS, &healthy)
        .await?;
    let servers = as_float(testbed.fleet.layout.servers.len() as u64);
    let server_hours = servers * as_float(seconds) / 3600.0;
    let line = testbed
        .load_measurement("wrong_ejections", "per-server-hour", &load_result)
        .with_value(as_float(ejections) / server_hours, ejections)
        .with_detail("failed", count_failures(&load_result.records));
    Ok(vec![line])
}

fn load_level(at: time::Duration) -> f64 {
    let is_high = (at.as_secs_f64() / LEVEL_SECONDS) % 2.0 >= 1.0;
    LOAD_LEVELS[usize::from(is_high)]
}

/// Makes some servers slow for some callers and restarts others with a slow start.
async fn inject_faults(testbed: &FleetTestbed) -> BenchResult<()> {
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    let slow = ServerControl {
        faults: Some(BackendFaults {
            slow_callers: (0..SLOW_CALLERS).map(caller_name).collect(),
            slow_some_factor: SLOW_FACTOR,
            ..BackendFaults::default()
        }),
        ..ServerControl::default()
    };
    testbed
        .fleet
        .send_server_control(PARTLY_SLOW_SERVERS, &slow)
        .await?;
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    let restart = ServerControl {
        start: true,
        ..ServerControl::default()
    };
    testbed
        .fleet
        .send_server_control(RESTARTED_SERVERS, &restart)
        .await
}
