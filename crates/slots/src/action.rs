//! Actions of the dispatcher that its driver has to perform.

use std::sync;

use toucanledge_core::{Fingerprint, Millis, TableRevision, VmId};

use crate::LeaseReply;

/// Action that the driver has to perform after an event.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchAction {
    /// Send the reply to the gateway.
    Reply {
        /// Gateway that sent the lease request.
        gateway: VmId,
        /// Reply to its lease request.
        reply: LeaseReply,
    },
    /// Probe the backend server once and call `on_probe_result`.
    Probe {
        /// Backend server to probe.
        backend: VmId,
    },
    /// A backend server was ejected; for the log and metrics.
    Ejected(EjectionEvent),
    /// A backend server was reinstated; for the log and metrics.
    Reinstated(ReinstatementEvent),
    /// The floor prevented the ejection of a suspected backend server; for the log and metrics.
    EjectionSuppressed(EjectionEvent),
    /// A backend server crashed with these requests in flight; to report in heartbeats.
    CrashSuspects {
        /// Backend server that crashed.
        backend: VmId,
        /// Requests that were in flight there.
        fingerprints: Vec<Fingerprint>,
    },
}

/// Why a backend server is suspected, in rising order of severity.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    strum::Display,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum EjectionReason {
    /// Requests of several callers do not complete, while those at its peers do.
    Stall,
    /// Consecutive requests failed in transport.
    Transport,
    /// Connections broke and new ones cannot be opened, or a probe failed.
    Crash,
}

/// Why a backend server was reinstated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ReinstatementReason {
    /// It completed the trial requests.
    TrialPassed,
    /// The floor requires it in service.
    Floor,
    /// A backend server with a more severe fault is ejected in its place.
    Displaced,
}

/// Details of an ejection or of a suppressed ejection.
#[derive(Clone, Debug, PartialEq)]
pub struct EjectionEvent {
    /// Backend server.
    pub backend: VmId,
    /// Row of the backend server.
    pub row: sync::Arc<str>,
    /// Table revision that the decision is based on.
    pub table_revision: TableRevision,
    /// Why the backend server is suspected.
    pub reason: EjectionReason,
    /// Number of callers with stalled requests, or of consecutive failures.
    pub evidence_count: u32,
    /// Age in milliseconds of the oldest stalled request.
    pub oldest_stall_ms: u64,
    /// Median service time in milliseconds at the peers.
    pub peer_median_ms: u64,
    /// End of the ejection; the current time if it is suppressed.
    pub ejected_until: Millis,
}

/// Details of a reinstatement.
#[derive(Clone, Debug, PartialEq)]
pub struct ReinstatementEvent {
    /// Backend server.
    pub backend: VmId,
    /// Row of the backend server.
    pub row: sync::Arc<str>,
    /// Table revision that the decision is based on.
    pub table_revision: TableRevision,
    /// Why it was reinstated.
    pub reason: ReinstatementReason,
}
