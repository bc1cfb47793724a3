//! Forwards a request of a caller to a backend server, with retries, and returns the response.

mod keyed;

use std::sync;
use std::time;

use http_body_util::BodyExt;
use toucanledge_core::{RefusalReason, RequestOutcome, RetryReason, TableRevision, VmId};
use toucanledge_slots::LeaseOutcome;
use toucanledge_table::{ClassRow, RepeatRule};

use crate::attempts;
use crate::attempts::AttemptHistory;
use crate::backend::ConnectionPool;
use crate::exchange;
use crate::exchange::{
    BackendResponse, BodyOutcome, ExchangeOutcome, ExchangeParams, StreamingBody,
};
use crate::kernel::KernelHandle;
use crate::pauses::ServerPauses;
use crate::plugin::{ClaimPermit, SlotDecision, SlotPermit, SlotRequest};
use crate::request::CallerRequest;
use crate::response;
use crate::response::{CallerResponse, RequestRefusal};
use crate::retry_budget::RetryBudgets;
use crate::shared_state::InFlightGuard;

/// Maximum number of attempts of one request, the first included.
const MAX_ATTEMPTS: usize = 3;
/// Maximum number of slots that one attempt gives back because their backend server wants a pause.
const MAX_PAUSED_GRANTS: usize = 4;
/// Time over which callers return after the first pause of a pool's servers is over, so that they do
/// not all come at one moment.
const PAUSE_SPREAD_MS: u32 = 1_000;
/// Forwards requests by the active table.
#[derive(Debug)]
pub struct RequestForwarder {
    kernel: sync::Arc<KernelHandle>,
    connection_pool: sync::Arc<ConnectionPool>,
    retry_budgets: RetryBudgets,
    pauses: ServerPauses,
}

/// A request with the class row that it matches.
struct RoutedRequest {
    request: CallerRequest,
    class: ClassRow,
    table_revision: TableRevision,
    deadline: time::Instant,
}

/// Outcome of one attempt, which decides whether the request is retried.
enum AttemptOutcome {
    Response(Box<BackendResponse>, SlotPermit, time::Instant),
    Retry(RetryReason),
    Refuse(RequestRefusal),
}

impl RequestForwarder {
    /// Returns a forwarder that uses the plug-ins of the kernel.
    #[must_use]
    pub fn new(kernel: sync::Arc<KernelHandle>) -> Self {
        let connection_pool = sync::Arc::new(ConnectionPool::new(kernel.settings.peer_source));
        Self {
            kernel,
            connection_pool,
            retry_budgets: RetryBudgets::default(),
            pauses: ServerPauses::default(),
        }
    }

    /// Returns the pool of idle connections to backend servers.
    #[must_use]
    pub fn connection_pool(&self) -> &sync::Arc<ConnectionPool> {
        &self.connection_pool
    }

    /// Forwards a request and returns the response for its caller.
    pub async fn forward(self: sync::Arc<Self>, request: CallerRequest) -> CallerResponse {
        let routed = match self.route(request) {
            Ok(routed) => routed,
            Err(refusal) => return response::refusal_response(&refusal),
        };
        match routed.class.repeat {
            RepeatRule::Repeatable => self.forward_repeatable(routed).await,
            RepeatRule::Keyed => {
                // Runs in its own task, so that the claim is finished even if the caller
                // disconnects.
                let guard = InFlightGuard::new(&self.kernel.state);
                let task = tokio::spawn(async move {
                    let _guard = guard;
                    self.forward_keyed(routed).await
                });
                task.await.unwrap_or_else(|_| {
                    response::refusal_response(&keyed::internal_error_refusal())
                })
            }
        }
    }

    fn route(&self, request: CallerRequest) -> Result<RoutedRequest, RequestRefusal> {
        let refusal = |reason| RequestRefusal {
            reason,
            outcome: RequestOutcome::NotRun,
            row: None,
            table_revision: TableRevision::default(),
            retry_after_ms: 1000,
        };
        let state = &self.kernel.state;
        if !state.current_fleet_view().is_reachable_by_majority {
            return Err(refusal(RefusalReason::NotHeard));
        }
        let table = state
            .current_table()
            .ok_or_else(|| refusal(RefusalReason::NoTable))?;
        let Some(class) = table.route(request.method.as_str(), request.path()) else {
            return Err(RequestRefusal {
                table_revision: table.revision(),
                ..refusal(RefusalReason::NoRoute)
            });
        };
        let deadline = time::Instant::now() + time::Duration::from_millis(class.deadline_ms.into());
        let routed = RoutedRequest {
            class: class.clone(),
            table_revision: table.revision(),
            request,
            deadline,
        };
        self.check_crash_suspicion(&routed)?;
        Ok(routed)
    }

    fn check_crash_suspicion(&self, routed: &RoutedRequest) -> Result<(), RequestRefusal> {
        let view = self.kernel.state.current_fleet_view();
        let lost_backends = view
            .crash_suspicions
            .get(&routed.request.fingerprint)
            .copied()
            .unwrap_or(0);
        if lost_backends < attempts::MAX_CONNECTION_LOSSES {
            return Ok(());
        }
        Err(routed.refusal(RefusalReason::CrashSuspect, RequestOutcome::NotRun))
    }

    async fn forward_repeatable(&self, routed: RoutedRequest) -> CallerResponse {
        self.retry_budgets.deposit(&routed.class);
        let mut history = AttemptHistory::default();
        loop {
            let refusal = match self.attempt(&routed, &mut history, None).await {
                AttemptOutcome::Response(backend_response, slot_permit, started) => {
                    return self.stream_response(&routed, backend_response, slot_permit, started);
                }
                AttemptOutcome::Refuse(refusal) => refusal,
                AttemptOutcome::Retry(reason) => {
                    match self.allow_retry(&routed, reason, &mut history) {
                        Ok(()) => {
                            // After the delay, every dispatcher adds a further loss to this one.
                            history.wait_for_loss_propagation().await;
                            continue;
                        }
                        Err(refusal) => refusal,
                    }
                }
            };
            history.wait_for_loss_propagation().await;
            return response::refusal_response(&history.adjust_refusal(refusal));
        }
    }

    fn allow_retry(
        &self,
        routed: &RoutedRequest,
        reason: RetryReason,
        history: &mut AttemptHistory,
    ) -> Result<(), RequestRefusal> {
        history.record_failure(reason);
        self.check_crash_suspicion(routed)?;
        // Each loss may be known to the dispatcher of a different shard only.
        if history.connection_losses >= attempts::MAX_CONNECTION_LOSSES {
            return Err(routed.refusal(RefusalReason::CrashSuspect, RequestOutcome::NotRun));
        }
        if history.attempted_servers.len() >= MAX_ATTEMPTS {
            return Err(routed.refusal(attempts::refusal_reason_of(reason), RequestOutcome::NotRun));
        }
        // `send` withdrew from the budget when it cancelled the stalled attempt.
        if reason != RetryReason::Stalled && !self.retry_budgets.try_withdraw(&routed.class) {
            return Err(routed.refusal(RefusalReason::RetryBudget, RequestOutcome::NotRun));
        }
        let name: &'static str = reason.into();
        metrics::counter!("toucanledge_retries_total", "reason" => name).increment(1);
        Ok(())
    }

    /// Sends a request and waits for the response head.
    ///
    /// With `may_retry`, the attempt is cancelled when its backend server is ejected and the budget
    /// allows a retry.
    async fn send(
        &self,
        routed: &RoutedRequest,
        params: &ExchangeParams,
        slot_permit: &mut SlotPermit,
        may_retry: bool,
    ) -> ExchangeOutcome {
        let exchange = exchange::exchange(&self.connection_pool, &routed.request, params);
        tokio::pin!(exchange);
        tokio::select! {
            outcome = &mut exchange => return outcome,
            () = slot_permit.wait_revoked(), if may_retry => {}
        }
        if self.retry_budgets.try_withdraw(&routed.class) {
            return ExchangeOutcome::Ejected;
        }
        exchange.await
    }

    /// Acquires a slot at a backend server that wants no pause.
    async fn acquire_slot(
        &self,
        routed: &RoutedRequest,
        history: &AttemptHistory,
    ) -> Result<SlotPermit, RequestRefusal> {
        let pool = routed.class.pool_id;
        for _ in 0..MAX_PAUSED_GRANTS {
            let paused = self.pauses.paused_in(pool, time::Instant::now());
            let decision = self.request_slot(routed, history, &paused).await;
            match decision {
                SlotDecision::Granted(slot_permit) => {
                    let now = time::Instant::now();
                    if !self.pauses.is_paused(slot_permit.backend(), now) {
                        return Ok(slot_permit);
                    }
                    // The pause began while the request waited for the slot.
                    slot_permit.release(LeaseOutcome::Cancelled, now, false);
                }
                SlotDecision::Refused {
                    reason,
                    retry_after_ms,
                    table_revision,
                } => {
                    let refusal = RequestRefusal {
                        table_revision,
                        retry_after_ms,
                        ..routed.refusal(reason, RequestOutcome::NotRun)
                    };
                    return Err(match reason {
                        RefusalReason::NoBackend => self.pause_refusal(routed).unwrap_or(refusal),
                        _ => refusal,
                    });
                }
            }
        }
        let refusal = routed.refusal(RefusalReason::NoBackend, RequestOutcome::NotRun);
        Err(self.pause_refusal(routed).unwrap_or(refusal))
    }

    /// Returns the refusal of a request whose pool has servers that asked for a pause.
    fn pause_refusal(&self, routed: &RoutedRequest) -> Option<RequestRefusal> {
        let pool = routed.class.pool_id;
        let wait = self.pauses.first_end(pool, time::Instant::now())?;
        let wait_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
        let spread_ms = rand::random_range(0..=PAUSE_SPREAD_MS);
        Some(RequestRefusal {
            retry_after_ms: wait_ms.saturating_add(spread_ms),
            ..routed.refusal(RefusalReason::Paused, RequestOutcome::NotRun)
        })
    }

    async fn request_slot(
        &self,
        routed: &RoutedRequest,
        history: &AttemptHistory,
        paused: &[VmId],
    ) -> SlotDecision {
        let attempted = history.attempted_servers.iter();
        SlotPermit::acquire(&self.kernel, |reply| SlotRequest {
            class: routed.class.class_id,
            pool: routed.class.pool_id,
            caller: routed.request.caller,
            route: routed.request.route(),
            fingerprint: routed.request.fingerprint,
            deadline: self.kernel.clock.millis(routed.deadline),
            queue_ms: routed.class.queue_ms,
            exclude: attempted.chain(paused).copied().collect(),
            reply,
        })
        .await
    }

    /// Acquires a slot and sends the request once.
    async fn attempt(
        &self,
        routed: &RoutedRequest,
        history: &mut AttemptHistory,
        claim_permit: Option<&ClaimPermit>,
    ) -> AttemptOutcome {
        let mut slot_permit = match self.acquire_slot(routed, history).await {
            Ok(slot_permit) => slot_permit,
            Err(refusal) => return AttemptOutcome::Refuse(refusal),
        };
        history.attempted_servers.push(slot_permit.backend());
        let params = ExchangeParams {
            address: slot_permit.address(),
            request_id: self.next_request_id(),
            deadline: routed.deadline,
            start_by_unix_ms: claim_permit.map(ClaimPermit::start_by_unix_ms),
            send_deadline: claim_permit.map_or(slot_permit.expires_at(), |claim_permit| {
                claim_permit.send_deadline().min(slot_permit.expires_at())
            }),
        };
        let started = time::Instant::now();
        let may_retry = claim_permit.is_none() && history.attempted_servers.len() < MAX_ATTEMPTS;
        let outcome = self
            .send(routed, &params, &mut slot_permit, may_retry)
            .await;
        let refuse = |reason, outcome| AttemptOutcome::Refuse(routed.refusal(reason, outcome));
        let (lease_outcome, attempt_outcome) = match outcome {
            ExchangeOutcome::ResponseHead(response) => {
                return AttemptOutcome::Response(response, slot_permit, started);
            }
            ExchangeOutcome::Overloaded { leaving, pause_ms } => {
                if let Some(pause_ms) = pause_ms {
                    let pool = routed.class.pool_id;
                    let now = time::Instant::now();
                    self.pauses
                        .record(slot_permit.backend(), pool, pause_ms, now);
                }
                slot_permit.release(LeaseOutcome::Shed, started, leaving);
                return AttemptOutcome::Retry(RetryReason::Shed);
            }
            ExchangeOutcome::ConnectFailed => (
                LeaseOutcome::ConnectFailed,
                AttemptOutcome::Retry(RetryReason::ConnectFailed),
            ),
            ExchangeOutcome::Ejected => (
                LeaseOutcome::Cancelled,
                AttemptOutcome::Retry(RetryReason::Stalled),
            ),
            ExchangeOutcome::SendDeadlineExceeded => {
                let claim_expired = claim_permit
                    .is_some_and(|permit| time::Instant::now() >= permit.send_deadline());
                let attempt_outcome = if claim_expired {
                    refuse(RefusalReason::ClaimExpired, RequestOutcome::NotRun)
                } else {
                    AttemptOutcome::Retry(RetryReason::GrantExpired)
                };
                (LeaseOutcome::Cancelled, attempt_outcome)
            }
            ExchangeOutcome::ConnectTimeout => (
                LeaseOutcome::ConnectFailed,
                refuse(RefusalReason::DeadlineExceeded, RequestOutcome::NotRun),
            ),
            ExchangeOutcome::ConnectionLost => (
                LeaseOutcome::ConnectionLost,
                AttemptOutcome::Retry(RetryReason::ConnectionLost),
            ),
            ExchangeOutcome::BadResponse => (
                LeaseOutcome::BadAnswer,
                AttemptOutcome::Retry(RetryReason::BadAnswer),
            ),
            ExchangeOutcome::DeadlineExceeded => (
                LeaseOutcome::DeadlineExceeded,
                refuse(RefusalReason::DeadlineExceeded, RequestOutcome::Unknown),
            ),
        };
        slot_permit.release(lease_outcome, started, false);
        attempt_outcome
    }

    fn stream_response(
        &self,
        routed: &RoutedRequest,
        backend_response: Box<BackendResponse>,
        slot_permit: SlotPermit,
        started: time::Instant,
    ) -> CallerResponse {
        let BackendResponse {
            parts,
            body,
            connection,
            leaving,
        } = *backend_response;
        let on_outcome = move |body_outcome: BodyOutcome| {
            let outcome = match body_outcome {
                BodyOutcome::Complete => LeaseOutcome::Completed,
                BodyOutcome::Failed => LeaseOutcome::BadAnswer,
                BodyOutcome::DeadlineExceeded => LeaseOutcome::DeadlineExceeded,
                BodyOutcome::CallerDisconnected => LeaseOutcome::Cancelled,
            };
            slot_permit.release(outcome, started, leaving);
        };
        let connection_pool = sync::Arc::clone(&self.connection_pool);
        let streaming = StreamingBody::new(
            body,
            connection,
            connection_pool,
            routed.deadline,
            on_outcome,
        );
        let mut response = hyper::Response::new(streaming.boxed_unsync());
        *response.status_mut() = parts.status;
        *response.headers_mut() = strip_backend_headers(&parts.headers);
        response::set_outcome_ran(response.headers_mut());
        response
    }

    fn next_request_id(&self) -> String {
        let kernel = &self.kernel;
        format!(
            "{}-{}-{:016x}",
            kernel.vm.0,
            kernel.incarnation.0,
            rand::random::<u64>()
        )
    }
}

impl RoutedRequest {
    fn refusal(&self, reason: RefusalReason, outcome: RequestOutcome) -> RequestRefusal {
        RequestRefusal {
            reason,
            outcome,
            row: Some(self.class.class.clone()),
            table_revision: self.table_revision,
            retry_after_ms: 1000,
        }
    }
}

/// Removes hop-by-hop headers and those between gateway and backend server.
fn strip_backend_headers(headers: &hyper::HeaderMap) -> hyper::HeaderMap {
    let mut kept = toucanledge_head::strip_hop_by_hop(headers);
    for name in [
        exchange::STATE_HEADER,
        exchange::SHED_HEADER,
        exchange::REQUEST_ID_HEADER,
    ] {
        kept.remove(name);
    }
    kept
}
