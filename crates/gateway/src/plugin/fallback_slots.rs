//! Fallback slots: one of each backend server, used while no dispatcher replies.

use std::collections;

use toucanledge_core::{Fingerprint, PoolId, VmId, VmList, VmState};
use toucanledge_membership::ShardMap;
use toucanledge_slots::LeaseRequestId;

use crate::plugin::slots::SlotRequest;

/// At most one slot of each backend server, counted by this gateway alone.
#[derive(Debug, Default)]
pub struct FallbackSlots {
    servers: collections::HashMap<PoolId, Vec<VmId>>,
    used: collections::HashMap<VmId, (LeaseRequestId, Fingerprint)>,
    leaving: collections::BTreeSet<VmId>,
}

impl FallbackSlots {
    /// Applies the backend servers of the current table and VM list.
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
    pub fn pool_count(&self) -> usize {
        self.servers.len()
    }

    /// Returns the backend servers of a pool.
    #[must_use]
    pub fn servers(&self, pool: PoolId) -> &[VmId] {
        self.servers.get(&pool).map_or(&[], Vec::as_slice)
    }

    /// Takes the fallback slot of a backend server whose slot is not in use.
    ///
    /// Backend servers that are leaving are skipped here, because no dispatcher does it.
    pub fn acquire(&mut self, request_id: LeaseRequestId, request: &SlotRequest) -> Option<VmId> {
        let servers = self.servers(request.pool);
        let start = usize::try_from(request_id.0).unwrap_or(0);
        let server = (0..servers.len())
            .map(|offset| servers[(start + offset) % servers.len()])
            .find(|server| {
                let is_unavailable =
                    self.used.contains_key(server) || self.leaving.contains(server);
                !is_unavailable && !request.exclude.contains(server)
            })?;
        self.used.insert(server, (request_id, request.fingerprint));
        Some(server)
    }

    /// Releases a fallback slot and returns the fingerprint of the request that used it.
    pub fn release(&mut self, backend: VmId, request_id: LeaseRequestId) -> Option<Fingerprint> {
        let (holder, fingerprint) = *self.used.get(&backend)?;
        if holder != request_id {
            return None;
        }
        self.used.remove(&backend);
        Some(fingerprint)
    }
}
