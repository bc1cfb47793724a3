//! Freezes and restarts.

use toucanledge_core::{Incarnation, Millis, TableRevision, VmId};
use toucanledge_membership::{LocalStatus, MembershipView, ReceiveOutcome, TickOutcome};

use crate::fleet::{self, Fleet};

/// Guards against a woken gateway that acts as the owner of its old shards before it learned what
/// happened meanwhile.
#[test]
fn a_woken_gateway_forgets_its_old_view() {
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

/// Guards against a freeze that nobody is told of because another event than a tick noticed it.
#[test]
fn the_next_tick_tells_of_a_freeze_once() {
    let mut view = MembershipView::new(VmId(1), Incarnation(10), Millis(0));
    assert_eq!(view.tick(Millis(100)), TickOutcome::Normal);
    view.heartbeat_for(VmId(2), Millis(5_000), &LocalStatus::default());
    assert_eq!(view.tick(Millis(5_001)), TickOutcome::Resumed);
    assert_eq!(view.tick(Millis(5_100)), TickOutcome::Normal);
}

/// Guards against peers that lose shards because a woken gateway hears nobody at first.
#[test]
fn a_woken_gateway_costs_its_peers_nothing() {
    // The wake falls between any two heartbeats of the others.
    for (gateways, phase) in (0..10).flat_map(|phase| [(2, phase), (3, phase), (9, phase)]) {
        let mut fleet = Fleet::running(gateways);
        fleet.frozen.insert(VmId(1));
        fleet.run(20_000 + phase * 100);
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

/// Guards against heartbeats from before the freeze, read from the socket after it, that pass for
/// news.
#[test]
fn heartbeats_that_waited_during_the_freeze_are_ignored() {
    let mut fleet = Fleet::running(3);
    let now = fleet.now;
    let status = LocalStatus::default();
    let waiting = fleet
        .views
        .get_mut(&VmId(2))
        .unwrap()
        .heartbeat_for(VmId(1), now, &status);
    let view = fleet.views.get_mut(&VmId(1)).unwrap();
    let woke = now + 30_000;
    assert_eq!(
        view.handle_heartbeat(&waiting, woke),
        ReceiveOutcome::Backlog
    );
    assert_eq!(
        view.handle_heartbeat(&waiting, woke + 5),
        ReceiveOutcome::Backlog
    );
    assert!(!view.is_reachable(VmId(2)));
    let mut echoed = waiting.clone();
    echoed.echo = Some(woke + 2);
    assert_eq!(
        view.handle_heartbeat(&echoed, woke + 10),
        ReceiveOutcome::Heard
    );
    assert!(view.is_reachable(VmId(2)));
}

/// Guards against echoes of send times before the freeze, or of times that never were, that prove
/// a woken gateway to be heard.
#[test]
fn old_and_future_echoes_prove_nothing() {
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

/// Guards against the echo of one early peer that speaks for all.
#[test]
fn one_early_echo_does_not_prove_a_woken_gateway_heard() {
    let mut view = MembershipView::new(VmId(1), Incarnation(1), Millis(0));
    view.set_list(&fleet::gateway_list(1, 4), Millis(0));
    let mut tell = |vm: u32, millis: u64, named: bool| {
        let mut peer = MembershipView::new(VmId(vm), Incarnation(1), Millis(0));
        let mut heartbeat = peer.heartbeat_for(VmId(1), Millis(0), &LocalStatus::default());
        heartbeat.sent_at = Millis(millis);
        heartbeat.echo = (!named).then_some(Millis(millis.min(30_101)));
        heartbeat.unreachable = if named { vec![VmId(1)] } else { Vec::new() };
        view.tick(Millis(millis));
        view.handle_heartbeat(&heartbeat, Millis(millis));
        view.is_reachable_by_majority()
    };
    // The jump of the clock is the freeze.
    assert!(tell(2, 0, false));
    assert!(!tell(2, 30_100, false));
    assert!(!tell(3, 30_500, true));
    assert!(!tell(4, 30_600, true));
    assert!(!tell(2, 31_300, false));
    assert!(tell(3, 31_400, false));
}

/// Guards against a heartbeat that was overtaken by a later one and takes its news back.
#[test]
fn an_overtaken_heartbeat_is_ignored() {
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

/// Guards against a gateway that never serves again because all its peers are gone when it wakes.
#[test]
fn a_woken_gateway_without_peers_serves_after_five_seconds() {
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

/// Guards against a restarted gateway that stays unknown, and against heartbeats of its former
/// process that arrive late.
#[test]
fn a_restart_replaces_the_former_process() {
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

/// Guards against an echo of a send time of the former process, which the new one could take for
/// its own.
#[test]
fn a_restarted_peer_gets_no_echo_of_its_former_process() {
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
