//! Choice of voters.

use std::collections;

use toucanledge_claims::{ClaimKey, quorum, voters};
use toucanledge_core::{FailureDomainId, VmId, VmState};

use crate::fleet;

fn voters_of(gateways: u32, key: u128) -> Vec<VmId> {
    voters(&fleet::list(1, 0..gateways), ClaimKey(key))
}

/// Guards against one failure domain that holds a quorum.
#[test]
fn at_most_two_voters_share_a_domain() {
    for key in 0..500 {
        let chosen = voters_of(40, key);
        assert_eq!(chosen.len(), 5);
        for domain in 0..3 {
            let inside = chosen.iter().filter(|vm| vm.0 % 3 == domain);
            assert!(inside.count() <= 2, "{chosen:?}");
        }
    }
}

/// Guards against fewer voters than gateways when the limit for a domain cannot apply.
#[test]
fn two_domains_have_no_limit() {
    let mut list = fleet::list(1, 0..10);
    for entry in &mut list.vms {
        entry.failure_domain = FailureDomainId(u16::from(entry.vm.0 == 0));
    }
    assert_eq!(voters(&list, ClaimKey(3)).len(), 5);
}

/// Guards against a quorum that two attempts could both reach in a small fleet.
#[test]
fn small_fleets_need_a_majority_of_those_there_are() {
    let quorums = (1..6).map(|gateways| quorum(voters_of(gateways, 9).len()));
    assert_eq!(quorums.collect::<Vec<_>>(), [1, 2, 2, 3, 3]);
    assert!(voters_of(0, 9).is_empty());
}

/// Guards against voter groups that change with a state or with the order of the list.
#[test]
fn states_and_order_change_no_voter() {
    let list = fleet::list(1, 0..12);
    let mut other = list.clone();
    other.vms.reverse();
    other.vms[3].state = VmState::Leaving;
    for key in (0..100).map(ClaimKey) {
        assert_eq!(voters(&list, key), voters(&other, key));
    }
}

/// Guards against a replacement that leaves a key without a quorum of earlier voters.
#[test]
fn one_replacement_keeps_three_voters() {
    let before = fleet::list(1, 0..40);
    let after = fleet::list(2, (0..40).filter(|vm| *vm != 7).chain([40]));
    for key in (0..2_000).map(ClaimKey) {
        let old: collections::HashSet<VmId> = voters(&before, key).into_iter().collect();
        let stay = voters(&after, key)
            .iter()
            .filter(|vm| old.contains(vm))
            .count();
        assert!(stay >= 3, "{key:?} keeps {stay}");
    }
}
