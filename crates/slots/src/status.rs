//! Status of a shard for the status page.

use std::{collections, sync};

use toucanledge_core::{ClassId, Millis, RefusalReason, ShardId, TableRevision, VmId};

use crate::EjectionReason;
use crate::dispatcher::ShardDispatcher;
use crate::server;

/// State of a backend server on the status page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ServerState {
    /// In service.
    Serving,
    /// New; gets slots step by step and is left out of stall detection.
    #[strum(serialize = "cold")]
    SlowStart,
    /// Suspected, but in service because the floor prevents the ejection.
    #[strum(serialize = "kept")]
    EjectionSuppressed,
    /// Ejected.
    #[strum(serialize = "absent")]
    Ejected,
    /// Ejected; the result of a probe is awaited.
    Probing,
    /// Gets one request at a time until enough of them are good.
    Trial,
    /// Finishes its requests and gets no new ones.
    Leaving,
    /// The table has no row for it.
    NoRow,
}

/// Status of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerStatus {
    /// Backend server.
    pub backend: VmId,
    /// Name of the row.
    pub row: sync::Arc<str>,
    /// Current state.
    pub state: ServerState,
    /// Why it is out of service or suspected.
    pub reason: Option<EjectionReason>,
    /// Since when it is out of service, its ejection is suppressed or it is in slow start.
    pub since: Option<Millis>,
    /// End of its ejection.
    pub until: Option<Millis>,
    /// Table revision at the ejection; that of the active table if it is in service.
    pub table_revision: TableRevision,
    /// Number of leases that are held.
    pub leases_held: u32,
    /// Number of leases that may be held.
    pub lease_limit: u32,
    /// Number of callers that are slow at this backend server only.
    pub slow_callers: u32,
}

/// Status of the queue of a class.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueStatus {
    /// Class of work.
    pub class: ClassId,
    /// Name of the row.
    pub row: sync::Arc<str>,
    /// Number of queued requests.
    pub waiting: usize,
    /// Number of leases that are held.
    pub leases_held: u32,
    /// Median service time in milliseconds.
    pub median_service_ms: Option<u64>,
}

/// Counters of a dispatcher since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DispatchCounters {
    /// Lease requests.
    pub lease_requests: u64,
    /// Granted leases.
    pub grants: u64,
    /// Refusals by reason.
    pub refusals: collections::HashMap<RefusalReason, u64>,
    /// Requests that were cancelled while they were queued.
    pub cancelled_while_queued: u64,
    /// Reports on leases that had already ended.
    pub late_reports: u64,
    /// Leases that ended without a report.
    pub leases_expired: u64,
    /// Ejections.
    pub ejections: u64,
    /// Reinstatements.
    pub reinstatements: u64,
    /// Ejections that the floor prevented.
    pub ejections_suppressed: u64,
    /// Probes that were requested.
    pub probes: u64,
}

/// Status of a shard.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardStatus {
    /// Shard.
    pub shard: ShardId,
    /// Revision of the active table.
    pub table_revision: TableRevision,
    /// Number of live backend servers with slots.
    pub live_servers: usize,
    /// Least number of backend servers that the floor keeps in service.
    pub min_in_service: usize,
    /// Backend servers in order of identifier.
    pub servers: Vec<ServerStatus>,
    /// Queues by class.
    pub queues: Vec<QueueStatus>,
    /// Number of stored entries: leases, queued requests, keys of the long-work predictor and crash
    /// suspects.
    pub entry_counts: [usize; 4],
    /// Counters since the start.
    pub counters: DispatchCounters,
}

impl ShardDispatcher {
    /// Returns the status of the shard.
    #[must_use]
    pub fn status(&self, now: Millis) -> ShardStatus {
        let live = self
            .servers
            .arena
            .values()
            .filter(|server| server.counts_as_capacity());
        let live = live.count();
        let mut servers: Vec<ServerStatus> = self
            .servers
            .arena
            .values()
            .map(|server| self.server_status(server, now))
            .collect();
        servers.sort_unstable_by_key(|server| server.backend);
        ShardStatus {
            shard: self.shard,
            table_revision: self.table_revision(),
            live_servers: live,
            min_in_service: self.min_in_service(live),
            servers,
            queues: self.queue_status(),
            entry_counts: [
                self.leases.arena.len(),
                self.queue.len(),
                self.long_work_predictor.len(),
                self.crash_suspects.len(),
            ],
            counters: self.counters.clone(),
        }
    }

    fn server_status(&self, server: &server::Server, now: Millis) -> ServerStatus {
        let state = server_state(server, now);
        let ejection = server.ejection;
        let fault = ejection.map(|ejection| ejection.fault).or(server.fault);
        let slow = server.slow_callers.values();
        ServerStatus {
            backend: server.vm,
            row: server.row.clone(),
            state,
            reason: fault.map(|fault| fault.reason),
            since: match state {
                ServerState::SlowStart => server.slow_start_since,
                ServerState::EjectionSuppressed => server.ejection_suppressed_since,
                _ => ejection.map(|ejection| ejection.since),
            },
            until: ejection.map(|ejection| ejection.until),
            table_revision: ejection
                .map_or(self.table_revision(), |ejection| ejection.table_revision),
            leases_held: u32::try_from(server.leases.len()).unwrap_or(u32::MAX),
            lease_limit: server.slot_limit(now),
            slow_callers: u32::try_from(slow.filter(|count| count.is_slow(now)).count())
                .unwrap_or(u32::MAX),
        }
    }

    fn queue_status(&self) -> Vec<QueueStatus> {
        let classes = self.classes.classes.iter();
        classes
            .filter_map(|(class, state)| {
                Some(QueueStatus {
                    class: *class,
                    row: state.policy.as_ref()?.row.clone(),
                    waiting: self.queue.class_len(*class),
                    leases_held: state.leases_held,
                    median_service_ms: state.service_median.millis(),
                })
            })
            .collect()
    }
}

fn server_state(server: &server::Server, now: Millis) -> ServerState {
    if server.is_leaving() {
        return ServerState::Leaving;
    }
    if server.slots == 0 {
        return ServerState::NoRow;
    }
    match server.phase {
        server::ServerPhase::Ejected(_) => ServerState::Ejected,
        server::ServerPhase::Probing(_) => ServerState::Probing,
        server::ServerPhase::Trial(_) => ServerState::Trial,
        server::ServerPhase::Serving if server.ejection_suppressed_since.is_some() => {
            ServerState::EjectionSuppressed
        }
        server::ServerPhase::Serving if server.in_slow_start(now) => ServerState::SlowStart,
        server::ServerPhase::Serving => ServerState::Serving,
    }
}
