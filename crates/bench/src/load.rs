//! Open-loop load with seeded arrival times.

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

/// Step over a time in which the rate is zero.
const ZERO_RATE_STEP: time::Duration = time::Duration::from_millis(5);

/// Greatest latency of a histogram; longer ones count as this.
const LONGEST_MICROS: u64 = 600_000_000;

/// One request of a load and what its caller was told.
#[derive(Clone, Debug)]
pub struct LoadRecord {
    /// Address that the request was sent to.
    pub target: net::SocketAddr,
    /// Value of `x-caller`.
    pub caller: String,
    /// Value of `Idempotency-Key`, or the work that `request-nonce` names when there is none.
    pub key: String,
    /// Value of `request-nonce`.
    pub nonce: String,
    /// Whether the work must not run twice: it has a key or its method is not a read.
    pub is_at_most_once: bool,
    /// Intended start since the start of the load.
    pub intended_start: time::Duration,
    /// Time by which the actual start was late; a load whose starts are late is not open-loop.
    pub start_delay: time::Duration,
    /// Time from the intended start to the whole answer, so a late start counts as waiting.
    pub latency: time::Duration,
    /// HTTP status; none when no answer arrived.
    pub status: Option<u16>,
    /// What the caller was told; a failed or truncated answer tells nothing.
    pub outcome: RequestOutcome,
    /// Whether the answer has a `Retry-After` header.
    pub has_retry_after: bool,
    /// Value of `toucanledge-reason`, or why no answer arrived.
    pub reason: String,
    /// Check of the body of a whole answer with status 200.
    pub response_check: Option<backend::ResponseCheck>,
}

/// How long a load runs and how its arrivals are drawn.
#[derive(Clone, Copy, Debug)]
pub struct LoadConfig {
    /// Seed of arrivals and requests.
    pub seed: u64,
    /// Time in which requests start.
    pub duration: time::Duration,
    /// Longest wait of a caller for its answer.
    pub request_timeout: time::Duration,
}

/// Runs a load: requests start at times drawn from `rate` (a second, by time since the start),
/// whether or not earlier ones were answered.
///
/// `next` returns the target and request with the given number.
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
    let mut intended = time::Duration::ZERO;
    while intended < config.duration {
        let per_second = rate(intended);
        if per_second <= 0.0 {
            intended += ZERO_RATE_STEP;
            continue;
        }
        let gap = -(1.0 - random.random::<f64>()).ln() / per_second;
        intended += time::Duration::from_secs_f64(gap);
        let (target, request) = next(number, &mut random);
        number += 1;
        timer::sleep_for(intended.saturating_sub(started.elapsed())).await;
        let client = sync::Arc::clone(&client);
        requests.spawn(async move {
            let mut record = LoadRecord::new(target, &request, intended);
            record.start_delay = started.elapsed().saturating_sub(intended);
            let result = client.send(target, &request, config.request_timeout).await;
            record.latency = started.elapsed().saturating_sub(intended);
            record.tell(result);
            record
        });
    }
    requests.join_all().await
}

/// Returns the latencies of records in microseconds.
///
/// # Panics
///
/// Never; the bounds of the histogram are valid.
#[must_use]
pub fn latency_histogram<'a>(
    records: impl IntoIterator<Item = &'a LoadRecord>,
) -> hdrhistogram::Histogram<u64> {
    let mut histogram =
        hdrhistogram::Histogram::new_with_max(LONGEST_MICROS, 3).expect("the bounds are valid");
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
        intended: time::Duration,
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
            intended_start: intended,
            start_delay: time::Duration::ZERO,
            latency: time::Duration::ZERO,
            status: None,
            has_retry_after: false,
            outcome: RequestOutcome::Unknown,
            reason: String::new(),
            response_check: None,
        }
    }

    /// Takes over what the answer, or its absence, tells the caller.
    fn tell(&mut self, result: Result<client::CallerResponse, client::CallerFailure>) {
        let answer = match result {
            Ok(answer) => answer,
            Err(failure) => {
                self.reason = failure.to_string();
                return;
            }
        };
        self.status = Some(answer.status);
        self.has_retry_after = !answer.header("retry-after").is_empty();
        self.reason = answer.header("toucanledge-reason").into();
        if answer.truncated {
            return;
        }
        self.outcome = told_outcome(&answer);
        if answer.status == 200 {
            self.response_check = Some(backend::check_response(
                &answer.body,
                &self.caller,
                &self.key,
            ));
        }
    }
}

/// Returns the outcome of a whole answer; an answer without the header is the backend server's.
fn told_outcome(answer: &client::CallerResponse) -> RequestOutcome {
    let told = answer.header("toucanledge-outcome");
    if let Ok(outcome) = told.parse() {
        outcome
    } else if answer.header("backend-shed") == "1" {
        RequestOutcome::NotRun
    } else {
        RequestOutcome::Ran
    }
}
