//! Heartbeats that arrive in any order.

use proptest::prelude::*;
use toucanledge_core::{Incarnation, Millis, VmId};
use toucanledge_membership::{
    GatewayState, Heartbeat, LocalStatus, MembershipView, ReceiveOutcome,
};

use crate::fleet;

/// Sender, incarnation, send time, echo, unreachable gateways, whether the sender is leaving, and
/// the milliseconds before its arrival.
type RawHeartbeat = (u32, u64, u64, Option<u64>, Vec<u32>, bool, u64);

fn raw_heartbeat() -> impl Strategy<Value = RawHeartbeat> {
    (
        1_u32..12,
        0_u64..4,
        0_u64..100_000,
        any::<Option<u64>>(),
        prop::collection::vec(0_u32..12, 0..=8),
        any::<bool>(),
        prop_oneof![0_u64..1_500, Just(10_000)],
    )
}

fn heartbeat(raw: &RawHeartbeat) -> Heartbeat {
    let (from, incarnation, sent, echo, unreachable, leaving, _) = raw;
    let mut view = MembershipView::new(VmId(*from), Incarnation(*incarnation), Millis(*sent));
    if *leaving {
        view.set_state(GatewayState::Leaving);
    }
    let heartbeat = view.heartbeat_for(VmId(1), Millis(*sent), &LocalStatus::default());
    Heartbeat {
        echo: echo.map(Millis),
        unreachable: fleet::vms(unreachable.iter().copied()),
        ..heartbeat
    }
}

proptest! {
    /// Guards against a replaced process that comes back into the view, a panic on unusual
    /// heartbeats, and queries that contradict each other.
    #[test]
    fn no_order_restores_a_smaller_incarnation(
        raws in prop::collection::vec(raw_heartbeat(), 1..80),
    ) {
        let mut view = MembershipView::new(VmId(1), Incarnation(1), Millis(0));
        let list = fleet::gateway_list(1, 8);
        view.set_list(&list, Millis(0));
        let mut now = Millis(0);
        for raw in &raws {
            let (.., delay_ms) = raw;
            now = now + *delay_ms;
            let heartbeat = heartbeat(raw);
            let before = view.incarnation_of(heartbeat.from);
            let outcome = view.handle_heartbeat(&heartbeat, now);
            let after = view.incarnation_of(heartbeat.from);
            prop_assert!(after >= before);
            match outcome {
                ReceiveOutcome::Heard => prop_assert_eq!(after, before),
                ReceiveOutcome::NewIncarnation => {
                    prop_assert_eq!(after, Some(heartbeat.incarnation));
                }
                _ => prop_assert_eq!(after, before),
            }
            let live = view.live_gateways();
            prop_assert!(live.iter().all(|vm| view.is_live(*vm) && vm.0 <= 8));
            prop_assert!(live.is_sorted());
            let sent = view.heartbeat_for(VmId(2), now, &LocalStatus::default());
            prop_assert!(sent.unreachable.iter().all(|vm| !view.is_reachable(*vm)));
            prop_assert!(sent.echo.is_none() || view.is_reachable(VmId(2)));
        }
    }
}
