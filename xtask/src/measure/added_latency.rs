//! `added_latency`: what a gateway adds to a direct call, uncontended.

use rand::Rng;
use toucanledge_bench::{BenchResult, CallerRequest, ServerLayout};

use crate::measure::bed::{LoadRun, MeasureBed, as_millis};
use crate::measure::figure::{FigureLine, FigureQuantiles, round, spread_of};

/// Service time of every request.
const SERVICE_MS: f64 = 5.0;
/// Requests a second, half of them direct.
const RATE: f64 = 200.0;
const SECONDS: u64 = 6;

pub async fn run(bed: &MeasureBed) -> BenchResult<Vec<FigureLine>> {
    let layout = &bed.fleet.layout;
    let servers: Vec<&ServerLayout> = layout
        .servers
        .iter()
        .filter(|server| server.pool == bed.deployment.main_pool())
        .collect();
    let seconds = bed.seconds.unwrap_or(SECONDS);
    let run = bed
        .load_to(
            seconds,
            |_| RATE,
            |number, random| {
                // Direct calls pass the fault proxy as well, without delay.
                let target = if number.is_multiple_of(2) {
                    servers[random.random_range(0..servers.len())].advertised_address
                } else {
                    layout.gateways[random.random_range(0..layout.gateways.len())].listen
                };
                let request: CallerRequest = bed.read(number, random, SERVICE_MS);
                (target, request)
            },
        )
        .await;
    let is_direct = |target| {
        servers
            .iter()
            .any(|server| server.advertised_address == target)
    };
    let direct = latencies(&run, is_direct);
    let through = latencies(&run, |target| !is_direct(target));
    let count = through.len() as u64;
    let (direct, through) = (spread_of(direct), spread_of(through));
    let added = FigureQuantiles {
        p50: round(through.p50 - direct.p50),
        p99: round(through.p99 - direct.p99),
        max: round(through.max - direct.max),
    };
    let mut line = bed.line("added_latency", "ms", &run);
    line.count = count;
    line.quantiles = Some(added);
    let line = line
        .detail("direct_p50", direct.p50)
        .detail("direct_p99", direct.p99)
        .detail("through_p50", through.p50)
        .detail("through_p99", through.p99);
    Ok(vec![line])
}

fn latencies(run: &LoadRun, chosen: impl Fn(std::net::SocketAddr) -> bool) -> Vec<f64> {
    let answered = run
        .records
        .iter()
        .filter(|record| record.status == Some(200) && chosen(record.target));
    // The load is far below saturation, so a late start is the generator's and no waiting.
    let latencies = answered.map(|record| record.latency.saturating_sub(record.start_delay));
    latencies.map(as_millis).collect()
}
