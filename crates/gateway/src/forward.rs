//! Carries one request from a caller to a backend server and back.

use std::sync;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt;
use toucanledge_claims::{ClaimKey, ClaimOutcome, StoredResponse};
use toucanledge_core::{CallerHash, RefusalReason, RequestOutcome, RetryReason, TableRevision};
use toucanledge_slots::LeaseOutcome;
use toucanledge_table::{ClassRow, RepeatRule};
use xxhash_rust::xxh3;

use crate::answer;
use crate::answer::{CallerAnswer, RequestRefusal};
use crate::backend::BackendPool;
use crate::board::FlightGuard;
use crate::exchange;
use crate::exchange::{BackendAnswer, BodyEnd, ExchangeEnd, ExchangePlan, StreamedBody};
use crate::kernel::KernelHandle;
use crate::plugin::{ClaimDecision, ClaimPermit, SlotDecision, SlotRequest, SlotTicket};
use crate::request::CallerRequest;
use crate::retry::RetryBudgets;
use crate::tries;
use crate::tries::TryLog;

/// Tries of one request, the first included.
const MAX_TRIES: usize = 3;
/// Greatest size in bytes of an answer that voters store.
const MAX_STORED_BYTES: usize = 64 * 1024;
/// Greatest size in bytes of an answer to keyed work, which the gateway holds whole.
const MAX_KEYED_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Carries requests.
#[derive(Debug)]
pub struct Forwarder {
    kernel: sync::Arc<KernelHandle>,
    pool: sync::Arc<BackendPool>,
    budgets: RetryBudgets,
}

/// A request with the row that matches it.
struct RoutedRequest {
    request: CallerRequest,
    class: ClassRow,
    table: TableRevision,
    deadline: time::Instant,
}

/// What to do after one try.
enum TryStep {
    Answered(Box<BackendAnswer>, SlotTicket, time::Instant),
    Again(RetryReason),
    Refuse(RequestRefusal),
}

impl Forwarder {
    /// Returns a forwarder that uses the plug-ins of the kernel.
    #[must_use]
    pub fn new(kernel: sync::Arc<KernelHandle>) -> Self {
        let pool = sync::Arc::new(BackendPool::new(kernel.settings.peer_source));
        Self {
            kernel,
            pool,
            budgets: RetryBudgets::default(),
        }
    }

    /// Returns the connections to backend servers.
    #[must_use]
    pub fn pool(&self) -> &sync::Arc<BackendPool> {
        &self.pool
    }

    /// Carries a request and returns the answer for its caller.
    pub async fn forward(self: sync::Arc<Self>, request: CallerRequest) -> CallerAnswer {
        let routed = match self.route(request) {
            Ok(routed) => routed,
            Err(refusal) => return answer::refusal_answer(&refusal),
        };
        match routed.class.repeat {
            RepeatRule::Repeatable => self.forward_repeatable(routed).await,
            RepeatRule::Keyed => {
                // A task of its own, so that a caller who leaves does not stop the bookkeeping.
                let guard = FlightGuard::enter(&self.kernel.board);
                let task = tokio::spawn(async move {
                    let _guard = guard;
                    self.forward_keyed(routed).await
                });
                task.await
                    .unwrap_or_else(|_| answer::refusal_answer(&internal_failure()))
            }
        }
    }

    fn route(&self, request: CallerRequest) -> Result<RoutedRequest, RequestRefusal> {
        let plain = |reason| RequestRefusal {
            reason,
            outcome: RequestOutcome::NotRun,
            row: None,
            table: TableRevision::default(),
            retry_after: 1000,
        };
        let board = &self.kernel.board;
        if !board.current_view().heard {
            return Err(plain(RefusalReason::NotHeard));
        }
        let table = board
            .current_table()
            .ok_or_else(|| plain(RefusalReason::NoTable))?;
        let Some(class) = table.route(request.method.as_str(), request.path()) else {
            return Err(RequestRefusal {
                table: table.revision(),
                ..plain(RefusalReason::NoRoute)
            });
        };
        let deadline = time::Instant::now() + time::Duration::from_millis(class.deadline_ms.into());
        let routed = RoutedRequest {
            class: class.clone(),
            table: table.revision(),
            request,
            deadline,
        };
        self.check_suspicion(&routed)?;
        Ok(routed)
    }

    fn check_suspicion(&self, routed: &RoutedRequest) -> Result<(), RequestRefusal> {
        let view = self.kernel.board.current_view();
        let losses = view
            .suspicions
            .get(&routed.request.fingerprint)
            .copied()
            .unwrap_or(0);
        if losses < tries::MAX_LOSSES {
            return Ok(());
        }
        Err(routed.refusal(RefusalReason::CrashSuspect, RequestOutcome::NotRun))
    }

    async fn forward_repeatable(&self, routed: RoutedRequest) -> CallerAnswer {
        self.budgets.count_request(&routed.class);
        let mut tries = TryLog::default();
        loop {
            let refusal = match self.try_once(&routed, &mut tries, None).await {
                TryStep::Answered(backend_answer, ticket, started) => {
                    return self.stream_answer(&routed, backend_answer, ticket, started);
                }
                TryStep::Refuse(refusal) => refusal,
                TryStep::Again(reason) => match self.allow_retry(&routed, reason, &mut tries) {
                    Ok(()) => {
                        // Another loss is then counted on top of this one, by whichever dispatcher.
                        tries.wait_for_notice().await;
                        continue;
                    }
                    Err(refusal) => refusal,
                },
            };
            tries.wait_for_notice().await;
            return answer::refusal_answer(&tries.correct(refusal));
        }
    }

    fn allow_retry(
        &self,
        routed: &RoutedRequest,
        reason: RetryReason,
        tries: &mut TryLog,
    ) -> Result<(), RequestRefusal> {
        tries.note(reason);
        self.check_suspicion(routed)?;
        // The dispatchers of several shards may each know of one loss only.
        if tries.losses >= tries::MAX_LOSSES {
            return Err(routed.refusal(RefusalReason::CrashSuspect, RequestOutcome::NotRun));
        }
        if tries.servers.len() >= MAX_TRIES {
            return Err(routed.refusal(tries::last_failure(reason), RequestOutcome::NotRun));
        }
        // The budget was charged when the stalled try was given up.
        if reason != RetryReason::Stalled && !self.budgets.take(&routed.class) {
            return Err(routed.refusal(RefusalReason::RetryBudget, RequestOutcome::NotRun));
        }
        let name: &'static str = reason.into();
        metrics::counter!("toucanledge_retries_total", "reason" => name).increment(1);
        Ok(())
    }

    /// Sends a request; repeatable work is given up when its backend server is ejected meanwhile.
    async fn send(
        &self,
        routed: &RoutedRequest,
        plan: &ExchangePlan,
        ticket: &mut SlotTicket,
        may_retry: bool,
    ) -> ExchangeEnd {
        let sending = exchange::exchange(&self.pool, &routed.request, plan);
        tokio::pin!(sending);
        tokio::select! {
            end = &mut sending => return end,
            () = ticket.revoked(), if may_retry => {}
        }
        if self.budgets.take(&routed.class) {
            return ExchangeEnd::Stalled;
        }
        sending.await
    }

    /// Obtains a slot and sends the request once.
    async fn try_once(
        &self,
        routed: &RoutedRequest,
        tries: &mut TryLog,
        permit: Option<&ClaimPermit>,
    ) -> TryStep {
        let decision = SlotTicket::obtain(&self.kernel, |reply| SlotRequest {
            class: routed.class.class_id,
            pool: routed.class.pool_id,
            caller: routed.request.caller,
            route: routed.request.route(),
            fingerprint: routed.request.fingerprint,
            deadline: self.kernel.clock.millis(routed.deadline),
            queue_ms: routed.class.queue_ms,
            exclude: tries.servers.clone(),
            reply,
        })
        .await;
        let mut ticket = match decision {
            SlotDecision::Granted(ticket) => ticket,
            SlotDecision::Refused {
                reason,
                retry_after,
                table,
            } => {
                let refusal = routed.refusal(reason, RequestOutcome::NotRun);
                return TryStep::Refuse(RequestRefusal {
                    table,
                    retry_after,
                    ..refusal
                });
            }
        };
        tries.servers.push(ticket.backend());
        let plan = ExchangePlan {
            address: ticket.address(),
            request_id: self.next_request_id(),
            deadline: routed.deadline,
            start_by: permit.map(ClaimPermit::start_by),
            send_until: permit.map_or(ticket.usable_until(), |permit| {
                permit.until().min(ticket.usable_until())
            }),
        };
        let started = time::Instant::now();
        let may_retry = permit.is_none() && tries.servers.len() < MAX_TRIES;
        let end = self.send(routed, &plan, &mut ticket, may_retry).await;
        let fail = |reason, outcome| TryStep::Refuse(routed.refusal(reason, outcome));
        match end {
            ExchangeEnd::Answered(answer) => TryStep::Answered(answer, ticket, started),
            ExchangeEnd::Shed { leaving } => {
                ticket.finish(LeaseOutcome::Shed, started, leaving);
                TryStep::Again(RetryReason::Shed)
            }
            ExchangeEnd::ConnectFailed => {
                ticket.finish(LeaseOutcome::ConnectFailed, started, false);
                TryStep::Again(RetryReason::ConnectFailed)
            }
            ExchangeEnd::Stalled => {
                ticket.finish(LeaseOutcome::Cancelled, started, false);
                TryStep::Again(RetryReason::Stalled)
            }
            ExchangeEnd::SendExpired => {
                ticket.finish(LeaseOutcome::Cancelled, started, false);
                if permit.is_some_and(|permit| time::Instant::now() >= permit.until()) {
                    fail(RefusalReason::ClaimExpired, RequestOutcome::NotRun)
                } else {
                    TryStep::Again(RetryReason::GrantExpired)
                }
            }
            ExchangeEnd::ConnectDeadline => {
                ticket.finish(LeaseOutcome::ConnectFailed, started, false);
                fail(RefusalReason::DeadlineExceeded, RequestOutcome::NotRun)
            }
            ExchangeEnd::ConnectionLost => {
                ticket.finish(LeaseOutcome::ConnectionLost, started, false);
                TryStep::Again(RetryReason::ConnectionLost)
            }
            ExchangeEnd::BadAnswer => {
                ticket.finish(LeaseOutcome::BadAnswer, started, false);
                TryStep::Again(RetryReason::BadAnswer)
            }
            ExchangeEnd::DeadlineExceeded => {
                ticket.finish(LeaseOutcome::DeadlineExceeded, started, false);
                fail(RefusalReason::DeadlineExceeded, RequestOutcome::Unknown)
            }
        }
    }

    fn stream_answer(
        &self,
        routed: &RoutedRequest,
        backend_answer: Box<BackendAnswer>,
        ticket: SlotTicket,
        started: time::Instant,
    ) -> CallerAnswer {
        let BackendAnswer {
            parts,
            body,
            connection,
            leaving,
        } = *backend_answer;
        let on_end = move |end: BodyEnd| {
            let outcome = match end {
                BodyEnd::Whole => LeaseOutcome::Completed,
                BodyEnd::Broken => LeaseOutcome::BadAnswer,
                BodyEnd::DeadlineExceeded => LeaseOutcome::DeadlineExceeded,
                BodyEnd::Dropped => LeaseOutcome::Cancelled,
            };
            ticket.finish(outcome, started, leaving);
        };
        let pool = sync::Arc::clone(&self.pool);
        let streamed = StreamedBody::new(body, connection, pool, routed.deadline, on_end);
        let mut response = hyper::Response::new(streamed.boxed_unsync());
        *response.status_mut() = parts.status;
        *response.headers_mut() = clean_headers(&parts.headers);
        answer::mark_ran(response.headers_mut());
        response
    }

    async fn forward_keyed(&self, routed: RoutedRequest) -> CallerAnswer {
        let key = claim_key(&routed);
        match ClaimPermit::obtain(&self.kernel, key, routed.deadline).await {
            ClaimDecision::Permit(permit) => self.run_keyed(&routed, permit).await,
            ClaimDecision::Replay(stored) => answer::stored_answer(&stored, true),
            ClaimDecision::Refused { reason, outcome } => {
                answer::refusal_answer(&routed.refusal(reason, outcome))
            }
        }
    }

    /// Runs keyed work under a permit; only a try that was not run is made again.
    async fn run_keyed(&self, routed: &RoutedRequest, permit: ClaimPermit) -> CallerAnswer {
        self.budgets.count_request(&routed.class);
        let mut tries = TryLog::default();
        loop {
            let refusal = match self.try_once(routed, &mut tries, Some(&permit)).await {
                TryStep::Answered(backend_answer, ticket, started) => {
                    return self
                        .collect_answer(routed, backend_answer, ticket, started, permit)
                        .await;
                }
                TryStep::Refuse(refusal) => refusal,
                TryStep::Again(
                    reason @ (RetryReason::Shed
                    | RetryReason::ConnectFailed
                    | RetryReason::GrantExpired),
                ) => match self.allow_retry(routed, reason, &mut tries) {
                    Ok(()) => continue,
                    Err(refusal) => refusal,
                },
                TryStep::Again(reason) => {
                    tries.note(reason);
                    routed.refusal(tries::last_failure(reason), RequestOutcome::Unknown)
                }
            };
            permit.finish(match refusal.outcome {
                RequestOutcome::NotRun => ClaimOutcome::NotRun,
                _ => ClaimOutcome::Unknown,
            });
            tries.wait_for_notice().await;
            return answer::refusal_answer(&refusal);
        }
    }

    async fn collect_answer(
        &self,
        routed: &RoutedRequest,
        backend_answer: Box<BackendAnswer>,
        ticket: SlotTicket,
        started: time::Instant,
        permit: ClaimPermit,
    ) -> CallerAnswer {
        let BackendAnswer {
            parts,
            body,
            connection,
            leaving,
        } = *backend_answer;
        let limited = http_body_util::Limited::new(body, MAX_KEYED_ANSWER_BYTES);
        let deadline = routed.deadline.into();
        let (outcome, reason) = match tokio::time::timeout_at(deadline, limited.collect()).await {
            Ok(Ok(collected)) => {
                ticket.finish(LeaseOutcome::Completed, started, leaving);
                self.pool.give_back(connection);
                let stored = to_stored(&parts, collected.to_bytes());
                permit.finish(to_result(&stored));
                return answer::stored_answer(&stored, false);
            }
            Ok(Err(_)) => (LeaseOutcome::BadAnswer, RefusalReason::BadAnswer),
            Err(_) => (
                LeaseOutcome::DeadlineExceeded,
                RefusalReason::DeadlineExceeded,
            ),
        };
        ticket.finish(outcome, started, leaving);
        permit.finish(ClaimOutcome::Unknown);
        answer::refusal_answer(&routed.refusal(reason, RequestOutcome::Unknown))
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
            table: self.table,
            retry_after: 1000,
        }
    }
}

fn internal_failure() -> RequestRefusal {
    RequestRefusal {
        reason: RefusalReason::ConnectionLost,
        outcome: RequestOutcome::Unknown,
        row: None,
        table: TableRevision::default(),
        retry_after: 1000,
    }
}

/// Returns the key of keyed work: the caller's key, else the fingerprint of the request.
fn claim_key(routed: &RoutedRequest) -> ClaimKey {
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(routed.class.class.as_bytes());
    let CallerHash(caller) = routed.request.caller;
    hasher.update(&caller.to_le_bytes());
    if let Some(key) = &routed.request.idempotency_key {
        hasher.update(b"key");
        hasher.update(key);
    } else {
        hasher.update(b"fingerprint");
        hasher.update(&routed.request.fingerprint.0.to_le_bytes());
    }
    ClaimKey(hasher.digest128())
}

fn clean_headers(headers: &hyper::HeaderMap) -> hyper::HeaderMap {
    let mut cleaned = toucanledge_head::strip_hop_by_hop(headers);
    for name in [
        exchange::STATE_HEADER,
        exchange::SHED_HEADER,
        exchange::REQUEST_ID_HEADER,
    ] {
        cleaned.remove(name);
    }
    cleaned
}

fn to_stored(parts: &hyper::http::response::Parts, body: Bytes) -> StoredResponse {
    let headers = clean_headers(&parts.headers)
        .iter()
        .filter(|(name, _)| *name != hyper::header::CONTENT_LENGTH)
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect();
    StoredResponse {
        status: parts.status.as_u16(),
        headers,
        body,
    }
}

fn to_result(stored: &StoredResponse) -> ClaimOutcome {
    if stored.body.len() <= MAX_STORED_BYTES {
        ClaimOutcome::Ran(stored.clone())
    } else {
        ClaimOutcome::RanUnstored
    }
}
