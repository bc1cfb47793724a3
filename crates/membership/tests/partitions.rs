//! One-way partitions, full partitions and lost heartbeats.

use toucanledge_core::VmId;
use toucanledge_membership::{LocalStatus, MAX_UNREACHABLE_REPORTED};

use crate::fleet::{self, Fleet};

/// Guards against a one-way partition between two gateways that moves shards.
#[test]
fn a_one_way_partition_moves_no_shards() {
    for gateways in [5, 40] {
        let mut fleet = Fleet::running(gateways);
        let all = fleet::vms(1..=gateways);
        fleet.partition_one_way(2, 1);
        fleet.run_each(10_000, |fleet| {
            for vm in 1..=gateways {
                assert_eq!(fleet.live(vm), all, "{gateways} gateways, view of {vm}");
                assert!(fleet.view(vm).is_reachable_by_majority());
            }
        });
        assert!(!fleet.view(1).is_reachable(VmId(2)));
        assert!(fleet.view(2).is_reachable(VmId(1)));
    }
}

/// Guards against a gateway that is live although it is reachable for only half of the gateways.
#[test]
fn a_tie_does_not_make_a_gateway_live() {
    let mut fleet = Fleet::running(3);
    fleet.partition_one_way(2, 1);
    fleet.run(5_000);
    assert_eq!(fleet.live(1), fleet::vms([1, 3]));
    assert_eq!(fleet.live(2), fleet::vms([1, 2, 3]));
    assert_eq!(fleet.live(3), fleet::vms([1, 2, 3]));
}

/// Guards against a gateway that is left out of its own count because it got a list late.
#[test]
fn a_reachable_gateway_counts_for_itself() {
    let mut fleet = Fleet::running(3);
    fleet.partition_one_way(2, 3);
    let mut list = fleet::gateway_list(2, 3);
    let now = fleet.now;
    list.vms.retain(|entry| entry.vm != VmId(2));
    for (version, vms) in [(2, list.vms), (3, fleet::gateway_list(3, 3).vms)] {
        list.version.0 = version;
        list.vms = vms;
        for vm in [1, 3] {
            let view = fleet.views.get_mut(&VmId(vm)).unwrap();
            assert!(view.set_list(&list, now));
        }
        list.vms.clear();
    }
    fleet.run(5_000);
    assert!(!fleet.view(3).is_reachable(VmId(2)));
    assert_eq!(fleet.live(1), fleet::vms(1..=3));
}

/// Guards against a single report of a peer that makes a gateway count as unreachable, and against
/// a gateway that counts as reachable although its peer keeps reporting the contrary.
#[test]
fn being_reported_unreachable_counts_after_the_hold_time() {
    let mut fleet = Fleet::running(2);
    let status = LocalStatus::default();
    let start = fleet.now;
    let peer = fleet.views.get_mut(&VmId(2)).unwrap();
    let mut heartbeat = peer.heartbeat_for(VmId(1), start, &status);
    let view = fleet.views.get_mut(&VmId(1)).unwrap();
    let mut receive = |millis: u64, unreachable: bool| {
        heartbeat.sent_at = start + millis;
        heartbeat.echo = Some(start);
        heartbeat.unreachable = if unreachable {
            vec![VmId(1)]
        } else {
            Vec::new()
        };
        view.handle_heartbeat(&heartbeat, start + millis);
        view.is_reachable_by_majority()
    };
    assert!(receive(10, true));
    assert!(receive(1_010, false));
    assert!(receive(2_010, true));
    assert!(receive(3_010, true));
    assert!(!receive(4_010, true));
    assert!(!receive(5_010, false));
    assert!(!receive(6_010, false));
    assert!(receive(7_010, false));
}

/// Guards against a gateway that is unreachable for all others and still accepts requests and
/// dispatches for shards.
#[test]
fn a_gateway_unreachable_for_all_peers_detects_it() {
    for gateways in [2, 3, 40] {
        let mut fleet = Fleet::running(gateways);
        for peer in 2..=gateways {
            fleet.partition_one_way(1, peer);
        }
        fleet.run(7_000);
        assert!(fleet.view(1).is_reachable(VmId(2)));
        assert!(
            !fleet.view(1).is_reachable_by_majority(),
            "gateway 1 of {gateways} counts itself as reachable"
        );
        for vm in 1..=gateways {
            assert_eq!(fleet.live(vm), fleet::vms(2..=gateways));
        }
        fleet.blocked.clear();
        fleet.run(5_000);
        assert!(fleet.view(1).is_reachable_by_majority());
        for vm in 1..=gateways {
            assert_eq!(fleet.live(vm), fleet::vms(1..=gateways));
        }
    }
}

/// Guards against a gateway that receives no heartbeats, while its own still arrive, and makes
/// its peers lose their shards.
#[test]
fn a_gateway_without_reachable_peers_moves_no_shards_of_others() {
    let mut fleet = Fleet::running(9);
    for peer in 2..=9 {
        fleet.partition_one_way(peer, 1);
    }
    fleet.run_each(10_000, |fleet| {
        for vm in 2..=9 {
            assert_eq!(fleet.live(vm), fleet::vms(1..=9));
        }
    });
}

/// Guards against one side of a partition that keeps using dispatchers of the other side, and
/// against unreachable gateways that stay live because a heartbeat cannot report them all.
#[test]
fn each_side_of_a_partition_uses_its_own_gateways() {
    for (left, gateways) in [(2, 5), (3, 9), (13, 40), (20, 40), (1, 64)] {
        let mut fleet = Fleet::running(gateways);
        let (left_side, right_side) = (fleet::vms(1..=left), fleet::vms(left + 1..=gateways));
        fleet.partition(&left_side, &right_side);
        fleet.run(5_000);
        for vm in &left_side {
            assert_eq!(
                fleet.live(vm.0),
                left_side,
                "left side with {left} of {gateways} gateways"
            );
        }
        for vm in &right_side {
            assert_eq!(
                fleet.live(vm.0),
                right_side,
                "right side, left has {left} of {gateways} gateways"
            );
        }
        fleet.blocked.clear();
        fleet.run(5_000);
        for vm in 1..=gateways {
            assert_eq!(fleet.live(vm), fleet::vms(1..=gateways));
            assert!(fleet.view(vm).is_reachable_by_majority());
        }
    }
}

/// Guards against gateways of a dead failure domain that stay live because a heartbeat cannot
/// report them all as unreachable.
#[test]
fn a_dead_failure_domain_is_not_live() {
    let mut fleet = Fleet::running(40);
    let dead: Vec<VmId> = (1..=40).filter(|vm| vm % 3 == 0).map(VmId).collect();
    assert!(dead.len() > MAX_UNREACHABLE_REPORTED);
    fleet.frozen.extend(dead.iter().copied());
    fleet.run(4_500);
    for vm in (1..=40).filter(|vm| vm % 3 != 0) {
        let live = fleet.live(vm);
        assert_eq!(live.len(), 40 - dead.len());
        assert!(live.iter().all(|vm| !dead.contains(vm)));
    }
}

/// Guards against a dead gateway that keeps its shards long after the heartbeat timeout of 3 s.
#[test]
fn a_dead_gateway_loses_its_shards_within_five_seconds() {
    let mut fleet = Fleet::running(40);
    fleet.frozen.insert(VmId(7));
    fleet.run(2_000);
    assert!(fleet.view(1).is_live(VmId(7)));
    fleet.run(2_900);
    for vm in (1..=40).filter(|vm| *vm != 7) {
        assert!(!fleet.view(vm).is_live(VmId(7)));
    }
}

/// Guards against a single lost heartbeat that makes a gateway unreachable or moves shards.
#[test]
fn a_single_lost_heartbeat_changes_nothing() {
    let mut fleet = Fleet::running(3);
    for _ in 0..10 {
        fleet.partition(&fleet::vms([1]), &fleet::vms([2, 3]));
        fleet.run(1_000);
        fleet.blocked.clear();
        fleet.run_each(3_000, |fleet| {
            for vm in 1..=3 {
                assert!(fleet.view(vm).is_reachable_by_majority());
                assert_eq!(fleet.live(vm), fleet::vms(1..=3));
            }
        });
    }
}

/// Guards against an unreachable receiver that is missing from a list truncated to 8 gateways.
#[test]
fn an_unreachable_receiver_is_always_reported_first() {
    let mut fleet = Fleet::running(30);
    for peer in 2..=30 {
        fleet.partition_one_way(peer, 1);
    }
    fleet.run(5_000);
    let now = fleet.now;
    let view = fleet.views.get_mut(&VmId(1)).unwrap();
    for peer in 2..=30 {
        let heartbeat = view.heartbeat_for(VmId(peer), now, &LocalStatus::default());
        assert_eq!(heartbeat.unreachable.len(), MAX_UNREACHABLE_REPORTED);
        assert_eq!(heartbeat.unreachable[0], VmId(peer));
        assert_eq!(heartbeat.echo, None);
    }
}
