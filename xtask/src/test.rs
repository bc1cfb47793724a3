//! The `test` command: formatter, lints, documentation and tests.

use std::fs;
use std::process;

/// List of known failures, at the root of the repository.
const KNOWN_RED_FILE: &str = "KNOWN-RED.txt";

/// Runs every step in order and stops at the first that fails.
pub fn run() -> process::ExitCode {
    let skipped = known_red_tests();
    print_known_red();
    let steps = [
        cargo_command(["fmt", "--all", "--check"]),
        cargo_command([
            "clippy",
            "--workspace",
            "--all-targets",
            "--locked",
            "--",
            "-D",
            "warnings",
        ]),
        docs_command(),
        tests_command(&skipped),
    ];
    for mut step in steps {
        println!("[test] {step:?}");
        match step.status() {
            Ok(status) if status.success() => {}
            Ok(status) => {
                eprintln!("[test] the step above failed: {status}");
                return process::ExitCode::FAILURE;
            }
            Err(error) => {
                eprintln!("[test] the step above could not start: {error}");
                return process::ExitCode::FAILURE;
            }
        }
    }
    process::ExitCode::SUCCESS
}

/// Prints the list of known failures, also those of test benches that this command does not run.
fn print_known_red() {
    let text = fs::read_to_string(KNOWN_RED_FILE).unwrap_or_default();
    for line in text.lines() {
        println!("[test] known to fail: {line}");
    }
}

/// Returns the test names on the lines of the list that start with `test`.
fn known_red_tests() -> Vec<String> {
    let text = fs::read_to_string(KNOWN_RED_FILE).unwrap_or_default();
    text.lines()
        .filter_map(|line| line.strip_prefix("test "))
        .map(|name| name.trim().to_owned())
        .collect()
}

fn cargo_command<'a>(arguments: impl IntoIterator<Item = &'a str>) -> process::Command {
    let mut command = process::Command::new(env!("CARGO"));
    command.args(arguments);
    command
}

fn docs_command() -> process::Command {
    let mut command = cargo_command(["doc", "--workspace", "--no-deps", "--locked"]);
    command.env("RUSTDOCFLAGS", "-D warnings");
    command
}

fn tests_command(skipped: &[String]) -> process::Command {
    let mut command = cargo_command([
        "test",
        "--workspace",
        "--locked",
        "--no-fail-fast",
        "--",
        "--exact",
    ]);
    for name in skipped {
        command.args(["--skip", name]);
    }
    command
}
