//! Health probes of backend servers.

use std::net;
use std::time;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};

use crate::backend::ConnectionPool;
use crate::exchange;

/// Time after which a probe has failed.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Maximum size in bytes of the response to a probe.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// What a probe found; all false when there was no valid response in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProbeResult {
    /// The health endpoint responded with a success status.
    pub healthy: bool,
    /// The backend server announced that it is leaving.
    pub leaving: bool,
}

/// Sends a request to the health endpoint of a backend server.
pub async fn probe(connection_pool: &ConnectionPool, address: net::SocketAddr) -> ProbeResult {
    let result =
        tokio::time::timeout(PROBE_TIMEOUT, request_health(connection_pool, address)).await;
    result.ok().flatten().unwrap_or_default()
}

async fn request_health(
    connection_pool: &ConnectionPool,
    address: net::SocketAddr,
) -> Option<ProbeResult> {
    let mut connection = connection_pool.open(address).await.ok()?;
    let request = hyper::Request::get("/health")
        .header("host", address.to_string())
        .body(Full::new(Bytes::new()))
        .ok()?;
    let response = connection.sender().send_request(request).await.ok()?;
    let result = ProbeResult {
        healthy: response.status().is_success(),
        leaving: exchange::is_leaving(response.headers()),
    };
    Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
        .collect()
        .await
        .ok()?;
    Some(result)
}
