//! Names of the headers between callers, gateways and backend servers.

use hyper::header::HeaderName;
use hyper::{HeaderMap, StatusCode};
use toucanledge_steering::ServerNotice;

/// Header names of a platform.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Request id, unique for each attempt of a caller; the backend server echoes it.
    pub request_id: HeaderName,
    /// Milliseconds left until the request's deadline.
    pub deadline_ms: HeaderName,
    /// Name of the backend server that must run the request.
    pub target_server: HeaderName,
    /// Signature by which callers recognise a backend server's response.
    pub response_signature: HeaderName,
    /// Set by a backend server that did not run the request.
    pub not_executed: HeaderName,
    /// Set by a backend server that is leaving; not forwarded to callers.
    pub server_leaving: HeaderName,
    /// Decodes what the head of a response says of its backend server.
    pub decode_notice: fn(StatusCode, &HeaderMap) -> ServerNotice,
}
