//! Crash suspicions.

use proptest::prelude::*;
use toucanledge_core::{Fingerprint, Incarnation, Millis, VmId};
use toucanledge_membership::{CrashSuspicion, LocalStatus, MembershipView};

use crate::fleet::Fleet;

fn view(vm: u32) -> MembershipView {
    MembershipView::new(VmId(vm), Incarnation(1), Millis(0))
}

fn send_heartbeat(
    from: &mut MembershipView,
    to: &mut MembershipView,
    sent: Millis,
    received: Millis,
) {
    let heartbeat = from.heartbeat_for(VmId(99), sent, &LocalStatus::default());
    to.handle_heartbeat(&heartbeat, received);
}

/// Guards against a gateway that misses the first loss, which another saw, and allows a third one.
#[test]
fn losses_add_up_across_gateways() {
    let (mut first, mut second) = (view(1), view(2));
    let request = Fingerprint(7);
    assert_eq!(
        first.record_backend_loss(request, Millis(10)).lost_backends,
        1
    );
    send_heartbeat(&mut first, &mut second, Millis(20), Millis(21));
    assert_eq!(
        second
            .record_backend_loss(request, Millis(30))
            .lost_backends,
        2
    );
    send_heartbeat(&mut second, &mut first, Millis(40), Millis(41));
    assert_eq!(
        first.suspicion(request, Millis(41)).unwrap().lost_backends,
        2
    );
    // A report of one loss does not lower the count.
    let mut third = view(3);
    third.record_backend_loss(request, Millis(41));
    send_heartbeat(&mut third, &mut first, Millis(42), Millis(43));
    assert_eq!(
        first.suspicion(request, Millis(43)).unwrap().lost_backends,
        2
    );
}

/// Guards against a suspicion that circulates forever because each hop makes it younger.
#[test]
fn a_suspicion_expires_in_the_whole_fleet() {
    let mut fleet = Fleet::running(9);
    let request = Fingerprint(7);
    let start = fleet.now;
    let view = fleet.views.get_mut(&VmId(1)).unwrap();
    view.record_backend_loss(request, start);
    fleet.run(2_000);
    assert!(
        fleet
            .views
            .values()
            .all(|view| view.suspicion(request, fleet.now).is_some())
    );
    fleet.run(56_000);
    assert!(fleet.view(1).suspicion(request, fleet.now).is_some());
    fleet.run(5_000);
    for (vm, view) in &fleet.views {
        assert_eq!(
            view.suspicion(request, fleet.now),
            None,
            "suspicion of {vm} has not expired"
        );
    }
}

/// Guards against slow heartbeats that make a suspicion younger at every hop.
#[test]
fn a_suspicion_expires_although_heartbeats_are_slow() {
    let (mut first, mut second) = (view(1), view(2));
    let request = Fingerprint(7);
    first.record_backend_loss(request, Millis(0));
    for second_of_run in 0..64 {
        let sent = Millis(second_of_run * 1_000);
        send_heartbeat(&mut first, &mut second, sent, sent + 400);
        send_heartbeat(&mut second, &mut first, sent + 401, sent + 801);
    }
    assert_eq!(first.suspicion(request, Millis(64_000)), None);
    assert_eq!(second.suspicion(request, Millis(64_000)), None);
}

/// Guards against many suspicions that use too much memory or displace the most recent ones.
#[test]
fn the_most_recent_are_kept_and_sent() {
    let mut view = view(1);
    for number in 0..200_u64 {
        view.record_backend_loss(Fingerprint(number.into()), Millis(number));
    }
    let all = view.suspicions(Millis(200));
    assert_eq!(all.len(), 64);
    assert_eq!(all[0].fingerprint, Fingerprint(199));
    let sent = view.heartbeat_for(VmId(2), Millis(200), &LocalStatus::default());
    let numbers: Vec<u128> = sent
        .suspicions
        .iter()
        .map(|suspicion| suspicion.fingerprint.0)
        .collect();
    assert_eq!(numbers, [199, 198, 197, 196]);
}

proptest! {
    /// Guards against a merge that yields more losses, or another age, than any peer reported.
    #[test]
    fn merging_takes_the_most_losses_and_a_reported_age(
        reported in prop::collection::vec((1_u8..5, 0_u32..70_000), 1..8),
    ) {
        let mut receiver = view(1);
        let request = Fingerprint(7);
        for (vm, (losses, age)) in (2..).zip(&reported) {
            let mut heartbeat =
                view(vm).heartbeat_for(VmId(1), Millis(0), &LocalStatus::default());
            heartbeat.suspicions = vec![CrashSuspicion {
                fingerprint: request,
                lost_backends: *losses,
                age_ms: *age,
            }];
            receiver.handle_heartbeat(&heartbeat, Millis(0));
        }
        let valid = || reported.iter().filter(|(_, age)| *age < 60_000);
        let known = receiver.suspicion(request, Millis(0));
        prop_assert_eq!(
            known.map(|suspicion| suspicion.lost_backends),
            valid().map(|(losses, _)| *losses).max()
        );
        if let Some(suspicion) = known {
            prop_assert!(valid().any(|(_, age)| *age == suspicion.age_ms));
        }
    }
}
