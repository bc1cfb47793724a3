//! Accepting links from peers.

use std::net;

use error_stack::{Report, ResultExt};
use tokio::net as tokio_net;
use tokio::time;

use super::hello::{self, OpenLink, PeerIdentity};
use super::settings::{self, LinkSettings};
use crate::error::WireError;

/// Accepts links from the peers of one gateway.
#[derive(Debug)]
pub struct LinkListener {
    identity: PeerIdentity,
    listener: tokio_net::TcpListener,
    settings: LinkSettings,
}

impl LinkListener {
    /// Creates a listener that sends `identity` in its hellos.
    #[must_use]
    pub fn new(
        identity: PeerIdentity,
        listener: tokio_net::TcpListener,
        settings: LinkSettings,
    ) -> Self {
        Self {
            identity,
            listener,
            settings,
        }
    }

    /// Accepts one TCP connection.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub async fn accept(
        &self,
    ) -> Result<(tokio_net::TcpStream, net::SocketAddr), Report<WireError>> {
        self.listener
            .accept()
            .await
            .change_context(WireError::Socket)
    }

    /// Returns the handshake for an accepted connection. Run it in a separate task, so that a slow
    /// peer does not delay others.
    ///
    /// # Errors
    ///
    /// The future returns what failed, with the address of the peer.
    pub fn open(
        &self,
        stream: tokio_net::TcpStream,
        address: net::SocketAddr,
    ) -> impl Future<Output = Result<OpenLink, Report<WireError>>> + Send + use<> {
        let identity = self.identity;
        let timeout = self.settings.handshake_timeout;
        async move {
            let attach = || format!("peer {address}");
            time::timeout(timeout, open_link(stream, identity))
                .await
                .change_context(WireError::Hello)
                .attach_with(attach)?
                .attach_with(attach)
        }
    }
}

async fn open_link(
    stream: tokio_net::TcpStream,
    identity: PeerIdentity,
) -> Result<OpenLink, Report<WireError>> {
    stream
        .set_nodelay(true)
        .change_context(WireError::Handshake)?;
    let config = settings::socket_config();
    let mut socket = tokio_tungstenite::accept_async_with_config(stream, Some(config))
        .await
        .change_context(WireError::Handshake)?;
    let peer = hello::receive_hello(&mut socket).await?;
    hello::send_hello(&mut socket, identity).await?;
    Ok(OpenLink { peer, socket })
}
