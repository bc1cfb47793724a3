//! Lists, answers and faults for tests.

use std::net;

use rand::Rng;
use toucanledge_claims::{ClaimRules, StoredResponse};
use toucanledge_core::{FailureDomainId, ListVersion, VmEntry, VmId, VmList, VmRole, VmState};

use super::{Fault, Fleet};

pub fn list(version: u64, gateways: impl IntoIterator<Item = u32>) -> VmList {
    let vms = gateways.into_iter().map(|gateway| VmEntry {
        vm: VmId(gateway),
        name: format!("gw-{gateway}"),
        role: VmRole::Gateway,
        failure_domain: FailureDomainId(u16::try_from(gateway % 3).expect("below 3")),
        peer: Some(net::SocketAddr::from(([127, 0, 0, 1], 7_000))),
        address: None,
        state: VmState::Live,
    });
    VmList {
        version: ListVersion(version),
        vms: vms.collect(),
    }
}

pub fn answer() -> StoredResponse {
    StoredResponse {
        status: 201,
        headers: vec![("location".to_owned(), b"/fees/7".to_vec())],
        body: "charged".into(),
    }
}

impl Fleet {
    /// Returns the fleet after the pause in which its gateways become established.
    pub fn settled(listed: u32, running: u32, window: u64, rules: ClaimRules) -> Self {
        let mut fleet = Self::new(listed, running, window, rules);
        fleet.run(window + 23_000);
        fleet
    }

    /// Makes the fleet run variations of its scripts, with loss, duplicates and delays.
    pub fn vary(&mut self, seed: u64) {
        self.disturb(seed);
        self.varied = true;
    }

    pub(super) fn further_fault(&mut self) -> Fault {
        let (first, second) = (
            self.random.random_range(0..9),
            self.random.random_range(0..9),
        );
        match self.random.random_range(0..9) {
            0 => Fault::Cut(first, second),
            1 => Fault::Restart(first),
            2 => Fault::Freeze(1 << first),
            3 => Fault::Thaw(u32::MAX),
            4 => Fault::Heal,
            5 => Fault::Replace(vec![first], 1, true),
            6 => Fault::Outage(1 << first),
            7 => Fault::Recover,
            _ => Fault::Claim(first, 0),
        }
    }
}
