//! What a scenario did and saw, and the findings of the checks on it.

use std::collections;
use std::net;
use std::ops;

use toucanledge_bench::{
    BackendRequestRecord, FaultInterval, FloorShard, LoadRecord, TableObservation,
    TablePublication, check_floor, check_leaving, check_outcomes, check_table, count_interrupted,
    unix_millis,
};

use crate::prove::load::EndedLoad;

/// Findings that are printed for each kind.
const PRINTED: usize = 3;
/// Time in which the listener of a stopping gateway stays open.
const STOP_NOTICE_MS: u64 = 1000;

/// Planned stop of a gateway.
pub struct PlannedStop {
    /// Name of the gateway.
    pub name: String,
    /// Address for its callers.
    pub listen: net::SocketAddr,
    /// When the signal was sent.
    pub at: u64,
}

/// Expectation of the floor while a load ran.
pub struct FloorWatch {
    /// Shards of the pool.
    pub shards: Vec<FloorShard>,
    /// Time of the load.
    pub times: ops::Range<u64>,
}

/// What happened in a scenario, in ms since 1970.
#[derive(Default)]
pub struct Journal {
    /// Loads that were ended.
    pub loads: Vec<EndedLoad>,
    /// Backend servers that were marked as leaving.
    pub leaving: Vec<(String, u64)>,
    /// Times in which backend servers or gateways had a fault.
    pub faults: Vec<FaultInterval>,
    /// Planned stops.
    pub stops: Vec<PlannedStop>,
    /// Expectations of the floor.
    pub floors: Vec<FloorWatch>,
    /// Tables that operators published.
    pub publications: Vec<TablePublication>,
    /// Revisions that gateways showed.
    pub sights: Vec<TableObservation>,
    /// Findings that a step of the scenario made itself.
    pub findings: Vec<Finding>,
}

/// Breach of a point.
pub struct Finding {
    /// Point that is broken.
    pub point: &'static str,
    /// What was seen.
    pub text: String,
}

impl Finding {
    /// Returns a finding.
    pub fn new(point: &'static str, text: impl Into<String>) -> Self {
        let text = text.into();
        Self { point, text }
    }
}

impl Journal {
    /// Notes the start of a fault; it lasts until it is closed.
    pub fn open_fault(&mut self, name: &str) {
        let now = unix_millis();
        let is_open = |span: &FaultInterval| span.name == name && span.interval.end == u64::MAX;
        if !self.faults.iter().any(is_open) {
            self.faults.push(FaultInterval {
                name: name.to_owned(),
                interval: now..u64::MAX,
            });
        }
    }

    /// Notes the end of a fault, `later_ms` from now.
    pub fn close_fault(&mut self, name: &str, later_ms: u64) {
        let until = unix_millis() + later_ms;
        let spans = self.faults.iter_mut();
        spans
            .filter(|span| span.name == name && span.interval.end == u64::MAX)
            .for_each(|span| span.interval.end = until);
    }

    /// Returns all that callers were told.
    pub fn told(&self) -> Vec<LoadRecord> {
        let loads = self.loads.iter();
        loads.flat_map(|load| load.told.iter().cloned()).collect()
    }

    /// Returns the number of operations that the checks look at.
    pub fn operations(&self) -> usize {
        let told: usize = self.loads.iter().map(|load| load.told.len()).sum();
        told + self.sights.len()
    }

    /// Checks everything that the journal has evidence for.
    pub fn check(&self, runs: &[BackendRequestRecord]) -> Vec<Finding> {
        let mut findings = check_told(&self.told(), runs);
        for (server, marked) in &self.leaving {
            let late = check_leaving(runs, server, *marked);
            let late = late.into_iter().map(|run| {
                let (source, after) = (run.source, run.arrived - marked);
                format!("{server} got a request of {source} {after} ms after it was marked")
            });
            findings.extend(late.map(|text| Finding::new("leaving", text)));
        }
        for watch in &self.floors {
            findings.extend(self.check_floors(watch, runs));
        }
        findings.extend(self.check_stops());
        let breaches = check_table(&self.publications, &self.sights, &self.faults);
        let breaches = breaches.iter().map(ToString::to_string);
        findings.extend(breaches.map(|text| Finding::new("table-in-force", text)));
        findings
    }

    fn check_floors(&self, watch: &FloorWatch, runs: &[BackendRequestRecord]) -> Vec<Finding> {
        let shards = watch.shards.iter();
        let breaches = shards.flat_map(|shard| {
            let found = check_floor(shard, runs, &self.faults, watch.times.clone());
            found.into_iter().map(|breach| {
                let servers = shard.servers.first().map_or("", String::as_str);
                let after = breach.window_start - watch.times.start;
                format!(
                    "shard of {servers}: {} healthy servers got work, the floor is {}, {after} ms after the start",
                    breach.serving, breach.required
                )
            })
        });
        breaches.map(|text| Finding::new("floor", text)).collect()
    }

    fn check_stops(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        for stop in &self.stops {
            let closed = stop.at + STOP_NOTICE_MS;
            let loads = self.loads.iter();
            let cut: usize = loads
                .map(|load| count_interrupted(&load.told, load.started, stop.listen, closed))
                .sum();
            if cut > 0 {
                let text = format!("the stop of {} interrupted {cut} requests", stop.name);
                findings.push(Finding::new("graceful-stop", text));
            }
        }
        findings
    }
}

/// Checks what callers were told against the records of the backend servers.
pub fn check_told(told: &[LoadRecord], runs: &[BackendRequestRecord]) -> Vec<Finding> {
    let report = check_outcomes(told, runs);
    let double = report.duplicate_executions.iter().map(|(key, starts)| {
        let text = format!("{key} was started {starts} times");
        Finding::new("at-most-once", text)
    });
    let not_run = report.false_not_run.iter();
    let not_run = not_run.map(|key| Finding::new("not-run", format!("{key} ran")));
    let ran = report.success_without_execution.iter().map(|key| {
        let text = format!("{key} was answered although no run was completed");
        Finding::new("own-answer", text)
    });
    let bad = report.bad_responses.iter().map(|(key, check)| {
        let text = format!("the answer to {key} is {check}");
        Finding::new("own-answer", text)
    });
    double.chain(not_run).chain(ran).chain(bad).collect()
}

/// Prints the findings, a few of each point, with their numbers.
pub fn print(findings: &[Finding]) {
    let mut counts: collections::BTreeMap<&str, usize> = collections::BTreeMap::new();
    for finding in findings {
        let count = counts.entry(finding.point).or_default();
        *count += 1;
        if *count <= PRINTED {
            println!("[prove]   breaks {}: {}", finding.point, finding.text);
        }
    }
    for (point, count) in counts {
        println!("[prove]   {count} breaches of {point}");
    }
}
