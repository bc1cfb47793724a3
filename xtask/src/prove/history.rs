//! The recorded history of a scenario and the checks on it.
//!
//! All times are Unix times in milliseconds.

use std::collections;
use std::net;
use std::ops;

use toucanledge_bench::{
    BackendRequestRecord, FaultInterval, FloorShard, LoadRecord, TableObservation,
    TablePublication, check_floor, check_leaving, check_outcomes, check_table, count_interrupted,
    unix_millis,
};

use crate::prove::load::FinishedLoad;

/// Largest number of violations that a check prints for each property.
const MAX_PRINTED_VIOLATIONS: usize = 3;
/// Time for which a stopping gateway still accepts connections after the signal.
const LISTENER_GRACE_MS: u64 = 1000;

/// Stop of a gateway with SIGTERM.
pub struct GracefulStop {
    /// Name of the gateway.
    pub name: String,
    /// Address on which it accepts callers.
    pub listen: net::SocketAddr,
    /// When SIGTERM was sent.
    pub signalled_at: u64,
}

/// Floor that must be kept while a load runs.
pub struct FloorExpectation {
    /// Shards of the pool.
    pub shards: Vec<FloorShard>,
    /// Interval in which the floor is checked.
    pub interval: ops::Range<u64>,
}

/// What happened in a scenario since its start or its last check.
#[derive(Default)]
pub struct ScenarioHistory {
    /// Finished loads.
    pub loads: Vec<FinishedLoad>,
    /// Names of the backend servers that were marked as leaving, with the time of the mark.
    pub leaving: Vec<(String, u64)>,
    /// Intervals in which backend servers or gateways had a fault.
    pub faults: Vec<FaultInterval>,
    /// Graceful stops.
    pub stops: Vec<GracefulStop>,
    /// Floors that must be kept.
    pub floor_expectations: Vec<FloorExpectation>,
    /// Tables that operators published.
    pub publications: Vec<TablePublication>,
    /// Table revisions read from gateways.
    pub table_observations: Vec<TableObservation>,
    /// Violations that a step of the scenario found itself.
    pub violations: Vec<PropertyViolation>,
}

/// Violation of a checked property.
pub struct PropertyViolation {
    /// Name of the property.
    pub property: &'static str,
    /// Description of the violation.
    pub text: String,
}

impl PropertyViolation {
    /// Creates a violation.
    pub fn new(property: &'static str, text: impl Into<String>) -> Self {
        let text = text.into();
        Self { property, text }
    }
}

impl ScenarioHistory {
    /// Records the start of a fault, unless one of the same server or gateway is ongoing.
    pub fn start_fault(&mut self, name: &str) {
        let now = unix_millis();
        let is_ongoing =
            |fault: &FaultInterval| fault.name == name && fault.interval.end == u64::MAX;
        if !self.faults.iter().any(is_ongoing) {
            self.faults.push(FaultInterval {
                name: name.to_owned(),
                interval: now..u64::MAX,
            });
        }
    }

    /// Records that the ongoing fault ends `delay_ms` from now.
    pub fn end_fault(&mut self, name: &str, delay_ms: u64) {
        let until = unix_millis() + delay_ms;
        let faults = self.faults.iter_mut();
        faults
            .filter(|fault| fault.name == name && fault.interval.end == u64::MAX)
            .for_each(|fault| fault.interval.end = until);
    }

    /// Returns the records of all requests.
    pub fn load_records(&self) -> Vec<LoadRecord> {
        let loads = self.loads.iter();
        loads
            .flat_map(|load| load.records.iter().cloned())
            .collect()
    }

    /// Returns the number of operations that are checked: requests and table observations.
    pub fn operations(&self) -> usize {
        let requests: usize = self.loads.iter().map(|load| load.records.len()).sum();
        requests + self.table_observations.len()
    }

    /// Checks the recorded events against the request records of the backend servers.
    pub fn check(&self, requests: &[BackendRequestRecord]) -> Vec<PropertyViolation> {
        let mut violations = check_load_records(&self.load_records(), requests);
        for (server, marked_at) in &self.leaving {
            let late = check_leaving(requests, server, *marked_at);
            let late = late.into_iter().map(|request| {
                let (source, after_ms) = (request.source, request.arrived - marked_at);
                format!(
                    "{server} received a request from {source} {after_ms} ms after it was marked as leaving"
                )
            });
            violations.extend(late.map(|text| PropertyViolation::new("leaving", text)));
        }
        for expectation in &self.floor_expectations {
            violations.extend(self.check_floor_expectation(expectation, requests));
        }
        violations.extend(self.check_stops());
        let table_violations =
            check_table(&self.publications, &self.table_observations, &self.faults);
        let texts = table_violations.iter().map(ToString::to_string);
        violations.extend(texts.map(|text| PropertyViolation::new("table-in-force", text)));
        violations
    }

    fn check_floor_expectation(
        &self,
        expectation: &FloorExpectation,
        requests: &[BackendRequestRecord],
    ) -> Vec<PropertyViolation> {
        let shards = expectation.shards.iter();
        let texts = shards.flat_map(|shard| {
            let interval = expectation.interval.clone();
            let violations = check_floor(shard, requests, &self.faults, interval);
            violations.into_iter().map(|violation| {
                let first = shard.servers.first().map_or("", String::as_str);
                let after_ms = violation.window_start - expectation.interval.start;
                format!(
                    "shard of {first}: {} healthy servers got requests, the floor is {}, {after_ms} ms after the start",
                    violation.serving, violation.required
                )
            })
        });
        texts
            .map(|text| PropertyViolation::new("floor", text))
            .collect()
    }

    fn check_stops(&self) -> Vec<PropertyViolation> {
        let mut violations = Vec::new();
        for stop in &self.stops {
            let closed_at = stop.signalled_at + LISTENER_GRACE_MS;
            let loads = self.loads.iter();
            let interrupted: usize = loads
                .map(|load| count_interrupted(&load.records, load.started, stop.listen, closed_at))
                .sum();
            if interrupted > 0 {
                let text = format!(
                    "the stop of {} interrupted {interrupted} requests",
                    stop.name
                );
                violations.push(PropertyViolation::new("graceful-stop", text));
            }
        }
        violations
    }
}

/// Checks the outcomes that callers got against the request records of the backend servers.
pub fn check_load_records(
    load_records: &[LoadRecord],
    requests: &[BackendRequestRecord],
) -> Vec<PropertyViolation> {
    let report = check_outcomes(load_records, requests);
    let duplicate = report.duplicate_executions.iter().map(|(key, starts)| {
        let text = format!("{key} was started {starts} times");
        PropertyViolation::new("at-most-once", text)
    });
    let not_run = report.false_not_run.iter().map(|key| {
        let text = format!("{key} was started although its caller got not-run");
        PropertyViolation::new("not-run", text)
    });
    let ran = report.success_without_execution.iter().map(|key| {
        let text = format!("{key} got status 200 although no execution was completed");
        PropertyViolation::new("own-answer", text)
    });
    let bad = report.bad_responses.iter().map(|(key, check)| {
        let text = format!("the response to {key} is {check}");
        PropertyViolation::new("own-answer", text)
    });
    duplicate.chain(not_run).chain(ran).chain(bad).collect()
}

/// Prints the first violations of each property and the number of all.
pub fn print_violations(violations: &[PropertyViolation]) {
    let mut counts: collections::BTreeMap<&str, usize> = collections::BTreeMap::new();
    for violation in violations {
        let count = counts.entry(violation.property).or_default();
        *count += 1;
        if *count <= MAX_PRINTED_VIOLATIONS {
            println!(
                "[prove]   breaks {}: {}",
                violation.property, violation.text
            );
        }
    }
    for (property, count) in counts {
        println!("[prove]   {count} violations of {property}");
    }
}
