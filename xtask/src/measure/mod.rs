//! The `measure` command: measurements with the policy of the gateway and with the baseline policy.

mod added_latency;
mod cost;
mod deployment;
mod detection;
mod ejections;
mod measurement;
mod overload;
mod short_wait;
mod table_change;
mod testbed;

use std::process;

use toucanledge_bench::BenchResult;

use crate::measure::deployment::DeploymentProfile;
use crate::measure::measurement::MeasurementLine;
use crate::measure::testbed::FleetTestbed;

/// Number of gateways of the shared fleet.
const GATEWAYS: u8 = 40;
/// Balancing policies, in the order in which they are measured.
const POLICIES: [&str; 2] = ["toucanledge", "baseline"];

/// Measures that share one fleet, in the order in which they run.
///
/// `detection_time` is last because it leaves backend servers ejected.
const SHARED_FLEET_MEASURES: [&str; 6] = [
    "table_in_force",
    "added_latency",
    "short_wait",
    "crest_goodput",
    "wrong_ejections",
    "detection_time",
];

/// Measures that start fleets of their own, with other sizes.
const OWN_FLEET_MEASURES: [&str; 2] = ["control_cost", "platform_calls"];

/// Options of the `measure` command.
#[derive(Clone, Debug)]
pub struct MeasureOptions {
    /// Name of the deployment whose fleet sizes are used: `manualia` or `kestrelmoor`.
    pub deployment: String,
    /// Seed of the loads and of random choices.
    pub seed: u64,
    /// Duration of one load in seconds; each measure has its own when absent.
    pub seconds: Option<u64>,
    /// Measures to run; all when empty.
    pub measures: Vec<String>,
}

/// Runs the selected measures with each policy; fails when a measurement is invalid.
pub async fn run(options: MeasureOptions) -> process::ExitCode {
    let Some(deployment) = DeploymentProfile::find(&options.deployment) else {
        eprintln!("[measure] unknown deployment {}", options.deployment);
        return process::ExitCode::FAILURE;
    };
    if let Some(name) = options.measures.iter().find(|name| !is_known(name)) {
        eprintln!("[measure] unknown measure {name}");
        return process::ExitCode::FAILURE;
    }
    match run_all(&options, deployment).await {
        Ok(true) => process::ExitCode::SUCCESS,
        Ok(false) => process::ExitCode::FAILURE,
        Err(report) => {
            eprintln!("[measure] {report:?}");
            process::ExitCode::FAILURE
        }
    }
}

fn is_known(name: &str) -> bool {
    SHARED_FLEET_MEASURES.contains(&name) || OWN_FLEET_MEASURES.contains(&name)
}

impl MeasureOptions {
    fn is_selected(&self, name: &str) -> bool {
        self.measures.is_empty() || self.measures.iter().any(|selected| selected == name)
    }
}

/// Runs the measures and returns whether all measurements are valid.
async fn run_all(options: &MeasureOptions, deployment: DeploymentProfile) -> BenchResult<bool> {
    let mut all_valid = true;
    let shared: Vec<&str> = SHARED_FLEET_MEASURES
        .into_iter()
        .filter(|name| options.is_selected(name))
        .collect();
    if !shared.is_empty() {
        for policy in POLICIES {
            let testbed = FleetTestbed::start(deployment, policy, GATEWAYS, options).await?;
            for name in &shared {
                eprintln!("[measure] measuring {name} with the policy {policy}");
                let measurements = run_shared(name, &testbed).await?;
                all_valid &= print_measurements(&measurements);
            }
        }
    }
    let own_fleet = OWN_FLEET_MEASURES
        .into_iter()
        .filter(|name| options.is_selected(name));
    for name in own_fleet {
        for policy in POLICIES {
            eprintln!("[measure] measuring {name} with the policy {policy}");
            let measurements = match name {
                "control_cost" => cost::run(deployment, policy, options).await?,
                _ => cost::run_platform_calls(deployment, policy, options).await?,
            };
            all_valid &= print_measurements(&measurements);
        }
    }
    Ok(all_valid)
}

async fn run_shared(name: &str, testbed: &FleetTestbed) -> BenchResult<Vec<MeasurementLine>> {
    match name {
        "table_in_force" => table_change::run(testbed).await,
        "added_latency" => added_latency::run(testbed).await,
        "short_wait" => short_wait::run(testbed).await,
        "crest_goodput" => overload::run(testbed).await,
        "wrong_ejections" => ejections::run(testbed).await,
        _ => detection::run(testbed).await,
    }
}

/// Prints measurements and returns whether all are valid.
fn print_measurements(measurements: &[MeasurementLine]) -> bool {
    for measurement in measurements {
        println!("{}", measurement.to_json());
    }
    measurements.iter().all(|measurement| measurement.valid)
}
