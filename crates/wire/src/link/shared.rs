//! State and tasks behind the links of a gateway.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use bytes::Bytes;
use error_stack::Report;
use futures_util::StreamExt;
use rand::Rng;
use tokio::net as tokio_net;
use tokio::sync::{mpsc, oneshot, watch};
use toucanledge_core::VmId;

use super::connector::LinkConnector;
use super::counters::KindCounters;
use super::fault::LinkFault;
use super::hello::{OpenLink, PeerIdentity};
use super::listener::LinkListener;
use super::outcome::SendOutcome;
use super::peers::{FrameQueue, LinkQueue, PeerEntry, PeerMap, PushOutcome};
use super::reader::{LinkReader, ReadEnd};
use super::settings::LinkSettings;
use super::writer;
use crate::error::WireError;
use crate::message::{MessageKind, PeerMessage};

/// What the clones of the links of a gateway share.
///
/// Tasks hold weak references, so the state is dropped with the last clone; the queues then close
/// and end the tasks.
#[derive(Debug)]
pub struct LinkShared {
    identity: PeerIdentity,
    settings: LinkSettings,
    connector: LinkConnector,
    inbound: mpsc::Sender<(VmId, PeerMessage)>,
    peers: sync::Mutex<PeerMap>,
    next_id: atomic::AtomicU64,
    sent: KindCounters,
    received: sync::Arc<KindCounters>,
    alive: watch::Sender<()>,
}

/// Connections that may be in their handshake at once; bounds what unknown callers can hold.
const HANDSHAKE_LIMIT: usize = 256;
/// Pause after a failed accept, which fails again at once while file descriptors are used up.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);
/// Peers whose incarnation is remembered while they have no link.
const PEER_LIMIT: usize = 1_024;

impl LinkShared {
    /// Creates the state of a gateway without links.
    pub fn new(
        identity: PeerIdentity,
        source: Option<net::IpAddr>,
        inbound: mpsc::Sender<(VmId, PeerMessage)>,
        settings: LinkSettings,
    ) -> Self {
        Self {
            identity,
            settings,
            connector: LinkConnector::new(identity, source, settings),
            inbound,
            peers: sync::Mutex::default(),
            next_id: atomic::AtomicU64::new(0),
            sent: KindCounters::new("toucanledge_link_sent_total"),
            received: sync::Arc::new(KindCounters::new("toucanledge_link_received_total")),
            alive: watch::Sender::new(()),
        }
    }

    /// Starts the task that accepts links.
    pub fn accept(shared: &sync::Arc<Self>, listener: tokio_net::TcpListener) {
        let listener = LinkListener::new(shared.identity, listener, shared.settings);
        let alive = shared.alive.subscribe();
        let inbound = shared.inbound.clone();
        let weak = sync::Arc::downgrade(shared);
        tokio::spawn(accept_links(listener, weak, alive, inbound));
    }

    /// Locks the state of all peers.
    pub fn lock_peers(&self) -> sync::MutexGuard<'_, PeerMap> {
        self.peers
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Returns the state of a peer, created when it is new.
    pub fn entry<'peers>(&self, peers: &'peers mut PeerMap, vm: VmId) -> &'peers mut PeerEntry {
        if peers.len() >= PEER_LIMIT && !peers.contains_key(&vm) {
            peers.retain(|_, entry| entry.has_link());
        }
        peers
            .entry(vm)
            .or_insert_with(|| PeerEntry::new(&self.settings))
    }

    /// Returns whether a VM is this gateway itself.
    pub fn is_own(&self, vm: VmId) -> bool {
        vm == self.identity.vm
    }

    /// Delivers a message of this gateway to itself.
    pub fn deliver(&self, message: PeerMessage) -> SendOutcome {
        match self.inbound.try_send((self.identity.vm, message)) {
            Ok(()) => SendOutcome::Queued,
            Err(_) => SendOutcome::QueueFull,
        }
    }

    /// Counts a message that was offered.
    pub fn count_sent(&self, kind: MessageKind, outcome: SendOutcome) {
        match outcome.fault() {
            Some(fault) => fault.count(),
            None => self.sent.count(kind),
        }
    }

    /// Starts a task that opens a link, with a first frame in its queue.
    pub fn start_opening(
        self: &sync::Arc<Self>,
        entry: &mut PeerEntry,
        vm: VmId,
        address: net::SocketAddr,
        frame: Bytes,
    ) -> SendOutcome {
        let (queue, frames) = self.new_queue();
        if queue.push(frame) != PushOutcome::Queued {
            return SendOutcome::QueueFull;
        }
        let id = queue.id;
        entry.note_opening(queue);
        let connector = self.connector.clone();
        let weak = sync::Arc::downgrade(self);
        tokio::spawn(async move {
            let result = connector.connect(address).await;
            if let Some(shared) = weak.upgrade() {
                shared.finish_opening(vm, id, result, frames);
            }
        });
        SendOutcome::Opening
    }

    fn new_queue(&self) -> (LinkQueue, FrameQueue) {
        let id = self.next_id.fetch_add(1, atomic::Ordering::Relaxed);
        LinkQueue::new(id, &self.settings)
    }

    fn finish_opening(
        self: &sync::Arc<Self>,
        vm: VmId,
        id: u64,
        result: Result<OpenLink, Report<WireError>>,
        frames: FrameQueue,
    ) {
        let link = match result {
            Ok(link) if link.peer.vm == vm => link,
            Ok(link) => {
                log::warn!("[link] {vm}: its address answered as {}", link.peer.vm);
                return self.fail_opening(vm, id, LinkFault::WrongPeer, &frames);
            }
            Err(report) => {
                log::info!("[link] {vm}: link not opened: {report:#}");
                return self.fail_opening(vm, id, LinkFault::from_report(&report), &frames);
            }
        };
        let mut peers = self.lock_peers();
        let entry = self.entry(&mut peers, vm);
        match entry.take_opening(id) {
            Some(queue) => self.start_link(entry, link, queue, frames),
            None => LinkFault::Undelivered.count_many(frames.frames.len() as u64),
        }
    }

    fn fail_opening(&self, vm: VmId, id: u64, fault: LinkFault, frames: &FrameQueue) {
        fault.count();
        let mut peers = self.lock_peers();
        let entry = self.entry(&mut peers, vm);
        let pause = backoff(&self.settings, entry.failures());
        entry.note_failure(id, pause);
        LinkFault::Undelivered.count_many(frames.frames.len() as u64);
    }

    fn add_accepted(self: &sync::Arc<Self>, link: OpenLink) {
        if self.is_own(link.peer.vm) {
            log::warn!("[link] another process has the id of this VM");
            return LinkFault::WrongPeer.count();
        }
        let (queue, frames) = self.new_queue();
        let mut peers = self.lock_peers();
        let entry = self.entry(&mut peers, link.peer.vm);
        self.start_link(entry, link, queue, frames);
    }

    fn start_link(
        self: &sync::Arc<Self>,
        entry: &mut PeerEntry,
        link: OpenLink,
        queue: LinkQueue,
        frames: FrameQueue,
    ) {
        let id = queue.id;
        if !entry.open(link.peer.incarnation, queue) {
            LinkFault::Undelivered.count_many(frames.frames.len() as u64);
            return;
        }
        let reader = LinkReader {
            vm: link.peer.vm,
            inbound: self.inbound.clone(),
            inflow: entry.inflow(),
            received: sync::Arc::clone(&self.received),
            close_after: self.settings.idle_timeout,
        };
        self.spawn_tasks(id, link, reader, frames);
    }

    fn spawn_tasks(
        self: &sync::Arc<Self>,
        id: u64,
        link: OpenLink,
        reader: LinkReader,
        frames: FrameQueue,
    ) {
        let (sink, stream) = link.socket.split();
        let (reader_guard, reader_ended) = oneshot::channel();
        let (writer_guard, writer_ended) = oneshot::channel();
        let ping_after = self.settings.ping_interval;
        let weak = sync::Arc::downgrade(self);
        tokio::spawn(async move {
            let end = writer::write_link(sink, frames, reader_ended, ping_after).await;
            // The reader may be gone.
            let _ = writer_guard.send(end);
        });
        tokio::spawn(async move {
            let end = reader.read_link(stream, writer_ended).await;
            drop::<oneshot::Sender<()>>(reader_guard);
            note_end(&weak, reader.vm, id, end);
        });
    }
}

async fn accept_links(
    listener: LinkListener,
    weak: sync::Weak<LinkShared>,
    mut alive: watch::Receiver<()>,
    inbound: mpsc::Sender<(VmId, PeerMessage)>,
) {
    let handshakes = sync::Arc::new(tokio::sync::Semaphore::new(HANDSHAKE_LIMIT));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = alive.changed() => return,
            () = inbound.closed() => return,
        };
        match accepted {
            Ok((stream, address)) => {
                let handshake = listener.open(stream, address);
                spawn_handshake(&handshakes, address, handshake, weak.clone());
            }
            Err(report) => {
                log::warn!("[link] connection not accepted: {report:#}");
                LinkFault::AcceptFailed.count();
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn spawn_handshake(
    handshakes: &sync::Arc<tokio::sync::Semaphore>,
    address: net::SocketAddr,
    handshake: impl Future<Output = Result<OpenLink, Report<WireError>>> + Send + 'static,
    weak: sync::Weak<LinkShared>,
) {
    let Ok(permit) = sync::Arc::clone(handshakes).try_acquire_owned() else {
        LinkFault::HandshakesFull.count();
        return;
    };
    tokio::spawn(async move {
        let result = handshake.await;
        drop(permit);
        match result {
            Ok(link) => {
                if let Some(shared) = weak.upgrade() {
                    shared.add_accepted(link);
                }
            }
            Err(report) => {
                log::info!("[link] {address}: link refused: {report:#}");
                LinkFault::from_report(&report).count();
            }
        }
    });
}

fn note_end(weak: &sync::Weak<LinkShared>, vm: VmId, id: u64, end: ReadEnd) {
    if let ReadEnd::Fault(fault) = end {
        fault.count();
        log::info!("[link] {vm}: link closed: {fault}");
    }
    if let Some(shared) = weak.upgrade()
        && let Some(entry) = shared.lock_peers().get_mut(&vm)
    {
        entry.close(id);
    }
}

/// Returns the pause after a failed connection, with jitter so that gateways do not reconnect to a
/// restarted peer at the same moment.
fn backoff(settings: &LinkSettings, failures: u32) -> time::Duration {
    let pause = settings.initial_backoff * 2_u32.pow(failures.min(10));
    let pause = pause.min(settings.max_backoff);
    pause.mul_f64(rand::rng().random_range(0.5..1.0))
}
