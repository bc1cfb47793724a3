//! One attempt of a request at one backend server.
//!
//! The module keeps its name because log filters use its path.

use std::sync;
use std::time;

use toucanledge_core::Millis;
use toucanledge_steering::AttemptOutcome;
use toucanledge_table::RepeatRule;

use crate::attempt::{AttemptTarget, InFlightGuard, RequestTrace};
use crate::exchange;
use crate::exchange::{ConnectError, ExchangeOutcome, ExchangeResult, ServerResponse};
use crate::outcome;
use crate::proxy::{ProxyService, RoutedRequest};
use crate::response;
use crate::response::{CallerResponse, RefusalReason};
use crate::reuse;

/// Interval at which a repeatable request checks whether to leave a stalled server.
const STALL_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// What happens to the request after an attempt.
#[derive(Debug)]
pub enum AttemptAction {
    /// Send the response to the caller.
    Respond(CallerResponse),
    /// Nothing was sent: select another backend server.
    Reselect(RefusalReason),
    /// The attempt failed: retry if possible. Carries the backend server's own response if there is
    /// one.
    Retry(RefusalReason, Option<ServerResponse>),
}

impl ProxyService {
    /// Sends a request to a backend server on an idle or a new connection.
    pub(crate) async fn attempt(
        self: &sync::Arc<Self>,
        routed: &RoutedRequest,
        target: AttemptTarget,
        sent_attempts: u32,
        trace: &mut RequestTrace,
    ) -> AttemptAction {
        let in_flight = InFlightGuard::new(self, &target);
        let opened = match self.open_connection(routed, &target).await {
            Ok(opened) => opened,
            Err(error) => {
                self.record_connect_error(&target, error);
                return AttemptAction::Reselect(RefusalReason::NoConnection);
            }
        };
        let sent = self.clock.now();
        if !self.accepts_work(&target, sent) {
            trace.outcomes.push("unsent".to_owned());
            return AttemptAction::Reselect(RefusalReason::NoServer);
        }
        let remaining_ms = routed.deadline.since(sent);
        let outgoing = exchange::build_request(
            &routed.request,
            &target.name,
            remaining_ms,
            &self.header_names,
        );
        let Some(outgoing) = outgoing.filter(|_| remaining_ms > 0) else {
            return AttemptAction::Reselect(RefusalReason::TooLate);
        };
        let deadline = time::Instant::now() + time::Duration::from_millis(remaining_ms);
        let rest_ms = opened.rest_ms;
        let request_id = trace.id.clone();
        let sending = exchange::send_request(
            opened.connection,
            outgoing,
            &self.header_names,
            &self.response_buffers,
            deadline,
            rest_ms.is_some(),
            |head| self.record_notice(&target, &request_id, head),
        );
        tokio::pin!(sending);
        let result = loop {
            tokio::select! {
                result = &mut sending => break result,
                () = tokio::time::sleep(STALL_CHECK_INTERVAL) => {}
            }
            if self.should_leave_stalled_server(routed, &target, sent_attempts, sent) {
                break ExchangeResult::Ended(ExchangeOutcome::Timeout, None);
            }
        };
        let latency_ms = self.clock.now().since(sent);
        drop(in_flight);
        let (outcome, reusable) = match result {
            ExchangeResult::Unsent => {
                trace.outcomes.push("unsent".to_owned());
                return AttemptAction::Reselect(RefusalReason::NoConnection);
            }
            ExchangeResult::Ended(outcome, reusable) => (outcome, reusable),
        };
        if let Some(reusable) = reusable {
            self.keep_connection(&target, reusable);
        }
        trace.outcomes.push(outcome::outcome_name(&outcome));
        if let Some(rest_ms) = rest_ms
            && matches!(outcome, ExchangeOutcome::ConnectionLost)
            && reuse::is_lost_while_idle(rest_ms, latency_ms)
        {
            self.record_lost_connection(routed.pool, &target, rest_ms);
            return retry_or_refuse(routed, RefusalReason::Broken);
        }
        self.handle_outcome(routed, &target, outcome, latency_ms)
    }

    /// Returns whether a repeatable request should leave a suspected server on which it is stalled.
    /// A retry must be left, in the route's limit and in the budget.
    fn should_leave_stalled_server(
        &self,
        routed: &RoutedRequest,
        target: &AttemptTarget,
        sent_attempts: u32,
        sent: Millis,
    ) -> bool {
        let repeatable = routed.route.repeat_rule == RepeatRule::Repeatable;
        if !repeatable || sent_attempts + 1 >= routed.route.max_attempts {
            return false;
        }
        let now = self.clock.now();
        let mut state = self.state();
        let threshold_ms = state.servers.stall_threshold_ms(routed.pool);
        let suspected = state
            .servers
            .get(target.key)
            .is_none_or(|entry| entry.health.is_suspected());
        let stalled = now.since(sent) >= threshold_ms
            && !state.servers.responded_since(target.process.id, sent);
        suspected && stalled && state.budget(routed.pool).has_reserve(now)
    }

    fn record_connect_error(&self, target: &AttemptTarget, error: ConnectError) {
        let now = self.clock.now();
        let mut state = self.state();
        if error == ConnectError::Refused {
            state.record_outcome(target.process.id, AttemptOutcome::Refused, 0, None, now);
        }
        if let Some(entry) = state.servers.get_mut(target.key) {
            entry.health.record_connect_failure(now);
            let pool = entry.row.pool;
            state.servers.record_pool_failure(pool, now);
        }
        drop(state);
        log::info!(
            "[path] server={} connection={error:?} trial={}",
            target.name,
            target.is_probe
        );
        self.gossip_pending.notify_one();
    }

    /// Records the outcome of an exchange and returns what happens to the request.
    fn handle_outcome(
        &self,
        routed: &RoutedRequest,
        target: &AttemptTarget,
        outcome: ExchangeOutcome,
        latency_ms: u64,
    ) -> AttemptAction {
        let repeatable = routed.route.repeat_rule == RepeatRule::Repeatable;
        let attempt_outcome = outcome::attempt_outcome(&outcome);
        let crash_request = matches!(outcome, ExchangeOutcome::ConnectionLost)
            .then_some(routed.request.fingerprint);
        if self.state().record_outcome(
            target.process.id,
            attempt_outcome,
            latency_ms,
            crash_request,
            self.clock.now(),
        ) {
            log::info!(
                "[health] server={} evidence={attempt_outcome} took_ms={latency_ms} trial={}",
                target.name,
                target.is_probe
            );
            self.gossip_urgent.notify_one();
        }
        match outcome {
            ExchangeOutcome::Response(server_response) => {
                let server_error = server_response.status.is_server_error();
                if server_error && repeatable {
                    AttemptAction::Retry(RefusalReason::Broken, Some(server_response))
                } else {
                    AttemptAction::Respond(outcome::forward_response(server_response))
                }
            }
            ExchangeOutcome::Overloaded => AttemptAction::Retry(RefusalReason::Full, None),
            ExchangeOutcome::WrongServer => {
                let now = self.clock.now();
                self.state().servers.remove(target.process.id, now);
                AttemptAction::Retry(RefusalReason::Full, None)
            }
            ExchangeOutcome::ConnectionLost => retry_or_refuse(routed, RefusalReason::Broken),
            ExchangeOutcome::InvalidResponse => retry_or_refuse(routed, RefusalReason::BadAnswer),
            ExchangeOutcome::Timeout => retry_or_refuse(routed, RefusalReason::Silent),
        }
    }
}

/// Returns what happens to a request that may have run and has no response.
fn retry_or_refuse(routed: &RoutedRequest, reason: RefusalReason) -> AttemptAction {
    if routed.route.repeat_rule == RepeatRule::Repeatable {
        AttemptAction::Retry(reason, None)
    } else {
        AttemptAction::Respond(response::refusal_response(reason))
    }
}
