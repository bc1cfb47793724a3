//! State machine of one shard's dispatcher: takes events and returns actions.

use std::collections;

use toucanledge_core::{Fingerprint, Millis, ShardId, TableRevision, VmId};

use crate::crash_suspects;
use crate::ejection;
use crate::fairness;
use crate::invariants;
use crate::lease;
use crate::long_work;
use crate::queue;
use crate::server;
use crate::timing;
use crate::{
    DispatchAction, DispatchCounters, HeldLease, HeldLeases, LeaseReport, LeaseRequest,
    LeaseRequestId, ListedServer, RouteHash, ShardPolicy,
};

/// Time from the deadline of a request until its lease expires without a report.
const LEASE_GRACE_MS: u64 = 250;
/// Longest time between two health evaluations while a lease is held or a request queued.
const MAX_EVALUATION_INTERVAL_MS: u64 = 20;

/// Decides for one shard which request runs on which backend server.
///
/// The dispatcher reads no clock and does no I/O. Every event returns the actions that the driver
/// has to perform. The driver also calls [`tick`](Self::tick) at the time that
/// [`next_deadline`](Self::next_deadline) returns.
#[derive(Clone, Debug)]
pub struct ShardDispatcher {
    pub(crate) shard: ShardId,
    pub(crate) policy: Option<ShardPolicy>,
    pub(crate) servers: server::ServerPool,
    pub(crate) leases: lease::LeaseStore,
    pub(crate) queue: queue::RequestQueue,
    pub(crate) classes: fairness::ClassScheduler,
    pub(crate) long_work_predictor: long_work::LongWorkPredictor,
    pub(crate) crash_suspects: crash_suspects::CrashSuspectStore,
    pub(crate) counters: DispatchCounters,
    pub(crate) last_evaluated: Millis,
    /// Average number of slots that short work uses or is queued for.
    pub(crate) short_load: timing::ExponentialAverage,
}

impl ShardDispatcher {
    /// Returns a dispatcher without a policy table and backend servers.
    ///
    /// The salt distinguishes the lease ids of this dispatcher process from those of others, for
    /// example the incarnation of its gateway hashed with its VM id.
    #[must_use]
    pub fn new(shard: ShardId, salt: u64) -> Self {
        Self {
            shard,
            policy: None,
            servers: server::ServerPool::default(),
            leases: lease::LeaseStore::new(salt),
            queue: queue::RequestQueue::default(),
            classes: fairness::ClassScheduler::default(),
            long_work_predictor: long_work::LongWorkPredictor::default(),
            crash_suspects: crash_suspects::CrashSuspectStore::default(),
            counters: DispatchCounters::default(),
            last_evaluated: Millis(0),
            short_load: timing::ExponentialAverage::default(),
        }
    }

    /// Applies the rows of a table; an older revision is ignored.
    pub fn set_policy(&mut self, policy: ShardPolicy, now: Millis) -> Vec<DispatchAction> {
        if policy.table_revision < self.table_revision() {
            return Vec::new();
        }
        self.classes.set_policies(&policy.classes);
        self.servers.set_policies(&policy.backends);
        self.policy = Some(policy);
        self.finish_event(now, Vec::new())
    }

    /// Applies the shard's part of the VM list.
    pub fn set_servers(
        &mut self,
        listed: impl IntoIterator<Item = ListedServer>,
        now: Millis,
    ) -> Vec<DispatchAction> {
        let listed: Vec<ListedServer> = listed.into_iter().collect();
        self.servers.set_listed(&listed, now);
        self.finish_event(now, Vec::new())
    }

    /// Replaces the crash suspects that gateways reported, each with the number of backend servers
    /// that crashed with it.
    pub fn set_crash_suspects(
        &mut self,
        reported: impl IntoIterator<Item = (Fingerprint, u32)>,
        now: Millis,
    ) -> Vec<DispatchAction> {
        self.crash_suspects.set_reported(reported);
        self.finish_event(now, Vec::new())
    }

    /// Handles a lease request: grants or refuses it at once, or queues it.
    ///
    /// A queued request gets no action now; its reply follows from a later event.
    pub fn request_lease(
        &mut self,
        gateway: VmId,
        request: LeaseRequest,
        now: Millis,
    ) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        self.counters.lease_requests += 1;
        self.admit(gateway, request, now, &mut actions);
        self.finish_event(now, actions)
    }

    /// Returns the expected wait in milliseconds of a queued request, or none if it is not queued.
    #[must_use]
    pub fn pending_wait_ms(
        &self,
        gateway: VmId,
        request_id: LeaseRequestId,
        now: Millis,
    ) -> Option<u32> {
        let key = self.queue.find(gateway, request_id)?;
        let queued = self.queue.arena.get(key)?;
        Some(self.expected_wait_ms(queued.attributes.class, queued.lane, now))
    }

    /// Returns the gateways that hold leases of a backend server.
    #[must_use]
    pub fn lease_holders(&self, backend: VmId) -> collections::BTreeSet<VmId> {
        let Some(key) = self.servers.find(backend) else {
            return collections::BTreeSet::new();
        };
        let leases = self
            .leases
            .arena
            .values()
            .filter(|lease| lease.server == key);
        leases.map(|lease| lease.gateway).collect()
    }

    /// Handles a gateway's report that a lease ended.
    pub fn report_end(
        &mut self,
        gateway: VmId,
        report: LeaseReport,
        now: Millis,
    ) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        let Some(lease) = self.end_lease_by_id(gateway, report.lease) else {
            self.counters.late_reports += 1;
            return self.finish_event(now, actions);
        };
        if report.leaving
            && let Some(server) = self.servers.arena.get_mut(lease.server)
        {
            server.announced_leaving = true;
        }
        let service_ms = u64::from(report.service_time_ms);
        self.observe_trial(&lease, report.outcome, service_ms, now, &mut actions);
        self.observe_transport(&lease, report.outcome, now, &mut actions);
        self.observe_outcome(&lease, report.outcome, service_ms, now);
        self.finish_event(now, actions)
    }

    /// Cancels a queued request, or ends its lease when the grant was already sent.
    pub fn cancel(
        &mut self,
        gateway: VmId,
        request_id: LeaseRequestId,
        now: Millis,
    ) -> Vec<DispatchAction> {
        if let Some(key) = self.queue.find(gateway, request_id) {
            self.queue.remove(key);
            self.counters.cancelled_while_queued += 1;
        } else if let Some(key) = self.leases.of_request(gateway, request_id) {
            self.end_lease(key);
        }
        self.finish_event(now, Vec::new())
    }

    /// Adopts the leases that a gateway holds from earlier dispatchers of the shard.
    pub fn adopt_leases(
        &mut self,
        gateway: VmId,
        held: &HeldLeases,
        now: Millis,
    ) -> Vec<DispatchAction> {
        for lease in &held.leases {
            if self.leases.find(gateway, lease.lease).is_none() {
                self.adopt(gateway, *lease, now);
            }
        }
        self.finish_event(now, Vec::new())
    }

    /// Ends the leases and cancels the queued requests of a gateway that left.
    pub fn remove_gateway(&mut self, gateway: VmId, now: Millis) -> Vec<DispatchAction> {
        for key in self.queue.of_gateway(gateway) {
            self.queue.remove(key);
            self.counters.cancelled_while_queued += 1;
        }
        for key in self.leases.of_gateway(gateway) {
            self.end_lease(key);
        }
        self.finish_event(now, Vec::new())
    }

    /// Handles the result of a probe; a probe without a response within 1 s has failed.
    pub fn on_probe_result(&mut self, backend: VmId, ok: bool, now: Millis) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        if let Some(key) = self.servers.find(backend) {
            self.handle_probe_result(key, ok, now, &mut actions);
        }
        self.finish_event(now, actions)
    }

    /// Expires leases and old evidence, and evaluates the health of the backend servers.
    pub fn tick(&mut self, now: Millis) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        for key in self.leases.expired(now) {
            self.end_lease(key);
            self.counters.leases_expired += 1;
        }
        self.long_work_predictor.expire(now);
        self.crash_suspects.expire(now);
        self.expire_evidence(now);
        self.evaluate_health(now, &mut actions);
        self.finish_event(now, actions)
    }

    /// Returns the time at which the next `tick` is due, or none when nothing is pending.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Millis> {
        let phase_deadlines = self.servers.arena.values().filter_map(|server| {
            let phase_deadline = match server.phase {
                // Leaving backend servers are not probed.
                _ if server.is_leaving() => None,
                server::ServerPhase::Ejected(until) => Some(until),
                server::ServerPhase::Probing(since) => Some(since + ejection::PROBE_TIMEOUT_MS),
                server::ServerPhase::Serving | server::ServerPhase::Trial(_) => None,
            };
            let crash_probe_timeout = server
                .crash_probe_sent
                .map(|since| since + ejection::PROBE_TIMEOUT_MS);
            phase_deadline.into_iter().chain(crash_probe_timeout).min()
        });
        let busy = !self.leases.arena.is_empty() || self.queue.len() > 0;
        let evaluation = busy.then_some(self.last_evaluated + MAX_EVALUATION_INTERVAL_MS);
        [
            self.queue.next_expiry(),
            self.leases.next_expiry(),
            evaluation,
        ]
        .into_iter()
        .flatten()
        .chain(phase_deadlines)
        .min()
    }

    pub(crate) fn table_revision(&self) -> TableRevision {
        self.policy
            .as_ref()
            .map_or(TableRevision(0), |policy| policy.table_revision)
    }

    /// Completes the handling of an event: health, refusals of expired requests, grants, and
    /// refusals by expected wait, in this order.
    fn finish_event(
        &mut self,
        now: Millis,
        mut actions: Vec<DispatchAction>,
    ) -> Vec<DispatchAction> {
        self.update_health(now, &mut actions);
        self.refuse_expired(now, &mut actions);
        while let Some((request, server)) = self.next_grant(now) {
            self.grant(request, server, now, &mut actions);
        }
        self.refuse_over_wait_limit(now, &mut actions);
        invariants::debug_assert_consistent(self);
        actions
    }

    fn end_lease_by_id(&mut self, gateway: VmId, id: crate::LeaseId) -> Option<lease::Lease> {
        let key = self.leases.find(gateway, id)?;
        self.end_lease(key)
    }

    pub(crate) fn end_lease(&mut self, key: lease::LeaseKey) -> Option<lease::Lease> {
        let lease = self.leases.remove(key)?;
        if let Some(server) = self.servers.arena.get_mut(lease.server) {
            server.leases.retain(|other| *other != key);
            if !server.listed && server.leases.is_empty() {
                self.servers.drop_unused();
            }
        }
        if let Some(state) = self.classes.get_mut(lease.attributes.class) {
            state.leases_held -= 1;
            if state.policy.is_none() && state.leases_held == 0 {
                self.classes.drop_unused();
            }
        }
        Some(lease)
    }

    fn adopt(&mut self, gateway: VmId, held: HeldLease, now: Millis) {
        let (server, _) = self.servers.get_or_insert(held.backend);
        let deadline = now + u64::from(held.remaining_ms);
        let lease = lease::Lease {
            server,
            gateway,
            request_id: None,
            adopted_id: Some(held.lease),
            attributes: long_work::RequestAttributes {
                class: held.class,
                caller: held.caller,
                route: RouteHash(0),
                fingerprint: held.fingerprint,
            },
            start: Millis(now.0.saturating_sub(u64::from(held.age_ms))),
            expires: deadline + LEASE_GRACE_MS,
            long: false,
            // The route of an adopted lease is unknown, so the predictor cannot use it.
            recorded: true,
            overtaken: false,
            lane: queue::QueueLane::Short,
        };
        let key = self.leases.insert(lease);
        self.servers.arena[server].leases.push(key);
        self.classes
            .classes
            .entry(held.class)
            .or_default()
            .leases_held += 1;
    }

    fn grant(
        &mut self,
        request: queue::QueueKey,
        server: server::ServerKey,
        now: Millis,
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(queued) = self.queue.remove(request) else {
            return;
        };
        let lane = self
            .suspect_lane(queued.attributes.fingerprint)
            .unwrap_or(queued.lane);
        let key = self.leases.insert(lease::Lease {
            server,
            gateway: queued.gateway,
            request_id: Some(queued.request_id),
            adopted_id: None,
            attributes: queued.attributes,
            start: now,
            expires: queued.deadline + LEASE_GRACE_MS,
            long: lane == queue::QueueLane::Long,
            recorded: false,
            overtaken: false,
            lane,
        });
        self.counters.grants += 1;
        self.classes.charge(queued.attributes.class, queued.lane);
        let server = &mut self.servers.arena[server];
        server.leases.push(key);
        server.last_grant = self.counters.grants;
        let backend = server.vm;
        self.reply_grant(&queued, key, backend, now, actions);
    }
}
