//! Crash suspects: requests that were in flight when a backend server crashed.

use std::collections;

use toucanledge_core::{Fingerprint, Millis, VmId};

/// A request is refused once this many backend servers crashed with it in flight.
const REFUSED_LOSSES: u32 = 2;
/// Time for which a lost connection counts against its request.
const LOSS_TTL_MS: u64 = 60_000;

/// Loss of a connection with a request in flight.
#[derive(Clone, Copy, Debug)]
struct RequestLoss {
    backend: VmId,
    at: Millis,
    /// The crash of the backend server is confirmed.
    crashed: bool,
}

/// How strongly a request is suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SuspicionLevel {
    Clear,
    /// May run, but one suspected request of the shard at a time.
    Suspect,
    /// Must wait: a connection broke and the crash is not confirmed yet.
    Unconfirmed,
    Refused,
}

/// Losses that this dispatcher observed and crash suspects that gateways reported.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashSuspectStore {
    reported: collections::HashMap<Fingerprint, u32>,
    losses: collections::HashMap<Fingerprint, Vec<RequestLoss>>,
}

impl CrashSuspectStore {
    pub(crate) fn set_reported(&mut self, reported: impl IntoIterator<Item = (Fingerprint, u32)>) {
        self.reported = reported.into_iter().collect();
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.reported.is_empty() && self.losses.is_empty()
    }

    pub(crate) fn level(&self, fingerprint: Fingerprint) -> SuspicionLevel {
        let reported = self.reported.get(&fingerprint).copied().unwrap_or(0);
        let losses = self.losses.get(&fingerprint).map_or(&[][..], Vec::as_slice);
        let crashes = losses.iter().filter(|loss| loss.crashed).count();
        // Reports of the gateways include losses of this dispatcher, so the counts are not added.
        let count = reported.max(u32::try_from(crashes).unwrap_or(u32::MAX));
        if count >= REFUSED_LOSSES {
            SuspicionLevel::Refused
        } else if losses.iter().any(|loss| !loss.crashed) {
            SuspicionLevel::Unconfirmed
        } else if count > 0 {
            SuspicionLevel::Suspect
        } else {
            SuspicionLevel::Clear
        }
    }

    pub(crate) fn add_loss(&mut self, fingerprint: Fingerprint, backend: VmId, now: Millis) {
        let losses = self.losses.entry(fingerprint).or_default();
        if losses.iter().all(|loss| loss.backend != backend) {
            losses.push(RequestLoss {
                backend,
                at: now,
                crashed: false,
            });
        }
    }

    /// Confirms the losses at a backend server as a crash and returns their requests.
    pub(crate) fn confirm_crash(&mut self, backend: VmId) -> Vec<Fingerprint> {
        let mut confirmed = Vec::new();
        for (fingerprint, losses) in &mut self.losses {
            let unconfirmed = losses
                .iter_mut()
                .filter(|loss| loss.backend == backend && !loss.crashed);
            for loss in unconfirmed {
                loss.crashed = true;
                confirmed.push(*fingerprint);
            }
        }
        confirmed.sort_unstable();
        confirmed
    }

    /// Drops the unconfirmed losses at a backend server that did not crash.
    pub(crate) fn dismiss_crash(&mut self, backend: VmId) {
        self.retain(|loss| loss.crashed || loss.backend != backend);
    }

    pub(crate) fn expire(&mut self, now: Millis) {
        self.retain(|loss| now.since(loss.at) < LOSS_TTL_MS);
    }

    pub(crate) fn len(&self) -> usize {
        self.losses.len()
    }

    fn retain(&mut self, keeps: impl Fn(&RequestLoss) -> bool) {
        self.losses.retain(|_, losses| {
            losses.retain(&keeps);
            !losses.is_empty()
        });
    }
}
