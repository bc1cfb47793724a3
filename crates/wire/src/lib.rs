//! Messages between gateways: CBOR codec with limits, heartbeat datagrams and WebSocket links.
//!
//! Heartbeats travel as UDP datagrams, see [`HeartbeatSocket`]. All other messages are
//! [`PeerMessage`]s, which travel as binary frames of WebSocket connections, see [`PeerLinks`].

mod codec;
mod error;
mod format;
mod limits;
mod link;
mod message;
mod socket;

pub use codec::{decode, decode_heartbeat, encode, encode_heartbeat};
pub use error::{ValidationError, WireError};
pub use limits::{
    MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, MAX_HEARTBEAT_HISTORY, MAX_HEARTBEAT_SUSPICIONS,
    MAX_HEARTBEAT_UNREACHABLE, MAX_STORED_BODY_BYTES,
};
pub use link::{
    LinkConnector, LinkFault, LinkListener, LinkSettings, OpenLink, PeerIdentity, PeerLinks,
    SendOutcome,
};
pub use message::{MessageKind, PeerMessage};
pub use socket::{DatagramFault, HeartbeatSocket};
