//! One request on one connection to a backend server.

use std::future::Future;
use std::net;
use std::time;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::StatusCode;
use hyper::client::conn::http1;
use hyper::header;
use hyper_util::rt;

use crate::dialect::HeaderDialect;
use crate::request::CallerRequest;

/// Greatest size in bytes of an answer, which the gateway holds whole before it passes it on.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Answer of a backend server, read whole.
#[derive(Clone, Debug)]
pub struct ServerAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers to pass on.
    pub headers: hyper::HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// How an exchange ended.
#[derive(Clone, Debug)]
pub enum ExchangeEnd {
    /// The backend server answered.
    Answered(ServerAnswer),
    /// The backend server is full and did not run the request.
    Full,
    /// Another backend server has the address; the request did not run.
    WrongServer,
    /// The connection broke after the request was sent.
    Broken,
    /// The answer cannot be used.
    BadAnswer,
    /// There was no answer before the deadline.
    Silent,
}

/// Why no connection opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// Nobody listens at the address.
    Refused,
    /// The connection did not open in time.
    Silent,
}

/// Opens a connection.
///
/// # Errors
///
/// Returns why it did not open.
pub async fn connect(
    address: net::SocketAddr,
    timeout: time::Duration,
) -> Result<tokio::net::TcpStream, ConnectFailure> {
    match tokio::time::timeout(timeout, tokio::net::TcpStream::connect(address)).await {
        Ok(Ok(stream)) => {
            if let Err(error) = stream.set_nodelay(true) {
                log::debug!("[exchange] no-delay refused for {address}: {error}");
            }
            Ok(stream)
        }
        Ok(Err(_)) => Err(ConnectFailure::Refused),
        Err(_) => Err(ConnectFailure::Silent),
    }
}

/// Sends a request on a fresh connection and reads the answer whole.
///
/// Dropping the future closes the connection, by which the backend server knows that the caller is
/// gone.
pub async fn exchange(
    stream: tokio::net::TcpStream,
    outgoing: hyper::Request<Full<Bytes>>,
    dialect: &HeaderDialect,
    deadline: time::Instant,
) -> ExchangeEnd {
    let id = outgoing.headers().get(&dialect.request_id).cloned();
    let handshake = http1::handshake::<_, Full<Bytes>>(rt::TokioIo::new(stream)).await;
    let Ok((mut sender, connection)) = handshake else {
        return ExchangeEnd::Broken;
    };
    let head = outgoing.method() == hyper::Method::HEAD;
    let conversation = async move {
        let Ok(response) = sender.send_request(outgoing).await else {
            return ExchangeEnd::Broken;
        };
        let (parts, body) = response.into_parts();
        if let Some(end) = check_answer(&parts, id.as_ref(), dialect) {
            return end;
        }
        match Limited::new(body, MAX_ANSWER_BYTES).collect().await {
            Ok(collected) => {
                let mut headers = toucanledge_head::strip_hop_by_hop(&parts.headers);
                if !head {
                    headers.remove(header::CONTENT_LENGTH);
                }
                ExchangeEnd::Answered(ServerAnswer {
                    status: parts.status,
                    headers,
                    body: collected.to_bytes(),
                })
            }
            Err(_) => ExchangeEnd::BadAnswer,
        }
    };
    match tokio::time::timeout_at(deadline.into(), drive(connection, conversation)).await {
        Ok(end) => end,
        Err(_) => ExchangeEnd::Silent,
    }
}

/// Drives a connection in the task of its only request.
async fn drive(
    connection: impl Future<Output = Result<(), hyper::Error>>,
    conversation: impl Future<Output = ExchangeEnd>,
) -> ExchangeEnd {
    tokio::pin!(connection, conversation);
    let mut open = true;
    loop {
        tokio::select! {
            biased;
            end = &mut conversation => return end,
            _ = &mut connection, if open => open = false,
        }
    }
}

/// Returns how the exchange ends when the head of the answer decides it.
fn check_answer(
    parts: &hyper::http::response::Parts,
    id: Option<&header::HeaderValue>,
    dialect: &HeaderDialect,
) -> Option<ExchangeEnd> {
    let headers = &parts.headers;
    if parts.status == StatusCode::MISDIRECTED_REQUEST {
        return Some(ExchangeEnd::WrongServer);
    }
    if headers.contains_key(&dialect.not_run) {
        return Some(ExchangeEnd::Full);
    }
    let echo = headers.get(&dialect.request_id);
    let other = echo.is_some() && echo != id;
    let unproved = parts.status.is_success() && !headers.contains_key(&dialect.proof);
    // These statuses promise that the request did not run, which only the not-run header says.
    let promises = matches!(
        parts.status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
    );
    let encoded = headers.contains_key(header::CONTENT_ENCODING);
    if other || unproved || promises || encoded || parts.status.is_informational() {
        return Some(ExchangeEnd::BadAnswer);
    }
    None
}

/// Returns the request to send to a backend server.
#[must_use]
pub fn outgoing(
    request: &CallerRequest,
    server: &str,
    time_left_ms: u64,
    dialect: &HeaderDialect,
) -> Option<hyper::Request<Full<Bytes>>> {
    let mut outgoing = hyper::Request::builder()
        .method(request.method.clone())
        .uri(&request.target)
        .body(Full::new(request.body.clone()))
        .ok()?;
    let headers = outgoing.headers_mut();
    *headers = request.headers.clone();
    headers.insert(&dialect.time_left, header::HeaderValue::from(time_left_ms));
    headers.insert(&dialect.target, header::HeaderValue::try_from(server).ok()?);
    if !request.body.is_empty() || request.headers.contains_key(header::CONTENT_LENGTH) {
        let length = header::HeaderValue::from(request.body.len());
        headers.insert(header::CONTENT_LENGTH, length);
    }
    Some(outgoing)
}
