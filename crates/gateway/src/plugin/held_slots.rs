//! Leases that this gateway holds.

use std::collections;

use tokio::sync::oneshot;
use toucanledge_core::{CallerHash, ClassId, Fingerprint, Millis, ShardId, VmId};
use toucanledge_slots::{HeldLease, LeaseId};

/// A lease in use.
#[derive(Clone, Copy, Debug)]
pub struct HeldSlot {
    /// Backend server in use.
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
    revoke: Option<oneshot::Sender<()>>,
}

/// Leases in use by the dispatcher that granted them.
#[derive(Debug, Default)]
pub struct HeldSlots {
    slots: collections::HashMap<(VmId, ShardId, LeaseId), RevocableSlot>,
}

impl HeldSlots {
    /// Notes a lease and returns the channel that tells of its revocation.
    pub fn insert(
        &mut self,
        dispatcher: VmId,
        shard: ShardId,
        lease: LeaseId,
        slot: HeldSlot,
    ) -> oneshot::Receiver<()> {
        let (revoke, revoked) = oneshot::channel();
        let revoke = Some(revoke);
        let key = (dispatcher, shard, lease);
        self.slots.insert(key, RevocableSlot { slot, revoke });
        revoked
    }

    /// Forgets a lease that ended.
    pub fn remove(&mut self, dispatcher: VmId, shard: ShardId, lease: LeaseId) {
        self.slots.remove(&(dispatcher, shard, lease));
    }

    /// Tells the requests in flight at an ejected backend server to try elsewhere.
    pub fn revoke(&mut self, backend: VmId) {
        let slots = self.slots.values_mut();
        for held in slots.filter(|held| held.slot.backend == backend) {
            if let Some(revoke) = held.revoke.take() {
                let _ = revoke.send(());
            }
        }
    }

    /// Returns the leases of a shard as a new dispatcher is told of them.
    #[must_use]
    pub fn of_shard(&self, shard: ShardId, now: Millis) -> Vec<HeldLease> {
        let slots = self.slots.iter();
        slots
            .filter(|((_, own, _), _)| *own == shard)
            .map(|((_, _, lease), held)| held.slot.to_held(*lease, now))
            .collect()
    }
}

impl HeldSlot {
    fn to_held(self, lease: LeaseId, now: Millis) -> HeldLease {
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
