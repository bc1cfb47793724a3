//! Functions shared by the integration tests: stand-in processes and requests to them.

#![allow(dead_code, reason = "each test file uses some of the functions")]

use std::fs;
use std::net;
use std::process;
use std::sync::atomic;
use std::time;

use toucanledge_bench::{CallerClient, CallerFailure, CallerRequest, CallerResponse};

static NEXT_PORT: atomic::AtomicU16 = atomic::AtomicU16::new(20_000);

/// Stand-in process, which is killed on drop.
pub struct TestProcess(process::Child);

impl Drop for TestProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Returns an unused address.
///
/// The IP address is derived from the process id, so test processes that run in parallel differ.
pub fn free_address() -> net::SocketAddr {
    let [high, low] = [process::id() / 250 % 250, process::id() % 250];
    let ip = format!("127.9.{high}.{}", low + 1);
    let port = NEXT_PORT.fetch_add(1, atomic::Ordering::Relaxed);
    net::SocketAddr::new(ip.parse().expect("the IP address is valid"), port)
}

/// Starts a stand-in and waits until its control endpoint responds.
pub async fn start(binary: &str, arguments: &[String], control: net::SocketAddr) -> TestProcess {
    let child = process::Command::new(binary)
        .args(arguments)
        .stderr(process::Stdio::null())
        .spawn()
        .expect("the stand-in starts");
    let process = TestProcess(child);
    for _ in 0..400 {
        if get(control, "/control").await.is_ok() {
            return process;
        }
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
    panic!("{binary} does not respond on {control}");
}

/// Starts a stand-in with a settings file.
pub async fn start_with_settings(
    binary: &str,
    settings: &str,
    control: net::SocketAddr,
) -> TestProcess {
    let name = format!("toucanledge-test-{}-{}.json", process::id(), control.port());
    let file = std::env::temp_dir().join(name);
    fs::write(&file, settings).expect("the settings file is written");
    let arguments = ["--settings".to_owned(), file.display().to_string()];
    let process = start(binary, &arguments, control).await;
    fs::remove_file(file).expect("the settings file is removed");
    process
}

pub async fn send(
    address: net::SocketAddr,
    request: &CallerRequest,
) -> Result<CallerResponse, CallerFailure> {
    let timeout = time::Duration::from_secs(5);
    CallerClient::default()
        .send(address, request, timeout)
        .await
}

pub async fn get(address: net::SocketAddr, path: &str) -> Result<CallerResponse, CallerFailure> {
    send(address, &CallerRequest::new(hyper::Method::GET, path)).await
}

pub async fn put(address: net::SocketAddr, path: &str, body: &serde_json::Value) -> CallerResponse {
    send_json(hyper::Method::PUT, address, path, body).await
}

pub async fn post(
    address: net::SocketAddr,
    path: &str,
    body: &serde_json::Value,
) -> CallerResponse {
    send_json(hyper::Method::POST, address, path, body).await
}

async fn send_json(
    method: hyper::Method,
    address: net::SocketAddr,
    path: &str,
    body: &serde_json::Value,
) -> CallerResponse {
    let request = CallerRequest::new(method, path).json(body);
    send(address, &request)
        .await
        .expect("the stand-in responds")
}
