//! Shards, dispatchers and platform watchers.

use std::collections;

use proptest::prelude::*;
use toucanledge_core::{FailureDomainId, ListVersion, PoolId, ShardId, VmId, VmList, VmState};
use toucanledge_membership::{MAX_SHARD_SIZE, ShardMap};

use crate::fleet;

/// Returns a list with gateways 1 to `gateways` and these backend servers, each group in three
/// failure domains.
fn list(gateways: u32, backends: impl IntoIterator<Item = u32>) -> VmList {
    let mut list = fleet::gateway_list(1, gateways);
    let entries = backends
        .into_iter()
        .map(|vm| fleet::backend_entry(vm, u16::try_from(vm % 3).unwrap()));
    list.vms.extend(entries);
    list
}

/// Returns the map of a list in which all backend servers are in one pool.
fn map_of(list: &VmList) -> ShardMap {
    let rows = list
        .backends()
        .map(|entry| (entry.name.as_str(), PoolId::of("reading")));
    ShardMap::new(list, rows)
}

fn map(gateways: u32, backends: impl IntoIterator<Item = u32>) -> ShardMap {
    map_of(&list(gateways, backends))
}

fn dispatchers(map: &ShardMap, live: &[VmId]) -> collections::BTreeMap<ShardId, Option<VmId>> {
    map.shards()
        .map(|shard| (shard, map.dispatcher(shard, live)))
        .collect()
}

/// Guards against a backend server in no shard or in two, and against mixed failure domains.
#[test]
fn every_backend_server_is_in_one_shard_of_its_domain() {
    for count in [1, 3, 12, 13, 24, 47, 48, 49, 500] {
        let backends: Vec<u32> = (1_000..1_000 + count).collect();
        let map = map(6, backends.iter().copied());
        let mut seen = collections::BTreeSet::new();
        for shard in map.shards() {
            let members = map.backends(shard);
            assert!((1..=MAX_SHARD_SIZE).contains(&members.len()));
            for backend in members {
                assert!(seen.insert(*backend));
                assert_eq!(map.shard_of(*backend), Some(shard));
                if count > 12 {
                    assert_eq!(u32::from(shard.domain.0), backend.0 % 3);
                }
            }
        }
        assert_eq!(seen.len(), count as usize);
        assert_eq!(
            map.shards_of(PoolId::of("reading")).count(),
            map.shards().count()
        );
        assert_eq!(map.shards_of(PoolId::of("payments")).count(), 0);
    }
}

/// Guards against shards that are so small that a floor above one half prevents every ejection.
#[test]
fn a_small_pool_is_one_shard() {
    for count in [1, 3, 6, 12] {
        let map = map(6, 1_000..1_000 + count);
        let shards: Vec<ShardId> = map.shards().collect();
        assert_eq!(
            shards.len(),
            1,
            "expected one shard of {count} backend servers"
        );
        assert_eq!(map.backends(shards[0]).len(), count as usize);
    }
    let uneven = map(6, [1_000, 1_001, 1_002, 1_003, 1_006]);
    let domains: Vec<FailureDomainId> = uneven.shards().map(|shard| shard.domain).collect();
    assert_eq!(
        domains,
        [FailureDomainId(1)],
        "the shard is in the failure domain with most backend servers"
    );
}

/// Guards against backend servers that get requests although they have no row.
#[test]
fn a_backend_server_without_a_row_is_in_no_shard() {
    let list = list(3, 1_000..1_004);
    let rows = [
        ("backend-1000", PoolId::of("reading")),
        ("backend-1003", PoolId::of("payments")),
        ("gone", PoolId::of("reading")),
    ];
    let map = ShardMap::new(&list, rows);
    assert_eq!(map.list_version(), ListVersion(1));
    let pools: Vec<Option<PoolId>> = (1_000..1_004)
        .map(|vm| map.shard_of(VmId(vm)).map(|shard| shard.pool))
        .collect();
    let (reading, payments) = (PoolId::of("reading"), PoolId::of("payments"));
    assert_eq!(pools, [Some(reading), None, None, Some(payments)]);
}

/// Guards against a leaving backend server that moves others between shards.
#[test]
fn a_leaving_backend_server_stays_in_its_shard() {
    let mut list = list(3, 1_000..1_200);
    let before = map_of(&list);
    list.vms[40].state = VmState::Leaving;
    let after = map_of(&list);
    for shard in before.shards() {
        assert_eq!(before.backends(shard), after.backends(shard));
    }
}

/// Guards against a replaced backend server that moves many others between shards, which would
/// lose their health history.
#[test]
fn a_replaced_backend_server_moves_few_others() {
    let mut total_moved = 0;
    let mut max_moved = 0;
    for removed in 1_000..1_240 {
        let before = map(3, 1_000..1_240);
        // The replacement is in the same failure domain.
        let replacement = removed + 300;
        let backends = (1_000..1_240).filter(|vm| *vm != removed);
        let after = map(3, backends.chain([replacement]));
        let changed = (1_000..1_240)
            .filter(|vm| *vm != removed)
            .filter(|vm| before.shard_of(VmId(*vm)) != after.shard_of(VmId(*vm)))
            .count();
        total_moved += changed;
        max_moved = max_moved.max(changed);
    }
    println!(
        "moved on average {:.2}, at most {max_moved} of 239",
        f64::from(u32::try_from(total_moved).unwrap()) / 240.0
    );
    assert!(
        max_moved <= 12,
        "expected at most 12 moved by one replacement, got {max_moved}"
    );
    assert!(
        total_moved <= 2 * 240,
        "expected at most 480 moved in 240 replacements, got {total_moved}"
    );
}

/// Guards against a dispatcher in another failure domain while the shard's own has a live gateway.
#[test]
fn dispatchers_are_in_the_domain_of_the_shard() {
    let map = map(9, 1_000..1_030);
    let all = fleet::vms(1..=9);
    for (shard, dispatcher) in dispatchers(&map, &all) {
        assert_eq!(map.gateway_domain(dispatcher.unwrap()), Some(shard.domain));
    }
    let without_first: Vec<VmId> = all
        .into_iter()
        .filter(|vm| map.gateway_domain(*vm) != Some(FailureDomainId(0)))
        .collect();
    for dispatcher in dispatchers(&map, &without_first).into_values() {
        assert!(without_first.contains(&dispatcher.unwrap()));
    }
    assert!(
        dispatchers(&map, &[])
            .into_values()
            .all(|dispatcher| dispatcher.is_none())
    );
    assert!(
        dispatchers(&map, &[VmId(77)])
            .into_values()
            .all(|dispatcher| dispatcher.is_none())
    );
}

/// Guards against platform watchers that share a failure domain while another has a gateway, and
/// against fewer than three watchers in a fleet that has enough gateways.
#[test]
fn watchers_are_spread_over_failure_domains() {
    let map = map(9, 1_000..1_002);
    let all = fleet::vms(1..=9);
    let watchers = map.platform_watchers(&all);
    let domains: collections::BTreeSet<_> =
        watchers.iter().map(|vm| map.gateway_domain(*vm)).collect();
    assert_eq!((watchers.len(), domains.len()), (3, 3));
    let one_domain = fleet::vms([3, 6, 9]);
    assert_eq!(map.platform_watchers(&one_domain).len(), 3);
    assert_eq!(map.platform_watchers(&fleet::vms([4])), fleet::vms([4]));
    assert_eq!(map.platform_watchers(&[]), []);
}

proptest! {
    /// Guards against gateways with the same view that select different dispatchers.
    #[test]
    fn dispatchers_are_independent_of_the_order_of_the_view(
        live in prop::collection::btree_set(1_u32..=40, 1..40),
        seed in any::<u64>(),
    ) {
        let map = map(40, 1_000..1_060);
        let live = fleet::vms(live);
        let mut shuffled = live.clone();
        shuffled.sort_by_key(|vm| u64::from(vm.0).wrapping_mul(seed | 1));
        prop_assert_eq!(dispatchers(&map, &live), dispatchers(&map, &shuffled));
        prop_assert_eq!(map.platform_watchers(&live), map.platform_watchers(&shuffled));
    }

    /// Guards against shards that move between two gateways that both stay live.
    #[test]
    fn a_removed_gateway_moves_only_its_own_shards(
        live in prop::collection::btree_set(1_u32..=40, 2..40),
        removed in any::<prop::sample::Index>(),
    ) {
        let map = map(40, 1_000..1_200);
        let live = fleet::vms(live);
        let removed = live[removed.index(live.len())];
        let rest: Vec<VmId> = live.iter().copied().filter(|vm| *vm != removed).collect();
        let (with, without) = (dispatchers(&map, &live), dispatchers(&map, &rest));
        for (shard, dispatcher) in with {
            if dispatcher == Some(removed) {
                prop_assert_ne!(without[&shard], Some(removed));
            } else {
                prop_assert_eq!(without[&shard], dispatcher);
            }
        }
    }
}
