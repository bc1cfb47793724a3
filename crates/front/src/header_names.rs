//! Names of the headers that callers, gateway and backend servers exchange.

use hyper::header::HeaderName;

/// Header names of a platform.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifies one attempt of a caller; echoed by the backend server.
    pub request_id: HeaderName,
    /// Milliseconds that are left for the request.
    pub deadline_ms: HeaderName,
    /// Names the backend server that is to run the request.
    pub target_server: HeaderName,
    /// Proof by which callers recognise a backend server's answer.
    pub response_signature: HeaderName,
    /// Says that the backend server did not run the request.
    pub not_executed: HeaderName,
}
