//! `detection_time`: how long a stalled backend server still gets new requests.

use std::time;

use toucanledge_bench::{BackendFaults, BackendRequestRecord, BenchResult, ServerControl};

use crate::measure::bed::{MeasureBed, between, exponential, failures, unix_millis};
use crate::measure::figure::FigureLine;

/// Mean of the exponential service times.
const SERVICE_MS: f64 = 30.0;
/// Share of the capacity that is in demand.
const DEMAND: f64 = 0.35;
/// Length of the load: the plain policy needs several seconds after the last onset.
const SECONDS: u64 = 12;
/// Time before the first onset and between onsets.
const ONSET_GAP: time::Duration = time::Duration::from_millis(1200);
/// Indices of the servers that stall. Two are in the first failure domain and one in each of the
/// others, which the floor of either deployment allows to be out of service at once.
const STALLED: [usize; 4] = [3, 7, 14, 15];
/// Time without requests after which the next one is a trial of the ejected server.
const QUIET_MS: u64 = 1500;

/// Stall of one backend server.
struct StallOnset {
    server: usize,
    at: u64,
}

/// When the new requests to a stalled server ended.
#[derive(Clone, Copy)]
struct StallEnd {
    millis: f64,
    /// Requests still went there when the load ended, so the time is a lower bound.
    open: bool,
    trials: usize,
}

pub async fn run(bed: &MeasureBed) -> BenchResult<Vec<FigureLine>> {
    bed.clear_records().await?;
    let rate = DEMAND * bed.capacity(SERVICE_MS);
    let seconds = bed.seconds.unwrap_or(SECONDS);
    let load = bed.load(
        seconds,
        |_| rate,
        |number, random| {
            let work = exponential(random, SERVICE_MS);
            bed.read(number, random, work)
        },
    );
    let (run, onsets) = tokio::join!(load, stall_in_turn(bed));
    let onsets = onsets?;
    let records = bed.records().await?;
    let healthy = order(BackendFaults::default());
    bed.fleet.send_server_control(STALLED, &healthy).await?;
    let until = run.begun + seconds * 1000;
    let ends: Vec<StallEnd> = onsets
        .iter()
        .map(|onset| onset.end(bed, &records, until))
        .collect();
    let open = ends.iter().filter(|end| end.open).count();
    let trials: usize = ends.iter().map(|end| end.trials).sum();
    let times: Vec<f64> = ends.iter().map(|end| end.millis).collect();
    let line = bed
        .line("detection_time", "ms", &run)
        .spread(times.clone())
        .detail("times_ms", times)
        .detail("lower_bounds", open)
        .detail("trials", trials)
        .detail("failed", failures(&run.records));
    Ok(vec![line])
}

fn order(faults: BackendFaults) -> ServerControl {
    ServerControl {
        faults: Some(faults),
        ..ServerControl::default()
    }
}

async fn stall_in_turn(bed: &MeasureBed) -> BenchResult<Vec<StallOnset>> {
    let stalled = order(BackendFaults {
        stall: true,
        ..BackendFaults::default()
    });
    let mut onsets = Vec::new();
    for server in STALLED {
        tokio::time::sleep(ONSET_GAP).await;
        let at = unix_millis();
        bed.fleet.send_server_control([server], &stalled).await?;
        onsets.push(StallOnset { server, at });
    }
    Ok(onsets)
}

impl StallOnset {
    fn end(&self, bed: &MeasureBed, records: &[BackendRequestRecord], until: u64) -> StallEnd {
        let name = &bed.fleet.layout.servers[self.server].settings.name;
        let arrivals = records
            .iter()
            .filter(|run| run.server == *name)
            .map(|run| run.arrived);
        let mut arrivals: Vec<u64> = arrivals.filter(|at| *at >= self.at).collect();
        arrivals.sort_unstable();
        let mut last = self.at;
        let mut normal = 0;
        for arrived in arrivals.iter().take_while(|at| **at <= until) {
            if *arrived > last + QUIET_MS {
                break;
            }
            last = *arrived;
            normal += 1;
        }
        StallEnd {
            millis: between(self.at, last),
            open: last + QUIET_MS > until,
            trials: arrivals.len() - normal,
        }
    }
}
