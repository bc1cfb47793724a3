//! One-way cuts, partitions and lost heartbeats.

use toucanledge_core::VmId;
use toucanledge_membership::{LocalStatus, MAX_UNREACHABLE_REPORTED};

use crate::fleet::{self, Fleet};

/// Guards against a cut between two gateways that changes who owns shards.
#[test]
fn a_one_way_cut_changes_nobodys_ownership() {
    for gateways in [5, 40] {
        let mut fleet = Fleet::running(gateways);
        let all = fleet::vms(1..=gateways);
        fleet.cut(2, 1);
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

/// Guards against half of the gateways passing for most of them.
#[test]
fn a_tie_does_not_make_a_gateway_live() {
    let mut fleet = Fleet::running(3);
    fleet.cut(2, 1);
    fleet.run(5_000);
    assert_eq!(fleet.live(1), fleet::vms([1, 3]));
    assert_eq!(fleet.live(2), fleet::vms([1, 2, 3]));
    assert_eq!(fleet.live(3), fleet::vms([1, 2, 3]));
}

/// Guards against a gateway that has the list late and therefore does not count for itself.
#[test]
fn a_heard_gateway_counts_for_itself() {
    let mut fleet = Fleet::running(3);
    fleet.cut(2, 3);
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

/// Guards against one odd heartbeat that turns a gateway not ready, and against a gateway that
/// stays ready although its peer goes on naming it.
#[test]
fn being_named_counts_after_a_hold() {
    let mut fleet = Fleet::running(2);
    let status = LocalStatus::default();
    let start = fleet.now;
    let peer = fleet.views.get_mut(&VmId(2)).unwrap();
    let mut heartbeat = peer.heartbeat_for(VmId(1), start, &status);
    let view = fleet.views.get_mut(&VmId(1)).unwrap();
    let mut tell = |millis: u64, named: bool| {
        heartbeat.sent_at = start + millis;
        heartbeat.echo = Some(start);
        heartbeat.unreachable = if named { vec![VmId(1)] } else { Vec::new() };
        view.handle_heartbeat(&heartbeat, start + millis);
        view.is_reachable_by_majority()
    };
    assert!(tell(10, true));
    assert!(tell(1_010, false));
    assert!(tell(2_010, true));
    assert!(tell(3_010, true));
    assert!(!tell(4_010, true));
    assert!(!tell(5_010, false));
    assert!(!tell(6_010, false));
    assert!(tell(7_010, false));
}

/// Guards against a gateway that nobody hears but that goes on taking work and owning shards.
#[test]
fn a_gateway_that_nobody_hears_learns_of_it() {
    for gateways in [2, 3, 40] {
        let mut fleet = Fleet::running(gateways);
        for peer in 2..=gateways {
            fleet.cut(1, peer);
        }
        fleet.run(7_000);
        assert!(fleet.view(1).is_reachable(VmId(2)));
        assert!(
            !fleet.view(1).is_reachable_by_majority(),
            "{gateways} gateways"
        );
        for vm in 1..=gateways {
            assert_eq!(fleet.live(vm), fleet::vms(2..=gateways));
        }
        fleet.cuts.clear();
        fleet.run(5_000);
        assert!(fleet.view(1).is_reachable_by_majority());
        for vm in 1..=gateways {
            assert_eq!(fleet.live(vm), fleet::vms(1..=gateways));
        }
    }
}

/// Guards against a gateway that hears nobody and therefore takes itself for the only one, while
/// all others hear it; its peers must keep their shards.
#[test]
fn a_gateway_that_hears_nobody_costs_its_peers_nothing() {
    let mut fleet = Fleet::running(9);
    for peer in 2..=9 {
        fleet.cut(peer, 1);
    }
    fleet.run_each(10_000, |fleet| {
        for vm in 2..=9 {
            assert_eq!(fleet.live(vm), fleet::vms(1..=9));
        }
    });
}

/// Guards against a side of a partition that goes on asking dispatchers of the other side, and
/// against more losses than a heartbeat names passing for healthy gateways.
#[test]
fn each_side_of_a_partition_relies_on_its_own_gateways() {
    for (left, gateways) in [(2, 5), (3, 9), (13, 40), (20, 40), (1, 64)] {
        let mut fleet = Fleet::running(gateways);
        let (one, other) = (fleet::vms(1..=left), fleet::vms(left + 1..=gateways));
        fleet.cut_both(&one, &other);
        fleet.run(5_000);
        for vm in &one {
            assert_eq!(fleet.live(vm.0), one, "{left} of {gateways}");
        }
        for vm in &other {
            assert_eq!(fleet.live(vm.0), other, "{left} of {gateways}");
        }
        fleet.cuts.clear();
        fleet.run(5_000);
        for vm in 1..=gateways {
            assert_eq!(fleet.live(vm), fleet::vms(1..=gateways));
            assert!(fleet.view(vm).is_reachable_by_majority());
        }
    }
}

/// Guards against the loss of a failure domain that leaves its gateways live because a heartbeat
/// cannot name them all.
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

/// Guards against a dead gateway that keeps its shards for long after the 3 s of the page.
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

/// Guards against a single lost heartbeat that turns a gateway not ready or moves shards.
#[test]
fn a_single_lost_heartbeat_changes_nothing() {
    let mut fleet = Fleet::running(3);
    for _ in 0..10 {
        fleet.cut_both(&fleet::vms([1]), &fleet::vms([2, 3]));
        fleet.run(1_000);
        fleet.cuts.clear();
        fleet.run_each(3_000, |fleet| {
            for vm in 1..=3 {
                assert!(fleet.view(vm).is_reachable_by_majority());
                assert_eq!(fleet.live(vm), fleet::vms(1..=3));
            }
        });
    }
}

/// Guards against a receiver that is missing from exceptions that are cut to 8.
#[test]
fn an_unheard_receiver_is_always_the_first_exception() {
    let mut fleet = Fleet::running(30);
    for peer in 2..=30 {
        fleet.cut(peer, 1);
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
