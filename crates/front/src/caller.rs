//! Accepts the connections of callers and serves them.

use std::future;
use std::net;
use std::pin;
use std::sync;
use std::time;

use error_stack::{Report, ResultExt};
use hyper::header;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;

use crate::error::{FrontError, FrontOperation};
use crate::proxy::ProxyService;

/// Time-out of idle connections before the published limit is known.
const DEFAULT_IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(15);
/// Time added to the published limits, so that a request that arrives at the limit is still read.
const IDLE_MARGIN: time::Duration = time::Duration::from_secs(2);
/// Smallest buffer size that the HTTP library accepts.
const MIN_HEADER_BYTES: usize = 8192;
/// Buffer size for a request's header before the published limit is known.
const DEFAULT_HEADER_BYTES: usize = 16 * 1024;
/// Time without a request after which a stopping process drops a connection. The last response has
/// been sent by then.
const UNUSED_TIMEOUT: time::Duration = time::Duration::from_millis(800);
const UNUSED_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Time for which a connection that this gateway closes is still read. Closing it with unread bytes,
/// for example of requests that the caller sent behind the last one, would reset it, and the caller
/// could lose the response that is still on its way.
const LINGER_TIME: time::Duration = time::Duration::from_millis(500);
/// Size of the buffer for bytes that are read after the close and discarded.
const LINGER_BUFFER_BYTES: usize = 2048;
/// Pause after a failed accept; the usual cause is that file descriptors ran out.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(20);

/// Phase of a graceful stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// The process serves requests.
    Serving,
    /// Every response asks the caller to close its connection.
    Draining,
    /// Idle connections are closed, and no connection is accepted.
    Closing,
}

/// Opens a listener.
///
/// # Errors
///
/// Returns an error with the address at which the listener could not be opened.
pub async fn bind(address: net::SocketAddr) -> Result<tokio::net::TcpListener, Report<FrontError>> {
    tokio::net::TcpListener::bind(address)
        .await
        .change_context_lazy(|| FrontError::with_peer(FrontOperation::Listen, address))
}

/// Accepts callers until the stop closes the listener.
pub async fn accept_callers(
    listener: tokio::net::TcpListener,
    proxy: sync::Arc<ProxyService>,
    phase: watch::Receiver<StopPhase>,
    connections: sync::Arc<()>,
) {
    let closing = wait_for_closing(phase.clone());
    tokio::pin!(closing);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut closing => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let proxy = sync::Arc::clone(&proxy);
                let connections = sync::Arc::clone(&connections);
                tokio::spawn(serve_caller(stream, proxy, phase.clone(), connections));
            }
            Err(error) => {
                metrics::counter!("toucanledge_accept_failures_total").increment(1);
                log::warn!("[callers] accept failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Waits until a connection has carried no request for [`UNUSED_TIMEOUT`].
///
/// The HTTP library's graceful shutdown waits for the first request of a connection that never sent
/// one, and the process would run until it is killed.
async fn wait_until_unused(request_count: &sync::Arc<()>) {
    /// References while no request is running: the connection's own and its handler's.
    const IDLE_REFERENCES: usize = 2;
    let mut idle = time::Duration::ZERO;
    while idle < UNUSED_TIMEOUT {
        tokio::time::sleep(UNUSED_CHECK_INTERVAL).await;
        if sync::Arc::strong_count(request_count) > IDLE_REFERENCES {
            idle = time::Duration::ZERO;
        } else {
            idle += UNUSED_CHECK_INTERVAL;
        }
    }
}

async fn wait_for_closing(mut phase: watch::Receiver<StopPhase>) {
    if phase
        .wait_for(|phase| *phase == StopPhase::Closing)
        .await
        .is_err()
    {
        log::debug!("[callers] the channel of the stop phase closed before the closing phase");
    }
}

async fn serve_caller(
    stream: tokio::net::TcpStream,
    proxy: sync::Arc<ProxyService>,
    phase: watch::Receiver<StopPhase>,
    _connections: sync::Arc<()>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("[callers] TCP_NODELAY could not be set: {error}");
    }
    let (idle_timeout, max_header_bytes) = match proxy.limits() {
        Some(limits) => {
            let longest_ms = limits.idle_timeout_ms.max(limits.header_timeout_ms);
            (
                time::Duration::from_millis(longest_ms),
                limits.max_header_bytes,
            )
        }
        None => (DEFAULT_IDLE_TIMEOUT, DEFAULT_HEADER_BYTES),
    };
    let current_phase = phase.clone();
    let request_count = sync::Arc::new(());
    let requests = sync::Arc::clone(&request_count);
    let handler = service::service_fn(move |request| {
        let proxy = sync::Arc::clone(&proxy);
        let current_phase = current_phase.clone();
        let request_guard = sync::Arc::clone(&requests);
        Box::pin(async move {
            let mut response = proxy.serve(request).await;
            drop(request_guard);
            if *current_phase.borrow() != StopPhase::Serving {
                let close = header::HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, std::convert::Infallible>(response)
        })
    });
    let mut connection = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(idle_timeout + IDLE_MARGIN)
        .max_buf_size(max_header_bytes.max(MIN_HEADER_BYTES))
        .serve_connection(rt::TokioIo::new(stream), handler);
    let result = tokio::select! {
        result = future::poll_fn(|cx| connection.poll_without_shutdown(cx)) => result,
        () = wait_for_closing(phase) => {
            pin::Pin::new(&mut connection).graceful_shutdown();
            tokio::select! {
                result = future::poll_fn(|cx| connection.poll_without_shutdown(cx)) => result,
                () = wait_until_unused(&request_count) => return,
            }
        }
    };
    close_lingering(connection.into_parts().io.into_inner()).await;
    if let Err(error) = result {
        let kind = if error.is_parse() {
            "malformed"
        } else if error.is_timeout() {
            "timeout"
        } else {
            "closed"
        };
        metrics::counter!("toucanledge_caller_connection_ends_total", "reason" => kind)
            .increment(1);
    }
}

/// Closes a caller's connection without resetting it.
async fn close_lingering(mut stream: tokio::net::TcpStream) {
    if stream.shutdown().await.is_err() {
        // The caller has already closed the connection.
        return;
    }
    let read_to_end = async {
        let mut buffer = [0; LINGER_BUFFER_BYTES];
        while stream
            .read(&mut buffer)
            .await
            .is_ok_and(|length| length > 0)
        {}
    };
    // A time-out means that the caller keeps the connection open; it is closed all the same.
    let _ = tokio::time::timeout(LINGER_TIME, read_to_end).await;
}
