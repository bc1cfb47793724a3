//! Links to peers that are unreachable, slow, hostile or broken.

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

fn fault(reason: &str) -> u64 {
    support::counter(FAULTS, "reason", reason)
}

async fn raw_peer(address: net::SocketAddr) -> RawPeer {
    let (socket, _) = tokio_tungstenite::connect_async(format!("ws://{address}/link"))
        .await
        .unwrap();
    socket
}

async fn greeted_peer(address: net::SocketAddr, vm: u32) -> RawPeer {
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

/// Waits until the gateway closed the connection.
async fn closed(peer: &mut RawPeer) {
    let end = async {
        while let Some(Ok(message)) = peer.next().await {
            if message.is_close() {
                return;
            }
        }
    };
    tokio::time::timeout(time::Duration::from_secs(10), end)
        .await
        .expect("a closed link");
}

/// Guards against a peer that takes all the time of a gateway with messages.
#[tokio::test]
async fn a_flooding_peer_is_closed() {
    support::recorder();
    let before = fault("flood");
    let limited = LinkSettings {
        max_messages_per_second: 1_000,
        ..settings()
    };
    let mut gateway = support::gateway(1, limited).await;
    let mut peer = greeted_peer(gateway.address, 2).await;
    let flood = encoded(&support::ask(1));
    for _ in 0..3_000 {
        if peer
            .feed(tungstenite::Message::Binary(flood.clone()))
            .await
            .is_err()
        {
            break;
        }
    }
    let _ = peer.flush().await;
    closed(&mut peer).await;
    let mut received = 0;
    while gateway.inbound.try_recv().is_ok() {
        received += 1;
    }
    assert!(received <= 2_000, "{received} messages");
    assert!(fault("flood") > before);
}

/// Guards against a peer that avoids the limit by opening more links or by sending pings.
#[tokio::test]
async fn the_flood_limit_holds_over_links_and_pings() {
    let limited = LinkSettings {
        max_messages_per_second: 100,
        ..settings()
    };
    let gateway = support::gateway(1, limited).await;
    let mut first = greeted_peer(gateway.address, 2).await;
    let mut second = greeted_peer(gateway.address, 2).await;
    let start = time::Instant::now();
    for _ in 0..80 {
        let ping = tungstenite::Message::Ping(Bytes::new());
        let _ = first.send(ping.clone()).await;
        let _ = second.send(ping).await;
    }
    assert!(start.elapsed() < time::Duration::from_secs(1));
    tokio::select! {
        () = closed(&mut first) => {}
        () = closed(&mut second) => {}
    }
}

/// Guards against frames that do not decode and against hellos in the middle of a link.
#[tokio::test]
async fn a_bad_frame_closes_the_link() {
    support::recorder();
    let gateway = support::gateway(1, settings()).await;
    for bad in [Bytes::from_static(b"\xff\xff"), encoded(&hello(3))] {
        let before = fault("bad-frame");
        let mut peer = greeted_peer(gateway.address, 2).await;
        send(&mut peer, bad).await.unwrap();
        closed(&mut peer).await;
        support::until(|| fault("bad-frame") > before).await;
    }
    let mut peer = greeted_peer(gateway.address, 2).await;
    let text = tungstenite::Message::Text("text".into());
    peer.send(text).await.unwrap();
    closed(&mut peer).await;
}

/// Guards against frames beyond the limit, which must not be buffered.
#[tokio::test]
async fn an_oversized_frame_closes_the_link() {
    support::recorder();
    let before = fault("too-large");
    let gateway = support::gateway(1, settings()).await;
    let mut peer = greeted_peer(gateway.address, 2).await;
    let _ = send(&mut peer, Bytes::from(vec![0; MAX_FRAME_BYTES + 1])).await;
    closed(&mut peer).await;
    support::until(|| fault("too-large") > before).await;
}

/// Guards against a message beyond the limit that arrives in frames below it.
#[tokio::test]
async fn an_oversized_message_of_small_frames_closes_the_link() {
    support::recorder();
    let before = fault("too-large");
    let gateway = support::gateway(1, settings()).await;
    let mut peer = greeted_peer(gateway.address, 2).await;
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
    closed(&mut peer).await;
    support::until(|| fault("too-large") > before).await;
}

/// Guards against memory reserved for a frame that is announced but never sent.
#[tokio::test]
async fn an_announced_frame_beyond_the_limit_closes_the_link() {
    support::recorder();
    let before = fault("too-large");
    let gateway = support::gateway(1, settings()).await;
    let mut peer = greeted_peer(gateway.address, 2).await;
    // Binary, masked, 64-bit length, mask.
    let mut header = vec![0x82, 0xff];
    header.extend_from_slice(&(1_u64 << 40).to_be_bytes());
    header.extend_from_slice(&[0; 4]);
    peer.get_mut().write_all(&header).await.unwrap();
    closed(&mut peer).await;
    support::until(|| fault("too-large") > before).await;
}

/// Guards against connections that never say who they are.
#[tokio::test]
async fn a_peer_without_a_valid_hello_is_refused() {
    support::recorder();
    let before = fault("bad-hello");
    let mut gateway = support::gateway(1, settings()).await;
    let mut silent = raw_peer(gateway.address).await;
    let mut wrong = raw_peer(gateway.address).await;
    send(&mut wrong, encoded(&support::ask(1))).await.unwrap();
    closed(&mut wrong).await;
    closed(&mut silent).await;
    support::until(|| fault("bad-hello") >= before + 2).await;
    assert!(gateway.inbound.try_recv().is_err());
}

/// Guards against a gateway of another protocol version that is taken for a broken one.
#[tokio::test]
async fn another_protocol_version_is_counted_as_such() {
    support::recorder();
    let before = fault("protocol");
    let gateway = support::gateway(1, settings()).await;
    let mut peer = raw_peer(gateway.address).await;
    let mut other = encoded(&hello(2)).to_vec();
    let version = other.len() - 3;
    other[version] = 2;
    send(&mut peer, other.into()).await.unwrap();
    closed(&mut peer).await;
    support::until(|| fault("protocol") > before).await;
}

/// Guards against memory that grows with messages to a peer that does not read.
#[tokio::test]
async fn a_full_queue_drops_and_tells() {
    support::recorder();
    let before = fault("queue-full");
    let small = LinkSettings {
        max_queued_messages: 16,
        ..settings()
    };
    let gateway = support::gateway(1, small).await;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    for number in 0..16 {
        let outcome = gateway.links.send(VmId(2), address, &support::ask(number));
        assert_eq!(outcome, SendOutcome::Opening);
    }
    let outcome = gateway.links.send(VmId(2), address, &support::ask(16));
    assert_eq!(outcome, SendOutcome::QueueFull);
    assert!(fault("queue-full") > before);
}

/// Guards against a queue that is short in messages but holds hundreds of megabytes.
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
    let outcome = gateway.links.send(VmId(2), address, &support::ask(1));
    assert_eq!(outcome, SendOutcome::Opening);
}

/// Guards against a connection attempt for every message to a peer that is gone.
#[tokio::test]
async fn a_failed_connection_is_followed_by_a_pause() {
    support::recorder();
    let before = fault("connect-failed");
    let slow = LinkSettings {
        initial_backoff: time::Duration::from_mins(1),
        max_backoff: time::Duration::from_mins(1),
        ..settings()
    };
    let gateway = support::gateway(1, slow).await;
    let nowhere = net::SocketAddr::from(([127, 0, 0, 1], 9));
    let outcome = gateway.links.send(VmId(2), nowhere, &support::ask(1));
    assert_eq!(outcome, SendOutcome::Opening);
    support::until(|| fault("connect-failed") > before).await;
    support::until(|| {
        gateway.links.send(VmId(2), nowhere, &support::ask(2)) == SendOutcome::Backoff
    })
    .await;
}

/// Guards against messages to a VM that took over the address of another.
#[tokio::test]
async fn an_address_that_answers_as_another_vm_is_refused() {
    support::recorder();
    let before = fault("wrong-peer");
    let first = support::gateway(1, settings()).await;
    let mut third = support::gateway(3, settings()).await;
    first.links.send(VmId(2), third.address, &support::ask(1));
    support::until(|| fault("wrong-peer") > before).await;
    assert!(third.inbound.try_recv().is_err());
}

/// Guards against a link over which nothing arrives any more, as after a cut.
#[tokio::test]
async fn a_silent_peer_is_closed() {
    support::recorder();
    let before = fault("silent");
    let impatient = LinkSettings {
        ping_interval: time::Duration::from_millis(50),
        idle_timeout: time::Duration::from_millis(200),
        ..settings()
    };
    let gateway = support::gateway(1, impatient).await;
    let peer = greeted_peer(gateway.address, 2).await;
    // The raw peer answers no ping because nobody polls it.
    support::until(|| fault("silent") > before).await;
    drop(peer);
}

/// Guards against a writer that waits for ever for a peer that stopped reading.
#[tokio::test]
async fn a_peer_that_does_not_read_keeps_no_task() {
    let impatient = LinkSettings {
        ping_interval: time::Duration::from_millis(50),
        idle_timeout: time::Duration::from_millis(200),
        ..settings()
    };
    let gateway = support::gateway(1, impatient).await;
    let metrics = tokio::runtime::Handle::current().metrics();
    // Lets the task of the listener start.
    tokio::task::yield_now().await;
    let before = metrics.num_alive_tasks();
    let peer = greeted_peer(gateway.address, 2).await;
    support::until(|| metrics.num_alive_tasks() >= before + 2).await;
    let table = PeerMessage::TableReply {
        revision: TableRevision(1),
        head: "x".repeat(1_000_000),
        parts: Vec::new(),
    };
    let nowhere = net::SocketAddr::from(([127, 0, 0, 1], 9));
    for _ in 0..50 {
        gateway.links.send(VmId(2), nowhere, &table);
        tokio::time::sleep(time::Duration::from_millis(1)).await;
    }
    support::until(|| metrics.num_alive_tasks() <= before).await;
    drop(peer);
}

/// Guards against a process with the id of this VM whose messages pass for its own.
#[tokio::test]
async fn a_peer_with_the_own_id_is_refused() {
    support::recorder();
    let before = fault("wrong-peer");
    let gateway = support::gateway(1, settings()).await;
    let mut peer = greeted_peer(gateway.address, 1).await;
    closed(&mut peer).await;
    support::until(|| fault("wrong-peer") > before).await;
}

/// Guards against one slow reader of messages that ends links or loses messages.
#[tokio::test]
async fn a_full_inbound_channel_slows_peers_down() {
    let first = support::gateway(1, settings()).await;
    let (sender, mut inbound) = tokio::sync::mpsc::channel(4);
    let second = toucanledge_wire::PeerLinks::new(VmId(2), Incarnation(1), None, sender);
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    second.listen(listener);
    for number in 0..500 {
        first.links.send(VmId(2), address, &support::ask(number));
    }
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    for number in 0..500 {
        assert_eq!(inbound.recv().await.unwrap().1, support::ask(number));
    }
}
