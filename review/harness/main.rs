//! Runs one case of the review: starts the project's gateways as separate processes, with
//! stand-ins of store, workers and clients, and judges what clients and workers saw.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod case_extra;
mod case_memory;
mod case_stale;
mod case_stop;
mod client;
mod gateway;
mod http;
mod proxy;
mod record;
mod site;
mod store;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;

use case_stale::Trouble;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: harness CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = PathBuf::from(folder);
    let result = match case.as_str() {
        "extra" => case_extra::run(&folder, trouble),
        "memory" => case_memory::run(&folder, trouble),
        "stop" => case_stop::run(&folder, trouble),
        "foreign-entries" => case_stale::run(&folder, Trouble::ForeignEntries, trouble),
        "one-way" => case_stale::run(&folder, Trouble::OneWayCut, trouble),
        _ => {
            eprintln!("unknown case {case}");
            return ExitCode::from(2);
        }
    };
    match result {
        Ok(true) => {
            println!("broken");
            ExitCode::from(1)
        }
        Ok(false) => {
            println!("held");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
