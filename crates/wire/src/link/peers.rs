//! Links and reconnect state of each peer.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use bytes::Bytes;
use tokio::sync::mpsc;
use toucanledge_core::{Incarnation, VmId};

use super::fault::LinkFault;
use super::inflow::PeerInflow;
use super::outcome::SendOutcome;
use super::settings::LinkSettings;

/// Sender's end of the queue of one link.
#[derive(Clone, Debug)]
pub struct LinkQueue {
    /// Distinguishes the links of a gateway.
    pub id: u64,
    frames: mpsc::Sender<Bytes>,
    waiting_bytes: sync::Arc<atomic::AtomicUsize>,
    byte_limit: usize,
}

/// Writer's end of the queue of one link.
#[derive(Debug)]
pub struct FrameQueue {
    pub frames: mpsc::Receiver<Bytes>,
    pub waiting_bytes: sync::Arc<atomic::AtomicUsize>,
}

/// What became of a frame that was offered to a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PushOutcome {
    Queued,
    Full,
    Closed,
}

/// State of one peer.
#[derive(Debug)]
pub struct PeerEntry {
    incarnation: Incarnation,
    open: Vec<LinkQueue>,
    opening: Option<LinkQueue>,
    failures: u32,
    retry_at: Option<time::Instant>,
    inflow: sync::Arc<PeerInflow>,
}

/// State of all peers.
pub type PeerMap = collections::HashMap<VmId, PeerEntry>;

/// Open links kept for one peer: one that each side opened, and one that replaces either.
const LINKS_PER_PEER: usize = 3;

impl LinkQueue {
    /// Creates the queue of a link.
    pub fn new(id: u64, settings: &LinkSettings) -> (Self, FrameQueue) {
        let (sender, receiver) = mpsc::channel(settings.max_queued_messages);
        let waiting_bytes = sync::Arc::new(atomic::AtomicUsize::new(0));
        let queue = Self {
            id,
            frames: sender,
            waiting_bytes: sync::Arc::clone(&waiting_bytes),
            byte_limit: settings.max_queued_bytes,
        };
        let frames = FrameQueue {
            frames: receiver,
            waiting_bytes,
        };
        (queue, frames)
    }

    /// Queues a frame unless the queue is full or closed.
    pub fn push(&self, frame: Bytes) -> PushOutcome {
        let size = frame.len();
        let waiting = self
            .waiting_bytes
            .fetch_add(size, atomic::Ordering::Relaxed);
        let outcome = if waiting + size > self.byte_limit {
            PushOutcome::Full
        } else {
            self.try_send(frame)
        };
        if outcome != PushOutcome::Queued {
            self.waiting_bytes
                .fetch_sub(size, atomic::Ordering::Relaxed);
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

impl PeerEntry {
    /// Creates the state of a peer without links.
    pub fn new(settings: &LinkSettings) -> Self {
        Self {
            incarnation: Incarnation::default(),
            open: Vec::new(),
            opening: None,
            failures: 0,
            retry_at: None,
            inflow: sync::Arc::new(PeerInflow::new(settings.max_messages_per_second)),
        }
    }

    /// Returns the counter of the peer's messages.
    pub fn inflow(&self) -> sync::Arc<PeerInflow> {
        sync::Arc::clone(&self.inflow)
    }

    /// Returns the queue to use: of the oldest open link, or of the one that is being opened.
    ///
    /// Staying with the oldest link keeps the messages to a peer in order.
    pub fn queue(&mut self) -> Option<(&LinkQueue, SendOutcome)> {
        self.open.retain(|link| !link.is_closed());
        let open = self.open.first().map(|queue| (queue, SendOutcome::Queued));
        open.or_else(|| {
            let opening = self.opening.as_ref()?;
            Some((opening, SendOutcome::Opening))
        })
    }

    /// Returns whether a new connection must wait after failed ones.
    pub fn must_wait(&self, now: time::Instant) -> bool {
        self.retry_at.is_some_and(|retry_at| now < retry_at)
    }

    /// Notes that a link is being opened.
    pub fn note_opening(&mut self, queue: LinkQueue) {
        self.opening = Some(queue);
    }

    /// Notes that a link could not be opened, and when to try again.
    pub fn note_failure(&mut self, id: u64, pause: time::Duration) {
        self.take_opening(id);
        self.failures = self.failures.saturating_add(1);
        self.retry_at = Some(time::Instant::now() + pause);
    }

    /// Returns the number of connections that failed in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Adds an open link, unless the peer is known in a newer incarnation.
    pub fn open(&mut self, incarnation: Incarnation, queue: LinkQueue) -> bool {
        if incarnation < self.incarnation {
            LinkFault::OldIncarnation.count();
            return false;
        }
        self.start_incarnation(incarnation);
        self.failures = 0;
        self.retry_at = None;
        self.open.retain(|link| !link.is_closed());
        if self.open.len() >= LINKS_PER_PEER {
            self.open.remove(0);
            LinkFault::Replaced.count();
        }
        self.open.push(queue);
        true
    }

    /// Removes a link that closed.
    pub fn close(&mut self, id: u64) {
        self.open.retain(|link| link.id != id);
        self.take_opening(id);
    }

    /// Removes all links, so that the next message opens a new one.
    pub fn close_all(&mut self) {
        self.open.clear();
        self.opening = None;
    }

    fn start_incarnation(&mut self, incarnation: Incarnation) {
        if incarnation == self.incarnation {
            return;
        }
        LinkFault::OldIncarnation.count_many(self.open.len() as u64);
        self.incarnation = incarnation;
        self.open.clear();
    }

    /// Returns the queue of the link that is being opened, unless it was closed meanwhile.
    pub fn take_opening(&mut self, id: u64) -> Option<LinkQueue> {
        self.opening.take_if(|queue| queue.id == id)
    }

    /// Returns whether the peer has a link that is open or being opened.
    pub fn has_link(&self) -> bool {
        !self.open.is_empty() || self.opening.is_some()
    }
}
