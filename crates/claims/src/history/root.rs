//! The root of a history and the cold start of a fleet.

use toucanledge_core::{Millis, VmId};

use super::ListHistory;
use crate::rules::{DISPATCH_PERMIT_MS, LEASE_MS};

/// Time in milliseconds after the start before which a history gets no root.
///
/// A confirmation that this VM gave before it restarted counts for one lease. The confirmations
/// that make the root must be sent later than that, and they are at most one lease old.
const ROOT_DELAY_MS: u64 = 2 * LEASE_MS;

impl ListHistory {
    /// Looks for a root, and notes when the gateway has run long enough.
    pub(super) fn take_root(&mut self, now: Millis) {
        if now.0 < ROOT_DELAY_MS || !self.rules.recovered_history {
            return;
        }
        if !self.rooted || self.groups.len() > 1 {
            self.seek_root(now);
        }
        self.aged = self.rooted && self.is_aged(now);
    }

    fn seek_root(&mut self, now: Millis) {
        let whole = self.hears_whole_list(now);
        let cold = whole && !self.hears_memory(now);
        if cold && (!self.rooted || self.lacks_majority(now)) {
            self.cold_since = Some(now);
            self.raise_floor(self.newest_version().unwrap_or_default(), now);
        }
        self.rooted = self.rooted || whole || self.is_lease_held(now);
    }

    pub(super) fn is_aged(&self, now: Millis) -> bool {
        let age = self.window.at(now) + LEASE_MS;
        // Votes of gateways that were replaced may be as young as the cold start.
        let cold = |since| now.since(since) < age + DISPATCH_PERMIT_MS;
        self.aged || now.0 >= age && !self.cold_since.is_some_and(cold)
    }

    /// Returns whether this gateway or a peer, listed or not, may remember earlier votes.
    fn hears_memory(&self, now: Millis) -> bool {
        let mut peers = self.peers.values();
        self.rooted && self.is_aged(now) || peers.any(|view| view.established && view.is_fresh(now))
    }

    /// Returns whether every gateway of the greatest version agrees.
    fn hears_whole_list(&self, now: Millis) -> bool {
        self.groups.values().next_back().is_some_and(|group| {
            let mut gateways = group.gateways.keys();
            gateways.all(|vm| self.hears_agree(*vm, now))
        })
    }

    /// Returns whether too few gateways of a version are left, established or not.
    fn lacks_majority(&self, now: Millis) -> bool {
        self.groups.values().any(|group| {
            let agreeing = group.gateways.keys();
            let agreeing = agreeing.filter(|vm| self.hears_agree(**vm, now)).count();
            agreeing * 2 <= group.gateways.len()
        })
    }

    fn hears_agree(&self, vm: VmId, now: Millis) -> bool {
        let view = self.peers.get(&vm);
        vm == self.own || view.is_some_and(|view| self.agrees_with(view, now))
    }
}
