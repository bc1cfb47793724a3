//! Whether this gateway is heard by its peers.

use toucanledge_core::Millis;

use crate::limits::{HEARTBEAT_INTERVAL_MS, NO_PEERS_TIMEOUT_MS, REACHABILITY_HOLD_MS};

/// What the heard peers say about hearing this gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HearingTally {
    /// Peers that this gateway hears.
    pub heard: usize,
    /// Heard peers that echoed a send time of this gateway since its start or wake.
    pub hearing: usize,
    /// Heard peers that name this gateway in their exceptions.
    pub not_hearing: usize,
}

/// Belief about being heard, with hysteresis.
#[derive(Clone, Copy, Debug)]
pub struct OwnHearing {
    heard: bool,
    contrary_since: Option<Millis>,
    unproven_since: Option<Millis>,
}

impl OwnHearing {
    /// Starts with the belief of being heard, so that a fresh fleet can serve at once.
    pub fn new() -> Self {
        Self {
            heard: true,
            contrary_since: None,
            unproven_since: None,
        }
    }

    /// Returns the belief.
    pub fn is_heard(self) -> bool {
        self.heard
    }

    /// Stops believing until echoes prove the contrary.
    pub fn wake(&mut self, now: Millis) {
        self.heard = false;
        self.contrary_since = None;
        self.unproven_since = Some(now);
    }

    /// Takes what the peers say now.
    pub fn update(&mut self, tally: HearingTally, now: Millis) {
        if let Some(since) = self.unproven_since {
            if is_proven(tally, now.since(since)) {
                *self = Self::new();
            }
            return;
        }
        let observed = tally.not_hearing * 2 <= tally.heard;
        if observed == self.heard {
            self.contrary_since = None;
            return;
        }
        let since = *self.contrary_since.get_or_insert(now);
        if now.since(since) >= REACHABILITY_HOLD_MS {
            self.heard = observed;
            self.contrary_since = None;
        }
    }
}

/// Returns whether a woken gateway may believe that it is heard again.
///
/// Each peer had the time to send a heartbeat by then, and most of those that did had received one
/// sent after the wake. A gateway that hears nobody for long is alone and may serve.
fn is_proven(tally: HearingTally, millis_since_wake: u64) -> bool {
    if tally.heard == 0 {
        return millis_since_wake >= NO_PEERS_TIMEOUT_MS;
    }
    millis_since_wake >= HEARTBEAT_INTERVAL_MS && tally.hearing * 2 > tally.heard
}
