//! UDP forwarding of the fault proxy.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::sync::atomic;

use super::control::{ProxyLink, ProxyState};
use super::rule::{LinkDirection, LinkKey, LossMode};
use crate::timer;

/// Largest datagram that is forwarded.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// Socket through which the datagrams of one source are sent to the target.
struct UdpSession {
    socket: tokio::net::UdpSocket,
    source: net::SocketAddr,
}

type SessionMap = sync::Mutex<collections::HashMap<net::SocketAddr, sync::Arc<UdpSession>>>;

/// Forwards the datagrams of one link.
struct UdpRelay {
    state: sync::Arc<ProxyState>,
    link: ProxyLink,
    socket: tokio::net::UdpSocket,
    sessions: SessionMap,
}

/// Forwards the datagrams of a link.
pub async fn serve_udp(
    state: sync::Arc<ProxyState>,
    link: ProxyLink,
    socket: tokio::net::UdpSocket,
) -> io::Result<()> {
    let relay = sync::Arc::new(UdpRelay {
        state,
        link,
        socket,
        sessions: SessionMap::default(),
    });
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // An error here belongs to a datagram sent earlier, for example to a closed port.
        let Ok((length, source)) = relay.socket.recv_from(&mut buffer).await else {
            continue;
        };
        match relay.session(source).await {
            Ok(session) => {
                relay
                    .forward(&session, LinkDirection::Upstream, &buffer[..length])
                    .await;
            }
            Err(error) => log::warn!(
                "could not open a socket for {source} to {}: {error}",
                link.target
            ),
        }
    }
}

impl UdpRelay {
    async fn session(
        self: &sync::Arc<Self>,
        source: net::SocketAddr,
    ) -> io::Result<sync::Arc<UdpSession>> {
        if let Some(session) = self.sessions().get(&source) {
            return Ok(sync::Arc::clone(session));
        }
        let socket = tokio::net::UdpSocket::bind((source.ip(), 0)).await?;
        socket.connect(self.link.target).await?;
        let session = sync::Arc::new(UdpSession { socket, source });
        self.sessions().insert(source, sync::Arc::clone(&session));
        tokio::spawn(sync::Arc::clone(self).forward_downstream(sync::Arc::clone(&session)));
        Ok(session)
    }

    /// Forwards datagrams of the target to the source for as long as the proxy runs.
    ///
    /// Sessions never expire, since sources keep their ports.
    async fn forward_downstream(self: sync::Arc<Self>, session: sync::Arc<UdpSession>) {
        while session.socket.readable().await.is_ok() {
            // The buffer exists only while there is a datagram: most sessions never receive one.
            let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
            if let Ok(length) = session.socket.try_recv(&mut buffer) {
                self.forward(&session, LinkDirection::Downstream, &buffer[..length])
                    .await;
            }
        }
    }

    /// Applies the faults of the link to a datagram: forwards, delays or drops it.
    async fn forward(
        self: &sync::Arc<Self>,
        session: &sync::Arc<UdpSession>,
        direction: LinkDirection,
        bytes: &[u8],
    ) {
        let link = LinkKey {
            source: session.source.ip(),
            target: self.link.listen.ip(),
        };
        self.state.counts.add_bytes(link.target, bytes.len());
        let faults = self.state.rules.borrow().faults(link, direction);
        if faults.cut || faults.loss != LossMode::None {
            self.state
                .counts
                .dropped
                .fetch_add(1, atomic::Ordering::Relaxed);
            return;
        }
        let delay = faults.sample_delay();
        if delay.is_zero() {
            return self.send(session, direction, bytes).await;
        }
        let (relay, session) = (sync::Arc::clone(self), sync::Arc::clone(session));
        let bytes = bytes.to_vec();
        tokio::spawn(async move {
            timer::sleep_for(delay).await;
            relay.send(&session, direction, &bytes).await;
        });
    }

    async fn send(&self, session: &UdpSession, direction: LinkDirection, bytes: &[u8]) {
        let sent = match direction {
            LinkDirection::Downstream => self.socket.send_to(bytes, session.source).await,
            _ => session.socket.send(bytes).await,
        };
        if sent.is_ok() {
            self.state
                .counts
                .datagrams
                .fetch_add(1, atomic::Ordering::Relaxed);
        }
    }

    fn sessions(
        &self,
    ) -> sync::MutexGuard<'_, collections::HashMap<net::SocketAddr, sync::Arc<UdpSession>>> {
        self.sessions.lock().expect("session lock is not poisoned")
    }
}
