//! The `soak` command: runs the soak test, random series of faults, with many seeds.

use std::process;

/// Environment variable that passes the seeds to the test, as `FIRST+COUNT`.
const SEEDS_VARIABLE: &str = "TOUCANLEDGE_SOAK_SEEDS";
/// Arguments of cargo; CI runs the same test with a few fixed seeds.
const CARGO_ARGUMENTS: [&str; 9] = [
    "test",
    "--release",
    "--package",
    "toucanledge-platform",
    "--test",
    "main",
    "soak::",
    "--",
    "--nocapture",
];

/// Options of the `soak` command.
#[derive(Clone, Copy, Debug)]
pub struct SoakOptions {
    /// Number of seeds.
    pub seeds: u64,
    /// First seed.
    pub seed: u64,
}

/// Runs the seeds; fails when the test finds a violation.
pub fn run(options: SoakOptions) -> process::ExitCode {
    let seeds = format!("{}+{}", options.seed, options.seeds);
    let status = process::Command::new("cargo")
        .args(CARGO_ARGUMENTS)
        .env(SEEDS_VARIABLE, seeds)
        .status();
    match status {
        Ok(status) if status.success() => process::ExitCode::SUCCESS,
        Ok(_) => process::ExitCode::FAILURE,
        Err(error) => {
            eprintln!("[soak] could not start cargo: {error}");
            process::ExitCode::FAILURE
        }
    }
}
