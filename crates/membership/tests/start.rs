//! Starts, list changes, stops and cohorts of gateways.

use std::collections;

use toucanledge_core::{Incarnation, ListVersion, Millis, TableRevision, VmId, VmList, VmState};
use toucanledge_membership::{
    GatewayState, LocalStatus, MAX_COHORT_SIZE, MembershipView, ReceiveOutcome, cohort_of,
};

use crate::fleet::{self, Fleet};

/// Guards against a new fleet in which each gateway is live only in its own view.
#[test]
fn a_new_fleet_agrees_from_the_start() {
    let mut fleet = Fleet::start(40);
    let all = fleet::vms(1..=40);
    fleet.run_each(8_000, |fleet| {
        for vm in 1..=40 {
            assert!(fleet.view(vm).is_reachable_by_majority());
            assert_eq!(fleet.live(vm), all);
        }
    });
}

/// Guards against a single gateway that does not serve without peers, be it alone in its list or
/// with dead gateways.
#[test]
fn a_single_gateway_serves() {
    for gateways in [1, 5] {
        let mut fleet = Fleet::start(gateways);
        fleet.frozen.extend(fleet::vms(2..=gateways));
        fleet.run_each(4_000, |fleet| {
            assert!(fleet.view(1).is_reachable_by_majority());
            assert!(fleet.view(1).is_live(VmId(1)));
        });
        assert_eq!(fleet.live(1), fleet::vms([1]));
    }
}

/// Guards against time between the creation of a view and its first use that counts as a freeze.
#[test]
fn a_slow_start_is_not_a_freeze() {
    let mut view = MembershipView::new(VmId(1), Incarnation(1), Millis(0));
    view.set_list(&fleet::gateway_list(1, 3), Millis(9_000));
    assert!(view.is_reachable_by_majority());
    assert_eq!(view.live_gateways(), fleet::vms(1..=3));
}

/// Guards against shards that move to a gateway that is listed but has sent no heartbeat yet.
#[test]
fn a_listed_gateway_is_live_once_it_is_reachable() {
    let mut fleet = Fleet::running(5);
    fleet.set_list(fleet::gateway_list(2, 6));
    fleet.run_each(6_000, |fleet| {
        for vm in 1..=5 {
            assert_eq!(fleet.live(vm), fleet::vms(1..=5));
        }
    });
    fleet.restart(6, 1);
    fleet.run_each(6_000, |fleet| {
        assert!(fleet.view(6).is_reachable_by_majority());
    });
    for vm in 1..=6 {
        assert_eq!(fleet.live(vm), fleet::vms(1..=6));
    }
}

/// Guards against a list that only some gateways have: the others do not report the new gateway
/// as unreachable, which does not mean that it is reachable for them.
#[test]
fn peers_with_an_older_list_do_not_count() {
    let mut fleet = Fleet::running(5);
    let list = fleet::gateway_list(2, 6);
    let now = fleet.now;
    fleet.views.get_mut(&VmId(1)).unwrap().set_list(&list, now);
    fleet.run_each(5_000, |fleet| {
        assert!(!fleet.view(1).is_live(VmId(6)));
        assert_eq!(fleet.live(1), fleet::vms(1..=5));
    });
}

/// Guards against leaving or removed gateways that keep their shards, and against older lists.
#[test]
fn leaving_and_removed_gateways_are_not_live() {
    let mut fleet = Fleet::running(5);
    let mut list = fleet::gateway_list(3, 5);
    list.vms[1].state = VmState::Leaving;
    list.vms.remove(4);
    fleet.set_list(list);
    for vm in [1, 3, 4] {
        assert_eq!(fleet.live(vm), fleet::vms([1, 3, 4]));
    }
    assert!(!fleet.view(2).is_live(VmId(2)));
    assert!(!fleet.view(5).is_live(VmId(5)));
    let now = fleet.now;
    let view = fleet.views.get_mut(&VmId(1)).unwrap();
    assert!(!view.set_list(&fleet::gateway_list(2, 5), now));
    assert_eq!(view.live_gateways(), fleet::vms([1, 3, 4]));
}

/// Guards against a stopping gateway that gets its shards back before it has stopped.
#[test]
fn a_stopping_gateway_gives_up_its_shards_with_its_next_heartbeat() {
    let mut fleet = Fleet::running(5);
    let view = fleet.views.get_mut(&VmId(2)).unwrap();
    view.set_state(GatewayState::Leaving);
    assert!(!view.is_live(VmId(2)));
    fleet.run(1_000);
    for vm in 1..=5 {
        assert_eq!(fleet.live(vm), fleet::vms([1, 3, 4, 5]));
    }
    fleet.frozen.insert(VmId(2));
    fleet.run_each(8_000, |fleet| {
        assert_eq!(fleet.live(1), fleet::vms([1, 3, 4, 5]));
    });
}

/// Guards against fetching a new list or table from a peer that does not have it.
#[test]
fn the_newest_versions_come_with_the_peers_that_have_them() {
    let mut view = MembershipView::new(VmId(1), Incarnation(1), Millis(0));
    assert_eq!(view.newest_list(), None);
    for (vm, list, table) in [(2, 5, 8), (3, 7, 8), (4, 7, 9)] {
        let mut peer = MembershipView::new(VmId(vm), Incarnation(1), Millis(0));
        peer.set_list(&fleet::gateway_list(list, 4), Millis(0));
        let status = LocalStatus {
            table_revision: TableRevision(table),
            ..LocalStatus::default()
        };
        view.handle_heartbeat(&peer.heartbeat_for(VmId(1), Millis(0), &status), Millis(1));
    }
    let lists = view.newest_list().unwrap();
    assert_eq!(lists.version, ListVersion(7));
    assert_eq!(lists.peers, fleet::vms([3, 4]));
    let tables = view.newest_table().unwrap();
    assert_eq!(tables.version, TableRevision(9));
    assert_eq!(tables.peers, fleet::vms([4]));
}

/// Guards against memory that grows with the number of unlisted peers.
#[test]
fn unlisted_peers_are_bounded_and_removed() {
    let mut view = MembershipView::new(VmId(1), Incarnation(1), Millis(0));
    let outcome = |view: &mut MembershipView, vm, now| {
        let mut peer = MembershipView::new(VmId(vm), Incarnation(1), Millis(0));
        let heartbeat = peer.heartbeat_for(VmId(1), Millis(0), &LocalStatus::default());
        view.handle_heartbeat(&heartbeat, now)
    };
    let outcomes: Vec<ReceiveOutcome> = (2..102)
        .map(|vm| outcome(&mut view, vm, Millis(0)))
        .collect();
    let is_stored = |outcome: &&ReceiveOutcome| **outcome == ReceiveOutcome::NewIncarnation;
    assert_eq!(outcomes.iter().filter(is_stored).count(), 64);
    assert_eq!(outcomes[99], ReceiveOutcome::TooManyUnlisted);
    for second in 1..=61 {
        view.tick(Millis(second * 1_000));
    }
    let late = outcome(&mut view, 200, Millis(61_500));
    assert_eq!(late, ReceiveOutcome::NewIncarnation);
}

/// Guards against a truncated history that confirms list versions it does not contain.
#[test]
fn a_history_too_long_for_a_heartbeat_is_not_established() {
    let mut view = MembershipView::new(VmId(1), Incarnation(1), Millis(0));
    let mut established = |versions: u64| {
        let status = LocalStatus {
            established: true,
            history: (1..=versions).map(ListVersion).collect(),
            table_revision: TableRevision(1),
        };
        let heartbeat = view.heartbeat_for(VmId(2), Millis(0), &status);
        assert!(heartbeat.history.contains(&ListVersion(versions)));
        heartbeat.established
    };
    assert!(established(16));
    assert!(!established(17));
}

/// Guards against cohorts of more than 64 gateways, and against cohorts that are not mutual, in
/// which a gateway expects heartbeats that no peer sends.
#[test]
fn cohorts_are_mutual_and_bounded() {
    for gateways in [1, 44, 64, 65, 130, 300] {
        let list = fleet::gateway_list(1, gateways);
        let mut seen = collections::BTreeMap::new();
        for vm in fleet::vms(1..=gateways) {
            let cohort = cohort_of(vm, &list);
            assert!(cohort.contains(&vm));
            assert!(cohort.len() <= MAX_COHORT_SIZE);
            for peer in &cohort {
                let first = seen.entry(*peer).or_insert_with(|| cohort.clone());
                assert_eq!(*first, cohort);
            }
            let domains: collections::BTreeSet<u32> = cohort.iter().map(|vm| vm.0 % 3).collect();
            assert!(gateways < 44 || domains.len() == 3);
        }
        let cohorts: collections::BTreeSet<Vec<VmId>> = seen.into_values().collect();
        let members: usize = cohorts.iter().map(Vec::len).sum();
        assert_eq!(members, gateways as usize);
        assert!(gateways > 64 || cohorts.len() == 1);
    }
}

/// Guards against unbounded cohorts when there are more failure domains than a cohort has
/// gateways.
#[test]
fn cohorts_are_bounded_with_many_failure_domains() {
    let list = VmList {
        version: ListVersion(1),
        vms: (1..=100)
            .map(|vm| fleet::gateway_entry(vm, u16::try_from(vm).unwrap()))
            .collect(),
    };
    for vm in fleet::vms(1..=100) {
        assert!(cohort_of(vm, &list).len() <= MAX_COHORT_SIZE);
    }
}
