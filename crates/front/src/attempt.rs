//! Bookkeeping of one request and of its attempts.

use std::sync;

use hyper::StatusCode;
use toucanledge_core::Millis;
use toucanledge_steering::{ServerId, ServerKey, ServerProcess};

use crate::header_names::HeaderNames;
use crate::proxy::ProxyService;
use crate::response::RefusalReason;

/// Backend server that an attempt is sent to.
#[derive(Clone, Debug)]
pub struct AttemptTarget {
    /// Key in the server registry.
    pub key: ServerKey,
    /// Process that is addressed; its identifier is that in gossip messages.
    pub process: ServerProcess,
    /// Published name.
    pub name: sync::Arc<str>,
    /// Whether the attempt probes a suspected server.
    pub is_probe: bool,
    /// Rest in milliseconds from which the attempt does not use an idle connection; 0 for a new one.
    pub max_rest_ms: u64,
}

/// Counts an attempt as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    proxy: sync::Arc<ProxyService>,
    key: ServerKey,
    id: ServerId,
    is_probe: bool,
    start: Millis,
}

impl InFlightGuard {
    /// Counts an attempt as in flight and has the change sent to the peers.
    #[must_use]
    pub fn new(proxy: &sync::Arc<ProxyService>, target: &AttemptTarget) -> Self {
        let guard = Self {
            proxy: sync::Arc::clone(proxy),
            key: target.key,
            id: target.process.id,
            is_probe: target.is_probe,
            start: proxy.clock.now(),
        };
        guard.adjust(1);
        guard
    }

    fn adjust(&self, change: i32) {
        let mut state = self.proxy.state();
        if let Some(entry) = state.servers.get_mut(self.key) {
            entry.local_in_flight = entry.local_in_flight.saturating_add_signed(change);
            if change > 0 {
                entry.in_flight_since.push(self.start);
                entry.last_used = Some(self.start);
            } else if let Some(index) = entry
                .in_flight_since
                .iter()
                .position(|at| *at == self.start)
            {
                entry.in_flight_since.swap_remove(index);
            }
            if self.is_probe {
                entry.probes_in_flight = entry.probes_in_flight.saturating_add_signed(change);
            }
        }
        state.mark_in_flight_changed(self.id);
        drop(state);
        self.proxy.gossip_pending.notify_one();
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.adjust(-1);
    }
}

/// Collects the fields of the log line that is written when a request ends or its caller leaves.
#[derive(Debug)]
pub struct RequestTrace {
    /// Identifier of the request.
    pub id: String,
    /// Name of the route that matched.
    pub route: String,
    /// Version of the routing table that was used.
    pub table_version: u64,
    /// Backend servers that were selected, in order.
    pub servers: Vec<String>,
    /// Outcome of each exchange, in order.
    pub outcomes: Vec<String>,
    /// Why the gateway responded itself.
    pub refusal: Option<RefusalReason>,
    /// Whether a retry was prevented because the retry budget was used up.
    pub budget_spent: bool,
    arrived: Millis,
    finished: bool,
}

impl RequestTrace {
    /// Returns the trace of a request that just arrived.
    #[must_use]
    pub fn new(
        head: &hyper::http::request::Parts,
        header_names: &HeaderNames,
        arrived: Millis,
    ) -> Self {
        let id = head
            .headers
            .get(&header_names.request_id)
            .and_then(|id| id.to_str().ok())
            .unwrap_or("-")
            .to_owned();
        Self {
            route: String::new(),
            table_version: 0,
            servers: Vec::new(),
            outcomes: Vec::new(),
            refusal: None,
            budget_spent: false,
            id,
            arrived,
            finished: false,
        }
    }

    /// Logs the end of the request.
    pub fn finish(&mut self, status: StatusCode, now: Millis) {
        self.finished = true;
        let duration_ms = now.since(self.arrived);
        metrics::histogram!("toucanledge_request_ms")
            .record(f64::from(u32::try_from(duration_ms).unwrap_or(u32::MAX)));
        let reason: &'static str = self.refusal.map_or("none", Into::into);
        log::info!(
            "[request] id={} route={} table={} servers={} ends={} status={} reason={reason} \
             budget_spent={} ms={duration_ms}",
            self.id,
            self.route,
            self.table_version,
            self.servers.join(","),
            self.outcomes.join(","),
            status.as_u16(),
            self.budget_spent,
        );
    }
}

impl Drop for RequestTrace {
    fn drop(&mut self) {
        if !self.finished {
            log::info!(
                "[request] id={} route={} table={} servers={} ends={} caller left",
                self.id,
                self.route,
                self.table_version,
                self.servers.join(","),
                self.outcomes.join(","),
            );
        }
    }
}
