//! `added_latency`: the latency that a gateway adds to a direct call at low load.

use rand::Rng;
use toucanledge_bench::{BenchResult, CallerRequest, ServerLayout};

use crate::measure::measurement::{MeasurementLine, QuantileSet, quantiles_of, round};
use crate::measure::testbed::{FleetTestbed, LoadResult, as_millis};

/// Service time of every request.
const SERVICE_MS: f64 = 5.0;
/// Rate of the load; half of the requests go directly to backend servers.
const REQUESTS_PER_SECOND: f64 = 200.0;
/// Duration of the load.
const LOAD_SECONDS: u64 = 6;

pub async fn run(testbed: &FleetTestbed) -> BenchResult<Vec<MeasurementLine>> {
    let layout = &testbed.fleet.layout;
    let servers: Vec<&ServerLayout> = layout
        .servers
        .iter()
        .filter(|server| server.pool == testbed.deployment.main_pool())
        .collect();
    let seconds = testbed.seconds.unwrap_or(LOAD_SECONDS);
    let load_result = testbed
        .run_load_to(
            seconds,
            |_| REQUESTS_PER_SECOND,
            |number, random| {
                // Direct calls also pass the fault proxy, which adds no delay to them.
                let target = if number.is_multiple_of(2) {
                    servers[random.random_range(0..servers.len())].advertised_address
                } else {
                    layout.gateways[random.random_range(0..layout.gateways.len())].listen
                };
                let request: CallerRequest = testbed.read_request(number, random, SERVICE_MS);
                (target, request)
            },
        )
        .await;
    let is_direct = |target| {
        servers
            .iter()
            .any(|server| server.advertised_address == target)
    };
    let direct = successful_latencies(&load_result, is_direct);
    let through = successful_latencies(&load_result, |target| !is_direct(target));
    let count = through.len() as u64;
    let (direct, through) = (quantiles_of(direct), quantiles_of(through));
    let added = QuantileSet {
        p50: round(through.p50 - direct.p50),
        p99: round(through.p99 - direct.p99),
        max: round(through.max - direct.max),
    };
    let mut line = testbed.load_measurement("added_latency", "ms", &load_result);
    line.count = count;
    line.quantiles = Some(added);
    let line = line
        .with_detail("direct_p50", direct.p50)
        .with_detail("direct_p99", direct.p99)
        .with_detail("through_p50", through.p50)
        .with_detail("through_p99", through.p99);
    Ok(vec![line])
}

fn successful_latencies(
    load_result: &LoadResult,
    is_selected: impl Fn(std::net::SocketAddr) -> bool,
) -> Vec<f64> {
    let completed = load_result
        .records
        .iter()
        .filter(|record| record.status == Some(200) && is_selected(record.target));
    // The load is far below saturation, so a start delay comes from the load generator.
    let latencies = completed.map(|record| record.latency.saturating_sub(record.start_delay));
    latencies.map(as_millis).collect()
}
