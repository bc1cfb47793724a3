//! Active VM list versions, and the lease on the newest of them.

mod recovery;

use std::collections;

use toucanledge_core::{Incarnation, ListVersion, Millis, VmId, VmList};

use crate::invariants;
use crate::message::ClaimKey;
use crate::peer::{PeerHistory, PeerHistoryReport};
use crate::retention::RetentionWindow;
use crate::rules::{ClaimRules, DISPATCH_PERMIT_MS, LEASE_MS, MAX_HISTORY_VERSIONS};
use crate::version_gateways::{self, VersionGateways};
use crate::voters;

/// What [`ListHistory::add_list`] did with a VM list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum AddListOutcome {
    /// The list is now the newest version.
    Adopted,
    /// The list is an older active version.
    Merged,
    /// The version was already known.
    Known,
    /// The version is retired.
    Retired,
    /// The list has no gateway, so no majority of it could ever confirm anything.
    NoGateways,
}

/// List versions that a gateway reports in its heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HistoryReport {
    /// The gateway is past the startup period and has a recovered history, so it knows all earlier
    /// votes.
    pub established: bool,
    /// Newest list version.
    pub list_version: ListVersion,
    /// Active versions; empty when there are more than 16.
    pub history: Vec<ListVersion>,
    /// Send time that peers echo.
    pub sent_at: Millis,
}

/// The active VM list versions of one gateway, and what its peers confirmed of them.
///
/// A version is active until it is retired, that is, until no vote under it can count any more.
///
/// The history of a gateway that starts is not recovered: the gateway cannot know whether it has
/// all active versions. The history is recovered once the lease holds without the gateway's own
/// confirmation, or once every gateway of its list confirms it. Without this rule, gateways that
/// restarted on one side of a network partition would form a majority that knows nothing of the
/// other side.
///
/// When no gateway of the list is established, the fleet makes a cold start: older versions are
/// retired, and a full retention window passes before any gateway is established.
#[derive(Clone, Debug)]
pub struct ListHistory {
    vm: VmId,
    incarnation: Incarnation,
    window: RetentionWindow,
    rules: ClaimRules,
    recovered: bool,
    /// The startup period has passed. A longer retention window later does not change that,
    /// because votes from before the start were made under the shorter one.
    past_startup_period: bool,
    /// When the gateway took part in the cold start of a fleet.
    cold_start_at: Option<Millis>,
    /// Versions older than this one are retired.
    oldest_active: ListVersion,
    versions: collections::BTreeMap<ListVersion, VersionGateways>,
    /// Versions with the same gateways as a newer version in `versions`.
    superseded: collections::BTreeSet<ListVersion>,
    /// When the lease first held under a version.
    lease_held_since: collections::BTreeMap<ListVersion, Millis>,
    peers: collections::BTreeMap<VmId, PeerHistory>,
}

impl ListHistory {
    /// Creates the history of a gateway that just started.
    ///
    /// `window_ms` is the longest retention window of the routing table.
    #[must_use]
    pub fn new(vm: VmId, incarnation: Incarnation, window_ms: u64) -> Self {
        Self::with_rules(vm, incarnation, window_ms, ClaimRules::default())
    }

    /// Creates a history with some rules turned off, for tests.
    #[doc(hidden)]
    #[must_use]
    pub fn with_rules(
        vm: VmId,
        incarnation: Incarnation,
        window_ms: u64,
        rules: ClaimRules,
    ) -> Self {
        Self {
            vm,
            incarnation,
            window: RetentionWindow::new(window_ms),
            rules,
            recovered: !rules.recovered_history,
            past_startup_period: false,
            cold_start_at: None,
            oldest_active: ListVersion(0),
            versions: collections::BTreeMap::new(),
            superseded: collections::BTreeSet::new(),
            lease_held_since: collections::BTreeMap::new(),
            peers: collections::BTreeMap::new(),
        }
    }

    /// Sets the longest retention window of the routing table.
    pub fn set_window(&mut self, window_ms: u64, now: Millis) {
        self.update_state(now);
        self.window.set(window_ms, now);
    }

    /// Adds a newer list, or an older one that is still active at a peer.
    pub fn add_list(&mut self, list: VmList, now: Millis) -> AddListOutcome {
        let version = list.version;
        let gateways = VersionGateways::new(list);
        if gateways.gateways.is_empty() {
            return AddListOutcome::NoGateways;
        }
        if version < self.oldest_active {
            return AddListOutcome::Retired;
        }
        if self.knows(version) {
            return AddListOutcome::Known;
        }
        let is_newest = self.newest_version().is_none_or(|newest| newest < version);
        self.versions.insert(version, gateways);
        // A lease that held without this version in the history does not count for retirement.
        self.lease_held_since.retain(|held, _| *held < version);
        self.superseded
            .extend(version_gateways::remove_superseded(&mut self.versions));
        self.update_state(now);
        invariants::check_history(self.oldest_active, self.versions.keys());
        if is_newest {
            AddListOutcome::Adopted
        } else {
            AddListOutcome::Merged
        }
    }

    /// Applies a peer's heartbeat.
    pub fn apply_peer_report(&mut self, report: PeerHistoryReport, now: Millis) {
        if report.peer == self.vm {
            return;
        }
        let peer = report.peer;
        let newest_echo = self.echoed_send_time(report.echo, now);
        let history = PeerHistory::new(report, newest_echo);
        match self.peers.entry(peer) {
            collections::btree_map::Entry::Occupied(mut entry) => entry.get_mut().update(history),
            collections::btree_map::Entry::Vacant(entry) => {
                entry.insert(history);
            }
        }
        self.update_state(now);
    }

    /// Records whether the lease holds, and returns the versions that are retired by that.
    pub fn tick(&mut self, now: Millis) -> Vec<ListVersion> {
        self.update_state(now);
        if let Some(newest) = self.newest_version()
            && self.recovered
            && self.is_lease_held(now)
        {
            self.lease_held_since.entry(newest).or_insert(now);
        }
        // The last vote under an older version is given at most one lease after the majority
        // confirmed a newer one. Its claim attempt dispatches before the permit expires, and the
        // retention window counts from then.
        let retirement_delay_ms = self.window.at(now) + LEASE_MS + DISPATCH_PERMIT_MS;
        let retiring = self
            .lease_held_since
            .iter()
            .rev()
            .find(|(_, since)| now.since(**since) >= retirement_delay_ms)
            .map(|(version, _)| *version);
        retiring.map_or_else(Vec::new, |version| self.retire_before(version, now))
    }

    /// Returns whether a majority of the gateways of every active version confirmed the newest one.
    #[must_use]
    pub fn is_lease_held(&self, now: Millis) -> bool {
        if !self.rules.lease {
            return !self.versions.is_empty();
        }
        !self.versions.is_empty()
            && self
                .versions
                .values()
                .all(|version| self.has_majority(version, now))
    }

    /// Returns whether this gateway knows all votes and list versions that still count: it is past
    /// the startup period and its history is recovered.
    #[must_use]
    pub fn is_established(&self, now: Millis) -> bool {
        let past_startup = self.is_past_startup_period(now) || !self.rules.established;
        self.recovered && self.versions.len() <= MAX_HISTORY_VERSIONS && past_startup
    }

    /// Returns whether this gateway is a voter of the key in every active version.
    ///
    /// It also returns false while an active version has a larger quorum than the newest one,
    /// because a smaller quorum need not share a voter with it.
    #[must_use]
    pub fn is_voter_in_all_versions(&self, key: ClaimKey) -> bool {
        let Some(list) = self.newest_list() else {
            return false;
        };
        let current = voters::voters(list, key);
        let rules = self.rules;
        current.contains(&self.vm)
            && self.versions.values().all(|version| {
                let earlier = voters::voters(&version.list, key);
                let is_voter = earlier.contains(&self.vm);
                let has_quorum = voters::quorum(earlier.len()) <= voters::quorum(current.len());
                (is_voter || !rules.voter_in_all_versions) && (has_quorum || !rules.quorum_size)
            })
    }

    /// Returns the newest version.
    #[must_use]
    pub fn newest_version(&self) -> Option<ListVersion> {
        self.versions.keys().next_back().copied()
    }

    /// Returns the list of the newest version.
    #[must_use]
    pub fn newest_list(&self) -> Option<&VmList> {
        self.versions
            .values()
            .next_back()
            .map(|version| &version.list)
    }

    /// Returns the list of an active version.
    #[must_use]
    pub fn list(&self, version: ListVersion) -> Option<&VmList> {
        self.versions.get(&version).map(|version| &version.list)
    }

    /// Returns the active versions, oldest first.
    pub fn versions(&self) -> impl Iterator<Item = ListVersion> {
        self.versions.keys().copied()
    }

    /// Returns versions that peers reported and this gateway lacks, each with a peer that has it.
    #[must_use]
    pub fn missing_versions(&self) -> collections::BTreeMap<ListVersion, VmId> {
        let reported = self.peers.iter().flat_map(|(peer, history)| {
            history
                .history
                .iter()
                .chain([&history.list_version])
                .map(|version| (*version, *peer))
        });
        reported
            .filter(|(version, _)| version.0 > 0 && !self.knows(*version))
            .collect()
    }

    /// Returns the list versions that the next heartbeat reports.
    #[must_use]
    pub fn report(&self, now: Millis) -> HistoryReport {
        let fits = self.versions.len() <= MAX_HISTORY_VERSIONS;
        HistoryReport {
            established: self.is_established(now),
            list_version: self.newest_version().unwrap_or_default(),
            history: if fits {
                self.versions().collect()
            } else {
                Vec::new()
            },
            sent_at: self.heartbeat_timestamp(now),
        }
    }

    /// Returns the send time that a heartbeat carries for peers to echo.
    ///
    /// It adds the incarnation, a time since 1970, to the local clock. An echo of a heartbeat of
    /// an earlier process of this VM therefore differs from every send time of this process.
    #[must_use]
    pub fn heartbeat_timestamp(&self, now: Millis) -> Millis {
        now + self.incarnation.0
    }

    pub(crate) const fn rules(&self) -> ClaimRules {
        self.rules
    }

    fn echoed_send_time(&self, echo: Option<Millis>, now: Millis) -> Option<Millis> {
        if !self.rules.lease_from_echo {
            return Some(now);
        }
        let elapsed = echo?.0.checked_sub(self.incarnation.0)?;
        (elapsed <= now.0).then_some(Millis(elapsed))
    }

    fn knows(&self, version: ListVersion) -> bool {
        version < self.oldest_active
            || self.versions.contains_key(&version)
            || self.superseded.contains(&version)
    }

    fn knows_all_of(&self, peer: &PeerHistory) -> bool {
        peer.has_complete_history() && peer.history.iter().all(|version| self.knows(*version))
    }

    fn has_majority(&self, version: &VersionGateways, now: Millis) -> bool {
        let confirmed = version
            .gateways
            .keys()
            .filter(|vm| self.is_confirmed_by(**vm, now))
            .count();
        confirmed * 2 > version.gateways.len()
    }

    fn is_confirmed_by(&self, vm: VmId, now: Millis) -> bool {
        if vm == self.vm {
            return self.is_established(now);
        }
        let peer = self.peers.get(&vm);
        peer.is_some_and(|peer| peer.established && self.confirms_newest(peer, now))
    }

    fn confirms_newest(&self, peer: &PeerHistory, now: Millis) -> bool {
        Some(peer.list_version) == self.newest_version()
            && peer.is_fresh(now)
            && self.knows_all_of(peer)
    }

    /// Retires the versions that established peers retired, and recovers the history if possible.
    fn update_state(&mut self, now: Millis) {
        let confirmed = self
            .peers
            .values()
            .filter(|peer| peer.established && self.knows_all_of(peer));
        let oldest = confirmed.filter_map(|peer| peer.history.iter().min()).max();
        if let Some(oldest) = oldest.copied() {
            self.retire_before(oldest, now);
        }
        self.update_recovery(now);
    }

    fn retire_before(&mut self, oldest: ListVersion, now: Millis) -> Vec<ListVersion> {
        if oldest <= self.oldest_active {
            return Vec::new();
        }
        self.oldest_active = oldest;
        let active = self.versions.split_off(&self.oldest_active);
        let retired = std::mem::replace(&mut self.versions, active);
        self.superseded = self.superseded.split_off(&self.oldest_active);
        self.lease_held_since = self.lease_held_since.split_off(&self.oldest_active);
        let versions = &self.versions;
        self.peers.retain(|vm, peer| {
            peer.is_fresh(now)
                || versions
                    .values()
                    .any(|version| version.gateways.contains_key(vm))
        });
        invariants::check_history(self.oldest_active, self.versions.keys());
        retired.into_keys().collect()
    }
}
