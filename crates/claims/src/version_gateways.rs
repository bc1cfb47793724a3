//! The gateways of one list version.

use std::collections;

use toucanledge_core::{FailureDomainId, ListVersion, VmId, VmList};

/// A VM list version with the gateways that it lists.
#[derive(Clone, Debug)]
pub(crate) struct VersionGateways {
    pub(crate) list: VmList,
    pub(crate) gateways: collections::BTreeMap<VmId, FailureDomainId>,
}

impl VersionGateways {
    pub(crate) fn new(list: VmList) -> Self {
        let gateways = list
            .gateways()
            .map(|entry| (entry.vm, entry.failure_domain))
            .collect();
        Self { list, gateways }
    }
}

/// Removes and returns the versions that list the same gateways as a newer version.
///
/// Most list changes concern backend servers only. Without this step they would soon fill the 16
/// versions that a heartbeat can carry.
pub(crate) fn remove_superseded(
    versions: &mut collections::BTreeMap<ListVersion, VersionGateways>,
) -> Vec<ListVersion> {
    let mut superseded = Vec::new();
    let mut seen: collections::HashSet<Vec<(VmId, FailureDomainId)>> = collections::HashSet::new();
    for (version, entry) in versions.iter().rev() {
        let members = entry.gateways.iter().map(|(vm, domain)| (*vm, *domain));
        if !seen.insert(members.collect()) {
            superseded.push(*version);
        }
    }
    for version in &superseded {
        versions.remove(version);
    }
    superseded
}
