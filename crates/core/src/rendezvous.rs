//! Rendezvous (highest random weight) hashing.

use xxhash_rust::xxh3;

use crate::VmId;

/// Returns the rendezvous weight of a VM for a key.
#[must_use]
pub fn rendezvous_weight(key: u64, vm: VmId) -> u64 {
    xxh3::xxh3_64_with_seed(&vm.0.to_le_bytes(), key)
}

/// Returns the VMs in descending order of their weight for a key.
///
/// ```
/// use toucanledge_core::{VmId, rendezvous_order};
/// let all = rendezvous_order(7, [VmId(1), VmId(2), VmId(3)]);
/// let rest = rendezvous_order(7, all[1..].to_vec());
/// assert_eq!(all[1..], rest[..]);
/// ```
#[must_use]
pub fn rendezvous_order(key: u64, vms: impl IntoIterator<Item = VmId>) -> Vec<VmId> {
    let mut weighted: Vec<(u64, VmId)> = vms
        .into_iter()
        .map(|vm| (rendezvous_weight(key, vm), vm))
        .collect();
    weighted.sort_unstable_by(|left, right| right.cmp(left));
    weighted.into_iter().map(|(_, vm)| vm).collect()
}
