//! Malformed and malicious input on the peer port.

use std::net;

use crate::support::{TestGateway, good_response, send_bytes};

/// Guards against a panic or hang of the gateway on datagrams that are not heartbeats.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_datagrams_are_counted() {
    let gateway = TestGateway::start(good_response).await;
    let socket = net::UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    for size in [0, 1, 50, 1_300] {
        let datagram = vec![0xff; size];
        let _ = socket.send_to(&datagram, gateway.addresses.peer());
    }
    let mut counted = 0;
    for _ in 0..50 {
        counted = gateway
            .counter("toucanledge_datagram_faults_total{reason=\"bad-datagram\"}")
            .await
            + gateway
                .counter("toucanledge_datagram_faults_total{reason=\"too-large\"}")
                .await;
        if counted >= 4 {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    assert_eq!(counted, 4);
    assert!(gateway.is_live().await);
}

/// Guards against a peer port that fails on bytes that are not a WebSocket handshake.
#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_handshake_closes_the_connection() {
    let gateway = TestGateway::start(good_response).await;
    let invalid = vec![0x00; 100_000];
    let response = send_bytes(gateway.addresses.peer(), &invalid);
    assert!(
        !response.contains("101 Switching"),
        "handshake accepted: {response}"
    );
    assert!(gateway.is_live().await);
}
