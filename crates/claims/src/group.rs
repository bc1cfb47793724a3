//! The gateways of one list version.

use std::collections;

use toucanledge_core::{FailureDomainId, ListVersion, VmId, VmList};

/// One list version with its gateways.
#[derive(Clone, Debug)]
pub(crate) struct ListGroup {
    pub(crate) list: VmList,
    pub(crate) gateways: collections::BTreeMap<VmId, FailureDomainId>,
}

impl ListGroup {
    pub(crate) fn new(list: VmList) -> Self {
        let gateways = list
            .gateways()
            .map(|entry| (entry.vm, entry.failure_domain))
            .collect();
        Self { list, gateways }
    }
}

/// Drops and returns the versions that set the same conditions as a newer version.
///
/// Most list changes concern backend servers only; without this, they would soon fill the 16
/// versions of a heartbeat.
pub(crate) fn cover_equal(
    groups: &mut collections::BTreeMap<ListVersion, ListGroup>,
) -> Vec<ListVersion> {
    let mut covered = Vec::new();
    let mut newer: collections::HashSet<Vec<(VmId, FailureDomainId)>> = collections::HashSet::new();
    for (version, group) in groups.iter().rev() {
        let members = group.gateways.iter().map(|(vm, domain)| (*vm, *domain));
        if !newer.insert(members.collect()) {
            covered.push(*version);
        }
    }
    for version in &covered {
        groups.remove(version);
    }
    covered
}
