//! Health of a backend server, derived from the outcomes that all gateways report.

use toucanledge_core::Millis;

/// Back-off of repeatable requests after a server's first failure. Responses of requests that were
/// already in flight arrive meanwhile.
const PROBE_BACKOFF_MS: u64 = 250;
/// Limit of the doublings of that back-off after further failures. A server that fails most
/// requests does so for 4 to 12 s.
const MAX_PROBE_DOUBLINGS: u32 = 2;
/// Failures since a server was last trusted from which one success is not enough for recovery: a
/// server that fails most requests still responds to up to 15 in 100. An error right after the
/// start of a request counts as a run by itself, since it mostly begins such a period.
const FAILURE_RUN: u32 = 2;
/// Consecutive successes for recovery after such a run of failures.
const RECOVERY_SUCCESSES: u32 = 2;
/// Back-off of non-repeatable requests after one failure since the server was last trusted.
const BACKOFF_MS: u64 = 3_000;
/// Back-off of non-repeatable requests after several such failures. The floor counts a server as
/// healthy 2 s after its failure and is measured over windows of 2 s, so every back-off must end
/// before 4 s.
const LONG_BACKOFF_MS: u64 = 3_600;
/// First back-off of this gateway after it could not open a connection to the server.
const CONNECT_BACKOFF_MS: u64 = 1_000;
const MAX_CONNECT_DOUBLINGS: u32 = 3;
/// Time for which a server that rejected work as overloaded has a penalty in the selection.
const OVERLOADED_PENALTY_MS: u64 = 700;

/// What one attempt showed about its backend server.
///
/// The numbers are part of gossip messages, and the names part of log lines and metrics.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr, strum::FromRepr,
)]
#[repr(u8)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptOutcome {
    /// The response is valid and not a server error.
    Success = 0,
    /// The response is a server error (5xx) soon after the start of the request.
    OwnError = 1,
    /// The connection was lost before the header of the response arrived.
    Broken = 2,
    /// The response was malformed, incomplete or belonged to another request.
    BadAnswer = 3,
    /// There was no response in time.
    Silent = 4,
    /// The server refused the connection.
    Refused = 5,
    /// The server rejected the request as overloaded, without running it.
    Full = 6,
    /// The response is a server error (5xx) after about the usual latency, so the request itself
    /// may have caused it.
    LateError = 7,
}

/// How an outcome changed a server's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// The backend server is now suspected.
    Suspected,
    /// The backend server was suspected and stays so.
    StillSuspected,
    /// The backend server is trusted again.
    Recovered,
    /// Nothing that peers need to know.
    Unchanged,
}

/// Health of one backend server.
///
/// A server is suspected after a failure and trusted again after enough successes. Suspected
/// servers get only probes: from repeatable requests soon, from non-repeatable requests after a
/// longer back-off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerHealth {
    failures: u32,
    successes: u32,
    late_errors: u32,
    had_immediate_error: bool,
    last_failure: Millis,
    last_failure_sent: Millis,
    last_success: Millis,
    last_success_sent: Millis,
    last_overloaded: Option<Millis>,
    connect_failures: u32,
    connect_backoff_until: Millis,
}

impl ServerHealth {
    /// Records an outcome at `at` of a request that was sent just before.
    pub fn record(&mut self, outcome: AttemptOutcome, at: Millis) -> HealthChange {
        self.record_sent_at(outcome, at, at)
    }

    /// Records an outcome at `at` of a request that was sent at `sent`.
    ///
    /// A server that begins to fail fails the requests that start from then on, while earlier ones
    /// still succeed. So a success counts against a failure only if its request was sent later than
    /// the failed one.
    pub fn record_sent_at(
        &mut self,
        outcome: AttemptOutcome,
        sent: Millis,
        at: Millis,
    ) -> HealthChange {
        match outcome {
            AttemptOutcome::Full => {
                self.last_overloaded = self.last_overloaded.max(Some(at));
                HealthChange::Unchanged
            }
            AttemptOutcome::Success => {
                self.connect_failures = 0;
                self.connect_backoff_until = Millis::default();
                self.last_success = self.last_success.max(at);
                self.last_success_sent = self.last_success_sent.max(sent);
                self.late_errors = 0;
                if self.failures == 0 || sent < self.last_failure_sent || at < self.last_failure {
                    return HealthChange::Unchanged;
                }
                self.successes += 1;
                let failure_run = self.had_immediate_error || self.failures >= FAILURE_RUN;
                if failure_run && self.successes < RECOVERY_SUCCESSES {
                    return HealthChange::StillSuspected;
                }
                self.failures = 0;
                self.successes = 0;
                self.had_immediate_error = false;
                HealthChange::Recovered
            }
            AttemptOutcome::LateError if self.failures == 0 && self.late_errors == 0 => {
                // Single requests fail because of their own work; a server that begins to fail
                // returns errors at once.
                self.late_errors = 1;
                HealthChange::Unchanged
            }
            _ => {
                self.last_failure = self.last_failure.max(at);
                self.last_failure_sent = self.last_failure_sent.max(sent);
                self.had_immediate_error |= outcome == AttemptOutcome::OwnError;
                self.successes = 0;
                self.failures = self.failures.saturating_add(1);
                if self.failures == 1 {
                    HealthChange::Suspected
                } else {
                    HealthChange::StillSuspected
                }
            }
        }
    }

    /// Records that this gateway could not open a connection to the server.
    pub fn record_connect_failure(&mut self, now: Millis) {
        let doublings = self.connect_failures.min(MAX_CONNECT_DOUBLINGS);
        self.connect_backoff_until = now + (CONNECT_BACKOFF_MS << doublings);
        self.connect_failures += 1;
    }

    /// Returns whether the server has failed and has not recovered since.
    #[must_use]
    pub fn is_suspected(&self) -> bool {
        self.failures > 0
    }

    /// Returns whether the server rejected work as overloaded within the last 700 ms.
    #[must_use]
    pub fn recently_overloaded(&self, now: Millis) -> bool {
        self.last_overloaded
            .is_some_and(|at| now.since(at) < OVERLOADED_PENALTY_MS)
    }

    /// Returns the number of failures since the server was last trusted.
    #[must_use]
    pub fn failure_count(&self) -> u32 {
        self.failures
    }

    /// Returns the time of the last failure.
    #[must_use]
    pub fn last_failure(&self) -> Millis {
        self.last_failure
    }

    /// Returns the time of the last success.
    #[must_use]
    pub fn last_success(&self) -> Millis {
        self.last_success
    }

    /// Returns the send time of the request that was sent last among those that succeeded.
    #[must_use]
    pub fn last_success_sent(&self) -> Millis {
        self.last_success_sent
    }

    /// Returns whether this gateway may connect: no back-off after failed connections is running.
    #[must_use]
    pub fn is_reachable(&self, now: Millis) -> bool {
        now >= self.connect_backoff_until
    }

    /// Returns whether a repeatable request may probe the suspected server.
    #[must_use]
    pub fn probe_due(&self, now: Millis) -> bool {
        if self.successes > 0 {
            return true;
        }
        let doublings = self.failures.saturating_sub(1).min(MAX_PROBE_DOUBLINGS);
        let backoff = PROBE_BACKOFF_MS << doublings;
        now.since(self.last_failure) >= backoff
    }

    /// Returns whether a non-repeatable request may probe the suspected server.
    #[must_use]
    pub fn backoff_over(&self, now: Millis) -> bool {
        let backoff = if self.failures <= 1 {
            BACKOFF_MS
        } else {
            LONG_BACKOFF_MS
        };
        now.since(self.last_failure) >= backoff
    }
}
