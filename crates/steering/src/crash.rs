//! Requests that are suspected of crashing the backend servers that run them.

use std::collections;

use toucanledge_core::{Fingerprint, Millis};

use crate::row::ServerId;

/// Losses on different backend servers after which a request is refused.
const MAX_LOSSES: usize = 2;
/// Time in milliseconds for which losses are remembered.
const RETENTION_MS: u64 = 60_000;
/// Suspected requests that are remembered at most.
const MAX_REQUESTS: usize = 512;

/// Backend servers lost to each request.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    losses: collections::HashMap<Fingerprint, Vec<(ServerId, Millis)>>,
}

impl CrashTracker {
    /// Notes that a backend server broke off while it ran a request.
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

    /// Returns whether a request is to be refused.
    #[must_use]
    pub fn is_crash_suspect(&self, request: Fingerprint, now: Millis) -> bool {
        self.losses.get(&request).is_some_and(|losses| {
            let recent = losses
                .iter()
                .filter(|(_, at)| now.since(*at) < RETENTION_MS);
            recent.count() >= MAX_LOSSES
        })
    }
}
