//! UDP socket for heartbeats.

use std::net;
use std::sync;

use error_stack::{Report, ResultExt};
use tokio::net as tokio_net;
use toucanledge_membership::Heartbeat;

use crate::codec;
use crate::error::WireError;
use crate::limits::MAX_DATAGRAM_BYTES;

/// Why a datagram was refused or not sent; labels the counter
/// `toucanledge_datagram_faults_total`.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum DatagramFault {
    /// A received datagram could not be decoded or had a value out of range.
    BadDatagram,
    /// A received datagram exceeded the size limit.
    TooLarge,
    /// A heartbeat exceeded a limit and was not sent.
    Unencodable,
    /// The operating system did not send a datagram.
    SendFailed,
}

/// UDP socket that sends and receives heartbeats; clones share it.
#[derive(Clone, Debug)]
pub struct HeartbeatSocket {
    receiver: sync::Arc<tokio_net::UdpSocket>,
    sender: sync::Arc<tokio_net::UdpSocket>,
}

impl HeartbeatSocket {
    /// Binds the socket.
    ///
    /// Heartbeats are sent from the bound socket. When it is bound to the unspecified address and
    /// `source` is given, they are sent from a second socket that is bound to `source`.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be bound.
    pub async fn bind(
        address: net::SocketAddr,
        source: Option<net::IpAddr>,
    ) -> Result<Self, Report<WireError>> {
        let receiver = sync::Arc::new(bind_socket(address).await?);
        let sender = match source {
            Some(source) if address.ip().is_unspecified() => {
                sync::Arc::new(bind_socket(net::SocketAddr::new(source, 0)).await?)
            }
            _ => sync::Arc::clone(&receiver),
        };
        Ok(Self { receiver, sender })
    }

    /// Returns the address on which heartbeats are received.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub fn local_address(&self) -> Result<net::SocketAddr, Report<WireError>> {
        self.receiver.local_addr().change_context(WireError::Socket)
    }

    /// Sends a heartbeat.
    ///
    /// # Errors
    ///
    /// Returns an error when the heartbeat exceeds a limit or the operating system does not send
    /// it. Both are also counted.
    pub async fn send_to(
        &self,
        heartbeat: &Heartbeat,
        peer: net::SocketAddr,
    ) -> Result<(), Report<WireError>> {
        let datagram = codec::encode_heartbeat(heartbeat)
            .inspect_err(|_| DatagramFault::Unencodable.count())?;
        self.sender
            .send_to(&datagram, peer)
            .await
            .inspect_err(|_| DatagramFault::SendFailed.count())
            .change_context(WireError::Socket)
            .attach_with(|| format!("heartbeat to {peer}"))?;
        Ok(())
    }

    /// Receives the next valid heartbeat; invalid datagrams are counted and skipped.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub async fn recv(&self) -> Result<(Heartbeat, net::SocketAddr), Report<WireError>> {
        // One byte more than allowed reveals a datagram that is too long.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let (size, peer) = self
                .receiver
                .recv_from(&mut buffer)
                .await
                .change_context(WireError::Socket)?;
            match codec::decode_heartbeat(&buffer[..size]) {
                Ok(heartbeat) => return Ok((heartbeat, peer)),
                Err(report) => record_refused(&report, peer),
            }
        }
    }
}

impl DatagramFault {
    fn count(self) {
        let reason: &'static str = self.into();
        metrics::counter!("toucanledge_datagram_faults_total", "reason" => reason).increment(1);
    }
}

async fn bind_socket(address: net::SocketAddr) -> Result<tokio_net::UdpSocket, Report<WireError>> {
    tokio_net::UdpSocket::bind(address)
        .await
        .change_context(WireError::Socket)
        .attach_with(|| format!("bind {address}"))
}

fn record_refused(report: &Report<WireError>, peer: net::SocketAddr) {
    log::debug!("[heartbeat] {peer}: datagram refused: {report:#}");
    match report.current_context() {
        WireError::TooLarge => DatagramFault::TooLarge.count(),
        _ => DatagramFault::BadDatagram.count(),
    }
}
