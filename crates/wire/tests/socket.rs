//! UDP socket for heartbeats.

use std::net;
use std::time;

use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner;
use toucanledge_core::VmId;
use toucanledge_membership::Heartbeat;
use toucanledge_wire::HeartbeatSocket;

use crate::strategies;
use crate::support;

const FAULTS: &str = "toucanledge_datagram_faults_total";

fn heartbeat() -> Heartbeat {
    let mut runner = test_runner::TestRunner::deterministic();
    strategies::heartbeat()
        .new_tree(&mut runner)
        .unwrap()
        .current()
}

async fn socket(source: Option<net::IpAddr>) -> HeartbeatSocket {
    let address = net::SocketAddr::from(([127, 0, 0, 1], 0));
    HeartbeatSocket::bind(address, source).await.unwrap()
}

/// Guards against invalid datagrams that stop the receiver or are returned by it.
#[tokio::test]
async fn refused_datagrams_are_counted_and_skipped() {
    support::recorder();
    let bad_before = support::counter(FAULTS, "reason", "bad-datagram");
    let large_before = support::counter(FAULTS, "reason", "too-large");
    let receiver = socket(None).await;
    let address = receiver.local_address().unwrap();
    let raw = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
    raw.send_to(b"not a heartbeat", address).await.unwrap();
    raw.send_to(&[], address).await.unwrap();
    raw.send_to(&[0; 1_201], address).await.unwrap();
    raw.send_to(&[0; 9_000], address).await.unwrap();
    let sender = socket(None).await;
    sender.send_to(&heartbeat(), address).await.unwrap();
    let first = tokio::time::timeout(time::Duration::from_secs(5), receiver.recv())
        .await
        .unwrap()
        .unwrap();
    assert_eq!(first, (heartbeat(), sender.local_address().unwrap()));
    assert_eq!(
        support::counter(FAULTS, "reason", "bad-datagram"),
        bad_before + 2
    );
    assert_eq!(
        support::counter(FAULTS, "reason", "too-large"),
        large_before + 2
    );
}

/// Guards against a heartbeat that is sent although its receiver would refuse it.
#[tokio::test]
async fn a_heartbeat_beyond_its_limits_is_not_sent() {
    let sender = socket(None).await;
    let mut heartbeat = heartbeat();
    heartbeat.unreachable = vec![VmId(1); 9];
    let address = sender.local_address().unwrap();
    assert!(sender.send_to(&heartbeat, address).await.is_err());
}

/// Guards against heartbeats from another address, to which the rules of a network or of a fault
/// test do not apply.
#[tokio::test]
async fn heartbeats_are_sent_from_the_source_address() {
    let source = net::IpAddr::from([127, 9, 8, 7]);
    let unspecified = net::SocketAddr::from(([0, 0, 0, 0], 0));
    let sender = HeartbeatSocket::bind(unspecified, Some(source))
        .await
        .unwrap();
    let receiver = socket(None).await;
    let address = receiver.local_address().unwrap();
    sender.send_to(&heartbeat(), address).await.unwrap();
    let (_, peer) = receiver.recv().await.unwrap();
    assert_eq!(peer.ip(), source);
}
