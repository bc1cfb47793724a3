//! Encoding and decoding of frames and datagrams, with limits.

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use toucanledge_membership::Heartbeat;

use crate::error::WireError;
use crate::format::{WireHeartbeat, WireMessage};
use crate::limits::{self, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES};
use crate::message::PeerMessage;

/// Largest nesting depth of a frame; the deepest message, a vote reply with a stored response,
/// needs 8.
const MAX_NESTING_DEPTH: usize = 16;
/// Initial size of the encoding buffer.
const INITIAL_BUFFER_BYTES: usize = 128;

/// Encodes a link message as a frame.
///
/// ```
/// use toucanledge_core::TableRevision;
/// use toucanledge_wire::{PeerMessage, decode, encode};
///
/// let message = PeerMessage::TableRequest { known_revision: TableRevision(7) };
/// let frame = encode(&message).unwrap();
/// assert_eq!(decode(&frame).unwrap(), message);
/// ```
///
/// # Errors
///
/// Returns an error when the message exceeds a limit, so that a peer would refuse it.
pub fn encode(message: &PeerMessage) -> Result<Bytes, Report<WireError>> {
    limits::check_message(message).change_context(WireError::BadValue)?;
    encode_limited(&WireMessage::from(message), MAX_FRAME_BYTES)
}

/// Decodes a frame.
///
/// Lengths in a frame are not trusted: at most 1 MiB is reserved in advance for a list, whatever
/// its encoded length.
///
/// # Errors
///
/// Returns an error when the frame exceeds [`MAX_FRAME_BYTES`], is nested too deeply, is not a
/// valid message, has trailing bytes or contains a value out of range.
pub fn decode(frame: &[u8]) -> Result<PeerMessage, Report<WireError>> {
    let message: WireMessage = decode_limited(frame, MAX_FRAME_BYTES)?;
    PeerMessage::try_from(message).change_context(WireError::BadValue)
}

/// Encodes a heartbeat as a datagram.
///
/// # Errors
///
/// Returns an error when the heartbeat has more entries than its limits allow or exceeds
/// [`MAX_DATAGRAM_BYTES`].
pub fn encode_heartbeat(heartbeat: &Heartbeat) -> Result<Bytes, Report<WireError>> {
    limits::check_heartbeat(heartbeat).change_context(WireError::BadValue)?;
    encode_limited(&WireHeartbeat::from(heartbeat), MAX_DATAGRAM_BYTES)
}

/// Decodes a datagram.
///
/// # Errors
///
/// Returns an error in the same cases as [`decode`], with [`MAX_DATAGRAM_BYTES`] as the limit.
pub fn decode_heartbeat(datagram: &[u8]) -> Result<Heartbeat, Report<WireError>> {
    let heartbeat: WireHeartbeat = decode_limited(datagram, MAX_DATAGRAM_BYTES)?;
    Heartbeat::try_from(heartbeat).change_context(WireError::BadValue)
}

fn encode_limited(value: &impl serde::Serialize, limit: usize) -> Result<Bytes, Report<WireError>> {
    let mut buffer = Vec::with_capacity(INITIAL_BUFFER_BYTES);
    ciborium::into_writer(value, &mut buffer).change_context(WireError::BadFrame)?;
    check_size(buffer.len(), limit)?;
    Ok(Bytes::from(buffer))
}

fn decode_limited<T: serde::de::DeserializeOwned>(
    bytes: &[u8],
    limit: usize,
) -> Result<T, Report<WireError>> {
    check_size(bytes.len(), limit)?;
    let mut remaining = bytes;
    let value = ciborium::de::from_reader_with_recursion_limit(&mut remaining, MAX_NESTING_DEPTH)
        .change_context(WireError::BadFrame)?;
    if remaining.is_empty() {
        return Ok(value);
    }
    Err(Report::new(WireError::BadFrame).attach(format!("{} trailing bytes", remaining.len())))
}

fn check_size(size: usize, limit: usize) -> Result<(), Report<WireError>> {
    if size <= limit {
        return Ok(());
    }
    Err(Report::new(WireError::TooLarge).attach(format!("{size} bytes, limit {limit}")))
}
