//! Processes of the gateway, started as the deploy file says.

use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Caller;
use crate::client::Ending;

/// Program of the role in the deploy file.
const PROGRAM: &str = "target/release/toucanledge-entry";
/// Time in which a gateway must become ready.
const READY_TIME: Duration = Duration::from_secs(10);

pub const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// Ports of all gateways of a case, and the loopback network of its addresses.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    second: u8,
    third: u8,
    pub front_port: u16,
    pub ready_port: u16,
    pub control_port: u16,
    pub peer_port: u16,
}

impl Network {
    /// Picks addresses by the id of this process, and free ports.
    pub fn pick() -> io::Result<Self> {
        let process = std::process::id();
        let mut network = Self {
            second: u8::try_from(64 + process % 128).unwrap(),
            third: u8::try_from(process / 128 % 250).unwrap(),
            front_port: 0,
            ready_port: 0,
            control_port: 0,
            peer_port: 0,
        };
        let ip = network.ip(1);
        let listeners = [
            TcpListener::bind((ip, 0))?,
            TcpListener::bind((ip, 0))?,
            TcpListener::bind((ip, 0))?,
        ];
        let socket = UdpSocket::bind((ip, 0))?;
        network.front_port = listeners[0].local_addr()?.port();
        network.ready_port = listeners[1].local_addr()?.port();
        network.control_port = listeners[2].local_addr()?.port();
        network.peer_port = socket.local_addr()?.port();
        Ok(network)
    }

    /// Returns an address of this case.
    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second, self.third, host)
    }

    /// Returns an address of this case with a port that the system picks.
    pub fn any_port(&self, host: u8) -> SocketAddr {
        (self.ip(host), 0).into()
    }
}

/// Settings of a gateway.
#[derive(Clone)]
pub struct GatewayPlan {
    pub network: Network,
    pub host: u8,
    pub zone: String,
    /// Hosts whose gateways are its seeds.
    pub seeds: Vec<u8>,
    pub store: SocketAddr,
    pub folder: PathBuf,
}

/// A gateway process; it is killed when this is dropped.
pub struct Gateway {
    pub plan: GatewayPlan,
    child: Child,
}

impl Gateway {
    /// Starts a gateway.
    pub fn start(plan: GatewayPlan) -> io::Result<Self> {
        let GatewayPlan {
            network,
            host,
            zone,
            seeds,
            store,
            folder,
        } = &plan;
        let ip = network.ip(*host);
        let seeds: Vec<String> = seeds
            .iter()
            .map(|seed| format!("\"{}:{}\"", network.ip(*seed), network.control_port))
            .collect();
        let settings = format!(
            r#"{{
  "name": "front-{zone}-{host}", "failure_domain": "{zone}",
  "listen": "{ip}:{}", "ready_listen": "{ip}:{}", "status_listen": "{ip}:{}",
  "peer_port": {}, "seeds": [{}], "platform": "{store}",
  "retry_ratio": 0.2, "retry_slack": 62, "floor_share": 0.7, "log": "info"
}}"#,
            network.front_port,
            network.ready_port,
            network.control_port,
            network.peer_port,
            seeds.join(", ")
        );
        let file = folder.join(format!("settings-{host}.jsonc"));
        fs::write(&file, settings)?;
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(folder.join(format!("gateway-{host}.log")))?;
        let child = Command::new(PROGRAM)
            .env("TOUCANLEDGE_NODE_FILE", &file)
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self { plan, child })
    }

    /// Returns the address for clients.
    pub fn front(&self) -> SocketAddr {
        let network = &self.plan.network;
        (network.ip(self.plan.host), network.front_port).into()
    }

    /// Returns whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        let network = &self.plan.network;
        let address = (network.ip(self.plan.host), network.ready_port).into();
        let Ok(mut platform) = Caller::connect(address) else {
            return false;
        };
        let ending = platform.request("GET", "/ready", "-", 500, None);
        matches!(ending, Ending::Answer(answer) if answer.status() == 200)
    }

    /// Waits until it is ready.
    pub fn wait_ready(&self) -> io::Result<()> {
        let end = Instant::now() + READY_TIME;
        while Instant::now() < end {
            if self.is_ready() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(io::Error::other("a gateway is not ready"))
    }

    /// Sends a signal.
    pub fn signal(&self, signal: i32) {
        let process = i32::try_from(self.child.id()).unwrap();
        // SAFETY: `kill` takes plain numbers, and the process is a child that was not waited for.
        unsafe { kill(process, signal) };
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Returns the resident memory in bytes.
    pub fn resident_bytes(&self) -> Option<usize> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kib: usize = line.trim().trim_end_matches("kB").trim().parse().ok()?;
        Some(kib * 1024)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}
