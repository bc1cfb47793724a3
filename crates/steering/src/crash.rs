//! Tracks requests that may crash the backend servers that run them.

use std::collections;

use toucanledge_core::{Fingerprint, Millis};

use crate::row::ServerId;

/// Number of different backend servers, lost while running a request, from which the request is
/// refused.
const CRASH_SUSPECT_LOSSES: usize = 2;
/// Time for which a loss counts.
const RETENTION_MS: u64 = 60_000;
/// Limit of tracked requests. At the limit, requests without a loss in the last quarter of the
/// retention time are removed.
const MAX_REQUESTS: usize = 512;

/// Crash suspects: for each request, the backend servers that were lost while running it.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    losses: collections::HashMap<Fingerprint, Vec<(ServerId, Millis)>>,
}

impl CrashTracker {
    /// Records that the connection to a backend server was lost while it ran a request.
    pub fn record_crash(&mut self, request: Fingerprint, server: ServerId, now: Millis) {
        if self.losses.len() >= MAX_REQUESTS {
            self.losses.retain(|_, losses| {
                losses
                    .iter()
                    .any(|(_, at)| now.since(*at) < RETENTION_MS / 4)
            });
        }
        if self.losses.len() >= MAX_REQUESTS {
            return;
        }
        let losses = self.losses.entry(request).or_default();
        losses.retain(|(_, at)| now.since(*at) < RETENTION_MS);
        match losses.iter_mut().find(|(known, _)| *known == server) {
            Some((_, at)) => *at = now,
            None => losses.push((server, now)),
        }
    }

    /// Returns whether a request is suspected of crashing backend servers and must be refused.
    #[must_use]
    pub fn is_crash_suspect(&self, request: Fingerprint, now: Millis) -> bool {
        self.losses.get(&request).is_some_and(|losses| {
            let recent = losses
                .iter()
                .filter(|(_, at)| now.since(*at) < RETENTION_MS);
            recent.count() >= CRASH_SUSPECT_LOSSES
        })
    }
}
