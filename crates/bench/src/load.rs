//! Load generator: open-loop load with seeded arrival times.

use std::net;
use std::sync;
use std::time;

use rand::rngs;
use rand::{Rng, SeedableRng};
use tokio::task;
use toucanledge_core::RequestOutcome;

use crate::backend;
use crate::client;
use crate::timer;

/// Time that is skipped at once while the rate is zero.
const ZERO_RATE_STEP: time::Duration = time::Duration::from_millis(5);

/// Largest latency in a histogram; longer ones are recorded as this value.
const MAX_LATENCY_MICROS: u64 = 600_000_000;

/// One request of a load and its result at the caller.
#[derive(Clone, Debug)]
pub struct LoadRecord {
    /// Address that the request was sent to.
    pub target: net::SocketAddr,
    /// Value of `x-caller`.
    pub caller: String,
    /// Value of `Idempotency-Key`, or the work key in `request-nonce` if there is none.
    pub key: String,
    /// Value of `request-nonce`.
    pub nonce: String,
    /// Whether the request must not be executed twice: it has a key or its method is not a read.
    pub is_at_most_once: bool,
    /// Scheduled start, relative to the start of the load.
    pub intended_start: time::Duration,
    /// Time from the scheduled to the actual start; a load with long delays is not open-loop.
    pub start_delay: time::Duration,
    /// Time from the scheduled start to the end of the response; it includes the start delay.
    pub latency: time::Duration,
    /// HTTP status; none if no response was received.
    pub status: Option<u16>,
    /// Outcome that the response states; unknown for a failed or truncated response.
    pub outcome: RequestOutcome,
    /// Whether the response has a `Retry-After` header.
    pub has_retry_after: bool,
    /// Value of `toucanledge-reason`, or why no response was received.
    pub reason: String,
    /// Check of the body of a complete response with status 200.
    pub response_check: Option<backend::ResponseCheck>,
}

/// Seed, duration and timeout of a load.
#[derive(Clone, Copy, Debug)]
pub struct LoadConfig {
    /// Seed of arrivals and requests.
    pub seed: u64,
    /// Time in which requests are started.
    pub duration: time::Duration,
    /// Time for which a caller waits for its response.
    pub request_timeout: time::Duration,
}

/// Runs an open-loop load: requests start at random times whether or not earlier ones have ended.
///
/// `rate` returns the requests per second at a time since the start of the load. `next` returns
/// the target and the request with the given number.
pub async fn run_load(
    client: sync::Arc<client::CallerClient>,
    config: LoadConfig,
    rate: impl Fn(time::Duration) -> f64,
    mut next: impl FnMut(u64, &mut rngs::StdRng) -> (net::SocketAddr, client::CallerRequest),
) -> Vec<LoadRecord> {
    let mut random = rngs::StdRng::seed_from_u64(config.seed);
    let mut requests = task::JoinSet::new();
    let started = time::Instant::now();
    let mut number = 0;
    let mut intended_start = time::Duration::ZERO;
    while intended_start < config.duration {
        let per_second = rate(intended_start);
        if per_second <= 0.0 {
            intended_start += ZERO_RATE_STEP;
            continue;
        }
        let gap_s = -(1.0 - random.random::<f64>()).ln() / per_second;
        intended_start += time::Duration::from_secs_f64(gap_s);
        let (target, request) = next(number, &mut random);
        number += 1;
        timer::sleep_for(intended_start.saturating_sub(started.elapsed())).await;
        let client = sync::Arc::clone(&client);
        requests.spawn(async move {
            let mut record = LoadRecord::new(target, &request, intended_start);
            record.start_delay = started.elapsed().saturating_sub(intended_start);
            let result = client.send(target, &request, config.request_timeout).await;
            record.latency = started.elapsed().saturating_sub(intended_start);
            record.set_result(result);
            record
        });
    }
    requests.join_all().await
}

/// Returns a histogram of the latencies in microseconds.
///
/// # Panics
///
/// Never panics: the bounds of the histogram are valid.
#[must_use]
pub fn latency_histogram<'a>(
    records: impl IntoIterator<Item = &'a LoadRecord>,
) -> hdrhistogram::Histogram<u64> {
    let mut histogram =
        hdrhistogram::Histogram::new_with_max(MAX_LATENCY_MICROS, 3).expect("the bounds are valid");
    for record in records {
        let micros = u64::try_from(record.latency.as_micros()).unwrap_or(u64::MAX);
        histogram.saturating_record(micros);
    }
    histogram
}

impl LoadRecord {
    fn new(
        target: net::SocketAddr,
        request: &client::CallerRequest,
        intended_start: time::Duration,
    ) -> Self {
        let header = |name: &str| {
            let mut headers = request.headers.iter();
            headers
                .find(|(header, _)| header.eq_ignore_ascii_case(name))
                .map(|(_, value)| value.clone())
        };
        let nonce = header("request-nonce").unwrap_or_default();
        let key = header("idempotency-key");
        let is_read = matches!(request.method, hyper::Method::GET | hyper::Method::HEAD);
        Self {
            target,
            caller: header("x-caller").unwrap_or_default(),
            is_at_most_once: !is_read || key.is_some(),
            key: key.unwrap_or_else(|| backend::key_from_nonce(&nonce)),
            nonce,
            intended_start,
            start_delay: time::Duration::ZERO,
            latency: time::Duration::ZERO,
            status: None,
            has_retry_after: false,
            outcome: RequestOutcome::Unknown,
            reason: String::new(),
            response_check: None,
        }
    }

    /// Stores the response or the failure.
    fn set_result(&mut self, result: Result<client::CallerResponse, client::CallerFailure>) {
        let response = match result {
            Ok(response) => response,
            Err(failure) => {
                self.reason = failure.to_string();
                return;
            }
        };
        self.status = Some(response.status);
        self.has_retry_after = !response.header("retry-after").is_empty();
        self.reason = response.header("toucanledge-reason").into();
        if response.truncated {
            return;
        }
        self.outcome = response_outcome(&response);
        if response.status == 200 {
            self.response_check = Some(backend::check_response(
                &response.body,
                &self.caller,
                &self.key,
            ));
        }
    }
}

/// Returns the outcome that a complete response states.
///
/// A response without the outcome header comes from a backend server that was called directly.
fn response_outcome(response: &client::CallerResponse) -> RequestOutcome {
    let stated = response.header("toucanledge-outcome");
    if let Ok(outcome) = stated.parse() {
        outcome
    } else if response.header("backend-shed") == "1" {
        RequestOutcome::NotRun
    } else {
        RequestOutcome::Ran
    }
}
