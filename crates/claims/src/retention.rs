//! Longest retention window of the routing table, and how a change takes effect.

use toucanledge_core::Millis;

use crate::rules::DISPATCH_PERMIT_MS;

/// Longest retention window of the routing table, in milliseconds.
///
/// A longer window applies at once. After a change to a shorter one, the previous window applies
/// until claims that were made under it have expired.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetentionWindow {
    current_ms: u64,
    previous_ms: u64,
    previous_until: Millis,
}

impl RetentionWindow {
    pub(crate) const fn new(window_ms: u64) -> Self {
        Self {
            current_ms: window_ms,
            previous_ms: 0,
            previous_until: Millis(0),
        }
    }

    pub(crate) fn set(&mut self, window_ms: u64, now: Millis) {
        let effective_ms = self.at(now);
        if window_ms < effective_ms && window_ms != self.current_ms {
            self.previous_ms = effective_ms;
            self.previous_until = now + effective_ms + DISPATCH_PERMIT_MS;
        }
        self.current_ms = window_ms;
    }

    /// Returns the window in effect, in milliseconds.
    pub(crate) fn at(&self, now: Millis) -> u64 {
        if now < self.previous_until {
            self.current_ms.max(self.previous_ms)
        } else {
            self.current_ms
        }
    }
}
