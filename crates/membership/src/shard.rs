//! Shards of the pools, and the gateways that are their dispatchers.

use std::cmp;
use std::collections;

use toucanledge_core::{
    FailureDomainId, ListVersion, PoolId, ShardId, VmId, VmList, rendezvous_order,
    rendezvous_weight,
};

use crate::group_assignment;
use crate::invariants;
use crate::limits::{MAX_PLATFORM_WATCHERS, MAX_SHARD_SIZE, MAX_SINGLE_SHARD_POOL_SIZE};

/// Rendezvous key by which the platform watchers are selected.
const WATCHER_KEY: u64 = 0x7761_7463_6865_7273;

/// Shards of one VM list and routing table, and the selection of their dispatchers.
#[derive(Clone, Debug, Default)]
pub struct ShardMap {
    list_version: ListVersion,
    shards: collections::BTreeMap<ShardId, Vec<VmId>>,
    shard_of: collections::BTreeMap<VmId, ShardId>,
    gateway_domains: collections::BTreeMap<VmId, FailureDomainId>,
}

impl ShardMap {
    /// Builds the shards from a VM list and the backend rows of a routing table.
    ///
    /// `pools` has the server name and the pool of each backend row. A listed backend server
    /// without a row is in no shard. A leaving backend server stays in its shard, so that its
    /// departure moves no other one. A pool of at most 12 backend servers is a single shard.
    ///
    /// ```
    /// use toucanledge_core::{PoolId, VmList};
    /// use toucanledge_membership::ShardMap;
    ///
    /// let rows = [("reading-03", PoolId::of("reading"))];
    /// let map = ShardMap::new(&VmList::default(), rows);
    /// assert_eq!(map.shards().count(), 0);
    /// ```
    #[must_use]
    pub fn new<'rows>(
        list: &VmList,
        pools: impl IntoIterator<Item = (&'rows str, PoolId)>,
    ) -> Self {
        let pools: collections::HashMap<&str, PoolId> = pools.into_iter().collect();
        let mut map = Self {
            list_version: list.version,
            gateway_domains: gateway_domains(list),
            ..Self::default()
        };
        for ((pool, domain), backends) in group_backends(list, &pools) {
            map.add_pool(pool, domain, &backends);
        }
        map.shards
            .values()
            .for_each(|backends| invariants::check_shard(backends));
        map
    }

    /// Returns the version of the VM list that the shards were built from.
    #[must_use]
    pub fn list_version(&self) -> ListVersion {
        self.list_version
    }

    /// Returns all shards.
    pub fn shards(&self) -> impl Iterator<Item = ShardId> {
        self.shards.keys().copied()
    }

    /// Returns the shards of a pool.
    pub fn shards_of(&self, pool: PoolId) -> impl Iterator<Item = ShardId> {
        let first = ShardId {
            pool,
            domain: FailureDomainId(0),
            index: 0,
        };
        let last = ShardId {
            pool,
            domain: FailureDomainId(u16::MAX),
            index: u16::MAX,
        };
        self.shards.range(first..=last).map(|(shard, _)| *shard)
    }

    /// Returns the backend servers of a shard, in order of their ids.
    #[must_use]
    pub fn backends(&self, shard: ShardId) -> &[VmId] {
        self.shards.get(&shard).map_or(&[], Vec::as_slice)
    }

    /// Returns the shard of a backend server.
    #[must_use]
    pub fn shard_of(&self, backend: VmId) -> Option<ShardId> {
        self.shard_of.get(&backend).copied()
    }

    /// Returns the failure domain of a gateway.
    #[must_use]
    pub fn gateway_domain(&self, gateway: VmId) -> Option<FailureDomainId> {
        self.gateway_domains.get(&gateway).copied()
    }

    /// Returns the dispatcher of a shard: the live gateway with the highest rendezvous weight in
    /// the shard's failure domain, or among all live gateways when that domain has none.
    ///
    /// Gateways that are not in the VM list are left out.
    #[must_use]
    pub fn dispatcher(&self, shard: ShardId, live: &[VmId]) -> Option<VmId> {
        let key = shard.rendezvous_key();
        let listed = || {
            live.iter()
                .filter_map(|vm| Some((*vm, self.gateway_domain(*vm)?)))
        };
        let in_domain = listed()
            .filter(|(_, domain)| *domain == shard.domain)
            .map(|(vm, _)| vm);
        highest_weight(key, in_domain).or_else(|| highest_weight(key, listed().map(|(vm, _)| vm)))
    }

    /// Returns the gateways that watch the platform, at most 3: first the one with the
    /// highest rendezvous weight in each failure domain, then further ones when there are fewer
    /// than 3 failure domains.
    #[must_use]
    pub fn platform_watchers(&self, live: &[VmId]) -> Vec<VmId> {
        let listed = live
            .iter()
            .copied()
            .filter(|vm| self.gateway_domains.contains_key(vm));
        let ordered = rendezvous_order(WATCHER_KEY, listed);
        let mut domains = collections::BTreeSet::new();
        let (first_of_domain, others): (Vec<VmId>, Vec<VmId>) = ordered
            .into_iter()
            .partition(|vm| domains.insert(self.gateway_domain(*vm)));
        first_of_domain
            .into_iter()
            .chain(others)
            .take(MAX_PLATFORM_WATCHERS)
            .collect()
    }

    fn add_pool(&mut self, pool: PoolId, domain: FailureDomainId, backends: &[VmId]) {
        let count = backends.len().div_ceil(MAX_SHARD_SIZE);
        let seed = pool.0 ^ u64::from(domain.0);
        let groups = group_assignment::assign_groups(
            backends,
            count,
            shard_capacity(backends.len(), count),
            seed,
        );
        for (backend, group) in backends.iter().zip(groups) {
            let index = u16::try_from(group).unwrap_or(u16::MAX);
            let shard = ShardId {
                pool,
                domain,
                index,
            };
            self.shards.entry(shard).or_default().push(*backend);
            self.shard_of.insert(*backend, shard);
        }
    }
}

/// Returns the largest size of a shard: the even share plus a quarter, so that a backend server
/// that is added or removed rarely moves another one.
fn shard_capacity(backends: usize, shards: usize) -> usize {
    let even_share = backends.div_ceil(shards.max(1));
    (even_share + even_share.div_ceil(4)).min(MAX_SHARD_SIZE)
}

fn highest_weight(key: u64, vms: impl Iterator<Item = VmId>) -> Option<VmId> {
    vms.max_by_key(|vm| (rendezvous_weight(key, *vm), *vm))
}

fn gateway_domains(list: &VmList) -> collections::BTreeMap<VmId, FailureDomainId> {
    list.gateways()
        .map(|entry| (entry.vm, entry.failure_domain))
        .collect()
}

fn group_backends(
    list: &VmList,
    pools: &collections::HashMap<&str, PoolId>,
) -> collections::BTreeMap<(PoolId, FailureDomainId), Vec<VmId>> {
    let mut groups: collections::BTreeMap<_, Vec<VmId>> = collections::BTreeMap::new();
    for entry in list.backends() {
        if let Some(pool) = pools.get(entry.name.as_str()) {
            groups
                .entry((*pool, entry.failure_domain))
                .or_default()
                .push(entry.vm);
        }
    }
    merge_small_pools(&mut groups);
    for backends in groups.values_mut() {
        backends.sort_unstable();
    }
    groups
}

/// Merges all backend servers of a small pool into the failure domain that has most of them.
///
/// The floor applies to each shard separately. In a shard of two backend servers, a floor of 0.7
/// would prevent every ejection.
fn merge_small_pools(groups: &mut collections::BTreeMap<(PoolId, FailureDomainId), Vec<VmId>>) {
    let mut sizes: collections::BTreeMap<PoolId, usize> = collections::BTreeMap::new();
    for ((pool, _), backends) in groups.iter() {
        *sizes.entry(*pool).or_default() += backends.len();
    }
    for (pool, _) in sizes
        .into_iter()
        .filter(|(_, size)| *size <= MAX_SINGLE_SHARD_POOL_SIZE)
    {
        let parts: Vec<(FailureDomainId, usize)> = groups
            .iter()
            .filter(|((other, _), _)| *other == pool)
            .map(|((_, domain), backends)| (*domain, backends.len()))
            .collect();
        let Some((largest, _)) = parts
            .iter()
            .max_by_key(|(domain, size)| (*size, cmp::Reverse(*domain)))
        else {
            continue;
        };
        let merged = parts
            .iter()
            .flat_map(|(domain, _)| groups.remove(&(pool, *domain)).unwrap_or_default())
            .collect();
        groups.insert((pool, *largest), merged);
    }
}
