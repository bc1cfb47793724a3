//! Settings and control endpoint of a process that simulates backend servers.

use std::fmt;
use std::net;
use std::path;
use std::sync;

use error_stack::ResultExt;
use serde::{Deserialize, Serialize};
use tokio::task;
use toucanledge_core::VmId;

use super::faults::{BackendFaults, ServiceTime};
use super::{record, server};
use crate::daemon;
use crate::http;
use crate::timer;

/// Settings of a process that simulates backend servers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendSettings {
    /// Address of the control endpoint.
    pub control: net::SocketAddr,
    /// Seed of the service times.
    #[serde(default)]
    pub seed: u64,
    /// Backend servers of the process.
    pub servers: Vec<BackendServer>,
}

/// Settings of one backend server.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// VM id in the VM list.
    pub vm: VmId,
    /// Name in the table and in control requests.
    pub name: String,
    /// Listening address.
    pub address: net::SocketAddr,
    /// Limits and processing costs.
    #[serde(default)]
    pub limits: ServerLimits,
}

/// Limits and processing costs of one backend server.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServerLimits {
    /// Maximum number of requests that run at the same time.
    pub slots: usize,
    /// Maximum number of open connections; further ones are closed at once.
    pub connections: usize,
    /// Maximum number of queued requests; further ones are shed.
    pub queue: usize,
    /// Time to accept a connection; no other one is accepted in this time.
    pub accept_ms: f64,
    /// Time for which a probe holds a slot.
    pub probe_ms: f64,
    /// Length of the slow start, in which requests take longer.
    pub cold_ms: u64,
    /// Factor on the service time during the slow start.
    pub cold_factor: f64,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            slots: 4,
            connections: 330,
            queue: 64,
            accept_ms: 1.0,
            probe_ms: 25.0,
            cold_ms: 5000,
            cold_factor: 5.0,
        }
    }
}

/// Control request to backend servers of a process; fields that are absent change nothing.
#[derive(Clone, Default, Serialize, Deserialize)]
#[serde(expecting = "struct ServerOrder", default, deny_unknown_fields)]
pub struct ServerControl {
    /// Names of the servers; empty for all servers of the process.
    pub servers: Vec<String>,
    /// Replaces all faults.
    pub faults: Option<BackendFaults>,
    /// Replaces the distribution of service times.
    pub service: Option<ServiceTime>,
    /// Crashes the servers and restarts them after this time; 0 leaves them down until `start`.
    pub crash_restart_ms: Option<u64>,
    /// Starts the servers, each with a slow start.
    pub start: bool,
}

/// Prints the struct name `ServerOrder`, which the log lines of the stand-in contain.
impl fmt::Debug for ServerControl {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("ServerOrder")
            .field("servers", &self.servers)
            .field("faults", &self.faults)
            .field("service", &self.service)
            .field("crash_restart_ms", &self.crash_restart_ms)
            .field("start", &self.start)
            .finish()
    }
}

/// Counts and faults of one backend server since the process started.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServerStatus {
    /// Name of the server.
    pub name: String,
    /// Whether it accepts connections.
    pub open: bool,
    /// Slots in use.
    pub running: usize,
    /// Requests waiting for a slot.
    pub queued: usize,
    /// Open connections.
    pub connections: usize,
    /// Requests received.
    pub arrived: usize,
    /// Requests that a slot began to run.
    pub started: usize,
    /// Requests whose work completed.
    pub completed: usize,
    /// Requests that were shed.
    pub shed: usize,
    /// Faults as they were set, whether or not their cycle makes them active now.
    pub faults: BackendFaults,
}

struct ControlEndpoint {
    servers: Vec<sync::Arc<server::ServerState>>,
    log: sync::Arc<record::RequestLog>,
}

/// Serves the backend servers of a settings file and their control endpoint.
///
/// # Errors
///
/// Returns an error if the settings cannot be read or an address cannot be served.
pub async fn serve_backends(file: path::PathBuf) -> daemon::BenchResult<()> {
    let settings: BackendSettings = daemon::read_settings(&file)?;
    let log = sync::Arc::<record::RequestLog>::default();
    let mut tasks = task::JoinSet::new();
    let mut servers = Vec::new();
    for server in settings.servers {
        let listener = daemon::bind_tcp(server.address).await?;
        let state = server::ServerState::new(server, settings.seed, sync::Arc::clone(&log));
        let state = sync::Arc::new(state);
        servers.push(sync::Arc::clone(&state));
        tasks.spawn(serve_server(listener, state));
    }
    let control_listener = daemon::bind_tcp(settings.control).await?;
    log::info!(
        "serving {} backend servers, control endpoint on {}",
        servers.len(),
        settings.control
    );
    let endpoint = sync::Arc::new(ControlEndpoint { servers, log });
    tasks.spawn(http::serve_control(control_listener, move |request| {
        let endpoint = sync::Arc::clone(&endpoint);
        async move { http::into_response(endpoint.handle(request)).await }
    }));
    while let Some(result) = tasks.join_next().await {
        let step = || daemon::step_error("serve a backend server or the control endpoint");
        result
            .change_context_lazy(step)?
            .change_context_lazy(step)?;
    }
    Ok(())
}

async fn serve_server(
    listener: tokio::net::TcpListener,
    state: sync::Arc<server::ServerState>,
) -> std::io::Result<()> {
    let open = state.open.subscribe();
    let accept_cost = timer::duration_from_millis(state.settings.limits.accept_ms);
    http::serve_while_open(listener, open, accept_cost, move |stream, source| {
        sync::Arc::clone(&state).serve(stream, source.ip())
    })
    .await
}

impl ControlEndpoint {
    async fn handle(&self, request: http::Request) -> Result<http::Response, http::ErrorResponse> {
        let path = request.uri().path().to_owned();
        match (request.method().as_str(), path.as_str()) {
            ("GET", "/control") => {}
            ("PUT", "/control") => {
                let control: ServerControl = http::read_json(request).await?;
                log::info!("control request: {control:?}");
                for server in self.select(&control.servers)? {
                    control.apply_to(server);
                }
            }
            ("GET", "/control/records") => return Ok(http::response(200, self.log.json_lines())),
            ("DELETE", "/control/records") => self.log.clear(),
            _ => return Err((404, "no such path".to_owned())),
        }
        let statuses: Vec<ServerStatus> =
            self.servers.iter().map(|server| server.status()).collect();
        Ok(http::json_response(&statuses))
    }

    /// Returns the named servers, or all servers if there are no names.
    ///
    /// # Errors
    ///
    /// Returns an error response for an unknown name.
    fn select(
        &self,
        names: &[String],
    ) -> Result<Vec<&sync::Arc<server::ServerState>>, http::ErrorResponse> {
        if names.is_empty() {
            return Ok(self.servers.iter().collect());
        }
        let find = |name: &String| {
            let mut servers = self.servers.iter();
            servers
                .find(|server| server.settings.name == *name)
                .ok_or_else(|| (404, format!("no server {name}")))
        };
        names.iter().map(find).collect()
    }
}

impl ServerControl {
    fn apply_to(&self, server: &sync::Arc<server::ServerState>) {
        if let Some(faults) = &self.faults {
            server.set_faults(faults.clone());
        }
        if let Some(service) = self.service {
            server.set_service(service);
        }
        if let Some(restart_ms) = self.crash_restart_ms {
            server.crash(restart_ms);
        }
        if self.start {
            server.begin_slow_start();
        }
    }
}
