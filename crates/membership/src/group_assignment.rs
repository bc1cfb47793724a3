//! Stable assignment of VMs to groups of bounded size.

use toucanledge_core::{VmId, rendezvous_order};

/// Assigns each VM to a group, and returns the group index of each VM in order.
///
/// This is rendezvous hashing with bounded loads: a VM gets the group of the highest rendezvous
/// weight that has room. When one VM is added or removed, the others stay in their group unless
/// room in a group of higher weight was taken or became free.
pub fn assign_groups(vms: &[VmId], groups: usize, capacity: usize, seed: u64) -> Vec<usize> {
    if groups <= 1 {
        return vec![0; vms.len()];
    }
    let mut sizes = vec![0_usize; groups];
    let mut assigned = vec![0; vms.len()];
    for position in assignment_order(vms, seed) {
        let group = preferred_groups(vms[position], groups, seed)
            .find(|group| sizes[*group] < capacity)
            .unwrap_or(0);
        sizes[group] += 1;
        assigned[position] = group;
    }
    assigned
}

/// Returns the positions of the VMs in the order of their assignment, which is independent of the
/// other VMs in the list.
fn assignment_order(vms: &[VmId], seed: u64) -> Vec<usize> {
    let mut order: Vec<usize> = (0..vms.len()).collect();
    order.sort_by_cached_key(|position| {
        let vm = vms[*position];
        (toucanledge_core::rendezvous_weight(seed, vm), vm)
    });
    order
}

fn preferred_groups(vm: VmId, groups: usize, seed: u64) -> impl Iterator<Item = usize> {
    let key = seed ^ u64::from(vm.0).rotate_left(32);
    // The hash takes VM ids, so group indices are passed as such.
    let indices = (0..u32::try_from(groups).unwrap_or(u32::MAX)).map(VmId);
    rendezvous_order(key, indices)
        .into_iter()
        .filter_map(|group| usize::try_from(group.0).ok())
}
