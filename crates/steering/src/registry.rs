//! All backend servers that a gateway knows.

use std::collections;
use std::sync;

use slotmap::SlotMap;
use toucanledge_core::{Millis, PoolId};

use crate::failure_window::FailureWindow;
use crate::health::{AttemptOutcome, HealthChange, ServerHealth};
use crate::notice::{NoticeChange, NoticeEnd, NoticeState, RetainedNotices, ServerNotice};
use crate::reuse::ConnectionRest;
use crate::row::{ServerId, ServerProcess, ServerRow, ServerState};

/// Weight of the newest response in the moving average of a server's latency.
const LATENCY_WEIGHT: f64 = 0.15;
/// Limit of one latency as a multiple of the moving average: 3 in 100 requests take 7 times as long
/// as the others and say nothing about the server.
const MAX_LATENCY_FACTOR: f64 = 4.0;
/// Multiple of the median latency after which a request counts as stalled.
const STALL_FACTOR: f64 = 4.0;
/// Lower bound of the age from which a request counts as stalled.
const MIN_STALL_MS: u64 = 700;

slotmap::new_key_type! {
    /// Key of a backend server; a removed server's key is never valid again.
    pub struct ServerKey;
}

/// A backend server with its health and its load.
#[derive(Clone, Debug)]
pub struct ServerEntry {
    /// Row of the published table.
    pub row: ServerRow,
    /// Health as reported by the whole fleet.
    pub health: ServerHealth,
    /// In-flight requests of this gateway.
    pub local_in_flight: u32,
    /// In-flight requests of the peers, as they reported them.
    pub peer_in_flight: u32,
    /// End of its slow start.
    pub slow_start_until: Millis,
    /// Probes of this gateway in flight.
    pub probes_in_flight: u32,
    /// Start times of this gateway's in-flight requests.
    pub in_flight_since: Vec<Millis>,
    /// Moving average of its latency in milliseconds; `None` before the first response.
    pub mean_latency_ms: Option<f64>,
    /// Time at which a delisted server is removed; `None` while it is listed.
    pub remove_at: Option<Millis>,
    /// Last time at which a request is known to have started or ended there; `None` before the
    /// first.
    pub last_used: Option<Millis>,
    /// Rest of this gateway's idle connection that was answered last; `None` without one.
    pub idle_connection: Option<ConnectionRest>,
    /// What the server said of itself in its responses to this gateway.
    pub notices: NoticeState,
}

/// Backend servers by key, name and pool.
#[derive(Clone, Debug, Default)]
pub struct ServerRegistry {
    entries: SlotMap<ServerKey, ServerEntry>,
    ids: collections::HashMap<ServerId, ServerKey>,
    pools: collections::HashMap<PoolId, Vec<ServerKey>>,
    failure_windows: collections::HashMap<PoolId, FailureWindow>,
    retained_notices: RetainedNotices,
    ended_notices: Vec<(ServerProcess, NoticeEnd)>,
}

impl ServerRegistry {
    /// Adds or updates a backend server from its published row; a restarted one starts without its
    /// earlier health and notices.
    pub fn upsert(&mut self, row: ServerRow, now: Millis) -> ServerKey {
        let id = ServerId::of(&row.name);
        if let Some(key) = self.ids.get(&id).copied()
            && let Some(entry) = self.entries.get_mut(key)
        {
            let same_process = entry.row.incarnation == row.incarnation
                && entry.row.address == row.address
                && entry.row.pool == row.pool;
            if same_process {
                entry.slow_start_until = now + row.slow_start_ms;
                entry.remove_at = None;
                entry.row = row;
                return key;
            }
            self.remove(id, now);
        }
        let process = row.process();
        let (notices, ended) = self.retained_notices.take_for(&process, now);
        if ended {
            self.ended_notices.push((process, NoticeEnd::NewProcess));
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
            last_used: None,
            idle_connection: None,
            notices,
        };
        let key = self.entries.insert(entry);
        self.ids.insert(id, key);
        self.pools.entry(pool).or_default().push(key);
        key
    }

    /// Removes a backend server and returns its row. Its notices are kept, as an older row may arrive
    /// later.
    pub fn remove(&mut self, id: ServerId, now: Millis) -> Option<ServerRow> {
        let key = self.ids.remove(&id)?;
        let entry = self.entries.remove(key)?;
        if let Some(keys) = self.pools.get_mut(&entry.row.pool) {
            keys.retain(|other| *other != key);
        }
        self.retained_notices
            .keep(entry.row.process(), entry.notices, now);
        Some(entry.row)
    }

    /// Keeps a delisted backend server in service until `at`.
    pub fn schedule_removal(&mut self, id: ServerId, at: Millis) {
        if let Some(entry) = self.ids.get(&id).and_then(|key| self.entries.get_mut(*key)) {
            entry.remove_at = Some(at);
        }
    }

    /// Removes the backend servers whose removal time has passed and returns their rows. Ends the
    /// pauses whose time is over.
    pub fn remove_expired(&mut self, now: Millis) -> Vec<ServerRow> {
        self.retained_notices.remove_expired(now);
        for entry in self.entries.values_mut() {
            if entry.notices.end_pause(now) {
                self.ended_notices
                    .push((entry.row.process(), NoticeEnd::PauseOver));
            }
        }
        let due: Vec<ServerId> = self
            .entries
            .values()
            .filter(|entry| entry.remove_at.is_some_and(|at| now >= at))
            .map(|entry| ServerId::of(&entry.row.name))
            .collect();
        due.into_iter()
            .filter_map(|id| self.remove(id, now))
            .collect()
    }

    /// Applies what a process of a backend server said of itself.
    ///
    /// If the process is not the published one, the notice is kept for rows to come. It holds for an
    /// older published process as well, but not for a newer one.
    pub fn apply_notice(
        &mut self,
        process: &ServerProcess,
        notice: &ServerNotice,
        now: Millis,
    ) -> NoticeChange {
        let entry = self
            .ids
            .get(&process.id)
            .and_then(|key| self.entries.get_mut(*key));
        match entry {
            Some(entry) if entry.row.process() == *process => {
                if entry.notices.end_pause(now) {
                    self.ended_notices.push((*process, NoticeEnd::PauseOver));
                }
                entry.notices.apply(notice, now)
            }
            entry => {
                let mut state = NoticeState::default();
                let change = state.apply(notice, now);
                self.retained_notices.keep(*process, state, now);
                match entry {
                    Some(entry) if !entry.row.process().is_newer_than(process) => {
                        entry.notices.apply(notice, now)
                    }
                    Some(_) => NoticeChange::default(),
                    None => change,
                }
            }
        }
    }

    /// Returns the processes of other backend servers that are published at an address.
    #[must_use]
    pub fn other_processes_at(&self, process: &ServerProcess) -> Vec<ServerProcess> {
        self.entries
            .values()
            .map(|entry| entry.row.process())
            .filter(|other| other.address == process.address && other.id != process.id)
            .collect()
    }

    /// Returns and clears the notices that are no longer in force.
    pub fn take_ended_notices(&mut self) -> Vec<(ServerProcess, NoticeEnd)> {
        std::mem::take(&mut self.ended_notices)
    }

    /// Returns a backend server.
    #[must_use]
    pub fn get(&self, key: ServerKey) -> Option<&ServerEntry> {
        self.entries.get(key)
    }

    /// Returns a backend server for changes.
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

    /// Records an outcome at `at` of a request that was sent just before.
    pub fn record_outcome(
        &mut self,
        id: ServerId,
        outcome: AttemptOutcome,
        at: Millis,
    ) -> HealthChange {
        self.record_outcome_sent_at(id, outcome, at, at)
    }

    /// Records an outcome at `at` of a request that was sent at `sent`.
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
        entry.last_used = entry.last_used.max(Some(at));
        // A failure of a suspected server is mostly a failed probe, which is retried elsewhere.
        let failed = outcome != AttemptOutcome::Success && !entry.health.is_suspected();
        let window = self.failure_windows.entry(entry.row.pool).or_default();
        window.record(failed, at);
        entry.health.record_sent_at(outcome, sent, at)
    }

    /// Records a failed request of a pool that says nothing about a backend server.
    pub fn record_pool_failure(&mut self, pool: PoolId, at: Millis) {
        self.failure_windows
            .entry(pool)
            .or_default()
            .record(true, at);
    }

    /// Returns whether the failure rate of a pool is so high that the floor applies.
    #[must_use]
    pub fn has_high_failure_rate(&self, pool: PoolId, now: Millis) -> bool {
        self.failure_windows
            .get(&pool)
            .is_some_and(|window| window.is_high(now))
    }

    /// Returns whether a backend server responded to any request since `sent`.
    ///
    /// If it did, a missing response is due to the request's own long work rather than to the
    /// server.
    #[must_use]
    pub fn responded_since(&self, id: ServerId, sent: Millis) -> bool {
        self.ids
            .get(&id)
            .and_then(|key| self.entries.get(*key))
            .is_some_and(|entry| entry.health.last_success() >= sent)
    }

    /// Updates the moving average of a server's latency.
    pub fn record_latency(&mut self, id: ServerId, latency_ms: u64) {
        let Some(entry) = self.ids.get(&id).and_then(|key| self.entries.get_mut(*key)) else {
            return;
        };
        let latency = u32::try_from(latency_ms).map_or(f64::from(u32::MAX), f64::from);
        entry.mean_latency_ms = Some(match entry.mean_latency_ms {
            Some(mean) => mean + (latency.min(mean * MAX_LATENCY_FACTOR) - mean) * LATENCY_WEIGHT,
            None => latency,
        });
    }

    /// Returns the median of the average latencies, in milliseconds, of a pool's servers.
    #[must_use]
    pub fn median_latency_ms(&self, pool: PoolId) -> Option<f64> {
        let mut means: Vec<f64> = self
            .servers_in_pool(pool)
            .filter(|(_, entry)| entry.is_in_service())
            .filter_map(|(_, entry)| entry.mean_latency_ms)
            .collect();
        means.sort_unstable_by(f64::total_cmp);
        means.get(means.len() / 2).copied()
    }

    /// Returns the age in milliseconds from which a request of a pool counts as stalled.
    #[must_use]
    pub fn stall_threshold_ms(&self, pool: PoolId) -> u64 {
        let threshold_ms = self.median_latency_ms(pool).unwrap_or_default() * STALL_FACTOR;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a latency in milliseconds, and the cast saturates"
        )]
        let threshold_ms = threshold_ms as u64;
        threshold_ms.max(MIN_STALL_MS)
    }

    /// Returns the backend servers that hold a stalled request of this gateway, and of which no
    /// gateway reported a success or failure since it started.
    #[must_use]
    pub fn stalled_servers(&self, now: Millis) -> Vec<sync::Arc<str>> {
        let thresholds: collections::HashMap<PoolId, u64> = self
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
                let threshold_ms = thresholds.get(&entry.row.pool).copied().unwrap_or(u64::MAX);
                let no_outcome_since =
                    entry.health.last_success() < *oldest && entry.health.last_failure() < *oldest;
                now.since(*oldest) > threshold_ms && no_outcome_since
            })
            .map(|entry| sync::Arc::clone(&entry.row.name))
            .collect()
    }

    /// Applies a change of a peer's in-flight count at a backend server.
    pub fn update_peer_in_flight(&mut self, id: ServerId, before: u32, after: u32, now: Millis) {
        if let Some(entry) = self.ids.get(&id).and_then(|key| self.entries.get_mut(*key)) {
            if after > before {
                entry.last_used = Some(now);
            }
            entry.peer_in_flight = entry
                .peer_in_flight
                .saturating_add(after)
                .saturating_sub(before);
        }
    }
}

impl ServerEntry {
    /// Returns the in-flight requests that this gateway knows of: its own and its peers'.
    #[must_use]
    pub fn load(&self) -> u32 {
        self.local_in_flight.saturating_add(self.peer_in_flight)
    }

    /// Returns the expected latency in milliseconds of one more request.
    ///
    /// A request that finds a free slot takes the average latency; others wait for a slot first.
    #[must_use]
    pub fn expected_latency_ms(&self, median: Option<f64>) -> f64 {
        let mean = self.mean_latency_ms.or(median).unwrap_or(0.0);
        let slots = f64::from(self.row.slots.max(1));
        mean * ((f64::from(self.load()) + 1.0) / slots).max(1.0)
    }

    /// Returns whether the server takes work at all: neither its row nor the server itself says that
    /// it is leaving.
    #[must_use]
    pub fn is_in_service(&self) -> bool {
        self.row.state == ServerState::Ready && !self.notices.leaving
    }

    /// Returns whether a request may be sent there now: the server is in service and wants no pause.
    #[must_use]
    pub fn accepts_work(&self, now: Millis) -> bool {
        self.is_in_service() && !self.notices.is_paused(now)
    }
}
