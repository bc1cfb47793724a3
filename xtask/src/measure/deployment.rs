//! Profiles of the deployments `manualia` and `kestrelmoor`.

use serde_json::json;
use toucanledge_bench::{PoolConfig, ServerLimits};

/// Deadline of the class that mixes short and long requests; long ones take 2 s.
const MIXED_DEADLINE_MS: u64 = 20_000;
/// Longest wait for a slot in that class.
const MIXED_QUEUE_MS: u64 = 5_000;

/// Pool sizes, network delay and main class of a deployment, as in its example.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentProfile {
    pub name: &'static str,
    /// Pools with their number of backend servers; the loads use the first.
    pools: [(&'static str, u8); 2],
    connections: usize,
    /// One-way delay in ms between failure domains.
    pub delay_ms: f64,
    /// Name of the class of short reads.
    class: &'static str,
    pub path: &'static str,
    pub deadline_ms: u64,
    floor: f64,
}

const MANUALIA: DeploymentProfile = DeploymentProfile {
    name: "manualia",
    pools: [("reading", 24), ("publishing", 6)],
    connections: 330,
    delay_ms: 1.0,
    class: "read-policy",
    path: "/policies/",
    deadline_ms: 2000,
    floor: 0.7,
};

const KESTRELMOOR: DeploymentProfile = DeploymentProfile {
    name: "kestrelmoor",
    pools: [("records", 28), ("payments", 6)],
    connections: 390,
    delay_ms: 0.5,
    class: "licence-status",
    path: "/licences/",
    deadline_ms: 1500,
    floor: 0.8,
};

/// Path of the class that mixes short and long requests.
pub const MIXED_PATH: &str = "/mixed/";

impl DeploymentProfile {
    pub fn find(name: &str) -> Option<Self> {
        [MANUALIA, KESTRELMOOR]
            .into_iter()
            .find(|deployment| deployment.name == name)
    }

    /// Returns the number of slots of the main pool: 4 per backend server.
    pub fn slots(self) -> u32 {
        4 * u32::from(self.pools[0].1)
    }

    pub fn main_pool(self) -> &'static str {
        self.pools[0].0
    }

    pub fn pool_configs(self) -> Vec<PoolConfig> {
        let limits = ServerLimits {
            connections: self.connections,
            ..ServerLimits::default()
        };
        self.pools
            .map(|(name, servers)| PoolConfig {
                limits,
                ..PoolConfig::new(name, servers)
            })
            .into()
    }

    pub fn class_rows(self) -> Vec<serde_json::Value> {
        let main = json!({
            "class": self.class, "method": "GET", "path": self.path, "pool": self.main_pool(),
            "repeat": "repeatable", "weight": 4.0, "deadline_ms": self.deadline_ms,
            "queue_ms": 200, "floor": self.floor,
        });
        let mixed = json!({
            "class": "mixed", "method": "GET", "path": MIXED_PATH, "pool": self.main_pool(),
            "repeat": "repeatable", "deadline_ms": MIXED_DEADLINE_MS, "queue_ms": MIXED_QUEUE_MS,
            "floor": self.floor,
        });
        vec![main, mixed]
    }
}
