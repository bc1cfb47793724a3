//! What the caller of the dispatcher has to do next.

use std::sync;

use toucanledge_core::{Fingerprint, Millis, TableRevision, VmId};

use crate::LeaseReply;

/// What has to be done after an event.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchAction {
    /// Send the reply to the gateway.
    Reply {
        /// Gateway that asked.
        gateway: VmId,
        /// Answer to its ask.
        reply: LeaseReply,
    },
    /// Probe the backend server once and call `on_probe_result`.
    Probe {
        /// Backend server to probe.
        backend: VmId,
    },
    /// A backend server was taken out of service; for the log and metrics.
    Ejected(EjectionEvent),
    /// A backend server returned to service; for the log and metrics.
    Reinstated(ReinstatementEvent),
    /// The floor keeps a suspect backend server in service; for the log and metrics.
    EjectionSuppressed(EjectionEvent),
    /// A backend server crashed with these requests; for the heartbeats.
    CrashSuspects {
        /// Backend server that was lost.
        backend: VmId,
        /// Requests that were in flight there and lost with it.
        fingerprints: Vec<Fingerprint>,
    },
}

/// Why a backend server is suspect, in rising order of severity.
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
    /// Requests of several callers do not end, while those at its peers do.
    Stall,
    /// Requests in a row failed in transport.
    Transport,
    /// Connections broke and new ones fail.
    Crash,
}

/// Why a backend server is back in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ReinstatementReason {
    /// It completed the trial requests.
    TrialPassed,
    /// The floor needs it.
    Floor,
    /// A more unhealthy backend server is ejected in its place.
    Displaced,
}

/// Decision to eject a backend server, or to keep it in service although it is suspect.
#[derive(Clone, Debug, PartialEq)]
pub struct EjectionEvent {
    /// Backend server.
    pub backend: VmId,
    /// Row of the backend server.
    pub row: sync::Arc<str>,
    /// Table revision behind the decision.
    pub table_revision: TableRevision,
    /// What was seen.
    pub reason: EjectionReason,
    /// Callers with stalled requests, or failures in a row.
    pub evidence_count: u32,
    /// Age in milliseconds of the oldest stalled request.
    pub oldest_stall_ms: u64,
    /// Median time in milliseconds at the peers.
    pub peer_median_ms: u64,
    /// End of the absence; the present time for a backend server that is kept.
    pub ejected_until: Millis,
}

/// Decision to return a backend server to service.
#[derive(Clone, Debug, PartialEq)]
pub struct ReinstatementEvent {
    /// Backend server.
    pub backend: VmId,
    /// Row of the backend server.
    pub row: sync::Arc<str>,
    /// Table revision behind the decision.
    pub table_revision: TableRevision,
    /// Why it is back.
    pub reason: ReinstatementReason,
}
