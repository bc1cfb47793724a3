//! Shared state and tasks of the links of a gateway.

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
use super::counters::MessageCounters;
use super::fault::LinkFault;
use super::hello::{OpenLink, PeerIdentity};
use super::listener::LinkListener;
use super::outcome::SendOutcome;
use super::peers::{LinkQueueReceiver, LinkQueueSender, PeerLinkState, PeerMap, PushOutcome};
use super::reader::{LinkReader, ReaderExit};
use super::settings::LinkSettings;
use super::writer;
use crate::error::WireError;
use crate::message::{MessageKind, PeerMessage};

/// State that the clones of [`PeerLinks`](super::PeerLinks) share.
///
/// Tasks hold weak references, so the state is dropped with the last clone. The queues then close,
/// which ends the tasks.
#[derive(Debug)]
pub struct PeerLinksInner {
    identity: PeerIdentity,
    settings: LinkSettings,
    connector: LinkConnector,
    inbound: mpsc::Sender<(VmId, PeerMessage)>,
    peers: sync::Mutex<PeerMap>,
    next_id: atomic::AtomicU64,
    sent: MessageCounters,
    received: sync::Arc<MessageCounters>,
    /// Dropped with the state, which ends the acceptor task.
    shutdown: watch::Sender<()>,
}

/// Largest number of handshakes in progress; bounds what unauthenticated connections can occupy.
const MAX_HANDSHAKES: usize = 256;
/// Delay after a failed accept, which would fail again at once while no file descriptors are left.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);
/// Number of stored peers at which those without a link are removed before another is added.
const MAX_STORED_PEERS: usize = 1_024;

impl PeerLinksInner {
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
            sent: MessageCounters::new("toucanledge_link_sent_total"),
            received: sync::Arc::new(MessageCounters::new("toucanledge_link_received_total")),
            shutdown: watch::Sender::new(()),
        }
    }

    /// Starts the task that accepts links.
    pub fn spawn_acceptor(shared: &sync::Arc<Self>, listener: tokio_net::TcpListener) {
        let listener = LinkListener::new(shared.identity, listener, shared.settings);
        let shutdown = shared.shutdown.subscribe();
        let inbound = shared.inbound.clone();
        let weak = sync::Arc::downgrade(shared);
        tokio::spawn(accept_links(listener, weak, shutdown, inbound));
    }

    /// Locks the state of all peers.
    pub fn lock_peers(&self) -> sync::MutexGuard<'_, PeerMap> {
        self.peers
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Returns the state of a peer; creates it for a new peer.
    pub fn entry<'peers>(&self, peers: &'peers mut PeerMap, vm: VmId) -> &'peers mut PeerLinkState {
        if peers.len() >= MAX_STORED_PEERS && !peers.contains_key(&vm) {
            peers.retain(|_, entry| entry.has_link());
        }
        peers
            .entry(vm)
            .or_insert_with(|| PeerLinkState::new(&self.settings))
    }

    /// Returns whether a VM is that of this gateway.
    pub fn is_self(&self, vm: VmId) -> bool {
        vm == self.identity.vm
    }

    /// Delivers a message of this gateway to itself.
    pub fn deliver_to_self(&self, message: PeerMessage) -> SendOutcome {
        match self.inbound.try_send((self.identity.vm, message)) {
            Ok(()) => SendOutcome::Queued,
            Err(_) => SendOutcome::QueueFull,
        }
    }

    /// Counts a message by the outcome of sending it.
    pub fn count_sent(&self, kind: MessageKind, outcome: SendOutcome) {
        match outcome.fault() {
            Some(fault) => fault.count(),
            None => self.sent.count(kind),
        }
    }

    /// Starts a task that opens a link, with a first frame in its queue.
    pub fn start_connect(
        self: &sync::Arc<Self>,
        entry: &mut PeerLinkState,
        vm: VmId,
        address: net::SocketAddr,
        frame: Bytes,
    ) -> SendOutcome {
        let (queue, frames) = self.new_queue();
        if queue.try_push(frame) != PushOutcome::Queued {
            return SendOutcome::QueueFull;
        }
        let id = queue.id;
        entry.set_connecting(queue);
        let connector = self.connector.clone();
        let weak = sync::Arc::downgrade(self);
        tokio::spawn(async move {
            let result = connector.connect(address).await;
            if let Some(shared) = weak.upgrade() {
                shared.finish_connect(vm, id, result, frames);
            }
        });
        SendOutcome::Opening
    }

    fn new_queue(&self) -> (LinkQueueSender, LinkQueueReceiver) {
        let id = self.next_id.fetch_add(1, atomic::Ordering::Relaxed);
        LinkQueueSender::new(id, &self.settings)
    }

    fn finish_connect(
        self: &sync::Arc<Self>,
        vm: VmId,
        id: u64,
        result: Result<OpenLink, Report<WireError>>,
        frames: LinkQueueReceiver,
    ) {
        let link = match result {
            Ok(link) if link.peer.vm == vm => link,
            Ok(link) => {
                log::warn!(
                    "[link] {vm}: link not opened: its address belongs to {}",
                    link.peer.vm
                );
                return self.fail_connect(vm, id, LinkFault::WrongPeer, &frames);
            }
            Err(report) => {
                log::info!("[link] {vm}: link not opened: {report:#}");
                return self.fail_connect(vm, id, LinkFault::from_report(&report), &frames);
            }
        };
        let mut peers = self.lock_peers();
        let entry = self.entry(&mut peers, vm);
        match entry.take_connecting(id) {
            Some(queue) => self.start_link(entry, link, queue, frames),
            None => LinkFault::Undelivered.count_many(frames.frames.len() as u64),
        }
    }

    fn fail_connect(&self, vm: VmId, id: u64, fault: LinkFault, frames: &LinkQueueReceiver) {
        fault.count();
        let mut peers = self.lock_peers();
        let entry = self.entry(&mut peers, vm);
        let backoff = backoff(&self.settings, entry.failures());
        entry.record_connect_failure(id, backoff);
        LinkFault::Undelivered.count_many(frames.frames.len() as u64);
    }

    fn add_accepted(self: &sync::Arc<Self>, link: OpenLink) {
        if self.is_self(link.peer.vm) {
            log::warn!("[link] link refused: another process has the id of this VM");
            return LinkFault::WrongPeer.count();
        }
        let (queue, frames) = self.new_queue();
        let mut peers = self.lock_peers();
        let entry = self.entry(&mut peers, link.peer.vm);
        self.start_link(entry, link, queue, frames);
    }

    fn start_link(
        self: &sync::Arc<Self>,
        entry: &mut PeerLinkState,
        link: OpenLink,
        queue: LinkQueueSender,
        frames: LinkQueueReceiver,
    ) {
        let id = queue.id;
        if !entry.add_link(link.peer.incarnation, queue) {
            LinkFault::Undelivered.count_many(frames.frames.len() as u64);
            return;
        }
        let reader = LinkReader {
            vm: link.peer.vm,
            inbound: self.inbound.clone(),
            rate_limiter: entry.rate_limiter(),
            received: sync::Arc::clone(&self.received),
            idle_timeout: self.settings.idle_timeout,
        };
        self.spawn_tasks(id, link, reader, frames);
    }

    fn spawn_tasks(
        self: &sync::Arc<Self>,
        id: u64,
        link: OpenLink,
        reader: LinkReader,
        frames: LinkQueueReceiver,
    ) {
        let (sink, stream) = link.socket.split();
        let (reader_ended_sender, reader_ended) = oneshot::channel();
        let (writer_ended_sender, writer_ended) = oneshot::channel();
        let ping_interval = self.settings.ping_interval;
        let weak = sync::Arc::downgrade(self);
        tokio::spawn(async move {
            let exit = writer::write_link(sink, frames, reader_ended, ping_interval).await;
            // The reader task may have ended.
            let _ = writer_ended_sender.send(exit);
        });
        tokio::spawn(async move {
            let exit = reader.run(stream, writer_ended).await;
            drop::<oneshot::Sender<()>>(reader_ended_sender);
            record_exit(&weak, reader.vm, id, exit);
        });
    }
}

async fn accept_links(
    listener: LinkListener,
    weak: sync::Weak<PeerLinksInner>,
    mut shutdown: watch::Receiver<()>,
    inbound: mpsc::Sender<(VmId, PeerMessage)>,
) {
    let handshakes = sync::Arc::new(tokio::sync::Semaphore::new(MAX_HANDSHAKES));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = shutdown.changed() => return,
            () = inbound.closed() => return,
        };
        match accepted {
            Ok((stream, address)) => {
                let handshake = listener.open(stream, address);
                spawn_handshake(&handshakes, address, handshake, weak.clone());
            }
            Err(report) => {
                log::warn!("[link] accepting a connection failed: {report:#}");
                LinkFault::AcceptFailed.count();
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn spawn_handshake(
    handshakes: &sync::Arc<tokio::sync::Semaphore>,
    address: net::SocketAddr,
    handshake: impl Future<Output = Result<OpenLink, Report<WireError>>> + Send + 'static,
    weak: sync::Weak<PeerLinksInner>,
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

fn record_exit(weak: &sync::Weak<PeerLinksInner>, vm: VmId, id: u64, exit: ReaderExit) {
    if let ReaderExit::Fault(fault) = exit {
        fault.count();
        log::info!("[link] {vm}: link closed: {fault}");
    }
    if let Some(shared) = weak.upgrade()
        && let Some(entry) = shared.lock_peers().get_mut(&vm)
    {
        entry.remove_link(id);
    }
}

/// Returns the back-off after a failed connection, with jitter so that gateways do not reconnect
/// to a restarted peer all at once.
fn backoff(settings: &LinkSettings, failures: u32) -> time::Duration {
    let backoff = settings.initial_backoff * 2_u32.pow(failures.min(10));
    let backoff = backoff.min(settings.max_backoff);
    backoff.mul_f64(rand::rng().random_range(0.5..1.0))
}
