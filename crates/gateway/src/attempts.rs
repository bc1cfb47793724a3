//! Attempts of one request.

use std::time;

use toucanledge_core::{RefusalReason, RequestOutcome, RetryReason, VmId};

use crate::response::RequestRefusal;

/// Lost connections after which a request is refused as a crash suspect.
pub const MAX_CONNECTION_LOSSES: u8 = 2;
/// Delay of a response or retry after a lost connection, so that every gateway knows of the loss
/// before the request is sent again: time for a probe and the transmission of a heartbeat.
const LOSS_PROPAGATION_DELAY: time::Duration = time::Duration::from_millis(100);

/// Attempts of one request so far.
#[derive(Debug, Default)]
pub struct AttemptHistory {
    /// Backend servers of the attempts, in order.
    pub attempted_servers: Vec<VmId>,
    /// Why the last attempt failed.
    last_failure: Option<RetryReason>,
    /// Lost connections; each may be a backend server that the request crashed.
    pub connection_losses: u8,
    /// An attempt may have run, so the request outcome can no longer be not-run.
    may_have_run: bool,
}

impl AttemptHistory {
    /// Records why an attempt failed.
    pub fn record_failure(&mut self, reason: RetryReason) {
        self.last_failure = Some(reason);
        self.connection_losses += u8::from(reason == RetryReason::ConnectionLost);
        self.may_have_run |= matches!(
            reason,
            RetryReason::ConnectionLost | RetryReason::BadAnswer | RetryReason::Stalled
        );
    }

    /// Waits until the other gateways know of the lost connections, if there are any.
    pub async fn wait_for_loss_propagation(&self) {
        if self.connection_losses > 0 {
            tokio::time::sleep(LOSS_PROPAGATION_DELAY).await;
        }
    }

    /// Adjusts the outcome and reason of a refusal to what earlier attempts imply.
    #[must_use]
    pub fn adjust_refusal(&self, refusal: RequestRefusal) -> RequestRefusal {
        if !self.may_have_run || refusal.outcome == RequestOutcome::Unknown {
            return refusal;
        }
        let is_no_backend = refusal.reason == RefusalReason::NoBackend;
        let reason = match self.last_failure {
            Some(last) if is_no_backend => refusal_reason_of(last),
            _ => refusal.reason,
        };
        RequestRefusal {
            reason,
            outcome: RequestOutcome::Unknown,
            ..refusal
        }
    }
}

/// Returns the refusal reason of a request whose last attempt failed for this reason.
#[must_use]
pub const fn refusal_reason_of(reason: RetryReason) -> RefusalReason {
    match reason {
        RetryReason::Shed => RefusalReason::Shed,
        RetryReason::ConnectFailed => RefusalReason::ConnectFailed,
        RetryReason::ConnectionLost => RefusalReason::ConnectionLost,
        RetryReason::BadAnswer => RefusalReason::BadAnswer,
        RetryReason::Stalled => RefusalReason::DeadlineExceeded,
        RetryReason::DispatcherSilent | RetryReason::GrantExpired => RefusalReason::NoDispatcher,
    }
}
