//! `detection_time`: how long a stalled backend server still gets new requests.

use std::time;

use toucanledge_bench::{BackendFaults, BackendRequestRecord, BenchResult, ServerControl};

use crate::measure::measurement::MeasurementLine;
use crate::measure::testbed::{
    FleetTestbed, count_failures, elapsed_ms, sample_exponential, unix_millis,
};

/// Mean of the exponential service times.
const SERVICE_MS: f64 = 30.0;
/// Offered load as a share of the capacity.
const LOAD_LEVEL: f64 = 0.35;
/// Duration of the load: the baseline policy needs several seconds after the last onset.
const LOAD_SECONDS: u64 = 12;
/// Time before the first onset and between onsets.
const ONSET_INTERVAL: time::Duration = time::Duration::from_millis(1200);
/// Indices of the servers that stall. Two are in the first failure domain and one in each of the
/// others, which the floor of either deployment allows to be out of service at once.
const STALLED_SERVERS: [usize; 4] = [3, 7, 14, 15];
/// Time without requests after which a request counts as a probe of the ejected server.
const IDLE_GAP_MS: u64 = 1500;

/// Stall of one backend server.
struct StallOnset {
    server: usize,
    started_at_ms: u64,
}

/// How long a stalled server still got new requests.
#[derive(Clone, Copy)]
struct DetectionResult {
    /// Time from the onset to the last request before the first idle gap.
    elapsed_ms: f64,
    /// Whether the server still got requests when the load ended.
    is_lower_bound: bool,
    /// Number of later requests, which are probes.
    probes: usize,
}

pub async fn run(testbed: &FleetTestbed) -> BenchResult<Vec<MeasurementLine>> {
    testbed.clear_request_records().await?;
    let rate = LOAD_LEVEL * testbed.capacity(SERVICE_MS);
    let seconds = testbed.seconds.unwrap_or(LOAD_SECONDS);
    let load = testbed.run_load(
        seconds,
        |_| rate,
        |number, random| {
            let service_ms = sample_exponential(random, SERVICE_MS);
            testbed.read_request(number, random, service_ms)
        },
    );
    let (load_result, onsets) = tokio::join!(load, stall_in_turn(testbed));
    let onsets = onsets?;
    let records = testbed.fetch_request_records().await?;
    let healthy = fault_control(BackendFaults::default());
    testbed
        .fleet
        .send_server_control(STALLED_SERVERS, &healthy)
        .await?;
    let load_end = load_result.started_at_ms + seconds * 1000;
    let detections: Vec<DetectionResult> = onsets
        .iter()
        .map(|onset| onset.measure_detection(testbed, &records, load_end))
        .collect();
    let lower_bounds = detections
        .iter()
        .filter(|detection| detection.is_lower_bound)
        .count();
    let probes: usize = detections.iter().map(|detection| detection.probes).sum();
    let times: Vec<f64> = detections
        .iter()
        .map(|detection| detection.elapsed_ms)
        .collect();
    let line = testbed
        .load_measurement("detection_time", "ms", &load_result)
        .with_distribution(times.clone())
        .with_detail("times_ms", times)
        .with_detail("lower_bounds", lower_bounds)
        .with_detail("trials", probes)
        .with_detail("failed", count_failures(&load_result.records));
    Ok(vec![line])
}

fn fault_control(faults: BackendFaults) -> ServerControl {
    ServerControl {
        faults: Some(faults),
        ..ServerControl::default()
    }
}

/// Stalls the servers one after the other.
async fn stall_in_turn(testbed: &FleetTestbed) -> BenchResult<Vec<StallOnset>> {
    let stalled = fault_control(BackendFaults {
        stall: true,
        ..BackendFaults::default()
    });
    let mut onsets = Vec::new();
    for server in STALLED_SERVERS {
        tokio::time::sleep(ONSET_INTERVAL).await;
        let started_at_ms = unix_millis();
        testbed
            .fleet
            .send_server_control([server], &stalled)
            .await?;
        onsets.push(StallOnset {
            server,
            started_at_ms,
        });
    }
    Ok(onsets)
}

impl StallOnset {
    fn measure_detection(
        &self,
        testbed: &FleetTestbed,
        records: &[BackendRequestRecord],
        load_end: u64,
    ) -> DetectionResult {
        let name = &testbed.fleet.layout.servers[self.server].settings.name;
        let arrivals = records
            .iter()
            .filter(|record| record.server == *name)
            .map(|record| record.arrived);
        let mut arrivals: Vec<u64> = arrivals.filter(|at| *at >= self.started_at_ms).collect();
        arrivals.sort_unstable();
        let mut last_arrival = self.started_at_ms;
        let mut before_gap = 0;
        for arrived in arrivals.iter().take_while(|at| **at <= load_end) {
            if *arrived > last_arrival + IDLE_GAP_MS {
                break;
            }
            last_arrival = *arrived;
            before_gap += 1;
        }
        DetectionResult {
            elapsed_ms: elapsed_ms(self.started_at_ms, last_arrival),
            is_lower_bound: last_arrival + IDLE_GAP_MS > load_end,
            probes: arrivals.len() - before_gap,
        }
    }
}
