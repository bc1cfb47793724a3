//! Monotonic time for state machines, which read no clock themselves.

use std::ops;

use serde::{Deserialize, Serialize};

/// Point in time in milliseconds on the monotonic clock of one process.
///
/// Zero is the start of the process, so values of two processes cannot be compared.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the milliseconds since an earlier time, or 0 if that time is later.
    ///
    /// ```
    /// use toucanledge_core::Millis;
    /// assert_eq!(Millis(120).since(Millis(100)), 20);
    /// assert_eq!(Millis(100).since(Millis(120)), 0);
    /// ```
    #[must_use]
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl ops::Add<u64> for Millis {
    type Output = Self;

    fn add(self, millis: u64) -> Self {
        Self(self.0.saturating_add(millis))
    }
}
