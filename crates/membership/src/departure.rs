//! Backend servers that said that they are leaving while the VM list still has them as live.

use std::collections;

use toucanledge_core::{VmId, VmList, VmState};

use crate::limits::MAX_LEAVING_REPORTED;

/// Backend servers known to be leaving although the VM list lags.
#[derive(Clone, Debug, Default)]
pub struct DepartureList {
    /// Backend servers that the VM list has as live.
    live: collections::BTreeSet<VmId>,
    /// In the order in which they became known.
    leaving: Vec<VmId>,
}

impl DepartureList {
    /// Takes a VM list and forgets the backend servers that it no longer has as live.
    pub fn set_list(&mut self, list: &VmList) {
        let live = list.backends().filter(|entry| entry.state == VmState::Live);
        self.live = live.map(|entry| entry.vm).collect();
        let live = &self.live;
        self.leaving.retain(|vm| live.contains(vm));
    }

    /// Notes a backend server that is leaving and returns whether that is news.
    pub fn note(&mut self, backend: VmId) -> bool {
        let is_news = self.live.contains(&backend) && !self.leaving.contains(&backend);
        if is_news {
            self.leaving.push(backend);
        }
        is_news
    }

    /// Returns the backend servers that became known last, as many as a heartbeat carries.
    pub fn latest(&self) -> Vec<VmId> {
        let latest = self.leaving.iter().rev().take(MAX_LEAVING_REPORTED);
        latest.copied().collect()
    }

    /// Returns all backend servers known to be leaving.
    pub fn all(&self) -> collections::BTreeSet<VmId> {
        self.leaving.iter().copied().collect()
    }
}
