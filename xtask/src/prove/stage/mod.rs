//! The fleet of a point and the steps that scenarios take with it.

mod gateways;
mod loads;
mod platform;

use std::fs;
use std::path;
use std::sync;
use std::time;

use rand::SeedableRng;
use rand::rngs;
use rand::seq::SliceRandom;
use toucanledge_bench::{FaultInterval, Fleet, ProxyRule, ServerLayout, TableObservation};
use toucanledge_core::VmState;

use crate::prove::deployment::FleetOptions;
use crate::prove::judge;
use crate::prove::judge::Journal;
use crate::prove::load::{Balancer, RunningLoad};

/// Time between two looks at the status of a gateway.
const WATCH_PERIOD: time::Duration = time::Duration::from_millis(200);
/// Longest wait for a status page; a frozen gateway does not answer.
const STATUS_LIMIT: time::Duration = time::Duration::from_secs(1);
/// Longest wait until a started gateway is ready.
const READY_LIMIT: time::Duration = time::Duration::from_secs(10);

/// Result of a step; the error ends the scenario.
pub type StepResult<T> = Result<T, String>;

/// Fleet of a point with what happened to it.
pub struct Stage {
    /// Runs the asynchronous steps from the thread of the script.
    pub handle: tokio::runtime::Handle,
    /// Operations that the checks looked at.
    pub operations: usize,
    /// Breaches found.
    pub findings: usize,
    policy: Option<String>,
    gateway_binary: Option<path::PathBuf>,
    seed: u64,
    random: rngs::StdRng,
    scenario: String,
    options: FleetOptions,
    fleet: Option<Fleet>,
    balancer: sync::Arc<Balancer>,
    rules: Vec<ProxyRule>,
    running: Vec<RunningLoad>,
    watchers: Vec<tokio::task::JoinHandle<()>>,
    sights: sync::Arc<sync::Mutex<Vec<TableObservation>>>,
    journal: Journal,
    told: Vec<toucanledge_bench::LoadRecord>,
}

impl Stage {
    /// Returns a stage without a fleet.
    pub fn new(
        handle: tokio::runtime::Handle,
        seed: u64,
        policy: Option<String>,
        gateway_binary: Option<path::PathBuf>,
    ) -> Self {
        Self {
            handle,
            operations: 0,
            findings: 0,
            policy,
            gateway_binary,
            seed,
            random: rngs::StdRng::seed_from_u64(seed),
            scenario: String::new(),
            options: FleetOptions::default(),
            fleet: None,
            balancer: sync::Arc::new(Balancer::new(Vec::new())),
            rules: Vec::new(),
            running: Vec::new(),
            watchers: Vec::new(),
            sights: sync::Arc::default(),
            journal: Journal::default(),
            told: Vec::new(),
        }
    }

    /// Begins a scenario.
    pub fn begin(&mut self, name: &str) {
        name.clone_into(&mut self.scenario);
        self.journal = Journal::default();
    }

    /// Starts a fleet, or uses the one that runs when it was started with the same options.
    pub async fn start_fleet(&mut self, options: FleetOptions) -> StepResult<()> {
        if self.fleet.is_some() && self.options == options {
            return Ok(());
        }
        self.close_fleet().await?;
        let mut plan = options.plan()?;
        plan.policy.clone_from(&self.policy);
        plan.gateway_binary.clone_from(&self.gateway_binary);
        plan.seed = self.seed;
        let started = time::Instant::now();
        let fleet = Fleet::start(plan).await.map_err(text)?;
        println!(
            "[prove]   {} with {} gateways and {} backend servers, ready after {:.1} s; logs in {}",
            options.deployment,
            options.gateways,
            fleet.layout.servers.len(),
            started.elapsed().as_secs_f64(),
            fleet.folder().display()
        );
        let gateways = fleet.layout.gateways.iter();
        self.balancer = sync::Arc::new(Balancer::new(gateways.map(|place| place.listen).collect()));
        self.options = options;
        self.fleet = Some(fleet);
        Ok(())
    }

    /// Returns the fleet.
    pub fn fleet(&mut self) -> StepResult<&mut Fleet> {
        self.fleet
            .as_mut()
            .ok_or_else(|| "no fleet runs".to_owned())
    }

    /// Returns gateways drawn by the seed, none of them twice.
    pub fn pick_gateways(&mut self, count: usize) -> StepResult<Vec<usize>> {
        let all = self.fleet()?.layout.gateways.len();
        let mut indices: Vec<usize> = (0..all).collect();
        indices.shuffle(&mut self.random);
        indices.truncate(count);
        Ok(indices)
    }

    /// Returns live backend servers drawn by the seed, this many in each failure domain of a pool.
    pub fn pick_servers(&mut self, pool: &str, each: usize) -> StepResult<Vec<usize>> {
        let fleet = self.fleet()?;
        let places = fleet.layout.servers.clone();
        let entries = fleet.vm_entries.iter();
        let live = entries.filter(|entry| entry.state == VmState::Live);
        let live: Vec<_> = live.map(|entry| entry.vm).collect();
        let is_usable =
            |place: &ServerLayout| place.pool == pool && live.contains(&place.settings.vm);
        let mut indices: Vec<usize> = (0..places.len())
            .filter(|index| is_usable(&places[*index]))
            .collect();
        indices.shuffle(&mut self.random);
        let mut chosen = Vec::new();
        for domain in 1..=3 {
            let own = indices
                .iter()
                .filter(|index| places[**index].domain.0 == domain);
            chosen.extend(own.take(each).copied());
        }
        Ok(chosen)
    }

    /// Checks everything that happened since the start of the scenario and begins anew.
    pub async fn check(&mut self) -> StepResult<()> {
        self.end_loads().await?;
        for watcher in self.watchers.drain(..) {
            watcher.abort();
        }
        let runs = self.fleet()?.fetch_request_records().await.map_err(text)?;
        let mut journal = std::mem::take(&mut self.journal);
        journal.sights = std::mem::take(&mut *lock(&self.sights));
        let mut findings = std::mem::take(&mut journal.findings);
        findings.extend(journal.check(&runs));
        judge::print(&findings);
        if !findings.is_empty() {
            self.keep_logs()?;
        }
        self.operations += journal.operations();
        self.findings += findings.len();
        // Faults that are still open concern the next check on the same fleet as well.
        let open = journal
            .faults
            .into_iter()
            .filter(|span: &FaultInterval| span.interval.end == u64::MAX);
        self.journal.faults = open.collect();
        Ok(())
    }

    /// Copies the logs of the fleet, which are removed with it.
    fn keep_logs(&mut self) -> StepResult<()> {
        let kept = path::Path::new("target/prove").join(format!("{}-{}", self.scenario, self.seed));
        fs::create_dir_all(&kept).map_err(text)?;
        let entries = fs::read_dir(self.fleet()?.folder()).map_err(text)?;
        for entry in entries.filter_map(Result::ok) {
            fs::copy(entry.path(), kept.join(entry.file_name())).map_err(text)?;
        }
        println!("[prove]   logs are kept in {}", kept.display());
        Ok(())
    }

    /// Ends a scenario: checks what was not checked.
    pub fn end(&mut self) -> StepResult<()> {
        let is_checked = self.running.is_empty() && self.journal.operations() == 0;
        if is_checked && self.journal.findings.is_empty() {
            return Ok(());
        }
        let handle = self.handle.clone();
        handle.block_on(self.check())
    }

    /// Ends the fleet after a last check of everything that callers were told.
    pub fn close(&mut self) -> StepResult<()> {
        let handle = self.handle.clone();
        handle.block_on(self.close_fleet())
    }

    async fn close_fleet(&mut self) -> StepResult<()> {
        let Some(fleet) = self.fleet.take() else {
            return Ok(());
        };
        // Requests that a cut or freeze held back may have run since their scenario ended.
        let runs = fleet.fetch_request_records().await.map_err(text)?;
        let findings = judge::check_told(&std::mem::take(&mut self.told), &runs);
        if self.findings == 0 {
            judge::print(&findings);
            self.findings += findings.len();
        }
        Ok(())
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

fn text(error: impl std::fmt::Display) -> String {
    format!("{error:#}")
}
