//! `control_cost` and `platform_calls`: what a fleet costs while idle and under load.

use std::fs;
use std::time;

use toucanledge_bench::{BenchResult, PlatformStatus};

use crate::measure::MeasureOptions;
use crate::measure::bed::{MeasureBed, WARM_UP_MS};
use crate::measure::deployment::Deployment;
use crate::measure::figure::{FigureLine, as_float};

/// Sizes of the fleet from which slopes are fitted.
const SIZES: [u8; 4] = [10, 20, 40, 80];
/// Gateways of the fleet whose platform calls are counted.
const WHOLE_FLEET: u8 = 44;
/// Requests a second and gateway under load.
const RATE: f64 = 10.0;
const SECONDS: u64 = 10;
/// Time in which the platform's calls are counted; a watch waits for up to 30 s.
const CALLS_SECONDS: u64 = 60;
/// Time after a start until gateways stop to read the platform for want of a watcher.
const SETTLE: time::Duration = time::Duration::from_secs(12);
/// Clock ticks a second in `/proc`, fixed on Linux.
const TICKS: f64 = 100.0;

/// What all gateways used since they started.
struct FleetUsage {
    cpu_seconds: f64,
    resident_mb: f64,
    control_bytes: f64,
}

pub async fn run(
    deployment: Deployment,
    policy: &'static str,
    options: &MeasureOptions,
) -> BenchResult<Vec<FigureLine>> {
    let mut lines = Vec::new();
    for gateways in SIZES {
        let bed = MeasureBed::start(deployment, policy, gateways, options).await?;
        tokio::time::sleep(time::Duration::from_secs(3)).await;
        let seconds = options.seconds.unwrap_or(SECONDS);
        let before = usage(&bed).await?;
        tokio::time::sleep(time::Duration::from_secs(seconds)).await;
        let idle = usage(&bed).await?;
        lines.extend(usage_lines(&bed, "idle", seconds, &before, &idle));
        let rate = RATE * f64::from(gateways);
        let run = bed
            .load(
                seconds,
                |_| rate,
                |number, random| bed.read(number, random, WARM_UP_MS),
            )
            .await;
        let loaded = usage(&bed).await?;
        let valid = bed.line("control_cost", "", &run).valid;
        let under_load = usage_lines(&bed, "load", seconds, &idle, &loaded);
        lines.extend(under_load.into_iter().map(|mut line| {
            line.valid = valid;
            line.detail("requests_per_second", RATE)
        }));
    }
    Ok(lines)
}

/// Counts the platform's calls for a whole fleet while it is idle.
pub async fn run_calls(
    deployment: Deployment,
    policy: &'static str,
    options: &MeasureOptions,
) -> BenchResult<Vec<FigureLine>> {
    let bed = MeasureBed::start(deployment, policy, WHOLE_FLEET, options).await?;
    tokio::time::sleep(SETTLE).await;
    let before = calls(&bed).await?;
    let seconds = options.seconds.unwrap_or(CALLS_SECONDS);
    tokio::time::sleep(time::Duration::from_secs(seconds)).await;
    let made = calls(&bed).await?.saturating_sub(before);
    let line = bed.plain_line("platform_calls", "per-second");
    Ok(vec![line.value(as_float(made) / as_float(seconds), made)])
}

async fn calls(bed: &MeasureBed) -> BenchResult<u64> {
    let address = bed.fleet.layout.platform_control;
    let status: PlatformStatus = bed
        .fleet
        .send_control_request(hyper::Method::GET, address, "/control", &())
        .await?;
    Ok(status.total_calls)
}

async fn usage(bed: &MeasureBed) -> BenchResult<FleetUsage> {
    let mut usage = FleetUsage {
        cpu_seconds: 0.0,
        resident_mb: 0.0,
        control_bytes: control_bytes(bed).await?,
    };
    let gateways = bed.fleet.layout.gateways.iter();
    for id in gateways.filter_map(|place| bed.fleet.process_id(&place.name)) {
        usage.cpu_seconds += cpu_seconds(id).unwrap_or(0.0);
        usage.resident_mb += resident_mb(id).unwrap_or(0.0);
    }
    Ok(usage)
}

/// Returns the bytes that passed the fault proxy between gateways.
async fn control_bytes(bed: &MeasureBed) -> BenchResult<f64> {
    let control = bed.fleet.layout.proxy_control;
    let status: serde_json::Value = bed
        .fleet
        .send_control_request(hyper::Method::GET, control, "/control", &())
        .await?;
    let counts = &status["counts"]["bytes"];
    let gateways = bed.fleet.layout.gateways.iter();
    let bytes = gateways.filter_map(|place| {
        let listener = place.peer_advertised.ip().to_string();
        counts[listener].as_u64()
    });
    Ok(as_float(bytes.sum()))
}

/// Returns the user and system time of a process: fields 14 and 15 of its `stat`.
fn cpu_seconds(id: u32) -> Option<f64> {
    let text = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // The name in parentheses is field 2 and may contain spaces.
    let (_, fields) = text.rsplit_once(") ")?;
    let ticks = fields.split(' ').skip(11).take(2);
    Some(
        ticks
            .filter_map(|field| field.parse::<f64>().ok())
            .sum::<f64>()
            / TICKS,
    )
}

fn resident_mb(id: u32) -> Option<f64> {
    let text = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: f64 = line.trim().strip_suffix(" kB")?.parse().ok()?;
    Some(kilobytes / 1000.0)
}

/// Returns the lines for one time, per gateway. Bytes count once, at the gateway that sent them.
fn usage_lines(
    bed: &MeasureBed,
    state: &str,
    seconds: u64,
    before: &FleetUsage,
    after: &FleetUsage,
) -> Vec<FigureLine> {
    let gateways = f64::from(bed.fleet.config.gateways);
    let seconds = as_float(seconds) * gateways;
    let figures = [
        (
            "core-percent",
            100.0 * (after.cpu_seconds - before.cpu_seconds) / seconds,
        ),
        ("megabytes", after.resident_mb / gateways),
        (
            "bytes-per-second",
            (after.control_bytes - before.control_bytes) / seconds,
        ),
    ];
    let line = |(unit, value)| {
        let line = bed.plain_line("control_cost", unit);
        line.value(value, bed.fleet.config.gateways.into())
            .detail("state", state)
    };
    figures.map(line).into()
}
