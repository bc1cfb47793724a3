//! The `prove` command: failure scenarios that check the properties of a fleet.
//!
//! A property holds when its scenarios ran, at least one operation was checked and no check found a
//! violation.

mod deployment;
mod history;
mod load;
mod runner;
mod scenario;
mod script;

use std::path;
use std::process;
use std::time;

use crate::prove::scenario::ScenarioFile;

/// Checked properties, in the order in which they run.
const PROPERTIES: [&str; 7] = [
    "floor",
    "own-answer",
    "not-run",
    "at-most-once",
    "leaving",
    "graceful-stop",
    "table-in-force",
];

/// Options of the `prove` command.
#[derive(Clone, Debug)]
pub struct ProveOptions {
    /// Whether to only list the properties and their scenarios.
    pub list: bool,
    /// Seed of the loads and of random choices.
    pub seed: u64,
    /// Balancing policy of the gateways, to show that a property breaks without its mechanism.
    pub policy: Option<String>,
    /// Gateway binary, to try one with a mechanism removed.
    pub gateway: Option<path::PathBuf>,
    /// Properties to check; all when empty.
    pub properties: Vec<String>,
}

/// Prints the properties with their scenarios; fails when a scenario cannot be read.
pub fn list(options: &ProveOptions) -> process::ExitCode {
    let mut code = process::ExitCode::SUCCESS;
    for property in selected_properties(options) {
        println!("{property}");
        match scenario::read_all(&property) {
            Ok(files) => files
                .iter()
                .for_each(|file| println!("  {}: {}", file.name, file.description)),
            Err(text) => {
                eprintln!("[prove] {text}");
                code = process::ExitCode::FAILURE;
            }
        }
    }
    code
}

/// Runs the scenarios of the properties; fails when one is broken.
pub async fn run(options: ProveOptions) -> process::ExitCode {
    let mut code = process::ExitCode::SUCCESS;
    for property in selected_properties(&options) {
        let started = time::Instant::now();
        let handle = tokio::runtime::Handle::current();
        let (name, options) = (property.clone(), options.clone());
        let task = tokio::task::spawn_blocking(move || run_property(&name, &options, handle));
        let result = task.await.unwrap_or_else(|error| Err(error.to_string()));
        println!(
            "[prove] {property}: took {:.0} s",
            started.elapsed().as_secs_f64()
        );
        let (verdict, operations) = match result {
            Ok((true, operations)) => ("held", operations),
            Ok((false, operations)) => ("broken", operations),
            Err(text) => {
                println!("[prove] {property}: {text}");
                ("broken", 0)
            }
        };
        println!("{property}: {verdict}, {operations} operations");
        if verdict != "held" {
            code = process::ExitCode::FAILURE;
        }
    }
    code
}

fn selected_properties(options: &ProveOptions) -> Vec<String> {
    if options.properties.is_empty() {
        return PROPERTIES.map(str::to_owned).to_vec();
    }
    options.properties.clone()
}

/// Runs the scenarios of one property and returns whether it held and the number of checked
/// operations.
fn run_property(
    property: &str,
    options: &ProveOptions,
    handle: tokio::runtime::Handle,
) -> Result<(bool, usize), String> {
    let files = scenario::read_all(property)?;
    let runner = script::new_shared_runner(handle, options);
    for file in &files {
        let ScenarioFile { name, .. } = file;
        println!("[prove] {property}/{name}: {}", file.description);
        script::lock(&runner).begin_scenario(name);
        let engine = script::build_engine(&runner);
        let script_error = engine.run(&file.text).err();
        script::lock(&runner)
            .finish_scenario()
            .map_err(|text| format!("{name}: {text}"))?;
        if let Some(error) = script_error {
            return Err(format!("{name}: {error}"));
        }
    }
    let mut runner = script::lock(&runner);
    runner.shut_down()?;
    Ok((
        runner.violations == 0 && runner.operations > 0,
        runner.operations,
    ))
}
