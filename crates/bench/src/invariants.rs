//! Checks of recorded times against the limits that a fleet must keep.
//!
//! All times are Unix times in milliseconds.

use std::collections;
use std::ops;

use toucanledge_core::RequestOutcome;

use crate::backend;
use crate::load;

/// Time after which a leaving backend server must get no new request.
pub const LEAVING_LIMIT_MS: u64 = 3000;
/// Time within which a published table must be active on all reachable gateways.
pub const TABLE_PROPAGATION_LIMIT_MS: u64 = 2000;
/// Time within which a published table must be active on a gateway that is reachable again.
pub const TABLE_RECOVERY_LIMIT_MS: u64 = 8000;
/// Length of the sliding window in which the serving backend servers are counted.
const FLOOR_WINDOW_MS: u64 = 1000;
/// Distance between the starts of two windows.
const FLOOR_WINDOW_STEP_MS: u64 = 250;

/// Interval in which a backend server or gateway has a fault and is not expected to work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultInterval {
    /// Name of the backend server or gateway.
    pub name: String,
    /// From the start of the fault to its end.
    pub interval: ops::Range<u64>,
}

/// Backend servers of a pool in one failure domain, with the floor of the pool.
#[derive(Clone, Debug, PartialEq)]
pub struct FloorShard {
    /// Names of the backend servers.
    pub servers: Vec<String>,
    /// Least share of the backend servers that stays in use.
    pub floor: f64,
}

/// Window in which fewer healthy backend servers got requests than the floor requires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FloorViolation {
    /// Start of the window.
    pub window_start: u64,
    /// Number of healthy backend servers that got a request.
    pub serving: usize,
    /// Number of healthy backend servers that must get requests.
    pub required: usize,
}

/// Publication of a table, and whether gateways must accept it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TablePublication {
    /// Revision that the platform assigned.
    pub revision: u64,
    /// When readers of the platform could see it.
    pub visible_at: u64,
    /// Whether it is valid and based on the previous revision.
    pub is_accepted: bool,
    /// Time within which it must be active on a reachable gateway.
    pub limit_ms: u64,
}

/// Table revision that was read from the status page of a gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableObservation {
    /// Name of the gateway.
    pub gateway: String,
    /// When the status page was requested.
    pub requested_at: u64,
    /// Revision of the active table; 0 if there is none yet.
    pub revision: u64,
}

/// Violation of the requirements on the active table.
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
pub enum TableViolation {
    /// A gateway still showed an older revision after the limit.
    #[strum(to_string = "{gateway} shows revision {revision}, {after_ms} ms after {expected}")]
    Late {
        /// Name of the gateway.
        gateway: String,
        /// Revision that it showed.
        revision: u64,
        /// Revision that had to be active.
        expected: u64,
        /// Time since that revision was visible.
        after_ms: u64,
    },
    /// A gateway showed an older revision than before.
    #[strum(to_string = "{gateway} went back from revision {before} to {after}")]
    Reverted {
        /// Name of the gateway.
        gateway: String,
        /// Newest revision that it showed before.
        before: u64,
        /// Older revision that it showed afterwards.
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

/// Returns the requests that a server got more than the limit after it was marked as leaving.
#[must_use]
pub fn check_leaving<'a>(
    records: &'a [backend::BackendRequestRecord],
    server: &str,
    marked_at: u64,
) -> Vec<&'a backend::BackendRequestRecord> {
    let at_server = records.iter().filter(|record| record.server == server);
    at_server
        .filter(|record| record.arrived > marked_at + LEAVING_LIMIT_MS)
        .collect()
}

/// Returns the windows of `interval` in which too few healthy servers of a shard got requests.
///
/// A server that has a fault at any time of a window does not count as healthy in it. If fewer
/// servers are healthy than the floor requires, all of them must get requests.
#[must_use]
pub fn check_floor(
    shard: &FloorShard,
    records: &[backend::BackendRequestRecord],
    faults: &[FaultInterval],
    interval: ops::Range<u64>,
) -> Vec<FloorViolation> {
    let mut arrivals: collections::HashMap<&str, Vec<u64>> = collections::HashMap::new();
    for record in records {
        let server = record.server.as_str();
        arrivals.entry(server).or_default().push(record.arrived);
    }
    for times in arrivals.values_mut() {
        times.sort_unstable();
    }
    let floor = floor_count(shard);
    let mut violations = Vec::new();
    let mut window_start = interval.start;
    while window_start + FLOOR_WINDOW_MS <= interval.end {
        let window = window_start..window_start + FLOOR_WINDOW_MS;
        let names = shard.servers.iter().map(String::as_str);
        let healthy: Vec<&str> = names
            .filter(|name| !has_fault(faults, name, &window))
            .collect();
        let got_request = |name: &&&str| {
            let times = arrivals.get(**name).map_or(&[][..], Vec::as_slice);
            let first = times.partition_point(|time| *time < window.start);
            times.get(first).is_some_and(|time| *time < window.end)
        };
        let serving = healthy.iter().filter(got_request).count();
        let required = floor.min(healthy.len());
        if serving < required {
            violations.push(FloorViolation {
                window_start,
                serving,
                required,
            });
        }
        window_start += FLOOR_WINDOW_STEP_MS;
    }
    violations
}

/// Returns the smallest number of servers that is at least the floor.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]
fn floor_count(shard: &FloorShard) -> usize {
    let count = shard.floor * shard.servers.len() as f64;
    // Without the small term, a rounding error would make 0.28 of 25 servers 8.
    (count - 1e-9).ceil() as usize
}

fn has_fault(faults: &[FaultInterval], name: &str, window: &ops::Range<u64>) -> bool {
    let mut faults_of_name = faults.iter().filter(|fault| fault.name == name);
    faults_of_name
        .any(|fault| fault.interval.start < window.end && window.start < fault.interval.end)
}

/// Returns the number of requests that the graceful stop of a gateway interrupted.
///
/// A request counts if it was sent before the listener closed and its connection failed.
/// `load_start` is the start of the load that the records belong to.
#[must_use]
pub fn count_interrupted(
    records: &[load::LoadRecord],
    load_start: u64,
    gateway: std::net::SocketAddr,
    closed_at: u64,
) -> usize {
    let through_gateway = records.iter().filter(|record| record.target == gateway);
    through_gateway
        .filter(|record| {
            let sent_at =
                load_start + u64::try_from(record.intended_start.as_millis()).unwrap_or(u64::MAX);
            let is_truncated = record.status.is_some()
                && record.outcome == RequestOutcome::Unknown
                && record.reason.is_empty();
            let is_connection_lost =
                record.status.is_none() && !record.reason.starts_with("connect failed");
            sent_at < closed_at && (is_truncated || is_connection_lost)
        })
        .count()
}

/// Checks the revisions that gateways showed against the publications.
///
/// After a fault, a gateway has [`TABLE_RECOVERY_LIMIT_MS`] to show a revision.
#[must_use]
pub fn check_table(
    publications: &[TablePublication],
    observations: &[TableObservation],
    faults: &[FaultInterval],
) -> Vec<TableViolation> {
    let mut newest: collections::HashMap<&str, u64> = collections::HashMap::new();
    let mut violations = Vec::new();
    for observation in observations {
        let TableObservation {
            gateway, revision, ..
        } = observation;
        let before = newest.entry(gateway).or_default();
        // A new process shows 0 until it has a table.
        if *revision < *before && *revision > 0 {
            violations.push(TableViolation::Reverted {
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
            violations.push(TableViolation::Refused {
                gateway: gateway.clone(),
                revision: *revision,
            });
        }
        violations.extend(find_late(publications, observation, faults));
    }
    violations
}

fn find_late(
    publications: &[TablePublication],
    observation: &TableObservation,
    faults: &[FaultInterval],
) -> Option<TableViolation> {
    let mut accepted = publications
        .iter()
        .filter(|publication| publication.is_accepted);
    let late = accepted.find(|publication| {
        let mut deadline = publication.visible_at + publication.limit_ms;
        let gateway_faults = faults
            .iter()
            .filter(|fault| fault.name == observation.gateway);
        for fault in gateway_faults.filter(|fault| fault.interval.end > publication.visible_at) {
            // A process that was started after the limit has no table at first.
            let is_restarted =
                observation.revision == 0 && fault.interval.start < observation.requested_at;
            if fault.interval.start < deadline || is_restarted {
                deadline = deadline.max(fault.interval.end.saturating_add(TABLE_RECOVERY_LIMIT_MS));
            }
        }
        observation.revision < publication.revision && observation.requested_at > deadline
    })?;
    Some(TableViolation::Late {
        gateway: observation.gateway.clone(),
        revision: observation.revision,
        expected: late.revision,
        after_ms: observation.requested_at - late.visible_at,
    })
}
