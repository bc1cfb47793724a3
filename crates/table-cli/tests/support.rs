//! Runs the program.

use std::path;
use std::process;

/// Runs the program in the directory of the test tables; returns its exit code and output as one text.
pub fn run(arguments: &[&str]) -> String {
    let directory = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/tables");
    let output = process::Command::new(env!("CARGO_BIN_EXE_toucanledge-table"))
        .args(arguments)
        .current_dir(directory)
        .output()
        .expect("the program starts");
    let status = output.status.code().expect("the program exits");
    let stdout = String::from_utf8(output.stdout).expect("the output is UTF-8");
    let stderr = String::from_utf8(output.stderr).expect("the output is UTF-8");
    format!("status {status}\n--- stdout\n{stdout}--- stderr\n{stderr}")
}
