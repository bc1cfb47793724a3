//! Opens connections to backend servers, and keeps them for further requests.

use std::sync;
use std::time;

use toucanledge_core::PoolId;
use toucanledge_steering::{ConnectionRest, ServerKey};

use crate::attempt::AttemptTarget;
use crate::connection::ServerConnection;
use crate::exchange;
use crate::exchange::{ConnectError, ReusableConnection};
use crate::proxy::{ProxyService, RoutedRequest};

/// Time-out for opening a connection, after which another backend server is selected. A round trip
/// between failure domains takes 2 ms.
const CONNECT_TIMEOUT_MS: u64 = 80;
/// Rest of a connection from which its loss right after the next request may be due to the rest.
const MIN_STALE_REST_MS: u64 = 200;
/// Time from sending a request to the loss of a connection that was stale before; a few round trips
/// between failure domains. A later loss ended the run of the request.
const MAX_STALE_LOSS_MS: u64 = 20;

/// Connection for one attempt.
#[derive(Debug)]
pub struct OpenedConnection {
    /// The connection.
    pub connection: ServerConnection,
    /// How long it rested after its last response, in milliseconds; `None` for a new one.
    pub rest_ms: Option<u64>,
}

/// Returns whether a connection was probably lost before a request was sent on it, while it rested.
#[must_use]
pub fn is_lost_while_idle(rest_ms: u64, latency_ms: u64) -> bool {
    rest_ms >= MIN_STALE_REST_MS && latency_ms <= MAX_STALE_LOSS_MS
}

impl ProxyService {
    /// Returns an idle connection to a backend server, or a new one.
    ///
    /// # Errors
    ///
    /// Returns why no connection was opened.
    pub(crate) async fn open_connection(
        self: &sync::Arc<Self>,
        routed: &RoutedRequest,
        target: &AttemptTarget,
    ) -> Result<OpenedConnection, ConnectError> {
        let now = self.clock.now();
        let idle = self.connections.take(target.key, target.max_rest_ms, now);
        self.update_idle_connection(target.key);
        if let Some((connection, rest_ms)) = idle
            && connection.is_idle().await
        {
            metrics::counter!("toucanledge_reused_connections_total").increment(1);
            return Ok(OpenedConnection {
                connection,
                rest_ms: Some(rest_ms),
            });
        }
        let remaining_ms = routed.deadline.since(self.clock.now());
        let timeout = time::Duration::from_millis(CONNECT_TIMEOUT_MS.min(remaining_ms));
        metrics::counter!("toucanledge_opened_connections_total").increment(1);
        let stream = exchange::connect(target.process.address, timeout).await?;
        let proxy = sync::Arc::clone(self);
        let (id, name) = (target.process.id, sync::Arc::clone(&target.name));
        let on_foreign_bytes = move || {
            log::info!("[path] server={name} sent bytes that belong to no request");
            metrics::counter!("toucanledge_foreign_bytes_total").increment(1);
            let now = proxy.clock.now();
            proxy.state().reuse.record_foreign_bytes(id, now);
        };
        let connection = ServerConnection::start(stream, on_foreign_bytes).await;
        Ok(OpenedConnection {
            connection: connection.ok_or(ConnectError::Refused)?,
            rest_ms: None,
        })
    }

    /// Keeps a connection, unless the backend server closes it soon or is distrusted.
    pub(crate) fn keep_connection(&self, target: &AttemptTarget, reusable: ReusableConnection) {
        let now = self.clock.now();
        let keep_ms = self
            .state()
            .reuse
            .keep_ms(target.process.id, reusable.idle_timeout_ms, now);
        if let Some(keep_ms) = keep_ms {
            let rest = ConnectionRest {
                since: now,
                close_at: now + keep_ms,
            };
            self.connections.put(target.key, reusable.connection, rest);
            self.update_idle_connection(target.key);
        }
    }

    /// Records that a connection was lost while it rested. That is no evidence against the backend
    /// server or the request.
    pub(crate) fn record_lost_connection(
        &self,
        pool: PoolId,
        target: &AttemptTarget,
        rest_ms: u64,
    ) {
        log::info!(
            "[path] server={} connection=Lost rested_ms={rest_ms}",
            target.name
        );
        metrics::counter!("toucanledge_lost_idle_connections_total").increment(1);
        let now = self.clock.now();
        self.connections.close(target.key);
        self.update_idle_connection(target.key);
        self.state().reuse.record_lost(pool, rest_ms, now);
    }

    fn update_idle_connection(&self, server: ServerKey) {
        let rest = self.connections.newest_rest(server);
        if let Some(entry) = self.state().servers.get_mut(server) {
            entry.idle_connection = rest;
        }
    }
}
