//! Leases that requests of this gateway hold.

use std::collections;

use tokio::sync::oneshot;
use toucanledge_core::{CallerHash, ClassId, Fingerprint, Millis, ShardId, VmId};
use toucanledge_slots::{HeldLease, LeaseId};

/// Lease that a request of this gateway uses.
#[derive(Clone, Copy, Debug)]
pub struct HeldSlot {
    /// Backend server of the slot.
    pub backend: VmId,
    /// Class of the request.
    pub class: ClassId,
    /// Caller of the request.
    pub caller: CallerHash,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// When the lease was granted.
    pub granted_at: Millis,
    /// Deadline of the request.
    pub deadline: Millis,
}

#[derive(Debug)]
struct RevocableSlot {
    slot: HeldSlot,
    revocation: Option<oneshot::Sender<()>>,
}

/// Leases in use, by dispatcher, shard and lease identifier.
#[derive(Debug, Default)]
pub struct HeldSlots {
    slots: collections::HashMap<(VmId, ShardId, LeaseId), RevocableSlot>,
}

impl HeldSlots {
    /// Stores a lease and returns the channel that signals its revocation.
    pub fn insert(
        &mut self,
        dispatcher: VmId,
        shard: ShardId,
        lease: LeaseId,
        slot: HeldSlot,
    ) -> oneshot::Receiver<()> {
        let (revocation, revoked) = oneshot::channel();
        let revocation = Some(revocation);
        let key = (dispatcher, shard, lease);
        self.slots.insert(key, RevocableSlot { slot, revocation });
        revoked
    }

    /// Removes a lease that ended.
    pub fn remove(&mut self, dispatcher: VmId, shard: ShardId, lease: LeaseId) {
        self.slots.remove(&(dispatcher, shard, lease));
    }

    /// Signals the requests in flight at an ejected backend server to retry at another.
    pub fn revoke(&mut self, backend: VmId) {
        let slots = self.slots.values_mut();
        for held in slots.filter(|held| held.slot.backend == backend) {
            if let Some(revocation) = held.revocation.take() {
                let _ = revocation.send(());
            }
        }
    }

    /// Returns the leases of a shard in the form that is sent to its new dispatcher.
    #[must_use]
    pub fn leases_of_shard(&self, shard: ShardId, now: Millis) -> Vec<HeldLease> {
        let slots = self.slots.iter();
        slots
            .filter(|((_, held_shard, _), _)| *held_shard == shard)
            .map(|((_, _, lease), held)| held.slot.to_held_lease(*lease, now))
            .collect()
    }
}

impl HeldSlot {
    fn to_held_lease(self, lease: LeaseId, now: Millis) -> HeldLease {
        HeldLease {
            lease,
            backend: self.backend,
            class: self.class,
            caller: self.caller,
            fingerprint: self.fingerprint,
            age_ms: u32::try_from(now.since(self.granted_at)).unwrap_or(u32::MAX),
            remaining_ms: u32::try_from(self.deadline.since(now)).unwrap_or(u32::MAX),
        }
    }
}
