//! Reasons for dropped messages and for refused or closed links, as counted in a metric.

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
    /// A frame could not be decoded or had a value out of range; the link was closed.
    BadFrame,
    /// A frame exceeded the size limit; the link was closed.
    TooLarge,
    /// The peer exceeded its message rate limit; the link was closed.
    Flood,
    /// The queue of the link was full; the message was dropped.
    QueueFull,
    /// The message exceeded a limit; it was not sent.
    Unencodable,
    /// The link to the peer could not be opened; the messages queued for it were dropped.
    ConnectFailed,
    /// The last connection failed and the back-off has not passed; the message was dropped.
    Backoff,
    /// A peer did not complete the handshake and a valid hello in time; the link was refused.
    BadHello,
    /// A peer uses another protocol version; the link was refused.
    Protocol,
    /// The address belongs to another VM, or a peer has the id of this VM; the link was refused.
    WrongPeer,
    /// A newer incarnation of the peer is known; the link was refused or closed.
    OldIncarnation,
    /// A newer link to the peer replaced this one.
    Replaced,
    /// Nothing was received within the idle timeout; the link was closed.
    Silent,
    /// The connection failed while the link was open.
    ConnectionLost,
    /// The link closed before the message was written; the message was dropped.
    Undelivered,
    /// Too many handshakes were in progress; the link was refused.
    HandshakesFull,
    /// A connection could not be accepted.
    AcceptFailed,
}

impl LinkFault {
    /// Counts the fault.
    pub(crate) fn count(self) {
        self.count_many(1);
    }

    /// Counts the fault `number` times.
    pub(crate) fn count_many(self, number: u64) {
        if number == 0 {
            return;
        }
        let reason: &'static str = self.into();
        metrics::counter!("toucanledge_link_faults_total", "reason" => reason).increment(number);
    }

    /// Converts an error of the codec or the handshake.
    pub(crate) fn from_report(report: &Report<WireError>) -> Self {
        match report.current_context() {
            WireError::TooLarge => Self::TooLarge,
            WireError::BadFrame | WireError::BadValue => Self::BadFrame,
            WireError::Connect | WireError::Socket => Self::ConnectFailed,
            WireError::Handshake | WireError::Hello => Self::BadHello,
            WireError::ProtocolVersion => Self::Protocol,
        }
    }

    /// Converts an error of an open WebSocket.
    pub(crate) fn from_socket_error(error: &tungstenite::Error) -> Self {
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
