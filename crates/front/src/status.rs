//! Readiness check, metrics and the facts for peers.

use std::convert;
use std::sync;

use hyper::StatusCode;
use hyper::body;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;

use crate::answer;
use crate::answer::CallerAnswer;
use crate::engine::FrontEngine;
use crate::reader::FactFrame;

/// Answers the readiness check.
pub fn ready_answer(engine: &FrontEngine) -> CallerAnswer {
    let state = engine.state();
    if state.can_serve() && !state.stopping {
        answer::plain(StatusCode::OK, "ready\n")
    } else {
        answer::plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

/// Answers on the status address.
pub fn status_answer(
    engine: &FrontEngine,
    metrics: &metrics_exporter_prometheus::PrometheusHandle,
    request: &hyper::Request<body::Incoming>,
) -> CallerAnswer {
    match request.uri().path() {
        "/metrics" => answer::plain(StatusCode::OK, metrics.render()),
        "/facts" => facts_answer(engine, request.uri().query().unwrap_or_default()),
        "/status" => answer::plain(StatusCode::OK, status_text(engine)),
        _ => answer::plain(StatusCode::NOT_FOUND, "unknown page\n"),
    }
}

fn facts_answer(engine: &FrontEngine, query: &str) -> CallerAnswer {
    let after = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("after="))
        .and_then(|after| after.parse().ok());
    let Some(after) = after else {
        return answer::plain(StatusCode::BAD_REQUEST, "after=REVISION is missing\n");
    };
    let mut body = Vec::new();
    match ciborium::into_writer(&FactFrame::since(engine, after), &mut body) {
        Ok(()) => answer::plain(StatusCode::OK, body),
        Err(error) => {
            log::error!("[status] encode failed: {error}");
            answer::plain(StatusCode::INTERNAL_SERVER_ERROR, "encode failed\n")
        }
    }
}

fn status_text(engine: &FrontEngine) -> String {
    let now = engine.clock.now();
    let state = engine.state();
    let version = state.table.as_ref().map_or(0, |table| table.version());
    let peers = state.peers.live(now).count();
    let head = format!(
        "table={version} revision={} reading={} peers={peers}\n",
        state.facts.revision(),
        state.reading
    );
    let servers = state.servers.iter().map(|(_, entry)| {
        let health = &entry.health;
        format!(
            "server={} stage={} load={} failures={} reachable={} failure_age_ms={}\n",
            entry.row.name,
            entry.row.stage,
            entry.load(),
            health.failures(),
            health.reachable(now),
            now.since(health.last_failure()),
        )
    });
    std::iter::once(head).chain(servers).collect()
}

/// Serves a listener with answers that need no wait.
pub async fn serve_pages(
    listener: tokio::net::TcpListener,
    page: impl Fn(&hyper::Request<body::Incoming>) -> CallerAnswer + Send + Sync + 'static,
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
                let answer = page(&request);
                async move { Ok::<_, convert::Infallible>(answer) }
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
