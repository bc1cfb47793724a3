//! Command line tool that checks, compares and explains tables.

mod command;
mod error;
mod input;
mod output;

use std::process;

const EXIT_FAILURE: u8 = 1;
const EXIT_INVALID: u8 = 2;

fn main() -> process::ExitCode {
    match output::run(command::parse()) {
        Ok(text) => {
            print!("{text}");
            process::ExitCode::SUCCESS
        }
        Err(report) => {
            eprintln!("{report:#}");
            process::ExitCode::from(exit_code(report.current_context()))
        }
    }
}

const fn exit_code(error: &error::CliError) -> u8 {
    match error {
        error::CliError::Invalid(_) => EXIT_INVALID,
        error::CliError::Unreadable(_) | error::CliError::NoRow(_) => EXIT_FAILURE,
    }
}
