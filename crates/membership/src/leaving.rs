//! Backend servers that reported themselves as leaving while the VM list has them as live.

use std::collections;

use toucanledge_core::{VmId, VmList, VmState};

use crate::limits::MAX_LEAVING_REPORTED;

/// Backend servers that are leaving, ahead of the VM list.
#[derive(Clone, Debug, Default)]
pub struct LeavingBackends {
    /// Backend servers that the VM list has as live.
    live: collections::BTreeSet<VmId>,
    /// Leaving backend servers, in the order in which their reports arrived.
    leaving: Vec<VmId>,
}

impl LeavingBackends {
    /// Applies a VM list and removes the backend servers that it no longer has as live.
    pub fn set_list(&mut self, list: &VmList) {
        let live = list.backends().filter(|entry| entry.state == VmState::Live);
        self.live = live.map(|entry| entry.vm).collect();
        let live = &self.live;
        self.leaving.retain(|vm| live.contains(vm));
    }

    /// Adds a leaving backend server, and returns whether it was not known as leaving before.
    pub fn insert(&mut self, backend: VmId) -> bool {
        let is_new = self.live.contains(&backend) && !self.leaving.contains(&backend);
        if is_new {
            self.leaving.push(backend);
        }
        is_new
    }

    /// Returns the backend servers that were added last, as many as a heartbeat carries.
    pub fn most_recent(&self) -> Vec<VmId> {
        let recent = self.leaving.iter().rev().take(MAX_LEAVING_REPORTED);
        recent.copied().collect()
    }

    /// Returns all leaving backend servers.
    pub fn all(&self) -> collections::BTreeSet<VmId> {
        self.leaving.iter().copied().collect()
    }
}
