//! Readiness check, status page, metrics, and the records for peers.

use std::convert;
use std::sync;

use hyper::StatusCode;
use hyper::body;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;

use crate::proxy::ProxyService;
use crate::reader::RecordsFrame;
use crate::response;
use crate::response::CallerResponse;

/// Returns the response to the readiness check.
pub fn ready_response(proxy: &ProxyService) -> CallerResponse {
    let state = proxy.state();
    if state.can_serve() && !state.stopping {
        response::text_response(StatusCode::OK, "ready\n")
    } else {
        response::text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

/// Returns the response to a request at the status address.
pub fn status_response(
    proxy: &ProxyService,
    metrics: &metrics_exporter_prometheus::PrometheusHandle,
    request: &hyper::Request<body::Incoming>,
) -> CallerResponse {
    match request.uri().path() {
        "/metrics" => response::text_response(StatusCode::OK, metrics.render()),
        "/facts" => records_response(proxy, request.uri().query().unwrap_or_default()),
        "/status" => response::text_response(StatusCode::OK, status_text(proxy)),
        _ => response::text_response(StatusCode::NOT_FOUND, "unknown page\n"),
    }
}

fn records_response(proxy: &ProxyService, query: &str) -> CallerResponse {
    let after = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("after="))
        .and_then(|after| after.parse().ok());
    let Some(after) = after else {
        return response::text_response(StatusCode::BAD_REQUEST, "after=REVISION is missing\n");
    };
    let mut body = Vec::new();
    match ciborium::into_writer(&RecordsFrame::changed_since(proxy, after), &mut body) {
        Ok(()) => response::text_response(StatusCode::OK, body),
        Err(error) => {
            log::error!("[status] records could not be encoded: {error}");
            response::text_response(StatusCode::INTERNAL_SERVER_ERROR, "encode failed\n")
        }
    }
}

fn status_text(proxy: &ProxyService) -> String {
    let now = proxy.clock.now();
    let state = proxy.state();
    let version = state
        .routing_table
        .as_ref()
        .map_or(0, |table| table.version());
    let peers = state.peers.reachable(now).count();
    let head = format!(
        "table={version} revision={} reading={} peers={peers}\n",
        state.store_cache.revision(),
        state.reads_store
    );
    let servers = state.servers.iter().map(|(_, entry)| {
        let health = &entry.health;
        format!(
            "server={} stage={} load={} failures={} reachable={} failure_age_ms={} says_leaving={} \
             paused_ms={}\n",
            entry.row.name,
            entry.row.state,
            entry.load(),
            health.failure_count(),
            health.is_reachable(now),
            now.since(health.last_failure()),
            entry.notices.leaving,
            entry
                .notices
                .paused_until
                .map_or(0, |until| until.since(now)),
        )
    });
    std::iter::once(head).chain(servers).collect()
}

/// Serves a listener with responses that need no waiting.
pub async fn serve_http(
    listener: tokio::net::TcpListener,
    page: impl Fn(&hyper::Request<body::Incoming>) -> CallerResponse + Send + Sync + 'static,
) {
    let page = sync::Arc::new(page);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        let page = sync::Arc::clone(&page);
        tokio::spawn(async move {
            let handler = service::service_fn(move |request| {
                let response = page(&request);
                async move { Ok::<_, convert::Infallible>(response) }
            });
            let served = http1::Builder::new()
                .serve_connection(rt::TokioIo::new(stream), handler)
                .await;
            if let Err(error) = served {
                log::debug!("[status] connection ended: {error}");
            }
        });
    }
}
