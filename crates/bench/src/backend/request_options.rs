//! Options that the headers of a request set for the backend server stand-in.

use std::net;

use super::{record, response};
use crate::http;
use crate::timer;

/// Length of the response body of a request without `answer-bytes`.
const DEFAULT_RESPONSE_BYTES: usize = 256;

/// Options of one request.
pub struct RequestOptions {
    pub owner: response::ResponseOwner,
    pub source: net::IpAddr,
    pub work_ms: Option<f64>,
    pub response_bytes: usize,
    /// Unix time in ms after which the work must not start.
    pub start_by_ms: Option<u64>,
    pub crash_requested: bool,
    /// A read without an idempotency key, which is cancelled when its connection closes.
    pub is_repeatable: bool,
}

impl RequestOptions {
    pub fn from_request(request: &http::Request, source: net::IpAddr) -> Self {
        let header = |name: &str| {
            let value = request.headers().get(name);
            value
                .and_then(|value| value.to_str().ok())
                .map(str::to_owned)
        };
        let nonce = header("request-nonce").unwrap_or_default();
        let key = header("idempotency-key");
        let is_read = matches!(*request.method(), hyper::Method::GET | hyper::Method::HEAD);
        Self {
            is_repeatable: is_read && key.is_none(),
            owner: response::ResponseOwner {
                request: header("backend-request-id").unwrap_or_default(),
                caller: header("x-caller").unwrap_or_default(),
                key: key.unwrap_or_else(|| response::key_from_nonce(&nonce)),
                nonce,
                length: 0,
            },
            source,
            work_ms: header("work-ms").and_then(|value| value.parse().ok()),
            response_bytes: header("answer-bytes")
                .and_then(|value| value.parse().ok())
                .unwrap_or(DEFAULT_RESPONSE_BYTES),
            start_by_ms: header("backend-start-by").and_then(|value| value.parse().ok()),
            crash_requested: header("crash").as_deref() == Some("1"),
        }
    }

    pub fn to_record(&self, server: &str, request: &http::Request) -> record::BackendRequestRecord {
        record::BackendRequestRecord {
            server: server.to_owned(),
            key: self.owner.key.clone(),
            nonce: self.owner.nonce.clone(),
            request: self.owner.request.clone(),
            caller: self.owner.caller.clone(),
            source: self.source,
            target: format!("{} {}", request.method(), request.uri().path()),
            arrived: timer::unix_millis(),
            started: None,
            ended: None,
            completed: false,
        }
    }
}
