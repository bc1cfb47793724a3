//! Opening links to peers.

use std::net;

use error_stack::{Report, ResultExt};
use tokio::net as tokio_net;
use tokio::time;

use super::hello::{self, LinkSocket, OpenLink, PeerIdentity};
use super::settings::{self, LinkSettings};
use crate::error::WireError;

/// Opens links from one gateway to its peers.
#[derive(Clone, Debug)]
pub struct LinkConnector {
    identity: PeerIdentity,
    source: Option<net::IpAddr>,
    settings: LinkSettings,
}

impl LinkConnector {
    /// Creates a connector that sends `identity` in its hellos and connects from `source`.
    #[must_use]
    pub fn new(
        identity: PeerIdentity,
        source: Option<net::IpAddr>,
        settings: LinkSettings,
    ) -> Self {
        Self {
            identity,
            source,
            settings,
        }
    }

    /// Connects to a peer and exchanges hellos.
    ///
    /// # Errors
    ///
    /// Returns what failed, with the address of the peer.
    pub async fn connect(&self, address: net::SocketAddr) -> Result<OpenLink, Report<WireError>> {
        let attach = || format!("peer {address}");
        let stream = self.open_stream(address).await.attach_with(attach)?;
        time::timeout(
            self.settings.handshake_timeout,
            self.open_link(stream, address),
        )
        .await
        .change_context(WireError::Hello)
        .attach_with(attach)?
        .attach_with(attach)
    }

    async fn open_stream(
        &self,
        address: net::SocketAddr,
    ) -> Result<tokio_net::TcpStream, Report<WireError>> {
        let socket = self.bound_socket(address)?;
        let stream = time::timeout(self.settings.connect_timeout, socket.connect(address))
            .await
            .change_context(WireError::Connect)?
            .change_context(WireError::Connect)?;
        stream
            .set_nodelay(true)
            .change_context(WireError::Connect)?;
        Ok(stream)
    }

    fn bound_socket(
        &self,
        address: net::SocketAddr,
    ) -> Result<tokio_net::TcpSocket, Report<WireError>> {
        let socket = if address.is_ipv4() {
            tokio_net::TcpSocket::new_v4()
        } else {
            tokio_net::TcpSocket::new_v6()
        }
        .change_context(WireError::Socket)?;
        if let Some(source) = self.source {
            socket
                .bind(net::SocketAddr::new(source, 0))
                .change_context(WireError::Socket)
                .attach_with(|| format!("source {source}"))?;
        }
        Ok(socket)
    }

    async fn open_link(
        &self,
        stream: tokio_net::TcpStream,
        address: net::SocketAddr,
    ) -> Result<OpenLink, Report<WireError>> {
        let mut socket = client_handshake(stream, address).await?;
        hello::send_hello(&mut socket, self.identity).await?;
        let peer = hello::receive_hello(&mut socket).await?;
        Ok(OpenLink { peer, socket })
    }
}

async fn client_handshake(
    stream: tokio_net::TcpStream,
    address: net::SocketAddr,
) -> Result<LinkSocket, Report<WireError>> {
    let url = format!("ws://{address}/link");
    let config = settings::socket_config();
    let (socket, _) = tokio_tungstenite::client_async_with_config(url, stream, Some(config))
        .await
        .change_context(WireError::Handshake)?;
    Ok(socket)
}
