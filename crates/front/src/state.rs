//! State of a gateway, shared by its tasks.

use std::collections;
use std::sync;

use toucanledge_core::{Fingerprint, Millis, PoolId};
use toucanledge_steering::{
    AttemptOutcome, CrashTracker, FetchFailures, GossipKind, GossipMessage, HealthChange,
    OutcomeReport, PeerId, PeerTable, RetryBudget, ReusePolicy, RoutingTable, ServerId,
    ServerRegistry, ServerState, StoreCache, StoreRecord,
};

use crate::notice;
use crate::store_source::DecodedRecord;

/// Limit of queued outcome reports.
const MAX_QUEUED_REPORTS: usize = 256;
/// Time for which backend servers that were delisted during an outage of the store stay in service
/// after its end. Running ones are published again within 2 s.
const DELISTING_GRACE_MS: u64 = 2_000;
/// Weight of the newest request in a pool's share of repeatable requests; the average covers about
/// the last 30 requests of this gateway.
const REPEATABLE_WEIGHT: f64 = 0.03;
/// Share of repeatable requests that is enough to probe a pool's suspected servers. The users'
/// pools with repeatable requests have a share of at least 0.26; a few requests that only read the
/// configuration are not enough.
const MIN_REPEATABLE_SHARE: f64 = 0.12;
/// Share assumed before the first request, and the number of requests that this assumption weighs.
/// A gateway of a large fleet gets a few requests a second for a pool, so an assumption that
/// weighs more is wrong for seconds in a pool without repeatable requests.
const INITIAL_REPEATABLE_SHARE: f64 = 0.25;
const INITIAL_REPEATABLE_REQUESTS: u32 = 4;
/// Part of a pool's median latency from which a server error counts as caused by the request
/// itself. Servers that fail most requests return errors within a few milliseconds.
const LATE_ERROR_SHARE: f64 = 0.25;
/// Lower bound of that latency. Where requests usually take less, the two cannot be told apart, and
/// every error counts as the server's. Failing servers return errors within 1 to 8 ms.
const LATE_ERROR_MIN_MS: u64 = 20;
/// Time without store contact after which published servers may have expired. They expire after
/// three heartbeat intervals of 1.5 s, and the last heartbeat may have come up to one interval before
/// the outage.
const OUTAGE_MS: u64 = 3_000;

/// State of the fleet as this gateway knows it.
#[derive(Debug, Default)]
pub struct FleetState {
    /// Newest routing table; `None` before the first.
    pub routing_table: Option<sync::Arc<RoutingTable>>,
    /// Backend servers.
    pub servers: ServerRegistry,
    /// Peers.
    pub peers: PeerTable,
    /// Readers from which records could not be fetched.
    pub fetch_failures: FetchFailures,
    /// Records of the store.
    pub store_cache: StoreCache,
    /// Requests that may crash backend servers.
    pub crash_tracker: CrashTracker,
    /// What is known of connections that were lost or spoiled while they were idle.
    pub reuse: ReusePolicy,
    /// Whether this gateway reads the store itself and its reads succeed.
    pub reads_store: bool,
    /// Whether the process is draining before it stops.
    pub stopping: bool,
    /// Whether peers must be told at once that `reads_store` or `stopping` changed.
    pub status_update_due: bool,
    budgets: collections::HashMap<PoolId, RetryBudget>,
    /// Queued reports for all peers. While a report is queued, its `age_ms` holds the time of the
    /// outcome.
    reports: Vec<OutcomeReport>,
    /// Queued reports for the peers of the failure domain, also with the time in `age_ms`.
    local_reports: Vec<OutcomeReport>,
    repeatable_shares: collections::HashMap<PoolId, RepeatableShare>,
    changed_servers: collections::HashSet<ServerId>,
    last_store_contact: Option<Millis>,
    delisting_grace_until: Millis,
}

/// Share of repeatable requests of a pool: the mean of all requests at first, later a moving
/// average.
#[derive(Clone, Copy, Debug)]
struct RepeatableShare {
    share: f64,
    requests: u32,
}

impl Default for RepeatableShare {
    fn default() -> Self {
        Self {
            share: INITIAL_REPEATABLE_SHARE,
            requests: INITIAL_REPEATABLE_REQUESTS,
        }
    }
}

impl RepeatableShare {
    fn record(&mut self, repeatable: bool) {
        self.requests = self.requests.saturating_add(1);
        let weight = REPEATABLE_WEIGHT.max(1.0 / f64::from(self.requests));
        self.share += (f64::from(u8::from(repeatable)) - self.share) * weight;
    }
}

impl FleetState {
    /// Returns the retry budget of a pool.
    pub fn budget(&mut self, pool: PoolId) -> &mut RetryBudget {
        self.budgets.entry(pool).or_default()
    }

    /// Returns whether requests can be served.
    #[must_use]
    pub fn can_serve(&self) -> bool {
        self.routing_table.is_some() && self.servers.iter().next().is_some()
    }

    /// Records that the store, or a peer that reads it, confirmed the records.
    pub fn record_store_contact(&mut self, now: Millis) {
        if let Some(last) = self.last_store_contact
            && now.since(last) > OUTAGE_MS
        {
            log::info!(
                "[facts] regained after_ms={} revision={}",
                now.since(last),
                self.store_cache.revision()
            );
            self.delisting_grace_until = now + DELISTING_GRACE_MS;
        }
        self.last_store_contact = Some(now);
    }

    /// Applies changed records.
    pub fn apply_records(
        &mut self,
        records: &[StoreRecord],
        decode: fn(&StoreRecord) -> DecodedRecord,
        now: Millis,
    ) {
        for record in records {
            match decode(record) {
                DecodedRecord::Table(table) => {
                    log::info!(
                        "[facts] table version={} revision={} in force",
                        table.version(),
                        record.revision
                    );
                    self.routing_table = Some(sync::Arc::new(table));
                }
                DecodedRecord::Server(row) => {
                    log::info!(
                        "[facts] server={} address={} stage={} revision={}",
                        row.name,
                        row.address,
                        row.state,
                        record.revision
                    );
                    let id = ServerId::of(&row.name);
                    let state = row.state;
                    let key = self.servers.upsert(row, now);
                    let peer_in_flight = self.peers.in_flight_at(id);
                    if let Some(entry) = self.servers.get_mut(key) {
                        entry.peer_in_flight = peer_in_flight;
                        entry.row.state = state;
                    }
                }
                DecodedRecord::ServerRemoved(name) => self.delist(&name, record.revision, now),
                DecodedRecord::Invalid { server, reason } => {
                    metrics::counter!("toucanledge_unusable_facts_total").increment(1);
                    log::warn!(
                        "[facts] unusable key={} revision={} reason={reason}",
                        record.key,
                        record.revision
                    );
                    if let Some(name) = server {
                        self.servers.remove(ServerId::of(&name), now);
                    }
                }
                DecodedRecord::Ignored => {}
            }
        }
        notice::log_ended(&mut self.servers);
    }

    fn delist(&mut self, name: &str, revision: u64, now: Millis) {
        let id = ServerId::of(name);
        let ready = self
            .servers
            .find(id)
            .and_then(|key| self.servers.get(key))
            .is_some_and(|entry| entry.row.state == ServerState::Ready);
        if ready && now < self.delisting_grace_until {
            log::info!(
                "[facts] server={name} expired revision={revision}, kept in service for a grace period"
            );
            self.servers
                .schedule_removal(id, self.delisting_grace_until);
            return;
        }
        log::info!("[facts] server={name} removed revision={revision}");
        self.servers.remove(id, now);
    }

    /// Removes outdated state and suspects servers that hold stalled requests.
    pub fn remove_expired(&mut self, now: Millis) {
        for name in self.servers.stalled_servers(now) {
            let server = ServerId::of(&name);
            if self.record_outcome(server, AttemptOutcome::Silent, 0, None, now) {
                log::info!("[health] server={name} evidence=stalled");
            }
        }
        for (server, before, after) in self.peers.remove_expired(now) {
            self.servers
                .update_peer_in_flight(server, before, after, now);
        }
        self.fetch_failures.retain_known(&self.peers);
        for row in self.servers.remove_expired(now) {
            log::info!(
                "[facts] server={} was not published again, removed",
                row.name
            );
        }
        notice::log_ended(&mut self.servers);
    }

    /// Records the outcome of an own attempt and queues a report for the peers. `crash_request` is
    /// the request if its connection was lost.
    ///
    /// Returns whether the report must be sent at once.
    pub fn record_outcome(
        &mut self,
        server: ServerId,
        outcome: AttemptOutcome,
        latency_ms: u64,
        crash_request: Option<Fingerprint>,
        now: Millis,
    ) -> bool {
        let sent = Millis(now.0.saturating_sub(latency_ms));
        if outcome == AttemptOutcome::Silent && self.servers.responded_since(server, sent) {
            metrics::counter!("toucanledge_long_work_total").increment(1);
            return false;
        }
        let outcome = self.classify_server_error(server, outcome, latency_ms);
        let change = self
            .servers
            .record_outcome_sent_at(server, outcome, sent, now);
        if outcome == AttemptOutcome::Success {
            self.servers.record_latency(server, latency_ms);
        }
        if let Some(request) = crash_request {
            self.crash_tracker.record_crash(request, server, now);
        }
        let for_all_peers = matches!(change, HealthChange::Suspected | HealthChange::Recovered);
        if !for_all_peers && crash_request.is_none() {
            if self.local_reports.len() < MAX_QUEUED_REPORTS {
                self.local_reports.push(OutcomeReport {
                    server,
                    outcome,
                    age_ms: now.0,
                    latency_ms,
                    crash_request: None,
                });
            }
            return change == HealthChange::StillSuspected;
        }
        let name: &'static str = outcome.into();
        metrics::counter!("toucanledge_evidence_total", "kind" => name).increment(1);
        if self.reports.len() < MAX_QUEUED_REPORTS {
            self.reports.push(OutcomeReport {
                server,
                outcome,
                age_ms: now.0,
                latency_ms,
                crash_request,
            });
        }
        true
    }

    /// Distinguishes server errors that the request itself caused from those of a failing server.
    fn classify_server_error(
        &self,
        server: ServerId,
        outcome: AttemptOutcome,
        latency_ms: u64,
    ) -> AttemptOutcome {
        let median = self
            .servers
            .find(server)
            .and_then(|key| self.servers.get(key))
            .and_then(|entry| self.servers.median_latency_ms(entry.row.pool));
        let latency = u32::try_from(latency_ms).map_or(f64::MAX, f64::from);
        match median {
            Some(median) if outcome == AttemptOutcome::OwnError => {
                if latency_ms >= LATE_ERROR_MIN_MS && latency >= median * LATE_ERROR_SHARE {
                    AttemptOutcome::LateError
                } else {
                    outcome
                }
            }
            _ => outcome,
        }
    }

    /// Records that this gateway's in-flight count at a backend server changed.
    pub fn mark_in_flight_changed(&mut self, server: ServerId) {
        self.changed_servers.insert(server);
    }

    /// Applies a message of a peer.
    pub fn apply_message(&mut self, from: PeerId, message: &GossipMessage, now: Millis) {
        let Some(changes) = self.peers.apply_message(from, message, now) else {
            return;
        };
        for (server, before, after) in changes {
            self.servers
                .update_peer_in_flight(server, before, after, now);
        }
        for report in &message.outcomes {
            let at = Millis(now.0.saturating_sub(report.age_ms));
            let sent = Millis(at.0.saturating_sub(report.latency_ms));
            self.servers
                .record_outcome_sent_at(report.server, report.outcome, sent, at);
            if report.outcome == AttemptOutcome::Success {
                self.servers
                    .record_latency(report.server, report.latency_ms);
            }
            if let Some(request) = report.crash_request {
                self.crash_tracker.record_crash(request, report.server, at);
            }
            if message.kind == GossipKind::Relay && self.local_reports.len() < MAX_QUEUED_REPORTS {
                self.local_reports.push(OutcomeReport {
                    age_ms: at.0,
                    ..*report
                });
            }
        }
    }

    /// Updates a pool's share of repeatable requests with a new request.
    pub fn record_request(&mut self, pool: PoolId, repeatable: bool) {
        self.repeatable_shares
            .entry(pool)
            .or_default()
            .record(repeatable);
    }

    /// Returns whether a pool gets enough repeatable requests to probe its suspected servers.
    #[must_use]
    pub fn probed_by_repeatable(&self, pool: PoolId) -> bool {
        self.repeatable_shares
            .get(&pool)
            .is_some_and(|known| known.share >= MIN_REPEATABLE_SHARE)
    }

    /// Returns and clears the queued outcome reports, with their age: those for all peers, and
    /// those for the failure domain only.
    pub fn take_outcome_reports(
        &mut self,
        now: Millis,
    ) -> (Vec<OutcomeReport>, Vec<OutcomeReport>) {
        let mut reports = std::mem::take(&mut self.reports);
        let mut local = std::mem::take(&mut self.local_reports);
        for report in reports.iter_mut().chain(&mut local) {
            report.age_ms = now.since(Millis(report.age_ms));
        }
        (reports, local)
    }

    /// Returns this gateway's in-flight counts at the backend servers where they changed since the
    /// last call.
    pub fn take_changed_in_flight(&mut self) -> Vec<(ServerId, u32)> {
        let changed_servers = std::mem::take(&mut self.changed_servers);
        changed_servers
            .into_iter()
            .map(|server| (server, self.local_in_flight(server)))
            .collect()
    }

    /// Returns all in-flight counts of this gateway by backend server.
    #[must_use]
    pub fn all_in_flight(&self) -> Vec<(ServerId, u32)> {
        self.servers
            .iter()
            .filter(|(_, entry)| entry.local_in_flight > 0)
            .map(|(_, entry)| (ServerId::of(&entry.row.name), entry.local_in_flight))
            .collect()
    }

    fn local_in_flight(&self, server: ServerId) -> u32 {
        self.servers
            .find(server)
            .and_then(|key| self.servers.get(key))
            .map_or(0, |entry| entry.local_in_flight)
    }
}
