//! Development commands: demo, test, prove, measure and soak.

mod binaries;
mod demo;
mod measure;
mod prove;
mod soak;
mod test;

use std::env;
use std::path;
use std::process;

use bpaf::Parser;

use crate::measure::MeasureOptions;
use crate::prove::ProveOptions;
use crate::soak::SoakOptions;

/// Help text of `--seed` for commands that run loads.
const SEED_HELP: &str = "Seed of the loads and of random choices";

/// A development command.
#[derive(Clone, Debug)]
enum XtaskCommand {
    Demo { check: bool },
    Test,
    Prove(ProveOptions),
    Measure(MeasureOptions),
    Soak(SoakOptions),
}

fn demo_parser() -> impl Parser<XtaskCommand> {
    let check = bpaf::long("check")
        .help("Exit after the last step; the exit code is 0 only if every step held")
        .switch();
    bpaf::construct!(XtaskCommand::Demo { check })
        .to_options()
        .descr("Starts a small fleet on loopback, sends requests, edits the table and injects failures")
        .command("demo")
}

fn test_parser() -> impl Parser<XtaskCommand> {
    bpaf::pure(XtaskCommand::Test)
        .to_options()
        .descr("Checks formatting, lints and documentation and runs all tests")
        .command("test")
}

fn prove_parser() -> impl Parser<XtaskCommand> {
    let list = bpaf::long("list")
        .help("Only list the properties and their scenarios")
        .switch();
    let seed = seed_parser(SEED_HELP);
    let policy = bpaf::long("policy")
        .argument::<String>("NAME")
        .optional()
        .hide();
    let gateway = bpaf::long("gateway")
        .argument::<path::PathBuf>("FILE")
        .optional()
        .hide();
    let properties = bpaf::positional::<String>("POINT")
        .help("Property to check; all if none is given")
        .many();
    bpaf::construct!(ProveOptions {
        list,
        seed,
        policy,
        gateway,
        properties
    })
    .map(XtaskCommand::Prove)
    .to_options()
    .descr("Runs failure scenarios and checks that the properties of the fleet hold")
    .command("prove")
}

fn measure_parser() -> impl Parser<XtaskCommand> {
    let deployment = bpaf::long("deployment")
        .help("Deployment whose fleet sizes are used: manualia or kestrelmoor")
        .argument::<String>("NAME");
    let seed = seed_parser(SEED_HELP);
    let seconds = bpaf::long("seconds")
        .help("Duration of one load in seconds")
        .argument::<u64>("N")
        .optional();
    let measures = bpaf::positional::<String>("MEASURE")
        .help("Measure to run; all if none is given")
        .many();
    bpaf::construct!(MeasureOptions {
        deployment,
        seed,
        seconds,
        measures
    })
    .map(XtaskCommand::Measure)
    .to_options()
    .descr(
        "Measures the gateway with its own and with the baseline policy, one JSON object per line",
    )
    .command("measure")
}

fn soak_parser() -> impl Parser<XtaskCommand> {
    let seeds = bpaf::long("seeds")
        .help("Number of seeds to run")
        .argument::<u64>("N")
        .fallback(10)
        .display_fallback();
    let seed = seed_parser("First seed");
    bpaf::construct!(SoakOptions { seeds, seed })
        .map(XtaskCommand::Soak)
        .to_options()
        .descr("Runs random series of faults against gateways on the platform stand-in")
        .command("soak")
}

fn seed_parser(help: &'static str) -> impl Parser<u64> {
    bpaf::long("seed")
        .help(help)
        .argument::<u64>("N")
        .fallback(1)
        .display_fallback()
}

fn parse() -> XtaskCommand {
    let demo = demo_parser();
    let test = test_parser();
    let prove = prove_parser();
    let measure = measure_parser();
    let soak = soak_parser();
    bpaf::construct!([demo, test, prove, measure, soak])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Development commands")
        .run()
}

fn main() -> process::ExitCode {
    let command = parse();
    match command {
        XtaskCommand::Test => return test::run(),
        XtaskCommand::Soak(options) => return soak::run(options),
        _ => {}
    }
    if let XtaskCommand::Prove(options) = &command
        && options.list
    {
        return prove::list(options);
    }
    let arguments: Vec<String> = env::args().skip(1).collect();
    if let Some(code) = binaries::rerun_in_release(&arguments) {
        return code;
    }
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("[xtask] could not start the runtime: {error}");
            return process::ExitCode::FAILURE;
        }
    };
    match command {
        XtaskCommand::Demo { check } => runtime.block_on(demo::run(check)),
        XtaskCommand::Prove(options) => runtime.block_on(prove::run(options)),
        XtaskCommand::Measure(options) => runtime.block_on(measure::run(options)),
        XtaskCommand::Test | XtaskCommand::Soak(_) => process::ExitCode::SUCCESS,
    }
}
