//! Links and reconnect state of the peers.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use bytes::Bytes;
use tokio::sync::mpsc;
use toucanledge_core::{Incarnation, VmId};

use super::fault::LinkFault;
use super::outcome::SendOutcome;
use super::rate_limit::PeerRateLimiter;
use super::settings::LinkSettings;

/// Sending half of the frame queue of a link.
#[derive(Clone, Debug)]
pub struct LinkQueueSender {
    /// Identifies the link within this gateway.
    pub id: u64,
    frames: mpsc::Sender<Bytes>,
    queued_bytes: sync::Arc<atomic::AtomicUsize>,
    max_bytes: usize,
}

/// Receiving half of the frame queue of a link, for its writer task.
#[derive(Debug)]
pub struct LinkQueueReceiver {
    pub frames: mpsc::Receiver<Bytes>,
    pub queued_bytes: sync::Arc<atomic::AtomicUsize>,
}

/// Outcome of [`LinkQueueSender::try_push`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PushOutcome {
    Queued,
    Full,
    Closed,
}

/// Links and reconnect state of one peer.
#[derive(Debug)]
pub struct PeerLinkState {
    incarnation: Incarnation,
    open: Vec<LinkQueueSender>,
    connecting: Option<LinkQueueSender>,
    /// Connections that failed in a row.
    failures: u32,
    retry_at: Option<time::Instant>,
    rate_limiter: sync::Arc<PeerRateLimiter>,
}

/// Links and reconnect state of all peers.
pub type PeerMap = collections::HashMap<VmId, PeerLinkState>;

/// Largest number of open links to one peer: one opened by each side, and one that replaces either.
const MAX_LINKS_PER_PEER: usize = 3;

impl LinkQueueSender {
    /// Creates the queue of a link.
    pub fn new(id: u64, settings: &LinkSettings) -> (Self, LinkQueueReceiver) {
        let (sender, receiver) = mpsc::channel(settings.max_queued_messages);
        let queued_bytes = sync::Arc::new(atomic::AtomicUsize::new(0));
        let sender = Self {
            id,
            frames: sender,
            queued_bytes: sync::Arc::clone(&queued_bytes),
            max_bytes: settings.max_queued_bytes,
        };
        let receiver = LinkQueueReceiver {
            frames: receiver,
            queued_bytes,
        };
        (sender, receiver)
    }

    /// Queues a frame, unless the queue is full or closed.
    pub fn try_push(&self, frame: Bytes) -> PushOutcome {
        let size = frame.len();
        let queued = self.queued_bytes.fetch_add(size, atomic::Ordering::Relaxed);
        let outcome = if queued + size > self.max_bytes {
            PushOutcome::Full
        } else {
            self.try_send(frame)
        };
        if outcome != PushOutcome::Queued {
            self.queued_bytes.fetch_sub(size, atomic::Ordering::Relaxed);
        }
        outcome
    }

    fn try_send(&self, frame: Bytes) -> PushOutcome {
        match self.frames.try_send(frame) {
            Ok(()) => PushOutcome::Queued,
            Err(mpsc::error::TrySendError::Full(_)) => PushOutcome::Full,
            Err(mpsc::error::TrySendError::Closed(_)) => PushOutcome::Closed,
        }
    }

    fn is_closed(&self) -> bool {
        self.frames.is_closed()
    }
}

impl PeerLinkState {
    /// Creates the state of a peer without links.
    pub fn new(settings: &LinkSettings) -> Self {
        Self {
            incarnation: Incarnation::default(),
            open: Vec::new(),
            connecting: None,
            failures: 0,
            retry_at: None,
            rate_limiter: sync::Arc::new(PeerRateLimiter::new(settings.max_messages_per_second)),
        }
    }

    /// Returns the rate limiter for the peer's messages.
    pub fn rate_limiter(&self) -> sync::Arc<PeerRateLimiter> {
        sync::Arc::clone(&self.rate_limiter)
    }

    /// Returns the queue to use: of the oldest open link, or else of the one that is being opened.
    ///
    /// Using the oldest link keeps the messages to a peer in order.
    pub fn active_queue(&mut self) -> Option<(&LinkQueueSender, SendOutcome)> {
        self.open.retain(|link| !link.is_closed());
        let open = self.open.first().map(|queue| (queue, SendOutcome::Queued));
        open.or_else(|| {
            let connecting = self.connecting.as_ref()?;
            Some((connecting, SendOutcome::Opening))
        })
    }

    /// Returns whether the back-off after failed connections has not passed yet.
    pub fn is_backing_off(&self, now: time::Instant) -> bool {
        self.retry_at.is_some_and(|retry_at| now < retry_at)
    }

    /// Records that a link is being opened.
    pub fn set_connecting(&mut self, queue: LinkQueueSender) {
        self.connecting = Some(queue);
    }

    /// Records a failed connection and the back-off until the next one.
    pub fn record_connect_failure(&mut self, id: u64, backoff: time::Duration) {
        self.take_connecting(id);
        self.failures = self.failures.saturating_add(1);
        self.retry_at = Some(time::Instant::now() + backoff);
    }

    /// Returns the number of connections that failed in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Adds an open link, unless a newer incarnation of the peer is known.
    pub fn add_link(&mut self, incarnation: Incarnation, queue: LinkQueueSender) -> bool {
        if incarnation < self.incarnation {
            LinkFault::OldIncarnation.count();
            return false;
        }
        self.start_incarnation(incarnation);
        self.failures = 0;
        self.retry_at = None;
        self.open.retain(|link| !link.is_closed());
        if self.open.len() >= MAX_LINKS_PER_PEER {
            self.open.remove(0);
            LinkFault::Replaced.count();
        }
        self.open.push(queue);
        true
    }

    /// Removes a closed link.
    pub fn remove_link(&mut self, id: u64) {
        self.open.retain(|link| link.id != id);
        self.take_connecting(id);
    }

    /// Removes all links, so that the next message opens a new one.
    pub fn close_all(&mut self) {
        self.open.clear();
        self.connecting = None;
    }

    fn start_incarnation(&mut self, incarnation: Incarnation) {
        if incarnation == self.incarnation {
            return;
        }
        LinkFault::OldIncarnation.count_many(self.open.len() as u64);
        self.incarnation = incarnation;
        self.open.clear();
    }

    /// Takes the queue of the link that is being opened, unless that link was closed meanwhile.
    pub fn take_connecting(&mut self, id: u64) -> Option<LinkQueueSender> {
        self.connecting.take_if(|queue| queue.id == id)
    }

    /// Returns whether the peer has a link that is open or being opened.
    pub fn has_link(&self) -> bool {
        !self.open.is_empty() || self.connecting.is_some()
    }
}
