//! Slots that a gateway may use while no dispatcher answers.

use std::collections;

use toucanledge_core::{Fingerprint, PoolId, VmId, VmList, VmState};
use toucanledge_membership::ShardMap;
use toucanledge_slots::LeaseRequestId;

use crate::plugin::slots::SlotRequest;

/// At most one slot of each backend server, by the gateway's own count.
#[derive(Debug, Default)]
pub struct SafeShare {
    servers: collections::HashMap<PoolId, Vec<VmId>>,
    used: collections::HashMap<VmId, (LeaseRequestId, Fingerprint)>,
    leaving: collections::BTreeSet<VmId>,
}

impl SafeShare {
    /// Takes the present backend servers.
    pub fn reconfigure(&mut self, list: &VmList, shards: &ShardMap) {
        self.servers.clear();
        for shard in shards.shards() {
            let servers = self.servers.entry(shard.pool).or_default();
            servers.extend_from_slice(shards.backends(shard));
        }
        let leaving = list
            .backends()
            .filter(|entry| entry.state == VmState::Leaving);
        self.leaving = leaving.map(|entry| entry.vm).collect();
    }

    /// Returns the number of pools.
    #[must_use]
    pub fn pools(&self) -> usize {
        self.servers.len()
    }

    /// Returns the backend servers of a pool.
    #[must_use]
    pub fn servers(&self, pool: PoolId) -> &[VmId] {
        self.servers.get(&pool).map_or(&[], Vec::as_slice)
    }

    /// Takes the slot of a backend server that this gateway does not use yet.
    ///
    /// No dispatcher is asked, so this gateway itself leaves out those that are leaving.
    pub fn take(&mut self, ask: LeaseRequestId, request: &SlotRequest) -> Option<VmId> {
        let servers = self.servers(request.pool);
        let start = usize::try_from(ask.0).unwrap_or(0);
        let server = (0..servers.len())
            .map(|offset| servers[(start + offset) % servers.len()])
            .find(|server| {
                let taken = self.used.contains_key(server) || self.leaving.contains(server);
                !taken && !request.exclude.contains(server)
            })?;
        self.used.insert(server, (ask, request.fingerprint));
        Some(server)
    }

    /// Gives a slot back and returns the fingerprint of the request that used it.
    pub fn give_back(&mut self, backend: VmId, ask: LeaseRequestId) -> Option<Fingerprint> {
        let (user, fingerprint) = *self.used.get(&backend)?;
        if user != ask {
            return None;
        }
        self.used.remove(&backend);
        Some(fingerprint)
    }
}
