//! One HTTP exchange with a backend server on a connection of its own.

use std::future::Future;
use std::net;
use std::time;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::StatusCode;
use hyper::client::conn::http1;
use hyper::header;
use hyper_util::rt;

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
    pub body: Bytes,
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

/// Sends a request on a new connection and reads the whole response.
///
/// Dropping the future closes the connection, which tells the backend server that the caller has
/// left.
pub async fn send_request(
    stream: tokio::net::TcpStream,
    outgoing: hyper::Request<Full<Bytes>>,
    header_names: &HeaderNames,
    deadline: time::Instant,
) -> ExchangeOutcome {
    let request_id = outgoing.headers().get(&header_names.request_id).cloned();
    let handshake = http1::handshake::<_, Full<Bytes>>(rt::TokioIo::new(stream)).await;
    let Ok((mut sender, connection)) = handshake else {
        return ExchangeOutcome::ConnectionLost;
    };
    let is_head_request = outgoing.method() == hyper::Method::HEAD;
    let exchange = async move {
        let Ok(response) = sender.send_request(outgoing).await else {
            return ExchangeOutcome::ConnectionLost;
        };
        let (parts, body) = response.into_parts();
        if let Some(outcome) = check_response(&parts, request_id.as_ref(), header_names) {
            return outcome;
        }
        match Limited::new(body, MAX_RESPONSE_BYTES).collect().await {
            Ok(collected) => {
                let mut headers = toucanledge_head::strip_hop_by_hop(&parts.headers);
                if !is_head_request {
                    headers.remove(header::CONTENT_LENGTH);
                }
                ExchangeOutcome::Response(ServerResponse {
                    status: parts.status,
                    headers,
                    body: collected.to_bytes(),
                })
            }
            Err(_) => ExchangeOutcome::InvalidResponse,
        }
    };
    match tokio::time::timeout_at(deadline.into(), drive(connection, exchange)).await {
        Ok(outcome) => outcome,
        Err(_) => ExchangeOutcome::Timeout,
    }
}

/// Polls a connection in the same task as its only request.
async fn drive(
    connection: impl Future<Output = Result<(), hyper::Error>>,
    exchange: impl Future<Output = ExchangeOutcome>,
) -> ExchangeOutcome {
    tokio::pin!(connection, exchange);
    let mut connection_open = true;
    loop {
        tokio::select! {
            biased;
            outcome = &mut exchange => return outcome,
            _ = &mut connection, if connection_open => connection_open = false,
        }
    }
}

/// Returns the outcome of the exchange if the header of the response determines it.
fn check_response(
    parts: &hyper::http::response::Parts,
    request_id: Option<&header::HeaderValue>,
    header_names: &HeaderNames,
) -> Option<ExchangeOutcome> {
    let headers = &parts.headers;
    if parts.status == StatusCode::MISDIRECTED_REQUEST {
        return Some(ExchangeOutcome::WrongServer);
    }
    if headers.contains_key(&header_names.not_executed) {
        return Some(ExchangeOutcome::Overloaded);
    }
    let echo = headers.get(&header_names.request_id);
    let wrong_id = echo.is_some() && echo != request_id;
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
    if wrong_id || unsigned || claims_not_run || encoded || parts.status.is_informational() {
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
        .body(Full::new(request.body.clone()))
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
    if !request.body.is_empty() || request.headers.contains_key(header::CONTENT_LENGTH) {
        let length = header::HeaderValue::from(request.body.len());
        headers.insert(header::CONTENT_LENGTH, length);
    }
    Some(outgoing)
}
