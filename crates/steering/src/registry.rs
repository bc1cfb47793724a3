//! All backend servers that a gateway knows.

use std::collections;
use std::sync;

use slotmap::SlotMap;
use toucanledge_core::{Millis, PoolId};

use crate::failure_window::FailureWindow;
use crate::health::{AttemptOutcome, HealthChange, ServerHealth};
use crate::row::{ServerId, ServerRow, ServerState};

/// Weight of the newest answer in the mean time of a server's answers.
const LATENCY_WEIGHT: f64 = 0.15;
/// Greatest multiple of the mean that one answer counts as; 3 in 100 requests take 7 times as long
/// as the others and say nothing about the server.
const MAX_LATENCY_STEP: f64 = 4.0;
/// Multiple of the usual time of an answer after which a request counts as stalled.
const STALL_FACTOR: f64 = 4.0;
/// Least age in milliseconds of a stalled request.
const STALL_MIN_MS: u64 = 700;

slotmap::new_key_type! {
    /// Key of a backend server; a removed server's key is never valid again.
    pub struct ServerKey;
}

/// A backend server with what is known about it.
#[derive(Clone, Debug)]
pub struct ServerEntry {
    /// Published row.
    pub row: ServerRow,
    /// Health as the fleet saw it.
    pub health: ServerHealth,
    /// Requests of this gateway in flight.
    pub local_in_flight: u32,
    /// Requests of the peers in flight, as they told.
    pub peer_in_flight: u32,
    /// When its slow start ends.
    pub slow_start_until: Millis,
    /// Trial requests of this gateway in flight.
    pub probes_in_flight: u32,
    /// Starts of this gateway's requests in flight.
    pub in_flight_since: Vec<Millis>,
    /// Mean time in milliseconds of its answers of late; `None` before the first.
    pub mean_latency_ms: Option<f64>,
    /// When it is to be dropped although it is still listed as ready.
    pub remove_at: Option<Millis>,
    /// When a request was last known to be sent there or to end there.
    pub last_used: Millis,
}

/// Backend servers by key, name and pool.
#[derive(Clone, Debug, Default)]
pub struct ServerRegistry {
    entries: SlotMap<ServerKey, ServerEntry>,
    ids: collections::HashMap<ServerId, ServerKey>,
    pools: collections::HashMap<PoolId, Vec<ServerKey>>,
    failure_windows: collections::HashMap<PoolId, FailureWindow>,
}

impl ServerRegistry {
    /// Takes a published row; a restarted backend server loses its earlier health.
    pub fn upsert(&mut self, row: ServerRow, now: Millis) -> ServerKey {
        let id = ServerId::of(&row.name);
        if let Some(key) = self.ids.get(&id).copied()
            && let Some(entry) = self.entries.get_mut(key)
        {
            let same = entry.row.incarnation == row.incarnation
                && entry.row.address == row.address
                && entry.row.pool == row.pool;
            if same {
                entry.slow_start_until = now + row.slow_start_ms;
                entry.remove_at = None;
                entry.row = row;
                return key;
            }
            self.remove(id);
        }
        let pool = row.pool;
        let entry = ServerEntry {
            slow_start_until: now + row.slow_start_ms,
            row,
            health: ServerHealth::default(),
            local_in_flight: 0,
            peer_in_flight: 0,
            probes_in_flight: 0,
            in_flight_since: Vec::new(),
            mean_latency_ms: None,
            remove_at: None,
            last_used: now,
        };
        let key = self.entries.insert(entry);
        self.ids.insert(id, key);
        self.pools.entry(pool).or_default().push(key);
        key
    }

    /// Drops a backend server and returns its row.
    pub fn remove(&mut self, id: ServerId) -> Option<ServerRow> {
        let key = self.ids.remove(&id)?;
        let entry = self.entries.remove(key)?;
        if let Some(keys) = self.pools.get_mut(&entry.row.pool) {
            keys.retain(|other| *other != key);
        }
        Some(entry.row)
    }

    /// Keeps a backend server that was delisted in service until a time.
    pub fn schedule_removal(&mut self, id: ServerId, at: Millis) {
        if let Some(entry) = self.ids.get(&id).and_then(|key| self.entries.get_mut(*key)) {
            entry.remove_at = Some(at);
        }
    }

    /// Drops the backend servers whose time has come and returns their rows.
    pub fn remove_expired(&mut self, now: Millis) -> Vec<ServerRow> {
        let due: Vec<ServerId> = self
            .entries
            .values()
            .filter(|entry| entry.remove_at.is_some_and(|at| now >= at))
            .map(|entry| ServerId::of(&entry.row.name))
            .collect();
        due.into_iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Returns a backend server.
    #[must_use]
    pub fn get(&self, key: ServerKey) -> Option<&ServerEntry> {
        self.entries.get(key)
    }

    /// Returns a backend server to change it.
    pub fn get_mut(&mut self, key: ServerKey) -> Option<&mut ServerEntry> {
        self.entries.get_mut(key)
    }

    /// Returns the key of a backend server.
    #[must_use]
    pub fn find(&self, id: ServerId) -> Option<ServerKey> {
        self.ids.get(&id).copied()
    }

    /// Returns the backend servers of a pool.
    pub fn servers_in_pool(&self, pool: PoolId) -> impl Iterator<Item = (ServerKey, &ServerEntry)> {
        self.pools
            .get(&pool)
            .into_iter()
            .flatten()
            .filter_map(|key| Some((*key, self.entries.get(*key)?)))
    }

    /// Returns all backend servers.
    pub fn iter(&self) -> impl Iterator<Item = (ServerKey, &ServerEntry)> {
        self.entries.iter()
    }

    /// Takes evidence on a backend server from a request that was sent just before.
    pub fn record_outcome(
        &mut self,
        id: ServerId,
        outcome: AttemptOutcome,
        at: Millis,
    ) -> HealthChange {
        self.record_outcome_sent_at(id, outcome, at, at)
    }

    /// Takes evidence on a backend server that arose at `at` from a request that was sent at `sent`.
    pub fn record_outcome_sent_at(
        &mut self,
        id: ServerId,
        outcome: AttemptOutcome,
        sent: Millis,
        at: Millis,
    ) -> HealthChange {
        let Some(entry) = self.ids.get(&id).and_then(|key| self.entries.get_mut(*key)) else {
            return HealthChange::Unchanged;
        };
        entry.last_used = entry.last_used.max(at);
        // A failure of a suspect is mostly a trial, which is repeated elsewhere.
        let failed = outcome != AttemptOutcome::Success && !entry.health.is_suspected();
        let window = self.failure_windows.entry(entry.row.pool).or_default();
        window.record(failed, at);
        entry.health.record_sent_at(outcome, sent, at)
    }

    /// Notes that a request of a pool failed without evidence on a backend server.
    pub fn record_pool_failure(&mut self, pool: PoolId, at: Millis) {
        self.failure_windows
            .entry(pool)
            .or_default()
            .record(true, at);
    }

    /// Returns whether so many requests of a pool fail that the floor binds.
    #[must_use]
    pub fn has_high_failure_rate(&self, pool: PoolId, now: Millis) -> bool {
        self.failure_windows
            .get(&pool)
            .is_some_and(|window| window.is_high(now))
    }

    /// Returns whether a backend server answered somebody since a request was sent there.
    ///
    /// Such a server is not silent: the request's own work took longer than it may.
    #[must_use]
    pub fn answered_since(&self, id: ServerId, sent: Millis) -> bool {
        self.ids
            .get(&id)
            .and_then(|key| self.entries.get(*key))
            .is_some_and(|entry| entry.health.last_success() >= sent)
    }

    /// Takes the time of an answer.
    pub fn record_latency(&mut self, id: ServerId, latency_ms: u64) {
        let Some(entry) = self.ids.get(&id).and_then(|key| self.entries.get_mut(*key)) else {
            return;
        };
        let latency = u32::try_from(latency_ms).map_or(f64::from(u32::MAX), f64::from);
        entry.mean_latency_ms = Some(match entry.mean_latency_ms {
            Some(mean) => mean + (latency.min(mean * MAX_LATENCY_STEP) - mean) * LATENCY_WEIGHT,
            None => latency,
        });
    }

    /// Returns the mean time in milliseconds of the answers of a pool's middle server.
    #[must_use]
    pub fn median_latency_ms(&self, pool: PoolId) -> Option<f64> {
        let mut means: Vec<f64> = self
            .servers_in_pool(pool)
            .filter(|(_, entry)| entry.accepts_work())
            .filter_map(|(_, entry)| entry.mean_latency_ms)
            .collect();
        means.sort_unstable_by(f64::total_cmp);
        means.get(means.len() / 2).copied()
    }

    /// Returns the age in milliseconds from which a request of a pool counts as stalled.
    #[must_use]
    pub fn stall_threshold_ms(&self, pool: PoolId) -> u64 {
        let median = self.median_latency_ms(pool).unwrap_or_default() * STALL_FACTOR;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a mean of milliseconds, and the cast saturates"
        )]
        let median = median as u64;
        median.max(STALL_MIN_MS)
    }

    /// Returns the backend servers that hold a request of this gateway for far too long while they
    /// answered nobody since it began.
    #[must_use]
    pub fn stalled_servers(&self, now: Millis) -> Vec<sync::Arc<str>> {
        let limits: collections::HashMap<PoolId, u64> = self
            .pools
            .keys()
            .map(|pool| (*pool, self.stall_threshold_ms(*pool)))
            .collect();
        self.entries
            .values()
            .filter(|entry| {
                let Some(oldest) = entry.in_flight_since.iter().min() else {
                    return false;
                };
                let limit = limits.get(&entry.row.pool).copied().unwrap_or(u64::MAX);
                let quiet =
                    entry.health.last_success() < *oldest && entry.health.last_failure() < *oldest;
                now.since(*oldest) > limit && quiet
            })
            .map(|entry| sync::Arc::clone(&entry.row.name))
            .collect()
    }

    /// Changes the requests that peers have in flight at a backend server.
    pub fn update_peer_in_flight(&mut self, id: ServerId, from: u32, to: u32, now: Millis) {
        if let Some(entry) = self.ids.get(&id).and_then(|key| self.entries.get_mut(*key)) {
            if to > from {
                entry.last_used = now;
            }
            entry.peer_in_flight = (entry.peer_in_flight + to).saturating_sub(from);
        }
    }
}

impl ServerEntry {
    /// Returns the requests in flight that the gateway knows of.
    #[must_use]
    pub fn load(&self) -> u32 {
        self.local_in_flight + self.peer_in_flight
    }

    /// Returns the milliseconds until one more request would be answered.
    ///
    /// A request that finds a slot takes the mean time; others wait for their turn before.
    #[must_use]
    pub fn expected_latency_ms(&self, median: Option<f64>) -> f64 {
        let mean = self.mean_latency_ms.or(median).unwrap_or(0.0);
        let slots = f64::from(self.row.slots.max(1));
        mean * (f64::from(self.load() + 1) / slots).max(1.0)
    }

    /// Returns whether new work may go there at all.
    #[must_use]
    pub fn accepts_work(&self) -> bool {
        self.row.state == ServerState::Ready
    }
}
