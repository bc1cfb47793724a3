//! Queries on the membership view.

use toucanledge_core::{Incarnation, ListVersion, TableRevision, VmId};

use crate::message::GatewayState;
use crate::peer::{LastHeartbeat, ReportedReachability};
use crate::view::MembershipView;

/// A version and the reachable peers that have it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewestVersion<Version> {
    /// Newest version that a reachable peer reports.
    pub version: Version,
    /// Peers that have the version, in order of their ids.
    pub peers: Vec<VmId>,
}

/// Queries on the state as of the last event; call [`MembershipView::tick`] before them.
impl MembershipView {
    /// Returns the peers to send heartbeats to.
    pub fn heartbeat_targets(&self) -> impl Iterator<Item = VmId> {
        self.peers
            .iter()
            .filter(|(_, peer)| peer.is_listed())
            .map(|(vm, _)| *vm)
    }

    /// Returns whether a gateway is reachable; this gateway itself always is.
    #[must_use]
    pub fn is_reachable(&self, vm: VmId) -> bool {
        vm == self.vm
            || self
                .peers
                .get(&vm)
                .is_some_and(|peer| peer.is_reachable(self.now))
    }

    /// Returns the incarnation of a peer, or `None` before its first heartbeat.
    #[must_use]
    pub fn incarnation_of(&self, vm: VmId) -> Option<Incarnation> {
        let peer = self.peers.get(&vm)?;
        peer.last_heartbeat.as_ref().map(|_| peer.incarnation)
    }

    /// Returns whether a gateway is live: it is in the VM list, not leaving, and reachable for more
    /// than half of the gateways that are reachable for this one, itself included.
    ///
    /// A gateway is left out of the count when it may not have the other one in its list, or when
    /// it reports as many unreachable gateways as a heartbeat carries. For this gateway itself,
    /// [`MembershipView::is_reachable_by_majority`] must hold too.
    #[must_use]
    pub fn is_live(&self, vm: VmId) -> bool {
        if vm == self.vm {
            return self.is_self_live();
        }
        let Some(peer) = self.peers.get(&vm) else {
            return false;
        };
        let Some(listed_since) = peer.listed_since else {
            return false;
        };
        !peer.is_leaving() && self.is_reachable_for_most(vm, listed_since)
    }

    /// Returns the live gateways of the cohort, in order of their ids.
    #[must_use]
    pub fn live_gateways(&self) -> Vec<VmId> {
        let mut live: Vec<VmId> = self
            .heartbeat_targets()
            .filter(|vm| self.is_live(*vm))
            .collect();
        if self.is_self_live() {
            live.push(self.vm);
            live.sort_unstable();
        }
        live
    }

    /// Returns whether this gateway is reachable for most of its reachable peers.
    ///
    /// The value changes once most peers reported the contrary for 1.5 s. After a freeze it is
    /// `false` until most reachable peers echo a heartbeat that was sent since.
    #[must_use]
    pub fn is_reachable_by_majority(&self) -> bool {
        self.reachability.is_reachable()
    }

    /// Returns the newest VM list version of the reachable peers.
    #[must_use]
    pub fn newest_list(&self) -> Option<NewestVersion<ListVersion>> {
        self.newest(|heartbeat| heartbeat.list_version)
    }

    /// Returns the newest table revision of the reachable peers.
    #[must_use]
    pub fn newest_table(&self) -> Option<NewestVersion<TableRevision>> {
        self.newest(|heartbeat| heartbeat.table_revision)
    }

    fn newest<Version: Ord + Copy>(
        &self,
        version_of: impl Fn(&LastHeartbeat) -> Version,
    ) -> Option<NewestVersion<Version>> {
        let heartbeats = || {
            self.peers
                .iter()
                .filter_map(|(vm, peer)| Some((*vm, peer.reachable_heartbeat(self.now)?)))
        };
        let version = heartbeats()
            .map(|(_, heartbeat)| version_of(heartbeat))
            .max()?;
        let peers = heartbeats()
            .filter(|(_, heartbeat)| version_of(heartbeat) == version)
            .map(|(vm, _)| vm)
            .collect();
        Some(NewestVersion { version, peers })
    }

    fn is_self_live(&self) -> bool {
        let Some(listed_since) = self.self_listed_since else {
            return false;
        };
        self.state == GatewayState::Live
            && !self.self_listed_as_leaving
            && self.is_reachable_by_majority()
            && self.is_reachable_for_most(self.vm, listed_since)
    }

    fn is_reachable_for_most(&self, vm: VmId, listed_since: ListVersion) -> bool {
        let mut reachable_for = usize::from(self.is_reachable(vm));
        let mut counted = 1;
        for (reporter, peer) in &self.peers {
            if !peer.is_listed() {
                continue;
            }
            let Some(heartbeat) = peer.reachable_heartbeat(self.now) else {
                continue;
            };
            let reachability = if *reporter == vm {
                ReportedReachability::Reachable
            } else {
                heartbeat.reachability_of(vm, listed_since)
            };
            match reachability {
                ReportedReachability::Reachable => reachable_for += 1,
                ReportedReachability::Unreachable => {}
                ReportedReachability::Unknown => continue,
            }
            counted += 1;
        }
        reachable_for * 2 > counted
    }
}
