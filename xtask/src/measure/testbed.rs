//! The fleet under measurement and the loads on it.

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
use crate::measure::deployment::DeploymentProfile;
use crate::measure::measurement::{MeasurementLine, QuantileSet, as_float, quantiles_of};

/// Number of callers of a load.
const CALLERS: u32 = 200;
/// Number of documents that short reads request.
const DOCUMENTS: u32 = 400;
/// Start delay at the 99th percentile above which a load is invalid.
///
/// It is a tenth of the shortest time (0.5 s) that the measures with a rate near the capacity must
/// resolve.
const START_DELAY_LIMIT_MS: f64 = 50.0;
/// Duration of the warm-up load, in which gateways open connections and estimate latency medians.
const WARM_UP_SECONDS: u64 = 3;
/// Service time of the requests during warm-up.
pub const WARM_UP_SERVICE_MS: f64 = 30.0;
/// Timeout for all gateways to become ready after the warm-up.
const READY_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Time that a caller waits for a response beyond the longest deadline of a class.
const RESPONSE_GRACE: time::Duration = time::Duration::from_secs(1);
/// Timeout of a request for a status or metrics page.
const PAGE_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Fleet whose gateways use one balancing policy.
pub struct FleetTestbed {
    pub fleet: Fleet,
    pub deployment: DeploymentProfile,
    pub seconds: Option<u64>,
    policy: &'static str,
    seed: u64,
    client: sync::Arc<CallerClient>,
}

/// Result of a finished load.
pub struct LoadResult {
    pub records: Vec<LoadRecord>,
    /// Start in Unix ms.
    pub started_at_ms: u64,
    start_delay: QuantileSet,
}

impl FleetTestbed {
    /// Starts a fleet, adds the delays between failure domains and runs a warm-up load.
    pub async fn start(
        deployment: DeploymentProfile,
        policy: &'static str,
        gateways: u8,
        options: &MeasureOptions,
    ) -> BenchResult<Self> {
        eprintln!("[measure] starting {gateways} gateways with the policy {policy}");
        let config = FleetConfig {
            gateways,
            domains: 3,
            pools: deployment.pool_configs(),
            class_rows: deployment.class_rows(),
            fault_proxy: true,
            policy: Some(policy.to_owned()),
            seed: options.seed,
            ..FleetConfig::default()
        };
        let fleet = Fleet::start(config).await?;
        let delay = |from, to| if from == to { 0.0 } else { deployment.delay_ms };
        let rules = fleet.layout.latency_rules(delay);
        fleet.set_proxy_rules(&rules).await?;
        let mut testbed = Self {
            fleet,
            deployment,
            seconds: options.seconds,
            policy,
            seed: options.seed,
            client: sync::Arc::default(),
        };
        let rate = 0.25 * testbed.capacity(WARM_UP_SERVICE_MS);
        testbed
            .run_load(
                WARM_UP_SECONDS,
                |_| rate,
                |number, random| testbed.read_request(number, random, WARM_UP_SERVICE_MS),
            )
            .await;
        // Peers consider a gateway that starts more than 3 s after them unreachable until its
        // heartbeats arrive.
        testbed.fleet.wait_ready(READY_TIMEOUT).await?;
        Ok(testbed)
    }

    /// Returns the capacity of the main pool in requests per second.
    pub fn capacity(&self, service_ms: f64) -> f64 {
        f64::from(self.deployment.slots()) * 1000.0 / service_ms
    }

    /// Builds a read of a random document by a random caller.
    pub fn read_request(&self, number: u64, random: &mut StdRng, work_ms: f64) -> CallerRequest {
        let document = random.random_range(0..DOCUMENTS);
        let path = format!("{}{document}", self.deployment.path);
        build_request(path, format!("n{number}"), random, work_ms)
    }

    /// Runs an open-loop load through all gateways.
    pub async fn run_load(
        &self,
        seconds: u64,
        rate: impl Fn(time::Duration) -> f64,
        mut next: impl FnMut(u64, &mut StdRng) -> CallerRequest,
    ) -> LoadResult {
        let gateways = &self.fleet.layout.gateways;
        self.run_load_to(seconds, rate, |number, random| {
            let target = gateways[random.random_range(0..gateways.len())].listen;
            (target, next(number, random))
        })
        .await
    }

    /// Runs an open-loop load on the targets that `next` returns.
    pub async fn run_load_to(
        &self,
        seconds: u64,
        rate: impl Fn(time::Duration) -> f64,
        next: impl FnMut(u64, &mut StdRng) -> (net::SocketAddr, CallerRequest),
    ) -> LoadResult {
        let config = LoadConfig {
            seed: self.seed,
            duration: time::Duration::from_secs(seconds),
            request_timeout: time::Duration::from_secs(20) + RESPONSE_GRACE,
        };
        let started_at_ms = unix_millis();
        let records = run_load(sync::Arc::clone(&self.client), config, rate, next).await;
        let start_delay = quantiles_of(records.iter().map(|record| as_millis(record.start_delay)));
        LoadResult {
            records,
            started_at_ms,
            start_delay,
        }
    }

    /// Creates a measurement of a load; it is invalid if the load generator did not keep its
    /// schedule.
    pub fn load_measurement(
        &self,
        measure: &'static str,
        unit: &'static str,
        load_result: &LoadResult,
    ) -> MeasurementLine {
        let line = MeasurementLine {
            valid: load_result.start_delay.p99 <= START_DELAY_LIMIT_MS,
            ..self.new_measurement(measure, unit)
        };
        line.with_detail("requests", load_result.records.len())
            .with_detail("slip_p99_ms", load_result.start_delay.p99)
    }

    /// Creates a measurement without values.
    pub fn new_measurement(&self, measure: &'static str, unit: &'static str) -> MeasurementLine {
        MeasurementLine {
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

    /// Returns the request records of all backend servers since they were last cleared.
    pub async fn fetch_request_records(&self) -> BenchResult<Vec<BackendRequestRecord>> {
        self.fleet.fetch_request_records().await
    }

    /// Clears the request records of all backend servers.
    pub async fn clear_request_records(&self) -> BenchResult<()> {
        for control in &self.fleet.layout.backend_controls {
            let cleared: BenchResult<serde_json::Value> = self
                .fleet
                .send_control_request(hyper::Method::DELETE, *control, "/control/records", &())
                .await;
            cleared?;
        }
        Ok(())
    }

    /// Returns the text of a gateway page, or an empty text if the gateway does not respond.
    pub async fn fetch_page(
        &self,
        status_address: net::SocketAddr,
        request: &CallerRequest,
    ) -> String {
        let response = self
            .client
            .send(status_address, request, PAGE_TIMEOUT)
            .await;
        response.map(|response| response.text()).unwrap_or_default()
    }

    /// Returns the sum of a counter over all gateways and labels.
    pub async fn sum_counter(&self, name: &str) -> u64 {
        let mut sum = 0;
        for gateway in &self.fleet.layout.gateways {
            let request = CallerRequest::new(hyper::Method::GET, "/metrics");
            let text = self.fetch_page(gateway.status_address, &request).await;
            let lines = text.lines().filter(|line| line.starts_with(name));
            let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
            sum += values.sum::<u64>();
        }
        sum
    }
}

/// Builds a request by a random caller.
pub fn build_request(
    path: String,
    nonce: String,
    random: &mut StdRng,
    work_ms: f64,
) -> CallerRequest {
    let caller = random.random_range(0..CALLERS);
    CallerRequest::new(hyper::Method::GET, path)
        .header("x-caller", caller_name(caller))
        .header("request-nonce", nonce)
        .header("work-ms", format!("{work_ms:.3}"))
}

/// Counts the requests without status 200, by status and reason; status 0 means no response.
pub fn count_failures<'a>(records: impl IntoIterator<Item = &'a LoadRecord>) -> serde_json::Value {
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

/// Samples an exponential distribution.
pub fn sample_exponential(random: &mut StdRng, mean: f64) -> f64 {
    -mean * (1.0 - random.random::<f64>()).ln()
}

/// Converts a duration to milliseconds.
pub fn as_millis(duration: time::Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

/// Returns the Unix time in ms, as the stand-ins record it.
pub fn unix_millis() -> u64 {
    let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since_epoch.map_or(0, |since_epoch| {
        u64::try_from(since_epoch.as_millis()).unwrap_or(0)
    })
}

/// Returns the time between two Unix times in ms; 0 if `to` is before `from`.
pub fn elapsed_ms(from: u64, to: u64) -> f64 {
    as_float(to.saturating_sub(from))
}
