//! One attempt of a request at one backend server.
//!
//! The module keeps its name because log filters use its path.

use std::sync;
use std::time;

use toucanledge_core::Millis;
use toucanledge_steering::{AttemptOutcome, ServerKey};
use toucanledge_table::RepeatRule;

use crate::attempt::{AttemptTarget, InFlightGuard, RequestTrace};
use crate::connection::ServerConnection;
use crate::exchange;
use crate::exchange::{ConnectError, ExchangeOutcome, ExchangeResult, ServerResponse};
use crate::outcome;
use crate::proxy::{ProxyService, RoutedRequest};
use crate::response;
use crate::response::{CallerResponse, RefusalReason};

/// Time-out for opening a connection, after which another backend server is selected. A round trip
/// between failure domains takes 2 ms.
const CONNECT_TIMEOUT_MS: u64 = 80;
/// Rest of a connection from which its loss right after the next request may be due to the rest.
const MIN_STALE_REST_MS: u64 = 200;
/// Time from sending a request to the loss of a connection that was stale before; a few round trips
/// between failure domains. A later loss ended the run of the request.
const MAX_STALE_LOSS_MS: u64 = 20;
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
    /// Connects to a backend server and sends the request there.
    pub(crate) async fn attempt(
        self: &sync::Arc<Self>,
        routed: &RoutedRequest,
        target: AttemptTarget,
        sent_attempts: u32,
        trace: &mut RequestTrace,
    ) -> AttemptAction {
        let in_flight = InFlightGuard::new(self, &target);
        let (connection, rest_ms) = match self.open_connection(routed, &target).await {
            Ok(opened) => opened,
            Err(error) => {
                self.record_connect_error(&target, error);
                return AttemptAction::Reselect(RefusalReason::NoConnection);
            }
        };
        let sent = self.clock.now();
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
        let reused = rest_ms.is_some();
        let sending = exchange::send_request(
            connection,
            outgoing,
            &self.header_names,
            &self.response_buffers,
            deadline,
            reused,
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
        let (outcome, connection) = match result {
            ExchangeResult::Unsent => {
                trace.outcomes.push("unsent".to_owned());
                return AttemptAction::Reselect(RefusalReason::NoConnection);
            }
            ExchangeResult::Ended(outcome, connection) => (outcome, connection),
        };
        if let Some((connection, idle_timeout_ms)) = connection {
            self.keep_connection(&target, connection, idle_timeout_ms);
        }
        trace.outcomes.push(outcome::outcome_name(&outcome));
        if let Some(rest_ms) = rest_ms
            && matches!(outcome, ExchangeOutcome::ConnectionLost)
            && rest_ms >= MIN_STALE_REST_MS
            && latency_ms <= MAX_STALE_LOSS_MS
        {
            return self.handle_lost_connection(routed, &target, rest_ms);
        }
        self.handle_outcome(routed, &target, outcome, latency_ms)
    }

    /// Returns an idle connection to the backend server with its rest in milliseconds, or a new
    /// connection.
    async fn open_connection(
        self: &sync::Arc<Self>,
        routed: &RoutedRequest,
        target: &AttemptTarget,
    ) -> Result<(ServerConnection, Option<u64>), ConnectError> {
        let idle = self
            .connections
            .take(target.key, target.max_rest_ms, self.clock.now());
        self.update_idle_since(target.key);
        if let Some((connection, rest_ms)) = idle
            && connection.is_idle().await
        {
            metrics::counter!("toucanledge_reused_connections_total").increment(1);
            return Ok((connection, Some(rest_ms)));
        }
        let remaining_ms = routed.deadline.since(self.clock.now());
        let timeout = time::Duration::from_millis(CONNECT_TIMEOUT_MS.min(remaining_ms));
        metrics::counter!("toucanledge_opened_connections_total").increment(1);
        let stream = exchange::connect(target.address, timeout).await?;
        let proxy = sync::Arc::clone(self);
        let (id, name) = (target.id, sync::Arc::clone(&target.name));
        let on_foreign_bytes = move || {
            log::info!("[path] server={name} sent bytes that belong to no request");
            metrics::counter!("toucanledge_foreign_bytes_total").increment(1);
            let now = proxy.clock.now();
            proxy.state().reuse.record_foreign_bytes(id, now);
        };
        let connection = ServerConnection::start(stream, on_foreign_bytes).await;
        Ok((connection.ok_or(ConnectError::Refused)?, None))
    }

    /// Keeps a connection whose response was read whole, unless the backend server closes it soon
    /// or is distrusted.
    fn keep_connection(
        &self,
        target: &AttemptTarget,
        connection: ServerConnection,
        idle_timeout_ms: Option<u64>,
    ) {
        let now = self.clock.now();
        let keep_ms = self.state().reuse.keep_ms(target.id, idle_timeout_ms, now);
        if let Some(keep_ms) = keep_ms {
            self.connections
                .put(target.key, connection, now, now + keep_ms);
            self.update_idle_since(target.key);
        }
    }

    fn update_idle_since(&self, server: ServerKey) {
        let idle_since = self.connections.idle_since(server);
        if let Some(entry) = self.state().servers.get_mut(server) {
            entry.idle_connection_since = idle_since;
        }
    }

    /// Handles the loss of a connection that carried a request before. It may have been lost while
    /// it rested, so it is no evidence against the backend server or the request.
    fn handle_lost_connection(
        &self,
        routed: &RoutedRequest,
        target: &AttemptTarget,
        rest_ms: u64,
    ) -> AttemptAction {
        log::info!(
            "[path] server={} connection=Lost rested_ms={rest_ms}",
            target.name
        );
        metrics::counter!("toucanledge_lost_idle_connections_total").increment(1);
        let now = self.clock.now();
        self.connections.close(target.key);
        self.update_idle_since(target.key);
        self.state().reuse.record_lost(routed.pool, rest_ms, now);
        if routed.route.repeat_rule == RepeatRule::Repeatable {
            AttemptAction::Retry(RefusalReason::Broken, None)
        } else {
            let reason = RefusalReason::Broken;
            AttemptAction::Respond(response::refusal_response(reason, outcome::RETRY_AFTER_MS))
        }
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
        let stalled =
            now.since(sent) >= threshold_ms && !state.servers.responded_since(target.id, sent);
        suspected && stalled && state.budget(routed.pool).has_reserve(now)
    }

    fn record_connect_error(&self, target: &AttemptTarget, error: ConnectError) {
        let now = self.clock.now();
        let mut state = self.state();
        if error == ConnectError::Refused {
            state.record_outcome(target.id, AttemptOutcome::Refused, 0, None, now);
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
            target.id,
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
        let retry_or_refuse = |reason: RefusalReason| {
            if repeatable {
                AttemptAction::Retry(reason, None)
            } else {
                AttemptAction::Respond(response::refusal_response(reason, outcome::RETRY_AFTER_MS))
            }
        };
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
                self.state().servers.remove(target.id);
                AttemptAction::Retry(RefusalReason::Full, None)
            }
            ExchangeOutcome::ConnectionLost => retry_or_refuse(RefusalReason::Broken),
            ExchangeOutcome::InvalidResponse => retry_or_refuse(RefusalReason::BadAnswer),
            ExchangeOutcome::Timeout => retry_or_refuse(RefusalReason::Silent),
        }
    }
}
