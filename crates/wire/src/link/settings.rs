//! Limits and times of a link.

use std::time;

use tokio_tungstenite::tungstenite::protocol;

use crate::limits::MAX_FRAME_BYTES;

/// Limits and times of the links of one gateway.
#[derive(Clone, Copy, Debug)]
pub struct LinkSettings {
    /// Messages that wait to be written to one link.
    pub max_queued_messages: usize,
    /// Bytes that wait to be written to one link.
    pub max_queued_bytes: usize,
    /// Messages that one peer may send in a second, over all its links.
    pub max_messages_per_second: u32,
    /// Time for the handshake and the first hello.
    pub handshake_timeout: time::Duration,
    /// Time for opening the TCP connection.
    pub connect_timeout: time::Duration,
    /// Time without an outgoing message after which a ping is sent.
    pub ping_interval: time::Duration,
    /// Time without an incoming frame after which the link is closed.
    pub idle_timeout: time::Duration,
    /// Pause after the first failed connection; doubles with each further failure.
    pub initial_backoff: time::Duration,
    /// Longest pause between two connections.
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

/// Size of the buffers of a link; with 128 KiB, the library's default, the links of a gateway with
/// 43 peers would take more than the 64 MB that control may cost.
const BUFFER_BYTES: usize = 16 << 10;

/// Returns the WebSocket settings of a link.
pub fn socket_config() -> protocol::WebSocketConfig {
    protocol::WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_write_buffer_size(4 * MAX_FRAME_BYTES)
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}
