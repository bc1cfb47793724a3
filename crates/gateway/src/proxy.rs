//! Accepts connections of callers and passes their requests to the forwarder.

use std::convert;
use std::net;
use std::sync;
use std::time;

use error_stack::{Report, ResultExt};
use hyper::body;
use hyper_util::rt;
use hyper_util::server::conn::auto;
use toucanledge_core::{RefusalReason, RequestOutcome, TableRevision};
use tower::{Service, ServiceExt};

use crate::backend::ConnectionPool;
use crate::error::{GatewayError, GatewayStep};
use crate::forward::RequestForwarder;
use crate::kernel::KernelHandle;
use crate::request;
use crate::request::BufferLimit;
use crate::response;
use crate::response::{CallerResponse, RequestRefusal};
use crate::shared_state::InFlightGuard;

/// Maximum size in bytes of all request bodies in memory: half of the memory of a gateway.
const MAX_BUFFERED_BYTES: usize = 32 * 1024 * 1024;
/// Time within which a caller must send a request head.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Time within which a caller must send a request body.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Minimum buffer size that the HTTP library accepts, in bytes.
const MIN_HEAD_BUFFER_BYTES: usize = 8192;
/// Time between two evictions of idle connections.
const EVICTION_INTERVAL: time::Duration = time::Duration::from_secs(5);
/// Time between the failing readiness check and the close of the listener, in which the load
/// balancer stops sending connections.
const READINESS_GRACE: time::Duration = time::Duration::from_secs(1);
/// Pause after a failed accept, which usually means that the process has no free file descriptors.
const ACCEPT_BACKOFF: time::Duration = time::Duration::from_millis(50);

/// Reads requests of callers and forwards them.
#[derive(Clone, Debug)]
pub struct CallerService {
    kernel: sync::Arc<KernelHandle>,
    forwarder: sync::Arc<RequestForwarder>,
    buffer_limit: BufferLimit,
}

/// A request with the address of its caller.
#[derive(Debug)]
pub struct IncomingRequest {
    /// Request head, with the body still to be read.
    pub request: hyper::Request<body::Incoming>,
    /// Address of the caller.
    pub remote: net::SocketAddr,
}

impl CallerService {
    /// Returns a service that forwards requests with the plug-ins of the kernel.
    #[must_use]
    pub fn new(kernel: sync::Arc<KernelHandle>) -> Self {
        let forwarder = sync::Arc::new(RequestForwarder::new(sync::Arc::clone(&kernel)));
        let buffer_limit = BufferLimit::new(MAX_BUFFERED_BYTES, kernel.settings.max_body_bytes);
        Self {
            kernel,
            forwarder,
            buffer_limit,
        }
    }

    async fn respond(self, incoming: IncomingRequest) -> CallerResponse {
        metrics::counter!("toucanledge_requests_total").increment(1);
        let IncomingRequest { request, remote } = incoming;
        let caller_header = &self.kernel.settings.caller_header;
        let reading = request::read_request(request, remote, caller_header, &self.buffer_limit);
        let read = tokio::time::timeout(BODY_TIMEOUT, reading).await;
        match read.unwrap_or(Err(RefusalReason::BadRequest)) {
            Ok(request) => self.forwarder.forward(request).await,
            Err(reason) => early_refusal(reason),
        }
    }
}

impl Service<IncomingRequest> for CallerService {
    type Response = CallerResponse;
    type Error = convert::Infallible;
    type Future = futures_util::future::BoxFuture<'static, Result<CallerResponse, Self::Error>>;

    fn poll_ready(
        &mut self,
        _context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Result<(), Self::Error>> {
        std::task::Poll::Ready(Ok(()))
    }

    fn call(&mut self, incoming: IncomingRequest) -> Self::Future {
        let service = self.clone();
        Box::pin(async move { Ok(service.respond(incoming).await) })
    }
}

type LimitedService = tower::load_shed::LoadShed<tower::limit::ConcurrencyLimit<CallerService>>;

/// Opens the listener for callers and spawns the task that serves it until the process stops.
///
/// The task ends when the last connection and at-most-once request has ended, so a graceful stop
/// interrupts no request in flight.
///
/// # Errors
///
/// Returns the step and the address when the listener cannot be opened.
pub async fn listen(
    kernel: sync::Arc<KernelHandle>,
) -> Result<tokio::task::JoinHandle<()>, Report<GatewayError>> {
    let address = kernel.settings.listen;
    let listener = tokio::net::TcpListener::bind(address)
        .await
        .change_context_lazy(|| GatewayError::at(GatewayStep::Listen, address))?;
    let service = CallerService::new(sync::Arc::clone(&kernel));
    let connection_pool = sync::Arc::clone(service.forwarder.connection_pool());
    let limited = tower::ServiceBuilder::new()
        .load_shed()
        .concurrency_limit(kernel.settings.max_requests)
        .service(service);
    Ok(tokio::spawn(async move {
        let eviction = tokio::spawn(evict_idle_connections(connection_pool));
        accept_callers(&listener, &kernel, &limited).await;
        drop(listener);
        let mut in_flight = kernel.state.in_flight.subscribe();
        let _ = in_flight.wait_for(|count| *count == 0).await;
        eviction.abort();
    }))
}

async fn evict_idle_connections(connection_pool: sync::Arc<ConnectionPool>) {
    loop {
        tokio::time::sleep(EVICTION_INTERVAL).await;
        connection_pool.evict_idle();
    }
}

async fn accept_callers(
    listener: &tokio::net::TcpListener,
    kernel: &sync::Arc<KernelHandle>,
    service: &LimitedService,
) {
    let mut stopping = kernel.state.stopping.subscribe();
    let stop_deadline = async {
        let _ = stopping.wait_for(|stopping| *stopping).await;
        tokio::time::sleep(READINESS_GRACE).await;
    };
    tokio::pin!(stop_deadline);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut stop_deadline => return,
        };
        match accepted {
            Ok((stream, remote)) => {
                let connection =
                    serve_caller(stream, remote, sync::Arc::clone(kernel), service.clone());
                tokio::spawn(connection);
            }
            Err(error) => {
                log::warn!("[proxy] could not accept a connection: {error}");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve_caller(
    stream: tokio::net::TcpStream,
    remote: net::SocketAddr,
    kernel: sync::Arc<KernelHandle>,
    service: LimitedService,
) {
    let _guard = InFlightGuard::new(&kernel.state);
    let _ = stream.set_nodelay(true);
    let mut builder = auto::Builder::new(rt::TokioExecutor::new());
    builder
        .http1()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(kernel.settings.max_header_bytes.max(MIN_HEAD_BUFFER_BYTES));
    builder
        .http2()
        .max_header_list_size(u32::try_from(kernel.settings.max_header_bytes).unwrap_or(u32::MAX));
    let handler = hyper::service::service_fn(move |request| {
        let service = service.clone();
        async move {
            let incoming = IncomingRequest { request, remote };
            let response = service.oneshot(incoming).await;
            Ok::<_, convert::Infallible>(response.unwrap_or_else(|_| gateway_full_refusal()))
        }
    });
    let connection = builder.serve_connection(rt::TokioIo::new(stream), handler);
    tokio::pin!(connection);
    let mut stopping = kernel.state.stopping.subscribe();
    let stop_deadline = async {
        let _ = stopping.wait_for(|stopping| *stopping).await;
        tokio::time::sleep(READINESS_GRACE).await;
    };
    tokio::pin!(stop_deadline);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = &mut stop_deadline => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        count_failed_connection(error.as_ref(), remote);
    }
}

/// Counts a connection that ended with an error.
///
/// The HTTP library itself responds to malformed heads, so those are counted only here.
fn count_failed_connection(error: &(dyn std::error::Error + 'static), remote: net::SocketAddr) {
    let kind = match error.downcast_ref::<hyper::Error>() {
        Some(error) if error.is_parse_too_large() => "too-large",
        Some(error) if error.is_parse() => "bad-request",
        Some(error) if error.is_timeout() => "timeout",
        Some(error) if error.is_user() => "aborted-answer",
        _ => "closed",
    };
    metrics::counter!("toucanledge_caller_connection_errors_total", "reason" => kind).increment(1);
    log::debug!("[proxy] connection of {remote} closed with an error: {error}");
}

fn early_refusal(reason: RefusalReason) -> CallerResponse {
    response::refusal_response(&RequestRefusal {
        reason,
        outcome: RequestOutcome::NotRun,
        row: None,
        table_revision: TableRevision::default(),
        retry_after_ms: 1000,
    })
}

fn gateway_full_refusal() -> CallerResponse {
    early_refusal(RefusalReason::GatewayFull)
}
