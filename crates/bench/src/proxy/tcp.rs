//! TCP side of the fault proxy.

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
use super::rule::{LinkDirection, LinkKey, LinkPolicy, LinkSelection, LossMode, RuleTable};
use crate::timer;

/// Size of the buffer of each direction.
const BUFFER_BYTES: usize = 16 << 10;

/// Bytes that wait in a delayed or held direction before reading pauses.
const QUEUE_BYTES: usize = 1 << 20;

/// Time after which a silent direction whose sender closed is reset.
const SILENT_SECONDS: u64 = 60;

type RuleReceiver = watch::Receiver<sync::Arc<RuleTable>>;

/// One direction of a connection: what the rules say and what waits to be written.
struct LinkPump<'a> {
    counts: &'a ProxyCounts,
    rules: RuleReceiver,
    link: LinkKey,
    direction: LinkDirection,
    policy: LinkPolicy,
    queue: collections::VecDeque<QueuedChunk>,
    queued_bytes: usize,
    wake: Option<oneshot::Receiver<()>>,
    is_silent: bool,
}

/// Bytes and the time at which they may be written; no bytes stand for the end of the stream.
struct QueuedChunk {
    due: time::Instant,
    bytes: bytes::Bytes,
}

/// Accepts the connections of a link.
pub async fn serve_tcp(
    state: sync::Arc<ProxyState>,
    link: ProxyLink,
    listener: tokio::net::TcpListener,
) -> io::Result<()> {
    loop {
        let (stream, source) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("accept on {} failed: {error}", link.listen);
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
            if let Err(error) = proxy(&state, link, stream, source.ip()).await {
                log::debug!("{source} to {}: {error}", link.listen);
            }
            state
                .counts
                .connections
                .fetch_sub(1, atomic::Ordering::Relaxed);
        });
    }
}

/// Passes one connection on until it ends, is cut or is reset; only a clean end sends FIN.
async fn proxy(
    state: &ProxyState,
    link: ProxyLink,
    mut caller: tokio::net::TcpStream,
    source: net::IpAddr,
) -> io::Result<()> {
    let key = LinkKey {
        source,
        target: link.listen.ip(),
    };
    let mut rules = state.rules.subscribe();
    let mut resets = state.resets.subscribe();
    let opened = tokio::select! {
        opened = open(&mut caller, link, key, rules.clone()) => opened,
        () = broken(&mut rules, &mut resets, key) => Err(io::ErrorKind::ConnectionReset.into()),
    };
    let (mut target, early) = match opened {
        Ok(opened) => opened,
        Err(error) => {
            abort(&caller);
            return Err(error);
        }
    };
    let mut towards = LinkPump::new(state, key, LinkDirection::Upstream);
    let mut back = LinkPump::new(state, key, LinkDirection::Downstream);
    towards.enqueue(early);
    let (caller_read, caller_write) = caller.split();
    let (target_read, target_write) = target.split();
    let ended = tokio::select! {
        ended = async { tokio::try_join!(
            towards.run(caller_read, target_write),
            back.run(target_read, caller_write),
        ) } => ended.map(|_| ()),
        () = broken(&mut rules, &mut resets, key) => Err(io::ErrorKind::ConnectionReset.into()),
    };
    if ended.is_err() {
        abort(&caller);
        abort(&target);
    }
    ended
}

/// Opens the connection to the target from the caller's IP address.
///
/// While a direction loses its bytes, no handshake would succeed: the connection waits, and a
/// caller that gives up in that time has sent nothing.
async fn open(
    caller: &mut tokio::net::TcpStream,
    link: ProxyLink,
    key: LinkKey,
    mut rules: RuleReceiver,
) -> io::Result<(tokio::net::TcpStream, bytes::Bytes)> {
    let mut early = bytes::BytesMut::new();
    while rules.borrow_and_update().is_lossy(key) {
        tokio::select! {
            changed = rules.changed() => changed.map_err(io::Error::other)?,
            read = caller.read_buf(&mut early), if early.len() < QUEUE_BYTES => {
                if read? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
        }
    }
    let socket = tokio::net::TcpSocket::new_v4()?;
    // A cut while the connection opens drops this future: the close must be a reset here too.
    abort(&socket);
    // A bound socket takes a port that no other connection of the address uses, and those in TIME-WAIT
    // exhaust the range within a minute. Callers on the default address need no binding.
    if key.source != net::IpAddr::V4(net::Ipv4Addr::LOCALHOST) {
        socket.bind(net::SocketAddr::new(key.source, 0))?;
    }
    let target = socket.connect(link.target).await?;
    caller.set_nodelay(true)?;
    target.set_nodelay(true)?;
    socket2::SockRef::from(&target).set_linger(None)?;
    Ok((target, early.freeze()))
}

/// Returns when a rule cuts the link or control resets its connections.
async fn broken(
    rules: &mut RuleReceiver,
    resets: &mut broadcast::Receiver<LinkSelection>,
    key: LinkKey,
) {
    while !rules.borrow_and_update().is_cut(key) {
        tokio::select! {
            _ = rules.changed() => {}
            reset = resets.recv() => {
                if reset.is_ok_and(|links| key.is_in(&links.sources, &links.targets)) {
                    return;
                }
            }
        }
    }
}

/// Makes the close of a connection a reset.
fn abort(stream: &impl fd::AsFd) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(time::Duration::ZERO));
}

impl<'a> LinkPump<'a> {
    fn new(state: &'a ProxyState, link: LinkKey, direction: LinkDirection) -> Self {
        let mut pump = Self {
            counts: &state.counts,
            rules: state.rules.subscribe(),
            link,
            direction,
            policy: LinkPolicy::default(),
            queue: collections::VecDeque::new(),
            queued_bytes: 0,
            wake: None,
            is_silent: false,
        };
        pump.refresh();
        pump
    }

    async fn run(
        &mut self,
        mut reader: tcp::ReadHalf<'_>,
        mut writer: tcp::WriteHalf<'_>,
    ) -> io::Result<()> {
        let mut buffer = vec![0; BUFFER_BYTES];
        let mut is_open = true;
        loop {
            let is_held = self.policy.loss == LossMode::Hold;
            let may_write = !is_held && !self.queue.is_empty();
            tokio::select! {
                biased;
                () = Self::due(&mut self.wake), if may_write => {
                    if self.write_front(&mut writer).await? {
                        return Ok(());
                    }
                }
                _ = self.rules.changed() => self.refresh(),
                read = reader.read(&mut buffer), if is_open && self.queued_bytes < QUEUE_BYTES => {
                    let bytes = &buffer[..read?];
                    is_open = !bytes.is_empty();
                    self.counts.add_bytes(self.link.target, bytes.len());
                    self.take(bytes, &mut writer).await?;
                }
                () = tokio::time::sleep(time::Duration::from_secs(SILENT_SECONDS)),
                    if self.is_silent && !is_open => return Err(io::ErrorKind::TimedOut.into()),
            }
        }
    }

    /// Writes, queues or discards what was read.
    async fn take(&mut self, bytes: &[u8], writer: &mut tcp::WriteHalf<'_>) -> io::Result<()> {
        self.refresh();
        self.is_silent |= self.policy.loss == LossMode::Discard;
        if self.is_silent {
            return Ok(());
        }
        let delay = self.policy.delay();
        let passes = self.queue.is_empty() && self.policy.loss == LossMode::None;
        if passes && delay.is_zero() && !bytes.is_empty() {
            return writer.write_all(bytes).await;
        }
        self.push(bytes::Bytes::copy_from_slice(bytes), delay);
        Ok(())
    }

    fn enqueue(&mut self, bytes: bytes::Bytes) {
        if !bytes.is_empty() {
            self.push(bytes, self.policy.delay());
        }
    }

    /// Queues a chunk; jitter never lets it overtake an earlier one.
    fn push(&mut self, bytes: bytes::Bytes, delay: time::Duration) {
        let due = time::Instant::now() + delay;
        let due = self.queue.back().map_or(due, |last| due.max(last.due));
        self.queued_bytes += bytes.len();
        self.queue.push_back(QueuedChunk { due, bytes });
        self.arm();
    }

    /// Writes the first chunk and returns whether it was the end of the stream.
    async fn write_front(&mut self, writer: &mut tcp::WriteHalf<'_>) -> io::Result<bool> {
        self.wake = None;
        let Some(chunk) = self.queue.pop_front() else {
            return Ok(false);
        };
        self.queued_bytes -= chunk.bytes.len();
        if chunk.bytes.is_empty() {
            writer.shutdown().await?;
            return Ok(true);
        }
        writer.write_all(&chunk.bytes).await?;
        self.arm();
        Ok(false)
    }

    /// Sets the timer for the first chunk; a chunk that is due already needs none.
    fn arm(&mut self) {
        let now = time::Instant::now();
        let due = self.queue.front().map(|chunk| chunk.due);
        if self.wake.is_none() {
            self.wake = due.filter(|due| *due > now).map(timer::wake_at);
        }
    }

    async fn due(wake: &mut Option<oneshot::Receiver<()>>) {
        if let Some(receiver) = wake {
            let _ = receiver.await;
            *wake = None;
        }
    }

    fn refresh(&mut self) {
        let rules = self.rules.borrow_and_update();
        self.policy = rules.policy(self.link, self.direction);
    }
}
