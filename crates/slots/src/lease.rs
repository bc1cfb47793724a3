//! Leases of slots.

use std::collections;

use slotmap::{Key, KeyData};
use toucanledge_core::{Millis, VmId};

use crate::memory;
use crate::queue;
use crate::server;
use crate::{LeaseId, LeaseRequestId};

slotmap::new_key_type! {
    pub(crate) struct LeaseKey;
}

/// A slot that a gateway holds.
#[derive(Clone, Debug)]
pub(crate) struct Lease {
    pub(crate) server: server::ServerKey,
    pub(crate) gateway: VmId,
    /// Ask that led to the lease; none for a lease of an earlier dispatcher.
    pub(crate) ask: Option<LeaseRequestId>,
    /// Id at the earlier dispatcher.
    pub(crate) adopted: Option<LeaseId>,
    pub(crate) mark: memory::WorkMark,
    pub(crate) start: Millis,
    pub(crate) ends: Millis,
    /// Counts as long work, by memory or by age.
    pub(crate) long: bool,
    /// The memory has recorded the work as long already.
    pub(crate) recorded: bool,
    /// A later request completed at the same backend server when this one was overdue.
    pub(crate) overtaken: bool,
    /// Lane of the queue that the ask came from.
    pub(crate) lane: queue::AskLane,
}

impl Lease {
    /// Returns whether the memory expected long work at the grant.
    pub(crate) fn expected_long(&self) -> bool {
        self.lane == queue::AskLane::Long
    }

    pub(crate) fn age(&self, now: Millis) -> u64 {
        now.since(self.start)
    }
}

/// All leases of a shard.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaseBook {
    pub(crate) arena: slotmap::SlotMap<LeaseKey, Lease>,
    adopted: collections::HashMap<(VmId, LeaseId), LeaseKey>,
    /// Distinguishes the ids of this dispatcher process from those of earlier ones.
    salt: u64,
}

impl LeaseBook {
    pub(crate) fn new(salt: u64) -> Self {
        Self {
            salt,
            ..Self::default()
        }
    }

    pub(crate) fn id(&self, key: LeaseKey) -> LeaseId {
        LeaseId(key.data().as_ffi() ^ self.salt)
    }

    /// Returns the lease with this id, if the gateway holds it still.
    pub(crate) fn find(&self, gateway: VmId, id: LeaseId) -> Option<LeaseKey> {
        if let Some(key) = self.adopted.get(&(gateway, id)) {
            return Some(*key);
        }
        let key = LeaseKey::from(KeyData::from_ffi(id.0 ^ self.salt));
        let lease = self.arena.get(key)?;
        (lease.gateway == gateway && self.id(key) == id).then_some(key)
    }

    pub(crate) fn insert(&mut self, lease: Lease) -> LeaseKey {
        let adopted = lease.adopted.map(|id| (lease.gateway, id));
        let key = self.arena.insert(lease);
        if let Some(name) = adopted {
            self.adopted.insert(name, key);
        }
        key
    }

    pub(crate) fn remove(&mut self, key: LeaseKey) -> Option<Lease> {
        let lease = self.arena.remove(key)?;
        if let Some(id) = lease.adopted {
            self.adopted.remove(&(lease.gateway, id));
        }
        Some(lease)
    }

    pub(crate) fn of_gateway(&self, gateway: VmId) -> Vec<LeaseKey> {
        self.keys_where(|lease| lease.gateway == gateway)
    }

    pub(crate) fn of_ask(&self, gateway: VmId, ask: LeaseRequestId) -> Option<LeaseKey> {
        self.arena
            .iter()
            .find(|(_, lease)| lease.gateway == gateway && lease.ask == Some(ask))
            .map(|(key, _)| key)
    }

    pub(crate) fn ended(&self, now: Millis) -> Vec<LeaseKey> {
        self.keys_where(|lease| lease.ends <= now)
    }

    pub(crate) fn first_end(&self) -> Option<Millis> {
        self.arena.values().map(|lease| lease.ends).min()
    }

    pub(crate) fn long(&self) -> usize {
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
