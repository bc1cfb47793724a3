//! Pool of idle HTTP connections to backend servers and to the platform.

use std::collections;
use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt;

use crate::error::{GatewayError, GatewayStep};

/// Maximum number of idle connections to one address.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Idle time after which a connection is closed; below the idle timeout of 60 s that is usual for
/// servers.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Sends requests on one connection.
pub type RequestSender = http1::SendRequest<Full<Bytes>>;

/// Open HTTP/1 connection, which carries one request at a time.
#[derive(Debug)]
pub struct BackendConnection {
    address: net::SocketAddr,
    sender: RequestSender,
    reused: bool,
}

impl BackendConnection {
    /// Returns the sender of requests.
    pub fn sender(&mut self) -> &mut RequestSender {
        &mut self.sender
    }

    /// Returns whether the connection carried an earlier request.
    #[must_use]
    pub const fn is_reused(&self) -> bool {
        self.reused
    }
}

#[derive(Debug)]
struct IdleConnection {
    sender: RequestSender,
    idle_since: time::Instant,
}

/// Idle connections by address.
#[derive(Debug)]
pub struct ConnectionPool {
    source: Option<net::IpAddr>,
    idle: sync::Mutex<collections::HashMap<net::SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Returns an empty pool; connections are bound to the local address `source` if there is one.
    #[must_use]
    pub fn new(source: Option<net::IpAddr>) -> Self {
        Self {
            source,
            idle: sync::Mutex::default(),
        }
    }

    /// Takes an idle connection to the address, or opens a new one.
    ///
    /// # Errors
    ///
    /// Returns the step and the address when no connection can be opened.
    pub async fn check_out(
        &self,
        address: net::SocketAddr,
    ) -> Result<BackendConnection, Report<GatewayError>> {
        match self.take_idle(address) {
            Some(sender) => Ok(BackendConnection {
                address,
                sender,
                reused: true,
            }),
            None => self.open(address).await,
        }
    }

    /// Opens a new connection to the address.
    ///
    /// # Errors
    ///
    /// Returns the step and the address when no connection can be opened.
    pub async fn open(
        &self,
        address: net::SocketAddr,
    ) -> Result<BackendConnection, Report<GatewayError>> {
        let failure = || GatewayError::at(GatewayStep::ConnectBackend, address);
        let socket = match address {
            net::SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4(),
            net::SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6(),
        }
        .change_context_lazy(failure)?;
        if let Some(source) = self.source {
            socket
                .bind(net::SocketAddr::new(source, 0))
                .change_context_lazy(failure)?;
        }
        let stream = socket.connect(address).await.change_context_lazy(failure)?;
        stream.set_nodelay(true).change_context_lazy(failure)?;
        let (sender, connection) = http1::handshake(rt::TokioIo::new(stream))
            .await
            .change_context_lazy(failure)?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("[backend] connection to {address} closed with an error: {error}");
            }
        });
        Ok(BackendConnection {
            address,
            sender,
            reused: false,
        })
    }

    /// Keeps a connection for reuse; its last response must have been read to its end.
    pub fn check_in(&self, connection: BackendConnection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.lock();
        let connections = idle.entry(connection.address).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(IdleConnection {
                sender: connection.sender,
                idle_since: time::Instant::now(),
            });
        }
    }

    /// Closes connections that were idle for longer than the idle timeout.
    pub fn evict_idle(&self) {
        let mut idle = self.lock();
        for connections in idle.values_mut() {
            connections.retain(IdleConnection::is_usable);
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    fn take_idle(&self, address: net::SocketAddr) -> Option<RequestSender> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if connection.is_usable() && connection.sender.is_ready() {
                return Some(connection.sender);
            }
        }
        None
    }

    fn lock(
        &self,
    ) -> sync::MutexGuard<'_, collections::HashMap<net::SocketAddr, Vec<IdleConnection>>> {
        self.idle
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl IdleConnection {
    fn is_usable(&self) -> bool {
        !self.sender.is_closed() && self.idle_since.elapsed() < IDLE_TIMEOUT
    }
}
