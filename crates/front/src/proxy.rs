//! Proxies requests from callers to backend servers.

use std::sync;
use std::time;

use hyper::body;
use hyper::header;
use toucanledge_core::{Millis, PoolId};
use toucanledge_steering::{
    CallerLimits, RouteRow, SelectionContext, SelectionError, ServerEntry, ServerKey,
};
use toucanledge_table::RepeatRule;

use crate::attempt::{AttemptTarget, RequestTrace};
use crate::buffer::BufferBudget;
use crate::clock::BootClock;
use crate::connection::IdleConnections;
use crate::header_names::HeaderNames;
use crate::outcome;
use crate::outcome::LastFailure;
use crate::request;
use crate::request::CallerRequest;
use crate::response;
use crate::response::{CallerResponse, RefusalReason, RequestRefusal};
use crate::settings::FrontSettings;
use crate::state::FleetState;
use crate::tries::AttemptAction;

/// Limit of request bodies in memory, in KiB. Together with the responses they take at most half of
/// the memory of the smallest VMs, which have 160 MB.
const REQUEST_BUFFER_KIB: usize = 48 * 1024;
/// Limit of response bodies in memory, in KiB.
const RESPONSE_BUFFER_KIB: usize = 32 * 1024;
/// Limit of attempts per request in which nothing was sent.
const MAX_UNSENT_ATTEMPTS: usize = 6;
/// Pause before a request selects a server again after it could be sent to none of the pool.
const RESELECT_PAUSE_MS: u64 = 40;
/// Time-out for the first records of a gateway that just started; reading the store takes a few
/// milliseconds.
const FIRST_RECORDS_TIMEOUT_MS: u64 = 300;
/// Time over which callers return after the first pause of a pool's servers is over, so that they do
/// not all come at one moment.
const PAUSE_SPREAD_MS: u64 = 1_000;

/// Serves requests of callers; shared by all tasks of the process.
#[derive(Debug)]
pub struct ProxyService {
    /// Settings of the process.
    pub settings: FrontSettings,
    /// Header names.
    pub header_names: HeaderNames,
    /// Clock of the process.
    pub clock: BootClock,
    /// Wakes the task that sends gossip messages; it collects further changes first.
    pub gossip_pending: tokio::sync::Notify,
    /// Wakes the task that sends gossip messages at once, for outcome reports of a failing server.
    pub gossip_urgent: tokio::sync::Notify,
    /// Whether peers were announced that this gateway has not contacted yet.
    pub discovery_pending: sync::atomic::AtomicBool,
    /// Wakes the task that reads the store.
    pub store_sync_due: tokio::sync::Notify,
    /// Wakes requests that wait for the first records.
    pub records_updated: tokio::sync::Notify,
    /// Idle connections to backend servers.
    pub connections: IdleConnections,
    state: sync::Mutex<FleetState>,
    request_buffers: BufferBudget,
    /// Memory of the response bodies that are read.
    pub response_buffers: BufferBudget,
}

/// A request with its route.
#[derive(Debug)]
pub struct RoutedRequest {
    /// Request of the caller.
    pub request: CallerRequest,
    /// Route that matched.
    pub route: RouteRow,
    /// Pool that runs the request.
    pub pool: PoolId,
    /// Time of the latency target.
    pub latency_target_at: Millis,
    /// Time at which the caller's deadline or the route's time-out expires.
    pub deadline: Millis,
}

impl ProxyService {
    /// Returns a service without records.
    #[must_use]
    pub fn new(settings: FrontSettings, header_names: HeaderNames, clock: BootClock) -> Self {
        Self {
            settings,
            header_names,
            clock,
            gossip_pending: tokio::sync::Notify::new(),
            gossip_urgent: tokio::sync::Notify::new(),
            discovery_pending: sync::atomic::AtomicBool::new(false),
            store_sync_due: tokio::sync::Notify::new(),
            records_updated: tokio::sync::Notify::new(),
            connections: IdleConnections::default(),
            state: sync::Mutex::default(),
            request_buffers: BufferBudget::new(REQUEST_BUFFER_KIB),
            response_buffers: BufferBudget::new(RESPONSE_BUFFER_KIB),
        }
    }

    /// Locks the state of the gateway; the guard must not be held across an `await`.
    pub fn state(&self) -> sync::MutexGuard<'_, FleetState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Removes outdated state and closes idle connections that are not used any more.
    pub fn remove_expired(&self, now: Millis) {
        let mut state = self.state();
        state.remove_expired(now);
        self.connections.remove_expired(now, |server| {
            state
                .servers
                .get(server)
                .is_some_and(ServerEntry::is_in_service)
        });
    }

    /// Returns the limits on callers; `None` without a routing table.
    #[must_use]
    pub fn limits(&self) -> Option<CallerLimits> {
        self.state()
            .routing_table
            .as_ref()
            .map(|table| table.limits())
    }

    /// Serves one request.
    pub async fn serve(
        self: sync::Arc<Self>,
        incoming: hyper::Request<body::Incoming>,
    ) -> CallerResponse {
        metrics::counter!("toucanledge_requests_total").increment(1);
        let arrived = self.clock.now();
        let (head, body) = incoming.into_parts();
        let mut trace = RequestTrace::new(&head, &self.header_names, arrived);
        let response = match self.route_request(head, body, arrived, &mut trace).await {
            Ok(routed) => self.forward(&routed, &mut trace).await,
            Err(reason) => {
                trace.refusal = Some(reason);
                response::refusal_response(reason)
            }
        };
        trace.finish(response.status(), self.clock.now());
        response
    }

    /// Waits for the first records, which a gateway that just started gets within milliseconds.
    async fn wait_for_records(&self) {
        let received = async {
            loop {
                let notified = self.records_updated.notified();
                if self.state().can_serve() {
                    return;
                }
                notified.await;
            }
        };
        let timeout = time::Duration::from_millis(FIRST_RECORDS_TIMEOUT_MS);
        if tokio::time::timeout(timeout, received).await.is_err() {
            metrics::counter!("toucanledge_waits_for_facts_in_vain_total").increment(1);
        }
    }

    async fn route_request(
        &self,
        head: hyper::http::request::Parts,
        body: body::Incoming,
        arrived: Millis,
        trace: &mut RequestTrace,
    ) -> Result<RoutedRequest, RefusalReason> {
        if toucanledge_head::is_ambiguous(&head) {
            return Err(RefusalReason::BadRequest);
        }
        self.wait_for_records().await;
        let table = self
            .state()
            .routing_table
            .clone()
            .ok_or(RefusalReason::NoTable)?;
        trace.table_version = table.version();
        let host = head
            .headers
            .get(header::HOST)
            .and_then(|host| host.to_str().ok())
            .or_else(|| head.uri.host())
            .unwrap_or_default()
            .to_owned();
        let route = table
            .route(&host, head.uri.path())
            .ok_or(RefusalReason::NoRoute)?
            .clone();
        trace.route.clone_from(&route.name);
        let pool = route
            .select_pool(rand::random::<f64>())
            .ok_or(RefusalReason::NoServer)?;
        let caller_deadline_ms = head
            .headers
            .get(&self.header_names.deadline_ms)
            .and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
        let deadline = arrived
            + caller_deadline_ms
                .unwrap_or(route.timeout_ms)
                .min(route.timeout_ms);
        {
            let mut state = self.state();
            let gateways = state.peers.all().count() + 1;
            let FrontSettings {
                retry_ratio,
                retry_slack,
                ..
            } = self.settings;
            state
                .budget(pool)
                .record_request(retry_ratio, retry_slack, gateways, arrived);
        }
        let max_body_bytes = table.limits().max_body_bytes;
        let request =
            request::read_request(head, body, max_body_bytes, &self.request_buffers).await?;
        Ok(RoutedRequest {
            request,
            latency_target_at: arrived + route.latency_target_ms,
            route,
            pool,
            deadline,
        })
    }

    /// Sends a request until it has a response or no further attempt is possible.
    async fn forward(
        self: &sync::Arc<Self>,
        routed: &RoutedRequest,
        trace: &mut RequestTrace,
    ) -> CallerResponse {
        let mut attempted: Vec<ServerKey> = Vec::new();
        let mut unsent_attempts = 0;
        let mut sent_attempts: u32 = 0;
        let mut last_failure = LastFailure {
            refusal: RefusalReason::TooLate.into(),
            response: None,
        };
        loop {
            let now = self.clock.now();
            if now >= routed.deadline {
                return outcome::final_response(last_failure, trace);
            }
            if sent_attempts > 0 && !self.state().budget(routed.pool).try_acquire(now) {
                trace.budget_spent = true;
                self.state().servers.record_pool_failure(routed.pool, now);
                return outcome::final_response(last_failure, trace);
            }
            let target = match self.select_server(routed, &attempted, sent_attempts, now) {
                Ok(target) => target,
                Err(refusal) => {
                    let reason = refusal.reason;
                    if sent_attempts > 0 {
                        self.state().budget(routed.pool).release(now);
                    }
                    if reason == RefusalReason::Full
                        && unsent_attempts < MAX_UNSENT_ATTEMPTS
                        && sent_attempts == 0
                    {
                        unsent_attempts += 1;
                        attempted.clear();
                        tokio::time::sleep(time::Duration::from_millis(RESELECT_PAUSE_MS)).await;
                        continue;
                    }
                    let last_reason = last_failure.refusal.reason;
                    let paused = reason == RefusalReason::Paused && last_reason.is_not_run();
                    if paused || last_reason == RefusalReason::TooLate {
                        last_failure.refusal = refusal;
                    }
                    return outcome::final_response(last_failure, trace);
                }
            };
            attempted.push(target.key);
            trace.servers.push(target.name.to_string());
            match self.attempt(routed, target, sent_attempts, trace).await {
                AttemptAction::Respond(response) => return response,
                AttemptAction::Reselect(reason) => {
                    if sent_attempts > 0 {
                        self.state().budget(routed.pool).release(now);
                    }
                    unsent_attempts += 1;
                    if last_failure.response.is_none() && sent_attempts == 0 {
                        last_failure.refusal = reason.into();
                    }
                    if unsent_attempts >= MAX_UNSENT_ATTEMPTS {
                        return outcome::final_response(last_failure, trace);
                    }
                }
                AttemptAction::Retry(reason, response) => {
                    sent_attempts += 1;
                    let name: &'static str = reason.into();
                    metrics::counter!("toucanledge_failed_sends_total", "reason" => name)
                        .increment(1);
                    // A refusal promises that the request did not run. A failure after which it may
                    // have run must not be replaced by a later refusal.
                    if last_failure.refusal.reason.is_not_run() || !reason.is_not_run() {
                        let refusal = reason.into();
                        last_failure = LastFailure { refusal, response };
                    }
                    if sent_attempts >= routed.route.max_attempts {
                        return outcome::final_response(last_failure, trace);
                    }
                }
            }
        }
    }

    fn select_server(
        self: &sync::Arc<Self>,
        routed: &RoutedRequest,
        attempted: &[ServerKey],
        sent_attempts: u32,
        now: Millis,
    ) -> Result<AttemptTarget, RequestRefusal> {
        let mut state = self.state();
        if state
            .crash_tracker
            .is_crash_suspect(routed.request.fingerprint, now)
        {
            return Err(RefusalReason::CrashSuspect.into());
        }
        let repeatable = routed.route.repeat_rule == RepeatRule::Repeatable;
        let attempt_left = sent_attempts + 1 < routed.route.max_attempts;
        let retry_available =
            repeatable && attempt_left && state.budget(routed.pool).has_reserve(now);
        if attempted.is_empty() {
            state.record_request(routed.pool, repeatable);
        }
        let context = SelectionContext {
            pool: routed.pool,
            repeat_rule: routed.route.repeat_rule,
            retry_available,
            probed_by_repeatable: state.probed_by_repeatable(routed.pool),
            attempted,
            failure_domain: &self.settings.failure_domain,
            latency_target_ms: routed
                .latency_target_at
                .since(now)
                .min(routed.deadline.since(now)),
            floor_share: self.settings.floor_share,
            max_rest_ms: if sent_attempts == 0 {
                let repeat_rule = routed.route.repeat_rule;
                state.reuse.max_rest_ms(routed.pool, repeat_rule, now)
            } else {
                // A retry must not be lost to a connection that rested.
                0
            },
        };
        let selected = state.servers.select(&context, now, &mut rand::rng());
        let (key, is_probe) = match selected {
            Ok(selected) => selected,
            Err(error) => return Err(selection_refusal(error)),
        };
        let Some(entry) = state.servers.get(key) else {
            return Err(RefusalReason::NoServer.into());
        };
        let target = AttemptTarget {
            key,
            process: entry.row.process(),
            name: sync::Arc::clone(&entry.row.name),
            is_probe,
            max_rest_ms: context.max_rest_ms,
        };
        drop(state);
        Ok(target)
    }
}

/// Returns how a request is refused for which no server was selected.
fn selection_refusal(error: SelectionError) -> RequestRefusal {
    match error {
        SelectionError::NoServer => RefusalReason::NoServer.into(),
        SelectionError::AllAttempted => RefusalReason::Full.into(),
        SelectionError::WouldExceedTarget => RefusalReason::Busy.into(),
        SelectionError::AllPaused { wait_ms } => RequestRefusal {
            reason: RefusalReason::Paused,
            retry_after_ms: wait_ms + rand::random_range(0..=PAUSE_SPREAD_MS),
        },
    }
}
