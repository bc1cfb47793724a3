//! Joins what callers were told with what backend servers recorded.

use std::collections;

use toucanledge_core::RequestOutcome;

use crate::backend;
use crate::load;

/// Breaches of the requirements, by key, and counts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CheckReport {
    /// Requests that were checked.
    pub requests: usize,
    /// Requests told `not-run`.
    pub reported_not_run: usize,
    /// Requests told `unknown`, or nothing.
    pub reported_unknown: usize,
    /// Keys of keyed work that was started more than once, with the number of starts.
    pub duplicate_executions: Vec<(String, usize)>,
    /// Keys told `not-run` although that very request was started.
    pub false_not_run: Vec<String>,
    /// Keys answered with status 200 although no run of them was completed.
    pub success_without_execution: Vec<String>,
    /// Keys whose answer has a wrong owner, content or length.
    pub bad_responses: Vec<(String, backend::ResponseCheck)>,
}

/// Starts and completed runs of one key or nonce.
#[derive(Clone, Copy, Default)]
struct RunCount {
    started: usize,
    completed: usize,
}

/// Runs by caller and key or nonce.
type RunCounts<'a> = collections::HashMap<(&'a str, &'a str), RunCount>;

impl CheckReport {
    /// Returns whether no requirement was breached.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.duplicate_executions.is_empty()
            && self.false_not_run.is_empty()
            && self.success_without_execution.is_empty()
            && self.bad_responses.is_empty()
    }
}

/// Checks what callers were told against the records of all backend servers.
///
/// Requests are joined by caller and nonce, so each submission of a key needs a nonce of its own;
/// runs of keyed work are counted by caller and key.
#[must_use]
pub fn check_outcomes(
    told: &[load::LoadRecord],
    runs: &[backend::BackendRequestRecord],
) -> CheckReport {
    let by_key = count_runs(runs, |run| &run.key);
    let by_nonce = count_runs(runs, |run| &run.nonce);
    let mut report = CheckReport::default();
    let mut keys = collections::HashSet::new();
    for record in told {
        let key = (record.caller.as_str(), record.key.as_str());
        let nonce = (record.caller.as_str(), record.nonce.as_str());
        let key_runs = by_key.get(&key).copied().unwrap_or_default();
        let own_runs = by_nonce.get(&nonce).copied().unwrap_or_default();
        report.count(record);
        if record.is_at_most_once && key_runs.started > 1 && keys.insert(key) {
            let run = (record.key.clone(), key_runs.started);
            report.duplicate_executions.push(run);
        }
        if record.outcome == RequestOutcome::NotRun && own_runs.started > 0 {
            report.false_not_run.push(record.key.clone());
        }
        if record.response_check.is_some() && key_runs.completed == 0 {
            report.success_without_execution.push(record.key.clone());
        }
    }
    report
}

impl CheckReport {
    fn count(&mut self, record: &load::LoadRecord) {
        self.requests += 1;
        match record.outcome {
            RequestOutcome::NotRun => self.reported_not_run += 1,
            RequestOutcome::Unknown => self.reported_unknown += 1,
            RequestOutcome::Ran => {}
        }
        match record.response_check {
            None | Some(backend::ResponseCheck::Good) => {}
            Some(check) => self.bad_responses.push((record.key.clone(), check)),
        }
    }
}

fn count_runs<'a>(
    runs: &'a [backend::BackendRequestRecord],
    name: impl Fn(&'a backend::BackendRequestRecord) -> &'a String,
) -> RunCounts<'a> {
    let mut counts = RunCounts::new();
    for run in runs {
        let count = counts.entry((run.caller.as_str(), name(run))).or_default();
        count.started += usize::from(run.started.is_some());
        count.completed += usize::from(run.completed);
    }
    counts
}
