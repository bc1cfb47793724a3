//! What the status page shows of a shard.

use std::{collections, sync};

use toucanledge_core::{ClassId, Millis, RefusalReason, ShardId, TableRevision, VmId};

use crate::EjectionReason;
use crate::dispatcher::ShardDispatcher;
use crate::server;

/// State of a backend server on the status page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ServerState {
    /// Gets requests.
    Serving,
    /// New; gets one slot and is not compared.
    #[strum(serialize = "cold")]
    SlowStart,
    /// Suspect, but in service because of the floor.
    #[strum(serialize = "kept")]
    EjectionSuppressed,
    /// Ejected.
    #[strum(serialize = "absent")]
    Ejected,
    /// Waits for the result of its probe.
    Probing,
    /// Has one slot until its trial requests are good.
    Trial,
    /// Finishes its requests and gets no new ones.
    Leaving,
    /// The table has no row for it.
    NoRow,
}

/// A backend server on the status page.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerStatus {
    /// Backend server.
    pub backend: VmId,
    /// Its row.
    pub row: sync::Arc<str>,
    /// Its state.
    pub state: ServerState,
    /// Why it is out of service or suspect.
    pub reason: Option<EjectionReason>,
    /// Since when it is out of service, kept or cold.
    pub since: Option<Millis>,
    /// Until when it is absent.
    pub until: Option<Millis>,
    /// Table revision behind the ejection; otherwise the one in force.
    pub table_revision: TableRevision,
    /// Leases that are held.
    pub leases_held: u32,
    /// Leases that may be held.
    pub lease_limit: u32,
    /// Callers that are slow at this backend server only.
    pub slow_callers: u32,
}

/// The queue of a class on the status page.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueStatus {
    /// Class of work.
    pub class: ClassId,
    /// Its row.
    pub row: sync::Arc<str>,
    /// Asks that wait.
    pub waiting: usize,
    /// Leases that are held.
    pub leases_held: u32,
    /// Median service time in milliseconds.
    pub median_service_ms: Option<u64>,
}

/// What a dispatcher has done since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DispatchCounters {
    /// Asks that arrived.
    pub lease_requests: u64,
    /// Slots that were granted.
    pub grants: u64,
    /// Refusals by reason.
    pub refusals: collections::HashMap<RefusalReason, u64>,
    /// Asks that were cancelled while they waited.
    pub cancelled: u64,
    /// Reports about leases that had ended already.
    pub late_reports: u64,
    /// Leases that ended without a report.
    pub leases_expired: u64,
    /// Ejections.
    pub ejections: u64,
    /// Returns to service.
    pub reinstatements: u64,
    /// Suspect backend servers that the floor kept in service.
    pub ejections_suppressed: u64,
    /// Probes.
    pub probes: u64,
}

/// A shard on the status page.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardStatus {
    /// Shard.
    pub shard: ShardId,
    /// Table revision in force.
    pub table_revision: TableRevision,
    /// Live backend servers of the shard.
    pub live_servers: usize,
    /// Backend servers that the floor keeps in service.
    pub min_in_service: usize,
    /// Backend servers by identifier.
    pub servers: Vec<ServerStatus>,
    /// Queues by class.
    pub queues: Vec<QueueStatus>,
    /// Entries held for leases, asks, memory of long work and crash suspicions.
    pub entry_counts: [usize; 4],
    /// What was done since the start.
    pub counters: DispatchCounters,
}

impl ShardDispatcher {
    /// Returns what the status page shows.
    #[must_use]
    pub fn status(&self, now: Millis) -> ShardStatus {
        let live = self.servers.arena.values().filter(|server| server.counts());
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
            table_revision: self.table(),
            live_servers: live,
            min_in_service: self.kept_minimum(live),
            servers,
            queues: self.queue_status(),
            entry_counts: [
                self.leases.arena.len(),
                self.queue.len(),
                self.memory.entries(),
                self.suspicions.entries(),
            ],
            counters: self.counters.clone(),
        }
    }

    fn server_status(&self, server: &server::Server, now: Millis) -> ServerStatus {
        let state = state_of(server, now);
        let absence = server.absence;
        let fault = absence.map(|absence| absence.fault).or(server.fault);
        let slow = server.slow_callers.values();
        ServerStatus {
            backend: server.vm,
            row: server.row.clone(),
            state,
            reason: fault.map(|fault| fault.reason),
            since: match state {
                ServerState::SlowStart => server.cold_since,
                ServerState::EjectionSuppressed => server.kept_since,
                _ => absence.map(|absence| absence.since),
            },
            until: absence.map(|absence| absence.until),
            table_revision: absence.map_or(self.table(), |absence| absence.table),
            leases_held: u32::try_from(server.leases.len()).unwrap_or(u32::MAX),
            lease_limit: server.slot_limit(now),
            slow_callers: u32::try_from(slow.filter(|tally| tally.slow_at(now)).count())
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
                    leases_held: state.held,
                    median_service_ms: state.median.millis(),
                })
            })
            .collect()
    }
}

fn state_of(server: &server::Server, now: Millis) -> ServerState {
    if server.leaving() {
        return ServerState::Leaving;
    }
    if server.slots == 0 {
        return ServerState::NoRow;
    }
    match server.phase {
        server::ServerPhase::Absent(_) => ServerState::Ejected,
        server::ServerPhase::Probing(_) => ServerState::Probing,
        server::ServerPhase::Trial(_) => ServerState::Trial,
        server::ServerPhase::Serving if server.kept_since.is_some() => {
            ServerState::EjectionSuppressed
        }
        server::ServerPhase::Serving if server.cold(now) => ServerState::SlowStart,
        server::ServerPhase::Serving => ServerState::Serving,
    }
}
