//! State of one peer, from the VM list and its last heartbeat.

use toucanledge_core::{Incarnation, ListVersion, Millis, TableRevision, VmId};

use crate::limits::{HEARTBEAT_TIMEOUT_MS, MAX_UNREACHABLE_REPORTED};
use crate::message::{GatewayState, Heartbeat};

/// State of one peer.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// List version that first contained the peer; `None` for an unlisted peer, which sends
    /// heartbeats but is not in the cohort.
    pub listed_since: Option<ListVersion>,
    /// The VM list marks the peer as leaving.
    pub listed_as_leaving: bool,
    /// Time of the last accepted heartbeat, or of the first VM list when the peer is assumed to be
    /// reachable until its first heartbeat is due. `None` after a freeze of this gateway.
    pub last_heartbeat_at: Option<Millis>,
    /// Incarnation of the peer; the smallest one before its first heartbeat.
    pub incarnation: Incarnation,
    /// Last heartbeat of the current incarnation.
    pub last_heartbeat: Option<LastHeartbeat>,
}

/// The parts of a peer's last heartbeat that the view needs.
#[derive(Clone, Debug)]
pub struct LastHeartbeat {
    pub state: GatewayState,
    pub list_version: ListVersion,
    pub table_revision: TableRevision,
    pub sent_at: Millis,
    pub echo: Option<Millis>,
    pub unreachable: Vec<VmId>,
}

/// What a peer reports about whether another gateway is reachable for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedReachability {
    Reachable,
    Unreachable,
    /// The peer may not have the other gateway in its list, or its heartbeat has no room for it.
    Unknown,
}

impl PeerState {
    /// Creates the state of an unlisted peer.
    pub fn unlisted() -> Self {
        Self {
            listed_since: None,
            listed_as_leaving: false,
            last_heartbeat_at: None,
            incarnation: Incarnation::default(),
            last_heartbeat: None,
        }
    }

    /// Returns whether the peer is in the cohort.
    pub fn is_listed(&self) -> bool {
        self.listed_since.is_some()
    }

    /// Returns whether the last heartbeat of the peer is recent enough.
    pub fn is_reachable(&self, now: Millis) -> bool {
        self.last_heartbeat_at
            .is_some_and(|arrived| now.since(arrived) <= HEARTBEAT_TIMEOUT_MS)
    }

    /// Returns whether the peer is leaving, by the VM list or by its own report.
    pub fn is_leaving(&self) -> bool {
        self.listed_as_leaving
            || self
                .last_heartbeat
                .as_ref()
                .is_some_and(|heartbeat| heartbeat.state == GatewayState::Leaving)
    }

    /// Returns the last heartbeat while the peer is reachable.
    pub fn reachable_heartbeat(&self, now: Millis) -> Option<&LastHeartbeat> {
        self.last_heartbeat
            .as_ref()
            .filter(|_| self.is_reachable(now))
    }

    /// Returns the send time to echo: the newest one received, while the peer is reachable.
    ///
    /// Without that condition, a peer that restarted would get echoes of its previous process,
    /// whose send times may look like its own.
    pub fn echo(&self, now: Millis) -> Option<Millis> {
        self.reachable_heartbeat(now)
            .map(|heartbeat| heartbeat.sent_at)
    }

    /// Applies a heartbeat of the current or a newer incarnation.
    pub fn apply(&mut self, heartbeat: &Heartbeat, now: Millis) {
        self.last_heartbeat_at = Some(now);
        self.incarnation = heartbeat.incarnation;
        self.last_heartbeat = Some(LastHeartbeat {
            state: heartbeat.state,
            list_version: heartbeat.list_version,
            table_revision: heartbeat.table_revision,
            sent_at: heartbeat.sent_at,
            // An echo of a future time comes from an earlier process of this VM.
            echo: heartbeat.echo.filter(|echo| *echo <= now),
            unreachable: heartbeat.unreachable.clone(),
        });
    }
}

impl LastHeartbeat {
    /// Returns whether a gateway is reachable for the peer; `listed_since` is the list version that
    /// first contained the gateway.
    pub fn reachability_of(&self, vm: VmId, listed_since: ListVersion) -> ReportedReachability {
        if self.unreachable.contains(&vm) {
            return ReportedReachability::Unreachable;
        }
        if self.list_version < listed_since || self.unreachable.len() >= MAX_UNREACHABLE_REPORTED {
            return ReportedReachability::Unknown;
        }
        ReportedReachability::Reachable
    }

    /// Returns whether this gateway is reachable for the peer, by its echo of a heartbeat that was
    /// sent at or after `since`.
    pub fn reachability_of_receiver(&self, receiver: VmId, since: Millis) -> ReportedReachability {
        if self.unreachable.contains(&receiver) {
            return ReportedReachability::Unreachable;
        }
        match self.echo {
            Some(echo) if echo >= since => ReportedReachability::Reachable,
            _ => ReportedReachability::Unknown,
        }
    }
}
