//! The plain policy that measurements compare with.
//!
//! Every gateway is independent: it sends requests to the backend servers in turn and ejects one
//! after consecutive errors. Nothing is shared between gateways.

use std::collections;

use toucanledge_core::{Millis, VmId};
use toucanledge_slots::LeaseOutcome;

/// Consecutive errors after which a backend server is ejected, a usual default of proxies.
const EJECTION_ERRORS: u32 = 5;
/// Absence in milliseconds of an ejected backend server, a usual default of proxies.
const ABSENCE_MS: u64 = 30_000;

#[derive(Clone, Copy, Debug, Default)]
struct ServerRecord {
    errors: u32,
    out_until: Millis,
}

/// Round robin with ejection after consecutive errors.
#[derive(Debug, Default)]
pub struct BaselinePolicy {
    turn: usize,
    records: collections::HashMap<VmId, ServerRecord>,
}

impl BaselinePolicy {
    /// Returns the next backend server in turn; `None` when all are excluded.
    ///
    /// When every backend server is ejected, the ejections are ignored.
    pub fn choose(&mut self, servers: &[VmId], exclude: &[VmId], now: Millis) -> Option<VmId> {
        let in_service = |server: &VmId| {
            self.records
                .get(server)
                .is_none_or(|record| now >= record.out_until)
        };
        let usable: Vec<VmId> = servers
            .iter()
            .filter(|server| !exclude.contains(server))
            .copied()
            .collect();
        let healthy: Vec<VmId> = usable
            .iter()
            .filter(|server| in_service(server))
            .copied()
            .collect();
        let candidates = if healthy.is_empty() { usable } else { healthy };
        self.turn = self.turn.wrapping_add(1);
        candidates.get(self.turn % candidates.len().max(1)).copied()
    }

    /// Notes how a request ended; returns true when the backend server is ejected now.
    pub fn record(&mut self, server: VmId, outcome: LeaseOutcome, now: Millis) -> bool {
        let record = self.records.entry(server).or_default();
        match outcome {
            LeaseOutcome::Completed => record.errors = 0,
            LeaseOutcome::Cancelled => {}
            _ => record.errors += 1,
        }
        let ejected = record.errors >= EJECTION_ERRORS;
        if ejected {
            *record = ServerRecord {
                errors: 0,
                out_until: now + ABSENCE_MS,
            };
        }
        ejected
    }
}
