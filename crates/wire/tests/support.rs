//! Test gateways, a test message, waiting and counters.

use std::net;
use std::sync;
use std::time;

use tokio::sync::mpsc;
use toucanledge_core::{Incarnation, TableRevision, VmId};
use toucanledge_wire::{LinkSettings, PeerLinks, PeerMessage};

pub type Inbound = mpsc::Receiver<(VmId, PeerMessage)>;

/// Gateway that listens on loopback.
pub struct TestGateway {
    pub vm: VmId,
    pub address: net::SocketAddr,
    pub links: PeerLinks,
    pub inbound: Inbound,
}

pub async fn gateway(vm: u32, settings: LinkSettings) -> TestGateway {
    gateway_with_incarnation(vm, 1, settings).await
}

pub async fn gateway_with_incarnation(
    vm: u32,
    incarnation: u64,
    settings: LinkSettings,
) -> TestGateway {
    let (sender, inbound) = mpsc::channel(4_096);
    let incarnation = Incarnation(incarnation);
    let links = PeerLinks::with_settings(VmId(vm), incarnation, None, sender, settings);
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    links.listen(listener);
    TestGateway {
        vm: VmId(vm),
        address,
        links,
        inbound,
    }
}

impl TestGateway {
    pub async fn receive(&mut self) -> (VmId, PeerMessage) {
        tokio::time::timeout(time::Duration::from_secs(10), self.inbound.recv())
            .await
            .expect("no message within 10 s")
            .expect("inbound channel closed")
    }
}

/// Returns a message that is told apart by its number.
pub fn message(number: u64) -> PeerMessage {
    PeerMessage::TableRequest {
        known_revision: TableRevision(number),
    }
}

/// Waits until a condition holds, for at most 10 s.
pub async fn wait_until(mut condition: impl FnMut() -> bool) {
    let start = time::Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < time::Duration::from_secs(10),
            "condition not met within 10 s"
        );
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
}

/// Returns the value of a counter with one label.
pub fn counter(name: &str, label: &str, value: &str) -> u64 {
    let line = format!("{name}{{{label}=\"{value}\"}} ");
    recorder()
        .render()
        .lines()
        .find_map(|text| text.strip_prefix(&line).map(str::to_owned))
        .map_or(0, |number| number.parse().unwrap())
}

/// Returns the recorder of the process; the first call installs it.
pub fn recorder() -> &'static metrics_exporter_prometheus::PrometheusHandle {
    static RECORDER: sync::OnceLock<metrics_exporter_prometheus::PrometheusHandle> =
        sync::OnceLock::new();
    RECORDER.get_or_init(|| {
        metrics_exporter_prometheus::PrometheusBuilder::new()
            .install_recorder()
            .unwrap()
    })
}
