//! Steps with loads, and what is expected of them.

use std::collections;
use std::sync;

use rand::Rng;
use toucanledge_bench::{BackendRequestRecord, unix_millis};
use toucanledge_core::RequestOutcome;

use super::{Stage, StepResult, text};
use crate::prove::deployment;
use crate::prove::judge::{Finding, FloorWatch};
use crate::prove::load::{EndedLoad, LoadShape, RunningLoad};

/// Time at both ends of a load in which the floor is not watched.
const FLOOR_EDGE_MS: u64 = 500;

impl Stage {
    /// Starts a load in the background.
    pub fn start_load(&mut self, shape: LoadShape) {
        let _context = self.handle.enter();
        let is_write = shape.writes || shape.presses;
        let name = format!(
            "{}-{}",
            self.scenario,
            self.random.random_range(0..1_000_000)
        );
        let seed = self.random.random();
        let path = self.options.path(is_write);
        let balancer = sync::Arc::clone(&self.balancer);
        let load = RunningLoad::start(shape, name, path, seed, balancer);
        self.running.push(load);
    }

    /// Sends a request again and again, each time after the answer to the one before.
    pub async fn resend(&mut self, shape: LoadShape, times: usize) -> StepResult<()> {
        for _ in 0..times {
            self.start_load(LoadShape {
                rate: 1000.0,
                count: 1,
                ..shape.clone()
            });
            if let Some(load) = self.running.pop() {
                let ended = load.finish().await?;
                self.told.extend(ended.told.iter().cloned());
                self.journal.loads.push(ended);
            }
        }
        Ok(())
    }

    /// Ends all loads and waits for their answers; returns the number of requests.
    pub async fn end_loads(&mut self) -> StepResult<usize> {
        let ending = unix_millis();
        let mut count = 0;
        for load in std::mem::take(&mut self.running) {
            let ended = load.end().await?;
            count += ended.told.len();
            print_told(&ended);
            self.told.extend(ended.told.iter().cloned());
            self.journal.loads.push(ended);
        }
        for watch in &mut self.journal.floors {
            watch.times.end = watch.times.end.min(ending - FLOOR_EDGE_MS);
        }
        Ok(count)
    }

    /// Watches the floor from now to the end of the loads; `share` replaces the table's floor by a
    /// greater one, for faults that must eject nothing.
    pub fn watch_floor(&mut self, share: f64) -> StepResult<()> {
        let pool = self.options.read_pool();
        let mut shards = deployment::shards(self.fleet()?, pool);
        for shard in &mut shards {
            shard.floor = shard.floor.max(share);
        }
        let times = unix_millis() + FLOOR_EDGE_MS..u64::MAX;
        self.journal.floors.push(FloorWatch { shards, times });
        Ok(())
    }

    /// Adds a finding when fewer requests than this were told an outcome; else the scenario would
    /// show nothing.
    pub fn expect_told(&mut self, outcome: &str, least: usize) -> StepResult<()> {
        let outcome: RequestOutcome = outcome.parse().map_err(text)?;
        let told = self.journal.told();
        let count = told
            .iter()
            .filter(|record| record.outcome == outcome)
            .count();
        if count < least {
            return Err(format!(
                "only {count} of {least} requests were told {outcome}"
            ));
        }
        Ok(())
    }

    /// Adds a finding when the marked requests of this scenario ran at more than this many servers.
    pub async fn expect_crashed(&mut self, most: usize) -> StepResult<()> {
        let runs = self.fleet()?.fetch_request_records().await.map_err(text)?;
        let is_lost = |run: &&BackendRequestRecord| {
            run.target.ends_with("/marked") && run.started.is_some() && !run.completed
        };
        let lost = runs.iter().filter(is_lost).count();
        println!("[prove]   the marked request cost {lost} backend servers");
        if lost > most {
            let text = format!(
                "the marked request cost {lost} backend servers, at most {most} are allowed"
            );
            self.journal.findings.push(Finding::new("floor", text));
        }
        if lost == 0 {
            return Err("no backend server crashed".to_owned());
        }
        Ok(())
    }
}

fn print_told(load: &EndedLoad) {
    let count = |outcome| {
        load.told
            .iter()
            .filter(|record| record.outcome == outcome)
            .count()
    };
    let mut reasons = collections::BTreeMap::<&str, usize>::new();
    for record in &load.told {
        let reason = record.reason.split(':').next().unwrap_or_default();
        if !reason.is_empty() {
            *reasons.entry(reason).or_default() += 1;
        }
    }
    println!(
        "[prove]   {} requests: {} ran, {} not-run, {} unknown; {reasons:?}",
        load.told.len(),
        count(RequestOutcome::Ran),
        count(RequestOutcome::NotRun),
        count(RequestOutcome::Unknown)
    );
}
