//! The newest published routing table.

use std::collections;

use toucanledge_core::PoolId;

use crate::row::{CallerLimits, PoolRow, RouteRow, WeightedPool};

/// Routes, pools and caller limits of one version.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingTable {
    version: u64,
    limits: CallerLimits,
    pools: collections::HashMap<PoolId, PoolRow>,
    hosts: collections::HashMap<String, Vec<RouteRow>>,
}

impl RoutingTable {
    /// Returns a table; the routes of a host are matched from the longest prefix to the shortest.
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

    /// Returns the version that the operators assigned.
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

    /// Returns the route of the host with the longest prefix that matches the path.
    ///
    /// The host may include a port and is matched case-insensitively.
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
    /// Selects the pool for a request by weight; `draw` is a random number from 0 to 1.
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
