//! Newest report of a peer's VM list versions.

use toucanledge_core::{Incarnation, ListVersion, Millis, VmId};

use crate::rules::{LEASE_MS, MAX_HISTORY_VERSIONS};

/// The part of a peer's heartbeat that claims need.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerHistoryReport {
    /// Sender of the heartbeat.
    pub peer: VmId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// The sender reports itself as established.
    pub established: bool,
    /// Newest list version of the sender.
    pub list_version: ListVersion,
    /// List versions that the sender has not retired; empty when there are more than 16.
    pub history: Vec<ListVersion>,
    /// Send time on the sender's clock.
    pub sent_at: Millis,
    /// Newest send time of this gateway that the peer received, see
    /// [`ListHistory::heartbeat_timestamp`](crate::ListHistory).
    pub echo: Option<Millis>,
}

/// Newest report of one peer.
#[derive(Clone, Debug)]
pub(crate) struct PeerHistory {
    incarnation: Incarnation,
    pub(crate) established: bool,
    pub(crate) list_version: ListVersion,
    pub(crate) history: Vec<ListVersion>,
    sent_at: Millis,
    newest_echo: Option<Millis>,
}

impl PeerHistory {
    /// Creates the entry from a report and the echoed send time on the local clock.
    pub(crate) fn new(report: PeerHistoryReport, newest_echo: Option<Millis>) -> Self {
        Self {
            incarnation: report.incarnation,
            established: report.established,
            list_version: report.list_version,
            history: report.history,
            sent_at: report.sent_at,
            newest_echo,
        }
    }

    /// Replaces the entry, unless the new one arrived out of order.
    ///
    /// The newest echo is kept only while the peer reports the same state, because an echo
    /// confirms only the state that was sent with it.
    pub(crate) fn update(&mut self, newer: Self) {
        if (newer.incarnation, newer.sent_at) <= (self.incarnation, self.sent_at) {
            return;
        }
        let newest_echo = if self.has_same_state(&newer) {
            self.newest_echo.max(newer.newest_echo)
        } else {
            newer.newest_echo
        };
        *self = Self {
            newest_echo,
            ..newer
        };
    }

    /// Returns whether the peer echoed a heartbeat that was sent within the lease.
    pub(crate) fn is_fresh(&self, now: Millis) -> bool {
        self.newest_echo
            .is_some_and(|newest_echo| now.since(newest_echo) < LEASE_MS)
    }

    /// Returns whether the history includes the newest version and fits into a heartbeat.
    pub(crate) fn has_complete_history(&self) -> bool {
        self.history.len() <= MAX_HISTORY_VERSIONS && self.history.contains(&self.list_version)
    }

    fn has_same_state(&self, other: &Self) -> bool {
        self.incarnation == other.incarnation
            && self.established == other.established
            && self.list_version == other.list_version
            && self.history == other.history
    }
}
