//! Clock of the process.

use std::time;

use rustix::time::ClockId;
use toucanledge_core::{Incarnation, Millis};

/// Milliseconds since the start of the process, including the time in which the VM was suspended.
///
/// It reads `CLOCK_BOOTTIME`, because the monotonic clock stops while a VM is suspended, and a
/// request's deadline would seem to be later than it is.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    start_ms: u64,
    incarnation: Incarnation,
}

impl BootClock {
    /// Returns a clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        let since_epoch = time::SystemTime::now()
            .duration_since(time::UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            start_ms: boottime_ms(),
            incarnation: Incarnation(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)),
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Millis {
        // The first time is 1, so that 0 can mean "never".
        Millis(boottime_ms().saturating_sub(self.start_ms) + 1)
    }

    /// Returns a time of this clock in milliseconds since 1970, for logs.
    #[must_use]
    pub fn unix_ms(&self, time: Millis) -> u64 {
        self.incarnation.0.saturating_add(time.0)
    }

    /// Returns the start time of the process.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }
}

fn boottime_ms() -> u64 {
    let now = rustix::time::clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    let millis = u64::try_from(now.tv_nsec / 1_000_000).unwrap_or_default();
    seconds * 1000 + millis
}
