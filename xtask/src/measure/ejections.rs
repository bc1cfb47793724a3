//! `wrong_ejections`: ejections while no backend server is sick.

use std::time;

use toucanledge_bench::{BackendFaults, BenchResult, ServerControl};

use crate::measure::bed::{MeasureBed, caller_name, exponential, failures};
use crate::measure::figure::{FigureLine, as_float};

/// Mean of the exponential service times.
const SERVICE_MS: f64 = 40.0;
const SECONDS: u64 = 8;
/// Demand in shares of the capacity, low and high, and the time of each.
const SWING: [f64; 2] = [0.3, 1.3];
const SWING_SECONDS: f64 = 1.5;
/// Indices of the servers that start cold, one in each failure domain.
const COLD: [usize; 3] = [0, 4, 8];
/// Indices of the servers that are slow for some callers.
const SLOW_FOR_SOME: [usize; 3] = [9, 13, 17];
/// Callers for which these are slow, and how much.
const SLOW_CALLERS: u32 = 5;
const SLOW_FACTOR: f64 = 10.0;
/// Time after which the last ejections are counted.
const SETTLE: time::Duration = time::Duration::from_millis(500);

const COUNTER: &str = "toucanledge_ejections_total";

pub async fn run(bed: &MeasureBed) -> BenchResult<Vec<FigureLine>> {
    let before = bed.counter(COUNTER).await;
    let seconds = bed.seconds.unwrap_or(SECONDS);
    let capacity = bed.capacity(SERVICE_MS);
    let load = bed.load(
        seconds,
        |at| capacity * demand(at),
        |number, random| {
            let work = exponential(random, SERVICE_MS);
            bed.read(number, random, work)
        },
    );
    let (run, disturbed) = tokio::join!(load, disturb(bed));
    disturbed?;
    tokio::time::sleep(SETTLE).await;
    let ejections = bed.counter(COUNTER).await.saturating_sub(before);
    let healthy = ServerControl {
        faults: Some(BackendFaults::default()),
        ..ServerControl::default()
    };
    bed.fleet
        .send_server_control(SLOW_FOR_SOME, &healthy)
        .await?;
    let servers = as_float(bed.fleet.layout.servers.len() as u64);
    let hours = servers * as_float(seconds) / 3600.0;
    let line = bed
        .line("wrong_ejections", "per-server-hour", &run)
        .value(as_float(ejections) / hours, ejections)
        .detail("failed", failures(&run.records));
    Ok(vec![line])
}

fn demand(at: time::Duration) -> f64 {
    let is_high = (at.as_secs_f64() / SWING_SECONDS) % 2.0 >= 1.0;
    SWING[usize::from(is_high)]
}

/// Starts some servers cold and makes others slow for some callers.
async fn disturb(bed: &MeasureBed) -> BenchResult<()> {
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    let slow = ServerControl {
        faults: Some(BackendFaults {
            slow_callers: (0..SLOW_CALLERS).map(caller_name).collect(),
            slow_some_factor: SLOW_FACTOR,
            ..BackendFaults::default()
        }),
        ..ServerControl::default()
    };
    bed.fleet.send_server_control(SLOW_FOR_SOME, &slow).await?;
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    let cold = ServerControl {
        start: true,
        ..ServerControl::default()
    };
    bed.fleet.send_server_control(COLD, &cold).await
}
