//! Configuration of a fleet, and its addresses, VM ids and settings files.

use std::collections;
use std::net;
use std::path;

use toucanledge_core::{FailureDomainId, VmEntry, VmId, VmRole, VmState};

use crate::backend;
use crate::proxy;

/// VM id of the first backend server; gateways have smaller ones.
const FIRST_BACKEND_VM_ID: u32 = 1001;

/// Configuration of the fleet to start.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Number of gateways, up to 250.
    pub gateways: u8,
    /// Number of failure domains, to which gateways and servers are assigned in turn.
    pub domains: u16,
    /// Pools of backend servers; up to 250 servers in all.
    pub pools: Vec<PoolConfig>,
    /// Table rows of the request classes; the rows of the servers are added.
    pub class_rows: Vec<serde_json::Value>,
    /// Whether connections between gateways and to backend servers pass the fault proxy.
    pub fault_proxy: bool,
    /// Number of stand-in processes among which the backend servers are divided.
    pub backend_processes: usize,
    /// Value of the gateway setting `policy`; if none, the setting is omitted.
    pub policy: Option<String>,
    /// Gateway binary; if none, it is searched in the same folders as the stand-ins.
    pub gateway_binary: Option<path::PathBuf>,
    /// Seed of the service times.
    pub seed: u64,
}

/// Pool of backend servers.
#[derive(Clone, Debug)]
pub struct PoolConfig {
    /// Name of the pool; a server's name is this name, a hyphen and two digits.
    pub name: String,
    /// Number of backend servers.
    pub servers: u8,
    /// Limits and processing costs of each server.
    pub limits: backend::ServerLimits,
}

/// Addresses and VM ids of a fleet.
#[derive(Clone, Debug)]
pub struct FleetLayout {
    /// Address of the platform protocol.
    pub platform: net::SocketAddr,
    /// Control endpoint of the platform, through which tables and VM lists are published.
    pub platform_control: net::SocketAddr,
    /// Control endpoint of the fault proxy.
    pub proxy_control: net::SocketAddr,
    /// Control endpoints of the backend server processes.
    pub backend_controls: Vec<net::SocketAddr>,
    /// Gateways by index, from 0.
    pub gateways: Vec<GatewayLayout>,
    /// Backend servers by index, from 0.
    pub servers: Vec<ServerLayout>,
}

/// VM id, name, failure domain and addresses of a gateway.
#[derive(Clone, Debug)]
pub struct GatewayLayout {
    /// VM id; a replacement gets a new one.
    pub vm: VmId,
    /// Name, which a replacement keeps.
    pub name: String,
    /// Failure domain.
    pub domain: FailureDomainId,
    /// Address for callers.
    pub listen: net::SocketAddr,
    /// Address of the status page.
    pub status_address: net::SocketAddr,
    /// Address on which it listens for peers.
    pub peer_listen: net::SocketAddr,
    /// Address in the VM list: the fault proxy's, or the listening address without a proxy.
    pub peer_advertised: net::SocketAddr,
}

/// Settings, pool, failure domain and addresses of a backend server.
#[derive(Clone, Debug)]
pub struct ServerLayout {
    /// Settings for the stand-in, with the listening address.
    pub settings: backend::BackendServer,
    /// Name of its pool.
    pub pool: String,
    /// Failure domain.
    pub domain: FailureDomainId,
    /// Address in the VM list: the fault proxy's, or the listening address without a proxy.
    pub advertised_address: net::SocketAddr,
    /// Index of the stand-in process that simulates it.
    pub process_index: usize,
}

impl Default for FleetConfig {
    fn default() -> Self {
        Self {
            gateways: 6,
            domains: 3,
            pools: vec![PoolConfig::new("reading", 6)],
            class_rows: Vec::new(),
            fault_proxy: false,
            backend_processes: 2,
            policy: None,
            gateway_binary: None,
            seed: 1,
        }
    }
}

impl PoolConfig {
    /// Returns a pool whose servers have the default limits.
    #[must_use]
    pub fn new(name: &str, servers: u8) -> Self {
        Self {
            name: name.to_owned(),
            servers,
            limits: backend::ServerLimits::default(),
        }
    }
}

impl FleetLayout {
    /// Returns the layout of a fleet whose ports start at the base port.
    ///
    /// ```
    /// use toucanledge_bench::{FleetLayout, FleetConfig};
    /// let config = FleetConfig { fault_proxy: true, ..FleetConfig::default() };
    /// let layout = FleetLayout::new(&config, 20_000);
    /// assert_eq!(layout.gateways[5].peer_listen.ip().to_string(), "127.1.0.6");
    /// assert_eq!(layout.gateways[5].peer_advertised.ip().to_string(), "127.2.0.6");
    /// ```
    #[must_use]
    pub fn new(config: &FleetConfig, base_port: u16) -> Self {
        let local = |offset: u16| address([127, 0, 0, 1], base_port + offset);
        let process_count = u16::try_from(config.backend_processes).unwrap_or(1).max(1);
        let gateways =
            (1..=config.gateways).map(|number| gateway_layout(config, base_port, number));
        let pools = config.pools.iter();
        let pool_servers =
            pools.flat_map(|pool| (1..=pool.servers).map(move |index| (pool, index)));
        let servers = (1u8..).zip(pool_servers).map(|(number, (pool, index))| {
            let mut server = server_layout(config, base_port, number, pool, index);
            server.process_index = usize::from(number - 1) % usize::from(process_count);
            server
        });
        Self {
            platform: local(1),
            platform_control: local(2),
            proxy_control: local(3),
            backend_controls: (0..process_count).map(|index| local(4 + index)).collect(),
            gateways: gateways.collect(),
            servers: servers.collect(),
        }
    }

    /// Returns the VM list entries of all gateways and backend servers, in the state live.
    #[must_use]
    pub fn vm_entries(&self) -> Vec<VmEntry> {
        let gateways = self.gateways.iter().map(GatewayLayout::vm_entry);
        let servers = self.servers.iter().map(ServerLayout::vm_entry);
        gateways.chain(servers).collect()
    }

    /// Returns the table rows of the backend servers.
    #[must_use]
    pub fn server_rows(&self) -> Vec<serde_json::Value> {
        let servers = self.servers.iter();
        servers
            .map(|server| {
                serde_json::json!({
                    "backend": server.settings.name, "pool": server.pool, "weight": 1.0,
                    "slots": server.settings.limits.slots, "connections": server.settings.limits.connections,
                })
            })
            .collect()
    }

    /// Returns the settings of the backend server process with this index.
    #[must_use]
    pub fn backend_settings(&self, process_index: usize, seed: u64) -> backend::BackendSettings {
        let servers = self.servers.iter();
        let in_process = servers.filter(|server| server.process_index == process_index);
        backend::BackendSettings {
            control: self.backend_controls[process_index],
            seed,
            servers: in_process.map(|server| server.settings.clone()).collect(),
        }
    }

    /// Returns the settings of the fault proxy.
    #[must_use]
    pub fn proxy_settings(&self) -> proxy::ProxySettings {
        let link = |(listen, target)| proxy::ProxyLink { listen, target };
        let gateways = self.gateways.iter();
        let gateways = gateways.map(|gateway| (gateway.peer_advertised, gateway.peer_listen));
        let servers = self.servers.iter();
        let servers = servers.map(|server| (server.advertised_address, server.settings.address));
        proxy::ProxySettings {
            control: self.proxy_control,
            links: gateways.chain(servers).map(link).collect(),
        }
    }

    /// Returns proxy rules with the delay in ms between failure domains.
    ///
    /// A rule applies from the gateways of one failure domain to the gateways and backend servers
    /// of another, with the same delay in both directions.
    #[must_use]
    pub fn latency_rules(
        &self,
        delay_ms: impl Fn(FailureDomainId, FailureDomainId) -> f64,
    ) -> Vec<proxy::ProxyRule> {
        let domains: collections::BTreeSet<FailureDomainId> =
            self.gateways.iter().map(|gateway| gateway.domain).collect();
        let pairs = domains
            .iter()
            .flat_map(|from| domains.iter().map(move |to| (*from, *to)));
        pairs
            .map(|(from, to)| proxy::ProxyRule {
                sources: self.gateway_ips(from, |gateway| gateway.peer_listen),
                targets: self.advertised_ips(to),
                delay_ms: Some(delay_ms(from, to)),
                ..proxy::ProxyRule::default()
            })
            .collect()
    }

    fn gateway_ips(
        &self,
        domain: FailureDomainId,
        address: impl Fn(&GatewayLayout) -> net::SocketAddr,
    ) -> Vec<net::IpAddr> {
        let in_domain = self
            .gateways
            .iter()
            .filter(|gateway| gateway.domain == domain);
        in_domain.map(|gateway| address(gateway).ip()).collect()
    }

    fn advertised_ips(&self, domain: FailureDomainId) -> Vec<net::IpAddr> {
        let mut ips = self.gateway_ips(domain, |gateway| gateway.peer_advertised);
        let in_domain = self.servers.iter().filter(|server| server.domain == domain);
        ips.extend(in_domain.map(|server| server.advertised_address.ip()));
        ips
    }

    /// Returns the settings of a gateway; its seeds are the first six other gateways.
    pub(crate) fn gateway_settings(&self, index: usize, policy: Option<&str>) -> serde_json::Value {
        let gateway = &self.gateways[index];
        let others = self.gateways.iter().filter(|other| other.vm != gateway.vm);
        let seeds: Vec<_> = others.map(|seed| seed.peer_advertised).take(6).collect();
        let mut settings = serde_json::json!({
            "vm": gateway.vm,
            "name": gateway.name,
            "failure_domain": gateway.domain,
            "listen": gateway.listen,
            "peer_listen": gateway.peer_listen,
            "peer_advertised": gateway.peer_advertised,
            "peer_source": gateway.peer_listen.ip(),
            "status_listen": gateway.status_address,
            "platform": [self.platform],
            "seeds": seeds,
            "caller_header": "x-caller",
        });
        if let Some(policy) = policy {
            settings["policy"] = policy.into();
        }
        settings
    }
}

impl GatewayLayout {
    fn vm_entry(&self) -> VmEntry {
        let peer = Some(self.peer_advertised);
        let role = VmRole::Gateway;
        live_entry(role, self.vm, &self.name, self.domain, peer, None)
    }
}

impl ServerLayout {
    fn vm_entry(&self) -> VmEntry {
        let (vm, name) = (self.settings.vm, &self.settings.name);
        let role = VmRole::Backend;
        live_entry(
            role,
            vm,
            name,
            self.domain,
            None,
            Some(self.advertised_address),
        )
    }
}

fn live_entry(
    role: VmRole,
    vm: VmId,
    name: &str,
    failure_domain: FailureDomainId,
    peer: Option<net::SocketAddr>,
    address: Option<net::SocketAddr>,
) -> VmEntry {
    VmEntry {
        vm,
        name: name.to_owned(),
        role,
        failure_domain,
        peer,
        address,
        state: VmState::Live,
    }
}

fn gateway_layout(config: &FleetConfig, base_port: u16, number: u8) -> GatewayLayout {
    let ip = [127, 1, 0, number];
    let peer_listen = address(ip, base_port + 1);
    GatewayLayout {
        vm: VmId(u32::from(number)),
        name: format!("gw-{number:02}"),
        domain: failure_domain_of(config, number),
        listen: address(ip, base_port),
        status_address: address(ip, base_port + 2),
        peer_listen,
        peer_advertised: advertised_address(config, peer_listen),
    }
}

fn server_layout(
    config: &FleetConfig,
    base_port: u16,
    number: u8,
    pool: &PoolConfig,
    index: u8,
) -> ServerLayout {
    let listen = address([127, 1, 1, number], base_port);
    let vm = VmId(FIRST_BACKEND_VM_ID + u32::from(number - 1));
    let settings = backend::BackendServer {
        vm,
        name: format!("{}-{index:02}", pool.name),
        address: listen,
        limits: pool.limits,
    };
    ServerLayout {
        settings,
        pool: pool.name.clone(),
        domain: failure_domain_of(config, index),
        advertised_address: advertised_address(config, listen),
        process_index: 0,
    }
}

/// Returns the address in the VM list for a listening address.
///
/// With a fault proxy it is the proxy's address: 127.2 in place of 127.1.
fn advertised_address(config: &FleetConfig, listen: net::SocketAddr) -> net::SocketAddr {
    match listen.ip() {
        net::IpAddr::V4(ip) if config.fault_proxy => {
            let [first, _, third, fourth] = ip.octets();
            address([first, 2, third, fourth], listen.port())
        }
        _ => listen,
    }
}

fn failure_domain_of(config: &FleetConfig, number: u8) -> FailureDomainId {
    FailureDomainId(1 + u16::from(number - 1) % config.domains.max(1))
}

fn address(ip: [u8; 4], port: u16) -> net::SocketAddr {
    net::SocketAddr::from((ip, port))
}
