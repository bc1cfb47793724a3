//! Limit on the rate of messages from a peer.

use std::sync;
use std::time;

/// Fixed-window rate limiter for the messages of one peer over all its links.
#[derive(Debug)]
pub struct PeerRateLimiter {
    max_per_window: u32,
    window: sync::Mutex<RateWindow>,
}

#[derive(Debug)]
struct RateWindow {
    start: time::Instant,
    messages: u32,
}

const WINDOW_LENGTH: time::Duration = time::Duration::from_secs(1);

impl PeerRateLimiter {
    /// Creates a limiter that allows `limit` messages a second.
    pub fn new(limit: u32) -> Self {
        let window = RateWindow {
            start: time::Instant::now(),
            messages: 0,
        };
        Self {
            max_per_window: limit,
            window: sync::Mutex::new(window),
        }
    }

    /// Counts one message, and returns whether the peer is within its limit.
    pub fn admit(&self) -> bool {
        let mut window = self
            .window
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let now = time::Instant::now();
        if now.duration_since(window.start) >= WINDOW_LENGTH {
            window.start = now;
            window.messages = 0;
        }
        window.messages = window.messages.saturating_add(1);
        window.messages <= self.max_per_window
    }
}
