//! Recovery of the list history after a start, and the cold start of a fleet.

use toucanledge_core::{Millis, VmId};

use super::ListHistory;
use crate::rules::{DISPATCH_PERMIT_MS, LEASE_MS};

/// Time after the start of the process before which a history is not recovered.
///
/// A confirmation that this VM gave before it restarted stays valid for one lease. Confirmations
/// that recover the history must be sent later than that, and are at most one lease old.
const RECOVERY_DELAY_MS: u64 = 2 * LEASE_MS;

impl ListHistory {
    /// Recovers the history if possible, and records the end of the startup period.
    pub(super) fn update_recovery(&mut self, now: Millis) {
        if now.0 < RECOVERY_DELAY_MS || !self.rules.recovered_history {
            return;
        }
        if !self.recovered || self.versions.len() > 1 {
            self.try_recover(now);
        }
        self.past_startup_period = self.recovered && self.is_past_startup_period(now);
    }

    fn try_recover(&mut self, now: Millis) {
        let complete = self.is_confirmed_by_whole_list(now);
        let cold_start = complete && !self.has_established_gateway(now);
        if cold_start && (!self.recovered || self.lacks_majority(now)) {
            self.cold_start_at = Some(now);
            self.retire_before(self.newest_version().unwrap_or_default(), now);
        }
        self.recovered = self.recovered || complete || self.is_lease_held(now);
    }

    pub(super) fn is_past_startup_period(&self, now: Millis) -> bool {
        let startup_ms = self.window.at(now) + LEASE_MS;
        // Votes of gateways that were replaced may be as recent as the cold start.
        let is_too_recent = |since| now.since(since) < startup_ms + DISPATCH_PERMIT_MS;
        self.past_startup_period
            || now.0 >= startup_ms && !self.cold_start_at.is_some_and(is_too_recent)
    }

    /// Returns whether this gateway or a reachable peer, listed or not, may store earlier votes.
    fn has_established_gateway(&self, now: Millis) -> bool {
        let mut peers = self.peers.values();
        self.recovered && self.is_past_startup_period(now)
            || peers.any(|peer| peer.established && peer.is_fresh(now))
    }

    /// Returns whether every gateway of the newest version confirms it.
    fn is_confirmed_by_whole_list(&self, now: Millis) -> bool {
        self.versions.values().next_back().is_some_and(|version| {
            let mut gateways = version.gateways.keys();
            gateways.all(|vm| self.has_confirmation_of(*vm, now))
        })
    }

    /// Returns whether some version has no majority of confirming gateways, established or not.
    fn lacks_majority(&self, now: Millis) -> bool {
        self.versions.values().any(|version| {
            let gateways = version.gateways.keys();
            let confirming = gateways
                .filter(|vm| self.has_confirmation_of(**vm, now))
                .count();
            confirming * 2 <= version.gateways.len()
        })
    }

    fn has_confirmation_of(&self, vm: VmId, now: Millis) -> bool {
        let peer = self.peers.get(&vm);
        vm == self.vm || peer.is_some_and(|peer| self.confirms_newest(peer, now))
    }
}
