//! Links to peers that are unreachable, slow, malicious or faulty.

use std::net;
use std::time;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use tokio::io::AsyncWriteExt;
use tokio_tungstenite::tungstenite;
use tokio_tungstenite::tungstenite::protocol::frame::{self, coding};
use toucanledge_core::{Incarnation, TableRevision, VmId};
use toucanledge_wire::{LinkSettings, MAX_FRAME_BYTES, PeerMessage, SendOutcome, encode};

use crate::support;

type RawPeer =
    tokio_tungstenite::WebSocketStream<tokio_tungstenite::MaybeTlsStream<tokio::net::TcpStream>>;

const FAULTS: &str = "toucanledge_link_faults_total";

fn settings() -> LinkSettings {
    LinkSettings {
        handshake_timeout: time::Duration::from_millis(300),
        ..LinkSettings::default()
    }
}

fn fault_count(reason: &str) -> u64 {
    support::counter(FAULTS, "reason", reason)
}

async fn raw_peer(address: net::SocketAddr) -> RawPeer {
    let (socket, _) = tokio_tungstenite::connect_async(format!("ws://{address}/link"))
        .await
        .unwrap();
    socket
}

async fn connected_peer(address: net::SocketAddr, vm: u32) -> RawPeer {
    let mut peer = raw_peer(address).await;
    send(&mut peer, encoded(&hello(vm))).await.unwrap();
    peer.next().await.unwrap().unwrap();
    peer
}

fn hello(vm: u32) -> PeerMessage {
    PeerMessage::Hello {
        vm: VmId(vm),
        incarnation: Incarnation(1),
    }
}

fn encoded(message: &PeerMessage) -> Bytes {
    encode(message).unwrap()
}

async fn send(peer: &mut RawPeer, payload: Bytes) -> Result<(), tungstenite::Error> {
    peer.send(tungstenite::Message::Binary(payload)).await
}

/// Waits until the gateway has closed the connection.
async fn wait_until_closed(peer: &mut RawPeer) {
    let close = async {
        while let Some(Ok(message)) = peer.next().await {
            if message.is_close() {
                return;
            }
        }
    };
    tokio::time::timeout(time::Duration::from_secs(10), close)
        .await
        .expect("link not closed within 10 s");
}

/// Guards against a peer that uses all processor time of a gateway by sending many messages.
#[tokio::test]
async fn a_peer_above_the_rate_limit_is_closed() {
    support::recorder();
    let before = fault_count("flood");
    let limited = LinkSettings {
        max_messages_per_second: 1_000,
        ..settings()
    };
    let mut gateway = support::gateway(1, limited).await;
    let mut peer = connected_peer(gateway.address, 2).await;
    let frame = encoded(&support::message(1));
    for _ in 0..3_000 {
        if peer
            .feed(tungstenite::Message::Binary(frame.clone()))
            .await
            .is_err()
        {
            break;
        }
    }
    let _ = peer.flush().await;
    wait_until_closed(&mut peer).await;
    let mut received = 0;
    while gateway.inbound.try_recv().is_ok() {
        received += 1;
    }
    assert!(
        received <= 2_000,
        "expected at most 2000 messages, got {received}"
    );
    assert!(fault_count("flood") > before);
}

/// Guards against a peer that evades the rate limit by opening more links or by sending pings.
#[tokio::test]
async fn the_rate_limit_covers_all_links_and_pings() {
    let limited = LinkSettings {
        max_messages_per_second: 100,
        ..settings()
    };
    let gateway = support::gateway(1, limited).await;
    let mut first = connected_peer(gateway.address, 2).await;
    let mut second = connected_peer(gateway.address, 2).await;
    let start = time::Instant::now();
    for _ in 0..80 {
        let ping = tungstenite::Message::Ping(Bytes::new());
        let _ = first.send(ping.clone()).await;
        let _ = second.send(ping).await;
    }
    assert!(start.elapsed() < time::Duration::from_secs(1));
    tokio::select! {
        () = wait_until_closed(&mut first) => {}
        () = wait_until_closed(&mut second) => {}
    }
}

/// Guards against frames that cannot be decoded, and against a hello that is not the first frame.
#[tokio::test]
async fn an_invalid_frame_closes_the_link() {
    support::recorder();
    let gateway = support::gateway(1, settings()).await;
    for invalid in [Bytes::from_static(b"\xff\xff"), encoded(&hello(3))] {
        let before = fault_count("bad-frame");
        let mut peer = connected_peer(gateway.address, 2).await;
        send(&mut peer, invalid).await.unwrap();
        wait_until_closed(&mut peer).await;
        support::wait_until(|| fault_count("bad-frame") > before).await;
    }
    let mut peer = connected_peer(gateway.address, 2).await;
    let text = tungstenite::Message::Text("text".into());
    peer.send(text).await.unwrap();
    wait_until_closed(&mut peer).await;
}

/// Guards against the buffering of a frame above the size limit.
#[tokio::test]
async fn an_oversized_frame_closes_the_link() {
    support::recorder();
    let before = fault_count("too-large");
    let gateway = support::gateway(1, settings()).await;
    let mut peer = connected_peer(gateway.address, 2).await;
    let _ = send(&mut peer, Bytes::from(vec![0; MAX_FRAME_BYTES + 1])).await;
    wait_until_closed(&mut peer).await;
    support::wait_until(|| fault_count("too-large") > before).await;
}

/// Guards against a message above the size limit that arrives in frames below it.
#[tokio::test]
async fn an_oversized_message_of_small_frames_closes_the_link() {
    support::recorder();
    let before = fault_count("too-large");
    let gateway = support::gateway(1, settings()).await;
    let mut peer = connected_peer(gateway.address, 2).await;
    for first in [true, false, false] {
        let data = if first {
            coding::Data::Binary
        } else {
            coding::Data::Continue
        };
        let opcode = coding::OpCode::Data(data);
        let part = frame::Frame::message(vec![0; MAX_FRAME_BYTES / 2], opcode, false);
        let _ = peer.send(tungstenite::Message::Frame(part)).await;
    }
    wait_until_closed(&mut peer).await;
    support::wait_until(|| fault_count("too-large") > before).await;
}

/// Guards against memory that is reserved for a frame whose header arrives without its content.
#[tokio::test]
async fn a_header_of_an_oversized_frame_closes_the_link() {
    support::recorder();
    let before = fault_count("too-large");
    let gateway = support::gateway(1, settings()).await;
    let mut peer = connected_peer(gateway.address, 2).await;
    // Binary, masked, 64-bit length, mask.
    let mut header = vec![0x82, 0xff];
    header.extend_from_slice(&(1_u64 << 40).to_be_bytes());
    header.extend_from_slice(&[0; 4]);
    peer.get_mut().write_all(&header).await.unwrap();
    wait_until_closed(&mut peer).await;
    support::wait_until(|| fault_count("too-large") > before).await;
}

/// Guards against connections that never identify themselves.
#[tokio::test]
async fn a_peer_without_a_valid_hello_is_refused() {
    support::recorder();
    let before = fault_count("bad-hello");
    let mut gateway = support::gateway(1, settings()).await;
    let mut without_hello = raw_peer(gateway.address).await;
    let mut wrong_first_frame = raw_peer(gateway.address).await;
    send(&mut wrong_first_frame, encoded(&support::message(1)))
        .await
        .unwrap();
    wait_until_closed(&mut wrong_first_frame).await;
    wait_until_closed(&mut without_hello).await;
    support::wait_until(|| fault_count("bad-hello") >= before + 2).await;
    assert!(gateway.inbound.try_recv().is_err());
}

/// Guards against a gateway of another protocol version that is counted as faulty.
#[tokio::test]
async fn another_protocol_version_is_counted_as_such() {
    support::recorder();
    let before = fault_count("protocol");
    let gateway = support::gateway(1, settings()).await;
    let mut peer = raw_peer(gateway.address).await;
    let mut other = encoded(&hello(2)).to_vec();
    let version_index = other.len() - 3;
    other[version_index] = 2;
    send(&mut peer, other.into()).await.unwrap();
    wait_until_closed(&mut peer).await;
    support::wait_until(|| fault_count("protocol") > before).await;
}

/// Guards against unbounded memory for messages to a peer that does not read.
#[tokio::test]
async fn a_full_queue_drops_messages_and_reports_it() {
    support::recorder();
    let before = fault_count("queue-full");
    let small = LinkSettings {
        max_queued_messages: 16,
        ..settings()
    };
    let gateway = support::gateway(1, small).await;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    for number in 0..16 {
        let outcome = gateway
            .links
            .send(VmId(2), address, &support::message(number));
        assert_eq!(outcome, SendOutcome::Opening);
    }
    let outcome = gateway.links.send(VmId(2), address, &support::message(16));
    assert_eq!(outcome, SendOutcome::QueueFull);
    assert!(fault_count("queue-full") > before);
}

/// Guards against a queue of few messages that holds hundreds of megabytes.
#[tokio::test]
async fn a_queue_is_bounded_in_bytes() {
    let small = LinkSettings {
        max_queued_bytes: 1_000_000,
        ..settings()
    };
    let gateway = support::gateway(1, small).await;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let table = PeerMessage::TableReply {
        revision: TableRevision(1),
        head: "x".repeat(600_000),
        parts: Vec::new(),
    };
    let outcome = gateway.links.send(VmId(2), address, &table);
    assert_eq!(outcome, SendOutcome::Opening);
    let outcome = gateway.links.send(VmId(2), address, &table);
    assert_eq!(outcome, SendOutcome::QueueFull);
    let outcome = gateway.links.send(VmId(2), address, &support::message(1));
    assert_eq!(outcome, SendOutcome::Opening);
}

/// Guards against a new connection for every message to an unreachable peer.
#[tokio::test]
async fn a_failed_connection_starts_a_back_off() {
    support::recorder();
    let before = fault_count("connect-failed");
    let slow = LinkSettings {
        initial_backoff: time::Duration::from_mins(1),
        max_backoff: time::Duration::from_mins(1),
        ..settings()
    };
    let gateway = support::gateway(1, slow).await;
    let unused_address = net::SocketAddr::from(([127, 0, 0, 1], 9));
    let outcome = gateway
        .links
        .send(VmId(2), unused_address, &support::message(1));
    assert_eq!(outcome, SendOutcome::Opening);
    support::wait_until(|| fault_count("connect-failed") > before).await;
    support::wait_until(|| {
        gateway
            .links
            .send(VmId(2), unused_address, &support::message(2))
            == SendOutcome::Backoff
    })
    .await;
}

/// Guards against messages to a VM that has taken over the address of another.
#[tokio::test]
async fn an_address_that_belongs_to_another_vm_is_refused() {
    support::recorder();
    let before = fault_count("wrong-peer");
    let first = support::gateway(1, settings()).await;
    let mut third = support::gateway(3, settings()).await;
    first
        .links
        .send(VmId(2), third.address, &support::message(1));
    support::wait_until(|| fault_count("wrong-peer") > before).await;
    assert!(third.inbound.try_recv().is_err());
}

/// Guards against a link that stays open although nothing arrives over it, as in a network
/// partition.
#[tokio::test]
async fn an_idle_link_is_closed() {
    support::recorder();
    let before = fault_count("silent");
    let short_timeout = LinkSettings {
        ping_interval: time::Duration::from_millis(50),
        idle_timeout: time::Duration::from_millis(200),
        ..settings()
    };
    let gateway = support::gateway(1, short_timeout).await;
    let peer = connected_peer(gateway.address, 2).await;
    // The raw peer sends no pongs, because nothing polls it.
    support::wait_until(|| fault_count("silent") > before).await;
    drop(peer);
}

/// Guards against a writer task that waits forever for a peer that has stopped reading.
#[tokio::test]
async fn a_peer_that_does_not_read_leaves_no_task_behind() {
    let short_timeout = LinkSettings {
        ping_interval: time::Duration::from_millis(50),
        idle_timeout: time::Duration::from_millis(200),
        ..settings()
    };
    let gateway = support::gateway(1, short_timeout).await;
    let metrics = tokio::runtime::Handle::current().metrics();
    // Lets the acceptor task start.
    tokio::task::yield_now().await;
    let before = metrics.num_alive_tasks();
    let peer = connected_peer(gateway.address, 2).await;
    support::wait_until(|| metrics.num_alive_tasks() >= before + 2).await;
    let table = PeerMessage::TableReply {
        revision: TableRevision(1),
        head: "x".repeat(1_000_000),
        parts: Vec::new(),
    };
    let unused_address = net::SocketAddr::from(([127, 0, 0, 1], 9));
    for _ in 0..50 {
        gateway.links.send(VmId(2), unused_address, &table);
        tokio::time::sleep(time::Duration::from_millis(1)).await;
    }
    support::wait_until(|| metrics.num_alive_tasks() <= before).await;
    drop(peer);
}

/// Guards against a process with the id of this VM whose messages are taken for its own.
#[tokio::test]
async fn a_peer_with_the_id_of_this_vm_is_refused() {
    support::recorder();
    let before = fault_count("wrong-peer");
    let gateway = support::gateway(1, settings()).await;
    let mut peer = connected_peer(gateway.address, 1).await;
    wait_until_closed(&mut peer).await;
    support::wait_until(|| fault_count("wrong-peer") > before).await;
}

/// Guards against a slow reader of the inbound channel that causes closed links or lost messages.
#[tokio::test]
async fn a_full_inbound_channel_slows_peers_down() {
    let first = support::gateway(1, settings()).await;
    let (sender, mut inbound) = tokio::sync::mpsc::channel(4);
    let second = toucanledge_wire::PeerLinks::new(VmId(2), Incarnation(1), None, sender);
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    second.listen(listener);
    for number in 0..500 {
        first
            .links
            .send(VmId(2), address, &support::message(number));
    }
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    for number in 0..500 {
        assert_eq!(inbound.recv().await.unwrap().1, support::message(number));
    }
}
