//! Exchange of hellos when a link is opened.

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use futures_util::{SinkExt, StreamExt};
use tokio::net;
use tokio_tungstenite::tungstenite;
use toucanledge_core::{Incarnation, VmId};

use crate::codec;
use crate::error::{ValidationError, WireError};
use crate::message::PeerMessage;

/// WebSocket of a link.
pub type LinkSocket = tokio_tungstenite::WebSocketStream<net::TcpStream>;

/// Identity of a gateway at one end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerIdentity {
    /// VM of the gateway.
    pub vm: VmId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
}

/// A link on which hellos have been exchanged.
#[derive(Debug)]
pub struct OpenLink {
    /// Identity of the peer, from its hello.
    pub peer: PeerIdentity,
    pub(crate) socket: LinkSocket,
}

impl PeerIdentity {
    fn hello(self) -> PeerMessage {
        PeerMessage::Hello {
            vm: self.vm,
            incarnation: self.incarnation,
        }
    }
}

/// Sends the hello of this gateway.
pub async fn send_hello(
    socket: &mut LinkSocket,
    identity: PeerIdentity,
) -> Result<(), Report<WireError>> {
    let frame = codec::encode(&identity.hello())?;
    socket
        .send(tungstenite::Message::Binary(frame))
        .await
        .change_context(WireError::Hello)
}

/// Receives the hello of the peer, which must be its first frame.
pub async fn receive_hello(socket: &mut LinkSocket) -> Result<PeerIdentity, Report<WireError>> {
    match socket.next().await {
        Some(Ok(tungstenite::Message::Binary(frame))) => parse_hello(&frame),
        Some(Ok(_)) => Err(Report::new(WireError::Hello).attach("first frame is not binary")),
        Some(Err(error)) => Err(Report::new(error).change_context(WireError::Hello)),
        None => Err(Report::new(WireError::Hello).attach("connection closed before the hello")),
    }
}

fn parse_hello(frame: &Bytes) -> Result<PeerIdentity, Report<WireError>> {
    let message = codec::decode(frame).map_err(hello_error)?;
    match message {
        PeerMessage::Hello { vm, incarnation } => Ok(PeerIdentity { vm, incarnation }),
        other => {
            Err(Report::new(WireError::Hello).attach(format!("first frame: {}", other.kind())))
        }
    }
}

fn hello_error(report: Report<WireError>) -> Report<WireError> {
    match report.downcast_ref::<ValidationError>() {
        Some(ValidationError::ProtocolVersion(_)) => {
            report.change_context(WireError::ProtocolVersion)
        }
        _ => report.change_context(WireError::Hello),
    }
}
