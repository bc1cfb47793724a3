//! The right of one attempt to run keyed work.

use std::sync;
use std::time;

use tokio::sync::oneshot;
use toucanledge_claims::{AttemptId, ClaimKey, ClaimOutcome, StoredResponse};
use toucanledge_core::{Millis, RefusalReason, RequestOutcome};
use toucanledge_settings::DispatchPolicy;

use crate::clock;
use crate::kernel::{KernelHandle, PluginEvent, PluginName};

/// Keyed work that wants the right to run.
#[derive(Debug)]
pub struct ClaimRequest {
    /// Key of the work.
    pub key: ClaimKey,
    /// Deadline of the request.
    pub deadline: Millis,
    /// Where the decision goes.
    pub reply: oneshot::Sender<ClaimDecision>,
}

/// What became of a wish to run keyed work.
#[derive(Debug)]
pub enum ClaimDecision {
    /// The work may run.
    Permit(ClaimPermit),
    /// The work ran before; this is its answer.
    Replay(StoredResponse),
    /// The work may not run.
    Refused {
        /// Why it may not run.
        reason: RefusalReason,
        /// What is known about the work of this key.
        outcome: RequestOutcome,
    },
}

/// The right of one attempt to run keyed work until a time.
#[derive(Debug)]
pub struct ClaimPermit {
    kernel: sync::Arc<KernelHandle>,
    attempt: AttemptId,
    until: time::Instant,
    start_by: u64,
    finished: bool,
}

impl ClaimPermit {
    /// Asks for the right to run the work of a key.
    pub async fn obtain(
        kernel: &sync::Arc<KernelHandle>,
        key: ClaimKey,
        deadline: time::Instant,
    ) -> ClaimDecision {
        if kernel.settings.policy == DispatchPolicy::Baseline {
            return ClaimDecision::Permit(Self::unclaimed(kernel, deadline));
        }
        let (reply, decision) = oneshot::channel();
        let left = deadline.saturating_duration_since(time::Instant::now());
        let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        let request = ClaimRequest {
            key,
            deadline: kernel.clock.now() + left,
            reply,
        };
        if kernel
            .post(PluginName::Claims, PluginEvent::ClaimWanted(request))
            .is_err()
        {
            return ClaimDecision::refused(RefusalReason::GatewayFull);
        }
        decision
            .await
            .unwrap_or_else(|_| ClaimDecision::refused(RefusalReason::NoQuorum))
    }

    /// Returns the permit of an attempt that has its votes.
    #[must_use]
    pub fn claimed(kernel: &sync::Arc<KernelHandle>, attempt: AttemptId, until: Millis) -> Self {
        Self {
            attempt,
            until: kernel.clock.instant(until),
            start_by: clock::unix_millis() + until.since(kernel.clock.now()),
            kernel: sync::Arc::clone(kernel),
            finished: false,
        }
    }

    /// Returns the permit of the plain policy, which makes no claims.
    fn unclaimed(kernel: &sync::Arc<KernelHandle>, deadline: time::Instant) -> Self {
        let attempt = AttemptId {
            gateway: kernel.vm,
            incarnation: kernel.incarnation,
            counter: 0,
        };
        let kernel = sync::Arc::clone(kernel);
        Self {
            kernel,
            attempt,
            until: deadline,
            start_by: u64::MAX,
            finished: false,
        }
    }

    /// Returns the time after which no first byte may be sent.
    #[must_use]
    pub const fn until(&self) -> time::Instant {
        self.until
    }

    /// Returns the time after which a backend server must not start, in ms since 1970.
    #[must_use]
    pub const fn start_by(&self) -> u64 {
        self.start_by
    }

    /// Tells the voters how the work ended.
    pub fn finish(mut self, result: ClaimOutcome) {
        self.tell(result);
    }

    fn tell(&mut self, result: ClaimOutcome) {
        self.finished = true;
        let event = PluginEvent::ClaimEnded(self.attempt, result);
        self.kernel.notify(PluginName::Claims, event);
    }
}

impl Drop for ClaimPermit {
    fn drop(&mut self) {
        if !self.finished {
            self.tell(ClaimOutcome::Unknown);
        }
    }
}

impl ClaimDecision {
    /// Returns the refusal for a reason.
    #[must_use]
    pub const fn refused(reason: RefusalReason) -> Self {
        let outcome = match reason {
            RefusalReason::KeyInProgress | RefusalReason::KeyUnknown => RequestOutcome::Unknown,
            _ => RequestOutcome::NotRun,
        };
        Self::Refused { reason, outcome }
    }
}
