//! Simulated fleet: membership views and a network with one-way partitions.

use std::collections;
use std::net;

use toucanledge_core::{
    FailureDomainId, Incarnation, ListVersion, Millis, VmEntry, VmId, VmList, VmRole, VmState,
};
use toucanledge_membership::{HEARTBEAT_INTERVAL_MS, LocalStatus, MembershipView};

const STEP_MS: u64 = 100;

pub struct Fleet {
    pub now: Millis,
    pub list: VmList,
    pub views: collections::BTreeMap<VmId, MembershipView>,
    /// Pairs of sender and receiver whose heartbeats are dropped.
    pub blocked: collections::BTreeSet<(VmId, VmId)>,
    pub frozen: collections::BTreeSet<VmId>,
}

pub fn gateway_entry(vm: u32, domain: u16) -> VmEntry {
    VmEntry {
        vm: VmId(vm),
        name: format!("gw-{vm:02}"),
        role: VmRole::Gateway,
        failure_domain: FailureDomainId(domain),
        peer: Some(net::SocketAddr::from(([127, 0, 0, 1], 7_000))),
        address: None,
        state: VmState::Live,
    }
}

pub fn backend_entry(vm: u32, domain: u16) -> VmEntry {
    VmEntry {
        name: format!("backend-{vm}"),
        role: VmRole::Backend,
        peer: None,
        address: Some(net::SocketAddr::from(([127, 0, 0, 1], 8_000))),
        ..gateway_entry(vm, domain)
    }
}

/// Returns a list with gateways 1 to `gateways` in three failure domains.
pub fn gateway_list(version: u64, gateways: u32) -> VmList {
    VmList {
        version: ListVersion(version),
        vms: (1..=gateways)
            .map(|vm| gateway_entry(vm, u16::try_from(vm % 3).unwrap()))
            .collect(),
    }
}

pub fn vms(range: impl IntoIterator<Item = u32>) -> Vec<VmId> {
    range.into_iter().map(VmId).collect()
}

impl Fleet {
    /// Returns a fleet that just started with the list of its gateways.
    pub fn start(gateways: u32) -> Self {
        let mut fleet = Self {
            now: Millis(1_000),
            list: gateway_list(1, gateways),
            views: collections::BTreeMap::new(),
            blocked: collections::BTreeSet::new(),
            frozen: collections::BTreeSet::new(),
        };
        for vm in 1..=gateways {
            fleet.restart(vm, 1);
        }
        fleet
    }

    /// Returns a fleet that has run long enough for heartbeats of all gateways.
    pub fn running(gateways: u32) -> Self {
        let mut fleet = Self::start(gateways);
        fleet.run(6_000);
        fleet
    }

    pub fn restart(&mut self, vm: u32, incarnation: u64) {
        let mut view = MembershipView::new(VmId(vm), Incarnation(incarnation), self.now);
        view.set_list(&self.list, self.now);
        self.views.insert(VmId(vm), view);
    }

    pub fn partition_one_way(&mut self, from: u32, to: u32) {
        self.blocked.insert((VmId(from), VmId(to)));
    }

    pub fn partition(&mut self, left: &[VmId], right: &[VmId]) {
        for one in left {
            for other in right {
                self.blocked.insert((*one, *other));
                self.blocked.insert((*other, *one));
            }
        }
    }

    pub fn set_list(&mut self, list: VmList) {
        for (vm, view) in &mut self.views {
            if !self.frozen.contains(vm) {
                view.set_list(&list, self.now);
            }
        }
        self.list = list;
    }

    pub fn run(&mut self, millis: u64) {
        self.run_each(millis, |_| {});
    }

    /// Runs the fleet and calls `check` after every step.
    pub fn run_each(&mut self, millis: u64, mut check: impl FnMut(&Self)) {
        for _ in 0..millis / STEP_MS {
            self.step();
            check(self);
        }
    }

    pub fn view(&self, vm: u32) -> &MembershipView {
        &self.views[&VmId(vm)]
    }

    /// Returns the gateways that are live in the view of a gateway.
    pub fn live(&self, vm: u32) -> Vec<VmId> {
        self.view(vm).live_gateways()
    }

    fn step(&mut self) {
        self.now = self.now + STEP_MS;
        let now = self.now;
        let mut sent = Vec::new();
        for (vm, view) in &mut self.views {
            if self.frozen.contains(vm) {
                continue;
            }
            view.tick(now);
            let offset = u64::from(vm.0) * STEP_MS;
            if (now.0 + offset).is_multiple_of(HEARTBEAT_INTERVAL_MS) {
                for peer in view.heartbeat_targets().collect::<Vec<_>>() {
                    sent.push((peer, view.heartbeat_for(peer, now, &LocalStatus::default())));
                }
            }
        }
        for (to, heartbeat) in sent {
            if self.blocked.contains(&(heartbeat.from, to)) || self.frozen.contains(&to) {
                continue;
            }
            if let Some(view) = self.views.get_mut(&to) {
                view.handle_heartbeat(&heartbeat, now + 1);
            }
        }
    }
}
