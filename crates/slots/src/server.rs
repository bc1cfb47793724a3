//! State of the backend servers of a shard.

use std::{collections, sync};

use toucanledge_core::{CallerHash, ClassId, Millis, TableRevision, VmId, VmState};

use crate::lease;
use crate::long_work;
use crate::timing;
use crate::{BackendPolicy, EjectionReason, ListedServer};

slotmap::new_key_type! {
    pub(crate) struct ServerKey;
}

/// Time during which a new backend server has one slot and is left out of stall detection.
pub(crate) const SLOW_START_MS: u64 = 10_000;
/// Time for each further slot after the first period of a slow start.
const SLOW_START_STEP_MS: u64 = 1_000;
/// Slots of a backend server on trial.
const TRIAL_SLOTS: u32 = 1;
/// Most callers with slow requests that are tracked for a backend server.
const MAX_SLOW_CALLERS: usize = 256;
/// Time after its last slow request for which a caller counts as slow at a backend server.
const SLOW_CALLER_TTL_MS: u64 = 60_000;
/// Time for which a response through one gateway outweighs failures that only another one sees,
/// and for which a gateway avoids a backend server to which it could not connect.
const PATH_FAULT_MS: u64 = 1_000;
/// Least number of slow requests at which a caller counts as slow at a backend server.
const SLOW_CALLER_REQUESTS: u32 = 2;

/// Phase between ejection and service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum ServerPhase {
    #[default]
    Serving,
    /// Gets no request until this time.
    Ejected(Millis),
    /// A probe was sent at this time and its result is awaited.
    Probing(Millis),
    /// Gets one request at a time until enough of them are good.
    Trial(TrialProgress),
}

/// Progress of a backend server on trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TrialProgress {
    pub(crate) since: Millis,
    pub(crate) good_requests: u32,
}

/// Fault for which a backend server is suspected; the order is that of severity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ServerFault {
    pub(crate) reason: EjectionReason,
    pub(crate) evidence_count: u32,
    pub(crate) oldest_stall_ms: u64,
    pub(crate) peer_median_ms: u64,
}

/// Cause and times of the current ejection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ejection {
    pub(crate) fault: ServerFault,
    pub(crate) since: Millis,
    pub(crate) until: Millis,
    pub(crate) table_revision: TableRevision,
}

/// Consecutive transport failures since the last response.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailureStreak {
    pub(crate) failures: u32,
    /// Gateways that saw the failures.
    pub(crate) gateways: Vec<VmId>,
    pub(crate) connect_failed: bool,
    pub(crate) connection_lost: bool,
    pub(crate) first_loss: Option<Millis>,
    /// All requests in flight were lost and no connection can be opened, or a crash probe failed.
    pub(crate) crashed: bool,
}

impl FailureStreak {
    pub(crate) fn add_failure(&mut self, gateway: VmId) {
        self.failures += 1;
        if !self.gateways.contains(&gateway) {
            self.gateways.push(gateway);
        }
    }
}

/// Slow and fast requests of one caller at one backend server since the first slow one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerLatencyCount {
    slow: u32,
    fast: u32,
    last_slow: Millis,
}

impl CallerLatencyCount {
    /// Returns whether most requests of the caller are slow at this backend server.
    pub(crate) fn is_slow(&self, now: Millis) -> bool {
        self.slow >= SLOW_CALLER_REQUESTS && self.slow > self.fast && !self.is_expired(now)
    }

    pub(crate) fn is_expired(&self, now: Millis) -> bool {
        now.since(self.last_slow) >= SLOW_CALLER_TTL_MS
    }
}

/// Slow or abandoned request that ended before any later request of its class completed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AbandonedRequest {
    pub(crate) attributes: long_work::RequestAttributes,
    pub(crate) start: Millis,
    pub(crate) end: Millis,
}

/// State of a backend server in the dispatcher.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) vm: VmId,
    /// The VM list has it as live.
    pub(crate) listed_live: bool,
    /// The VM list has it, live or leaving.
    pub(crate) listed: bool,
    /// It announced in a response that it is leaving.
    pub(crate) announced_leaving: bool,
    pub(crate) row: sync::Arc<str>,
    pub(crate) weight: f64,
    pub(crate) slots: u32,
    pub(crate) phase: ServerPhase,
    pub(crate) slow_start_since: Option<Millis>,
    pub(crate) leases: Vec<lease::LeaseKey>,
    /// Number of the last grant among all grants of the shard; breaks ties in favour of the least
    /// recently used backend server.
    pub(crate) last_grant: u64,
    pub(crate) last_response: Millis,
    /// Gateways that recently failed to connect, and until when they avoid the backend server.
    pub(crate) unreachable_from_gateways: Vec<(VmId, Millis)>,
    /// Times of the last responses through two different gateways, the most recent first.
    pub(crate) recent_responses: Vec<(VmId, Millis)>,
    /// Last time at which a later request overtook an overdue one.
    pub(crate) last_overtake: Option<Millis>,
    pub(crate) fault: Option<ServerFault>,
    /// Since when the floor prevents its ejection.
    pub(crate) ejection_suppressed_since: Option<Millis>,
    pub(crate) ejection: Option<Ejection>,
    /// Times of recent ejections, which lengthen the next one.
    pub(crate) recent_ejections: Vec<Millis>,
    pub(crate) failure_streak: FailureStreak,
    /// Time at which a probe was sent that tells a crash from a broken connection.
    pub(crate) crash_probe_sent: Option<Millis>,
    pub(crate) recent_requests: collections::BTreeMap<ClassId, timing::RecentRequests>,
    pub(crate) abandoned: Vec<AbandonedRequest>,
    pub(crate) slow_callers: collections::HashMap<CallerHash, CallerLatencyCount>,
    pub(crate) avoided_until: Millis,
    /// Avoidances in sequence, which lengthen the next one.
    pub(crate) avoidance_count: u32,
}

impl Server {
    fn new(vm: VmId) -> Self {
        Self {
            vm,
            listed_live: false,
            listed: false,
            announced_leaving: false,
            row: sync::Arc::from(""),
            weight: 0.0,
            slots: 0,
            phase: ServerPhase::Serving,
            slow_start_since: None,
            leases: Vec::new(),
            last_grant: 0,
            last_response: Millis(0),
            unreachable_from_gateways: Vec::new(),
            recent_responses: Vec::new(),
            last_overtake: None,
            fault: None,
            ejection_suppressed_since: None,
            ejection: None,
            recent_ejections: Vec::new(),
            failure_streak: FailureStreak::default(),
            crash_probe_sent: None,
            recent_requests: collections::BTreeMap::new(),
            abandoned: Vec::new(),
            slow_callers: collections::HashMap::new(),
            avoided_until: Millis(0),
            avoidance_count: 0,
        }
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.announced_leaving || !self.listed_live
    }

    /// Returns whether the floor counts the backend server: live and with slots.
    pub(crate) fn counts_as_capacity(&self) -> bool {
        !self.is_leaving() && self.slots > 0
    }

    /// Returns whether it is ejected, probed or on trial.
    pub(crate) fn is_out_of_service(&self) -> bool {
        self.phase != ServerPhase::Serving
    }

    pub(crate) fn is_in_service(&self) -> bool {
        self.counts_as_capacity() && !self.is_out_of_service()
    }

    pub(crate) fn in_slow_start(&self, now: Millis) -> bool {
        self.slow_start_since
            .is_some_and(|since| now.since(since) < SLOW_START_MS)
    }

    /// Returns the number of leases that may be held at once in the current state.
    pub(crate) fn slot_limit(&self, now: Millis) -> u32 {
        if self.is_leaving() {
            return 0;
        }
        match self.phase {
            ServerPhase::Ejected(_) | ServerPhase::Probing(_) => 0,
            ServerPhase::Trial(_) => self.slots.min(TRIAL_SLOTS),
            ServerPhase::Serving => self.slots.min(self.slow_start_limit(now)),
        }
    }

    pub(crate) fn free_slots(&self, now: Millis) -> u32 {
        let used = u32::try_from(self.leases.len()).unwrap_or(u32::MAX);
        self.slot_limit(now).saturating_sub(used)
    }

    fn slow_start_limit(&self, now: Millis) -> u32 {
        let Some(since) = self.slow_start_since else {
            return u32::MAX;
        };
        let steps_passed = now.since(since).saturating_sub(SLOW_START_MS) / SLOW_START_STEP_MS;
        u32::try_from(steps_passed + 1).unwrap_or(u32::MAX)
    }

    pub(crate) fn completed_after(&self, class: ClassId, start: Millis) -> bool {
        self.recent_requests
            .get(&class)
            .is_some_and(|recent| recent.completed_after(start))
    }

    pub(crate) fn is_slow_for(&self, caller: CallerHash, now: Millis) -> bool {
        self.slow_callers
            .get(&caller)
            .is_some_and(|count| count.is_slow(now))
    }

    pub(crate) fn record_response(&mut self, gateway: VmId, now: Millis) {
        self.last_response = now;
        self.recent_responses.retain(|(other, _)| *other != gateway);
        self.recent_responses.insert(0, (gateway, now));
        self.recent_responses.truncate(2);
        self.unreachable_from_gateways
            .retain(|(other, _)| *other != gateway);
    }

    pub(crate) fn record_unreachable(&mut self, gateway: VmId, now: Millis) {
        self.unreachable_from_gateways
            .retain(|(other, until)| *other != gateway && *until > now);
        self.unreachable_from_gateways
            .push((gateway, now + PATH_FAULT_MS));
    }

    pub(crate) fn unreachable_from(&self, gateway: VmId, now: Millis) -> bool {
        let mut entries = self.unreachable_from_gateways.iter();
        entries.any(|(other, until)| *other == gateway && *until > now)
    }

    pub(crate) fn record_fast(&mut self, caller: CallerHash) {
        if let Some(count) = self.slow_callers.get_mut(&caller) {
            count.fast += 1;
        }
    }

    pub(crate) fn record_slow(&mut self, caller: CallerHash, now: Millis) {
        if self.slow_callers.len() >= MAX_SLOW_CALLERS && !self.slow_callers.contains_key(&caller) {
            return;
        }
        let count = self
            .slow_callers
            .entry(caller)
            .or_insert(CallerLatencyCount {
                slow: 0,
                fast: 0,
                last_slow: now,
            });
        count.slow += 1;
        count.last_slow = now;
    }

    /// Returns whether only one gateway sees failures while another one got a response recently.
    pub(crate) fn has_path_fault(&self, now: Millis) -> bool {
        let [gateway] = self.failure_streak.gateways[..] else {
            return false;
        };
        self.recent_responses
            .iter()
            .any(|(other, at)| *other != gateway && now.since(*at) < PATH_FAULT_MS)
    }

    /// Clears the evidence from before a change of phase.
    pub(crate) fn clear_evidence(&mut self) {
        self.fault = None;
        self.ejection_suppressed_since = None;
        self.failure_streak = FailureStreak::default();
        self.abandoned.clear();
        self.avoided_until = Millis(0);
        self.avoidance_count = 0;
    }

    fn apply_policy(&mut self, policy: Option<&BackendPolicy>) {
        let Some(policy) = policy else {
            self.slots = 0;
            return;
        };
        self.row = policy.row.clone();
        self.weight = policy.weight;
        self.slots = policy.slots.min(policy.connections);
    }
}

/// Backend servers of a shard.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerPool {
    pub(crate) arena: slotmap::SlotMap<ServerKey, Server>,
    by_vm: collections::HashMap<VmId, ServerKey>,
    policies: collections::HashMap<VmId, BackendPolicy>,
    /// A VM list with backend servers was applied.
    listed_once: bool,
}

impl ServerPool {
    pub(crate) fn set_policies(&mut self, policies: &[BackendPolicy]) {
        self.policies = policies
            .iter()
            .map(|policy| (policy.backend, policy.clone()))
            .collect();
        for server in self.arena.values_mut() {
            server.apply_policy(self.policies.get(&server.vm));
        }
    }

    pub(crate) fn set_listed(&mut self, listed: &[ListedServer], now: Millis) {
        for server in self.arena.values_mut() {
            server.listed = false;
            server.listed_live = false;
        }
        for entry in listed {
            let (key, new) = self.get_or_insert(entry.backend);
            let server = &mut self.arena[key];
            server.listed = true;
            server.listed_live = entry.state == VmState::Live;
            // The first list does not tell which backend servers are new to the fleet.
            if new && self.listed_once {
                server.slow_start_since = Some(now);
            }
        }
        self.listed_once |= !listed.is_empty();
        self.drop_unused();
    }

    /// Returns the key of a backend server and whether it was inserted.
    pub(crate) fn get_or_insert(&mut self, vm: VmId) -> (ServerKey, bool) {
        if let Some(key) = self.by_vm.get(&vm) {
            return (*key, false);
        }
        let mut server = Server::new(vm);
        server.apply_policy(self.policies.get(&vm));
        let key = self.arena.insert(server);
        self.by_vm.insert(vm, key);
        (key, true)
    }

    pub(crate) fn find(&self, vm: VmId) -> Option<ServerKey> {
        self.by_vm.get(&vm).copied()
    }

    /// Removes backend servers that are not listed and have no lease.
    pub(crate) fn drop_unused(&mut self) {
        self.arena
            .retain(|_, server| server.listed || !server.leases.is_empty());
        let arena = &self.arena;
        self.by_vm.retain(|_, key| arena.contains_key(*key));
    }

    /// Returns the slots of all backend servers in service.
    pub(crate) fn slots_in_service(&self, now: Millis) -> u32 {
        self.arena
            .values()
            .filter(|server| server.is_in_service())
            .map(|server| server.slot_limit(now))
            .sum()
    }

    /// Returns whether any backend server may get the request now or after a lease ends.
    pub(crate) fn any_usable(&self, exclude: &[VmId], now: Millis) -> bool {
        self.arena
            .values()
            .any(|server| server.slot_limit(now) > 0 && !exclude.contains(&server.vm))
    }
}
