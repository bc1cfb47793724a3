//! TCP forwarding of the fault proxy.

use std::collections;
use std::io;
use std::net;
use std::os::fd;
use std::sync;
use std::sync::atomic;
use std::time;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp;
use tokio::sync::{broadcast, oneshot, watch};

use super::control::{ProxyCounts, ProxyLink, ProxyState};
use super::rule::{LinkDirection, LinkFaults, LinkKey, LinkSelection, LossMode, RuleSet};
use crate::timer;

/// Size of the read buffer of each direction.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Number of buffered bytes at which reading pauses in a delayed or held direction.
const MAX_QUEUED_BYTES: usize = 1 << 20;

/// Time after which a connection is reset if a direction discards bytes and its sender closed.
const DISCARD_RESET_SECONDS: u64 = 60;

type RuleReceiver = watch::Receiver<sync::Arc<RuleSet>>;

/// Forwards one direction of a connection with its faults; buffers bytes that are not yet due.
struct DirectionRelay<'a> {
    counts: &'a ProxyCounts,
    rules: RuleReceiver,
    link: LinkKey,
    direction: LinkDirection,
    faults: LinkFaults,
    queue: collections::VecDeque<QueuedChunk>,
    queued_bytes: usize,
    timer: Option<oneshot::Receiver<()>>,
    /// Whether bytes were discarded; no later byte is forwarded, which would leave a gap.
    is_discarding: bool,
}

/// Bytes with the time at which they may be written; an empty chunk is the end of the stream.
struct QueuedChunk {
    due: time::Instant,
    bytes: bytes::Bytes,
}

/// Accepts and forwards the connections of a link.
pub async fn serve_tcp(
    state: sync::Arc<ProxyState>,
    link: ProxyLink,
    listener: tokio::net::TcpListener,
) -> io::Result<()> {
    loop {
        let (stream, source) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("could not accept a connection on {}: {error}", link.listen);
                tokio::time::sleep(time::Duration::from_millis(10)).await;
                continue;
            }
        };
        let state = sync::Arc::clone(&state);
        tokio::spawn(async move {
            state
                .counts
                .connections
                .fetch_add(1, atomic::Ordering::Relaxed);
            if let Err(error) = forward_connection(&state, link, stream, source.ip()).await {
                log::debug!("connection of {source} to {} failed: {error}", link.listen);
            }
            state
                .counts
                .connections
                .fetch_sub(1, atomic::Ordering::Relaxed);
        });
    }
}

/// Forwards one connection until it ends, is cut or is reset; only a clean end sends FIN.
async fn forward_connection(
    state: &ProxyState,
    link: ProxyLink,
    mut source_stream: tokio::net::TcpStream,
    source: net::IpAddr,
) -> io::Result<()> {
    let key = LinkKey {
        source,
        target: link.listen.ip(),
    };
    let mut rules = state.rules.subscribe();
    let mut resets = state.resets.subscribe();
    let connected = tokio::select! {
        connected = connect_target(&mut source_stream, link, key, rules.clone()) => connected,
        () = wait_for_cut_or_reset(&mut rules, &mut resets, key) => {
            Err(io::ErrorKind::ConnectionReset.into())
        }
    };
    let (mut target_stream, early_bytes) = match connected {
        Ok(connected) => connected,
        Err(error) => {
            reset_on_close(&source_stream);
            return Err(error);
        }
    };
    let mut upstream = DirectionRelay::new(state, key, LinkDirection::Upstream);
    let mut downstream = DirectionRelay::new(state, key, LinkDirection::Downstream);
    upstream.queue_early_bytes(early_bytes);
    let (source_read, source_write) = source_stream.split();
    let (target_read, target_write) = target_stream.split();
    let result = tokio::select! {
        result = async { tokio::try_join!(
            upstream.run(source_read, target_write),
            downstream.run(target_read, source_write),
        ) } => result.map(|_| ()),
        () = wait_for_cut_or_reset(&mut rules, &mut resets, key) => {
            Err(io::ErrorKind::ConnectionReset.into())
        }
    };
    if result.is_err() {
        reset_on_close(&source_stream);
        reset_on_close(&target_stream);
    }
    result
}

/// Opens the connection to the target from the source IP address; also returns the bytes read
/// meanwhile.
///
/// While a direction loses its bytes, no handshake would succeed, so connecting waits for the end
/// of the loss. If the source closes before that, nothing it sent reaches the target.
async fn connect_target(
    source_stream: &mut tokio::net::TcpStream,
    link: ProxyLink,
    key: LinkKey,
    mut rules: RuleReceiver,
) -> io::Result<(tokio::net::TcpStream, bytes::Bytes)> {
    let mut early_bytes = bytes::BytesMut::new();
    while rules.borrow_and_update().is_lossy(key) {
        tokio::select! {
            changed = rules.changed() => changed.map_err(io::Error::other)?,
            read = source_stream.read_buf(&mut early_bytes),
                if early_bytes.len() < MAX_QUEUED_BYTES =>
            {
                if read? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
        }
    }
    let socket = tokio::net::TcpSocket::new_v4()?;
    // A cut drops this future while it connects; the close must be a reset in that case, too.
    reset_on_close(&socket);
    // A bound socket needs a local port that no other connection of the address uses, and those in
    // TIME-WAIT exhaust the range within a minute. Sources on the default address need no binding.
    if key.source != net::IpAddr::V4(net::Ipv4Addr::LOCALHOST) {
        socket.bind(net::SocketAddr::new(key.source, 0))?;
    }
    let target_stream = socket.connect(link.target).await?;
    source_stream.set_nodelay(true)?;
    target_stream.set_nodelay(true)?;
    socket2::SockRef::from(&target_stream).set_linger(None)?;
    Ok((target_stream, early_bytes.freeze()))
}

/// Returns when a rule cuts the link or a control request resets its connections.
async fn wait_for_cut_or_reset(
    rules: &mut RuleReceiver,
    resets: &mut broadcast::Receiver<LinkSelection>,
    key: LinkKey,
) {
    while !rules.borrow_and_update().is_cut(key) {
        tokio::select! {
            _ = rules.changed() => {}
            reset = resets.recv() => {
                if reset.is_ok_and(|links| key.matches(&links.sources, &links.targets)) {
                    return;
                }
            }
        }
    }
}

/// Makes the socket send a reset when it is closed.
fn reset_on_close(stream: &impl fd::AsFd) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(time::Duration::ZERO));
}

impl<'a> DirectionRelay<'a> {
    fn new(state: &'a ProxyState, link: LinkKey, direction: LinkDirection) -> Self {
        let mut relay = Self {
            counts: &state.counts,
            rules: state.rules.subscribe(),
            link,
            direction,
            faults: LinkFaults::default(),
            queue: collections::VecDeque::new(),
            queued_bytes: 0,
            timer: None,
            is_discarding: false,
        };
        relay.refresh_faults();
        relay
    }

    async fn run(
        &mut self,
        mut reader: tcp::ReadHalf<'_>,
        mut writer: tcp::WriteHalf<'_>,
    ) -> io::Result<()> {
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        let mut is_open = true;
        loop {
            let is_held = self.faults.loss == LossMode::Hold;
            let may_write = !is_held && !self.queue.is_empty();
            tokio::select! {
                biased;
                () = Self::wait_until_due(&mut self.timer), if may_write => {
                    if self.write_front(&mut writer).await? {
                        return Ok(());
                    }
                }
                _ = self.rules.changed() => self.refresh_faults(),
                read = reader.read(&mut buffer),
                    if is_open && self.queued_bytes < MAX_QUEUED_BYTES =>
                {
                    let bytes = &buffer[..read?];
                    is_open = !bytes.is_empty();
                    self.counts.add_bytes(self.link.target, bytes.len());
                    self.handle_read(bytes, &mut writer).await?;
                }
                () = tokio::time::sleep(time::Duration::from_secs(DISCARD_RESET_SECONDS)),
                    if self.is_discarding && !is_open => return Err(io::ErrorKind::TimedOut.into()),
            }
        }
    }

    /// Writes, queues or discards the bytes that were read.
    async fn handle_read(
        &mut self,
        bytes: &[u8],
        writer: &mut tcp::WriteHalf<'_>,
    ) -> io::Result<()> {
        self.refresh_faults();
        self.is_discarding |= self.faults.loss == LossMode::Discard;
        if self.is_discarding {
            return Ok(());
        }
        let delay = self.faults.sample_delay();
        let is_undisturbed = self.queue.is_empty() && self.faults.loss == LossMode::None;
        if is_undisturbed && delay.is_zero() && !bytes.is_empty() {
            return writer.write_all(bytes).await;
        }
        self.queue_chunk(bytes::Bytes::copy_from_slice(bytes), delay);
        Ok(())
    }

    fn queue_early_bytes(&mut self, bytes: bytes::Bytes) {
        if !bytes.is_empty() {
            self.queue_chunk(bytes, self.faults.sample_delay());
        }
    }

    /// Queues a chunk; its due time is never before that of an earlier one, so order is kept.
    fn queue_chunk(&mut self, bytes: bytes::Bytes, delay: time::Duration) {
        let due = time::Instant::now() + delay;
        let due = self.queue.back().map_or(due, |last| due.max(last.due));
        self.queued_bytes += bytes.len();
        self.queue.push_back(QueuedChunk { due, bytes });
        self.start_timer();
    }

    /// Writes the first chunk; returns whether it was the end of the stream.
    async fn write_front(&mut self, writer: &mut tcp::WriteHalf<'_>) -> io::Result<bool> {
        self.timer = None;
        let Some(chunk) = self.queue.pop_front() else {
            return Ok(false);
        };
        self.queued_bytes -= chunk.bytes.len();
        if chunk.bytes.is_empty() {
            writer.shutdown().await?;
            return Ok(true);
        }
        writer.write_all(&chunk.bytes).await?;
        self.start_timer();
        Ok(false)
    }

    /// Starts the timer for the first chunk; a chunk that is already due needs none.
    fn start_timer(&mut self) {
        let now = time::Instant::now();
        let due = self.queue.front().map(|chunk| chunk.due);
        if self.timer.is_none() {
            self.timer = due.filter(|due| *due > now).map(timer::wake_at);
        }
    }

    async fn wait_until_due(timer: &mut Option<oneshot::Receiver<()>>) {
        if let Some(receiver) = timer {
            let _ = receiver.await;
            *timer = None;
        }
    }

    fn refresh_faults(&mut self) {
        let rules = self.rules.borrow_and_update();
        self.faults = rules.faults(self.link, self.direction);
    }
}
