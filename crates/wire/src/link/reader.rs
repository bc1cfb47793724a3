//! Task that reads the messages of a link.

use std::sync;
use std::time;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use tokio::sync::{mpsc, oneshot};
use tokio_tungstenite::tungstenite;
use toucanledge_core::VmId;

use super::counters::MessageCounters;
use super::fault::LinkFault;
use super::hello::LinkSocket;
use super::rate_limit::PeerRateLimiter;
use super::writer::WriterExit;
use crate::codec;
use crate::message::{MessageKind, PeerMessage};

/// Reader task of a link.
pub struct LinkReader {
    pub vm: VmId,
    pub inbound: mpsc::Sender<(VmId, PeerMessage)>,
    pub rate_limiter: sync::Arc<PeerRateLimiter>,
    pub received: sync::Arc<MessageCounters>,
    pub idle_timeout: time::Duration,
}

/// Why the reader task of a link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderExit {
    /// The peer or this gateway closed the link normally.
    Closed,
    /// The link was closed because of a fault.
    Fault(LinkFault),
}

impl ReaderExit {
    fn from_writer(exit: Option<WriterExit>) -> Self {
        match exit {
            Some(WriterExit::Failed) => Self::Fault(LinkFault::ConnectionLost),
            Some(WriterExit::Closed) | None => Self::Closed,
        }
    }
}

type LinkStream = stream::SplitStream<LinkSocket>;

impl LinkReader {
    /// Reads messages until the link closes, a fault occurs or the writer task ends.
    pub async fn run(
        &self,
        mut stream: LinkStream,
        mut writer_ended: oneshot::Receiver<WriterExit>,
    ) -> ReaderExit {
        let mut idle_check = tokio::time::interval(self.idle_timeout / 4);
        let mut last_received = time::Instant::now();
        loop {
            let item = tokio::select! {
                biased;
                exit = &mut writer_ended => return ReaderExit::from_writer(exit.ok()),
                item = stream.next() => item,
                _ = idle_check.tick() => {
                    if last_received.elapsed() < self.idle_timeout {
                        continue;
                    }
                    return ReaderExit::Fault(LinkFault::Silent);
                }
            };
            if let Some(exit) = self.handle_item(item).await {
                return exit;
            }
            last_received = time::Instant::now();
        }
    }

    async fn handle_item(
        &self,
        item: Option<Result<tungstenite::Message, tungstenite::Error>>,
    ) -> Option<ReaderExit> {
        let message = match item {
            None => return Some(ReaderExit::Closed),
            Some(Err(error)) => {
                return Some(ReaderExit::Fault(LinkFault::from_socket_error(&error)));
            }
            Some(Ok(message)) => message,
        };
        if !self.rate_limiter.admit() {
            return Some(ReaderExit::Fault(LinkFault::Flood));
        }
        match message {
            tungstenite::Message::Binary(frame) => self.handle_frame(&frame).await,
            tungstenite::Message::Ping(_) | tungstenite::Message::Pong(_) => None,
            tungstenite::Message::Close(_) => Some(ReaderExit::Closed),
            tungstenite::Message::Text(_) | tungstenite::Message::Frame(_) => {
                Some(ReaderExit::Fault(LinkFault::BadFrame))
            }
        }
    }

    async fn handle_frame(&self, frame: &Bytes) -> Option<ReaderExit> {
        let message = match codec::decode(frame) {
            Ok(message) => message,
            Err(report) => {
                log::warn!("[link] {}: invalid frame: {report:#}", self.vm);
                return Some(ReaderExit::Fault(LinkFault::from_report(&report)));
            }
        };
        if message.kind() == MessageKind::Hello {
            return Some(ReaderExit::Fault(LinkFault::BadFrame));
        }
        self.received.count(message.kind());
        match self.inbound.send((self.vm, message)).await {
            Ok(()) => None,
            Err(_) => Some(ReaderExit::Closed),
        }
    }
}
