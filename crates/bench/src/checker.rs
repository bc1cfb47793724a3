//! Checks the outcomes that callers received against the records of the backend servers.

use std::collections;

use toucanledge_core::RequestOutcome;

use crate::backend;
use crate::load;

/// Violations by key, with the numbers of requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CheckReport {
    /// Requests that were checked.
    pub requests: usize,
    /// Requests with the outcome `not-run`.
    pub reported_not_run: usize,
    /// Requests with the outcome `unknown` or without an outcome.
    pub reported_unknown: usize,
    /// Keys of at-most-once requests that were started more than once, with the number of starts.
    pub duplicate_executions: Vec<(String, usize)>,
    /// Keys of requests with the outcome `not-run` although a backend server started them.
    pub false_not_run: Vec<String>,
    /// Keys of requests with a complete response of status 200 although no execution completed.
    pub success_without_execution: Vec<String>,
    /// Keys whose response has the wrong owner, content or length, with the result of the check.
    pub bad_responses: Vec<(String, backend::ResponseCheck)>,
}

/// Started and completed executions of one key or nonce.
#[derive(Clone, Copy, Default)]
struct ExecutionCount {
    started: usize,
    completed: usize,
}

/// Executions by caller and key or nonce.
type ExecutionCounts<'a> = collections::HashMap<(&'a str, &'a str), ExecutionCount>;

impl CheckReport {
    /// Returns whether there are no violations.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.duplicate_executions.is_empty()
            && self.false_not_run.is_empty()
            && self.success_without_execution.is_empty()
            && self.bad_responses.is_empty()
    }
}

/// Checks the results of requests against the records of all backend servers.
///
/// A request is matched by caller and nonce, so each submission of a key needs a nonce of its own.
/// Executions of at-most-once requests are counted by caller and key.
#[must_use]
pub fn check_outcomes(
    load_records: &[load::LoadRecord],
    server_records: &[backend::BackendRequestRecord],
) -> CheckReport {
    let by_key = count_executions(server_records, |record| &record.key);
    let by_nonce = count_executions(server_records, |record| &record.nonce);
    let mut report = CheckReport::default();
    let mut reported_keys = collections::HashSet::new();
    for record in load_records {
        let key = (record.caller.as_str(), record.key.as_str());
        let nonce = (record.caller.as_str(), record.nonce.as_str());
        let key_executions = by_key.get(&key).copied().unwrap_or_default();
        let own_executions = by_nonce.get(&nonce).copied().unwrap_or_default();
        report.count(record);
        if record.is_at_most_once && key_executions.started > 1 && reported_keys.insert(key) {
            let duplicate = (record.key.clone(), key_executions.started);
            report.duplicate_executions.push(duplicate);
        }
        if record.outcome == RequestOutcome::NotRun && own_executions.started > 0 {
            report.false_not_run.push(record.key.clone());
        }
        if record.response_check.is_some() && key_executions.completed == 0 {
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

fn count_executions<'a>(
    server_records: &'a [backend::BackendRequestRecord],
    key: impl Fn(&'a backend::BackendRequestRecord) -> &'a String,
) -> ExecutionCounts<'a> {
    let mut counts = ExecutionCounts::new();
    for record in server_records {
        let count = counts
            .entry((record.caller.as_str(), key(record)))
            .or_default();
        count.started += usize::from(record.started.is_some());
        count.completed += usize::from(record.completed);
    }
    counts
}
