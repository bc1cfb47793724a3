//! All links of a gateway.

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use tokio::net as tokio_net;
use tokio::sync::mpsc;
use toucanledge_core::{Incarnation, VmId};

use super::hello::PeerIdentity;
use super::outcome::SendOutcome;
use super::peers::{PeerLinkState, PushOutcome};
use super::settings::LinkSettings;
use super::shared::PeerLinksInner;
use crate::codec;
use crate::message::PeerMessage;

/// All links of a gateway; clones share them.
///
/// Received messages go to the inbound channel, each with the VM of its sender. When that channel
/// is full, links stop reading, which slows the peers down and loses no message. All tasks end
/// when the receiver of that channel or every clone is dropped.
#[derive(Clone, Debug)]
pub struct PeerLinks {
    inner: sync::Arc<PeerLinksInner>,
}

impl PeerLinks {
    /// Creates the links of a gateway with the default settings.
    #[must_use]
    pub fn new(
        vm: VmId,
        incarnation: Incarnation,
        source: Option<net::IpAddr>,
        inbound: mpsc::Sender<(VmId, PeerMessage)>,
    ) -> Self {
        Self::with_settings(vm, incarnation, source, inbound, LinkSettings::default())
    }

    /// Creates the links of a gateway.
    #[must_use]
    pub fn with_settings(
        vm: VmId,
        incarnation: Incarnation,
        source: Option<net::IpAddr>,
        inbound: mpsc::Sender<(VmId, PeerMessage)>,
        settings: LinkSettings,
    ) -> Self {
        let identity = PeerIdentity { vm, incarnation };
        let inner = PeerLinksInner::new(identity, source, inbound, settings);
        Self {
            inner: sync::Arc::new(inner),
        }
    }

    /// Sends a message to a peer over an open link.
    ///
    /// Without an open link, a link to `address` is opened and the message waits for it. A message
    /// may still be lost when its link fails. A message to this gateway itself goes to its inbound
    /// channel. Must be called within a tokio runtime.
    ///
    /// Messages arrive in the order of sending, except that one on a new link may overtake one that
    /// waits on an older link or on one that is being opened.
    pub fn send(&self, vm: VmId, address: net::SocketAddr, message: &PeerMessage) -> SendOutcome {
        let outcome = if self.inner.is_self(vm) {
            self.inner.deliver_to_self(message.clone())
        } else {
            self.encode_and_send(vm, address, message)
        };
        self.inner.count_sent(message.kind(), outcome);
        outcome
    }

    /// Starts a task that accepts links from peers.
    pub fn listen(&self, listener: tokio_net::TcpListener) {
        PeerLinksInner::spawn_acceptor(&self.inner, listener);
    }

    /// Closes all links to a peer, so that the next message opens a new one.
    ///
    /// Used when heartbeats show that a peer is unreachable, before the idle timeout of the link.
    pub fn close_peer(&self, vm: VmId) {
        if let Some(entry) = self.inner.lock_peers().get_mut(&vm) {
            entry.close_all();
        }
    }

    /// Removes a peer that left the VM list, and closes its links.
    pub fn remove_peer(&self, vm: VmId) {
        self.inner.lock_peers().remove(&vm);
    }

    fn encode_and_send(
        &self,
        vm: VmId,
        address: net::SocketAddr,
        message: &PeerMessage,
    ) -> SendOutcome {
        match codec::encode(message) {
            Ok(frame) => self.send_frame(vm, address, frame),
            Err(report) => {
                log::warn!("[link] {vm}: {} not sent: {report:#}", message.kind());
                SendOutcome::Unencodable
            }
        }
    }

    fn send_frame(&self, vm: VmId, address: net::SocketAddr, frame: Bytes) -> SendOutcome {
        let mut peers = self.inner.lock_peers();
        let entry = self.inner.entry(&mut peers, vm);
        match push_frame(entry, &frame) {
            Some(outcome) => outcome,
            None => self.inner.start_connect(entry, vm, address, frame),
        }
    }
}

/// Queues a frame on a link of the peer; returns `None` when a new link is needed.
fn push_frame(entry: &mut PeerLinkState, frame: &Bytes) -> Option<SendOutcome> {
    let Some((queue, outcome)) = entry.active_queue() else {
        return entry
            .is_backing_off(time::Instant::now())
            .then_some(SendOutcome::Backoff);
    };
    match queue.try_push(frame.clone()) {
        PushOutcome::Queued => Some(outcome),
        PushOutcome::Full => Some(SendOutcome::QueueFull),
        PushOutcome::Closed => {
            let id = queue.id;
            entry.remove_link(id);
            None
        }
    }
}
