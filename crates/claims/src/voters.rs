//! Selection of the voters of a key.

use std::collections;

use toucanledge_core::{self as core, FailureDomainId, VmId, VmList};

use crate::message::ClaimKey;
use crate::rules::MAX_VOTERS;

/// Largest number of voters in one failure domain when the list has three or more domains.
const MAX_VOTERS_PER_DOMAIN: usize = 2;

/// Smallest number of failure domains for which the limit per domain applies.
const MIN_DOMAINS_FOR_LIMIT: usize = 3;

/// Returns the voters of a key under one version of the VM list, at most [`MAX_VOTERS`].
///
/// The selection depends only on the ids and failure domains of the listed gateways. A leaving
/// gateway stays a voter while it is listed: it still stores its votes, and a change of state
/// alone then changes no voters.
///
/// ```
/// use toucanledge_claims::{ClaimKey, voters};
/// use toucanledge_core::VmList;
/// assert!(voters(&VmList::default(), ClaimKey(7)).is_empty());
/// ```
#[must_use]
pub fn voters(list: &VmList, key: ClaimKey) -> Vec<VmId> {
    let domains: collections::BTreeMap<VmId, FailureDomainId> = list
        .gateways()
        .map(|entry| (entry.vm, entry.failure_domain))
        .collect();
    let distinct: collections::BTreeSet<FailureDomainId> = domains.values().copied().collect();
    let limit = if distinct.len() >= MIN_DOMAINS_FOR_LIMIT {
        MAX_VOTERS_PER_DOMAIN
    } else {
        MAX_VOTERS
    };
    let mut used: collections::BTreeMap<FailureDomainId, usize> = collections::BTreeMap::new();
    core::rendezvous_order(fold_key(key), domains.keys().copied())
        .into_iter()
        .filter(|vm| use_domain_slot(&mut used, domains[vm], limit))
        .take(MAX_VOTERS)
        .collect()
}

/// Returns the number of votes that a claim attempt needs when a key has this many voters.
///
/// A single gateway needs its own vote. Two gateways need both votes, so at-most-once requests are
/// refused while either one is unreachable.
#[must_use]
pub const fn quorum(voters: usize) -> usize {
    voters / 2 + 1
}

fn use_domain_slot(
    used: &mut collections::BTreeMap<FailureDomainId, usize>,
    domain: FailureDomainId,
    limit: usize,
) -> bool {
    let count = used.entry(domain).or_default();
    if *count >= limit {
        return false;
    }
    *count += 1;
    true
}

/// Folds the key into the 64 bits that rendezvous hashing takes.
///
/// Two keys that fold to the same value share their voters, which is harmless.
#[expect(
    clippy::cast_possible_truncation,
    reason = "both halves of the key are used"
)]
const fn fold_key(key: ClaimKey) -> u64 {
    (key.0 >> 64) as u64 ^ key.0 as u64
}
