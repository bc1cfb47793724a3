//! Platform stand-in: simulates the platform's value store and VM list.

use std::net;
use std::process;

use bpaf::Parser;

#[derive(Clone, Debug)]
struct StandInOptions {
    listen: net::SocketAddr,
    control: net::SocketAddr,
}

fn parser() -> bpaf::OptionParser<StandInOptions> {
    let listen = bpaf::long("listen")
        .help("Address of the platform protocol; faults apply to it")
        .argument("ADDRESS");
    let control = bpaf::long("control")
        .help("Address of /control and of the platform protocol without faults")
        .argument("ADDRESS");
    bpaf::construct!(StandInOptions { listen, control })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Simulates the platform: value store, VM list and their watches")
        .footer(
            "PUT /control takes {\"outage\":bool,\"stale\":bool,\"lag_ms\":N}; GET /control \
             shows them with the call counts; DELETE /control/calls resets the counts.",
        )
}

fn main() -> process::ExitCode {
    let options = parser().run();
    toucanledge_bench::run_daemon(
        "[platform]",
        toucanledge_bench::serve_platform(options.listen, options.control),
    )
}
