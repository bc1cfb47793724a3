//! Selection of the voters of a key.

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
            let in_domain = chosen.iter().filter(|vm| vm.0 % 3 == domain);
            assert!(
                in_domain.count() <= 2,
                "more than two voters in domain {domain}: {chosen:?}"
            );
        }
    }
}

/// Guards against too few voters when there are too few failure domains for the limit per domain.
#[test]
fn two_domains_have_no_limit() {
    let mut list = fleet::list(1, 0..10);
    for entry in &mut list.vms {
        entry.failure_domain = FailureDomainId(u16::from(entry.vm.0 == 0));
    }
    assert_eq!(voters(&list, ClaimKey(3)).len(), 5);
}

/// Guards against a quorum that two claim attempts could both reach in a small fleet.
#[test]
fn small_fleets_need_a_majority_of_all_gateways() {
    let quorums = (1..6).map(|gateways| quorum(voters_of(gateways, 9).len()));
    assert_eq!(quorums.collect::<Vec<_>>(), [1, 2, 2, 3, 3]);
    assert!(voters_of(0, 9).is_empty());
}

/// Guards against voters that change with the state of a VM or with the order of the list.
#[test]
fn voters_are_independent_of_states_and_order() {
    let list = fleet::list(1, 0..12);
    let mut other = list.clone();
    other.vms.reverse();
    other.vms[3].state = VmState::Leaving;
    for key in (0..100).map(ClaimKey) {
        assert_eq!(voters(&list, key), voters(&other, key));
    }
}

/// Guards against the replacement of one VM that leaves a key without a quorum of its voters.
#[test]
fn one_replacement_keeps_three_voters() {
    let before = fleet::list(1, 0..40);
    let after = fleet::list(2, (0..40).filter(|vm| *vm != 7).chain([40]));
    for key in (0..2_000).map(ClaimKey) {
        let old: collections::HashSet<VmId> = voters(&before, key).into_iter().collect();
        let remaining = voters(&after, key)
            .iter()
            .filter(|vm| old.contains(vm))
            .count();
        assert!(
            remaining >= 3,
            "{key:?}: expected at least 3 remaining voters, got {remaining}"
        );
    }
}
