//! Choice of the voters of a key.

use std::collections;

use toucanledge_core::{self as core, FailureDomainId, VmId, VmList};

use crate::message::ClaimKey;
use crate::rules::MAX_VOTERS;

/// Greatest number of voters in one failure domain when the list has three or more.
const VOTERS_PER_DOMAIN: usize = 2;

/// Number of failure domains from which the limit for each of them applies.
const DOMAINS_FOR_LIMIT: usize = 3;

/// Returns the voters of a key under one version of the VM list, at most 5.
///
/// The choice depends on the identifiers and failure domains of the listed gateways only. A
/// leaving gateway stays a voter while it is listed: it still remembers its votes, and a change
/// of state alone then changes no voter group.
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
    let limit = if distinct.len() >= DOMAINS_FOR_LIMIT {
        VOTERS_PER_DOMAIN
    } else {
        MAX_VOTERS
    };
    let mut used: collections::BTreeMap<FailureDomainId, usize> = collections::BTreeMap::new();
    core::rendezvous_order(hash64(key), domains.keys().copied())
        .into_iter()
        .filter(|vm| take_place(&mut used, domains[vm], limit))
        .take(MAX_VOTERS)
        .collect()
}

/// Returns the votes that an attempt needs when a key has this many voters.
///
/// One gateway alone needs its own vote; two need both votes, so that either one's absence stops
/// keyed work.
#[must_use]
pub const fn quorum(voters: usize) -> usize {
    voters / 2 + 1
}

fn take_place(
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

/// Folds the key to the 64 bits that rendezvous hashing uses.
///
/// Keys are hashes already, so two keys that fold to one value merely share their voters.
#[expect(
    clippy::cast_possible_truncation,
    reason = "both halves of the key are used"
)]
const fn hash64(key: ClaimKey) -> u64 {
    (key.0 >> 64) as u64 ^ key.0 as u64
}
