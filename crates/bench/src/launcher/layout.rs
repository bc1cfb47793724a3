//! Addresses, identifiers and settings of a fleet on loopback.

use std::collections;
use std::net;
use std::path;

use toucanledge_core::{DomainId, VmEntry, VmId, VmRole, VmState};

use crate::backend;
use crate::proxy;

/// VM id of the first backend server; gateways have smaller ones.
const FIRST_BACKEND_VM: u32 = 1001;

/// What fleet to start.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Number of gateways, up to 250.
    pub gateways: u8,
    /// Number of failure domains over which gateways and servers are spread in turn.
    pub domains: u16,
    /// Pools of backend servers; up to 250 servers in all.
    pub pools: Vec<PoolConfig>,
    /// Rows for classes of work; rows for the servers are added.
    pub class_rows: Vec<serde_json::Value>,
    /// Whether links between gateways and to backend servers go through the fault proxy.
    pub fault_proxy: bool,
    /// Number of processes that share the backend servers.
    pub backend_processes: usize,
    /// Value of the gateway setting `policy`; left out when there is none.
    pub policy: Option<String>,
    /// Gateway binary; when there is none, it is looked up like the stand-ins.
    pub gateway_binary: Option<path::PathBuf>,
    /// Seed of the service times.
    pub seed: u64,
}

/// Pool of backend servers.
#[derive(Clone, Debug)]
pub struct PoolConfig {
    /// Name of the pool; server names are the name, a hyphen and two digits.
    pub name: String,
    /// Number of backend servers.
    pub servers: u8,
    /// Limits and costs of each server.
    pub limits: backend::ServerLimits,
}

/// Addresses of a fleet.
#[derive(Clone, Debug)]
pub struct FleetLayout {
    /// Platform protocol.
    pub platform: net::SocketAddr,
    /// Operator side of the platform.
    pub platform_control: net::SocketAddr,
    /// Control side of the fault proxy.
    pub proxy_control: net::SocketAddr,
    /// Control sides of the backend processes.
    pub backend_controls: Vec<net::SocketAddr>,
    /// Gateways by index, from 0.
    pub gateways: Vec<GatewayLayout>,
    /// Backend servers by index, from 0.
    pub servers: Vec<ServerLayout>,
}

/// Where a gateway runs.
#[derive(Clone, Debug)]
pub struct GatewayLayout {
    /// VM id; a replacement has a new one.
    pub vm: VmId,
    /// Name, which a replacement keeps.
    pub name: String,
    /// Failure domain.
    pub domain: DomainId,
    /// Address for callers.
    pub listen: net::SocketAddr,
    /// Address of the status page.
    pub status_address: net::SocketAddr,
    /// Address on which peers reach it in truth.
    pub peer_listen: net::SocketAddr,
    /// Address in the VM list: that of the fault proxy, or the true one.
    pub peer_advertised: net::SocketAddr,
}

/// Where a backend server runs.
#[derive(Clone, Debug)]
pub struct ServerLayout {
    /// Settings for the stand-in, with the true address.
    pub settings: backend::BackendServer,
    /// Pool of the server.
    pub pool: String,
    /// Failure domain.
    pub domain: DomainId,
    /// Address in the VM list: that of the fault proxy, or the true one.
    pub advertised_address: net::SocketAddr,
    /// Index of the backend process that serves it.
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
    /// Returns a pool of servers with the default limits.
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
    /// Returns the layout of a config; all ports follow the base port.
    ///
    /// ```
    /// use toucanledge_bench::{FleetLayout, FleetConfig};
    /// let config = FleetConfig { fault_proxy: true, ..FleetConfig::default() };
    /// let layout = FleetLayout::new(&config, 20_000);
    /// assert_eq!(layout.gateways[5].peer_listen.ip().to_string(), "127.1.0.6");
    /// assert_eq!(layout.gateways[5].peer_advertised.ip().to_string(), "127.2.0.6");
    /// ```
    #[must_use]
    pub fn new(config: &FleetConfig, base: u16) -> Self {
        let local = |offset: u16| address([127, 0, 0, 1], base + offset);
        let processes = u16::try_from(config.backend_processes).unwrap_or(1).max(1);
        let gateways = (1..=config.gateways).map(|number| gateway_place(config, base, number));
        let pools = config.pools.iter();
        let pooled = pools.flat_map(|pool| (1..=pool.servers).map(move |index| (pool, index)));
        let servers = (1u8..).zip(pooled).map(|(number, (pool, index))| {
            let mut place = server_place(config, base, number, pool, index);
            place.process_index = usize::from(number - 1) % usize::from(processes);
            place
        });
        Self {
            platform: local(1),
            platform_control: local(2),
            proxy_control: local(3),
            backend_controls: (0..processes).map(|index| local(4 + index)).collect(),
            gateways: gateways.collect(),
            servers: servers.collect(),
        }
    }

    /// Returns the entries of the VM list, all live.
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

    /// Returns the settings of the backend process with this index.
    #[must_use]
    pub fn backend_settings(&self, process: usize, seed: u64) -> backend::BackendSettings {
        let servers = self.servers.iter();
        let own = servers.filter(|server| server.process_index == process);
        backend::BackendSettings {
            control: self.backend_controls[process],
            seed,
            servers: own.map(|server| server.settings.clone()).collect(),
        }
    }

    /// Returns the settings of the fault proxy.
    #[must_use]
    pub fn proxy_settings(&self) -> proxy::ProxySettings {
        let link = |(listen, target)| proxy::ProxyLink { listen, target };
        let gateways = self.gateways.iter();
        let gateways = gateways.map(|place| (place.peer_advertised, place.peer_listen));
        let servers = self.servers.iter();
        let servers = servers.map(|place| (place.advertised_address, place.settings.address));
        proxy::ProxySettings {
            control: self.proxy_control,
            links: gateways.chain(servers).map(link).collect(),
        }
    }

    /// Returns rules for the delay in ms from gateways of one failure domain to gateways and
    /// servers of another, the same in both directions.
    #[must_use]
    pub fn latency_rules(
        &self,
        delay_ms: impl Fn(DomainId, DomainId) -> f64,
    ) -> Vec<proxy::ProxyRule> {
        let domains: collections::BTreeSet<DomainId> =
            self.gateways.iter().map(|place| place.domain).collect();
        let pairs = domains
            .iter()
            .flat_map(|from| domains.iter().map(move |to| (*from, *to)));
        pairs
            .map(|(from, to)| proxy::ProxyRule {
                sources: self.gateway_ips(from, |place| place.peer_listen),
                targets: self.advertised_ips(to),
                delay_ms: Some(delay_ms(from, to)),
                ..proxy::ProxyRule::default()
            })
            .collect()
    }

    fn gateway_ips(
        &self,
        domain: DomainId,
        address: impl Fn(&GatewayLayout) -> net::SocketAddr,
    ) -> Vec<net::IpAddr> {
        let own = self.gateways.iter().filter(|place| place.domain == domain);
        own.map(|place| address(place).ip()).collect()
    }

    fn advertised_ips(&self, domain: DomainId) -> Vec<net::IpAddr> {
        let mut ips = self.gateway_ips(domain, |place| place.peer_advertised);
        let own = self.servers.iter().filter(|place| place.domain == domain);
        ips.extend(own.map(|place| place.advertised_address.ip()));
        ips
    }

    /// Returns the settings file of a gateway; its seeds are the first six other gateways.
    pub(crate) fn gateway_settings(&self, index: usize, policy: Option<&str>) -> serde_json::Value {
        let place = &self.gateways[index];
        let others = self.gateways.iter().filter(|other| other.vm != place.vm);
        let seeds: Vec<_> = others.map(|seed| seed.peer_advertised).take(6).collect();
        let mut settings = serde_json::json!({
            "vm": place.vm,
            "name": place.name,
            "failure_domain": place.domain,
            "listen": place.listen,
            "peer_listen": place.peer_listen,
            "peer_advertised": place.peer_advertised,
            "peer_source": place.peer_listen.ip(),
            "status_listen": place.status_address,
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
    failure_domain: DomainId,
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

fn gateway_place(config: &FleetConfig, base: u16, number: u8) -> GatewayLayout {
    let ip = [127, 1, 0, number];
    let peer_listen = address(ip, base + 1);
    GatewayLayout {
        vm: VmId(u32::from(number)),
        name: format!("gw-{number:02}"),
        domain: domain_of(config, number),
        listen: address(ip, base),
        status_address: address(ip, base + 2),
        peer_listen,
        peer_advertised: advertised(config, peer_listen),
    }
}

fn server_place(
    config: &FleetConfig,
    base: u16,
    number: u8,
    pool: &PoolConfig,
    index: u8,
) -> ServerLayout {
    let listen = address([127, 1, 1, number], base);
    let vm = VmId(FIRST_BACKEND_VM + u32::from(number - 1));
    let settings = backend::BackendServer {
        vm,
        name: format!("{}-{index:02}", pool.name),
        address: listen,
        limits: pool.limits,
    };
    ServerLayout {
        settings,
        pool: pool.name.clone(),
        domain: domain_of(config, index),
        advertised_address: advertised(config, listen),
        process_index: 0,
    }
}

/// Returns the address of the fault proxy for a true address: 127.2 in place of 127.1.
fn advertised(config: &FleetConfig, real: net::SocketAddr) -> net::SocketAddr {
    match real.ip() {
        net::IpAddr::V4(ip) if config.fault_proxy => {
            let [first, _, third, fourth] = ip.octets();
            address([first, 2, third, fourth], real.port())
        }
        _ => real,
    }
}

fn domain_of(config: &FleetConfig, number: u8) -> DomainId {
    DomainId(1 + u16::from(number - 1) % config.domains.max(1))
}

fn address(ip: [u8; 4], port: u16) -> net::SocketAddr {
    net::SocketAddr::from((ip, port))
}
