//! VM list versions that are not retired, and the lease on the greatest of them.

mod root;

use std::collections;

use toucanledge_core::{Incarnation, ListVersion, Millis, VmId, VmList};

use crate::check;
use crate::group::{self, ListGroup};
use crate::message::ClaimKey;
use crate::peer::{PeerHistoryReport, PeerView};
use crate::rules::{ClaimRules, DISPATCH_PERMIT_MS, LEASE_MS, MAX_HISTORY_VERSIONS};
use crate::voters;
use crate::window::ClaimWindow;

/// What the history did with a VM list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum AddListOutcome {
    /// The list is the greatest version now.
    Adopted,
    /// The list is an older version that is not retired.
    Merged,
    /// The version was known.
    Known,
    /// The version is retired.
    Retired,
    /// The list names no gateway; no majority of it could ever confirm anything.
    NoGateways,
}

/// What a gateway's heartbeat says about its list versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HistoryReport {
    /// The gateway has a complete history and has run long enough to know all earlier votes.
    pub established: bool,
    /// Greatest list version.
    pub list_version: ListVersion,
    /// Versions that are not retired; empty when there are more than 16.
    pub history: Vec<ListVersion>,
    /// Send time that peers echo.
    pub sent_at: Millis,
}

/// The VM list versions of one gateway that are not retired, and what peers confirmed of them.
///
/// The history has a root when it continues the histories of earlier gateways. A gateway that
/// starts has none. It gets one when the lease holds once without its own confirmation, or when
/// every gateway of its list agrees. Without this rule, gateways that restarted on one side of a
/// cut would form a majority that knows nothing of the other side.
///
/// When no gateway of the list is established, the fleet starts cold: older versions are retired,
/// and a whole window passes before any gateway is established.
#[derive(Clone, Debug)]
pub struct ListHistory {
    own: VmId,
    incarnation: Incarnation,
    window: ClaimWindow,
    rules: ClaimRules,
    rooted: bool,
    /// The gateway has run long enough; a greater window later does not change that, because
    /// votes from before its start were promised a smaller one.
    aged: bool,
    /// When the gateway took part in the cold start of a fleet.
    cold_since: Option<Millis>,
    /// Versions below this one are retired.
    floor: ListVersion,
    groups: collections::BTreeMap<ListVersion, ListGroup>,
    /// Versions whose gateways equal those of a newer version in `groups`.
    covered: collections::BTreeSet<ListVersion>,
    /// When the lease first held under a version.
    held: collections::BTreeMap<ListVersion, Millis>,
    peers: collections::BTreeMap<VmId, PeerView>,
}

impl ListHistory {
    /// Creates the history of a gateway that just started.
    ///
    /// `window` is the greatest window of the table in milliseconds.
    #[must_use]
    pub fn new(own: VmId, incarnation: Incarnation, window: u64) -> Self {
        Self::with_rules(own, incarnation, window, ClaimRules::default())
    }

    /// Creates a history with rules turned off, for tests.
    #[doc(hidden)]
    #[must_use]
    pub fn with_rules(own: VmId, incarnation: Incarnation, window: u64, rules: ClaimRules) -> Self {
        Self {
            own,
            incarnation,
            window: ClaimWindow::new(window),
            rules,
            rooted: !rules.recovered_history,
            aged: false,
            cold_since: None,
            floor: ListVersion(0),
            groups: collections::BTreeMap::new(),
            covered: collections::BTreeSet::new(),
            held: collections::BTreeMap::new(),
            peers: collections::BTreeMap::new(),
        }
    }

    /// Sets the greatest window of the table in milliseconds.
    pub fn set_window(&mut self, window: u64, now: Millis) {
        self.settle(now);
        self.window.set(window, now);
    }

    /// Adopts a newer list, or merges an older one that a peer has not retired.
    pub fn add_list(&mut self, list: VmList, now: Millis) -> AddListOutcome {
        let version = list.version;
        let group = ListGroup::new(list);
        if group.gateways.is_empty() {
            return AddListOutcome::NoGateways;
        }
        if version < self.floor {
            return AddListOutcome::Retired;
        }
        if self.knows(version) {
            return AddListOutcome::Known;
        }
        let newest = self
            .newest_version()
            .is_none_or(|greatest| greatest < version);
        self.groups.insert(version, group);
        // A lease that held without this version in the history does not count for retirement.
        self.held.retain(|held, _| *held < version);
        self.covered.extend(group::cover_equal(&mut self.groups));
        self.settle(now);
        check::history(self.floor, self.groups.keys());
        if newest {
            AddListOutcome::Adopted
        } else {
            AddListOutcome::Merged
        }
    }

    /// Takes over a peer's heartbeat.
    pub fn apply_peer_report(&mut self, report: PeerHistoryReport, now: Millis) {
        if report.peer == self.own {
            return;
        }
        let peer = report.peer;
        let echoed = self.own_send_time(report.echo, now);
        let view = PeerView::new(report, echoed);
        match self.peers.entry(peer) {
            collections::btree_map::Entry::Occupied(mut entry) => entry.get_mut().update(view),
            collections::btree_map::Entry::Vacant(entry) => {
                entry.insert(view);
            }
        }
        self.settle(now);
    }

    /// Notes whether the lease holds and returns the versions that this retires.
    pub fn tick(&mut self, now: Millis) -> Vec<ListVersion> {
        self.settle(now);
        if let Some(greatest) = self.newest_version()
            && self.rooted
            && self.is_lease_held(now)
        {
            self.held.entry(greatest).or_insert(now);
        }
        // The last vote under an older version is one lease after the majority moved on; its
        // attempt dispatches up to the dispatch right later, and then the window begins.
        let pause = self.window.at(now) + LEASE_MS + DISPATCH_PERMIT_MS;
        let retiring = self
            .held
            .iter()
            .rev()
            .find(|(_, since)| now.since(**since) >= pause)
            .map(|(version, _)| *version);
        retiring.map_or_else(Vec::new, |version| self.raise_floor(version, now))
    }

    /// Returns whether a majority of the gateways of every version confirmed the greatest one.
    #[must_use]
    pub fn is_lease_held(&self, now: Millis) -> bool {
        if !self.rules.lease {
            return !self.groups.is_empty();
        }
        !self.groups.is_empty()
            && self
                .groups
                .values()
                .all(|group| self.has_majority(group, now))
    }

    /// Returns whether this gateway knows all votes and list versions that still count.
    #[must_use]
    pub fn is_established(&self, now: Millis) -> bool {
        let aged = self.is_aged(now) || !self.rules.established;
        self.rooted && self.groups.len() <= MAX_HISTORY_VERSIONS && aged
    }

    /// Returns whether this gateway was a voter of the key in every version of its history.
    ///
    /// It also returns false while the history has a version with a greater quorum: a smaller
    /// quorum need not share a voter with it.
    #[must_use]
    pub fn is_voter_in_all_versions(&self, key: ClaimKey) -> bool {
        let Some(list) = self.newest_list() else {
            return false;
        };
        let present = voters::voters(list, key);
        let rules = self.rules;
        present.contains(&self.own)
            && self.groups.values().all(|group| {
                let earlier = voters::voters(&group.list, key);
                let member = earlier.contains(&self.own);
                let quorum = voters::quorum(earlier.len()) <= voters::quorum(present.len());
                (member || !rules.voter_in_all_versions) && (quorum || !rules.quorum_size)
            })
    }

    /// Returns the greatest version.
    #[must_use]
    pub fn newest_version(&self) -> Option<ListVersion> {
        self.groups.keys().next_back().copied()
    }

    /// Returns the list of the greatest version.
    #[must_use]
    pub fn newest_list(&self) -> Option<&VmList> {
        self.groups.values().next_back().map(|group| &group.list)
    }

    /// Returns the list of a version that is not retired.
    #[must_use]
    pub fn list(&self, version: ListVersion) -> Option<&VmList> {
        self.groups.get(&version).map(|group| &group.list)
    }

    /// Returns the versions that are not retired, oldest first.
    pub fn versions(&self) -> impl Iterator<Item = ListVersion> {
        self.groups.keys().copied()
    }

    /// Returns versions that peers reported and this gateway lacks, each with a peer that has it.
    #[must_use]
    pub fn missing_versions(&self) -> collections::BTreeMap<ListVersion, VmId> {
        let reported = self.peers.iter().flat_map(|(peer, view)| {
            view.history
                .iter()
                .chain([&view.list])
                .map(|version| (*version, *peer))
        });
        reported
            .filter(|(version, _)| version.0 > 0 && !self.knows(*version))
            .collect()
    }

    /// Returns what the next heartbeat says; `sent_at` is the send time that peers echo.
    #[must_use]
    pub fn report(&self, now: Millis) -> HistoryReport {
        let whole = self.groups.len() <= MAX_HISTORY_VERSIONS;
        HistoryReport {
            established: self.is_established(now),
            list_version: self.newest_version().unwrap_or_default(),
            history: if whole {
                self.versions().collect()
            } else {
                Vec::new()
            },
            sent_at: self.heartbeat_timestamp(now),
        }
    }

    /// Returns the send time that a heartbeat carries for peers to echo.
    ///
    /// It counts from 1970 by the incarnation, so the echo of an earlier process of this VM is
    /// told apart from one of this process.
    #[must_use]
    pub fn heartbeat_timestamp(&self, now: Millis) -> Millis {
        now + self.incarnation.0
    }

    pub(crate) const fn rules(&self) -> ClaimRules {
        self.rules
    }

    fn own_send_time(&self, echo: Option<Millis>, now: Millis) -> Option<Millis> {
        if !self.rules.lease_from_echo {
            return Some(now);
        }
        let elapsed = echo?.0.checked_sub(self.incarnation.0)?;
        (elapsed <= now.0).then_some(Millis(elapsed))
    }

    fn knows(&self, version: ListVersion) -> bool {
        version < self.floor
            || self.groups.contains_key(&version)
            || self.covered.contains(&version)
    }

    fn knows_all_of(&self, view: &PeerView) -> bool {
        view.has_whole_history() && view.history.iter().all(|version| self.knows(*version))
    }

    fn has_majority(&self, group: &ListGroup, now: Millis) -> bool {
        let confirmed = group
            .gateways
            .keys()
            .filter(|vm| self.is_confirmed_by(**vm, now))
            .count();
        confirmed * 2 > group.gateways.len()
    }

    fn is_confirmed_by(&self, vm: VmId, now: Millis) -> bool {
        if vm == self.own {
            return self.is_established(now);
        }
        let view = self.peers.get(&vm);
        view.is_some_and(|view| view.established && self.agrees_with(view, now))
    }

    fn agrees_with(&self, view: &PeerView, now: Millis) -> bool {
        Some(view.list) == self.newest_version() && view.is_fresh(now) && self.knows_all_of(view)
    }

    /// Takes over what established peers retired, and looks for a root.
    fn settle(&mut self, now: Millis) {
        let floors = self
            .peers
            .values()
            .filter(|view| view.established && self.knows_all_of(view));
        let floor = floors.filter_map(|view| view.history.iter().min()).max();
        if let Some(floor) = floor.copied() {
            self.raise_floor(floor, now);
        }
        self.take_root(now);
    }

    fn raise_floor(&mut self, floor: ListVersion, now: Millis) -> Vec<ListVersion> {
        if floor <= self.floor {
            return Vec::new();
        }
        self.floor = floor;
        let kept = self.groups.split_off(&self.floor);
        let retired = std::mem::replace(&mut self.groups, kept);
        self.covered = self.covered.split_off(&self.floor);
        self.held = self.held.split_off(&self.floor);
        let groups = &self.groups;
        self.peers.retain(|vm, view| {
            view.is_fresh(now) || groups.values().any(|group| group.gateways.contains_key(vm))
        });
        check::history(self.floor, self.groups.keys());
        retired.into_keys().collect()
    }
}
