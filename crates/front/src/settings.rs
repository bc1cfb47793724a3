//! Settings of the gateway process.

use std::net;
use std::path;

use error_stack::Report;
use serde::de;
use serde::{Deserialize, Deserializer};
use toucanledge_settings::{SettingsError, load};

/// Default of `floor_share`; the users' deployments use the same value.
const DEFAULT_FLOOR_SHARE: f64 = 0.7;

/// Settings of a gateway process, in JSON with comments.
///
/// Backend servers and routes are not part of the settings; they come from the store.
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
    /// Socket address of the status page, the metrics and the records for peers.
    pub status_listen: net::SocketAddr,
    /// UDP port of gossip messages, the same on every gateway.
    pub peer_port: u16,
    /// Gateways to discover the others through: socket addresses of their status pages.
    pub seeds: Vec<net::SocketAddr>,
    /// Socket address of the platform's store.
    pub platform: net::SocketAddr,
    /// Retries that the fleet may make in a window, as a share of its requests.
    pub retry_ratio: f64,
    /// Retries that the fleet may make in a window in addition to that share.
    pub retry_slack: f64,
    /// Share of a pool's healthy backend servers that must stay in use, from 0 to 1 (the floor).
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
    /// Returns the address at which this gateway receives gossip messages.
    #[must_use]
    pub fn peer_listen(&self) -> net::SocketAddr {
        net::SocketAddr::new(self.listen.ip(), self.peer_port)
    }

    /// Returns the addresses at which the seeds receive gossip messages.
    pub fn seed_addresses(&self) -> impl Iterator<Item = net::SocketAddr> {
        self.seeds
            .iter()
            .map(|seed| net::SocketAddr::new(seed.ip(), self.peer_port))
    }
}
