//! Fleets with the sizes and example tables of the deployments `manualia` and `kestrelmoor`.

use std::io;

use serde::Deserialize;
use serde_json::Value;
use toucanledge_bench::{FleetConfig, FloorShard, PoolConfig};

const MANUALIA_TABLE: &str = include_str!("../../../examples/manualia/table.jsonc");
const KESTRELMOOR_TABLE: &str = include_str!("../../../examples/kestrelmoor/table.jsonc");
/// Deadline of at-most-once classes, except that of overnight submissions.
///
/// A retry with the same key waits for the earlier request until its deadline. The time over which
/// a load spreads the retries and the deadline together must be shorter than the deduplication
/// window.
const AT_MOST_ONCE_DEADLINE_MS: u32 = 2000;

/// Options of the fleet, as a scenario passes them.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetOptions {
    /// Name of the deployment: `manualia` or `kestrelmoor`.
    pub deployment: String,
    /// Number of gateways.
    pub gateways: u8,
    /// Deduplication window of all at-most-once classes in seconds.
    pub window_s: u32,
    /// Whether links go through the fault proxy, which partitions need.
    pub cuts: bool,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            deployment: "manualia".to_owned(),
            gateways: 36,
            window_s: 3,
            cuts: false,
        }
    }
}

impl FleetOptions {
    /// Returns the configuration of the fleet.
    pub fn fleet_config(&self) -> Result<FleetConfig, String> {
        let (table, pools, connections) = match self.deployment.as_str() {
            "manualia" => (MANUALIA_TABLE, [("reading", 24), ("publishing", 6)], 330),
            "kestrelmoor" => (KESTRELMOOR_TABLE, [("records", 28), ("payments", 6)], 390),
            name => return Err(format!("unknown deployment {name}")),
        };
        let pools = pools.map(|(name, servers)| {
            let mut pool = PoolConfig::new(name, servers);
            pool.limits.connections = connections;
            pool
        });
        Ok(FleetConfig {
            gateways: self.gateways,
            domains: 3,
            pools: pools.to_vec(),
            class_rows: self.class_rows(table)?,
            fault_proxy: self.cuts,
            ..FleetConfig::default()
        })
    }

    /// Returns the class rows of the table with the deduplication window of the scenario.
    fn class_rows(&self, table: &str) -> Result<Vec<Value>, String> {
        let stripped = json_comments::StripComments::new(table.as_bytes());
        let parsed: Value = serde_json::from_reader(io::BufReader::new(stripped))
            .map_err(|error| error.to_string())?;
        let rows = parsed["rows"].as_array().cloned().unwrap_or_default();
        let classes = rows.into_iter().filter(|row| row["class"].is_string());
        Ok(classes.map(|row| self.with_window(row)).collect())
    }

    fn with_window(&self, mut row: Value) -> Value {
        if row["repeat"] == "keyed" {
            row["window_s"] = self.window_s.into();
            if row["class"] != "overnight-submission" {
                row["deadline_ms"] = AT_MOST_ONCE_DEADLINE_MS.into();
            }
        }
        row
    }

    /// Returns the path of the main reads, or of the main at-most-once writes.
    pub fn load_path(&self, is_write: bool) -> &'static str {
        match (self.deployment.as_str(), is_write) {
            ("kestrelmoor", false) => "/licences/",
            ("kestrelmoor", true) => "/renewal-fees/",
            (_, false) => "/policies/",
            (_, true) => "/acknowledgements/",
        }
    }

    /// Returns the pool that serves the main reads.
    pub fn read_pool(&self) -> &'static str {
        match self.deployment.as_str() {
            "kestrelmoor" => "records",
            _ => "reading",
        }
    }
}

/// Returns the shards of a pool, one per failure domain, with the highest floor of its classes.
pub fn floor_shards(fleet: &toucanledge_bench::Fleet, pool: &str) -> Vec<FloorShard> {
    let classes = fleet
        .config
        .class_rows
        .iter()
        .filter(|row| row["pool"] == pool);
    let floor = classes.filter_map(|row| row["floor"].as_f64());
    let floor = floor.fold(0.0, f64::max);
    let servers_in = |domain: u16| {
        let servers = fleet.layout.servers.iter();
        servers
            .filter(|server| server.pool == pool && server.domain.0 == domain)
            .map(|server| server.settings.name.clone())
            .collect()
    };
    (1..=fleet.config.domains)
        .map(|domain| FloorShard {
            servers: servers_in(domain),
            floor,
        })
        .collect()
}
