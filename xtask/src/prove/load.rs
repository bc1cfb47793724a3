//! Open-loop loads in the background of a scenario, and the simulated load balancer in front of
//! the gateways.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use rand::Rng;
use rand::rngs;
use serde::Deserialize;
use toucanledge_bench::{CallerClient, CallerRequest, LoadConfig, LoadRecord};

/// Longest duration of a load; scenarios stop their loads earlier.
const MAX_LOAD_DURATION: time::Duration = time::Duration::from_mins(2);
/// Time until the load balancer detects a failed gateway and takes it out of rotation.
const HEALTH_CHECK_DELAY: time::Duration = time::Duration::from_millis(500);
/// Number of callers that send the requests of a load in turn.
const CALLERS: u64 = 40;

/// Options of a load, as a scenario passes them.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadOptions {
    /// Requests per second.
    pub rate: f64,
    /// Whether to send writes with an idempotency key instead of reads.
    pub writes: bool,
    /// Whether to send writes without a key, as a user does who submits the same form several
    /// times.
    pub presses: bool,
    /// Number of times that each key or form is submitted.
    pub repeats: u64,
    /// Time over which the submissions of one key or form are spread.
    pub over_ms: f64,
    /// Service time at the backend server; if absent, the server samples one.
    pub work_ms: Option<u64>,
    /// Length of the responses.
    pub bytes: u64,
    /// Path that replaces the main path of the deployment.
    pub path: Option<String>,
    /// Whether a request crashes the backend server that executes it.
    pub crash: bool,
    /// Number of requests after which the load stops; 0 for no limit.
    pub count: u64,
    /// Timeout of a caller.
    pub limit_s: u64,
    /// Gateways that get the requests; if empty, all in rotation.
    pub via: Vec<usize>,
    /// Factor on the rate in every other second.
    pub swing: f64,
}

impl Default for LoadOptions {
    fn default() -> Self {
        Self {
            rate: 200.0,
            writes: false,
            presses: false,
            repeats: 1,
            over_ms: 500.0,
            work_ms: None,
            bytes: 256,
            path: None,
            crash: false,
            count: 0,
            limit_s: 6,
            via: Vec::new(),
            swing: 1.0,
        }
    }
}

/// Simulated load balancer in front of the gateways.
pub struct LoadBalancer {
    addresses: Vec<net::SocketAddr>,
    unhealthy_since: sync::Mutex<Vec<Option<time::Instant>>>,
}

/// Finished load with the results of its requests.
pub struct FinishedLoad {
    /// Start in Unix ms.
    pub started: u64,
    /// One record for each request.
    pub records: Vec<LoadRecord>,
}

/// Running load.
pub struct RunningLoad {
    started: u64,
    is_stopped: sync::Arc<atomic::AtomicBool>,
    task: tokio::task::JoinHandle<Vec<LoadRecord>>,
}

impl LoadBalancer {
    /// Creates a load balancer with all gateways in rotation.
    pub fn new(addresses: Vec<net::SocketAddr>) -> Self {
        let unhealthy_since = sync::Mutex::new(vec![None; addresses.len()]);
        Self {
            addresses,
            unhealthy_since,
        }
    }

    /// Takes a gateway out of rotation after the delay of a health check, or puts it back at once.
    pub fn set_healthy(&self, gateway: usize, is_healthy: bool) {
        let mut unhealthy_since = self.lock();
        unhealthy_since[gateway] = (!is_healthy).then(time::Instant::now);
    }

    fn lock(&self) -> sync::MutexGuard<'_, Vec<Option<time::Instant>>> {
        let locked = self.unhealthy_since.lock();
        locked.unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Picks one of the given gateways or, if none is given, one in rotation.
    fn pick_gateway(&self, via: &[usize], random: &mut rngs::StdRng) -> net::SocketAddr {
        if !via.is_empty() {
            return self.addresses[via[random.random_range(0..via.len())]];
        }
        let unhealthy_since = self.lock();
        let is_in_rotation = |index: &usize| {
            unhealthy_since[*index].is_none_or(|since| since.elapsed() < HEALTH_CHECK_DELAY)
        };
        let in_rotation: Vec<usize> = (0..unhealthy_since.len()).filter(is_in_rotation).collect();
        let index = in_rotation.get(random.random_range(0..in_rotation.len().max(1)));
        self.addresses[index.copied().unwrap_or(0)]
    }
}

impl RunningLoad {
    /// Starts a load; `name` is the prefix of all its keys.
    pub fn start(
        options: LoadOptions,
        name: String,
        path: &'static str,
        seed: u64,
        balancer: sync::Arc<LoadBalancer>,
    ) -> Self {
        let is_stopped = sync::Arc::new(atomic::AtomicBool::new(false));
        let sent = sync::Arc::new(atomic::AtomicU64::new(0));
        let config = LoadConfig {
            seed,
            duration: MAX_LOAD_DURATION,
            request_timeout: time::Duration::from_secs(options.limit_s),
        };
        let (stopped, count) = (sync::Arc::clone(&is_stopped), sync::Arc::clone(&sent));
        let (rate, swing, max_count) = (options.rate, options.swing, options.count);
        let rate = move |at: time::Duration| {
            let is_complete = max_count > 0 && count.load(atomic::Ordering::Relaxed) >= max_count;
            if is_complete || stopped.load(atomic::Ordering::Relaxed) {
                return 0.0;
            }
            let is_high = at.as_secs() % 2 == 1;
            if is_high { rate * swing } else { rate }
        };
        let next = move |number: u64, random: &mut rngs::StdRng| {
            sent.store(number + 1, atomic::Ordering::Relaxed);
            let target = balancer.pick_gateway(&options.via, random);
            (target, options.request(&name, path, number))
        };
        let client = sync::Arc::new(CallerClient::default());
        Self {
            started: toucanledge_bench::unix_millis(),
            is_stopped,
            task: tokio::spawn(toucanledge_bench::run_load(client, config, rate, next)),
        }
    }

    /// Stops sending requests and waits for the responses.
    pub async fn stop(self) -> Result<FinishedLoad, String> {
        self.is_stopped.store(true, atomic::Ordering::Relaxed);
        self.wait().await
    }

    /// Waits until the load has sent `count` requests and got their responses.
    pub async fn wait(self) -> Result<FinishedLoad, String> {
        let records = self.task.await.map_err(|error| error.to_string())?;
        Ok(FinishedLoad {
            started: self.started,
            records,
        })
    }
}

impl LoadOptions {
    /// Builds the request with this number.
    ///
    /// Two submissions of one key have a block of other keys between them, so that the submissions
    /// spread over `over_ms`.
    fn request(&self, name: &str, path: &str, number: u64) -> CallerRequest {
        let block = self.block_length();
        let in_round = number % (block * self.repeats);
        let item = number / (block * self.repeats) * block + in_round % block;
        let submission = in_round / block;
        let is_write = self.writes || self.presses;
        let method = if is_write {
            hyper::Method::POST
        } else {
            hyper::Method::GET
        };
        let path = self.path.as_deref().unwrap_or(path);
        let key = format!("{name}-{item}");
        // All requests with `crash` have the same path and caller, and so the same fingerprint.
        let (document, caller) = if self.crash {
            ("marked".to_owned(), 0)
        } else {
            (format!("{name}-{item}"), item % CALLERS)
        };
        let mut request = CallerRequest::new(method, format!("{path}{document}"))
            .header("x-caller", format!("caller-{caller}"))
            .header("request-nonce", format!("{key}/{submission}"))
            .header("answer-bytes", self.bytes.to_string());
        if self.writes {
            request = request.header("idempotency-key", key);
        }
        if let Some(work_ms) = self.work_ms {
            request = request.header("work-ms", work_ms.to_string());
        }
        if self.crash {
            request = request.header("crash", "1");
        }
        request
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    /// Returns the number of keys in a block.
    fn block_length(&self) -> u64 {
        if self.repeats < 2 {
            return 1;
        }
        #[allow(clippy::cast_precision_loss)]
        let gaps = (self.repeats - 1) as f64;
        ((self.rate * self.over_ms / 1000.0 / gaps) as u64).max(1)
    }
}
