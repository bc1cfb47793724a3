//! Checks of the records against the bounds of the requirements.
//!
//! All times are in milliseconds since 1970.

use std::collections;
use std::ops;

use toucanledge_core::RequestOutcome;

use crate::backend;
use crate::load;

/// Time after which a leaving backend server gets no new request.
pub const LEAVING_LIMIT_MS: u64 = 3000;
/// Time within which a table change is in force on all reachable gateways.
pub const TABLE_PROPAGATION_LIMIT_MS: u64 = 2000;
/// Time within which a table change is in force on every gateway that can be reached again.
pub const TABLE_RECOVERY_LIMIT_MS: u64 = 8000;
/// Length of the spans in which the servers that get work are counted.
const FLOOR_SPAN_MS: u64 = 1000;
/// Distance between the starts of two such spans.
const FLOOR_STEP_MS: u64 = 250;

/// Time in which a named server or a gateway is not expected to work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultInterval {
    /// Name of the backend server or gateway.
    pub name: String,
    /// Times from the fault until its end.
    pub interval: ops::Range<u64>,
}

/// Backend servers of a pool in one failure domain, with the floor of the pool.
#[derive(Clone, Debug, PartialEq)]
pub struct FloorShard {
    /// Names of the backend servers.
    pub servers: Vec<String>,
    /// Share of the backend servers that stay in service.
    pub floor: f64,
}

/// Span in which fewer healthy backend servers than the floor got work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FloorViolation {
    /// Start of the span.
    pub window_start: u64,
    /// Healthy backend servers that got a request.
    pub serving: usize,
    /// Healthy backend servers that the floor demands.
    pub required: usize,
}

/// Publication of a table, and whether the rule of publication accepts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TablePublication {
    /// Revision of the platform.
    pub revision: u64,
    /// When a reader of the platform could see it.
    pub visible_at: u64,
    /// Whether it is valid and based on the revision before it.
    pub is_accepted: bool,
    /// Time within which it must be in force on a reachable gateway.
    pub limit_ms: u64,
}

/// Table revision that a gateway showed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableObservation {
    /// Name of the gateway.
    pub gateway: String,
    /// When it was asked.
    pub requested_at: u64,
    /// Revision in force; 0 when there is none yet.
    pub revision: u64,
}

/// Breach of the requirements on the table in force.
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
pub enum TableViolation {
    /// A gateway still showed a smaller revision after the limit.
    #[strum(to_string = "{gateway} shows revision {revision}, {after_ms} ms after {expected}")]
    Late {
        /// Name of the gateway.
        gateway: String,
        /// Revision that it showed.
        revision: u64,
        /// Revision that had to be in force.
        expected: u64,
        /// Time since that revision was visible.
        after_ms: u64,
    },
    /// A gateway showed a smaller revision than before.
    #[strum(to_string = "{gateway} went back from revision {before} to {after}")]
    Reverted {
        /// Name of the gateway.
        gateway: String,
        /// Greatest revision that it showed before.
        before: u64,
        /// Smaller revision.
        after: u64,
    },
    /// A gateway showed a publication that had to be refused.
    #[strum(to_string = "{gateway} shows revision {revision}, which is to be refused")]
    Refused {
        /// Name of the gateway.
        gateway: String,
        /// Revision of the publication.
        revision: u64,
    },
}

/// Returns the requests that a server got later than allowed after it was marked as leaving.
#[must_use]
pub fn check_leaving<'a>(
    runs: &'a [backend::BackendRequestRecord],
    server: &str,
    marked: u64,
) -> Vec<&'a backend::BackendRequestRecord> {
    let own = runs.iter().filter(|run| run.server == server);
    own.filter(|run| run.arrived > marked + LEAVING_LIMIT_MS)
        .collect()
}

/// Returns the spans of `times` in which fewer healthy servers of a shard than the floor got work.
///
/// A server that has a fault at any moment of a span does not count as healthy in it. With fewer
/// healthy servers than the floor, all of them must get work.
#[must_use]
pub fn check_floor(
    shard: &FloorShard,
    runs: &[backend::BackendRequestRecord],
    faults: &[FaultInterval],
    times: ops::Range<u64>,
) -> Vec<FloorViolation> {
    let mut arrivals: collections::HashMap<&str, Vec<u64>> = collections::HashMap::new();
    for run in runs {
        let server = run.server.as_str();
        arrivals.entry(server).or_default().push(run.arrived);
    }
    for times in arrivals.values_mut() {
        times.sort_unstable();
    }
    let floor = floor_count(shard);
    let mut breaches = Vec::new();
    let mut at = times.start;
    while at + FLOOR_SPAN_MS <= times.end {
        let span = at..at + FLOOR_SPAN_MS;
        let names = shard.servers.iter().map(String::as_str);
        let healthy: Vec<&str> = names
            .filter(|name| !has_fault(faults, name, &span))
            .collect();
        let got_work = |name: &&&str| {
            let times = arrivals.get(**name).map_or(&[][..], Vec::as_slice);
            let first = times.partition_point(|time| *time < span.start);
            times.get(first).is_some_and(|time| *time < span.end)
        };
        let serving = healthy.iter().filter(got_work).count();
        let required = floor.min(healthy.len());
        if serving < required {
            breaches.push(FloorViolation {
                window_start: at,
                serving,
                required,
            });
        }
        at += FLOOR_STEP_MS;
    }
    breaches
}

/// Returns the smallest whole number of servers that is at least the floor.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]
fn floor_count(shard: &FloorShard) -> usize {
    let count = shard.floor * shard.servers.len() as f64;
    // Without the small term, rounding makes 0.7 of 10 servers 8.
    (count - 1e-9).ceil() as usize
}

fn has_fault(faults: &[FaultInterval], name: &str, span: &ops::Range<u64>) -> bool {
    let mut own = faults.iter().filter(|fault| fault.name == name);
    own.any(|fault| fault.interval.start < span.end && span.start < fault.interval.end)
}

/// Returns how many requests a planned stop interrupted.
///
/// A request counts when it was sent before the listener closed and its connection broke.
/// `started` is the start of the load that the records belong to.
#[must_use]
pub fn count_interrupted(
    told: &[load::LoadRecord],
    started: u64,
    stopped: std::net::SocketAddr,
    closed: u64,
) -> usize {
    let own = told.iter().filter(|record| record.target == stopped);
    own.filter(|record| {
        let sent = started + u64::try_from(record.intended_start.as_millis()).unwrap_or(u64::MAX);
        let is_truncated = record.status.is_some()
            && record.outcome == RequestOutcome::Unknown
            && record.reason.is_empty();
        let is_lost = record.status.is_none() && !record.reason.starts_with("connect failed");
        sent < closed && (is_truncated || is_lost)
    })
    .count()
}

/// Checks the revisions that gateways showed against the publications.
///
/// A gateway with a fault has to show a revision within the latest limit after the fault's end.
#[must_use]
pub fn check_table(
    publications: &[TablePublication],
    sights: &[TableObservation],
    faults: &[FaultInterval],
) -> Vec<TableViolation> {
    let mut greatest: collections::HashMap<&str, u64> = collections::HashMap::new();
    let mut breaches = Vec::new();
    for sight in sights {
        let TableObservation {
            gateway, revision, ..
        } = sight;
        let before = greatest.entry(gateway).or_default();
        // A new process shows 0 until it has learned a table.
        if *revision < *before && *revision > 0 {
            breaches.push(TableViolation::Reverted {
                gateway: gateway.clone(),
                before: *before,
                after: *revision,
            });
        }
        *before = (*before).max(*revision);
        let is_refused = |publication: &TablePublication| {
            publication.revision == *revision && !publication.is_accepted
        };
        if publications.iter().any(is_refused) {
            breaches.push(TableViolation::Refused {
                gateway: gateway.clone(),
                revision: *revision,
            });
        }
        breaches.extend(find_late(publications, sight, faults));
    }
    breaches
}

fn find_late(
    publications: &[TablePublication],
    sight: &TableObservation,
    faults: &[FaultInterval],
) -> Option<TableViolation> {
    let mut accepted = publications.iter().filter(|each| each.is_accepted);
    let late = accepted.find(|publication| {
        let mut due = publication.visible_at + publication.limit_ms;
        let own = faults.iter().filter(|fault| fault.name == sight.gateway);
        for fault in own.filter(|fault| fault.interval.end > publication.visible_at) {
            // A process that started after the limit has forgotten the table.
            let is_new = sight.revision == 0 && fault.interval.start < sight.requested_at;
            if fault.interval.start < due || is_new {
                due = due.max(fault.interval.end.saturating_add(TABLE_RECOVERY_LIMIT_MS));
            }
        }
        sight.revision < publication.revision && sight.requested_at > due
    })?;
    Some(TableViolation::Late {
        gateway: sight.gateway.clone(),
        revision: sight.revision,
        expected: late.revision,
        after_ms: sight.requested_at - late.visible_at,
    })
}
