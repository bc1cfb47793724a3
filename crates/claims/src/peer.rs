//! What a gateway knows of one peer's list versions.

use toucanledge_core::{Incarnation, ListVersion, Millis, VmId};

use crate::rules::{LEASE_MS, MAX_HISTORY_VERSIONS};

/// The part of a peer's heartbeat that concerns claims.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerHistoryReport {
    /// Sender of the heartbeat.
    pub peer: VmId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// The sender reports that it is established.
    pub established: bool,
    /// Greatest list version of the sender.
    pub list_version: ListVersion,
    /// List versions that the sender has not retired; empty when there are more than 16.
    pub history: Vec<ListVersion>,
    /// Send time on the sender's clock.
    pub sent_at: Millis,
    /// Echo of a stamp that this gateway sent, see
    /// [`ListHistory::heartbeat_timestamp`](crate::ListHistory).
    pub echo: Option<Millis>,
}

/// Newest report of one peer.
#[derive(Clone, Debug)]
pub(crate) struct PeerView {
    incarnation: Incarnation,
    pub(crate) established: bool,
    pub(crate) list: ListVersion,
    pub(crate) history: Vec<ListVersion>,
    sent: Millis,
    echoed: Option<Millis>,
}

impl PeerView {
    /// Creates the view from a report and the echo on the own clock.
    pub(crate) fn new(report: PeerHistoryReport, echoed: Option<Millis>) -> Self {
        Self {
            incarnation: report.incarnation,
            established: report.established,
            list: report.list_version,
            history: report.history,
            sent: report.sent_at,
            echoed,
        }
    }

    /// Replaces the view unless the newer one is out of order.
    ///
    /// The greater echo is kept only while the peer reports the same state: an echo proves the
    /// state that was sent with it and no other.
    pub(crate) fn update(&mut self, newer: Self) {
        if (newer.incarnation, newer.sent) <= (self.incarnation, self.sent) {
            return;
        }
        let echoed = if self.has_same_state(&newer) {
            self.echoed.max(newer.echoed)
        } else {
            newer.echoed
        };
        *self = Self { echoed, ..newer };
    }

    /// Returns whether the peer answered a heartbeat that was sent within the lease.
    pub(crate) fn is_fresh(&self, now: Millis) -> bool {
        self.echoed
            .is_some_and(|echoed| now.since(echoed) < LEASE_MS)
    }

    /// Returns whether the history is complete: it names the greatest version and fits.
    pub(crate) fn has_whole_history(&self) -> bool {
        self.history.len() <= MAX_HISTORY_VERSIONS && self.history.contains(&self.list)
    }

    fn has_same_state(&self, other: &Self) -> bool {
        self.incarnation == other.incarnation
            && self.established == other.established
            && self.list == other.list
            && self.history == other.history
    }
}
