//! Fault proxy for TCP connections and UDP datagrams on loopback addresses.

use std::path;
use std::process;

use bpaf::Parser;

fn parser() -> bpaf::OptionParser<path::PathBuf> {
    bpaf::long("settings")
        .help("Settings file in JSON with comments: control, links (listen, target)")
        .argument("FILE")
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Delays, drops, cuts and resets TCP connections and UDP datagrams by link")
        .footer(
            "Control paths: GET /control, PUT, POST and DELETE /control/rules, \
             POST /control/reset.",
        )
}

fn main() -> process::ExitCode {
    let settings = parser().run();
    toucanledge_bench::run_daemon("[proxy]", toucanledge_bench::serve_proxy(settings))
}
