//! Runs the steps of scenarios on the test fleet of one property.

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
use crate::prove::history;
use crate::prove::history::ScenarioHistory;
use crate::prove::load::{LoadBalancer, RunningLoad};

/// Time between two status requests to a gateway.
const STATUS_POLL_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Timeout of a status request; a frozen gateway does not respond.
const STATUS_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Timeout for a started gateway to become ready.
const READY_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Result of a step; an error ends the scenario.
pub type StepResult<T> = Result<T, String>;

/// Runs scenarios on the fleet of one property and counts violations.
pub struct ScenarioRunner {
    /// Runtime on which the script thread runs asynchronous steps.
    pub handle: tokio::runtime::Handle,
    /// Number of checked operations.
    pub operations: usize,
    /// Number of violations.
    pub violations: usize,
    policy: Option<String>,
    gateway_binary: Option<path::PathBuf>,
    seed: u64,
    random: rngs::StdRng,
    scenario: String,
    options: FleetOptions,
    fleet: Option<Fleet>,
    balancer: sync::Arc<LoadBalancer>,
    rules: Vec<ProxyRule>,
    running: Vec<RunningLoad>,
    pollers: Vec<tokio::task::JoinHandle<()>>,
    table_observations: sync::Arc<sync::Mutex<Vec<TableObservation>>>,
    history: ScenarioHistory,
    load_records: Vec<toucanledge_bench::LoadRecord>,
}

impl ScenarioRunner {
    /// Creates a runner without a fleet.
    pub fn new(
        handle: tokio::runtime::Handle,
        seed: u64,
        policy: Option<String>,
        gateway_binary: Option<path::PathBuf>,
    ) -> Self {
        Self {
            handle,
            operations: 0,
            violations: 0,
            policy,
            gateway_binary,
            seed,
            random: rngs::StdRng::seed_from_u64(seed),
            scenario: String::new(),
            options: FleetOptions::default(),
            fleet: None,
            balancer: sync::Arc::new(LoadBalancer::new(Vec::new())),
            rules: Vec::new(),
            running: Vec::new(),
            pollers: Vec::new(),
            table_observations: sync::Arc::default(),
            history: ScenarioHistory::default(),
            load_records: Vec::new(),
        }
    }

    /// Starts a scenario with an empty history.
    pub fn begin_scenario(&mut self, name: &str) {
        name.clone_into(&mut self.scenario);
        self.history = ScenarioHistory::default();
    }

    /// Starts a fleet, or keeps the running one if it has the same options.
    pub async fn start_fleet(&mut self, options: FleetOptions) -> StepResult<()> {
        if self.fleet.is_some() && self.options == options {
            return Ok(());
        }
        self.shut_down_fleet().await?;
        let mut config = options.fleet_config()?;
        config.policy.clone_from(&self.policy);
        config.gateway_binary.clone_from(&self.gateway_binary);
        config.seed = self.seed;
        let started = time::Instant::now();
        let fleet = Fleet::start(config).await.map_err(error_text)?;
        println!(
            "[prove]   {} with {} gateways and {} backend servers, ready after {:.1} s; logs in {}",
            options.deployment,
            options.gateways,
            fleet.layout.servers.len(),
            started.elapsed().as_secs_f64(),
            fleet.folder().display()
        );
        let gateways = fleet.layout.gateways.iter();
        self.balancer = sync::Arc::new(LoadBalancer::new(
            gateways.map(|layout| layout.listen).collect(),
        ));
        self.options = options;
        self.fleet = Some(fleet);
        Ok(())
    }

    /// Returns the running fleet.
    pub fn fleet(&mut self) -> StepResult<&mut Fleet> {
        self.fleet
            .as_mut()
            .ok_or_else(|| "no fleet is running; call fleet() first".to_owned())
    }

    /// Returns the indices of random, distinct gateways.
    pub fn pick_gateways(&mut self, count: usize) -> StepResult<Vec<usize>> {
        let gateway_count = self.fleet()?.layout.gateways.len();
        let mut indices: Vec<usize> = (0..gateway_count).collect();
        indices.shuffle(&mut self.random);
        indices.truncate(count);
        Ok(indices)
    }

    /// Returns the indices of random live backend servers of a pool, `per_domain` in every failure
    /// domain.
    pub fn pick_servers(&mut self, pool: &str, per_domain: usize) -> StepResult<Vec<usize>> {
        let fleet = self.fleet()?;
        let servers = fleet.layout.servers.clone();
        let entries = fleet.vm_entries.iter();
        let live = entries.filter(|entry| entry.state == VmState::Live);
        let live: Vec<_> = live.map(|entry| entry.vm).collect();
        let is_usable =
            |server: &ServerLayout| server.pool == pool && live.contains(&server.settings.vm);
        let mut indices: Vec<usize> = (0..servers.len())
            .filter(|index| is_usable(&servers[*index]))
            .collect();
        indices.shuffle(&mut self.random);
        let mut chosen = Vec::new();
        for domain in 1..=3 {
            let in_domain = indices
                .iter()
                .filter(|index| servers[**index].domain.0 == domain);
            chosen.extend(in_domain.take(per_domain).copied());
        }
        Ok(chosen)
    }

    /// Stops all loads, checks the history since the last check and starts a new one.
    pub async fn check(&mut self) -> StepResult<()> {
        self.end_loads().await?;
        for poller in self.pollers.drain(..) {
            poller.abort();
        }
        let requests = self
            .fleet()?
            .fetch_request_records()
            .await
            .map_err(error_text)?;
        let mut history = std::mem::take(&mut self.history);
        history.table_observations = std::mem::take(&mut *lock(&self.table_observations));
        let mut violations = std::mem::take(&mut history.violations);
        violations.extend(history.check(&requests));
        history::print_violations(&violations);
        if !violations.is_empty() {
            self.save_logs()?;
        }
        self.operations += history.operations();
        self.violations += violations.len();
        // Ongoing faults also apply to the next check of the same scenario.
        let ongoing = history
            .faults
            .into_iter()
            .filter(|fault: &FaultInterval| fault.interval.end == u64::MAX);
        self.history.faults = ongoing.collect();
        Ok(())
    }

    /// Copies the logs of the fleet, since its folder is removed with the fleet.
    fn save_logs(&mut self) -> StepResult<()> {
        let folder =
            path::Path::new("target/prove").join(format!("{}-{}", self.scenario, self.seed));
        fs::create_dir_all(&folder).map_err(error_text)?;
        let entries = fs::read_dir(self.fleet()?.folder()).map_err(error_text)?;
        for entry in entries.filter_map(Result::ok) {
            fs::copy(entry.path(), folder.join(entry.file_name())).map_err(error_text)?;
        }
        println!("[prove]   logs saved in {}", folder.display());
        Ok(())
    }

    /// Finishes a scenario and checks what is not checked yet.
    pub fn finish_scenario(&mut self) -> StepResult<()> {
        let is_checked = self.running.is_empty() && self.history.operations() == 0;
        if is_checked && self.history.violations.is_empty() {
            return Ok(());
        }
        let handle = self.handle.clone();
        handle.block_on(self.check())
    }

    /// Shuts down the fleet after a last check of all request results.
    pub fn shut_down(&mut self) -> StepResult<()> {
        let handle = self.handle.clone();
        handle.block_on(self.shut_down_fleet())
    }

    async fn shut_down_fleet(&mut self) -> StepResult<()> {
        let Some(fleet) = self.fleet.take() else {
            return Ok(());
        };
        // Requests delayed by a partition or a frozen gateway may have been executed after their
        // scenario ended.
        let requests = fleet.fetch_request_records().await.map_err(error_text)?;
        let violations =
            history::check_load_records(&std::mem::take(&mut self.load_records), &requests);
        if self.violations == 0 {
            history::print_violations(&violations);
            self.violations += violations.len();
        }
        Ok(())
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

fn error_text(error: impl std::fmt::Display) -> String {
    format!("{error:#}")
}
