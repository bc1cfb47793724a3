//! Builds the release binaries that the commands start.

use std::env;
use std::path;
use std::process;

/// Packages with the binaries of a test fleet.
const FLEET_PACKAGES: [&str; 3] = [
    "toucanledge-gateway",
    "toucanledge-bench",
    "toucanledge-table-cli",
];

/// Builds the release binaries and reruns this program from their folder.
///
/// The launcher starts binaries from the folder of the running executable, so a debug build of this
/// program would start debug binaries. Returns the exit code of the rerun, or `None` when this is
/// the release build already.
pub fn rerun_in_release(arguments: &[String]) -> Option<process::ExitCode> {
    if env::current_exe().is_ok_and(|file| is_in_folder(&file, "release")) {
        return None;
    }
    let mut build = process::Command::new(env!("CARGO"));
    build.args([
        "build",
        "--release",
        "--quiet",
        "--locked",
        "--package",
        "xtask",
    ]);
    for package in FLEET_PACKAGES {
        build.args(["--package", package]);
    }
    if !build.status().is_ok_and(|status| status.success()) {
        eprintln!("[xtask] the build of the release binaries failed");
        return Some(process::ExitCode::FAILURE);
    }
    let status = process::Command::new(release_executable())
        .args(arguments)
        .status();
    let code = status.ok().and_then(|status| status.code()).unwrap_or(1);
    Some(process::ExitCode::from(u8::try_from(code).unwrap_or(1)))
}

fn release_executable() -> path::PathBuf {
    let executable = env::current_exe().unwrap_or_default();
    let target = executable
        .parent()
        .and_then(path::Path::parent)
        .unwrap_or(path::Path::new("target"));
    target.join("release").join("xtask")
}

fn is_in_folder(file: &path::Path, folder: &str) -> bool {
    file.parent()
        .and_then(path::Path::file_name)
        .is_some_and(|name| name == folder)
}
