//! Responses that the gateway makes itself.

use bytes::Bytes;
use http_body_util::Full;
use hyper::StatusCode;
use hyper::header;

/// Default time after which a refused caller may retry.
const RETRY_AFTER_MS: u64 = 50;
/// Time after which a caller may retry at a gateway that has no routing table yet.
const NO_TABLE_RETRY_AFTER_MS: u64 = 400;

/// Response to a caller.
pub type CallerResponse = hyper::Response<Full<Bytes>>;

/// Why the gateway refuses a request.
///
/// The names are part of responses, log lines and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalReason {
    /// No route matches the request.
    NoRoute,
    /// There is no routing table yet.
    NoTable,
    /// The request is malformed.
    BadRequest,
    /// The body exceeds a limit.
    TooLarge,
    /// The gateway has no memory left to buffer the request.
    GatewayFull,
    /// No backend server of the pool takes work.
    NoServer,
    /// Every backend server of the pool asked this gateway for a pause.
    Paused,
    /// Every attempted backend server rejected the request as overloaded.
    Full,
    /// Every backend server of the pool would respond after the latency target.
    Busy,
    /// No connection to a backend server could be opened.
    NoConnection,
    /// The deadline passed before the request was sent.
    TooLate,
    /// The request is suspected of crashing backend servers.
    CrashSuspect,
    /// The connection to the backend server was lost, or it returned a server error.
    Broken,
    /// The response of the backend server was invalid.
    BadAnswer,
    /// The backend server did not respond in time.
    Silent,
}

impl RefusalReason {
    /// Returns whether the request certainly did not run, so that the caller may retry it.
    #[must_use]
    pub fn is_not_run(self) -> bool {
        !matches!(self, Self::Broken | Self::BadAnswer | Self::Silent)
    }

    fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Broken | Self::BadAnswer => StatusCode::BAD_GATEWAY,
            Self::Silent => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Refusal of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestRefusal {
    /// Why the request is refused.
    pub reason: RefusalReason,
    /// Time in milliseconds after which the caller may retry.
    pub retry_after_ms: u64,
}

impl From<RefusalReason> for RequestRefusal {
    fn from(reason: RefusalReason) -> Self {
        let retry_after_ms = match reason {
            RefusalReason::NoTable => NO_TABLE_RETRY_AFTER_MS,
            _ => RETRY_AFTER_MS,
        };
        Self {
            reason,
            retry_after_ms,
        }
    }
}

/// Returns the response that refuses a request.
#[must_use]
pub fn refusal_response(refusal: impl Into<RequestRefusal>) -> CallerResponse {
    let RequestRefusal {
        reason,
        retry_after_ms,
    } = refusal.into();
    let name: &'static str = reason.into();
    metrics::counter!("toucanledge_refusals_total", "reason" => name).increment(1);
    let mut response = hyper::Response::new(Full::new(Bytes::from_static(name.as_bytes())));
    *response.status_mut() = reason.status();
    if reason.status() == StatusCode::SERVICE_UNAVAILABLE {
        let seconds = format!("{}.{:03}", retry_after_ms / 1000, retry_after_ms % 1000);
        if let Ok(seconds) = header::HeaderValue::try_from(seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, seconds);
        }
    }
    response
}

/// Returns a response with a status and a text.
#[must_use]
pub fn text_response(status: StatusCode, text: impl Into<Bytes>) -> CallerResponse {
    let mut response = hyper::Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}
