//! HTTP exchange of one attempt: sends the request to a backend server and reads the response.

use std::fmt;
use std::net;
use std::pin;
use std::sync;
use std::task;
use std::time;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body;
use hyper::body::Body;
use hyper::header;

use crate::backend::{BackendConnection, ConnectionPool};
use crate::request::CallerRequest;

/// Response header with which a backend server announces that it is leaving.
pub const STATE_HEADER: &str = "backend-state";
/// Response header with which an overloaded backend server rejects a request as not run.
pub const SHED_HEADER: &str = "backend-shed";
/// Header with the identifier of the request, which the response must echo.
pub const REQUEST_ID_HEADER: &str = "backend-request-id";
/// Header with the time after which a backend server must not start the request, in milliseconds
/// since the Unix epoch.
pub const START_BY_HEADER: &str = "backend-start-by";
/// Header with the milliseconds that remain until the deadline of the request.
pub const DEADLINE_HEADER: &str = "backend-deadline-ms";

/// Why a response body ended early.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BodyError {
    message: String,
}

impl BodyError {
    /// Creates an error with a message.
    #[must_use]
    pub fn new(message: impl Into<String>) -> Self {
        Self {
            message: message.into(),
        }
    }
}

impl fmt::Display for BodyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.message)
    }
}

impl std::error::Error for BodyError {}

/// Address, request identifier and time limits of one exchange.
#[derive(Clone, Debug)]
pub struct ExchangeParams {
    /// Address of the backend server.
    pub address: net::SocketAddr,
    /// Identifier that the response must echo.
    pub request_id: String,
    /// Deadline of the request.
    pub deadline: time::Instant,
    /// Time after which the backend server must not start the request, in milliseconds since the
    /// Unix epoch.
    pub start_by_unix_ms: Option<u64>,
    /// Time after which no first byte may be sent.
    pub send_deadline: time::Instant,
}

/// How an exchange with a backend server ended.
#[derive(Debug)]
pub enum ExchangeOutcome {
    /// The response head arrived and echoed the request identifier.
    ResponseHead(Box<BackendResponse>),
    /// The backend server rejected the request as not run, because it is overloaded.
    Overloaded {
        /// The backend server announced that it is leaving.
        leaving: bool,
        /// Milliseconds for which it wants no request from this gateway.
        pause_ms: Option<u64>,
    },
    /// No byte was sent because no connection could be opened.
    ConnectFailed,
    /// No byte was sent before the send deadline.
    SendDeadlineExceeded,
    /// The connection failed after the first byte may have been sent.
    ConnectionLost,
    /// The backend server was ejected before it responded.
    Ejected,
    /// The response echoed another request identifier or none.
    BadResponse,
    /// The deadline passed after the first byte may have been sent.
    DeadlineExceeded,
    /// The deadline passed before a connection was open.
    ConnectTimeout,
}

/// Response head, with the body still to be read.
#[derive(Debug)]
pub struct BackendResponse {
    /// Status and headers.
    pub parts: hyper::http::response::Parts,
    /// Body to be read.
    pub body: body::Incoming,
    /// Connection, returned to the connection pool once the body was read to its end.
    pub connection: BackendConnection,
    /// The backend server announced that it is leaving.
    pub leaving: bool,
}

/// Sends a request and waits for the response head.
pub async fn exchange(
    connection_pool: &ConnectionPool,
    request: &CallerRequest,
    params: &ExchangeParams,
) -> ExchangeOutcome {
    let deadline = tokio::time::Instant::from_std(params.deadline);
    let mut connection =
        match tokio::time::timeout_at(deadline, connection_pool.check_out(params.address)).await {
            Err(_) => return ExchangeOutcome::ConnectTimeout,
            Ok(Err(report)) => {
                log::debug!("[backend] could not open a connection for a request: {report:?}");
                return ExchangeOutcome::ConnectFailed;
            }
            Ok(Ok(connection)) => connection,
        };
    loop {
        if time::Instant::now() >= params.send_deadline {
            return ExchangeOutcome::SendDeadlineExceeded;
        }
        let reused = connection.is_reused();
        let outgoing = outgoing_request(request, params);
        let sending = connection.sender().try_send_request(outgoing);
        match tokio::time::timeout_at(deadline, sending).await {
            Err(_) => return ExchangeOutcome::DeadlineExceeded,
            Ok(Ok(response)) => return check_response(response, connection, params),
            Ok(Err(mut error)) => {
                let unsent = error.take_message().is_some();
                if !unsent {
                    return ExchangeOutcome::ConnectionLost;
                }
                if !reused {
                    return ExchangeOutcome::ConnectFailed;
                }
            }
        }
        // The backend server closed the idle connection before a byte of this request was written.
        connection =
            match tokio::time::timeout_at(deadline, connection_pool.open(params.address)).await {
                Err(_) => return ExchangeOutcome::ConnectTimeout,
                Ok(Err(_)) => return ExchangeOutcome::ConnectFailed,
                Ok(Ok(connection)) => connection,
            };
    }
}

fn outgoing_request(
    request: &CallerRequest,
    params: &ExchangeParams,
) -> hyper::Request<Full<Bytes>> {
    let mut outgoing = hyper::Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.target.parse().unwrap_or_default();
    *outgoing.headers_mut() = request.headers.clone();
    let headers = outgoing.headers_mut();
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    if !headers.contains_key(header::HOST)
        && let Ok(host) = params.address.to_string().try_into()
    {
        headers.insert(header::HOST, host);
    }
    if let Ok(request_id) = params.request_id.as_str().try_into() {
        headers.insert(REQUEST_ID_HEADER, request_id);
    }
    let remaining = params
        .deadline
        .saturating_duration_since(time::Instant::now());
    let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    headers.insert(DEADLINE_HEADER, header::HeaderValue::from(remaining_ms));
    headers.remove(START_BY_HEADER);
    if let Some(start_by_unix_ms) = params.start_by_unix_ms {
        headers.insert(START_BY_HEADER, header::HeaderValue::from(start_by_unix_ms));
    }
    outgoing
}

/// Returns whether response headers announce that the backend server is leaving.
#[must_use]
pub fn is_leaving(headers: &hyper::HeaderMap) -> bool {
    headers
        .get(STATE_HEADER)
        .is_some_and(|state| state == "leaving")
}

/// Returns the milliseconds for which a backend server that rejected a request wants no other.
fn pause_ms(headers: &hyper::HeaderMap) -> Option<u64> {
    let value = headers.get(header::RETRY_AFTER)?;
    let pause_ms = toucanledge_head::parse_retry_after(value);
    if pause_ms.is_none() {
        metrics::counter!("toucanledge_invalid_notices_total", "kind" => "invalid-pause")
            .increment(1);
        log::warn!("[backend] retry-after {value:?} is no number of seconds");
    }
    pause_ms
}

fn check_response(
    response: hyper::Response<body::Incoming>,
    connection: BackendConnection,
    params: &ExchangeParams,
) -> ExchangeOutcome {
    let (parts, body) = response.into_parts();
    let echoed = parts
        .headers
        .get(REQUEST_ID_HEADER)
        .map(header::HeaderValue::as_bytes);
    if echoed != Some(params.request_id.as_bytes()) {
        return ExchangeOutcome::BadResponse;
    }
    let leaving = is_leaving(&parts.headers);
    if parts
        .headers
        .get(SHED_HEADER)
        .is_some_and(|shed| shed == "1")
    {
        let pause_ms = pause_ms(&parts.headers);
        return ExchangeOutcome::Overloaded { leaving, pause_ms };
    }
    ExchangeOutcome::ResponseHead(Box::new(BackendResponse {
        parts,
        body,
        connection,
        leaving,
    }))
}

/// How reading a response body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyOutcome {
    /// The body was read to its end.
    Complete,
    /// The body was truncated or malformed.
    Failed,
    /// The deadline passed.
    DeadlineExceeded,
    /// The caller closed the connection before the body ended.
    CallerDisconnected,
}

/// Response body that is streamed to the caller and reports how it ended.
pub struct StreamingBody {
    body: body::Incoming,
    connection: Option<BackendConnection>,
    connection_pool: sync::Arc<ConnectionPool>,
    deadline: pin::Pin<Box<tokio::time::Sleep>>,
    on_outcome: Option<Box<dyn FnOnce(BodyOutcome) + Send>>,
}

impl StreamingBody {
    /// Wraps the body of a response; `on_outcome` is called exactly once.
    #[must_use]
    pub fn new(
        response_body: body::Incoming,
        connection: BackendConnection,
        connection_pool: sync::Arc<ConnectionPool>,
        deadline: time::Instant,
        on_outcome: impl FnOnce(BodyOutcome) + Send + 'static,
    ) -> Self {
        let deadline = Box::pin(tokio::time::sleep_until(deadline.into()));
        Self {
            body: response_body,
            connection: Some(connection),
            connection_pool,
            deadline,
            on_outcome: Some(Box::new(on_outcome)),
        }
    }

    fn finish(&mut self, outcome: BodyOutcome) {
        let connection = self.connection.take();
        if outcome == BodyOutcome::Complete
            && let Some(connection) = connection
        {
            self.connection_pool.check_in(connection);
        }
        if let Some(on_outcome) = self.on_outcome.take() {
            on_outcome(outcome);
        }
    }
}

impl Body for StreamingBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, BodyError>>> {
        match pin::Pin::new(&mut self.body).poll_frame(context) {
            task::Poll::Ready(Some(Ok(frame))) => {
                if self.body.is_end_stream() {
                    self.finish(BodyOutcome::Complete);
                }
                task::Poll::Ready(Some(Ok(frame)))
            }
            task::Poll::Ready(Some(Err(error))) => {
                self.finish(BodyOutcome::Failed);
                task::Poll::Ready(Some(Err(BodyError::new(error.to_string()))))
            }
            task::Poll::Ready(None) => {
                self.finish(BodyOutcome::Complete);
                task::Poll::Ready(None)
            }
            task::Poll::Pending => match self.deadline.as_mut().poll(context) {
                task::Poll::Ready(()) => {
                    self.finish(BodyOutcome::DeadlineExceeded);
                    task::Poll::Ready(Some(Err(BodyError::new("deadline exceeded"))))
                }
                task::Poll::Pending => task::Poll::Pending,
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.body.size_hint()
    }
}

impl Drop for StreamingBody {
    fn drop(&mut self) {
        let outcome = if self.body.is_end_stream() {
            BodyOutcome::Complete
        } else {
            BodyOutcome::CallerDisconnected
        };
        self.finish(outcome);
    }
}
