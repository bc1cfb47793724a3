//! Whether this gateway is reachable for its peers.

use toucanledge_core::Millis;

use crate::limits::{HEARTBEAT_INTERVAL_MS, NO_PEERS_TIMEOUT_MS, REACHABILITY_HOLD_MS};

/// Counts of what the reachable peers report about reaching this gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReachabilityTally {
    /// Peers that are reachable for this gateway.
    pub reachable: usize,
    /// Reachable peers that echoed a heartbeat of this gateway since its start or last freeze.
    pub confirming: usize,
    /// Reachable peers that report this gateway as unreachable.
    pub reporting_unreachable: usize,
}

/// Whether this gateway is reachable for its peers, with hysteresis.
#[derive(Clone, Copy, Debug)]
pub struct SelfReachability {
    reachable: bool,
    /// Since when the reports of the peers contradict `reachable`.
    contradicted_since: Option<Millis>,
    /// End of the last freeze, until echoes confirm that this gateway is reachable.
    unconfirmed_since: Option<Millis>,
}

impl SelfReachability {
    /// Starts as reachable, so that a new fleet can serve at once.
    pub fn new() -> Self {
        Self {
            reachable: true,
            contradicted_since: None,
            unconfirmed_since: None,
        }
    }

    /// Returns whether this gateway counts as reachable for its peers.
    pub fn is_reachable(self) -> bool {
        self.reachable
    }

    /// Counts this gateway as unreachable until echoes confirm the contrary.
    pub fn reset_after_freeze(&mut self, now: Millis) {
        self.reachable = false;
        self.contradicted_since = None;
        self.unconfirmed_since = Some(now);
    }

    /// Applies the current reports of the peers.
    pub fn update(&mut self, tally: ReachabilityTally, now: Millis) {
        if let Some(since) = self.unconfirmed_since {
            if is_confirmed(tally, now.since(since)) {
                *self = Self::new();
            }
            return;
        }
        let observed = tally.reporting_unreachable * 2 <= tally.reachable;
        if observed == self.reachable {
            self.contradicted_since = None;
            return;
        }
        let since = *self.contradicted_since.get_or_insert(now);
        if now.since(since) >= REACHABILITY_HOLD_MS {
            self.reachable = observed;
            self.contradicted_since = None;
        }
    }
}

/// Returns whether a gateway counts as reachable again after a freeze.
///
/// Each peer must have had the time to send a heartbeat, and most of those that did must have
/// received one that was sent after the freeze. A gateway that no heartbeat reaches for
/// [`NO_PEERS_TIMEOUT_MS`] has no running peers and may serve alone.
fn is_confirmed(tally: ReachabilityTally, ms_since_resume: u64) -> bool {
    if tally.reachable == 0 {
        return ms_since_resume >= NO_PEERS_TIMEOUT_MS;
    }
    ms_since_resume >= HEARTBEAT_INTERVAL_MS && tally.confirming * 2 > tally.reachable
}
