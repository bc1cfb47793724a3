//! Sends and receives gossip messages.

use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use rand::seq::IndexedRandom;
use toucanledge_core::Millis;
use toucanledge_steering::{GossipKind, GossipMessage, PeerId};
use xxhash_rust::xxh3;

use crate::note;
use crate::proxy::ProxyService;

/// Time for which changes are collected into one datagram.
const BATCH_PAUSE: time::Duration = time::Duration::from_millis(4);
/// Interval of heartbeats inside the failure domain.
const LOCAL_HEARTBEAT_MS: u64 = 400;
/// Heartbeat interval of a gateway that reads the store. Its loss must be noticed well within
/// the 2 s in which leaving backend servers must be known.
const READER_HEARTBEAT_MS: u64 = 200;
/// Number of heartbeats inside the failure domain for each one to other failure domains, since
/// traffic between failure domains is expensive.
const REMOTE_HEARTBEAT_EVERY: u64 = 15;
/// Interval of discovery messages to unreachable seeds.
const SEED_INTERVAL_MS: u64 = 1_200;
/// Interval of discovery messages of a gateway without reachable peers. Processes that were killed
/// together, seeds included, start within 0.3 s of each other, and an isolated gateway learns of
/// failing servers only by losing requests.
const ISOLATED_SEED_INTERVAL_MS: u64 = 60;
/// Time after the start from which an isolated gateway uses the longer interval as well.
const ISOLATED_STARTUP_MS: u64 = 10_000;
/// Time without a message after which a seed gets discovery messages again. Seeds of other failure
/// domains send a heartbeat every 6 s.
const SEED_TIMEOUT_MS: u64 = 8_000;
/// Limit of peers announced in one reply.
const MAX_ANNOUNCED_PEERS: usize = 160;
/// Size of the receive buffer.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Gateways per other failure domain that receive outcome reports and relay them inside it. Traffic
/// between failure domains is expensive, and with two relays one lost datagram or gateway does no
/// harm.
const RELAYS_PER_DOMAIN: usize = 2;

/// Returns the hash of a failure domain's name.
#[must_use]
pub fn failure_domain_hash(name: &str) -> u64 {
    xxh3::xxh3_64(name.as_bytes())
}

/// Receives gossip messages until the process stops.
pub async fn receive_gossip(
    socket: sync::Arc<tokio::net::UdpSocket>,
    proxy: sync::Arc<ProxyService>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => match note::decode_message(&buffer[..length]) {
                Some(message) => handle_message(&socket, &proxy, from, &message).await,
                None => metrics::counter!("toucanledge_bad_datagrams_total").increment(1),
            },
            Err(error) => {
                log::debug!("[peers] receive failed: {error}");
                tokio::time::sleep(BATCH_PAUSE).await;
            }
        }
    }
}

async fn handle_message(
    socket: &tokio::net::UdpSocket,
    proxy: &sync::Arc<ProxyService>,
    from: net::SocketAddr,
    message: &GossipMessage,
) {
    let now = proxy.clock.now();
    let (is_new, wake_store_sync) = {
        let mut state = proxy.state();
        let before = state.peers.all().find(|(peer, _)| *peer == from);
        let is_new = before.is_none();
        let role_changed =
            before.is_some_and(|(_, before)| before.reads_store != message.reads_store);
        state.apply_message(from, message, now);
        let same_domain =
            message.failure_domain_hash == failure_domain_hash(&proxy.settings.failure_domain);
        let behind = message.reads_store && message.store_revision > state.store_cache.revision();
        // A reader that serves no records must not wake this gateway with each heartbeat.
        let may_follow = state.fetch_failures.may_follow(from, now);
        let wake_store_sync = same_domain && may_follow && (behind || role_changed);
        (is_new, wake_store_sync)
    };
    if message.kind == GossipKind::Relay {
        proxy.gossip_urgent.notify_one();
    }
    if wake_store_sync {
        proxy.store_sync_due.notify_one();
    }
    if is_new {
        log::info!(
            "[peers] discovered peer={from} boot={}",
            message.incarnation.0
        );
    }
    let discovery = message.kind == GossipKind::Discovery;
    if is_new || discovery {
        // Sequence 0 is never newer than a heartbeat, so the reply changes no in-flight count.
        let mut reply = base_message(proxy, 0);
        if discovery {
            let peers = &proxy.state().peers;
            reply.known_peers =
                peers.peers_to_announce(from, message.failure_domain_hash, MAX_ANNOUNCED_PEERS);
        }
        send(socket, &note::encode_message(&reply), from).await;
    }
    if !message.known_peers.is_empty() {
        proxy
            .discovery_pending
            .store(true, atomic::Ordering::Relaxed);
        proxy.gossip_pending.notify_one();
    }
}

/// Sends changes and heartbeats until the process stops.
pub async fn send_gossip(socket: sync::Arc<tokio::net::UdpSocket>, proxy: sync::Arc<ProxyService>) {
    let mut sequence = 1;
    let mut heartbeat_count: u64 = 0;
    let mut next_heartbeat = Millis::default();
    let mut next_discovery = Millis::default();
    loop {
        let now = proxy.clock.now();
        let wait = time::Duration::from_millis(next_heartbeat.min(next_discovery).since(now));
        tokio::select! {
            () = proxy.gossip_urgent.notified() => {}
            () = proxy.gossip_pending.notified() => {
                // A time-out means that no urgent update came while changes were collected.
                let _ = tokio::time::timeout(BATCH_PAUSE, proxy.gossip_urgent.notified()).await;
            }
            () = tokio::time::sleep(wait) => {}
        }
        let now = proxy.clock.now();
        proxy.remove_expired(now);
        let heartbeat = now >= next_heartbeat;
        if heartbeat {
            let reads_store = proxy.state().reads_store;
            next_heartbeat = now
                + if reads_store {
                    READER_HEARTBEAT_MS
                } else {
                    LOCAL_HEARTBEAT_MS
                };
            heartbeat_count += 1;
        }
        send_updates(&socket, &proxy, &mut sequence, heartbeat, heartbeat_count).await;
        let discover = proxy
            .discovery_pending
            .swap(false, atomic::Ordering::Relaxed);
        if discover || now >= next_discovery {
            let isolated = proxy.state().peers.reachable(now).next().is_none();
            let interval = if isolated && now.0 < ISOLATED_STARTUP_MS {
                ISOLATED_SEED_INTERVAL_MS
            } else {
                SEED_INTERVAL_MS
            };
            next_discovery = now + interval;
            discover_peers(&socket, &proxy, &mut sequence).await;
        }
    }
}

/// Sends pending updates: in-flight counts inside the failure domain, outcome reports to all.
async fn send_updates(
    socket: &tokio::net::UdpSocket,
    proxy: &sync::Arc<ProxyService>,
    sequence: &mut u64,
    heartbeat: bool,
    heartbeat_count: u64,
) {
    let now = proxy.clock.now();
    let own_domain_hash = failure_domain_hash(&proxy.settings.failure_domain);
    let (status_update, in_flight, reports, local_reports, local, remote) = {
        let mut state = proxy.state();
        let status_update = std::mem::take(&mut state.status_update_due);
        let changed = state.take_changed_in_flight();
        let in_flight = if heartbeat {
            state.all_in_flight()
        } else {
            changed
        };
        let (reports, local_reports) = state.take_outcome_reports(now);
        let mut local = Vec::new();
        let mut remote = Vec::new();
        for (peer, known) in state.peers.all() {
            if known.failure_domain_hash == own_domain_hash {
                local.push(peer);
            } else {
                remote.push((known.failure_domain_hash, peer));
            }
        }
        (
            status_update,
            in_flight,
            reports,
            local_reports,
            local,
            remote,
        )
    };
    if !status_update
        && !heartbeat
        && in_flight.is_empty()
        && reports.is_empty()
        && local_reports.is_empty()
    {
        return;
    }
    let mut message = base_message(proxy, *sequence);
    *sequence += 1;
    if heartbeat {
        message.kind = GossipKind::Snapshot;
    }
    message.in_flight = in_flight;
    message.outcomes.clone_from(&reports);
    message.outcomes.extend(local_reports);
    let datagram = note::encode_message(&message);
    for peer in local {
        send(socket, &datagram, peer).await;
    }
    message.outcomes = reports;
    message.in_flight.clear();
    if !message.outcomes.is_empty() {
        message.kind = GossipKind::Relay;
        let datagram = note::encode_message(&message);
        for peer in select_relays(&remote) {
            send(socket, &datagram, peer).await;
        }
    }
    if heartbeat && heartbeat_count.is_multiple_of(REMOTE_HEARTBEAT_EVERY) {
        message.kind = GossipKind::Snapshot;
        message.outcomes.clear();
        let datagram = note::encode_message(&message);
        for (_, peer) in remote {
            send(socket, &datagram, peer).await;
        }
    }
}

/// Returns some gateways of each failure domain, selected at random since any of them may be lost.
fn select_relays(remote: &[(u64, PeerId)]) -> Vec<PeerId> {
    let mut domains: collections::HashMap<u64, Vec<PeerId>> = collections::HashMap::new();
    for (domain, peer) in remote {
        domains.entry(*domain).or_default().push(*peer);
    }
    let mut rng = rand::rng();
    domains
        .values()
        .flat_map(|peers| {
            peers
                .choose_multiple(&mut rng, RELAYS_PER_DOMAIN)
                .copied()
                .collect::<Vec<_>>()
        })
        .collect()
}

/// Contacts peers that were announced but are not known yet, and unreachable seeds, which are asked
/// for their peers.
async fn discover_peers(
    socket: &tokio::net::UdpSocket,
    proxy: &sync::Arc<ProxyService>,
    sequence: &mut u64,
) {
    let now = proxy.clock.now();
    let own = proxy.settings.peer_listen();
    let (undiscovered, seeds): (Vec<PeerId>, Vec<PeerId>) = {
        let mut state = proxy.state();
        let undiscovered = state.peers.take_undiscovered();
        let is_unreachable = |peer: &PeerId| {
            *peer != own && !state.peers.reachable_within(*peer, SEED_TIMEOUT_MS, now)
        };
        let seeds = proxy
            .settings
            .seed_addresses()
            .filter(is_unreachable)
            .collect();
        (undiscovered, seeds)
    };
    for (kind, targets) in [
        (GossipKind::Delta, undiscovered),
        (GossipKind::Discovery, seeds),
    ] {
        if targets.is_empty() {
            continue;
        }
        let mut message = base_message(proxy, *sequence);
        *sequence += 1;
        message.kind = kind;
        let datagram = note::encode_message(&message);
        for peer in targets.into_iter().filter(|peer| *peer != own) {
            send(socket, &datagram, peer).await;
        }
    }
}

fn base_message(proxy: &sync::Arc<ProxyService>, sequence: u64) -> GossipMessage {
    let state = proxy.state();
    GossipMessage {
        incarnation: proxy.clock.incarnation(),
        sequence,
        failure_domain_hash: failure_domain_hash(&proxy.settings.failure_domain),
        store_revision: state.store_cache.revision(),
        reads_store: state.reads_store,
        stopping: state.stopping,
        kind: GossipKind::Delta,
        in_flight: Vec::new(),
        outcomes: Vec::new(),
        known_peers: Vec::new(),
    }
}

async fn send(socket: &tokio::net::UdpSocket, datagram: &[u8], peer: PeerId) {
    if let Err(error) = socket.send_to(datagram, peer).await {
        metrics::counter!("toucanledge_datagram_failures_total").increment(1);
        log::debug!("[peers] send to {peer} failed: {error}");
    }
}
