//! Connections of callers.

use std::net;
use std::sync;
use std::time;

use error_stack::{Report, ResultExt};
use hyper::header;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use tokio::sync::watch;

use crate::engine::FrontEngine;
use crate::error::{FrontError, FrontStep};

/// Time that an idle connection may stay open before the published limit is known.
const DEFAULT_IDLE: time::Duration = time::Duration::from_secs(15);
/// Time on top of the published limits, so that a request that comes at the limit is still read.
const IDLE_MARGIN: time::Duration = time::Duration::from_secs(2);
/// Smallest buffer that the HTTP library accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8192;
/// Size of the buffer for a request's head in bytes before the published limit is known.
const DEFAULT_HEAD_BYTES: usize = 16 * 1024;
/// Time without a request after which a stopping process drops a connection; the last answer has
/// left by then.
const UNUSED_TIME: time::Duration = time::Duration::from_millis(800);
/// Time between two looks at that.
const UNUSED_LOOK: time::Duration = time::Duration::from_millis(50);
/// Pause after a failed accept, which usually means that file descriptors ran out.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(20);

/// How far a graceful stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// The process serves.
    Serving,
    /// Every answer asks the caller to close its connection.
    Announced,
    /// Idle connections are closed and no connection is accepted.
    Closing,
}

/// Opens a listener.
///
/// # Errors
///
/// Returns the address that could not be opened.
pub async fn bind(address: net::SocketAddr) -> Result<tokio::net::TcpListener, Report<FrontError>> {
    tokio::net::TcpListener::bind(address)
        .await
        .change_context_lazy(|| FrontError::at(FrontStep::Listen, address))
}

/// Accepts callers until the stop closes the listener.
pub async fn accept_callers(
    listener: tokio::net::TcpListener,
    engine: sync::Arc<FrontEngine>,
    phase: watch::Receiver<StopPhase>,
    open: sync::Arc<()>,
) {
    let closing = closing(phase.clone());
    tokio::pin!(closing);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut closing => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let engine = sync::Arc::clone(&engine);
                let open = sync::Arc::clone(&open);
                tokio::spawn(serve_caller(stream, engine, phase.clone(), open));
            }
            Err(error) => {
                metrics::counter!("toucanledge_accept_failures_total").increment(1);
                log::warn!("[callers] accept failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Waits until a connection has carried no request for a while.
///
/// The HTTP library's graceful shutdown waits for the first request of a connection that never sent
/// one, which would keep the process until it is killed.
async fn unused(busy: &sync::Arc<()>) {
    /// References without a request: the connection's own and its handler's.
    const IDLE_REFERENCES: usize = 2;
    let mut idle = time::Duration::ZERO;
    while idle < UNUSED_TIME {
        tokio::time::sleep(UNUSED_LOOK).await;
        if sync::Arc::strong_count(busy) > IDLE_REFERENCES {
            idle = time::Duration::ZERO;
        } else {
            idle += UNUSED_LOOK;
        }
    }
}

async fn closing(mut phase: watch::Receiver<StopPhase>) {
    if phase
        .wait_for(|phase| *phase == StopPhase::Closing)
        .await
        .is_err()
    {
        log::debug!("[callers] the process ended without a stop");
    }
}

async fn serve_caller(
    stream: tokio::net::TcpStream,
    engine: sync::Arc<FrontEngine>,
    phase: watch::Receiver<StopPhase>,
    _open: sync::Arc<()>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("[callers] no-delay refused: {error}");
    }
    let (idle, head_bytes) = match engine.limits() {
        Some(limits) => {
            let longest = limits.idle_ms.max(limits.head_ms);
            (time::Duration::from_millis(longest), limits.head_bytes)
        }
        None => (DEFAULT_IDLE, DEFAULT_HEAD_BYTES),
    };
    let watched = phase.clone();
    let busy = sync::Arc::new(());
    let requests = sync::Arc::clone(&busy);
    let handler = service::service_fn(move |request| {
        let engine = sync::Arc::clone(&engine);
        let watched = watched.clone();
        let request_guard = sync::Arc::clone(&requests);
        async move {
            let mut answer = engine.serve(request).await;
            drop(request_guard);
            if *watched.borrow() != StopPhase::Serving {
                let close = header::HeaderValue::from_static("close");
                answer.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, std::convert::Infallible>(answer)
        }
    });
    let connection = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(idle + IDLE_MARGIN)
        .max_buf_size(head_bytes.max(MIN_HEAD_BYTES))
        .serve_connection(rt::TokioIo::new(stream), handler);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = closing(phase) => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                ended = connection.as_mut() => ended,
                () = unused(&busy) => return,
            }
        }
    };
    if let Err(error) = ended {
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
