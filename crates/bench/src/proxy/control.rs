//! Settings and control endpoint of the fault proxy.

use std::collections;
use std::net;
use std::path;
use std::sync;
use std::sync::atomic;

use error_stack::ResultExt;
use serde::{Deserialize, Serialize};
use tokio::sync::{broadcast, watch};
use tokio::task;

use super::rule::{LinkSelection, ProxyRule, RuleSet};
use super::{tcp, udp};
use crate::daemon;
use crate::http;

/// Settings of a fault proxy.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxySettings {
    /// Address of the control endpoint.
    pub control: net::SocketAddr,
    /// Listeners with their targets.
    pub links: Vec<ProxyLink>,
}

/// Listener of the proxy for TCP and UDP, and the target that it forwards to.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxyLink {
    /// Listening address.
    pub listen: net::SocketAddr,
    /// Address that connections and datagrams are forwarded to.
    pub target: net::SocketAddr,
}

/// Counters of the proxy since its start.
#[derive(Default, Serialize)]
pub struct ProxyCounts {
    /// Connections open now.
    pub connections: atomic::AtomicUsize,
    /// Datagrams forwarded.
    pub datagrams: atomic::AtomicUsize,
    /// Datagrams dropped by a rule.
    pub dropped: atomic::AtomicUsize,
    /// Payload bytes received in both directions, by IP address of the listener.
    pub bytes: collections::HashMap<net::IpAddr, atomic::AtomicU64>,
}

impl ProxyCounts {
    /// Adds bytes received on a link.
    pub fn add_bytes(&self, listener: net::IpAddr, length: usize) {
        if let Some(bytes) = self.bytes.get(&listener) {
            bytes.fetch_add(length as u64, atomic::Ordering::Relaxed);
        }
    }
}

/// State shared by all links.
pub struct ProxyState {
    pub rules: watch::Sender<sync::Arc<RuleSet>>,
    pub resets: broadcast::Sender<LinkSelection>,
    pub counts: ProxyCounts,
}

/// Serves the links of a settings file and the control endpoint.
///
/// # Errors
///
/// Returns an error if the settings cannot be read or an address cannot be served.
pub async fn serve_proxy(file: path::PathBuf) -> daemon::BenchResult<()> {
    let settings: ProxySettings = daemon::read_settings(&file)?;
    let state = sync::Arc::new(ProxyState {
        rules: watch::Sender::default(),
        resets: broadcast::Sender::new(16),
        counts: ProxyCounts {
            bytes: settings
                .links
                .iter()
                .map(|link| (link.listen.ip(), atomic::AtomicU64::default()))
                .collect(),
            ..ProxyCounts::default()
        },
    });
    let mut tasks = task::JoinSet::new();
    for link in &settings.links {
        let listener = daemon::bind_tcp(link.listen).await?;
        tasks.spawn(tcp::serve_tcp(sync::Arc::clone(&state), *link, listener));
        let socket = tokio::net::UdpSocket::bind(link.listen)
            .await
            .change_context_lazy(|| daemon::step_error(format!("listen on UDP {}", link.listen)))?;
        tasks.spawn(udp::serve_udp(sync::Arc::clone(&state), *link, socket));
    }
    let control = daemon::bind_tcp(settings.control).await?;
    log::info!(
        "serving {} links, control endpoint on {}",
        settings.links.len(),
        settings.control
    );
    tasks.spawn(http::serve_control(control, move |request| {
        let state = sync::Arc::clone(&state);
        async move { http::into_response(state.handle(request)).await }
    }));
    while let Some(result) = tasks.join_next().await {
        let step = || daemon::step_error("serve a link or the control endpoint");
        result
            .change_context_lazy(step)?
            .change_context_lazy(step)?;
    }
    Ok(())
}

impl ProxyState {
    async fn handle(&self, request: http::Request) -> Result<http::Response, http::ErrorResponse> {
        let path = request.uri().path().to_owned();
        match (request.method().as_str(), path.as_str()) {
            ("GET", "/control") => {}
            ("PUT", "/control/rules") => self.set_rules(http::read_json(request).await?),
            ("POST", "/control/rules") => {
                let mut rules = self.rules.borrow().0.clone();
                rules.push(http::read_json(request).await?);
                self.set_rules(rules);
            }
            ("DELETE", "/control/rules") => self.set_rules(Vec::new()),
            ("POST", "/control/reset") => {
                let links: LinkSelection = http::read_json(request).await?;
                log::info!("connections reset: {links:?}");
                let _ = self.resets.send(links);
            }
            _ => return Err((404, "no such path".to_owned())),
        }
        let rules = &self.rules.borrow().0;
        let status = serde_json::json!({"rules": rules, "counts": self.counts});
        Ok(http::json_response(&status))
    }

    fn set_rules(&self, rules: Vec<ProxyRule>) {
        log::info!("{} rules active", rules.len());
        self.rules.send_replace(sync::Arc::new(RuleSet(rules)));
    }
}
