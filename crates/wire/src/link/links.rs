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
use super::peers::{PeerEntry, PushOutcome};
use super::settings::LinkSettings;
use super::shared::LinkShared;
use crate::codec;
use crate::message::PeerMessage;

/// All links of a gateway; clones share them.
///
/// Every received message goes to the inbound channel with the VM it came from. When that channel
/// is full, links stop reading, so peers are slowed down and no message is lost. All tasks end
/// when the receiver of that channel or every clone is dropped.
#[derive(Clone, Debug)]
pub struct PeerLinks {
    shared: sync::Arc<LinkShared>,
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
        let shared = LinkShared::new(identity, source, inbound, settings);
        Self {
            shared: sync::Arc::new(shared),
        }
    }

    /// Sends a message to a peer, over any open link to it.
    ///
    /// Without an open link, a link to `address` is opened and the message waits for it. Must be
    /// called within a tokio runtime. The message may still be lost when the link breaks. A message
    /// to this gateway itself goes to its inbound channel.
    ///
    /// Messages arrive in the order of sending, except that one sent over a new link may overtake
    /// one that waits on an older link or on one that is being opened.
    pub fn send(&self, vm: VmId, address: net::SocketAddr, message: &PeerMessage) -> SendOutcome {
        let outcome = if self.shared.is_own(vm) {
            self.shared.deliver(message.clone())
        } else {
            self.encode_and_send(vm, address, message)
        };
        self.shared.count_sent(message.kind(), outcome);
        outcome
    }

    /// Accepts links from peers in a task of its own.
    pub fn listen(&self, listener: tokio_net::TcpListener) {
        LinkShared::accept(&self.shared, listener);
    }

    /// Closes all links to a peer, so that the next message opens a new one.
    ///
    /// Used when heartbeats show that a peer is gone, before the silence of the link does.
    pub fn close_peer(&self, vm: VmId) {
        if let Some(entry) = self.shared.lock_peers().get_mut(&vm) {
            entry.close_all();
        }
    }

    /// Forgets a peer that left the VM list, and closes its links.
    pub fn remove_peer(&self, vm: VmId) {
        self.shared.lock_peers().remove(&vm);
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
        let mut peers = self.shared.lock_peers();
        let entry = self.shared.entry(&mut peers, vm);
        match push_frame(entry, &frame) {
            Some(outcome) => outcome,
            None => self.shared.start_opening(entry, vm, address, frame),
        }
    }
}

/// Offers a frame to the links of a peer; `None` when it needs a new link.
fn push_frame(entry: &mut PeerEntry, frame: &Bytes) -> Option<SendOutcome> {
    let Some((queue, outcome)) = entry.queue() else {
        return entry
            .must_wait(time::Instant::now())
            .then_some(SendOutcome::Backoff);
    };
    match queue.push(frame.clone()) {
        PushOutcome::Queued => Some(outcome),
        PushOutcome::Full => Some(SendOutcome::QueueFull),
        PushOutcome::Closed => {
            let id = queue.id;
            entry.close(id);
            None
        }
    }
}
