//! Heartbeat view of one gateway.

use std::collections;

use toucanledge_core::{
    Fingerprint, Incarnation, ListVersion, Millis, TableRevision, VmId, VmList, VmState,
};

use crate::cohort;
use crate::departure::DepartureList;
use crate::hearing::{HearingTally, OwnHearing};
use crate::invariant;
use crate::limits::{
    FREEZE_THRESHOLD_MS, HEARTBEAT_TIMEOUT_MS, MAX_HISTORY_VERSIONS, MAX_UNLISTED_PEERS,
    MAX_UNREACHABLE_REPORTED, STALE_HEARTBEAT_PERIOD_MS, UNLISTED_PEER_TTL_MS,
};
use crate::message::{CrashSuspicion, GatewayState, Heartbeat};
use crate::peer::{PeerOpinion, PeerState};
use crate::suspicion::SuspicionList;

/// What became of a heartbeat.
///
/// Only the heartbeats of the outcomes `Heard` and `NewIncarnation` may be used as evidence, for
/// example as a confirmation for claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ReceiveOutcome {
    /// The heartbeat is the newest of a known process.
    Heard,
    /// The heartbeat is the first of a process that replaced an earlier one, or of a new peer.
    NewIncarnation,
    /// The heartbeat is of a process that was replaced; ignored.
    OldIncarnation,
    /// A later heartbeat of the same process arrived before; ignored.
    OldHeartbeat,
    /// The heartbeat may have waited in the socket while this gateway was frozen; ignored.
    Backlog,
    /// The heartbeat carries the id of this gateway; ignored.
    OwnId,
    /// The sender is outside the cohort and too many such senders are remembered; ignored.
    #[strum(serialize = "too-many-strangers")]
    TooManyUnlisted,
}

/// What a tick found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum TickOutcome {
    /// Time passed as it should.
    #[strum(serialize = "steady")]
    Normal,
    /// This gateway was frozen since the last event.
    #[strum(serialize = "woke")]
    Resumed,
}

/// What a gateway reports of itself beside what its view knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LocalStatus {
    /// The gateway has run long enough to know all earlier votes.
    pub established: bool,
    /// List versions that are not retired.
    pub history: Vec<ListVersion>,
    /// Table revision in force.
    pub table_revision: TableRevision,
}

/// Heartbeat view of one gateway.
///
/// Call [`MembershipView::tick`] at least once a second. A pause of 2 s between two calls of any
/// method that takes the time counts as a freeze: the view then starts anew.
#[derive(Clone, Debug)]
pub struct MembershipView {
    pub(crate) vm: VmId,
    pub(crate) state: GatewayState,
    pub(crate) now: Millis,
    pub(crate) peers: collections::BTreeMap<VmId, PeerState>,
    /// List version that first named this gateway.
    pub(crate) own_listed_since: Option<ListVersion>,
    pub(crate) own_list_leaving: bool,
    pub(crate) list: ListVersion,
    pub(crate) hearing: OwnHearing,
    incarnation: Incarnation,
    has_list: bool,
    /// The first event happened; a pause before it is no freeze.
    started: bool,
    /// Start of this process or its last wake; echoes of earlier send times prove nothing.
    fresh_since: Millis,
    woke: Option<Millis>,
    /// What the next tick tells.
    next_outcome: TickOutcome,
    suspicions: SuspicionList,
    departures: DepartureList,
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
            own_listed_since: None,
            own_list_leaving: false,
            list: ListVersion::default(),
            hearing: OwnHearing::new(),
            incarnation,
            has_list: false,
            started: false,
            fresh_since: now,
            woke: None,
            next_outcome: TickOutcome::Normal,
            suspicions: SuspicionList::default(),
            departures: DepartureList::default(),
        }
    }

    /// Takes a VM list and returns whether it is newer than the present one.
    ///
    /// With the first list, peers are assumed to be heard for 3 s, so that a fresh fleet starts
    /// with the owners that the list implies. Peers that a later list adds count once heard.
    pub fn set_list(&mut self, list: &VmList, now: Millis) -> bool {
        self.pass_time(now);
        if self.has_list && list.version <= self.list {
            return false;
        }
        let assumed = (!self.has_list && self.woke.is_none()).then_some(now);
        self.has_list = true;
        self.list = list.version;
        self.departures.set_list(list);
        self.set_own_entry(list);
        self.set_cohort(list, assumed);
        true
    }

    /// Sets the state that heartbeats report.
    pub fn set_state(&mut self, state: GatewayState) {
        self.state = state;
    }

    /// Takes a heartbeat.
    pub fn handle_heartbeat(&mut self, heartbeat: &Heartbeat, now: Millis) -> ReceiveOutcome {
        self.pass_time(now);
        let outcome = self.judge(heartbeat);
        if matches!(
            outcome,
            ReceiveOutcome::Heard | ReceiveOutcome::NewIncarnation
        ) {
            self.accept(heartbeat);
        }
        outcome
    }

    /// Lets time pass; call it at least once a second.
    ///
    /// A freeze that another event noticed first is told by the next tick.
    pub fn tick(&mut self, now: Millis) -> TickOutcome {
        self.pass_time(now);
        self.suspicions.expire(now);
        self.forget_strangers();
        self.update_hearing();
        std::mem::replace(&mut self.next_outcome, TickOutcome::Normal)
    }

    /// Returns the heartbeat for a peer.
    ///
    /// A receiver that is not heard is always the first exception, so it learns of it even when
    /// there are more exceptions than a heartbeat carries. A gateway whose history is too long for
    /// a heartbeat does not report itself as established, because a shortened history must not
    /// confirm anything.
    pub fn heartbeat_for(&mut self, peer: VmId, now: Millis, status: &LocalStatus) -> Heartbeat {
        self.pass_time(now);
        let mut history = status.history.clone();
        history.sort_unstable_by(|left, right| right.cmp(left));
        let whole_history = history.len() <= MAX_HISTORY_VERSIONS;
        history.truncate(MAX_HISTORY_VERSIONS);
        let heartbeat = Heartbeat {
            from: self.vm,
            incarnation: self.incarnation,
            state: self.state,
            established: status.established && whole_history,
            list_version: self.list,
            history,
            table_revision: status.table_revision,
            sent_at: now,
            echo: self.peers.get(&peer).and_then(|peer| peer.echo(now)),
            unreachable: self.exceptions_for(peer),
            suspicions: self.suspicions.youngest(now),
            leaving: self.departures.latest(),
        };
        invariant::check_heartbeat(&heartbeat);
        heartbeat
    }

    /// Notes a backend server that this gateway lost to a request, and returns what is known.
    pub fn record_backend_loss(&mut self, fingerprint: Fingerprint, now: Millis) -> CrashSuspicion {
        self.suspicions.note_loss(fingerprint, now)
    }

    /// Notes a backend server that said that it is leaving, and returns whether that is news.
    pub fn record_leaving_backend(&mut self, backend: VmId) -> bool {
        self.departures.note(backend)
    }

    /// Returns the backend servers that are leaving although the VM list has them as live.
    #[must_use]
    pub fn leaving_backends(&self) -> collections::BTreeSet<VmId> {
        self.departures.all()
    }

    /// Returns what is known of a request suspected of crashing backend servers.
    #[must_use]
    pub fn suspicion(&self, fingerprint: Fingerprint, now: Millis) -> Option<CrashSuspicion> {
        self.suspicions.get(fingerprint, now)
    }

    /// Returns all suspicions, the youngest first.
    #[must_use]
    pub fn suspicions(&self, now: Millis) -> Vec<CrashSuspicion> {
        self.suspicions.all(now)
    }

    fn judge(&mut self, heartbeat: &Heartbeat) -> ReceiveOutcome {
        if heartbeat.from == self.vm {
            return ReceiveOutcome::OwnId;
        }
        if self.may_be_backlog(heartbeat) {
            return ReceiveOutcome::Backlog;
        }
        let Some(peer) = self.peers.get(&heartbeat.from) else {
            return self.judge_stranger();
        };
        if heartbeat.incarnation < peer.incarnation {
            return ReceiveOutcome::OldIncarnation;
        }
        match &peer.report {
            Some(report) if heartbeat.incarnation == peer.incarnation => {
                if heartbeat.sent_at < report.sent {
                    return ReceiveOutcome::OldHeartbeat;
                }
                ReceiveOutcome::Heard
            }
            _ => ReceiveOutcome::NewIncarnation,
        }
    }

    fn may_be_backlog(&self, heartbeat: &Heartbeat) -> bool {
        let Some(woke) = self.woke else {
            return false;
        };
        let sent_since = heartbeat
            .echo
            .is_some_and(|echo| echo >= woke && echo <= self.now);
        self.now.since(woke) < STALE_HEARTBEAT_PERIOD_MS && !sent_since
    }

    fn judge_stranger(&self) -> ReceiveOutcome {
        let strangers = self.peers.values().filter(|peer| !peer.is_listed()).count();
        if strangers >= MAX_UNLISTED_PEERS {
            return ReceiveOutcome::TooManyUnlisted;
        }
        ReceiveOutcome::NewIncarnation
    }

    fn accept(&mut self, heartbeat: &Heartbeat) {
        let now = self.now;
        self.peers
            .entry(heartbeat.from)
            .or_insert_with(PeerState::stranger)
            .take(heartbeat, now);
        for suspicion in &heartbeat.suspicions {
            self.suspicions.merge(*suspicion, now);
        }
        for backend in &heartbeat.leaving {
            self.departures.note(*backend);
        }
        self.update_hearing();
    }

    /// Moves the clock on and starts the view anew after a freeze.
    fn pass_time(&mut self, now: Millis) {
        let gap = now.since(self.now);
        let starts = !std::mem::replace(&mut self.started, true);
        self.now = self.now.max(now);
        if starts || gap < FREEZE_THRESHOLD_MS {
            return;
        }
        self.woke = Some(now);
        self.next_outcome = TickOutcome::Resumed;
        self.fresh_since = now;
        self.hearing.wake(now);
        for peer in self.peers.values_mut() {
            peer.last_heard = None;
        }
    }

    fn set_own_entry(&mut self, list: &VmList) {
        let entry = list.gateways().find(|entry| entry.vm == self.vm);
        self.own_list_leaving = entry.is_some_and(|entry| entry.state == VmState::Leaving);
        self.own_listed_since = entry.map(|_| self.own_listed_since.unwrap_or(list.version));
    }

    fn set_cohort(&mut self, list: &VmList, assumed: Option<Millis>) {
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
                last_heard: assumed,
                ..PeerState::stranger()
            });
            peer.listed_since.get_or_insert(list.version);
            peer.list_leaving = leaving.contains(&vm);
        }
    }

    /// Returns the peers that are not heard: the receiver first, then those lost last, and leaving
    /// ones at the end.
    ///
    /// For 3 s after a wake nothing is named. A woken gateway hears nobody at first, and its
    /// exceptions would cost a healthy gateway its shards in a fleet of 2, or when many wake at
    /// once.
    fn exceptions_for(&self, receiver: VmId) -> Vec<VmId> {
        if self
            .woke
            .is_some_and(|woke| self.now.since(woke) <= HEARTBEAT_TIMEOUT_MS)
        {
            return Vec::new();
        }
        let mut unheard: Vec<(bool, bool, Option<Millis>, VmId)> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_listed() && !peer.is_heard(self.now))
            .map(|(vm, peer)| (*vm == receiver, !peer.is_leaving(), peer.last_heard, *vm))
            .collect();
        unheard.sort_unstable_by(|left, right| right.cmp(left));
        unheard.truncate(MAX_UNREACHABLE_REPORTED);
        unheard.into_iter().map(|(_, _, _, vm)| vm).collect()
    }

    fn forget_strangers(&mut self) {
        let now = self.now;
        self.peers.retain(|_, peer| {
            peer.is_listed()
                || peer
                    .last_heard
                    .is_some_and(|heard| now.since(heard) < UNLISTED_PEER_TTL_MS)
        });
    }

    fn update_hearing(&mut self) {
        let mut tally = HearingTally::default();
        for peer in self.peers.values().filter(|peer| peer.is_listed()) {
            let Some(report) = peer.heard_report(self.now) else {
                continue;
            };
            tally.heard += 1;
            match report.opinion_of_receiver(self.vm, self.fresh_since) {
                PeerOpinion::Hears => tally.hearing += 1,
                PeerOpinion::HearsNot => tally.not_hearing += 1,
                PeerOpinion::Unknown => {}
            }
        }
        self.hearing.update(tally, self.now);
    }
}
