//! Task that reads the messages of a link.

use std::sync;
use std::time;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use tokio::sync::{mpsc, oneshot};
use tokio_tungstenite::tungstenite;
use toucanledge_core::VmId;

use super::counters::KindCounters;
use super::fault::LinkFault;
use super::hello::LinkSocket;
use super::inflow::PeerInflow;
use super::writer::WriteEnd;
use crate::codec;
use crate::message::{MessageKind, PeerMessage};

/// What the reader of a link needs.
pub struct LinkReader {
    pub vm: VmId,
    pub inbound: mpsc::Sender<(VmId, PeerMessage)>,
    pub inflow: sync::Arc<PeerInflow>,
    pub received: sync::Arc<KindCounters>,
    pub close_after: time::Duration,
}

/// Why the reader of a link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadEnd {
    /// The peer or this gateway closed the link in order.
    Closed,
    /// The link was closed because of a fault.
    Fault(LinkFault),
}

impl ReadEnd {
    fn after_writer(end: Option<WriteEnd>) -> Self {
        match end {
            Some(WriteEnd::Failed) => Self::Fault(LinkFault::ConnectionLost),
            Some(WriteEnd::Closed) | None => Self::Closed,
        }
    }
}

type LinkStream = stream::SplitStream<LinkSocket>;

impl LinkReader {
    /// Reads messages until the link closes, a fault ends it or the writer ended.
    pub async fn read_link(
        &self,
        mut stream: LinkStream,
        mut writer_ended: oneshot::Receiver<WriteEnd>,
    ) -> ReadEnd {
        let mut silence = tokio::time::interval(self.close_after / 4);
        let mut heard = time::Instant::now();
        loop {
            let item = tokio::select! {
                biased;
                end = &mut writer_ended => return ReadEnd::after_writer(end.ok()),
                item = stream.next() => item,
                _ = silence.tick() => {
                    if heard.elapsed() < self.close_after {
                        continue;
                    }
                    return ReadEnd::Fault(LinkFault::Silent);
                }
            };
            if let Some(end) = self.take_item(item).await {
                return end;
            }
            heard = time::Instant::now();
        }
    }

    async fn take_item(
        &self,
        item: Option<Result<tungstenite::Message, tungstenite::Error>>,
    ) -> Option<ReadEnd> {
        let message = match item {
            None => return Some(ReadEnd::Closed),
            Some(Err(error)) => return Some(ReadEnd::Fault(LinkFault::of_socket(&error))),
            Some(Ok(message)) => message,
        };
        if !self.inflow.admit() {
            return Some(ReadEnd::Fault(LinkFault::Flood));
        }
        match message {
            tungstenite::Message::Binary(frame) => self.take_frame(&frame).await,
            tungstenite::Message::Ping(_) | tungstenite::Message::Pong(_) => None,
            tungstenite::Message::Close(_) => Some(ReadEnd::Closed),
            tungstenite::Message::Text(_) | tungstenite::Message::Frame(_) => {
                Some(ReadEnd::Fault(LinkFault::BadFrame))
            }
        }
    }

    async fn take_frame(&self, frame: &Bytes) -> Option<ReadEnd> {
        let message = match codec::decode(frame) {
            Ok(message) => message,
            Err(report) => {
                log::warn!("[link] {}: bad frame: {report:#}", self.vm);
                return Some(ReadEnd::Fault(LinkFault::from_report(&report)));
            }
        };
        if message.kind() == MessageKind::Hello {
            return Some(ReadEnd::Fault(LinkFault::BadFrame));
        }
        self.received.count(message.kind());
        match self.inbound.send((self.vm, message)).await {
            Ok(()) => None,
            Err(_) => Some(ReadEnd::Closed),
        }
    }
}
