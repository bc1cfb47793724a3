//! `control_cost` and `platform_calls`: the resources that a fleet uses while idle and under load.

use std::fs;
use std::time;

use toucanledge_bench::{BenchResult, PlatformStatus};

use crate::measure::MeasureOptions;
use crate::measure::deployment::DeploymentProfile;
use crate::measure::measurement::{MeasurementLine, as_float};
use crate::measure::testbed::{FleetTestbed, WARM_UP_SERVICE_MS};

/// Fleet sizes in gateways, from which the growth of the cost is fitted.
const FLEET_SIZES: [u8; 4] = [10, 20, 40, 80];
/// Number of gateways of the fleet whose platform calls are counted.
const FULL_FLEET_GATEWAYS: u8 = 44;
/// Load per gateway.
const GATEWAY_REQUESTS_PER_SECOND: f64 = 10.0;
/// Duration of each phase, idle and under load.
const LOAD_SECONDS: u64 = 10;
/// Time in which platform calls are counted; it must be long, since a watch call lasts up to 30 s.
const COUNTING_SECONDS: u64 = 60;
/// Time after the start in which calls are not counted: gateways that know no reader yet read the
/// platform themselves.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(12);
/// Unit of CPU times in `/proc`, fixed on Linux.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

/// Resources that all gateways used together: CPU time and bytes since their start, memory now.
struct FleetUsage {
    cpu_seconds: f64,
    resident_mb: f64,
    control_bytes: f64,
}

pub async fn run(
    deployment: DeploymentProfile,
    policy: &'static str,
    options: &MeasureOptions,
) -> BenchResult<Vec<MeasurementLine>> {
    let mut lines = Vec::new();
    for gateways in FLEET_SIZES {
        let testbed = FleetTestbed::start(deployment, policy, gateways, options).await?;
        tokio::time::sleep(time::Duration::from_secs(3)).await;
        let seconds = options.seconds.unwrap_or(LOAD_SECONDS);
        let before = fleet_usage(&testbed).await?;
        tokio::time::sleep(time::Duration::from_secs(seconds)).await;
        let idle = fleet_usage(&testbed).await?;
        lines.extend(usage_measurements(
            &testbed, "idle", seconds, &before, &idle,
        ));
        let rate = GATEWAY_REQUESTS_PER_SECOND * f64::from(gateways);
        let load_result = testbed
            .run_load(
                seconds,
                |_| rate,
                |number, random| testbed.read_request(number, random, WARM_UP_SERVICE_MS),
            )
            .await;
        let loaded = fleet_usage(&testbed).await?;
        let valid = testbed
            .load_measurement("control_cost", "", &load_result)
            .valid;
        let under_load = usage_measurements(&testbed, "load", seconds, &idle, &loaded);
        lines.extend(under_load.into_iter().map(|mut line| {
            line.valid = valid;
            line.with_detail("requests_per_second", GATEWAY_REQUESTS_PER_SECOND)
        }));
    }
    Ok(lines)
}

/// Counts the platform calls of an idle fleet.
pub async fn run_platform_calls(
    deployment: DeploymentProfile,
    policy: &'static str,
    options: &MeasureOptions,
) -> BenchResult<Vec<MeasurementLine>> {
    let testbed = FleetTestbed::start(deployment, policy, FULL_FLEET_GATEWAYS, options).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let before = platform_calls(&testbed).await?;
    let seconds = options.seconds.unwrap_or(COUNTING_SECONDS);
    tokio::time::sleep(time::Duration::from_secs(seconds)).await;
    let calls = platform_calls(&testbed).await?.saturating_sub(before);
    let line = testbed.new_measurement("platform_calls", "per-second");
    Ok(vec![
        line.with_value(as_float(calls) / as_float(seconds), calls),
    ])
}

async fn platform_calls(testbed: &FleetTestbed) -> BenchResult<u64> {
    let address = testbed.fleet.layout.platform_control;
    let status: PlatformStatus = testbed
        .fleet
        .send_control_request(hyper::Method::GET, address, "/control", &())
        .await?;
    Ok(status.total_calls)
}

async fn fleet_usage(testbed: &FleetTestbed) -> BenchResult<FleetUsage> {
    let mut usage = FleetUsage {
        cpu_seconds: 0.0,
        resident_mb: 0.0,
        control_bytes: gateway_link_bytes(testbed).await?,
    };
    let gateways = testbed.fleet.layout.gateways.iter();
    for process_id in gateways.filter_map(|gateway| testbed.fleet.process_id(&gateway.name)) {
        usage.cpu_seconds += cpu_seconds(process_id).unwrap_or(0.0);
        usage.resident_mb += resident_mb(process_id).unwrap_or(0.0);
    }
    Ok(usage)
}

/// Returns the bytes between gateways, which pass the fault proxy.
async fn gateway_link_bytes(testbed: &FleetTestbed) -> BenchResult<f64> {
    let control = testbed.fleet.layout.proxy_control;
    let status: serde_json::Value = testbed
        .fleet
        .send_control_request(hyper::Method::GET, control, "/control", &())
        .await?;
    let counts = &status["counts"]["bytes"];
    let gateways = testbed.fleet.layout.gateways.iter();
    let bytes = gateways.filter_map(|gateway| {
        let listener = gateway.peer_advertised.ip().to_string();
        counts[listener].as_u64()
    });
    Ok(as_float(bytes.sum()))
}

/// Returns the user and system CPU time of a process: fields 14 and 15 of its `stat` file.
fn cpu_seconds(process_id: u32) -> Option<f64> {
    let text = fs::read_to_string(format!("/proc/{process_id}/stat")).ok()?;
    // Field 2 is the process name in parentheses and may contain spaces.
    let (_, fields) = text.rsplit_once(") ")?;
    let ticks = fields.split(' ').skip(11).take(2);
    Some(
        ticks
            .filter_map(|field| field.parse::<f64>().ok())
            .sum::<f64>()
            / CLOCK_TICKS_PER_SECOND,
    )
}

/// Returns the resident memory of a process.
fn resident_mb(process_id: u32) -> Option<f64> {
    let text = fs::read_to_string(format!("/proc/{process_id}/status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: f64 = line.trim().strip_suffix(" kB")?.parse().ok()?;
    Some(kilobytes / 1000.0)
}

/// Creates the measurements of one phase, each per gateway.
///
/// Bytes count once, at the gateway that sent them.
fn usage_measurements(
    testbed: &FleetTestbed,
    state: &str,
    seconds: u64,
    before: &FleetUsage,
    after: &FleetUsage,
) -> Vec<MeasurementLine> {
    let gateways = f64::from(testbed.fleet.config.gateways);
    let seconds = as_float(seconds) * gateways;
    let values = [
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
        let line = testbed.new_measurement("control_cost", unit);
        line.with_value(value, testbed.fleet.config.gateways.into())
            .with_detail("state", state)
    };
    values.map(line).into()
}
