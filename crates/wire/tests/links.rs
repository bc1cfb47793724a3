//! Links between gateways that work as intended.

use std::net;
use std::time;

use tokio::sync::mpsc;
use toucanledge_core::{Incarnation, VmId};
use toucanledge_wire::{
    LinkConnector, LinkListener, LinkSettings, PeerIdentity, PeerLinks, SendOutcome,
};

use crate::support;

fn settings() -> LinkSettings {
    LinkSettings::default()
}

/// Guards against messages that are lost or reordered while the link is being opened.
#[tokio::test]
async fn messages_arrive_in_order_over_a_link_opened_on_demand() {
    let first = support::gateway(1, settings()).await;
    let mut second = support::gateway(2, settings()).await;
    for number in 0..500 {
        let outcome = first
            .links
            .send(second.vm, second.address, &support::message(number));
        assert!(matches!(
            outcome,
            SendOutcome::Opening | SendOutcome::Queued
        ));
    }
    for number in 0..500 {
        assert_eq!(second.receive().await, (VmId(1), support::message(number)));
    }
}

/// Guards against a gateway that cannot send to itself, for example a lease request for a shard of
/// which it is the dispatcher.
#[tokio::test]
async fn a_message_to_the_gateway_itself_needs_no_link() {
    let mut gateway = support::gateway(1, settings()).await;
    let unused_address = net::SocketAddr::from(([127, 0, 0, 1], 9));
    let outcome = gateway
        .links
        .send(VmId(1), unused_address, &support::message(1));
    assert_eq!(outcome, SendOutcome::Queued);
    assert_eq!(gateway.receive().await, (VmId(1), support::message(1)));
}

/// Guards against a link that stays in use after the links to its peer were closed.
#[tokio::test]
async fn a_closed_link_is_opened_again() {
    let first = support::gateway(1, settings()).await;
    let mut second = support::gateway(2, settings()).await;
    first
        .links
        .send(second.vm, second.address, &support::message(1));
    second.receive().await;
    first.links.close_peer(second.vm);
    let outcome = first
        .links
        .send(second.vm, second.address, &support::message(2));
    assert_eq!(outcome, SendOutcome::Opening);
    assert_eq!(second.receive().await.1, support::message(2));
}

/// Guards against a second connection to a peer that has opened one already, and against messages
/// that cannot be sent to a peer that accepts no connections.
#[tokio::test]
async fn an_accepted_link_is_used_for_sending() {
    let mut first = support::gateway(1, settings()).await;
    let mut second = support::gateway(2, settings()).await;
    first
        .links
        .send(second.vm, second.address, &support::message(1));
    second.receive().await;
    let unused_address = net::SocketAddr::from(([127, 0, 0, 1], 9));
    let outcome = second
        .links
        .send(first.vm, unused_address, &support::message(2));
    assert_eq!(outcome, SendOutcome::Queued);
    assert_eq!(first.receive().await, (VmId(2), support::message(2)));
}

/// Guards against a gateway that does not connect again after its peer restarted, and against
/// messages to the previous process.
#[tokio::test]
async fn a_restarted_peer_is_reached_again() {
    let mut first = support::gateway(1, settings()).await;
    let second = support::gateway_with_incarnation(2, 1, settings()).await;
    second
        .links
        .send(first.vm, first.address, &support::message(1));
    first.receive().await;
    drop(second);
    let mut restarted = support::gateway_with_incarnation(2, 2, settings()).await;
    let (vm, address) = (restarted.vm, restarted.address);
    let links = first.links.clone();
    let sender = tokio::spawn(async move {
        for number in 0..200 {
            links.send(vm, address, &support::message(number));
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
    });
    assert_eq!(restarted.receive().await.0, VmId(1));
    sender.abort();
}

/// Guards against a previous process that replaces the links of the new one.
#[tokio::test]
async fn an_older_incarnation_is_refused() {
    let mut first = support::gateway(1, settings()).await;
    let new = support::gateway_with_incarnation(2, 20, settings()).await;
    let old = support::gateway_with_incarnation(2, 10, settings()).await;
    new.links
        .send(first.vm, first.address, &support::message(1));
    first.receive().await;
    old.links
        .send(first.vm, first.address, &support::message(2));
    new.links
        .send(first.vm, first.address, &support::message(3));
    assert_eq!(first.receive().await.1, support::message(3));
    tokio::time::sleep(time::Duration::from_millis(200)).await;
    assert!(first.inbound.try_recv().is_err());
}

/// Guards against tasks that keep running, with the port or the inbound channel, after the last
/// clone of the links was dropped.
#[tokio::test]
async fn dropping_the_links_ends_all_tasks() {
    let first = support::gateway(1, settings()).await;
    let mut second = support::gateway(2, settings()).await;
    first
        .links
        .send(second.vm, second.address, &support::message(1));
    second.receive().await;
    let support::TestGateway {
        links, mut inbound, ..
    } = first;
    drop(links);
    let closed = tokio::time::timeout(time::Duration::from_secs(5), inbound.recv()).await;
    assert_eq!(closed, Ok(None));
}

/// Guards against a listener that keeps its port after the receiver of its messages was dropped.
#[tokio::test]
async fn dropping_the_receiver_stops_the_listener() {
    let support::TestGateway {
        address,
        links: _links,
        inbound,
        ..
    } = support::gateway(1, settings()).await;
    drop(inbound);
    support::wait_until(|| std::net::TcpStream::connect(address).is_err()).await;
}

/// Guards against links from an address that the network rules of the peer do not expect.
#[tokio::test]
async fn a_link_is_opened_from_the_source_address() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, _inbound) = mpsc::channel(1);
    let source = net::IpAddr::from([127, 9, 8, 7]);
    let links = PeerLinks::new(VmId(1), Incarnation(1), Some(source), sender);
    links.send(VmId(2), address, &support::message(1));
    let (_, peer) = listener.accept().await.unwrap();
    assert_eq!(peer.ip(), source);
}

/// Guards against idle links that are closed by the idle timeout.
#[tokio::test]
async fn pings_keep_an_idle_link_open() {
    let idle = LinkSettings {
        ping_interval: time::Duration::from_millis(50),
        idle_timeout: time::Duration::from_millis(200),
        ..settings()
    };
    let first = support::gateway(1, idle).await;
    let mut second = support::gateway(2, idle).await;
    first
        .links
        .send(second.vm, second.address, &support::message(1));
    second.receive().await;
    tokio::time::sleep(time::Duration::from_millis(800)).await;
    let unused_address = net::SocketAddr::from(([127, 0, 0, 1], 9));
    let outcome = second
        .links
        .send(first.vm, unused_address, &support::message(2));
    assert_eq!(outcome, SendOutcome::Queued);
}

/// Guards against a connector and a listener that report a wrong identity of the other end.
#[tokio::test]
async fn both_ends_receive_the_identity_of_the_peer() {
    let first = PeerIdentity {
        vm: VmId(1),
        incarnation: Incarnation(10),
    };
    let second = PeerIdentity {
        vm: VmId(2),
        incarnation: Incarnation(20),
    };
    let socket = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap();
    let listener = LinkListener::new(second, socket, settings());
    let connector = LinkConnector::new(first, None, settings());
    let accepted = async {
        let (stream, address) = listener.accept().await.unwrap();
        listener.open(stream, address).await.unwrap()
    };
    let (opened, accepted) = tokio::join!(connector.connect(address), accepted);
    assert_eq!(opened.unwrap().peer, second);
    assert_eq!(accepted.peer, first);
}
