//! The greatest window of the table, with the effect of its changes.

use toucanledge_core::Millis;

use crate::rules::DISPATCH_PERMIT_MS;

/// Greatest window of the table in milliseconds.
///
/// A greater window applies at once. After a change to a smaller one, the former window applies
/// until claims that were made under it have ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClaimWindow {
    present: u64,
    former: u64,
    former_until: Millis,
}

impl ClaimWindow {
    pub(crate) const fn new(window: u64) -> Self {
        Self {
            present: window,
            former: 0,
            former_until: Millis(0),
        }
    }

    pub(crate) fn set(&mut self, window: u64, now: Millis) {
        let effective = self.at(now);
        if window < effective && window != self.present {
            self.former = effective;
            self.former_until = now + effective + DISPATCH_PERMIT_MS;
        }
        self.present = window;
    }

    /// Returns the window that applies now.
    pub(crate) fn at(&self, now: Millis) -> u64 {
        if now < self.former_until {
            self.present.max(self.former)
        } else {
            self.present
        }
    }
}
