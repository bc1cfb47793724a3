//! Counted reasons for refused messages and closed links.

use error_stack::Report;
use tokio_tungstenite::tungstenite;

use crate::error::WireError;

/// Why a message was dropped or a link was refused or closed; labels the counter
/// `toucanledge_link_faults_total`.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum LinkFault {
    /// A frame did not decode or held a value out of its range; the link was closed.
    BadFrame,
    /// A frame exceeded the limit; the link was closed.
    TooLarge,
    /// The peer sent more messages a second than allowed; the link was closed.
    Flood,
    /// The outgoing queue was full; the message was dropped.
    QueueFull,
    /// The message exceeds a limit; it was not sent.
    Unencodable,
    /// The link to the peer could not be opened; the messages that waited for it were dropped.
    ConnectFailed,
    /// The last connection failed a moment ago; the message was dropped.
    Backoff,
    /// A peer did not finish the handshake or sent no valid hello in time; the link was refused.
    BadHello,
    /// A peer speaks another protocol version; the link was refused.
    Protocol,
    /// The address answered as another VM, or a peer has the id of this one; the link was refused.
    WrongPeer,
    /// The peer's incarnation is older than one that is known; the link was refused or closed.
    OldIncarnation,
    /// A newer link of the peer took the place of this one.
    Replaced,
    /// Nothing was received for too long; the link was closed.
    Silent,
    /// The connection failed while the link was open.
    ConnectionLost,
    /// The link closed before the message was written; the message was dropped.
    Undelivered,
    /// Too many connections were in their handshake; the link was refused.
    HandshakesFull,
    /// A connection could not be accepted.
    AcceptFailed,
}

impl LinkFault {
    /// Counts the fault.
    pub(crate) fn count(self) {
        self.count_many(1);
    }

    /// Counts the fault for each of several messages.
    pub(crate) fn count_many(self, number: u64) {
        if number == 0 {
            return;
        }
        let reason: &'static str = self.into();
        metrics::counter!("toucanledge_link_faults_total", "reason" => reason).increment(number);
    }

    /// Returns the fault behind an error of the codec or the handshake.
    pub(crate) fn from_report(report: &Report<WireError>) -> Self {
        match report.current_context() {
            WireError::TooLarge => Self::TooLarge,
            WireError::BadFrame | WireError::BadValue => Self::BadFrame,
            WireError::Connect | WireError::Socket => Self::ConnectFailed,
            WireError::Handshake | WireError::Hello => Self::BadHello,
            WireError::ProtocolVersion => Self::Protocol,
        }
    }

    /// Returns the fault behind an error of an open WebSocket.
    pub(crate) fn of_socket(error: &tungstenite::Error) -> Self {
        match error {
            tungstenite::Error::Capacity(_) => Self::TooLarge,
            tungstenite::Error::Protocol(
                tungstenite::error::ProtocolError::ResetWithoutClosingHandshake,
            )
            | tungstenite::Error::Io(_)
            | tungstenite::Error::ConnectionClosed
            | tungstenite::Error::AlreadyClosed => Self::ConnectionLost,
            _ => Self::BadFrame,
        }
    }
}
