//! Connections to backend servers, kept open between requests.

use std::collections;
use std::error::Error;
use std::sync;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt;
use toucanledge_core::Millis;
use toucanledge_steering::{ConnectionRest, ServerKey};

/// Limit of the size of a response's head, and of the buffer from which a body is read.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Limit of idle connections of a gateway; each holds a file descriptor and a read buffer.
const MAX_IDLE_CONNECTIONS: usize = 128;
/// Limit of idle connections to one backend server, which accepts some hundred from the whole
/// fleet.
const MAX_IDLE_PER_SERVER: usize = 2;

/// Connection to a backend server that carries one request at a time.
///
/// Dropping it closes the connection, which tells the backend server that the caller has left.
#[derive(Debug)]
pub struct ServerConnection {
    /// Sends a request on the connection.
    pub sender: http1::SendRequest<Full<Bytes>>,
    _driver: DriverTask,
}

/// Task that reads and writes a connection; it ends when this is dropped.
#[derive(Debug)]
struct DriverTask(tokio::task::JoinHandle<()>);

impl Drop for DriverTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl ServerConnection {
    /// Starts HTTP on a new connection; `on_foreign_bytes` is called if the backend server sends
    /// bytes that belong to no request. Returns `None` if the connection is already lost.
    pub async fn start(
        stream: tokio::net::TcpStream,
        on_foreign_bytes: impl FnOnce() + Send + 'static,
    ) -> Option<Self> {
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(rt::TokioIo::new(stream))
            .await
            .ok()?;
        let driver = tokio::spawn(async move {
            // An I/O error is a lost connection; any other means that the bytes are no response.
            if let Err(error) = connection.await
                && !error.is_canceled()
                && !error.is_incomplete_message()
                && !error.is_closed()
                && error
                    .source()
                    .is_none_or(|source| !source.is::<std::io::Error>())
            {
                on_foreign_bytes();
            }
        });
        Some(Self {
            sender,
            _driver: DriverTask(driver),
        })
    }

    /// Returns whether the connection is idle: its last response was read whole, and since then it
    /// was neither closed nor received a byte.
    pub async fn is_idle(&self) -> bool {
        // The connection's task handles what has arrived before this task runs again.
        tokio::task::yield_now().await;
        self.sender.is_ready()
    }
}

/// An idle connection.
#[derive(Debug)]
struct IdleConnection {
    connection: ServerConnection,
    rest: ConnectionRest,
}

/// Idle connections of a gateway.
#[derive(Debug, Default)]
pub struct IdleConnections {
    servers: sync::Mutex<collections::HashMap<ServerKey, Vec<IdleConnection>>>,
}

impl IdleConnections {
    /// Keeps a connection, and closes the one that rested longest if there are too many to the
    /// backend server.
    pub fn put(&self, server: ServerKey, connection: ServerConnection, rest: ConnectionRest) {
        let mut servers = self.lock();
        if servers.values().map(Vec::len).sum::<usize>() >= MAX_IDLE_CONNECTIONS {
            return;
        }
        let idle = servers.entry(server).or_default();
        if idle.len() >= MAX_IDLE_PER_SERVER {
            idle.remove(0);
        }
        idle.push(IdleConnection { connection, rest });
    }

    /// Takes the connection to a backend server that was answered last, with its rest in
    /// milliseconds.
    pub fn take(
        &self,
        server: ServerKey,
        max_rest_ms: u64,
        now: Millis,
    ) -> Option<(ServerConnection, u64)> {
        let mut servers = self.lock();
        let idle = servers.get_mut(&server)?;
        let taken = idle.pop_if(|idle| idle.rest.is_usable(max_rest_ms, now));
        if idle.is_empty() {
            servers.remove(&server);
        }
        taken.map(|idle| (idle.connection, now.since(idle.rest.since)))
    }

    /// Closes all idle connections to a backend server.
    pub fn close(&self, server: ServerKey) {
        self.lock().remove(&server);
    }

    /// Closes the connections whose time is over and those to servers that take no more work.
    pub fn remove_expired(&self, now: Millis, accepts_work: impl Fn(ServerKey) -> bool) {
        self.lock().retain(|server, idle| {
            idle.retain(|idle| now < idle.rest.close_at);
            !idle.is_empty() && accepts_work(*server)
        });
    }

    /// Returns the rest of the connection to a backend server that was answered last.
    pub fn newest_rest(&self, server: ServerKey) -> Option<ConnectionRest> {
        Some(self.lock().get(&server)?.last()?.rest)
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<ServerKey, Vec<IdleConnection>>> {
        self.servers
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
