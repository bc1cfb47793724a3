//! Permit of one claim attempt to run an at-most-once request.

use std::sync;
use std::time;

use tokio::sync::oneshot;
use toucanledge_claims::{AttemptId, ClaimKey, ClaimOutcome, StoredResponse};
use toucanledge_core::{Millis, RefusalReason, RequestOutcome};
use toucanledge_settings::DispatchPolicy;

use crate::clock;
use crate::kernel::{KernelHandle, PluginEvent, PluginName};

/// An at-most-once request that needs a claim on its key.
#[derive(Debug)]
pub struct ClaimRequest {
    /// Key to be claimed.
    pub key: ClaimKey,
    /// Deadline of the request.
    pub deadline: Millis,
    /// Channel on which the decision is sent.
    pub reply: oneshot::Sender<ClaimDecision>,
}

/// Decision on a claim request.
#[derive(Debug)]
pub enum ClaimDecision {
    /// The request may run.
    Granted(ClaimPermit),
    /// A request with the same key already ran; this is its stored response.
    Replay(StoredResponse),
    /// The request may not run.
    Refused {
        /// Why the request may not run.
        reason: RefusalReason,
        /// Whether a request with this key ran, as far as is known.
        outcome: RequestOutcome,
    },
}

/// Permit to run an at-most-once request until a time.
///
/// Dropping it without [`ClaimPermit::finish`] reports the outcome as unknown.
#[derive(Debug)]
pub struct ClaimPermit {
    kernel: sync::Arc<KernelHandle>,
    claim_attempt: AttemptId,
    send_deadline: time::Instant,
    start_by_unix_ms: u64,
    finished: bool,
}

impl ClaimPermit {
    /// Requests the claim of a key and waits for the decision.
    pub async fn acquire(
        kernel: &sync::Arc<KernelHandle>,
        key: ClaimKey,
        deadline: time::Instant,
    ) -> ClaimDecision {
        if kernel.settings.policy == DispatchPolicy::Baseline {
            return ClaimDecision::Granted(Self::unclaimed(kernel, deadline));
        }
        let (reply, decision) = oneshot::channel();
        let remaining = deadline.saturating_duration_since(time::Instant::now());
        let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        let request = ClaimRequest {
            key,
            deadline: kernel.clock.now() + remaining_ms,
            reply,
        };
        if kernel
            .try_notify(PluginName::Claims, PluginEvent::ClaimRequested(request))
            .is_err()
        {
            return ClaimDecision::refused(RefusalReason::GatewayFull);
        }
        decision
            .await
            .unwrap_or_else(|_| ClaimDecision::refused(RefusalReason::NoQuorum))
    }

    /// Returns the permit of a claim attempt that has a quorum of votes.
    #[must_use]
    pub fn granted(
        kernel: &sync::Arc<KernelHandle>,
        claim_attempt: AttemptId,
        expires_at: Millis,
    ) -> Self {
        Self {
            claim_attempt,
            send_deadline: kernel.clock.instant(expires_at),
            start_by_unix_ms: clock::unix_millis() + expires_at.since(kernel.clock.now()),
            kernel: sync::Arc::clone(kernel),
            finished: false,
        }
    }

    /// Returns a permit without a claim, for the baseline policy.
    fn unclaimed(kernel: &sync::Arc<KernelHandle>, deadline: time::Instant) -> Self {
        let claim_attempt = AttemptId {
            gateway: kernel.vm,
            incarnation: kernel.incarnation,
            counter: 0,
        };
        let kernel = sync::Arc::clone(kernel);
        Self {
            kernel,
            claim_attempt,
            send_deadline: deadline,
            start_by_unix_ms: u64::MAX,
            finished: false,
        }
    }

    /// Returns the time after which no first byte may be sent.
    #[must_use]
    pub const fn send_deadline(&self) -> time::Instant {
        self.send_deadline
    }

    /// Returns the time after which a backend server must not start the request, in milliseconds
    /// since the Unix epoch.
    #[must_use]
    pub const fn start_by_unix_ms(&self) -> u64 {
        self.start_by_unix_ms
    }

    /// Reports to the voters how the request ended.
    pub fn finish(mut self, outcome: ClaimOutcome) {
        self.report(outcome);
    }

    fn report(&mut self, outcome: ClaimOutcome) {
        self.finished = true;
        let event = PluginEvent::ClaimFinished(self.claim_attempt, outcome);
        self.kernel.notify(PluginName::Claims, event);
    }
}

impl Drop for ClaimPermit {
    fn drop(&mut self) {
        if !self.finished {
            self.report(ClaimOutcome::Unknown);
        }
    }
}

impl ClaimDecision {
    /// Returns the refusal with this reason.
    #[must_use]
    pub const fn refused(reason: RefusalReason) -> Self {
        let outcome = match reason {
            RefusalReason::KeyInProgress | RefusalReason::KeyUnknown => RequestOutcome::Unknown,
            _ => RequestOutcome::NotRun,
        };
        Self::Refused { reason, outcome }
    }
}
