//! The gateway between callers and backend servers.

use std::path;
use std::process;

use bpaf::Parser;
use toucanledge_gateway::GatewayOptions;

fn options() -> bpaf::OptionParser<GatewayOptions> {
    let settings = bpaf::long("settings")
        .help("Settings file in JSON with comments")
        .argument::<path::PathBuf>("FILE");
    let check = bpaf::long("check")
        .help("Only validate the settings: exit 0 when they are valid, 2 when they are not")
        .switch();
    bpaf::construct!(GatewayOptions { settings, check })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Carries requests between callers and backend servers as the published table says")
        .footer(
            "SIGTERM stops gracefully: no new work, requests in flight finish however long they \
             take. A second SIGTERM exits at once with status 1.",
        )
}

fn main() -> process::ExitCode {
    toucanledge_gateway::run(&options().run())
}
