//! Requests suspected of crashing backend servers.

use std::collections;

use toucanledge_core::{Fingerprint, Millis};

use crate::limits::{
    LOSS_DEDUP_TOLERANCE_MS, MAX_SUSPICIONS, MAX_SUSPICIONS_REPORTED, SUSPICION_TTL_MS,
};
use crate::message::CrashSuspicion;

/// Suspicions of this gateway and its peers.
#[derive(Clone, Debug, Default)]
pub struct SuspicionList {
    entries: collections::HashMap<Fingerprint, SuspicionEntry>,
}

#[derive(Clone, Copy, Debug)]
struct SuspicionEntry {
    losses: u8,
    last_loss: Millis,
    /// Age at `last_loss`; not 0 when the loss is older than this process.
    age_then: u64,
}

impl SuspicionEntry {
    fn age(self, now: Millis) -> u64 {
        now.since(self.last_loss).saturating_add(self.age_then)
    }

    fn told(self, fingerprint: Fingerprint, now: Millis) -> CrashSuspicion {
        CrashSuspicion {
            fingerprint,
            lost_backends: self.losses,
            age_ms: u32::try_from(self.age(now)).unwrap_or(u32::MAX),
        }
    }
}

impl SuspicionList {
    /// Notes a backend server that this gateway lost to a request.
    pub fn note_loss(&mut self, fingerprint: Fingerprint, now: Millis) -> CrashSuspicion {
        let losses = self
            .get(fingerprint, now)
            .map_or(0, |known| known.lost_backends);
        let entry = SuspicionEntry {
            losses: losses.saturating_add(1),
            last_loss: now,
            age_then: 0,
        };
        self.insert(fingerprint, entry, now);
        entry.told(fingerprint, now)
    }

    /// Merges a suspicion of a peer: the greatest number of losses, the youngest age.
    pub fn merge(&mut self, told: CrashSuspicion, now: Millis) {
        let age = u64::from(told.age_ms);
        if age >= SUSPICION_TTL_MS || told.lost_backends == 0 {
            return;
        }
        let known = self.entries.get(&told.fingerprint).copied();
        let known = known.filter(|entry| entry.age(now) < SUSPICION_TTL_MS);
        let fresh = SuspicionEntry {
            losses: told.lost_backends,
            last_loss: now,
            age_then: age,
        };
        let merged = known.map_or(fresh, |entry| merge_entries(entry, fresh, now));
        self.insert(told.fingerprint, merged, now);
    }

    /// Returns the suspicion of a request, unless it expired.
    pub fn get(&self, fingerprint: Fingerprint, now: Millis) -> Option<CrashSuspicion> {
        self.entries
            .get(&fingerprint)
            .filter(|entry| entry.age(now) < SUSPICION_TTL_MS)
            .map(|entry| entry.told(fingerprint, now))
    }

    /// Returns the youngest suspicions, as many as a heartbeat carries.
    pub fn youngest(&self, now: Millis) -> Vec<CrashSuspicion> {
        let mut all = self.all(now);
        all.truncate(MAX_SUSPICIONS_REPORTED);
        all
    }

    /// Returns all suspicions, the youngest first.
    pub fn all(&self, now: Millis) -> Vec<CrashSuspicion> {
        let mut all: Vec<CrashSuspicion> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.age(now) < SUSPICION_TTL_MS)
            .map(|(fingerprint, entry)| entry.told(*fingerprint, now))
            .collect();
        all.sort_unstable_by_key(|told| (told.age_ms, told.fingerprint));
        all
    }

    /// Forgets expired suspicions.
    pub fn expire(&mut self, now: Millis) {
        self.entries
            .retain(|_, entry| entry.age(now) < SUSPICION_TTL_MS);
    }

    fn insert(&mut self, fingerprint: Fingerprint, entry: SuspicionEntry, now: Millis) {
        self.entries.insert(fingerprint, entry);
        if self.entries.len() <= MAX_SUSPICIONS {
            return;
        }
        let oldest = self
            .entries
            .iter()
            .max_by_key(|(fingerprint, entry)| (entry.age(now), **fingerprint))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(oldest) = oldest {
            self.entries.remove(&oldest);
        }
    }
}

fn merge_entries(known: SuspicionEntry, fresh: SuspicionEntry, now: Millis) -> SuspicionEntry {
    let more_losses = fresh.losses > known.losses;
    let younger = fresh.age(now) + LOSS_DEDUP_TOLERANCE_MS < known.age(now);
    let times = if more_losses || younger { fresh } else { known };
    SuspicionEntry {
        losses: known.losses.max(fresh.losses),
        ..times
    }
}
