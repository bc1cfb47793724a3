//! A running fleet: start, control sides and removal.

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

/// Ports of one fleet; base ports are multiples of it, so fleets that run at once differ.
const PORTS_PER_FLEET: u16 = 50;

/// Range of base ports; it ends below the ports that the system gives to connections.
const BASE_PORTS: std::ops::Range<u16> = 10_000..32_000;

/// Limit for an response of a control side.
const CONTROL_LIMIT: time::Duration = time::Duration::from_secs(10);

/// Limit for the start of a stand-in.
const START_LIMIT: time::Duration = time::Duration::from_secs(10);

/// Fleet on loopback; dropping it ends its processes and removes its folder.
pub struct Fleet {
    /// What was asked for.
    pub config: FleetConfig,
    /// Addresses and identifiers; replacements change them.
    pub layout: FleetLayout,
    /// VM list that the next publication contains.
    pub vm_entries: Vec<VmEntry>,
    pub(super) processes: collections::BTreeMap<String, ChildProcess>,
    pub(super) folder: path::PathBuf,
    pub(super) next_vm: u32,
    client: client::CallerClient,
    /// Listener on the base port, which keeps other fleets from using the same ports.
    _claim: net::TcpListener,
}

impl Fleet {
    /// Starts the stand-ins, publishes list and table, starts the gateways and waits for them.
    ///
    /// # Errors
    ///
    /// Returns the step that failed, with the process or address.
    pub async fn start(config: FleetConfig) -> daemon::BenchResult<Self> {
        let mut fleet = Self::start_stand_ins(config).await?;
        for index in 0..fleet.layout.gateways.len() {
            fleet.start_gateway(index)?;
        }
        fleet.wait_ready(START_LIMIT).await?;
        Ok(fleet)
    }

    /// Starts the stand-ins and publishes list and table.
    ///
    /// # Errors
    ///
    /// Returns the step that failed, with the process or address.
    pub async fn start_stand_ins(config: FleetConfig) -> daemon::BenchResult<Self> {
        let (claim, base) = claim_ports()?;
        let layout = FleetLayout::new(&config, base);
        let folder = env::temp_dir().join(format!("toucanledge-{}-{base}", process::id()));
        fs::create_dir_all(&folder)
            .change_context_lazy(|| daemon::step_error(format!("create {}", folder.display())))?;
        let mut fleet = Self {
            vm_entries: layout.vm_entries(),
            config,
            layout,
            processes: collections::BTreeMap::new(),
            folder,
            next_vm: 10_000,
            client: client::CallerClient::default(),
            _claim: claim,
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
            self.wait_control("proxy", layout.proxy_control).await?;
        }
        self.wait_control("platform", layout.platform_control)
            .await?;
        for (index, control) in layout.backend_controls.iter().enumerate() {
            self.wait_control(&format!("backend-{index}"), *control)
                .await?;
        }
        Ok(())
    }

    /// Publishes the table with these rows and returns its revision.
    ///
    /// # Errors
    ///
    /// Returns the platform's refusal.
    pub async fn publish_table(&self, rows: &[serde_json::Value]) -> daemon::BenchResult<u64> {
        let path = "/v1/value/table/head";
        let control = self.layout.platform_control;
        let get = client::CallerRequest::new(hyper::Method::GET, path);
        let present = self.client.send(control, &get, CONTROL_LIMIT).await;
        let present = present.change_context_lazy(|| at("GET", path, control))?;
        let based_on: u64 = present.header("platform-revision").parse().unwrap_or(0);
        let head = serde_json::json!({"based_on": based_on, "editor": "launcher", "rows": rows});
        self.send_control_request(hyper::Method::PUT, control, path, &head)
            .await
    }

    /// Publishes the VM list and returns its version.
    ///
    /// # Errors
    ///
    /// Returns the platform's refusal.
    pub async fn publish_list(&self) -> daemon::BenchResult<u64> {
        let body = serde_json::json!({"vms": self.vm_entries});
        let control = self.layout.platform_control;
        self.send_control_request(hyper::Method::PUT, control, "/v1/vms", &body)
            .await
    }

    /// Returns the rows of the servers and of the config's classes.
    #[must_use]
    pub fn table_rows(&self) -> Vec<serde_json::Value> {
        let mut rows = self.layout.server_rows();
        rows.extend(self.config.class_rows.iter().cloned());
        rows
    }

    /// Sets the platform's faults.
    ///
    /// # Errors
    ///
    /// Returns the refusal.
    pub async fn set_platform_faults(
        &self,
        faults: platform::PlatformFaults,
    ) -> daemon::BenchResult<platform::PlatformStatus> {
        let address = self.layout.platform_control;
        self.send_control_request(hyper::Method::PUT, address, "/control", &faults)
            .await
    }

    /// Sends an order to backend servers, by index in the layout.
    ///
    /// # Errors
    ///
    /// Returns the refusal.
    pub async fn send_server_control(
        &self,
        indices: impl IntoIterator<Item = usize>,
        order: &backend::ServerControl,
    ) -> daemon::BenchResult<()> {
        for index in indices {
            let place = &self.layout.servers[index];
            let mut order = order.clone();
            order.servers = vec![place.settings.name.clone()];
            let control = self.layout.backend_controls[place.process_index];
            let response: daemon::BenchResult<serde_json::Value> = self
                .send_control_request(hyper::Method::PUT, control, "/control", &order)
                .await;
            response?;
        }
        Ok(())
    }

    /// Sets the rules of the fault proxy and returns its status.
    ///
    /// # Errors
    ///
    /// Returns the refusal.
    pub async fn set_proxy_rules(
        &self,
        rules: &[proxy::ProxyRule],
    ) -> daemon::BenchResult<serde_json::Value> {
        let control = self.layout.proxy_control;
        self.send_control_request(hyper::Method::PUT, control, "/control/rules", &rules)
            .await
    }

    /// Returns the records of all backend servers.
    ///
    /// # Errors
    ///
    /// Returns the control side that did not response or the line that is not a record.
    pub async fn fetch_request_records(
        &self,
    ) -> daemon::BenchResult<Vec<backend::BackendRequestRecord>> {
        let mut records = Vec::new();
        let path = "/control/records";
        for control in &self.layout.backend_controls {
            let step = || at("GET", path, *control);
            let get = client::CallerRequest::new(hyper::Method::GET, path);
            let response = self.client.send(*control, &get, CONTROL_LIMIT).await;
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
    /// Returns the name that no process has, or why the signal could not be sent.
    pub fn signal(&self, name: &str, signal: FleetSignal) -> daemon::BenchResult<()> {
        match self.processes.get(name) {
            Some(process) => process.signal(signal),
            None => {
                Err(daemon::step_error(format!("send {signal} to {name}: no such process")).into())
            }
        }
    }

    /// Returns the process id of a process.
    #[must_use]
    pub fn process_id(&self, name: &str) -> Option<u32> {
        self.processes.get(name).map(ChildProcess::id)
    }

    /// Returns the folder with settings and logs.
    #[must_use]
    pub fn folder(&self) -> &path::Path {
        &self.folder
    }

    /// Sends an order to a control side and returns its response.
    ///
    /// # Errors
    ///
    /// Returns method, path and address with the refusal.
    pub async fn send_control_request<T: DeserializeOwned>(
        &self,
        method: hyper::Method,
        address: net::SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> daemon::BenchResult<T> {
        let step = || at(method.as_str(), path, address);
        let request = client::CallerRequest::new(method.clone(), path).json(body);
        let response = self.client.send(address, &request, CONTROL_LIMIT).await;
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

    async fn wait_control(
        &mut self,
        name: &str,
        control: net::SocketAddr,
    ) -> daemon::BenchResult<()> {
        self.wait_for_ok(name, control, "/control", START_LIMIT)
            .await
    }

    /// Waits until a path of a process answers 200.
    pub(super) async fn wait_for_ok(
        &mut self,
        name: &str,
        address: net::SocketAddr,
        path: &str,
        limit: time::Duration,
    ) -> daemon::BenchResult<()> {
        let until = time::Instant::now() + limit;
        let request = client::CallerRequest::new(hyper::Method::GET, path);
        while time::Instant::now() < until {
            let response = self.client.send(address, &request, CONTROL_LIMIT).await;
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
fn claim_ports() -> daemon::BenchResult<(net::TcpListener, u16)> {
    BASE_PORTS
        .step_by(usize::from(PORTS_PER_FLEET))
        .find_map(|base| {
            let listener = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, base));
            listener.ok().map(|listener| (listener, base))
        })
        .ok_or_else(|| daemon::step_error("find a free range of ports").into())
}

fn at(method: &str, path: &str, address: net::SocketAddr) -> daemon::BenchError {
    daemon::step_error(format!("{method} {path} at {address}"))
}
