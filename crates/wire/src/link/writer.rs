//! Task that writes the queued frames of a link.

use std::sync::atomic;
use std::time;

use bytes::Bytes;
use futures_util::{SinkExt, stream};
use tokio::sync::oneshot;
use tokio_tungstenite::tungstenite;

use super::fault::LinkFault;
use super::hello::LinkSocket;
use super::peers::LinkQueueReceiver;

/// Largest number of frames written before a flush; bounds the delay of the first of them.
const MAX_FRAMES_PER_FLUSH: usize = 64;
const CLOSE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

type LinkSink = stream::SplitSink<LinkSocket, tungstenite::Message>;

/// Why the writer task of a link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriterExit {
    /// The queue was closed or the reader task ended.
    Closed,
    /// The connection failed.
    Failed,
}

/// Writes queued frames until the queue closes, the reader task ends or the connection fails.
pub async fn write_link(
    mut sink: LinkSink,
    mut queue: LinkQueueReceiver,
    mut reader_ended: oneshot::Receiver<()>,
    ping_interval: time::Duration,
) -> WriterExit {
    let exit = tokio::select! {
        // The reader task may end while a write waits for a peer that does not read.
        _ = &mut reader_ended => WriterExit::Closed,
        exit = write_queue(&mut sink, &mut queue, ping_interval) => exit,
    };
    LinkFault::Undelivered.count_many(queue.frames.len() as u64);
    if exit == WriterExit::Closed {
        // Without a timeout, a peer that does not read would keep the task from ending.
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, sink.close()).await;
    }
    exit
}

async fn write_queue(
    sink: &mut LinkSink,
    queue: &mut LinkQueueReceiver,
    ping_interval: time::Duration,
) -> WriterExit {
    let mut batch = Vec::with_capacity(MAX_FRAMES_PER_FLUSH);
    loop {
        let received = tokio::select! {
            biased;
            number = queue.frames.recv_many(&mut batch, MAX_FRAMES_PER_FLUSH) => Some(number),
            () = tokio::time::sleep(ping_interval) => None,
        };
        let written = match received {
            Some(0) => return WriterExit::Closed,
            Some(_) => write_batch(sink, &mut batch, queue).await,
            None => sink.send(tungstenite::Message::Ping(Bytes::new())).await,
        };
        if written.is_err() {
            return WriterExit::Failed;
        }
    }
}

async fn write_batch(
    sink: &mut LinkSink,
    batch: &mut Vec<Bytes>,
    queue: &LinkQueueReceiver,
) -> Result<(), tungstenite::Error> {
    let size = batch.iter().map(Bytes::len).sum();
    queue
        .queued_bytes
        .fetch_sub(size, atomic::Ordering::Relaxed);
    for frame in batch.drain(..) {
        sink.feed(tungstenite::Message::Binary(frame)).await?;
    }
    sink.flush().await
}
