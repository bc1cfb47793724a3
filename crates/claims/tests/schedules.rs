//! Generated schedules, under which no two claim attempts dispatch within one retention window.

use proptest::prelude::*;
use proptest::{collection, strategy};
use toucanledge_claims::ClaimRules;

use crate::fleet::{Fleet, Step};

const GATEWAYS: u32 = 10;
const MASKS: u32 = 1 << GATEWAYS;

/// A fault of the network or of a VM, or a list change.
fn fault_step() -> impl strategy::Strategy<Value = Step> {
    let gateway = 0..GATEWAYS;
    prop_oneof![
        2 => (gateway.clone(), gateway.clone())
            .prop_map(|(from, to)| Step::OneWayPartition(from, to)),
        3 => (1..MASKS).prop_map(Step::Partition),
        2 => Just(Step::Heal),
        2 => (1..MASKS).prop_map(Step::Freeze),
        1 => (1..MASKS).prop_map(Step::Resume),
        3 => gateway.clone().prop_map(Step::Restart),
        1 => gateway.clone().prop_map(Step::Kill),
        2 => (1..MASKS).prop_map(Step::BlockLists),
        1 => (1..MASKS).prop_map(Step::PlatformOutage),
        1 => Just(Step::RestoreLists),
        5 => (collection::vec(gateway, 0..4), 0..4_u32, any::<bool>())
            .prop_map(|(removed, added, running)| Step::Replace(removed, added, running)),
    ]
}

/// A request, after which its gateway may freeze before it records the outcome.
fn request_steps() -> impl strategy::Strategy<Value = Vec<(Step, u64)>> {
    let wait = prop_oneof![6 => Just(0), 1 => 0..12_000_u64];
    (0..GATEWAYS, wait, 0..400_u64, any::<bool>()).prop_map(|(gateway, wait, pause, freezes)| {
        let mut steps = vec![(Step::Request(gateway, wait), 40)];
        if freezes {
            steps.push((Step::Freeze(1 << gateway), 0));
        }
        steps.push((Step::Resume(0), pause));
        steps
    })
}

/// Faults, then time for versions to retire and gateways to become established, then requests.
pub fn mixed_phase() -> impl strategy::Strategy<Value = Vec<(Step, u64)>> {
    let short = prop_oneof![3 => 0..50_u64, 1 => 0..4_000_u64];
    let long = prop_oneof![1 => 0..3_000_u64, 2 => 15_000..40_000_u64];
    (
        collection::vec((fault_step(), short), 0..6),
        long,
        any::<bool>(),
        collection::vec(request_steps(), 1..6),
    )
        .prop_map(|(mut steps, long, resumes, requests)| {
            steps.push((Step::Resume(0), long));
            if resumes {
                steps.push((Step::Resume(u32::MAX), 0));
            }
            steps.extend(requests.into_iter().flatten());
            steps
        })
}

/// One side of a partition keeps an old list, gateways of the other side are replaced and
/// restarted, and requests arrive on both sides.
pub fn partition_phase() -> impl strategy::Strategy<Value = Vec<(Step, u64)>> {
    (
        1..128_u32,
        any::<bool>(),
        collection::vec(0..7_u32, 0..4),
        0..4_u32,
        collection::vec(0..8_u32, 0..4),
        prop_oneof![1 => 1_000..8_000_u64, 3 => 18_000..30_000_u64],
        collection::vec(request_steps(), 2..6),
        any::<bool>(),
    )
        .prop_map(
            |(side, freezes, removed, added, restarts, long, requests, heals)| {
                let mut steps = Vec::new();
                if freezes {
                    steps.push((Step::Freeze(side), 1_500));
                }
                steps.extend([(Step::Partition(side), 0), (Step::BlockLists(side), 0)]);
                steps.push((Step::Replace(removed, added, true), 100));
                steps.extend(restarts.into_iter().map(|vm| (Step::Restart(vm), 0)));
                steps.extend([(Step::Resume(0), long), (Step::Resume(u32::MAX), 0)]);
                steps.extend(requests.into_iter().flatten());
                if heals {
                    steps.extend([(Step::Heal, 0), (Step::RestoreLists, 2_000)]);
                }
                steps
            },
        )
}

/// A claim attempt reaches only some of its voters, and the list changes before the next requests.
pub fn list_change_phase() -> impl strategy::Strategy<Value = Vec<(Step, u64)>> {
    (
        0..7_u32,
        collection::vec(0..7_u32, 0..4),
        collection::vec(0..7_u32, 0..4),
        0..4_u32,
        any::<bool>(),
        1_500..5_000_u64,
        collection::vec(request_steps(), 1..4),
    )
        .prop_map(
            |(first, unreached, removed, added, running, pause, requests)| {
                let partitions = unreached
                    .into_iter()
                    .map(|to| (Step::OneWayPartition(first, to), 0));
                let mut steps: Vec<_> = partitions.collect();
                steps.extend([(Step::Request(first, 0), 40), (Step::Freeze(1 << first), 0)]);
                steps.extend([
                    (Step::Heal, 0),
                    (Step::Replace(removed, added, running), pause),
                ]);
                steps.extend(requests.into_iter().flatten());
                steps.push((Step::Resume(u32::MAX), 1_000));
                steps
            },
        )
}

pub type Schedule = (u32, u64, u64, Vec<(Step, u64)>);

/// A fleet size, a retention window, a seed for the network, phases of one kind, and further
/// phases of any kind.
pub fn schedule(
    kind: impl strategy::Strategy<Value = Vec<(Step, u64)>>,
) -> impl strategy::Strategy<Value = Schedule> {
    let window = prop_oneof![1 => Just(1_000_u64), 4 => Just(6_000), 1 => Just(20_000)];
    let rest = prop_oneof![mixed_phase(), partition_phase(), list_change_phase()];
    (
        3..8_u32,
        window,
        any::<u64>(),
        collection::vec(kind, 1..3),
        collection::vec(rest, 0..2),
    )
        .prop_map(|(listed, window, seed, phases, rest)| {
            let steps = phases.into_iter().chain(rest).flatten().collect();
            (listed, window, seed, steps)
        })
}

/// Runs a generated schedule and returns the fleet.
pub fn run(rules: ClaimRules, case: Schedule) -> Fleet {
    let (listed, window, seed, steps) = case;
    let mut fleet = Fleet::established(listed, listed, window, rules);
    fleet.enable_network_faults(seed);
    fleet.run_steps(steps);
    fleet
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    #[test]
    fn one_dispatch_under_mixed_faults(case in schedule(mixed_phase())) {
        prop_assert_eq!(run(ClaimRules::default(), case).violation, None);
    }

    #[test]
    fn one_dispatch_on_two_sides_of_a_partition(case in schedule(partition_phase())) {
        prop_assert_eq!(run(ClaimRules::default(), case).violation, None);
    }

    #[test]
    fn one_dispatch_across_a_list_change(case in schedule(list_change_phase())) {
        prop_assert_eq!(run(ClaimRules::default(), case).violation, None);
    }
}
