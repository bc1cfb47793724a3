//! Sample VM lists, responses and steps for tests.

use std::net;

use rand::Rng;
use toucanledge_claims::{ClaimRules, StoredResponse};
use toucanledge_core::{FailureDomainId, ListVersion, VmEntry, VmId, VmList, VmRole, VmState};

use super::{Fleet, Step};

pub fn list(version: u64, gateways: impl IntoIterator<Item = u32>) -> VmList {
    let vms = gateways.into_iter().map(|gateway| VmEntry {
        vm: VmId(gateway),
        name: format!("gw-{gateway}"),
        role: VmRole::Gateway,
        failure_domain: FailureDomainId(
            u16::try_from(gateway % 3).expect("a remainder below 3 fits into u16"),
        ),
        peer: Some(net::SocketAddr::from(([127, 0, 0, 1], 7_000))),
        address: None,
        state: VmState::Live,
    });
    VmList {
        version: ListVersion(version),
        vms: vms.collect(),
    }
}

pub fn stored_response() -> StoredResponse {
    StoredResponse {
        status: 201,
        headers: vec![("location".to_owned(), b"/fees/7".to_vec())],
        body: "charged".into(),
    }
}

impl Fleet {
    /// Returns a fleet that has run until its gateways are established.
    pub fn established(listed: u32, running: u32, window_ms: u64, rules: ClaimRules) -> Self {
        let mut fleet = Self::new(listed, running, window_ms, rules);
        fleet.run(window_ms + 23_000);
        fleet
    }

    /// Adds random steps between those of a test, and loss, duplicates and delays of messages.
    pub fn randomize(&mut self, seed: u64) {
        self.enable_network_faults(seed);
        self.randomized = true;
    }

    pub(super) fn random_step(&mut self) -> Step {
        let (first, second) = (
            self.random.random_range(0..9),
            self.random.random_range(0..9),
        );
        match self.random.random_range(0..9) {
            0 => Step::OneWayPartition(first, second),
            1 => Step::Restart(first),
            2 => Step::Freeze(1 << first),
            3 => Step::Resume(u32::MAX),
            4 => Step::Heal,
            5 => Step::Replace(vec![first], 1, true),
            6 => Step::PlatformOutage(1 << first),
            7 => Step::RestoreLists,
            _ => Step::Request(first, 0),
        }
    }
}
