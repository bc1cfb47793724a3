//! Backend server stand-in: simulates backend servers with controllable faults.

use std::path;
use std::process;

use bpaf::Parser;

fn parser() -> bpaf::OptionParser<path::PathBuf> {
    bpaf::long("settings")
        .help("Settings file in JSON with comments: control, seed, servers (vm, name, address)")
        .argument("FILE")
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Simulates backend servers, with faults that are set at the control address")
        .footer(
            "Control paths: GET /control; PUT /control with servers, faults, service, \
             crash_restart_ms and start; GET and DELETE /control/records.",
        )
}

fn main() -> process::ExitCode {
    let settings = parser().run();
    toucanledge_bench::run_daemon("[backend]", toucanledge_bench::serve_backends(settings))
}
