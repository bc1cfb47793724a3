//! Starts one gateway process with a platform stand-in and a scripted backend server.

use std::fs;
use std::io::{Read, Write};
use std::net;
use std::path;
use std::process;
use std::sync::atomic;
use std::thread;
use std::time;

use serde_json::json;
use toucanledge_bench::{CallerClient, CallerRequest};

/// Timeout of everything that a test waits for.
pub const TIMEOUT: time::Duration = time::Duration::from_secs(10);

static NEXT_ADDRESS: atomic::AtomicU8 = atomic::AtomicU8::new(1);

/// Loopback addresses of one test, which no other test of this process uses.
#[derive(Clone, Copy)]
pub struct TestAddresses {
    ip: net::Ipv4Addr,
}

impl TestAddresses {
    pub fn new() -> Self {
        let index = NEXT_ADDRESS.fetch_add(1, atomic::Ordering::Relaxed);
        let process = u8::try_from(process::id() % 250).unwrap_or(0);
        Self {
            ip: net::Ipv4Addr::new(127, 8, process, index),
        }
    }

    pub fn port(self, port: u16) -> net::SocketAddr {
        net::SocketAddr::new(self.ip.into(), port)
    }

    pub fn caller(self) -> net::SocketAddr {
        self.port(8080)
    }

    pub fn peer(self) -> net::SocketAddr {
        self.port(7000)
    }

    pub fn status(self) -> net::SocketAddr {
        self.port(9000)
    }

    pub fn platform(self) -> net::SocketAddr {
        self.port(8500)
    }

    fn platform_control(self) -> net::SocketAddr {
        self.port(8501)
    }
}

/// A gateway process, which is killed when it is dropped.
pub struct TestGateway {
    pub addresses: TestAddresses,
    child: process::Child,
    directory: path::PathBuf,
}

impl Drop for TestGateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.directory);
    }
}

impl TestGateway {
    /// Starts a gateway with one scripted backend server and waits until it is ready.
    pub async fn start(respond: fn(&str) -> Vec<u8>) -> Self {
        let addresses = TestAddresses::new();
        serve_scripted_backend(addresses.port(8000), respond);
        tokio::spawn(toucanledge_bench::serve_platform(
            addresses.platform(),
            addresses.platform_control(),
        ));
        publish_vm_list_and_table(addresses).await;
        let directory = std::env::temp_dir().join(format!("toucanledge-test-{}", addresses.ip));
        fs::create_dir_all(&directory).expect("the directory can be created");
        let file = directory.join("gateway.jsonc");
        fs::write(&file, gateway_settings(addresses).to_string())
            .expect("the settings can be written");
        let log = fs::File::create(directory.join("log")).expect("the log can be written");
        let child = process::Command::new(env!("CARGO_BIN_EXE_toucanledge-gateway"))
            .arg("--settings")
            .arg(&file)
            .stdout(process::Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the gateway starts");
        let gateway = Self {
            addresses,
            child,
            directory,
        };
        gateway.wait_ready().await;
        gateway
    }

    /// Returns the log of the gateway.
    pub fn log(&self) -> String {
        fs::read_to_string(self.directory.join("log")).expect("the log can be read")
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: rustix::process::Signal) {
        let process = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(process, signal).expect("the process runs");
    }

    async fn wait_ready(&self) {
        let request = CallerRequest::new(hyper::Method::GET, "/ready");
        let deadline = time::Instant::now() + TIMEOUT;
        while time::Instant::now() < deadline {
            let response = CallerClient::default()
                .send(self.addresses.status(), &request, TIMEOUT)
                .await;
            if response.is_ok_and(|response| response.status == 200) {
                return;
            }
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        panic!("the gateway is not ready within {TIMEOUT:?}");
    }

    /// Returns the metrics page in the Prometheus text format.
    pub async fn metrics(&self) -> String {
        let request = CallerRequest::new(hyper::Method::GET, "/metrics");
        let response = CallerClient::default()
            .send(self.addresses.status(), &request, TIMEOUT)
            .await
            .expect("a response with the metrics");
        response.text()
    }

    /// Returns the value of the first metric whose line starts with `prefix`, or else 0.
    pub async fn counter(&self, prefix: &str) -> u64 {
        let text = self.metrics().await;
        let line = text.lines().find(|line| line.starts_with(prefix));
        line.and_then(|line| line.rsplit(' ').next())
            .and_then(|value| value.parse().ok())
            .unwrap_or(0)
    }

    /// Returns whether the liveness check of the gateway succeeds.
    pub async fn is_live(&self) -> bool {
        let request = CallerRequest::new(hyper::Method::GET, "/live");
        let response = CallerClient::default()
            .send(self.addresses.status(), &request, TIMEOUT)
            .await;
        response.is_ok_and(|response| response.status == 200)
    }
}

/// Sends bytes to a port and returns what is received until the connection closes or is idle for
/// 2 s.
pub fn send_bytes(address: net::SocketAddr, sent: &[u8]) -> String {
    let mut stream = net::TcpStream::connect(address).expect("the gateway accepts");
    stream
        .set_read_timeout(Some(time::Duration::from_secs(2)))
        .expect("the timeout can be set");
    // The gateway may close the connection before it has read everything.
    let _ = stream.write_all(sent);
    let mut received = Vec::new();
    let mut buffer = [0; 4096];
    while let Ok(size) = stream.read(&mut buffer) {
        if size == 0 {
            break;
        }
        received.extend_from_slice(&buffer[..size]);
    }
    String::from_utf8_lossy(&received).into_owned()
}

fn gateway_settings(addresses: TestAddresses) -> serde_json::Value {
    json!({
        "vm": 1, "name": "gw-01", "failure_domain": 1,
        "listen": addresses.caller(), "peer_listen": addresses.peer(),
        "status_listen": addresses.status(),
        "platform": [addresses.platform()], "max_body_bytes": 65536,
    })
}

async fn publish_vm_list_and_table(addresses: TestAddresses) {
    let list = json!({"vms": [
        {"vm": 1, "name": "gw-01", "role": "gateway", "failure_domain": 1, "peer": addresses.peer(),
         "state": "live"},
        {"vm": 1001, "name": "reading-01", "role": "backend", "failure_domain": 1,
         "address": addresses.port(8000), "state": "live"},
    ]});
    let table = json!({"based_on": 0, "editor": "test", "rows": [
        {"backend": "reading-01", "pool": "reading"},
        {"class": "read", "path": "/", "pool": "reading", "repeat": "repeatable",
         "deadline_ms": 1000, "retry_percent": 0},
    ]});
    put_to_platform(addresses, "/v1/vms", &list).await;
    put_to_platform(addresses, "/v1/value/table/head", &table).await;
}

/// Sends a PUT request to the control address of the platform stand-in until it succeeds.
pub async fn put_to_platform(addresses: TestAddresses, path: &str, body: &serde_json::Value) {
    let request = CallerRequest::new(hyper::Method::PUT, path).json(body);
    let deadline = time::Instant::now() + TIMEOUT;
    while time::Instant::now() < deadline {
        let response = CallerClient::default()
            .send(addresses.platform_control(), &request, TIMEOUT)
            .await;
        if response.is_ok_and(|response| response.status < 300) {
            return;
        }
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    panic!("the platform stand-in does not accept {path} within {TIMEOUT:?}");
}

/// Serves connections with the response that `respond` returns for each request head.
fn serve_scripted_backend(address: net::SocketAddr, respond: fn(&str) -> Vec<u8>) {
    let listener = net::TcpListener::bind(address).expect("the backend address is free");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || respond_to_requests(stream, respond));
        }
    });
}

/// Responds to requests on a connection; an empty response closes it.
fn respond_to_requests(mut stream: net::TcpStream, respond: fn(&str) -> Vec<u8>) {
    let mut received = Vec::new();
    let mut buffer = [0; 4096];
    while let Ok(size) = stream.read(&mut buffer) {
        if size == 0 {
            return;
        }
        received.extend_from_slice(&buffer[..size]);
        let text = String::from_utf8_lossy(&received).into_owned();
        let Some(end) = text.find("\r\n\r\n") else {
            continue;
        };
        received.clear();
        let response = respond(&text[..end]);
        if stream.write_all(&response).is_err() || response.is_empty() {
            return;
        }
    }
}

/// Returns the value of a header field of a request head.
pub fn header_value<'a>(head: &'a str, name: &str) -> &'a str {
    head.lines()
        .filter_map(|line| line.split_once(": "))
        .find(|(found, _)| found.eq_ignore_ascii_case(name))
        .map_or("", |(_, value)| value)
}

/// Returns a response with the identifier of the request and a short body.
pub fn good_response(head: &str) -> Vec<u8> {
    let id = header_value(head, "backend-request-id");
    format!("HTTP/1.1 200 OK\r\nbackend-request-id: {id}\r\ncontent-length: 5\r\n\r\nwhole")
        .into_bytes()
}
