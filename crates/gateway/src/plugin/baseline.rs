//! Baseline policy, which measurements compare with the default policy.
//!
//! Each gateway sends requests to the backend servers by round robin and ejects one after
//! consecutive errors. Gateways share nothing.

use std::collections;

use toucanledge_core::{Millis, VmId};
use toucanledge_slots::LeaseOutcome;

/// Consecutive errors after which a backend server is ejected, a usual default of proxies.
const CONSECUTIVE_ERROR_LIMIT: u32 = 5;
/// Time in milliseconds for which a backend server stays ejected, a usual default of proxies.
const EJECTION_MS: u64 = 30_000;

#[derive(Clone, Copy, Debug, Default)]
struct ErrorRecord {
    consecutive_errors: u32,
    ejected_until: Millis,
}

/// Round robin with ejection after consecutive errors.
#[derive(Debug, Default)]
pub struct BaselinePolicy {
    last_index: usize,
    records: collections::HashMap<VmId, ErrorRecord>,
}

impl BaselinePolicy {
    /// Returns the next backend server by round robin; `None` when all are excluded.
    ///
    /// When every backend server is ejected, the ejections are ignored.
    pub fn choose(&mut self, servers: &[VmId], exclude: &[VmId], now: Millis) -> Option<VmId> {
        let is_in_service = |server: &VmId| {
            self.records
                .get(server)
                .is_none_or(|record| now >= record.ejected_until)
        };
        let allowed: Vec<VmId> = servers
            .iter()
            .filter(|server| !exclude.contains(server))
            .copied()
            .collect();
        let healthy: Vec<VmId> = allowed
            .iter()
            .filter(|server| is_in_service(server))
            .copied()
            .collect();
        let candidates = if healthy.is_empty() { allowed } else { healthy };
        self.last_index = self.last_index.wrapping_add(1);
        candidates
            .get(self.last_index % candidates.len().max(1))
            .copied()
    }

    /// Records how a request ended; returns true when the backend server is now ejected.
    pub fn record(&mut self, server: VmId, outcome: LeaseOutcome, now: Millis) -> bool {
        let record = self.records.entry(server).or_default();
        match outcome {
            LeaseOutcome::Completed => record.consecutive_errors = 0,
            LeaseOutcome::Cancelled => {}
            _ => record.consecutive_errors += 1,
        }
        let ejected = record.consecutive_errors >= CONSECUTIVE_ERROR_LIMIT;
        if ejected {
            *record = ErrorRecord {
                consecutive_errors: 0,
                ejected_until: now + EJECTION_MS,
            };
        }
        ejected
    }
}
