//! Scenario files of the `prove` command.

use std::process;

fn list_scenarios(properties: &[&str]) -> process::Output {
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_xtask"));
    let output = command.args(["prove", "--list"]).args(properties).output();
    output.expect("xtask starts")
}

/// Guards against a property without scenarios, and against a scenario that does not compile or has
/// no description.
#[test]
fn every_property_has_scenarios_that_compile() {
    let output = list_scenarios(&[]);
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(
        output.status.success(),
        "the list command failed: {output:?}"
    );
    for property in [
        "floor",
        "own-answer",
        "not-run",
        "at-most-once",
        "leaving",
        "graceful-stop",
        "table-in-force",
    ] {
        let mut lines = text.lines().skip_while(|line| *line != property).skip(1);
        let first_scenario = lines.next().unwrap_or_default();
        assert!(
            first_scenario.starts_with("  1-"),
            "expected the first scenario of {property}, found {first_scenario:?}"
        );
    }
}

/// Guards against a misspelled property that would count as held because nothing ran.
#[test]
fn an_unknown_property_is_an_error() {
    let output = list_scenarios(&["no-such-point"]);
    assert!(
        !output.status.success(),
        "the list command accepted an unknown property: {output:?}"
    );
}
