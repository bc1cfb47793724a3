//! A running fleet: start, control requests and removal.

use std::collections;
use std::env;
use std::fs;
use std::net;
use std::path;
use std::process;
use std::time;

use error_stack::ResultExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use toucanledge_core::VmEntry;

use super::layout::{FleetConfig, FleetLayout};
use super::process::{ChildProcess, FleetSignal, find_binary};
use crate::backend;
use crate::client;
use crate::daemon;
use crate::platform;
use crate::proxy;

/// Number of ports of a fleet.
///
/// Base ports are multiples of it, so the ports of fleets that run at the same time differ.
const PORTS_PER_FLEET: u16 = 50;

/// Range of base ports; it ends below the ephemeral ports that the system assigns to connections.
const BASE_PORT_RANGE: std::ops::Range<u16> = 10_000..32_000;

/// Timeout of a control request.
const CONTROL_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Time within which a started process must be ready.
const START_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Fleet on loopback addresses; dropping it kills its processes and removes its folder.
pub struct Fleet {
    /// Configuration with which the fleet was started.
    pub config: FleetConfig,
    /// Addresses and VM ids; replacing a gateway changes its VM id.
    pub layout: FleetLayout,
    /// VM entries that the next publication of the VM list contains.
    pub vm_entries: Vec<VmEntry>,
    pub(super) processes: collections::BTreeMap<String, ChildProcess>,
    pub(super) folder: path::PathBuf,
    pub(super) next_vm_id: u32,
    client: client::CallerClient,
    /// Listener on the base port, which prevents other fleets from using the same ports.
    _port_reservation: net::TcpListener,
}

impl Fleet {
    /// Starts the stand-ins, publishes VM list and table, starts the gateways and waits until they
    /// are ready.
    ///
    /// # Errors
    ///
    /// Returns an error that names the failed step, with the process or address.
    pub async fn start(config: FleetConfig) -> daemon::BenchResult<Self> {
        let mut fleet = Self::start_stand_ins(config).await?;
        for index in 0..fleet.layout.gateways.len() {
            fleet.start_gateway(index)?;
        }
        fleet.wait_ready(START_TIMEOUT).await?;
        Ok(fleet)
    }

    /// Starts the stand-ins and publishes VM list and table.
    ///
    /// # Errors
    ///
    /// Returns an error that names the failed step, with the process or address.
    pub async fn start_stand_ins(config: FleetConfig) -> daemon::BenchResult<Self> {
        let (port_reservation, base_port) = reserve_ports()?;
        let layout = FleetLayout::new(&config, base_port);
        let folder = env::temp_dir().join(format!("toucanledge-{}-{base_port}", process::id()));
        fs::create_dir_all(&folder)
            .change_context_lazy(|| daemon::step_error(format!("create {}", folder.display())))?;
        let mut fleet = Self {
            vm_entries: layout.vm_entries(),
            config,
            layout,
            processes: collections::BTreeMap::new(),
            folder,
            next_vm_id: 10_000,
            client: client::CallerClient::default(),
            _port_reservation: port_reservation,
        };
        fleet.start_processes().await?;
        fleet.publish_list().await?;
        fleet.publish_table(&fleet.table_rows()).await?;
        Ok(fleet)
    }

    async fn start_processes(&mut self) -> daemon::BenchResult<()> {
        let layout = self.layout.clone();
        let listen = layout.platform.to_string();
        let control = layout.platform_control.to_string();
        let arguments = ["--listen", &listen, "--control", &control].map(str::to_owned);
        let binary = find_binary("toucanledge-platform-standin")?;
        self.start_process("platform", &binary, &arguments)?;
        let binary = find_binary("toucanledge-backend-standin")?;
        for index in 0..layout.backend_controls.len() {
            let settings = layout.backend_settings(index, self.config.seed);
            self.start_with_settings(&format!("backend-{index}"), &binary, &settings)?;
        }
        if self.config.fault_proxy {
            let binary = find_binary("toucanledge-fault-proxy")?;
            self.start_with_settings("proxy", &binary, &layout.proxy_settings())?;
            self.wait_for_control("proxy", layout.proxy_control).await?;
        }
        self.wait_for_control("platform", layout.platform_control)
            .await?;
        for (index, control) in layout.backend_controls.iter().enumerate() {
            self.wait_for_control(&format!("backend-{index}"), *control)
                .await?;
        }
        Ok(())
    }

    /// Publishes the table with these rows and returns its revision.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform rejects the request or does not respond.
    pub async fn publish_table(&self, rows: &[serde_json::Value]) -> daemon::BenchResult<u64> {
        let path = "/v1/value/table/head";
        let control = self.layout.platform_control;
        let get = client::CallerRequest::new(hyper::Method::GET, path);
        let current = self.client.send(control, &get, CONTROL_TIMEOUT).await;
        let current = current.change_context_lazy(|| request_step("GET", path, control))?;
        let based_on: u64 = current.header("platform-revision").parse().unwrap_or(0);
        let head = serde_json::json!({"based_on": based_on, "editor": "launcher", "rows": rows});
        self.send_control_request(hyper::Method::PUT, control, path, &head)
            .await
    }

    /// Publishes the VM list and returns its version.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform rejects the request or does not respond.
    pub async fn publish_list(&self) -> daemon::BenchResult<u64> {
        let body = serde_json::json!({"vms": self.vm_entries});
        let control = self.layout.platform_control;
        self.send_control_request(hyper::Method::PUT, control, "/v1/vms", &body)
            .await
    }

    /// Returns the table rows of the backend servers and of the request classes.
    #[must_use]
    pub fn table_rows(&self) -> Vec<serde_json::Value> {
        let mut rows = self.layout.server_rows();
        rows.extend(self.config.class_rows.iter().cloned());
        rows
    }

    /// Replaces the faults of the platform stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error if the control endpoint rejects the request or does not respond.
    pub async fn set_platform_faults(
        &self,
        faults: platform::PlatformFaults,
    ) -> daemon::BenchResult<platform::PlatformStatus> {
        let address = self.layout.platform_control;
        self.send_control_request(hyper::Method::PUT, address, "/control", &faults)
            .await
    }

    /// Sends a control request to backend servers, given by their index in the layout.
    ///
    /// # Errors
    ///
    /// Returns an error if the control endpoint rejects the request or does not respond.
    pub async fn send_server_control(
        &self,
        indices: impl IntoIterator<Item = usize>,
        control: &backend::ServerControl,
    ) -> daemon::BenchResult<()> {
        for index in indices {
            let server = &self.layout.servers[index];
            let mut control = control.clone();
            control.servers = vec![server.settings.name.clone()];
            let address = self.layout.backend_controls[server.process_index];
            let response: daemon::BenchResult<serde_json::Value> = self
                .send_control_request(hyper::Method::PUT, address, "/control", &control)
                .await;
            response?;
        }
        Ok(())
    }

    /// Replaces the rules of the fault proxy and returns its status.
    ///
    /// # Errors
    ///
    /// Returns an error if the control endpoint rejects the request or does not respond.
    pub async fn set_proxy_rules(
        &self,
        rules: &[proxy::ProxyRule],
    ) -> daemon::BenchResult<serde_json::Value> {
        let control = self.layout.proxy_control;
        self.send_control_request(hyper::Method::PUT, control, "/control/rules", &rules)
            .await
    }

    /// Fetches the request records of all backend servers.
    ///
    /// # Errors
    ///
    /// Returns an error if a control endpoint does not respond or a line is not a record.
    pub async fn fetch_request_records(
        &self,
    ) -> daemon::BenchResult<Vec<backend::BackendRequestRecord>> {
        let mut records = Vec::new();
        let path = "/control/records";
        for control in &self.layout.backend_controls {
            let step = || request_step("GET", path, *control);
            let get = client::CallerRequest::new(hyper::Method::GET, path);
            let response = self.client.send(*control, &get, CONTROL_TIMEOUT).await;
            let response = response.change_context_lazy(step)?;
            for line in response.text().lines() {
                records.push(serde_json::from_str(line).change_context_lazy(step)?);
            }
        }
        Ok(records)
    }

    /// Sends a signal to a process: `platform`, `proxy`, `backend-N` or a gateway's name.
    ///
    /// # Errors
    ///
    /// Returns an error if no process has this name or the signal cannot be sent.
    pub fn signal(&self, name: &str, signal: FleetSignal) -> daemon::BenchResult<()> {
        match self.processes.get(name) {
            Some(process) => process.signal(signal),
            None => {
                Err(daemon::step_error(format!("send {signal} to {name}: no such process")).into())
            }
        }
    }

    /// Returns the process id of a process, given by its name.
    #[must_use]
    pub fn process_id(&self, name: &str) -> Option<u32> {
        self.processes.get(name).map(ChildProcess::id)
    }

    /// Returns the folder with the settings files and logs.
    #[must_use]
    pub fn folder(&self) -> &path::Path {
        &self.folder
    }

    /// Sends a control request with a JSON body and parses the JSON response.
    ///
    /// # Errors
    ///
    /// Returns an error with method, path and address if there is no response or its body cannot be
    /// parsed.
    pub async fn send_control_request<T: DeserializeOwned>(
        &self,
        method: hyper::Method,
        address: net::SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> daemon::BenchResult<T> {
        let step = || request_step(method.as_str(), path, address);
        let request = client::CallerRequest::new(method.clone(), path).json(body);
        let response = self.client.send(address, &request, CONTROL_TIMEOUT).await;
        let response = response.change_context_lazy(step)?;
        let parsed = response.json();
        parsed
            .change_context_lazy(|| daemon::step_error(format!("{}: {}", step(), response.text())))
    }

    pub(super) fn start_process(
        &mut self,
        name: &str,
        binary: &path::Path,
        arguments: &[String],
    ) -> daemon::BenchResult<()> {
        self.processes.remove(name);
        let process = ChildProcess::start(binary, arguments, name, &self.folder)?;
        self.processes.insert(name.to_owned(), process);
        Ok(())
    }

    pub(super) fn start_with_settings(
        &mut self,
        name: &str,
        binary: &path::Path,
        settings: &impl Serialize,
    ) -> daemon::BenchResult<()> {
        let file = self.folder.join(format!("{name}.json"));
        let step = || daemon::step_error(format!("write {}", file.display()));
        let text = serde_json::to_string_pretty(settings).change_context_lazy(step)?;
        fs::write(&file, text).change_context_lazy(step)?;
        let arguments = ["--settings".to_owned(), file.display().to_string()];
        self.start_process(name, binary, &arguments)
    }

    async fn wait_for_control(
        &mut self,
        name: &str,
        control: net::SocketAddr,
    ) -> daemon::BenchResult<()> {
        self.wait_for_ok(name, control, "/control", START_TIMEOUT)
            .await
    }

    /// Waits until a path of a process returns status 200.
    pub(super) async fn wait_for_ok(
        &mut self,
        name: &str,
        address: net::SocketAddr,
        path: &str,
        timeout: time::Duration,
    ) -> daemon::BenchResult<()> {
        let deadline = time::Instant::now() + timeout;
        let request = client::CallerRequest::new(hyper::Method::GET, path);
        while time::Instant::now() < deadline {
            let response = self.client.send(address, &request, CONTROL_TIMEOUT).await;
            if response.is_ok_and(|response| response.status == 200) {
                return Ok(());
            }
            if let Some(process) = self.processes.get_mut(name) {
                process.check_running()?;
            }
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        Err(daemon::step_error(format!("wait for {name} on {address}{path}: timed out")).into())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.processes.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Binds the first free base port.
fn reserve_ports() -> daemon::BenchResult<(net::TcpListener, u16)> {
    BASE_PORT_RANGE
        .step_by(usize::from(PORTS_PER_FLEET))
        .find_map(|base_port| {
            let listener = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, base_port));
            listener.ok().map(|listener| (listener, base_port))
        })
        .ok_or_else(|| daemon::step_error("find a free range of ports").into())
}

fn request_step(method: &str, path: &str, address: net::SocketAddr) -> daemon::BenchError {
    daemon::step_error(format!("{method} {path} at {address}"))
}
