//! Cohorts: groups of gateways that exchange heartbeats.

use std::collections;

use toucanledge_core::{FailureDomainId, VmId, VmList};

use crate::group_assignment;
use crate::invariants;
use crate::limits::MAX_COHORT_SIZE;

/// Seed by which gateways are assigned to cohorts.
const COHORT_SEED: u64 = 0x636f_686f_7274;

/// Returns the gateways of the cohort of a VM, the VM included, in order of their ids.
///
/// A VM that is not in the list belongs to no cohort. It gets the first one, so that it can send
/// heartbeats before the list contains it.
///
/// With at most 64 gateways in the list there is one cohort. With more, the gateways of each
/// failure domain are distributed evenly over the smallest number of cohorts that keeps each at
/// 64 or less. All gateways with the same list compute the same cohorts, so that heartbeats go
/// both ways, and every cohort has gateways of every failure domain that has enough of them.
#[must_use]
pub fn cohort_of(vm: VmId, list: &VmList) -> Vec<VmId> {
    let domains = gateways_by_domain(list);
    let cohorts = cohort_count(&domains);
    let mut members: Vec<Vec<VmId>> = vec![Vec::new(); cohorts];
    for (domain, gateways) in &domains {
        let capacity = gateways.len().div_ceil(cohorts);
        let seed = COHORT_SEED ^ u64::from(domain.0);
        let groups = group_assignment::assign_groups(gateways, cohorts, capacity, seed);
        for (gateway, group) in gateways.iter().zip(groups) {
            members[group].push(*gateway);
        }
    }
    let own_cohort = members.iter().position(|cohort| cohort.contains(&vm));
    let mut cohort = members.swap_remove(own_cohort.unwrap_or(0));
    cohort.sort_unstable();
    invariants::check_cohort(&cohort);
    cohort
}

fn gateways_by_domain(list: &VmList) -> collections::BTreeMap<FailureDomainId, Vec<VmId>> {
    let mut domains: collections::BTreeMap<FailureDomainId, Vec<VmId>> =
        collections::BTreeMap::new();
    for entry in list.gateways() {
        domains
            .entry(entry.failure_domain)
            .or_default()
            .push(entry.vm);
    }
    if domains.len() <= MAX_COHORT_SIZE {
        return domains;
    }
    // A cohort cannot have a gateway of each of so many failure domains.
    let gateways = domains.into_values().flatten().collect();
    collections::BTreeMap::from([(FailureDomainId::default(), gateways)])
}

fn cohort_count(domains: &collections::BTreeMap<FailureDomainId, Vec<VmId>>) -> usize {
    let total: usize = domains.values().map(Vec::len).sum();
    let fits = |cohorts: usize| {
        let size: usize = domains
            .values()
            .map(|gateways| gateways.len().div_ceil(cohorts))
            .sum();
        size <= MAX_COHORT_SIZE
    };
    (1..=total.max(1))
        .find(|cohorts| fits(*cohorts))
        .unwrap_or(1)
}
