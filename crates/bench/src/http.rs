//! HTTP/1.1 server functions shared by the stand-ins.

use std::convert;
use std::io;
use std::net;
use std::time;

use http_body_util::BodyExt;
use hyper::body;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use serde::Serialize;
use tokio::net as tokio_net;
use tokio::sync::watch;
use tokio::task;

use crate::timer;

/// Largest JSON request body that is read.
const JSON_LIMIT_BYTES: usize = 16 << 20;

/// Body of a response; an error in the stream truncates the response.
pub type ResponseBody = http_body_util::combinators::UnsyncBoxBody<bytes::Bytes, io::Error>;

/// HTTP response of a stand-in.
pub type Response = hyper::Response<ResponseBody>;

/// HTTP request that a stand-in received.
pub type Request = hyper::Request<body::Incoming>;

/// Returns a body with a known length.
pub fn full_body(bytes: impl Into<bytes::Bytes>) -> ResponseBody {
    http_body_util::Full::new(bytes.into())
        .map_err(|never: convert::Infallible| match never {})
        .boxed_unsync()
}

/// Returns a response with these bytes as its body.
pub fn response(status: u16, bytes: impl Into<bytes::Bytes>) -> Response {
    let mut response = hyper::Response::new(full_body(bytes));
    *response.status_mut() =
        hyper::StatusCode::from_u16(status).unwrap_or(hyper::StatusCode::INTERNAL_SERVER_ERROR);
    response
}

/// Returns a response with the value as JSON.
pub fn json_response(value: &impl Serialize) -> Response {
    match serde_json::to_vec(value) {
        Ok(bytes) => response(200, bytes),
        Err(error) => response(500, error.to_string()),
    }
}

/// Status and body of the response to a rejected request.
pub type ErrorResponse = (u16, String);

/// Reads a complete request body of at most `limit_bytes`.
pub async fn read_body(
    request: Request,
    limit_bytes: usize,
) -> Result<bytes::Bytes, ErrorResponse> {
    match http_body_util::Limited::new(request.into_body(), limit_bytes)
        .collect()
        .await
    {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err((413, format!("the body exceeds {limit_bytes} bytes")))
        }
        Err(error) => Err((400, error.to_string())),
    }
}

/// Reads a request body as JSON.
pub async fn read_json<T: serde::de::DeserializeOwned>(
    request: Request,
) -> Result<T, ErrorResponse> {
    let bytes = read_body(request, JSON_LIMIT_BYTES).await?;
    serde_json::from_slice(&bytes).map_err(|error| (400, error.to_string()))
}

/// Returns the value of a numeric query parameter.
pub fn query_number(request: &Request, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// Serves the requests of one connection until it closes.
pub async fn serve_connection<F>(stream: tokio_net::TcpStream, handler: impl Fn(Request) -> F)
where
    F: Future<Output = Response>,
{
    let _ = stream.set_nodelay(true);
    let service = service::service_fn(|request| {
        let response = handler(request);
        async move { Ok::<_, convert::Infallible>(response.await) }
    });
    let connection = http1::Builder::new().serve_connection(rt::TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!("connection closed with an error: {error}");
    }
}

/// Accepts connections while `open` is true.
///
/// When `open` becomes false, the listener closes and every connection is dropped together with
/// its requests. Each accept takes `accept_cost`, during which no other connection is accepted.
pub async fn serve_while_open<F>(
    listener: tokio_net::TcpListener,
    mut open: watch::Receiver<bool>,
    accept_cost: time::Duration,
    serve: impl Fn(tokio_net::TcpStream, net::SocketAddr) -> F,
) -> io::Result<()>
where
    F: Future<Output = ()> + Send + 'static,
{
    let address = listener.local_addr()?;
    let mut current_listener = Some(listener);
    let mut connections = task::JoinSet::new();
    loop {
        if !*open.borrow_and_update() {
            current_listener = None;
            connections.shutdown().await;
            if open.changed().await.is_err() {
                return Ok(());
            }
            continue;
        }
        let listener = match current_listener.take() {
            Some(listener) => listener,
            None => tokio_net::TcpListener::bind(address).await?,
        };
        tokio::select! {
            changed = open.changed() => if changed.is_err() { return Ok(()) },
            accepted = listener.accept() => match accepted {
                Ok((stream, source)) => {
                    timer::sleep_for(accept_cost).await;
                    connections.spawn(serve(stream, source));
                }
                Err(error) => {
                    log::warn!("could not accept a connection on {address}: {error}");
                    tokio::time::sleep(time::Duration::from_millis(10)).await;
                }
            },
            Some(_) = connections.join_next() => {}
        }
        current_listener = Some(listener);
    }
}

/// Serves a control endpoint; faults do not apply to it.
pub async fn serve_control<F>(
    listener: tokio_net::TcpListener,
    handler: impl Fn(Request) -> F + Clone + Send + Sync + 'static,
) -> io::Result<()>
where
    F: Future<Output = Response> + Send + 'static,
{
    let (_open, receiver) = watch::channel(true);
    serve_while_open(
        listener,
        receiver,
        time::Duration::ZERO,
        move |stream, _| {
            let handler = handler.clone();
            async move { serve_connection(stream, handler).await }
        },
    )
    .await
}

/// Returns the response, or the error response of a rejected request.
pub async fn into_response(
    result: impl Future<Output = Result<Response, ErrorResponse>>,
) -> Response {
    result
        .await
        .unwrap_or_else(|(status, text)| response(status, text))
}
