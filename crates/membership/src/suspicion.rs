//! Crash suspicions: requests that may have crashed backend servers.

use std::collections;

use toucanledge_core::{Fingerprint, Millis};

use crate::limits::{
    LOSS_DEDUP_TOLERANCE_MS, MAX_SUSPICIONS, MAX_SUSPICIONS_REPORTED, SUSPICION_TTL_MS,
};
use crate::message::CrashSuspicion;

/// Crash suspicions of this gateway and its peers.
#[derive(Clone, Debug, Default)]
pub struct SuspicionList {
    entries: collections::HashMap<Fingerprint, SuspicionEntry>,
}

#[derive(Clone, Copy, Debug)]
struct SuspicionEntry {
    lost_backends: u8,
    recorded_at: Millis,
    /// Age of the last loss at `recorded_at`; 0 for a loss that this gateway saw itself.
    initial_age_ms: u64,
}

impl SuspicionEntry {
    fn age_ms(self, now: Millis) -> u64 {
        now.since(self.recorded_at)
            .saturating_add(self.initial_age_ms)
    }

    fn to_suspicion(self, fingerprint: Fingerprint, now: Millis) -> CrashSuspicion {
        CrashSuspicion {
            fingerprint,
            lost_backends: self.lost_backends,
            age_ms: u32::try_from(self.age_ms(now)).unwrap_or(u32::MAX),
        }
    }
}

impl SuspicionList {
    /// Records the loss of a backend server that ran the request, and returns its suspicion.
    pub fn record_backend_loss(&mut self, fingerprint: Fingerprint, now: Millis) -> CrashSuspicion {
        let lost_backends = self
            .get(fingerprint, now)
            .map_or(0, |suspicion| suspicion.lost_backends);
        let entry = SuspicionEntry {
            lost_backends: lost_backends.saturating_add(1),
            recorded_at: now,
            initial_age_ms: 0,
        };
        self.insert(fingerprint, entry, now);
        entry.to_suspicion(fingerprint, now)
    }

    /// Merges a peer's suspicion.
    ///
    /// The larger number of lost backend servers is kept. The reported age replaces the stored one
    /// when the peer counts more losses, or when it is younger by more than
    /// [`LOSS_DEDUP_TOLERANCE_MS`].
    pub fn merge(&mut self, reported: CrashSuspicion, now: Millis) {
        let age_ms = u64::from(reported.age_ms);
        if age_ms >= SUSPICION_TTL_MS || reported.lost_backends == 0 {
            return;
        }
        let known = self.entries.get(&reported.fingerprint).copied();
        let known = known.filter(|entry| entry.age_ms(now) < SUSPICION_TTL_MS);
        let reported_entry = SuspicionEntry {
            lost_backends: reported.lost_backends,
            recorded_at: now,
            initial_age_ms: age_ms,
        };
        let merged = known.map_or(reported_entry, |entry| {
            merge_entries(entry, reported_entry, now)
        });
        self.insert(reported.fingerprint, merged, now);
    }

    /// Returns the suspicion of a request, unless it has expired.
    pub fn get(&self, fingerprint: Fingerprint, now: Millis) -> Option<CrashSuspicion> {
        self.entries
            .get(&fingerprint)
            .filter(|entry| entry.age_ms(now) < SUSPICION_TTL_MS)
            .map(|entry| entry.to_suspicion(fingerprint, now))
    }

    /// Returns the most recent suspicions, as many as a heartbeat carries.
    pub fn most_recent(&self, now: Millis) -> Vec<CrashSuspicion> {
        let mut all = self.all(now);
        all.truncate(MAX_SUSPICIONS_REPORTED);
        all
    }

    /// Returns all suspicions, the most recent first.
    pub fn all(&self, now: Millis) -> Vec<CrashSuspicion> {
        let mut all: Vec<CrashSuspicion> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.age_ms(now) < SUSPICION_TTL_MS)
            .map(|(fingerprint, entry)| entry.to_suspicion(*fingerprint, now))
            .collect();
        all.sort_unstable_by_key(|suspicion| (suspicion.age_ms, suspicion.fingerprint));
        all
    }

    /// Removes expired suspicions.
    pub fn expire(&mut self, now: Millis) {
        self.entries
            .retain(|_, entry| entry.age_ms(now) < SUSPICION_TTL_MS);
    }

    fn insert(&mut self, fingerprint: Fingerprint, entry: SuspicionEntry, now: Millis) {
        self.entries.insert(fingerprint, entry);
        if self.entries.len() <= MAX_SUSPICIONS {
            return;
        }
        let oldest = self
            .entries
            .iter()
            .max_by_key(|(fingerprint, entry)| (entry.age_ms(now), **fingerprint))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(oldest) = oldest {
            self.entries.remove(&oldest);
        }
    }
}

fn merge_entries(known: SuspicionEntry, reported: SuspicionEntry, now: Millis) -> SuspicionEntry {
    let has_more_losses = reported.lost_backends > known.lost_backends;
    let is_younger = reported.age_ms(now) + LOSS_DEDUP_TOLERANCE_MS < known.age_ms(now);
    let age_source = if has_more_losses || is_younger {
        reported
    } else {
        known
    };
    SuspicionEntry {
        lost_backends: known.lost_backends.max(reported.lost_backends),
        ..age_source
    }
}
