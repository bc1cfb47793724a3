//! Settings of the gateway process.

use std::net;
use std::path;

use error_stack::Report;
use serde::de;
use serde::{Deserialize, Deserializer};
use toucanledge_settings::{SettingsError, load};

/// Share of a pool's sound backend servers that must stay in use where the settings name none; the
/// users' deployments name the same.
const DEFAULT_FLOOR_SHARE: f64 = 0.7;

/// Settings of a gateway process, in JSON with comments.
///
/// Everything about backend servers and classes of work comes from published facts.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FrontSettings {
    /// Name of the VM.
    pub name: String,
    /// Failure domain of the VM.
    pub failure_domain: String,
    /// Socket address for callers' HTTP requests.
    pub listen: net::SocketAddr,
    /// Socket address of the readiness check.
    pub ready_listen: net::SocketAddr,
    /// Socket address of the status page, the metrics and the facts for peers.
    pub status_listen: net::SocketAddr,
    /// Port of the peers' datagrams, the same on every gateway.
    pub peer_port: u16,
    /// Gateways to find the others through: socket addresses of their status page.
    pub seeds: Vec<net::SocketAddr>,
    /// Socket address of the platform.
    pub platform: net::SocketAddr,
    /// Retries that the fleet may make, as a share of its requests.
    pub retry_ratio: f64,
    /// Retries that the fleet may make on top in a window.
    pub retry_slack: f64,
    /// Share of a pool's sound backend servers that must stay in use, from 0 to 1.
    #[serde(default = "default_floor", deserialize_with = "parse_share")]
    pub floor_share: f64,
    /// Log levels, for example `info`.
    pub log: String,
}

fn default_floor() -> f64 {
    DEFAULT_FLOOR_SHARE
}

fn parse_share<'a, D: Deserializer<'a>>(deserializer: D) -> Result<f64, D::Error> {
    let share = f64::deserialize(deserializer)?;
    if (0.0..=1.0).contains(&share) {
        Ok(share)
    } else {
        Err(de::Error::custom(format!(
            "{share} is not a share from 0 to 1"
        )))
    }
}

/// Reads the settings of a gateway.
///
/// # Errors
///
/// Returns the first error with its line and column.
pub fn load_front(file: impl AsRef<path::Path>) -> Result<FrontSettings, Report<SettingsError>> {
    load(file)
}

impl FrontSettings {
    /// Returns the address of the peers' datagrams.
    #[must_use]
    pub fn peer_listen(&self) -> net::SocketAddr {
        net::SocketAddr::new(self.listen.ip(), self.peer_port)
    }

    /// Returns the addresses at which the seeds take datagrams.
    pub fn seed_addresses(&self) -> impl Iterator<Item = net::SocketAddr> {
        self.seeds
            .iter()
            .map(|seed| net::SocketAddr::new(seed.ip(), self.peer_port))
    }
}
