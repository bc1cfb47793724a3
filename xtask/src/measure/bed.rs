//! A fleet under measurement and its loads.

use std::collections;
use std::net;
use std::sync;
use std::time;

use rand::Rng;
use rand::rngs::StdRng;
use toucanledge_bench::{
    BackendRequestRecord, BenchResult, CallerClient, CallerRequest, Fleet, FleetConfig, LoadConfig,
    LoadRecord, run_load,
};

use crate::measure::MeasureOptions;
use crate::measure::deployment::Deployment;
use crate::measure::figure::{FigureLine, FigureQuantiles, as_float, spread_of};

/// Callers of a load.
const CALLERS: u32 = 200;
/// Documents that short reads ask for.
const DOCUMENTS: u32 = 400;
/// Lateness of starts, at the 99th percentile, beyond which a load is invalid: a tenth of the
/// shortest time that the measures with a rate near the capacity must resolve (0.5 s).
const SLIP_LIMIT_MS: f64 = 50.0;
/// Time in which connections are opened and medians are learned.
const WARM_UP_SECONDS: u64 = 3;
/// Service time of the requests before the first measure.
pub const WARM_UP_MS: f64 = 30.0;
/// Longest wait until all gateways are ready after the warm-up.
const READY_LIMIT: time::Duration = time::Duration::from_secs(10);
/// Longest wait for an answer beyond the deadline of the class.
const GRACE: time::Duration = time::Duration::from_secs(1);
/// Longest wait for a page of a gateway.
const PAGE_LIMIT: time::Duration = time::Duration::from_secs(5);

/// Fleet with one policy.
pub struct MeasureBed {
    pub fleet: Fleet,
    pub deployment: Deployment,
    pub seconds: Option<u64>,
    policy: &'static str,
    seed: u64,
    client: sync::Arc<CallerClient>,
}

/// What a load gave.
pub struct LoadRun {
    pub records: Vec<LoadRecord>,
    /// Start in ms since 1970.
    pub begun: u64,
    slip: FigureQuantiles,
}

impl MeasureBed {
    /// Starts a fleet with the delays between failure domains and warms it up.
    pub async fn start(
        deployment: Deployment,
        policy: &'static str,
        gateways: u8,
        options: &MeasureOptions,
    ) -> BenchResult<Self> {
        eprintln!("[measure] starts {gateways} gateways with the policy {policy}");
        let plan = FleetConfig {
            gateways,
            domains: 3,
            pools: deployment.pool_plans(),
            class_rows: deployment.class_rows(),
            fault_proxy: true,
            policy: Some(policy.to_owned()),
            seed: options.seed,
            ..FleetConfig::default()
        };
        let fleet = Fleet::start(plan).await?;
        let delay = |from, to| if from == to { 0.0 } else { deployment.delay_ms };
        let rules = fleet.layout.latency_rules(delay);
        fleet.set_proxy_rules(&rules).await?;
        let mut bed = Self {
            fleet,
            deployment,
            seconds: options.seconds,
            policy,
            seed: options.seed,
            client: sync::Arc::default(),
        };
        let rate = 0.25 * bed.capacity(WARM_UP_MS);
        bed.load(
            WARM_UP_SECONDS,
            |_| rate,
            |number, random| bed.read(number, random, WARM_UP_MS),
        )
        .await;
        // A gateway that started more than 3 s after the first is not heard for a while.
        bed.fleet.wait_ready(READY_LIMIT).await?;
        Ok(bed)
    }

    /// Returns the requests a second that all slots of the main pool serve.
    pub fn capacity(&self, service_ms: f64) -> f64 {
        f64::from(self.deployment.slots()) * 1000.0 / service_ms
    }

    /// Returns a short read with this service time by one of the callers.
    pub fn read(&self, number: u64, random: &mut StdRng, work_ms: f64) -> CallerRequest {
        let document = random.random_range(0..DOCUMENTS);
        let path = format!("{}{document}", self.deployment.path);
        request(path, format!("n{number}"), random, work_ms)
    }

    /// Runs an open-loop load through all gateways.
    pub async fn load(
        &self,
        seconds: u64,
        rate: impl Fn(time::Duration) -> f64,
        mut next: impl FnMut(u64, &mut StdRng) -> CallerRequest,
    ) -> LoadRun {
        let gateways = &self.fleet.layout.gateways;
        self.load_to(seconds, rate, |number, random| {
            let target = gateways[random.random_range(0..gateways.len())].listen;
            (target, next(number, random))
        })
        .await
    }

    /// Runs an open-loop load on any targets.
    pub async fn load_to(
        &self,
        seconds: u64,
        rate: impl Fn(time::Duration) -> f64,
        next: impl FnMut(u64, &mut StdRng) -> (net::SocketAddr, CallerRequest),
    ) -> LoadRun {
        let plan = LoadConfig {
            seed: self.seed,
            duration: time::Duration::from_secs(seconds),
            request_timeout: time::Duration::from_secs(20) + GRACE,
        };
        let begun = unix_millis();
        let records = run_load(sync::Arc::clone(&self.client), plan, rate, next).await;
        let slip = spread_of(records.iter().map(|record| as_millis(record.start_delay)));
        LoadRun {
            records,
            begun,
            slip,
        }
    }

    /// Returns a line without figures for a load, marked invalid when the load was late.
    pub fn line(&self, measure: &'static str, unit: &'static str, run: &LoadRun) -> FigureLine {
        let line = FigureLine {
            valid: run.slip.p99 <= SLIP_LIMIT_MS,
            ..self.plain_line(measure, unit)
        };
        line.detail("requests", run.records.len())
            .detail("slip_p99_ms", run.slip.p99)
    }

    /// Returns a line without figures.
    pub fn plain_line(&self, measure: &'static str, unit: &'static str) -> FigureLine {
        FigureLine {
            measure,
            deployment: self.deployment.name,
            policy: self.policy,
            seed: self.seed,
            gateways: self.fleet.config.gateways,
            unit,
            count: 0,
            value: None,
            quantiles: None,
            valid: true,
            details: serde_json::Map::new(),
        }
    }

    /// Returns the records of all backend servers since they were last cleared.
    pub async fn records(&self) -> BenchResult<Vec<BackendRequestRecord>> {
        self.fleet.fetch_request_records().await
    }

    pub async fn clear_records(&self) -> BenchResult<()> {
        for control in &self.fleet.layout.backend_controls {
            let cleared: BenchResult<serde_json::Value> = self
                .fleet
                .send_control_request(hyper::Method::DELETE, *control, "/control/records", &())
                .await;
            cleared?;
        }
        Ok(())
    }

    /// Returns a page of a gateway; it is empty when the gateway does not answer.
    pub async fn page(&self, status: net::SocketAddr, request: &CallerRequest) -> String {
        let answer = self.client.send(status, request, PAGE_LIMIT).await;
        answer.map(|answer| answer.text()).unwrap_or_default()
    }

    /// Returns the sum of a counter over all gateways and labels.
    pub async fn counter(&self, name: &str) -> u64 {
        let mut sum = 0;
        for place in &self.fleet.layout.gateways {
            let request = CallerRequest::new(hyper::Method::GET, "/metrics");
            let text = self.page(place.status_address, &request).await;
            let lines = text.lines().filter(|line| line.starts_with(name));
            let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
            sum += values.sum::<u64>();
        }
        sum
    }
}

/// Returns a request by one of the callers.
pub fn request(path: String, nonce: String, random: &mut StdRng, work_ms: f64) -> CallerRequest {
    let caller = random.random_range(0..CALLERS);
    CallerRequest::new(hyper::Method::GET, path)
        .header("x-caller", caller_name(caller))
        .header("request-nonce", nonce)
        .header("work-ms", format!("{work_ms:.3}"))
}

/// Returns the number of requests without status 200, by status and reason.
pub fn failures<'a>(records: impl IntoIterator<Item = &'a LoadRecord>) -> serde_json::Value {
    let mut failures = collections::BTreeMap::<String, u64>::new();
    for record in records {
        if record.status != Some(200) {
            let status = record.status.unwrap_or(0);
            *failures
                .entry(format!("{status} {}", record.reason))
                .or_default() += 1;
        }
    }
    serde_json::json!(failures)
}

/// Returns the name of a caller of the loads.
pub fn caller_name(caller: u32) -> String {
    format!("caller-{caller}")
}

/// Draws from an exponential distribution.
pub fn exponential(random: &mut StdRng, mean: f64) -> f64 {
    -mean * (1.0 - random.random::<f64>()).ln()
}

pub fn as_millis(duration: time::Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

/// Returns the wall clock in ms since 1970, as the stand-ins record it.
pub fn unix_millis() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0))
}

/// Returns the ms from one time to a later one.
pub fn between(from: u64, to: u64) -> f64 {
    as_float(to.saturating_sub(from))
}
