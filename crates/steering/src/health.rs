//! Health of a backend server, judged by the requests of the whole fleet.

use toucanledge_core::Millis;

/// Time in milliseconds before the first trial of a suspect; the answers of requests that were
/// already in flight arrive meanwhile.
const FIRST_PROBE_MS: u64 = 250;
/// Greatest doubling of that time after further failures; an episode of failing lasts 4 to 12 s.
const MAX_PROBE_DOUBLINGS: u32 = 2;
/// Failures in a row from which one success does not clear a suspect: in an episode of failing, up
/// to 15 in 100 requests succeed. An error at once mostly begins an episode and counts as several.
const FAILURE_RUN: u32 = 2;
/// Successes in a row that clear a suspect after so many failures.
const RECOVERY_SUCCESSES: u32 = 2;
/// Time in milliseconds that work that must not repeat stays away after one failure.
const BACKOFF_MS: u64 = 3_000;
/// The same after several failures in a row. The floor counts a server as sound 2 s after its failure
/// and looks at windows of 2 s, so every absence must end before 4 s.
const LONG_BACKOFF_MS: u64 = 3_600;
/// Time in milliseconds for which one gateway avoids a path on which no connection opened.
const CONNECT_BACKOFF_MS: u64 = 1_000;
/// Greatest doubling of the path's absence.
const MAX_CONNECT_DOUBLINGS: u32 = 3;

/// Time in milliseconds for which a server that refused work is avoided where others are trusted.
const OVERLOADED_MS: u64 = 700;

/// What a request showed about the backend server that it was sent to.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr, strum::FromRepr,
)]
#[repr(u8)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptOutcome {
    /// It answered as it should.
    Success = 0,
    /// It answered with a failure of its own.
    OwnError = 1,
    /// It broke the connection off.
    Broken = 2,
    /// Its answer was malformed or belonged to another request.
    BadAnswer = 3,
    /// It gave no answer in time.
    Silent = 4,
    /// It refused the connection.
    Refused = 5,
    /// It said that it is full.
    Full = 6,
    /// It answered with a failure of its own after it had worked about as long as usual.
    LateError = 7,
}

/// What a piece of evidence changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// The backend server became a suspect.
    Suspected,
    /// The backend server stays a suspect.
    StillSuspected,
    /// The backend server is trusted again.
    Recovered,
    /// Nothing that peers need to hear.
    Unchanged,
}

/// Health of one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerHealth {
    failures: u32,
    successes: u32,
    late_errors: u32,
    failed_at_once: bool,
    last_failure: Millis,
    last_failure_sent: Millis,
    last_success: Millis,
    last_success_sent: Millis,
    last_overloaded: Option<Millis>,
    connect_failures: u32,
    connect_backoff_until: Millis,
}

impl ServerHealth {
    /// Takes evidence that arose at `at` from a request that was sent just before.
    pub fn record(&mut self, outcome: AttemptOutcome, at: Millis) -> HealthChange {
        self.record_sent_at(outcome, at, at)
    }

    /// Takes evidence that arose at `at` from a request that was sent at `sent`.
    ///
    /// A server that fails all its work does so when it begins a request. So a success proves nothing
    /// about a failure unless its request was sent later than the one that failed.
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
                let failure_run = self.failed_at_once || self.failures >= FAILURE_RUN;
                if failure_run && self.successes < RECOVERY_SUCCESSES {
                    return HealthChange::StillSuspected;
                }
                self.failures = 0;
                self.successes = 0;
                self.failed_at_once = false;
                HealthChange::Recovered
            }
            AttemptOutcome::LateError if self.failures == 0 && self.late_errors == 0 => {
                // Work of its own kind fails now and then; servers that begin to fail do so at once.
                self.late_errors = 1;
                HealthChange::Unchanged
            }
            _ => {
                self.last_failure = self.last_failure.max(at);
                self.last_failure_sent = self.last_failure_sent.max(sent);
                self.failed_at_once |= outcome == AttemptOutcome::OwnError;
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

    /// Notes that this gateway could not open a connection in time.
    pub fn record_connect_failure(&mut self, now: Millis) {
        let doublings = self.connect_failures.min(MAX_CONNECT_DOUBLINGS);
        self.connect_backoff_until = now + (CONNECT_BACKOFF_MS << doublings);
        self.connect_failures += 1;
    }

    /// Returns whether the last evidence was a failure.
    #[must_use]
    pub fn is_suspected(&self) -> bool {
        self.failures > 0
    }

    /// Returns whether it refused work of late.
    #[must_use]
    pub fn recently_overloaded(&self, now: Millis) -> bool {
        self.last_overloaded
            .is_some_and(|at| now.since(at) < OVERLOADED_MS)
    }

    /// Returns failures since the last success.
    #[must_use]
    pub fn failure_count(&self) -> u32 {
        self.failures
    }

    /// Returns when the last failure arose.
    #[must_use]
    pub fn last_failure(&self) -> Millis {
        self.last_failure
    }

    /// Returns when the last success arose.
    #[must_use]
    pub fn last_success(&self) -> Millis {
        self.last_success
    }

    /// Returns when the request was sent that was the last to succeed.
    #[must_use]
    pub fn last_success_sent(&self) -> Millis {
        self.last_success_sent
    }

    /// Returns whether connections of this gateway open there, as far as it knows.
    #[must_use]
    pub fn is_reachable(&self, now: Millis) -> bool {
        now >= self.connect_backoff_until
    }

    /// Returns whether repeatable work may try a suspect.
    #[must_use]
    pub fn probe_due(&self, now: Millis) -> bool {
        if self.successes > 0 {
            return true;
        }
        let doublings = self.failures.saturating_sub(1).min(MAX_PROBE_DOUBLINGS);
        let backoff = FIRST_PROBE_MS << doublings;
        now.since(self.last_failure) >= backoff
    }

    /// Returns whether work that must not repeat may try a suspect.
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
