//! The published classes of work in force.

use std::collections;

use toucanledge_core::PoolId;

use crate::row::{CallerLimits, PoolRow, RouteRow, WeightedPool};

/// Classes of work, pools and caller limits at one version.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingTable {
    version: u64,
    limits: CallerLimits,
    pools: collections::HashMap<PoolId, PoolRow>,
    hosts: collections::HashMap<String, Vec<RouteRow>>,
}

impl RoutingTable {
    /// Returns a table; routes of a host are tried from the longest prefix to the shortest.
    #[must_use]
    pub fn new(
        version: u64,
        limits: CallerLimits,
        pools: impl IntoIterator<Item = PoolRow>,
        routes: impl IntoIterator<Item = RouteRow>,
    ) -> Self {
        let pools = pools
            .into_iter()
            .map(|pool| (PoolId::of(&pool.name), pool))
            .collect();
        let mut hosts: collections::HashMap<String, Vec<RouteRow>> = collections::HashMap::new();
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(route);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            limits,
            pools,
            hosts,
        }
    }

    /// Returns the version that the operators gave.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on callers.
    #[must_use]
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the row of a pool.
    #[must_use]
    pub fn pool(&self, pool: PoolId) -> Option<&PoolRow> {
        self.pools.get(&pool)
    }

    /// Returns the row with the longest prefix that begins the path, among the rows of the host.
    ///
    /// The host may carry a port and any case.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRow> {
        let name = host.rsplit_once(':').map_or(host, |(name, port)| {
            if port.bytes().all(|byte| byte.is_ascii_digit()) {
                name
            } else {
                host
            }
        });
        self.hosts
            .get(&name.to_ascii_lowercase())?
            .iter()
            .find(|route| path.starts_with(&route.prefix))
    }
}

impl RouteRow {
    /// Returns the pool for a request; `draw` lies in 0 to 1 and decides between several parts.
    #[must_use]
    pub fn select_pool(&self, draw: f64) -> Option<PoolId> {
        let total: f64 = self
            .pools
            .iter()
            .map(|weighted| weighted.weight.max(0.0))
            .sum();
        let mut remaining = draw * total;
        let positive = |weighted: &&WeightedPool| weighted.weight > 0.0;
        for weighted in self.pools.iter().filter(positive) {
            remaining -= weighted.weight;
            if remaining < 0.0 {
                return Some(weighted.pool);
            }
        }
        self.pools
            .iter()
            .rfind(positive)
            .map(|weighted| weighted.pool)
    }
}
