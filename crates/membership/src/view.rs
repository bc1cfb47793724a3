//! What one gateway knows of the others from their heartbeats.

use std::collections;

use toucanledge_core::{
    Fingerprint, Incarnation, ListVersion, Millis, TableRevision, VmId, VmList, VmState,
};

use crate::cohort;
use crate::invariants;
use crate::leaving::LeavingBackends;
use crate::limits::{
    FREEZE_THRESHOLD_MS, HEARTBEAT_TIMEOUT_MS, MAX_HISTORY_VERSIONS, MAX_UNLISTED_PEERS,
    MAX_UNREACHABLE_REPORTED, STALE_HEARTBEAT_PERIOD_MS, UNLISTED_PEER_TTL_MS,
};
use crate::message::{CrashSuspicion, GatewayState, Heartbeat};
use crate::peer::{PeerState, ReportedReachability};
use crate::reachability::{ReachabilityTally, SelfReachability};
use crate::suspicion::SuspicionList;

/// How a heartbeat was classified.
///
/// Only heartbeats with the outcomes `Heard` and `NewIncarnation` may be used further, for example
/// as a confirmation for claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ReceiveOutcome {
    /// Newest heartbeat of a known process.
    Heard,
    /// First heartbeat of a process that replaced an earlier one, or of a new peer.
    NewIncarnation,
    /// Heartbeat of a process that was replaced; ignored.
    OldIncarnation,
    /// Heartbeat that arrived after a later one of the same process; ignored.
    OldHeartbeat,
    /// Heartbeat that may have waited in the socket while this gateway was frozen; ignored.
    Backlog,
    /// Heartbeat with the id of this gateway; ignored.
    OwnId,
    /// Heartbeat of an unlisted peer when too many of these are stored; ignored.
    #[strum(serialize = "too-many-strangers")]
    TooManyUnlisted,
}

/// Whether the process was frozen before a tick.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum TickOutcome {
    /// The process was not frozen.
    #[strum(serialize = "steady")]
    Normal,
    /// The process was frozen and has resumed since the last tick.
    #[strum(serialize = "woke")]
    Resumed,
}

/// Values for the heartbeats of a gateway that come from outside its view.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LocalStatus {
    /// The gateway is past the startup period and has a recovered list history, so it knows all
    /// earlier votes.
    pub established: bool,
    /// Active VM list versions.
    pub history: Vec<ListVersion>,
    /// Revision of the active table.
    pub table_revision: TableRevision,
}

/// What one gateway knows of the others from their heartbeats.
///
/// Call [`MembershipView::tick`] at least once a second. A gap of 1.7 s between two calls of
/// methods that take the time counts as a freeze of the process. All peers are then unreachable
/// until their next heartbeats.
#[derive(Clone, Debug)]
pub struct MembershipView {
    pub(crate) vm: VmId,
    pub(crate) state: GatewayState,
    pub(crate) now: Millis,
    pub(crate) peers: collections::BTreeMap<VmId, PeerState>,
    /// List version that first contained this gateway.
    pub(crate) self_listed_since: Option<ListVersion>,
    pub(crate) self_listed_as_leaving: bool,
    pub(crate) list_version: ListVersion,
    pub(crate) reachability: SelfReachability,
    incarnation: Incarnation,
    has_list: bool,
    /// The first event happened; a gap before it is no freeze.
    started: bool,
    /// Start of this process or end of its last freeze; echoes of earlier send times do not count.
    echo_valid_since: Millis,
    /// End of the last freeze.
    resumed_at: Option<Millis>,
    /// What the next tick returns.
    next_outcome: TickOutcome,
    suspicions: SuspicionList,
    leaving: LeavingBackends,
}

impl MembershipView {
    /// Creates the view of a gateway that starts now.
    #[must_use]
    pub fn new(vm: VmId, incarnation: Incarnation, now: Millis) -> Self {
        Self {
            vm,
            state: GatewayState::Live,
            now,
            peers: collections::BTreeMap::new(),
            self_listed_since: None,
            self_listed_as_leaving: false,
            list_version: ListVersion::default(),
            reachability: SelfReachability::new(),
            incarnation,
            has_list: false,
            started: false,
            echo_valid_since: now,
            resumed_at: None,
            next_outcome: TickOutcome::Normal,
            suspicions: SuspicionList::default(),
            leaving: LeavingBackends::default(),
        }
    }

    /// Applies a VM list, and returns whether it is newer than the current one.
    ///
    /// Peers of the first list count as reachable for 3 s, so that a new fleet starts with the
    /// dispatchers that the list implies. Peers that a later list adds count as reachable from
    /// their first heartbeat.
    pub fn set_list(&mut self, list: &VmList, now: Millis) -> bool {
        self.advance_clock(now);
        if self.has_list && list.version <= self.list_version {
            return false;
        }
        let assumed_reachable_at = (!self.has_list && self.resumed_at.is_none()).then_some(now);
        self.has_list = true;
        self.list_version = list.version;
        self.leaving.set_list(list);
        self.set_self_entry(list);
        self.set_cohort(list, assumed_reachable_at);
        true
    }

    /// Sets the state that heartbeats report.
    pub fn set_state(&mut self, state: GatewayState) {
        self.state = state;
    }

    /// Applies a heartbeat of a peer.
    pub fn handle_heartbeat(&mut self, heartbeat: &Heartbeat, now: Millis) -> ReceiveOutcome {
        self.advance_clock(now);
        let outcome = self.classify(heartbeat);
        if matches!(
            outcome,
            ReceiveOutcome::Heard | ReceiveOutcome::NewIncarnation
        ) {
            self.accept(heartbeat);
        }
        outcome
    }

    /// Advances the clock and removes what has expired; call it at least once a second.
    ///
    /// A freeze that was detected by another call is returned by the next tick.
    pub fn tick(&mut self, now: Millis) -> TickOutcome {
        self.advance_clock(now);
        self.suspicions.expire(now);
        self.expire_unlisted();
        self.update_reachability();
        std::mem::replace(&mut self.next_outcome, TickOutcome::Normal)
    }

    /// Returns the heartbeat for a peer.
    ///
    /// An unreachable receiver is always the first unreachable gateway in its heartbeat, so it gets
    /// this report even when a heartbeat cannot carry all. A gateway whose history is too long for
    /// a heartbeat does not report itself as established, because a truncated history must not
    /// confirm anything.
    pub fn heartbeat_for(&mut self, peer: VmId, now: Millis, status: &LocalStatus) -> Heartbeat {
        self.advance_clock(now);
        let mut history = status.history.clone();
        history.sort_unstable_by(|left, right| right.cmp(left));
        let fits = history.len() <= MAX_HISTORY_VERSIONS;
        history.truncate(MAX_HISTORY_VERSIONS);
        let heartbeat = Heartbeat {
            from: self.vm,
            incarnation: self.incarnation,
            state: self.state,
            established: status.established && fits,
            list_version: self.list_version,
            history,
            table_revision: status.table_revision,
            sent_at: now,
            echo: self.peers.get(&peer).and_then(|peer| peer.echo(now)),
            unreachable: self.unreachable_for(peer),
            suspicions: self.suspicions.most_recent(now),
            leaving: self.leaving.most_recent(),
        };
        invariants::check_heartbeat(&heartbeat);
        heartbeat
    }

    /// Records that this gateway lost a backend server that ran the request, and returns the crash
    /// suspicion of the request.
    pub fn record_backend_loss(&mut self, fingerprint: Fingerprint, now: Millis) -> CrashSuspicion {
        self.suspicions.record_backend_loss(fingerprint, now)
    }

    /// Records that a backend server reported itself as leaving, and returns whether that was not
    /// known before.
    pub fn record_leaving_backend(&mut self, backend: VmId) -> bool {
        self.leaving.insert(backend)
    }

    /// Returns the backend servers that are leaving although the VM list has them as live.
    #[must_use]
    pub fn leaving_backends(&self) -> collections::BTreeSet<VmId> {
        self.leaving.all()
    }

    /// Returns the crash suspicion of a request, if there is one.
    #[must_use]
    pub fn suspicion(&self, fingerprint: Fingerprint, now: Millis) -> Option<CrashSuspicion> {
        self.suspicions.get(fingerprint, now)
    }

    /// Returns all crash suspicions, the most recent first.
    #[must_use]
    pub fn suspicions(&self, now: Millis) -> Vec<CrashSuspicion> {
        self.suspicions.all(now)
    }

    fn classify(&mut self, heartbeat: &Heartbeat) -> ReceiveOutcome {
        if heartbeat.from == self.vm {
            return ReceiveOutcome::OwnId;
        }
        if self.may_be_stale(heartbeat) {
            return ReceiveOutcome::Backlog;
        }
        let Some(peer) = self.peers.get(&heartbeat.from) else {
            return self.classify_unlisted();
        };
        if heartbeat.incarnation < peer.incarnation {
            return ReceiveOutcome::OldIncarnation;
        }
        match &peer.last_heartbeat {
            Some(last) if heartbeat.incarnation == peer.incarnation => {
                if heartbeat.sent_at < last.sent_at {
                    return ReceiveOutcome::OldHeartbeat;
                }
                ReceiveOutcome::Heard
            }
            _ => ReceiveOutcome::NewIncarnation,
        }
    }

    fn may_be_stale(&self, heartbeat: &Heartbeat) -> bool {
        let Some(resumed_at) = self.resumed_at else {
            return false;
        };
        let echoes_new_heartbeat = heartbeat
            .echo
            .is_some_and(|echo| echo >= resumed_at && echo <= self.now);
        self.now.since(resumed_at) < STALE_HEARTBEAT_PERIOD_MS && !echoes_new_heartbeat
    }

    fn classify_unlisted(&self) -> ReceiveOutcome {
        let unlisted = self.peers.values().filter(|peer| !peer.is_listed()).count();
        if unlisted >= MAX_UNLISTED_PEERS {
            return ReceiveOutcome::TooManyUnlisted;
        }
        ReceiveOutcome::NewIncarnation
    }

    fn accept(&mut self, heartbeat: &Heartbeat) {
        let now = self.now;
        self.peers
            .entry(heartbeat.from)
            .or_insert_with(PeerState::unlisted)
            .apply(heartbeat, now);
        for suspicion in &heartbeat.suspicions {
            self.suspicions.merge(*suspicion, now);
        }
        for backend in &heartbeat.leaving {
            self.leaving.insert(*backend);
        }
        self.update_reachability();
    }

    /// Advances the clock, and resets the state of all peers after a freeze.
    fn advance_clock(&mut self, now: Millis) {
        let gap = now.since(self.now);
        let is_first = !std::mem::replace(&mut self.started, true);
        self.now = self.now.max(now);
        if is_first || gap < FREEZE_THRESHOLD_MS {
            return;
        }
        self.resumed_at = Some(now);
        self.next_outcome = TickOutcome::Resumed;
        self.echo_valid_since = now;
        self.reachability.reset_after_freeze(now);
        for peer in self.peers.values_mut() {
            peer.last_heartbeat_at = None;
        }
    }

    fn set_self_entry(&mut self, list: &VmList) {
        let entry = list.gateways().find(|entry| entry.vm == self.vm);
        self.self_listed_as_leaving = entry.is_some_and(|entry| entry.state == VmState::Leaving);
        self.self_listed_since = entry.map(|_| self.self_listed_since.unwrap_or(list.version));
    }

    fn set_cohort(&mut self, list: &VmList, assumed_reachable_at: Option<Millis>) {
        let cohort = cohort::cohort_of(self.vm, list);
        let leaving: collections::BTreeSet<VmId> = list
            .gateways()
            .filter(|entry| entry.state == VmState::Leaving)
            .map(|entry| entry.vm)
            .collect();
        for (vm, peer) in &mut self.peers {
            if !cohort.contains(vm) {
                peer.listed_since = None;
            }
        }
        for vm in cohort.into_iter().filter(|vm| *vm != self.vm) {
            let peer = self.peers.entry(vm).or_insert_with(|| PeerState {
                last_heartbeat_at: assumed_reachable_at,
                ..PeerState::unlisted()
            });
            peer.listed_since.get_or_insert(list.version);
            peer.listed_as_leaving = leaving.contains(&vm);
        }
    }

    /// Returns the unreachable peers: the receiver first, then the others by their last heartbeat,
    /// the most recent first, and leaving ones at the end.
    ///
    /// For 3 s after a freeze the result is empty. All peers are unreachable for a gateway that
    /// just resumed, and its reports would make a healthy gateway lose its shards in a fleet of 2,
    /// or when many gateways resume at once.
    fn unreachable_for(&self, receiver: VmId) -> Vec<VmId> {
        if self
            .resumed_at
            .is_some_and(|resumed_at| self.now.since(resumed_at) <= HEARTBEAT_TIMEOUT_MS)
        {
            return Vec::new();
        }
        let mut unreachable: Vec<(bool, bool, Option<Millis>, VmId)> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_listed() && !peer.is_reachable(self.now))
            .map(|(vm, peer)| {
                (
                    *vm == receiver,
                    !peer.is_leaving(),
                    peer.last_heartbeat_at,
                    *vm,
                )
            })
            .collect();
        unreachable.sort_unstable_by(|left, right| right.cmp(left));
        unreachable.truncate(MAX_UNREACHABLE_REPORTED);
        unreachable.into_iter().map(|(_, _, _, vm)| vm).collect()
    }

    fn expire_unlisted(&mut self) {
        let now = self.now;
        self.peers.retain(|_, peer| {
            peer.is_listed()
                || peer
                    .last_heartbeat_at
                    .is_some_and(|arrived| now.since(arrived) < UNLISTED_PEER_TTL_MS)
        });
    }

    fn update_reachability(&mut self) {
        let mut tally = ReachabilityTally::default();
        for peer in self.peers.values().filter(|peer| peer.is_listed()) {
            let Some(heartbeat) = peer.reachable_heartbeat(self.now) else {
                continue;
            };
            tally.reachable += 1;
            match heartbeat.reachability_of_receiver(self.vm, self.echo_valid_since) {
                ReportedReachability::Reachable => tally.confirming += 1,
                ReportedReachability::Unreachable => tally.reporting_unreachable += 1,
                ReportedReachability::Unknown => {}
            }
        }
        self.reachability.update(tally, self.now);
    }
}
