//! Monotonic and wall-clock time of the process.

use std::time;

use toucanledge_core::{Incarnation, Millis};

/// Monotonic clock that counts from the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    start: time::Instant,
}

impl ProcessClock {
    /// Starts the clock.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: time::Instant::now(),
        }
    }

    /// Returns the milliseconds since the clock was started.
    #[must_use]
    pub fn now(&self) -> Millis {
        Millis(u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    /// Converts an instant to a time on this clock.
    #[must_use]
    pub fn millis(&self, instant: time::Instant) -> Millis {
        let elapsed = instant.saturating_duration_since(self.start).as_millis();
        Millis(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }

    /// Converts a time on this clock to an instant.
    #[must_use]
    pub fn instant(&self, at: Millis) -> time::Instant {
        self.start + time::Duration::from_millis(at.0)
    }
}

/// Returns the milliseconds since the Unix epoch.
#[must_use]
pub fn unix_millis() -> u64 {
    time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .map_or(0, |elapsed| {
            u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
        })
}

/// Returns the incarnation of a process that starts now.
#[must_use]
pub fn new_incarnation() -> Incarnation {
    Incarnation(unix_millis())
}
