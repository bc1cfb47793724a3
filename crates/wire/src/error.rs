//! Errors of the codec, the links and the heartbeat socket.

use std::fmt;

/// What failed; the error report adds the peer and the cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
pub enum WireError {
    /// The message exceeds the size limit of a frame or datagram.
    #[strum(to_string = "message exceeds the size limit")]
    TooLarge,
    /// The bytes are not a single CBOR value of the expected structure.
    #[strum(to_string = "bytes are no valid message")]
    BadFrame,
    /// A value of the message is out of range.
    #[strum(to_string = "message has a value out of range")]
    BadValue,
    /// The TCP connection could not be opened.
    #[strum(to_string = "connection to peer failed")]
    Connect,
    /// The WebSocket handshake failed.
    #[strum(to_string = "WebSocket handshake with peer failed")]
    Handshake,
    /// The first frame of the peer was not a valid hello, or handshake and hello took too long.
    #[strum(to_string = "peer sent no hello")]
    Hello,
    /// The peer speaks another protocol version.
    #[strum(to_string = "peer speaks another protocol version")]
    ProtocolVersion,
    /// The socket could not be bound, read or written.
    #[strum(to_string = "socket failed")]
    Socket,
}

impl std::error::Error for WireError {}

/// Why a value is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ValidationError {
    /// A list, text or byte string is longer than allowed.
    TooLong {
        /// What is too long.
        what: &'static str,
        /// Its length.
        found: usize,
        /// Largest allowed length.
        limit: usize,
    },
    /// A code or name is unknown.
    UnknownCode {
        /// What the code encodes.
        what: &'static str,
        /// The code.
        code: String,
    },
    /// The sender speaks another protocol version.
    ProtocolVersion(u16),
    /// A VM list is inconsistent.
    List(toucanledge_core::VmListError),
}

impl fmt::Display for ValidationError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong { what, found, limit } => {
                write!(formatter, "{what}: length {found} exceeds {limit}")
            }
            Self::UnknownCode { what, code } => write!(formatter, "{what}: {code} has no meaning"),
            Self::ProtocolVersion(version) => write!(formatter, "protocol version {version}"),
            Self::List(error) => write!(formatter, "{error}"),
        }
    }
}

impl std::error::Error for ValidationError {}
