//! At-most-once requests make progress: without faults, with a dead voter, and after a replacement.

use toucanledge_claims::ClaimRules;
use toucanledge_core::RefusalReason;

use crate::fleet::{Fleet, Outcome, Step};

fn established(listed: u32, window_ms: u64) -> Fleet {
    Fleet::established(listed, listed, window_ms, ClaimRules::default())
}

fn count_dispatched(fleet: &Fleet) -> usize {
    let outcomes = fleet.outcomes.iter();
    outcomes
        .filter(|outcome| matches!(outcome, Outcome::Dispatched(_)))
        .count()
}

/// Guards against simultaneous claim attempts that split the votes and all fail.
#[test]
fn simultaneous_attempts_end_in_one_dispatch_and_replays() {
    for gateways in 1..8 {
        let mut fleet = established(gateways, 10_000);
        for gateway in 0..gateways {
            fleet.apply(&Step::Request(gateway, 0));
        }
        fleet.run(9_000);
        assert_eq!(count_dispatched(&fleet), 1, "outcomes {:?}", fleet.outcomes);
        assert_eq!(fleet.outcomes.len(), gateways as usize);
        let refused = |outcome: &Outcome| matches!(outcome, Outcome::Refused(_));
        assert!(
            !fleet.outcomes.iter().any(refused),
            "expected no refusal: {:?}",
            fleet.outcomes
        );
    }
}

/// Guards against votes split 2 to 2 that wait for the dead fifth voter.
#[test]
fn one_dead_voter_of_five_does_not_prevent_a_dispatch() {
    let mut fleet = established(5, 10_000);
    fleet.run_steps([(Step::Kill(4), 8_000)]);
    fleet.run_steps((0..4).map(|gateway| (Step::Request(gateway, 0), 0)));
    fleet.run(9_000);
    assert_eq!(count_dispatched(&fleet), 1, "outcomes {:?}", fleet.outcomes);
    let replayed = fleet
        .outcomes
        .iter()
        .filter(|outcome| **outcome == Outcome::Replayed);
    assert_eq!(replayed.count(), 3, "outcomes {:?}", fleet.outcomes);
}

/// Guards against a replaced VM after which keys wait for a full retention window.
#[test]
fn replaced_vm_delays_keys_only_until_the_list_is_confirmed() {
    for key in 0..20 {
        let mut fleet = established(7, 60_000);
        fleet.key.0 = key;
        fleet.run_steps([
            (Step::Replace(vec![2], 1, false), 10),
            (Step::Request(0, 0), 5_000),
        ]);
        let [Outcome::Dispatched(wait)] = fleet.outcomes[..] else {
            panic!("key {key}: expected one dispatch, got {:?}", fleet.outcomes);
        };
        assert!(
            wait <= 3_500,
            "key {key}: expected at most 3500 ms, got {wait} ms"
        );
    }
}

/// Guards against a dispatch without a quorum when one of two voters is gone.
#[test]
fn one_of_two_gateways_has_no_quorum() {
    let mut fleet = established(2, 10_000);
    fleet.run_steps([(Step::Kill(1), 8_000), (Step::Request(0, 0), 12_000)]);
    assert_eq!(fleet.outcomes, [Outcome::Refused(RefusalReason::NoQuorum)]);
}

/// Guards against a second dispatch for a key whose holder died after its own.
#[test]
fn key_of_a_killed_gateway_stays_in_progress() {
    let mut fleet = established(5, 30_000);
    fleet.run_steps([
        (Step::Request(0, 0), 100),
        (Step::Kill(0), 0),
        (Step::Request(1, 0), 12_000),
    ]);
    let [Outcome::Dispatched(_), Outcome::Refused(reason)] = fleet.outcomes[..] else {
        panic!(
            "expected a dispatch and a refusal, got {:?}",
            fleet.outcomes
        );
    };
    assert_eq!(reason, RefusalReason::KeyInProgress);
}

/// Guards against a dispatch after a slot wait during which the permit expired.
#[test]
fn slot_wait_longer_than_the_dispatch_permit_is_refused() {
    let mut fleet = established(5, 10_000);
    fleet.run_steps([(Step::Request(0, 2_500), 4_000)]);
    assert_eq!(
        fleet.outcomes,
        [Outcome::Refused(RefusalReason::ClaimExpired)]
    );
}

/// Guards against at-most-once requests that are refused for good after all VMs were replaced
/// within one retention window.
#[test]
fn replaced_fleet_serves_again_after_one_window() {
    let mut fleet = established(5, 60_000);
    for vm in 0..5 {
        fleet.run_steps([(Step::Replace(vec![vm], 1, false), 5_000)]);
    }
    fleet.run_steps([(Step::Request(7, 0), 12_000)]);
    assert_eq!(fleet.outcomes, [Outcome::Refused(RefusalReason::NoQuorum)]);
    fleet.run_steps([(Step::Resume(0), 70_000), (Step::Request(7, 0), 5_000)]);
    assert_eq!(count_dispatched(&fleet), 1, "outcomes {:?}", fleet.outcomes);
}

/// Documents a limit of the protocol: gateways refuse while one of them has a version whose
/// majority is gone, because that majority may still run, unreachable for them.
#[test]
fn limit_lost_majority_refuses_until_the_fleet_restarts() {
    let mut fleet = established(5, 10_000);
    fleet.run_steps([(Step::Replace(vec![0, 1, 2], 3, false), 90_000)]);
    fleet.run_steps([(Step::Request(5, 0), 12_000)]);
    assert_eq!(fleet.outcomes, [Outcome::Refused(RefusalReason::NoQuorum)]);
    fleet.run_steps((3..8).map(|vm| (Step::Restart(vm), 0)));
    fleet.run(60_000);
    fleet.run_steps([(Step::Request(5, 0), 5_000)]);
    assert_eq!(count_dispatched(&fleet), 1, "outcomes {:?}", fleet.outcomes);
}
