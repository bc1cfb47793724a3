//! Links between well-behaved gateways.

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

/// Guards against messages that are lost or reordered while the link is opened.
#[tokio::test]
async fn messages_arrive_in_order_over_a_lazily_opened_link() {
    let first = support::gateway(1, settings()).await;
    let mut second = support::gateway(2, settings()).await;
    for number in 0..500 {
        let outcome = first
            .links
            .send(second.vm, second.address, &support::ask(number));
        assert!(matches!(
            outcome,
            SendOutcome::Opening | SendOutcome::Queued
        ));
    }
    for number in 0..500 {
        assert_eq!(second.receive().await, (VmId(1), support::ask(number)));
    }
}

/// Guards against a gateway that cannot ask itself, for example for a slot of its own shard.
#[tokio::test]
async fn a_message_to_the_gateway_itself_needs_no_link() {
    let mut gateway = support::gateway(1, settings()).await;
    let nowhere = net::SocketAddr::from(([127, 0, 0, 1], 9));
    let outcome = gateway.links.send(VmId(1), nowhere, &support::ask(1));
    assert_eq!(outcome, SendOutcome::Queued);
    assert_eq!(gateway.receive().await, (VmId(1), support::ask(1)));
}

/// Guards against a link that stays in use after its peer was given up.
#[tokio::test]
async fn a_closed_link_is_opened_anew() {
    let first = support::gateway(1, settings()).await;
    let mut second = support::gateway(2, settings()).await;
    first
        .links
        .send(second.vm, second.address, &support::ask(1));
    second.receive().await;
    first.links.close_peer(second.vm);
    let outcome = first
        .links
        .send(second.vm, second.address, &support::ask(2));
    assert_eq!(outcome, SendOutcome::Opening);
    assert_eq!(second.receive().await.1, support::ask(2));
}

/// Guards against a second connection where the peer has opened one, and against a peer that can
/// be reached in one direction only.
#[tokio::test]
async fn an_accepted_link_is_used_for_answers() {
    let mut first = support::gateway(1, settings()).await;
    let mut second = support::gateway(2, settings()).await;
    first
        .links
        .send(second.vm, second.address, &support::ask(1));
    second.receive().await;
    let nowhere = net::SocketAddr::from(([127, 0, 0, 1], 9));
    let outcome = second.links.send(first.vm, nowhere, &support::ask(2));
    assert_eq!(outcome, SendOutcome::Queued);
    assert_eq!(first.receive().await, (VmId(2), support::ask(2)));
}

/// Guards against a gateway that never connects again after its peer restarted, and against
/// messages to the old process.
#[tokio::test]
async fn a_restarted_peer_is_reached_again() {
    let mut first = support::gateway(1, settings()).await;
    let second = support::incarnation_of(2, 1, settings()).await;
    second.links.send(first.vm, first.address, &support::ask(1));
    first.receive().await;
    drop(second);
    let mut restarted = support::incarnation_of(2, 2, settings()).await;
    let (vm, address) = (restarted.vm, restarted.address);
    let links = first.links.clone();
    let sender = tokio::spawn(async move {
        for number in 0..200 {
            links.send(vm, address, &support::ask(number));
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
    });
    assert_eq!(restarted.receive().await.0, VmId(1));
    sender.abort();
}

/// Guards against an old process that takes over the links of the new one.
#[tokio::test]
async fn an_older_incarnation_is_refused() {
    let mut first = support::gateway(1, settings()).await;
    let new = support::incarnation_of(2, 20, settings()).await;
    let old = support::incarnation_of(2, 10, settings()).await;
    new.links.send(first.vm, first.address, &support::ask(1));
    first.receive().await;
    old.links.send(first.vm, first.address, &support::ask(2));
    new.links.send(first.vm, first.address, &support::ask(3));
    assert_eq!(first.receive().await.1, support::ask(3));
    tokio::time::sleep(time::Duration::from_millis(200)).await;
    assert!(first.inbound.try_recv().is_err());
}

/// Guards against tasks that outlive their gateway and keep its port or its inbound channel.
#[tokio::test]
async fn dropping_the_links_ends_all_tasks() {
    let first = support::gateway(1, settings()).await;
    let mut second = support::gateway(2, settings()).await;
    first
        .links
        .send(second.vm, second.address, &support::ask(1));
    second.receive().await;
    let support::TestGateway {
        links, mut inbound, ..
    } = first;
    drop(links);
    let closed = tokio::time::timeout(time::Duration::from_secs(5), inbound.recv()).await;
    assert_eq!(closed, Ok(None));
}

/// Guards against a listener that keeps its port after the receiver of its messages is gone.
#[tokio::test]
async fn dropping_the_receiver_stops_the_listener() {
    let support::TestGateway {
        address,
        links: _links,
        inbound,
        ..
    } = support::gateway(1, settings()).await;
    drop(inbound);
    support::until(|| std::net::TcpStream::connect(address).is_err()).await;
}

/// Guards against links that leave from an address that the peer's network rules do not expect.
#[tokio::test]
async fn a_link_leaves_from_the_source_address() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, _inbound) = mpsc::channel(1);
    let source = net::IpAddr::from([127, 9, 8, 7]);
    let links = PeerLinks::new(VmId(1), Incarnation(1), Some(source), sender);
    links.send(VmId(2), address, &support::ask(1));
    let (_, peer) = listener.accept().await.unwrap();
    assert_eq!(peer.ip(), source);
}

/// Guards against idle links that are taken for dead ones.
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
        .send(second.vm, second.address, &support::ask(1));
    second.receive().await;
    tokio::time::sleep(time::Duration::from_millis(800)).await;
    let nowhere = net::SocketAddr::from(([127, 0, 0, 1], 9));
    let outcome = second.links.send(first.vm, nowhere, &support::ask(2));
    assert_eq!(outcome, SendOutcome::Queued);
}

/// Guards against a connector and a listener that disagree on who is at the other end.
#[tokio::test]
async fn both_ends_learn_the_identity_of_the_peer() {
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
