//! Limits and timing of links.

use std::time;

use tokio_tungstenite::tungstenite::protocol;

use crate::limits::MAX_FRAME_BYTES;

/// Limits and timing of the links of a gateway.
#[derive(Clone, Copy, Debug)]
pub struct LinkSettings {
    /// Largest number of messages in the queue of a link.
    pub max_queued_messages: usize,
    /// Largest number of bytes in the queue of a link.
    pub max_queued_bytes: usize,
    /// Largest number of messages that a peer may send per second over all its links.
    pub max_messages_per_second: u32,
    /// Timeout for the WebSocket handshake and the hellos together.
    pub handshake_timeout: time::Duration,
    /// Timeout for opening the TCP connection.
    pub connect_timeout: time::Duration,
    /// Time without an outgoing message after which a ping is sent.
    pub ping_interval: time::Duration,
    /// Time without an incoming frame after which the link is closed.
    pub idle_timeout: time::Duration,
    /// Back-off after the first failed connection; doubles with each further failure.
    pub initial_backoff: time::Duration,
    /// Longest back-off between two connections.
    pub max_backoff: time::Duration,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            max_queued_messages: 1_024,
            max_queued_bytes: 8 << 20,
            max_messages_per_second: 20_000,
            handshake_timeout: time::Duration::from_secs(2),
            connect_timeout: time::Duration::from_secs(1),
            ping_interval: time::Duration::from_secs(5),
            idle_timeout: time::Duration::from_secs(15),
            initial_backoff: time::Duration::from_millis(50),
            max_backoff: time::Duration::from_secs(2),
        }
    }
}

/// Size of the read buffer and of the write buffer of a link.
///
/// With 128 KiB, the default of the WebSocket library, the links of a gateway with 43 peers would
/// take more than the 64 MB that a gateway may use for its control plane.
const BUFFER_BYTES: usize = 16 << 10;

/// Returns the WebSocket configuration of links.
pub fn socket_config() -> protocol::WebSocketConfig {
    protocol::WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_write_buffer_size(4 * MAX_FRAME_BYTES)
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}
