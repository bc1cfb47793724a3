//! Loads that run in the background of a scenario, and the gateways that they are sent to.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use rand::Rng;
use rand::rngs;
use serde::Deserialize;
use toucanledge_bench::{CallerClient, CallerRequest, LoadConfig, LoadRecord};

/// Longest time in which requests of a load start; scenarios end their loads before.
const LONGEST: time::Duration = time::Duration::from_mins(2);
/// Time until the load balancer takes a gateway out that does not answer its health check.
const BALANCER_DELAY: time::Duration = time::Duration::from_millis(500);
/// Callers that send the requests of a load in turn.
const CALLERS: u64 = 40;

/// What a load sends.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadShape {
    /// Requests a second.
    pub rate: f64,
    /// Writes with a key in place of reads.
    pub writes: bool,
    /// Writes without a key, each form pressed as often as `repeats` says.
    pub presses: bool,
    /// Submissions of each key or form.
    pub repeats: u64,
    /// Time over which the submissions of one key are spread.
    pub over_ms: f64,
    /// Time of the work at a backend server.
    pub work_ms: Option<u64>,
    /// Length of the answers.
    pub bytes: u64,
    /// Path in place of the deployment's main path.
    pub path: Option<String>,
    /// Whether the backend server that runs a request crashes.
    pub crash: bool,
    /// Number of requests after which the load ends by itself; 0 for no limit.
    pub count: u64,
    /// Longest wait of a caller.
    pub limit_s: u64,
    /// Gateways that get the requests; all that the load balancer uses when empty.
    pub via: Vec<usize>,
    /// Factor on the rate in every second second.
    pub swing: f64,
}

impl Default for LoadShape {
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

/// Gateways that the load balancer in front of the fleet uses.
pub struct Balancer {
    addresses: Vec<net::SocketAddr>,
    out_since: sync::Mutex<Vec<Option<time::Instant>>>,
}

/// Load that was ended, with what its callers were told.
pub struct EndedLoad {
    /// Start in ms since 1970.
    pub started: u64,
    /// One record for each request.
    pub told: Vec<LoadRecord>,
}

/// Load that runs.
pub struct RunningLoad {
    started: u64,
    ended: sync::Arc<atomic::AtomicBool>,
    task: tokio::task::JoinHandle<Vec<LoadRecord>>,
}

impl Balancer {
    /// Returns a load balancer that uses all gateways.
    pub fn new(addresses: Vec<net::SocketAddr>) -> Self {
        let out_since = sync::Mutex::new(vec![None; addresses.len()]);
        Self {
            addresses,
            out_since,
        }
    }

    /// Takes a gateway out after the delay of a health check, or uses it again.
    pub fn set(&self, gateway: usize, is_up: bool) {
        let mut out = self.lock();
        out[gateway] = (!is_up).then(time::Instant::now);
    }

    fn lock(&self) -> sync::MutexGuard<'_, Vec<Option<time::Instant>>> {
        let locked = self.out_since.lock();
        locked.unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn choose(&self, via: &[usize], random: &mut rngs::StdRng) -> net::SocketAddr {
        if !via.is_empty() {
            return self.addresses[via[random.random_range(0..via.len())]];
        }
        let out = self.lock();
        let is_used = |index: &usize| out[*index].is_none_or(|at| at.elapsed() < BALANCER_DELAY);
        let used: Vec<usize> = (0..out.len()).filter(is_used).collect();
        let index = used.get(random.random_range(0..used.len().max(1)));
        self.addresses[index.copied().unwrap_or(0)]
    }
}

impl RunningLoad {
    /// Starts a load; `name` begins all its keys.
    pub fn start(
        shape: LoadShape,
        name: String,
        path: &'static str,
        seed: u64,
        balancer: sync::Arc<Balancer>,
    ) -> Self {
        let ended = sync::Arc::new(atomic::AtomicBool::new(false));
        let sent = sync::Arc::new(atomic::AtomicU64::new(0));
        let plan = LoadConfig {
            seed,
            duration: LONGEST,
            request_timeout: time::Duration::from_secs(shape.limit_s),
        };
        let (stop, count) = (sync::Arc::clone(&ended), sync::Arc::clone(&sent));
        let (rate, swing, most) = (shape.rate, shape.swing, shape.count);
        let rate = move |at: time::Duration| {
            let is_full = most > 0 && count.load(atomic::Ordering::Relaxed) >= most;
            if is_full || stop.load(atomic::Ordering::Relaxed) {
                return 0.0;
            }
            let is_crest = at.as_secs() % 2 == 1;
            if is_crest { rate * swing } else { rate }
        };
        let next = move |number: u64, random: &mut rngs::StdRng| {
            sent.store(number + 1, atomic::Ordering::Relaxed);
            let target = balancer.choose(&shape.via, random);
            (target, shape.request(&name, path, number))
        };
        let client = sync::Arc::new(CallerClient::default());
        Self {
            started: toucanledge_bench::unix_millis(),
            ended,
            task: tokio::spawn(toucanledge_bench::run_load(client, plan, rate, next)),
        }
    }

    /// Ends the load and waits for its answers.
    pub async fn end(self) -> Result<EndedLoad, String> {
        self.ended.store(true, atomic::Ordering::Relaxed);
        self.finish().await
    }

    /// Waits until the load has sent its number of requests and has their answers.
    pub async fn finish(self) -> Result<EndedLoad, String> {
        let told = self.task.await.map_err(|error| error.to_string())?;
        Ok(EndedLoad {
            started: self.started,
            told,
        })
    }
}

impl LoadShape {
    /// Returns the request with a number.
    ///
    /// Submissions of one key are a block of other keys apart, so that they spread over the time.
    fn request(&self, name: &str, path: &str, number: u64) -> CallerRequest {
        let block = self.block();
        let in_round = number % (block * self.repeats);
        let work = number / (block * self.repeats) * block + in_round % block;
        let turn = in_round / block;
        let is_write = self.writes || self.presses;
        let method = if is_write {
            hyper::Method::POST
        } else {
            hyper::Method::GET
        };
        let path = self.path.as_deref().unwrap_or(path);
        let key = format!("{name}-{work}");
        // All submissions of marked work share one fingerprint, as those of one caller do.
        let (page, caller) = if self.crash {
            ("marked".to_owned(), 0)
        } else {
            (format!("{name}-{work}"), work % CALLERS)
        };
        let mut request = CallerRequest::new(method, format!("{path}{page}"))
            .header("x-caller", format!("caller-{caller}"))
            .header("request-nonce", format!("{key}/{turn}"))
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
    fn block(&self) -> u64 {
        if self.repeats < 2 {
            return 1;
        }
        #[allow(clippy::cast_precision_loss)]
        let gaps = (self.repeats - 1) as f64;
        ((self.rate * self.over_ms / 1000.0 / gaps) as u64).max(1)
    }
}
