//! One HTTP exchange with a backend server.

use std::net;
use std::time;

use bytes::Bytes;
use http_body_util::Full;
use hyper::StatusCode;
use hyper::header;
use hyper::http::response::Parts as ResponseHead;

use crate::buffer::{BufferBudget, BufferedBody};
use crate::connection::ServerConnection;
use crate::header_names::HeaderNames;
use crate::request::CallerRequest;

/// Limit of a response's size; the gateway buffers the whole response before it forwards it.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Response of a backend server with its whole body.
#[derive(Clone, Debug)]
pub struct ServerResponse {
    /// Status code.
    pub status: StatusCode,
    /// Headers to forward to the caller.
    pub headers: hyper::HeaderMap,
    /// Whole body.
    pub body: BufferedBody,
}

/// How an exchange ended.
#[derive(Clone, Debug)]
pub enum ExchangeOutcome {
    /// The backend server responded.
    Response(ServerResponse),
    /// The backend server is overloaded and did not run the request.
    Overloaded,
    /// Another backend server has this address now; the request did not run.
    WrongServer,
    /// The connection was lost after the request was sent.
    ConnectionLost,
    /// The response is malformed, incomplete or belongs to another request.
    InvalidResponse,
    /// There was no response before the deadline.
    Timeout,
}

/// Why no connection was opened.
///
/// The names are part of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectError {
    /// The connection was refused or failed otherwise.
    Refused,
    /// The connection did not open within the time-out.
    Silent,
}

/// What became of a request that was handed to a connection.
#[derive(Debug)]
pub enum ExchangeResult {
    /// The connection was lost before any byte of the request was written.
    Unsent,
    /// The exchange ended. The connection is given back if it can carry another request.
    Ended(ExchangeOutcome, Option<ReusableConnection>),
}

/// Connection whose response was read whole, and after which nothing followed.
#[derive(Debug)]
pub struct ReusableConnection {
    /// The connection.
    pub connection: ServerConnection,
    /// Idle timeout in milliseconds that the backend server states.
    pub idle_timeout_ms: Option<u64>,
}

/// Opens a connection.
///
/// # Errors
///
/// Returns why no connection was opened.
pub async fn connect(
    address: net::SocketAddr,
    timeout: time::Duration,
) -> Result<tokio::net::TcpStream, ConnectError> {
    match tokio::time::timeout(timeout, tokio::net::TcpStream::connect(address)).await {
        Ok(Ok(stream)) => {
            if let Err(error) = stream.set_nodelay(true) {
                log::debug!("[exchange] TCP_NODELAY could not be set for {address}: {error}");
            }
            Ok(stream)
        }
        Ok(Err(_)) => Err(ConnectError::Refused),
        Err(_) => Err(ConnectError::Silent),
    }
}

/// Sends a request and reads the whole response; `reused` tells whether the connection carried
/// another request before. `on_head` gets the head of the response if it belongs to the request, before
/// its body is read.
///
/// Dropping the future closes the connection, which tells the backend server that the caller has
/// left.
pub async fn send_request(
    connection: ServerConnection,
    outgoing: hyper::Request<Full<Bytes>>,
    header_names: &HeaderNames,
    buffers: &BufferBudget,
    deadline: time::Instant,
    reused: bool,
    on_head: impl FnOnce(&ResponseHead),
) -> ExchangeResult {
    let exchange = exchange(connection, outgoing, header_names, buffers, reused, on_head);
    match tokio::time::timeout_at(deadline.into(), exchange).await {
        Ok(result) => result,
        Err(_) => ExchangeResult::Ended(ExchangeOutcome::Timeout, None),
    }
}

async fn exchange(
    mut connection: ServerConnection,
    outgoing: hyper::Request<Full<Bytes>>,
    header_names: &HeaderNames,
    buffers: &BufferBudget,
    reused: bool,
    on_head: impl FnOnce(&ResponseHead),
) -> ExchangeResult {
    let request_id = outgoing.headers().get(&header_names.request_id).cloned();
    let is_head_request = outgoing.method() == hyper::Method::HEAD;
    let response = match connection.sender.try_send_request(outgoing).await {
        Ok(response) => response,
        Err(mut error) => {
            if error.take_message().is_some() {
                return ExchangeResult::Unsent;
            }
            let error = error.into_error();
            let outcome = if error.is_parse() {
                ExchangeOutcome::InvalidResponse
            } else {
                ExchangeOutcome::ConnectionLost
            };
            return ExchangeResult::Ended(outcome, None);
        }
    };
    let (parts, body) = response.into_parts();
    if !answers_request(&parts, request_id.as_ref(), header_names, reused) {
        return ExchangeResult::Ended(ExchangeOutcome::InvalidResponse, None);
    }
    on_head(&parts);
    let idle_timeout_ms = stated_idle_timeout_ms(&parts.headers);
    let outcome = read_response(&parts, body, header_names, buffers, is_head_request).await;
    let whole = matches!(outcome, ExchangeOutcome::Response(_));
    if whole && has_own_id(&parts, request_id.as_ref(), header_names) && connection.is_idle().await
    {
        let reusable = ReusableConnection {
            connection,
            idle_timeout_ms,
        };
        return ExchangeResult::Ended(outcome, Some(reusable));
    }
    ExchangeResult::Ended(outcome, None)
}

async fn read_response(
    parts: &ResponseHead,
    body: hyper::body::Incoming,
    header_names: &HeaderNames,
    buffers: &BufferBudget,
    is_head_request: bool,
) -> ExchangeOutcome {
    if let Some(outcome) = check_response(parts, header_names) {
        return outcome;
    }
    match buffers.read_body(body, MAX_RESPONSE_BYTES).await {
        Ok(body) => {
            let mut headers = toucanledge_head::strip_hop_by_hop(&parts.headers);
            headers.remove(&header_names.server_leaving);
            if !is_head_request {
                headers.remove(header::CONTENT_LENGTH);
            }
            ExchangeOutcome::Response(ServerResponse {
                status: parts.status,
                headers,
                body,
            })
        }
        Err(error) => {
            log::info!("[exchange] response body not read: {error}");
            ExchangeOutcome::InvalidResponse
        }
    }
}

/// Returns whether a response belongs to the request that was sent.
///
/// Rejections may lack the id. On a connection that carried another request before, a response
/// without one may be an extra response to that request.
fn answers_request(
    parts: &ResponseHead,
    request_id: Option<&header::HeaderValue>,
    header_names: &HeaderNames,
    reused: bool,
) -> bool {
    let mut echoes = parts
        .headers
        .get_all(&header_names.request_id)
        .iter()
        .peekable();
    if echoes.peek().is_none() {
        return !reused;
    }
    echoes.all(|echo| Some(echo) == request_id)
}

/// Returns whether a response names the request that it answers.
fn has_own_id(
    parts: &ResponseHead,
    request_id: Option<&header::HeaderValue>,
    header_names: &HeaderNames,
) -> bool {
    let echo = parts.headers.get(&header_names.request_id);
    echo.is_some() && echo == request_id
}

/// Returns the idle timeout in milliseconds that a `Keep-Alive` header states.
fn stated_idle_timeout_ms(headers: &hyper::HeaderMap) -> Option<u64> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    seconds.trim().parse::<u64>().ok()?.checked_mul(1_000)
}

/// Returns the outcome of the exchange if the header of the response determines it.
fn check_response(parts: &ResponseHead, header_names: &HeaderNames) -> Option<ExchangeOutcome> {
    let headers = &parts.headers;
    if parts.status == StatusCode::MISDIRECTED_REQUEST {
        return Some(ExchangeOutcome::WrongServer);
    }
    if headers.contains_key(&header_names.not_executed) {
        return Some(ExchangeOutcome::Overloaded);
    }
    let unsigned =
        parts.status.is_success() && !headers.contains_key(&header_names.response_signature);
    // These statuses claim that the request did not run, which only the `not_executed` header can
    // confirm.
    let claims_not_run = matches!(
        parts.status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
    );
    let encoded = headers.contains_key(header::CONTENT_ENCODING);
    if unsigned || claims_not_run || encoded || parts.status.is_informational() {
        return Some(ExchangeOutcome::InvalidResponse);
    }
    None
}

/// Returns the request to send to a backend server; `None` if it cannot be built.
#[must_use]
pub fn build_request(
    request: &CallerRequest,
    server: &str,
    deadline_ms: u64,
    header_names: &HeaderNames,
) -> Option<hyper::Request<Full<Bytes>>> {
    let mut outgoing = hyper::Request::builder()
        .method(request.method.clone())
        .uri(&request.target)
        .body(Full::new(request.body.bytes().clone()))
        .ok()?;
    let headers = outgoing.headers_mut();
    *headers = request.headers.clone();
    headers.insert(
        &header_names.deadline_ms,
        header::HeaderValue::from(deadline_ms),
    );
    headers.insert(
        &header_names.target_server,
        header::HeaderValue::try_from(server).ok()?,
    );
    if !request.body.bytes().is_empty() || request.headers.contains_key(header::CONTENT_LENGTH) {
        let length = header::HeaderValue::from(request.body.bytes().len());
        headers.insert(header::CONTENT_LENGTH, length);
    }
    Some(outgoing)
}
