//! Plug-in that serves the status page, the readiness and liveness checks and the metrics.

use std::convert;
use std::sync;
use std::time;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body;
use hyper::header;
use hyper_util::rt;
use serde_json::json;
use tokio::sync::{mpsc, oneshot};

use crate::kernel::{KernelHandle, PluginDescriptor, PluginEvent, PluginName};

/// Time for which the status page waits for the state of a plug-in.
const PLUGIN_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Pause after a failed accept, which usually means that the process has no free file descriptors.
const ACCEPT_BACKOFF: time::Duration = time::Duration::from_millis(500);
/// Time between two upkeep runs of the metrics recorder.
const UPKEEP_INTERVAL: time::Duration = time::Duration::from_secs(5);
/// Plug-ins with a section on the status page.
const SECTIONS: [PluginName; 4] = [
    PluginName::Membership,
    PluginName::Table,
    PluginName::Slots,
    PluginName::Claims,
];

inventory::submit! {
    PluginDescriptor { name: PluginName::Status, message_kinds: &[], start }
}

type StatusResponse = hyper::Response<Full<Bytes>>;

struct StatusPage {
    kernel: sync::Arc<KernelHandle>,
}

fn start(kernel: sync::Arc<KernelHandle>, mut inbox: mpsc::Receiver<PluginEvent>) {
    let page = sync::Arc::new(StatusPage { kernel });
    let server = tokio::spawn(serve(sync::Arc::clone(&page)));
    tokio::spawn(async move {
        let mut upkeep = tokio::time::interval(UPKEEP_INTERVAL);
        loop {
            tokio::select! {
                event = inbox.recv() => if event.is_none() {
                    break;
                },
                _ = upkeep.tick() => page.kernel.metrics.run_upkeep(),
            }
        }
        server.abort();
    });
}

async fn serve(page: sync::Arc<StatusPage>) {
    let address = page.kernel.settings.status_listen;
    let listener = match tokio::net::TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            log::error!("[status] step listen failed with {address}: {error}");
            return;
        }
    };
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let page = sync::Arc::clone(&page);
        let handler = hyper::service::service_fn(move |request| {
            let page = sync::Arc::clone(&page);
            async move { Ok::<_, convert::Infallible>(page.respond(&request).await) }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .serve_connection(rt::TokioIo::new(stream), handler);
        tokio::spawn(connection);
    }
}

impl StatusPage {
    async fn respond(&self, request: &hyper::Request<body::Incoming>) -> StatusResponse {
        match request.uri().path() {
            "/ready" => self.ready(),
            "/live" => text_response(hyper::StatusCode::OK, "live\n".into()),
            "/status" => self.status().await,
            "/metrics" => self.metrics(),
            _ => text_response(
                hyper::StatusCode::NOT_FOUND,
                "pages: /ready /live /status /metrics\n".into(),
            ),
        }
    }

    fn ready(&self) -> StatusResponse {
        if self.kernel.state.is_ready() {
            text_response(hyper::StatusCode::OK, "ready\n".into())
        } else {
            text_response(hyper::StatusCode::SERVICE_UNAVAILABLE, "not ready\n".into())
        }
    }

    fn metrics(&self) -> StatusResponse {
        text_response(hyper::StatusCode::OK, self.kernel.metrics.render())
    }

    async fn status(&self) -> StatusResponse {
        let kernel = &self.kernel;
        let state = &kernel.state;
        let revision = state.current_table().map_or(0, |table| table.revision().0);
        let mut page = json!({
            "vm": kernel.vm.0,
            "name": kernel.settings.name,
            "failure_domain": kernel.settings.failure_domain,
            "incarnation": kernel.incarnation.0,
            "policy": kernel.settings.policy.to_string(),
            "ready": state.is_ready(),
            "stopping": state.is_stopping(),
            "connections": *state.in_flight.borrow(),
            "table_revision": revision,
            "list_version": state.current_vm_list().version.0,
        });
        for plugin in SECTIONS {
            page[plugin.to_string()] = self.request_section(plugin).await;
        }
        let text = serde_json::to_string_pretty(&page).unwrap_or_default();
        let mut response = text_response(hyper::StatusCode::OK, text + "\n");
        response.headers_mut().insert(
            header::CONTENT_TYPE,
            header::HeaderValue::from_static("application/json"),
        );
        response
    }

    async fn request_section(&self, plugin: PluginName) -> serde_json::Value {
        let (sender, receiver) = oneshot::channel();
        if self
            .kernel
            .try_notify(plugin, PluginEvent::StatusRequested(sender))
            .is_err()
        {
            return serde_json::Value::Null;
        }
        match tokio::time::timeout(PLUGIN_TIMEOUT, receiver).await {
            Ok(Ok(value)) => value,
            _ => serde_json::Value::Null,
        }
    }
}

fn text_response(status: hyper::StatusCode, text: String) -> StatusResponse {
    let mut response = hyper::Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
