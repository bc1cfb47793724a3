//! Steps that start and stop loads, and expectations on their results.

use std::collections;
use std::sync;

use rand::Rng;
use toucanledge_bench::{BackendRequestRecord, unix_millis};
use toucanledge_core::RequestOutcome;

use super::{ScenarioRunner, StepResult, error_text};
use crate::prove::deployment;
use crate::prove::history::{FloorExpectation, PropertyViolation};
use crate::prove::load::{FinishedLoad, LoadOptions, RunningLoad};

/// Time after `watch_floor` and before the end of the loads in which the floor is not checked.
const FLOOR_EDGE_MS: u64 = 500;

impl ScenarioRunner {
    /// Starts a load in the background with a random name and seed.
    pub fn start_load(&mut self, options: LoadOptions) {
        let _context = self.handle.enter();
        let is_write = options.writes || options.presses;
        let name = format!(
            "{}-{}",
            self.scenario,
            self.random.random_range(0..1_000_000)
        );
        let seed = self.random.random();
        let path = self.options.load_path(is_write);
        let balancer = sync::Arc::clone(&self.balancer);
        let load = RunningLoad::start(options, name, path, seed, balancer);
        self.running.push(load);
    }

    /// Sends one request after the other, each after the response to the previous one.
    pub async fn send_sequentially(
        &mut self,
        options: LoadOptions,
        times: usize,
    ) -> StepResult<()> {
        for _ in 0..times {
            self.start_load(LoadOptions {
                rate: 1000.0,
                count: 1,
                ..options.clone()
            });
            if let Some(load) = self.running.pop() {
                let finished = load.wait().await?;
                self.load_records.extend(finished.records.iter().cloned());
                self.history.loads.push(finished);
            }
        }
        Ok(())
    }

    /// Stops all loads, waits for their responses and returns the number of requests.
    pub async fn end_loads(&mut self) -> StepResult<usize> {
        let stopped_at = unix_millis();
        let mut count = 0;
        for load in std::mem::take(&mut self.running) {
            let finished = load.stop().await?;
            count += finished.records.len();
            print_outcomes(&finished);
            self.load_records.extend(finished.records.iter().cloned());
            self.history.loads.push(finished);
        }
        for expectation in &mut self.history.floor_expectations {
            expectation.interval.end = expectation.interval.end.min(stopped_at - FLOOR_EDGE_MS);
        }
        Ok(count)
    }

    /// Checks the floor from now until the loads end.
    ///
    /// A `share` above the floor of the table replaces it, for faults that must not cause
    /// ejections.
    pub fn expect_floor(&mut self, share: f64) -> StepResult<()> {
        let pool = self.options.read_pool();
        let mut shards = deployment::floor_shards(self.fleet()?, pool);
        for shard in &mut shards {
            shard.floor = shard.floor.max(share);
        }
        let interval = unix_millis() + FLOOR_EDGE_MS..u64::MAX;
        self.history
            .floor_expectations
            .push(FloorExpectation { shards, interval });
        Ok(())
    }

    /// Fails when fewer than `min_count` requests had an outcome, since the scenario would then
    /// check nothing.
    pub fn expect_outcome(&mut self, outcome: &str, min_count: usize) -> StepResult<()> {
        let outcome: RequestOutcome = outcome.parse().map_err(error_text)?;
        let records = self.history.load_records();
        let count = records
            .iter()
            .filter(|record| record.outcome == outcome)
            .count();
        if count < min_count {
            return Err(format!(
                "{count} requests had the outcome {outcome}, expected at least {min_count}"
            ));
        }
        Ok(())
    }

    /// Adds a violation when requests with `crash` crashed more than `max_count` backend servers,
    /// and fails when they crashed none.
    pub async fn expect_crashed(&mut self, max_count: usize) -> StepResult<()> {
        let requests = self
            .fleet()?
            .fetch_request_records()
            .await
            .map_err(error_text)?;
        let is_crashed = |request: &&BackendRequestRecord| {
            request.target.ends_with("/marked") && request.started.is_some() && !request.completed
        };
        let crashed = requests.iter().filter(is_crashed).count();
        println!("[prove]   {crashed} backend servers crashed");
        if crashed > max_count {
            let text =
                format!("{crashed} backend servers crashed, at most {max_count} are allowed");
            self.history
                .violations
                .push(PropertyViolation::new("floor", text));
        }
        if crashed == 0 {
            return Err("no backend server crashed, so the scenario checks nothing".to_owned());
        }
        Ok(())
    }
}

fn print_outcomes(load: &FinishedLoad) {
    let count = |outcome| {
        load.records
            .iter()
            .filter(|record| record.outcome == outcome)
            .count()
    };
    let mut reasons = collections::BTreeMap::<&str, usize>::new();
    for record in &load.records {
        let reason = record.reason.split(':').next().unwrap_or_default();
        if !reason.is_empty() {
            *reasons.entry(reason).or_default() += 1;
        }
    }
    println!(
        "[prove]   {} requests: {} ran, {} not-run, {} unknown; {reasons:?}",
        load.records.len(),
        count(RequestOutcome::Ran),
        count(RequestOutcome::NotRun),
        count(RequestOutcome::Unknown)
    );
}
