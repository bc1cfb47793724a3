//! Queries on the heartbeat view.

use toucanledge_core::{Incarnation, ListVersion, TableRevision, VmId};

use crate::message::GatewayState;
use crate::peer::{PeerOpinion, PeerReport};
use crate::view::MembershipView;

/// A version and the heard peers that have it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewestVersion<Version> {
    /// Greatest version that a heard peer reports.
    pub version: Version,
    /// Peers that have it, in order of their ids.
    pub peers: Vec<VmId>,
}

/// Queries; they answer as of the last event, so call [`MembershipView::tick`] before them.
impl MembershipView {
    /// Returns the peers to send heartbeats to.
    pub fn heartbeat_targets(&self) -> impl Iterator<Item = VmId> {
        self.peers
            .iter()
            .filter(|(_, peer)| peer.is_listed())
            .map(|(vm, _)| *vm)
    }

    /// Returns whether a gateway is heard; a gateway hears itself.
    #[must_use]
    pub fn is_reachable(&self, vm: VmId) -> bool {
        vm == self.vm
            || self
                .peers
                .get(&vm)
                .is_some_and(|peer| peer.is_heard(self.now))
    }

    /// Returns the incarnation of a peer, once one is known.
    #[must_use]
    pub fn incarnation_of(&self, vm: VmId) -> Option<Incarnation> {
        let peer = self.peers.get(&vm)?;
        peer.report.as_ref().map(|_| peer.incarnation)
    }

    /// Returns whether a gateway is live: it is in the list, not leaving, and more than half of
    /// the gateways that this one hears, itself included, hear it.
    ///
    /// A gateway that may not know of it, or whose exceptions are as many as a heartbeat carries,
    /// is left out of the count. This gateway itself must also be heard; see
    /// [`MembershipView::is_reachable_by_majority`].
    #[must_use]
    pub fn is_live(&self, vm: VmId) -> bool {
        if vm == self.vm {
            return self.own_is_live();
        }
        let Some(peer) = self.peers.get(&vm) else {
            return false;
        };
        let Some(listed_since) = peer.listed_since else {
            return false;
        };
        !peer.is_leaving() && self.most_hear(vm, listed_since)
    }

    /// Returns the live gateways of the cohort, in order of their ids.
    #[must_use]
    pub fn live_gateways(&self) -> Vec<VmId> {
        let mut live: Vec<VmId> = self
            .heartbeat_targets()
            .filter(|vm| self.is_live(*vm))
            .collect();
        if self.own_is_live() {
            live.push(self.vm);
            live.sort_unstable();
        }
        live
    }

    /// Returns whether this gateway is heard by most of the peers it hears.
    ///
    /// The answer changes once most peers agreed on the contrary for 1.5 s. After a freeze it is
    /// `false` until most heard peers echo a heartbeat that was sent since.
    #[must_use]
    pub fn is_reachable_by_majority(&self) -> bool {
        self.hearing.is_heard()
    }

    /// Returns the greatest VM list version of the heard peers.
    #[must_use]
    pub fn newest_list(&self) -> Option<NewestVersion<ListVersion>> {
        self.newest(|report| report.list)
    }

    /// Returns the greatest table revision of the heard peers.
    #[must_use]
    pub fn newest_table(&self) -> Option<NewestVersion<TableRevision>> {
        self.newest(|report| report.table)
    }

    fn newest<Version: Ord + Copy>(
        &self,
        version_of: impl Fn(&PeerReport) -> Version,
    ) -> Option<NewestVersion<Version>> {
        let reports = || {
            self.peers
                .iter()
                .filter_map(|(vm, peer)| Some((*vm, peer.heard_report(self.now)?)))
        };
        let version = reports().map(|(_, report)| version_of(report)).max()?;
        let holders = reports()
            .filter(|(_, report)| version_of(report) == version)
            .map(|(vm, _)| vm)
            .collect();
        Some(NewestVersion {
            version,
            peers: holders,
        })
    }

    fn own_is_live(&self) -> bool {
        let Some(listed_since) = self.own_listed_since else {
            return false;
        };
        self.state == GatewayState::Live
            && !self.own_list_leaving
            && self.is_reachable_by_majority()
            && self.most_hear(self.vm, listed_since)
    }

    fn most_hear(&self, vm: VmId, listed_since: ListVersion) -> bool {
        let mut hearing = usize::from(self.is_reachable(vm));
        let mut asked = 1;
        for (voter, peer) in &self.peers {
            if !peer.is_listed() {
                continue;
            }
            let Some(report) = peer.heard_report(self.now) else {
                continue;
            };
            let opinion = if *voter == vm {
                PeerOpinion::Hears
            } else {
                report.opinion_of(vm, listed_since)
            };
            match opinion {
                PeerOpinion::Hears => hearing += 1,
                PeerOpinion::HearsNot => {}
                PeerOpinion::Unknown => continue,
            }
            asked += 1;
        }
        hearing * 2 > asked
    }
}
