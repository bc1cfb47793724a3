//! Command line and settings of the gateway process.

use std::fs;
use std::process;

fn run_gateway(arguments: &[&str]) -> process::Output {
    process::Command::new(env!("CARGO_BIN_EXE_toucanledge-gateway"))
        .args(arguments)
        .output()
        .expect("the gateway starts")
}

fn check_settings(text: &str) -> (Option<i32>, String) {
    let name = format!("toucanledge-settings-{}-{:p}.jsonc", process::id(), text);
    let file = std::env::temp_dir().join(name);
    fs::write(&file, text).expect("the settings can be written");
    let output = run_gateway(&["--check", "--settings", &file.display().to_string()]);
    let errors =
        String::from_utf8_lossy(&output.stderr).replace(&file.display().to_string(), "FILE");
    let _ = fs::remove_file(&file);
    (output.status.code(), errors)
}

/// Guards against a process that starts with invalid settings.
#[test]
fn bad_settings_exit_2_with_file_line_and_column() {
    let (unknown_field, errors) = check_settings("{\n  \"vm\": 1,\n  \"colour\": 3\n}");
    assert_eq!(unknown_field, Some(2));
    assert!(errors.contains("FILE:3"), "expected line 3: {errors}");
    assert!(
        errors.contains("colour"),
        "expected the field name: {errors}"
    );
    let (missing_fields, errors) = check_settings("{\n  // no settings at all\n}");
    assert_eq!(missing_fields, Some(2));
    assert!(errors.contains("FILE:"), "expected the file name: {errors}");
}

/// Guards against an error that does not name the missing file.
#[test]
fn a_missing_file_is_named() {
    let output = run_gateway(&["--settings", "no-such-file.jsonc"]);
    assert_eq!(output.status.code(), Some(2));
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(
        errors.contains("no-such-file.jsonc"),
        "expected the file name: {errors}"
    );
}

/// Guards against a change of the options that their help text does not show.
#[test]
fn help_explains_every_option() {
    let output = run_gateway(&["--help"]);
    assert!(output.status.success());
    insta::assert_snapshot!(String::from_utf8_lossy(&output.stdout));
}
