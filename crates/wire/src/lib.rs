//! Peer messages, their CBOR codec with limits, datagrams and WebSocket links.

mod codec;
mod error;
mod limits;
mod link;
mod message;
mod socket;
mod wire;

pub use codec::{decode, decode_heartbeat, encode, encode_heartbeat};
pub use error::{ValidationError, WireError};
pub use limits::{
    HEARTBEAT_HISTORY_LIMIT, HEARTBEAT_NOT_HEARD_LIMIT, HEARTBEAT_SUSPICION_LIMIT,
    MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, MAX_STORED_BODY_BYTES,
};
pub use link::{
    LinkConnector, LinkFault, LinkListener, LinkSettings, OpenLink, PeerIdentity, PeerLinks,
    SendOutcome,
};
pub use message::{MessageKind, PeerMessage};
pub use socket::{DatagramFault, HeartbeatSocket};
