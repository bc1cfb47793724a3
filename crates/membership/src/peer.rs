//! What is known of one peer.

use toucanledge_core::{Incarnation, ListVersion, Millis, TableRevision, VmId};

use crate::limits::{HEARTBEAT_TIMEOUT_MS, MAX_UNREACHABLE_REPORTED};
use crate::message::{GatewayState, Heartbeat};

/// What is known of one gateway.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// List version that first named the peer; `None` for a sender outside the cohort.
    pub listed_since: Option<ListVersion>,
    /// The list marks the peer as leaving.
    pub list_leaving: bool,
    /// Last event that makes the peer heard, or its start when it is assumed to be heard.
    pub last_heard: Option<Millis>,
    /// Incarnation of the peer; the smallest before its first heartbeat.
    pub incarnation: Incarnation,
    /// Last heartbeat of the present incarnation.
    pub report: Option<PeerReport>,
}

/// The part of a peer's last heartbeat that the view needs.
#[derive(Clone, Debug)]
pub struct PeerReport {
    pub state: GatewayState,
    pub list: ListVersion,
    pub table: TableRevision,
    pub sent: Millis,
    pub echo: Option<Millis>,
    pub not_heard: Vec<VmId>,
}

/// What a peer says about hearing another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerOpinion {
    Hears,
    HearsNot,
    /// The peer may not know the other, or has no room to name it.
    Unknown,
}

impl PeerState {
    /// Creates the state of a sender outside the cohort.
    pub fn stranger() -> Self {
        Self {
            listed_since: None,
            list_leaving: false,
            last_heard: None,
            incarnation: Incarnation::default(),
            report: None,
        }
    }

    /// Returns whether the peer is in the cohort.
    pub fn is_listed(&self) -> bool {
        self.listed_since.is_some()
    }

    /// Returns whether the peer is heard.
    pub fn is_heard(&self, now: Millis) -> bool {
        self.last_heard
            .is_some_and(|heard| now.since(heard) <= HEARTBEAT_TIMEOUT_MS)
    }

    /// Returns whether the peer is known to be leaving.
    pub fn is_leaving(&self) -> bool {
        self.list_leaving
            || self
                .report
                .as_ref()
                .is_some_and(|report| report.state == GatewayState::Leaving)
    }

    /// Returns the last report while the peer is heard.
    pub fn heard_report(&self, now: Millis) -> Option<&PeerReport> {
        self.report.as_ref().filter(|_| self.is_heard(now))
    }

    /// Returns the send time to echo: the greatest received, while the peer is heard.
    ///
    /// Without that bound a peer that restarted would get echoes of its former process, whose
    /// clock may agree with its own.
    pub fn echo(&self, now: Millis) -> Option<Millis> {
        self.heard_report(now).map(|report| report.sent)
    }

    /// Takes a heartbeat of the present or a new incarnation.
    pub fn take(&mut self, heartbeat: &Heartbeat, now: Millis) {
        self.last_heard = Some(now);
        self.incarnation = heartbeat.incarnation;
        self.report = Some(PeerReport {
            state: heartbeat.state,
            list: heartbeat.list_version,
            table: heartbeat.table_revision,
            sent: heartbeat.sent_at,
            // An echo of a time to come stems from an earlier process of this VM.
            echo: heartbeat.echo.filter(|echo| *echo <= now),
            not_heard: heartbeat.unreachable.clone(),
        });
    }
}

impl PeerReport {
    /// Returns what the peer says about hearing a gateway that the list names since a version.
    pub fn opinion_of(&self, vm: VmId, listed_since: ListVersion) -> PeerOpinion {
        if self.not_heard.contains(&vm) {
            return PeerOpinion::HearsNot;
        }
        if self.list < listed_since || self.not_heard.len() >= MAX_UNREACHABLE_REPORTED {
            return PeerOpinion::Unknown;
        }
        PeerOpinion::Hears
    }

    /// Returns whether the peer hears this gateway, by echoes since a time.
    pub fn opinion_of_receiver(&self, receiver: VmId, since: Millis) -> PeerOpinion {
        if self.not_heard.contains(&receiver) {
            return PeerOpinion::HearsNot;
        }
        match self.echo {
            Some(echo) if echo >= since => PeerOpinion::Hears,
            _ => PeerOpinion::Unknown,
        }
    }
}
