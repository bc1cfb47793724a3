//! Freezes and restarts of gateways.

use toucanledge_core::{Incarnation, Millis, TableRevision, VmId};
use toucanledge_membership::{LocalStatus, MembershipView, ReceiveOutcome, TickOutcome};

use crate::fleet::{self, Fleet};

/// Guards against a resumed gateway that acts as the dispatcher of its old shards before it has
/// received new heartbeats.
#[test]
fn a_resumed_gateway_resets_its_view() {
    for frozen_ms in [2_100, 20_000] {
        let mut fleet = Fleet::running(9);
        fleet.frozen.insert(VmId(1));
        fleet.run(frozen_ms);
        fleet.frozen.clear();
        let now = fleet.now;
        let view = fleet.views.get_mut(&VmId(1)).unwrap();
        assert_eq!(view.tick(now), TickOutcome::Resumed);
        assert!((2..=9).all(|vm| !view.is_reachable(VmId(vm))));
        assert!(!view.is_reachable_by_majority());
        assert_eq!(view.live_gateways(), Vec::new());
        fleet.run(900);
        assert!(!fleet.view(1).is_reachable_by_majority());
        fleet.run(3_000);
        assert!(fleet.view(1).is_reachable_by_majority());
        for vm in 1..=9 {
            assert_eq!(fleet.live(vm), fleet::vms(1..=9));
        }
    }
}

/// Guards against a freeze that no tick returns because another call detected it.
#[test]
fn the_next_tick_returns_a_freeze_once() {
    let mut view = MembershipView::new(VmId(1), Incarnation(10), Millis(0));
    assert_eq!(view.tick(Millis(100)), TickOutcome::Normal);
    view.heartbeat_for(VmId(2), Millis(5_000), &LocalStatus::default());
    assert_eq!(view.tick(Millis(5_001)), TickOutcome::Resumed);
    assert_eq!(view.tick(Millis(5_100)), TickOutcome::Normal);
}

/// Guards against peers that lose shards because a resumed gateway has no reachable peers at first.
#[test]
fn a_resumed_gateway_moves_no_shards_of_its_peers() {
    // The gateway resumes at each point between two heartbeats of the others.
    for (gateways, offset) in (0..10).flat_map(|offset| [(2, offset), (3, offset), (9, offset)]) {
        let mut fleet = Fleet::running(gateways);
        fleet.frozen.insert(VmId(1));
        fleet.run(20_000 + offset * 100);
        fleet.frozen.clear();
        fleet.run_each(8_000, |fleet| {
            for vm in 2..=gateways {
                assert!(fleet.view(vm).is_reachable_by_majority());
                for peer in 2..=gateways {
                    assert!(fleet.view(vm).is_live(VmId(peer)));
                }
            }
        });
    }
}

/// Guards against heartbeats that were sent before a freeze, are read from the socket after it, and
/// count as new.
#[test]
fn heartbeats_that_waited_during_the_freeze_are_ignored() {
    let mut fleet = Fleet::running(3);
    let now = fleet.now;
    let status = LocalStatus::default();
    let stale = fleet
        .views
        .get_mut(&VmId(2))
        .unwrap()
        .heartbeat_for(VmId(1), now, &status);
    let view = fleet.views.get_mut(&VmId(1)).unwrap();
    let resumed_at = now + 30_000;
    assert_eq!(
        view.handle_heartbeat(&stale, resumed_at),
        ReceiveOutcome::Backlog
    );
    assert_eq!(
        view.handle_heartbeat(&stale, resumed_at + 5),
        ReceiveOutcome::Backlog
    );
    assert!(!view.is_reachable(VmId(2)));
    let mut echoed = stale.clone();
    echoed.echo = Some(resumed_at + 2);
    assert_eq!(
        view.handle_heartbeat(&echoed, resumed_at + 10),
        ReceiveOutcome::Heard
    );
    assert!(view.is_reachable(VmId(2)));
}

/// Guards against echoes of send times before the freeze, or of future times, that make a resumed
/// gateway count as reachable.
#[test]
fn old_and_future_echoes_do_not_count() {
    for echo in [None, Some(Millis(6_000)), Some(Millis(999_000))] {
        let mut view = MembershipView::new(VmId(1), Incarnation(1), Millis(0));
        view.set_list(&fleet::gateway_list(1, 2), Millis(0));
        let mut peer = MembershipView::new(VmId(2), Incarnation(1), Millis(0));
        let mut heartbeat = peer.heartbeat_for(VmId(1), Millis(0), &LocalStatus::default());
        view.tick(Millis(30_000));
        for second in 31..60 {
            heartbeat.sent_at = Millis(second * 1_000);
            heartbeat.echo = echo;
            view.handle_heartbeat(&heartbeat, Millis(second * 1_000));
            view.tick(Millis(second * 1_000 + 500));
            assert!(view.is_reachable(VmId(2)));
            assert!(!view.is_reachable_by_majority(), "echo {echo:?}");
        }
        heartbeat.sent_at = Millis(60_000);
        heartbeat.echo = Some(Millis(59_000));
        view.handle_heartbeat(&heartbeat, Millis(60_000));
        assert!(view.is_reachable_by_majority());
    }
}

/// Guards against the echo of a single early peer that makes a resumed gateway count as reachable.
#[test]
fn one_early_echo_does_not_make_a_resumed_gateway_reachable() {
    let mut view = MembershipView::new(VmId(1), Incarnation(1), Millis(0));
    view.set_list(&fleet::gateway_list(1, 4), Millis(0));
    let mut receive = |vm: u32, millis: u64, unreachable: bool| {
        let mut peer = MembershipView::new(VmId(vm), Incarnation(1), Millis(0));
        let mut heartbeat = peer.heartbeat_for(VmId(1), Millis(0), &LocalStatus::default());
        heartbeat.sent_at = Millis(millis);
        heartbeat.echo = (!unreachable).then_some(Millis(millis.min(30_101)));
        heartbeat.unreachable = if unreachable {
            vec![VmId(1)]
        } else {
            Vec::new()
        };
        view.tick(Millis(millis));
        view.handle_heartbeat(&heartbeat, Millis(millis));
        view.is_reachable_by_majority()
    };
    // The jump of the clock counts as a freeze.
    assert!(receive(2, 0, false));
    assert!(!receive(2, 30_100, false));
    assert!(!receive(3, 30_500, true));
    assert!(!receive(4, 30_600, true));
    assert!(!receive(2, 31_300, false));
    assert!(receive(3, 31_400, false));
}

/// Guards against a heartbeat that arrives after a later one and replaces its values.
#[test]
fn a_heartbeat_out_of_order_is_ignored() {
    let mut view = MembershipView::new(VmId(1), Incarnation(1), Millis(0));
    let mut peer = MembershipView::new(VmId(2), Incarnation(1), Millis(0));
    let status = |table| LocalStatus {
        table_revision: TableRevision(table),
        ..LocalStatus::default()
    };
    let first = peer.heartbeat_for(VmId(1), Millis(10), &status(4));
    let second = peer.heartbeat_for(VmId(1), Millis(11), &status(5));
    assert_eq!(
        view.handle_heartbeat(&second, Millis(20)),
        ReceiveOutcome::NewIncarnation
    );
    assert_eq!(
        view.handle_heartbeat(&first, Millis(21)),
        ReceiveOutcome::OldHeartbeat
    );
    assert_eq!(view.newest_table().unwrap().version, TableRevision(5));
    assert_eq!(
        view.handle_heartbeat(&second, Millis(22)),
        ReceiveOutcome::Heard
    );
}

/// Guards against a gateway that never serves again because all its peers are gone when it resumes.
#[test]
fn a_resumed_gateway_without_peers_serves_after_five_seconds() {
    let mut fleet = Fleet::running(2);
    fleet.frozen.extend(fleet::vms([1, 2]));
    fleet.run(20_000);
    fleet.frozen.remove(&VmId(1));
    fleet.run(4_000);
    assert!(!fleet.view(1).is_reachable_by_majority());
    fleet.run(2_000);
    assert!(fleet.view(1).is_reachable_by_majority());
    assert_eq!(fleet.live(1), fleet::vms([1]));
}

/// Guards against a restarted gateway that is not recognised, and against late heartbeats of its
/// previous process.
#[test]
fn a_restart_replaces_the_previous_process() {
    let mut fleet = Fleet::running(3);
    let now = fleet.now;
    let status = LocalStatus::default();
    let late = fleet
        .views
        .get_mut(&VmId(1))
        .unwrap()
        .heartbeat_for(VmId(2), now, &status);
    fleet.restart(1, 2);
    fleet.run(1_500);
    assert_eq!(fleet.view(2).incarnation_of(VmId(1)), Some(Incarnation(2)));
    let now = fleet.now;
    let view = fleet.views.get_mut(&VmId(2)).unwrap();
    assert_eq!(
        view.handle_heartbeat(&late, now),
        ReceiveOutcome::OldIncarnation
    );
    assert_eq!(view.incarnation_of(VmId(1)), Some(Incarnation(2)));
    fleet.run(5_000);
    for vm in 1..=3 {
        assert_eq!(fleet.live(vm), fleet::vms(1..=3));
    }
}

/// Guards against an echo of a send time of the previous process, which the new process could
/// mistake for one of its own.
#[test]
fn a_restarted_peer_gets_no_echo_of_its_previous_process() {
    let mut view = MembershipView::new(VmId(1), Incarnation(1), Millis(0));
    let mut old = MembershipView::new(VmId(2), Incarnation(1), Millis(0));
    let mut new = MembershipView::new(VmId(2), Incarnation(2), Millis(0));
    let status = LocalStatus::default();
    view.handle_heartbeat(
        &old.heartbeat_for(VmId(1), Millis(900), &status),
        Millis(900),
    );
    let echo = |view: &mut MembershipView, now| view.heartbeat_for(VmId(2), now, &status).echo;
    assert_eq!(echo(&mut view, Millis(1_000)), Some(Millis(900)));
    view.handle_heartbeat(
        &new.heartbeat_for(VmId(1), Millis(10), &status),
        Millis(1_100),
    );
    assert_eq!(echo(&mut view, Millis(1_200)), Some(Millis(10)));
    for now in (2_000..=5_000).step_by(1_000) {
        view.tick(Millis(now));
    }
    assert_eq!(echo(&mut view, Millis(5_000)), None);
}
