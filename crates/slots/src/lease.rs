//! Leases of slots.

use std::collections;

use slotmap::{Key, KeyData};
use toucanledge_core::{Millis, VmId};

use crate::long_work;
use crate::queue;
use crate::server;
use crate::{LeaseId, LeaseRequestId};

slotmap::new_key_type! {
    pub(crate) struct LeaseKey;
}

/// Right of a gateway to use a slot until the lease ends or expires.
#[derive(Clone, Debug)]
pub(crate) struct Lease {
    pub(crate) server: server::ServerKey,
    pub(crate) gateway: VmId,
    /// Request that the lease was granted for; none for an adopted lease.
    pub(crate) request_id: Option<LeaseRequestId>,
    /// Id that an earlier dispatcher gave the lease, if it was adopted.
    pub(crate) adopted_id: Option<LeaseId>,
    pub(crate) attributes: long_work::RequestAttributes,
    pub(crate) start: Millis,
    /// Time at which the lease ends without a report.
    pub(crate) expires: Millis,
    /// Counts as long work, by prediction or by age.
    pub(crate) long: bool,
    /// The long-work predictor needs no further record of this request.
    pub(crate) recorded: bool,
    /// A later request of the class completed at the backend server while this one was overdue.
    pub(crate) overtaken: bool,
    /// Queue lane of the request.
    pub(crate) lane: queue::QueueLane,
}

impl Lease {
    /// Returns whether long work was predicted for the request.
    pub(crate) fn expected_long(&self) -> bool {
        self.lane == queue::QueueLane::Long
    }

    pub(crate) fn age_ms(&self, now: Millis) -> u64 {
        now.since(self.start)
    }
}

/// Leases that are held in a shard.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaseStore {
    pub(crate) arena: slotmap::SlotMap<LeaseKey, Lease>,
    by_adopted_id: collections::HashMap<(VmId, LeaseId), LeaseKey>,
    /// Distinguishes the lease ids of this dispatcher process from those of earlier ones.
    salt: u64,
}

impl LeaseStore {
    pub(crate) fn new(salt: u64) -> Self {
        Self {
            salt,
            ..Self::default()
        }
    }

    pub(crate) fn id(&self, key: LeaseKey) -> LeaseId {
        LeaseId(key.data().as_ffi() ^ self.salt)
    }

    /// Returns the lease with this id, if the gateway still holds it.
    pub(crate) fn find(&self, gateway: VmId, id: LeaseId) -> Option<LeaseKey> {
        if let Some(key) = self.by_adopted_id.get(&(gateway, id)) {
            return Some(*key);
        }
        let key = LeaseKey::from(KeyData::from_ffi(id.0 ^ self.salt));
        let lease = self.arena.get(key)?;
        (lease.gateway == gateway && self.id(key) == id).then_some(key)
    }

    pub(crate) fn insert(&mut self, lease: Lease) -> LeaseKey {
        let adopted_id = lease.adopted_id.map(|id| (lease.gateway, id));
        let key = self.arena.insert(lease);
        if let Some(id) = adopted_id {
            self.by_adopted_id.insert(id, key);
        }
        key
    }

    pub(crate) fn remove(&mut self, key: LeaseKey) -> Option<Lease> {
        let lease = self.arena.remove(key)?;
        if let Some(id) = lease.adopted_id {
            self.by_adopted_id.remove(&(lease.gateway, id));
        }
        Some(lease)
    }

    pub(crate) fn of_gateway(&self, gateway: VmId) -> Vec<LeaseKey> {
        self.keys_where(|lease| lease.gateway == gateway)
    }

    pub(crate) fn of_request(&self, gateway: VmId, request_id: LeaseRequestId) -> Option<LeaseKey> {
        self.arena
            .iter()
            .find(|(_, lease)| lease.gateway == gateway && lease.request_id == Some(request_id))
            .map(|(key, _)| key)
    }

    pub(crate) fn expired(&self, now: Millis) -> Vec<LeaseKey> {
        self.keys_where(|lease| lease.expires <= now)
    }

    pub(crate) fn next_expiry(&self) -> Option<Millis> {
        self.arena.values().map(|lease| lease.expires).min()
    }

    pub(crate) fn long_count(&self) -> usize {
        self.arena.values().filter(|lease| lease.long).count()
    }

    fn keys_where(&self, matches: impl Fn(&Lease) -> bool) -> Vec<LeaseKey> {
        self.arena
            .iter()
            .filter(|(_, lease)| matches(lease))
            .map(|(key, _)| key)
            .collect()
    }
}
