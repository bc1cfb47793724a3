//! Dispatcher of one shard: events in, steps out.

use std::collections;

use toucanledge_core::{Fingerprint, Millis, ShardId, TableRevision, VmId};

use crate::check;
use crate::ejection;
use crate::lease;
use crate::memory;
use crate::queue;
use crate::server;
use crate::shares;
use crate::suspicion;
use crate::timing;
use crate::{
    DispatchAction, DispatchCounters, HeldLease, HeldLeases, LeaseReport, LeaseRequest,
    LeaseRequestId, ListedServer, RouteHash, ShardPolicy,
};

/// Time after the deadline of a request during which its report is still expected.
const GRACE_MS: u64 = 250;
/// Longest time between two judgements while anything is in flight or waits.
const TICK_MS: u64 = 20;

/// Decides for one shard which request runs on which backend server.
///
/// The dispatcher reads no clock and does no I/O. Every event returns the steps that its caller
/// has to take. The caller also calls [`tick`](Self::tick) at the time that
/// [`next_deadline`](Self::next_deadline) returns.
#[derive(Clone, Debug)]
pub struct ShardDispatcher {
    pub(crate) shard: ShardId,
    pub(crate) policy: Option<ShardPolicy>,
    pub(crate) servers: server::ServerPool,
    pub(crate) leases: lease::LeaseBook,
    pub(crate) queue: queue::AskQueue,
    pub(crate) classes: shares::ClassBook,
    pub(crate) memory: memory::LongMemory,
    pub(crate) suspicions: suspicion::SuspicionBook,
    pub(crate) counters: DispatchCounters,
    pub(crate) last_judged: Millis,
    /// Slots that short work uses or waits for.
    pub(crate) short_use: timing::LevelMean,
}

impl ShardDispatcher {
    /// Returns a dispatcher that knows neither table nor backend servers yet.
    ///
    /// The salt distinguishes the lease ids of this dispatcher process from those of others, for
    /// example the incarnation of its gateway hashed with its VM id.
    #[must_use]
    pub fn new(shard: ShardId, salt: u64) -> Self {
        Self {
            shard,
            policy: None,
            servers: server::ServerPool::default(),
            leases: lease::LeaseBook::new(salt),
            queue: queue::AskQueue::default(),
            classes: shares::ClassBook::default(),
            memory: memory::LongMemory::default(),
            suspicions: suspicion::SuspicionBook::default(),
            counters: DispatchCounters::default(),
            last_judged: Millis(0),
            short_use: timing::LevelMean::default(),
        }
    }

    /// Puts the rows of a table in force; an older revision is ignored.
    pub fn set_policy(&mut self, policy: ShardPolicy, now: Millis) -> Vec<DispatchAction> {
        if policy.table_revision < self.table() {
            return Vec::new();
        }
        self.classes.set_policies(&policy.classes);
        self.servers.set_policies(&policy.backends);
        self.policy = Some(policy);
        self.finish(now, Vec::new())
    }

    /// Takes the shard's part of the VM list.
    pub fn set_servers(
        &mut self,
        listed: impl IntoIterator<Item = ListedServer>,
        now: Millis,
    ) -> Vec<DispatchAction> {
        let listed: Vec<ListedServer> = listed.into_iter().collect();
        self.servers.set_listed(&listed, now);
        self.finish(now, Vec::new())
    }

    /// Takes the suspected requests and the number of backend servers lost with each.
    pub fn set_crash_suspects(
        &mut self,
        reported: impl IntoIterator<Item = (Fingerprint, u32)>,
        now: Millis,
    ) -> Vec<DispatchAction> {
        self.suspicions.set_reported(reported);
        self.finish(now, Vec::new())
    }

    /// Takes an ask and answers it or lets it wait.
    pub fn request_lease(
        &mut self,
        gateway: VmId,
        ask: LeaseRequest,
        now: Millis,
    ) -> Vec<DispatchAction> {
        let mut steps = Vec::new();
        self.counters.lease_requests += 1;
        self.admit(gateway, ask, now, &mut steps);
        self.finish(now, steps)
    }

    /// Returns the expected wait in milliseconds of an ask that waits.
    #[must_use]
    pub fn pending_wait_ms(&self, gateway: VmId, ask: LeaseRequestId, now: Millis) -> Option<u32> {
        let key = self.queue.find(gateway, ask)?;
        let waiting = self.queue.arena.get(key)?;
        Some(self.expected_wait(waiting.mark.class, waiting.lane, now))
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

    /// Takes the end of a lease.
    pub fn report_end(
        &mut self,
        gateway: VmId,
        report: LeaseReport,
        now: Millis,
    ) -> Vec<DispatchAction> {
        let mut steps = Vec::new();
        let Some(lease) = self.take_lease(gateway, report.lease) else {
            self.counters.late_reports += 1;
            return self.finish(now, steps);
        };
        if report.leaving
            && let Some(server) = self.servers.arena.get_mut(lease.server)
        {
            server.said_leaving = true;
        }
        let service = u64::from(report.service_time_ms);
        self.observe_trial(&lease, report.outcome, service, now, &mut steps);
        self.observe_transport(&lease, report.outcome, now, &mut steps);
        self.observe_end(&lease, report.outcome, service, now);
        self.finish(now, steps)
    }

    /// Withdraws an ask, or ends its lease when the grant is on its way.
    pub fn cancel(
        &mut self,
        gateway: VmId,
        ask: LeaseRequestId,
        now: Millis,
    ) -> Vec<DispatchAction> {
        if let Some(key) = self.queue.find(gateway, ask) {
            self.queue.remove(key);
            self.counters.cancelled += 1;
        } else if let Some(key) = self.leases.of_ask(gateway, ask) {
            self.end_lease(key);
        }
        self.finish(now, Vec::new())
    }

    /// Takes the leases that a gateway holds from earlier dispatchers of the shard.
    pub fn adopt_leases(
        &mut self,
        gateway: VmId,
        holds: &HeldLeases,
        now: Millis,
    ) -> Vec<DispatchAction> {
        for hold in &holds.leases {
            if self.leases.find(gateway, hold.lease).is_none() {
                self.adopt(gateway, *hold, now);
            }
        }
        self.finish(now, Vec::new())
    }

    /// Ends the leases and asks of a gateway that is gone.
    pub fn remove_gateway(&mut self, gateway: VmId, now: Millis) -> Vec<DispatchAction> {
        for key in self.queue.of_gateway(gateway) {
            self.queue.remove(key);
            self.counters.cancelled += 1;
        }
        for key in self.leases.of_gateway(gateway) {
            self.end_lease(key);
        }
        self.finish(now, Vec::new())
    }

    /// Takes the result of a probe; a probe without an answer within 1 s has failed.
    pub fn on_probe_result(&mut self, backend: VmId, ok: bool, now: Millis) -> Vec<DispatchAction> {
        let mut steps = Vec::new();
        if let Some(key) = self.servers.find(backend) {
            self.take_probe(key, ok, now, &mut steps);
        }
        self.finish(now, steps)
    }

    /// Does what is due at this time.
    pub fn tick(&mut self, now: Millis) -> Vec<DispatchAction> {
        let mut steps = Vec::new();
        for key in self.leases.ended(now) {
            self.end_lease(key);
            self.counters.leases_expired += 1;
        }
        self.memory.forget(now);
        self.suspicions.forget(now);
        self.forget_evidence(now);
        self.judge(now, &mut steps);
        self.finish(now, steps)
    }

    /// Returns the time at which the next `tick` is due, or none when nothing is pending.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Millis> {
        let phases = self.servers.arena.values().filter_map(|server| {
            let phase = match server.phase {
                // A leaving backend server is not probed any more.
                _ if server.leaving() => None,
                server::ServerPhase::Absent(until) => Some(until),
                server::ServerPhase::Probing(since) => Some(since + ejection::PROBE_MS),
                server::ServerPhase::Serving | server::ServerPhase::Trial(_) => None,
            };
            let confirming = server.confirming.map(|since| since + ejection::PROBE_MS);
            phase.into_iter().chain(confirming).min()
        });
        let busy = !self.leases.arena.is_empty() || self.queue.len() > 0;
        let judge = busy.then_some(self.last_judged + TICK_MS);
        [self.queue.first_expiry(), self.leases.first_end(), judge]
            .into_iter()
            .flatten()
            .chain(phases)
            .min()
    }

    pub(crate) fn table(&self) -> TableRevision {
        self.policy
            .as_ref()
            .map_or(TableRevision(0), |policy| policy.table_revision)
    }

    /// Ends every event: health, refusals that are due, then grants.
    fn finish(&mut self, now: Millis, mut steps: Vec<DispatchAction>) -> Vec<DispatchAction> {
        self.settle(now, &mut steps);
        self.refuse_due(now, &mut steps);
        while let Some((ask, server)) = self.next_grant(now) {
            self.grant(ask, server, now, &mut steps);
        }
        self.refuse_slow(now, &mut steps);
        check::consistent(self);
        steps
    }

    fn take_lease(&mut self, gateway: VmId, id: crate::LeaseId) -> Option<lease::Lease> {
        let key = self.leases.find(gateway, id)?;
        self.end_lease(key)
    }

    pub(crate) fn end_lease(&mut self, key: lease::LeaseKey) -> Option<lease::Lease> {
        let lease = self.leases.remove(key)?;
        if let Some(server) = self.servers.arena.get_mut(lease.server) {
            server.leases.retain(|held| *held != key);
            if !server.listed && server.leases.is_empty() {
                self.servers.drop_unused();
            }
        }
        if let Some(state) = self.classes.get_mut(lease.mark.class) {
            state.held -= 1;
            if state.policy.is_none() && state.held == 0 {
                self.classes.drop_unused();
            }
        }
        Some(lease)
    }

    fn adopt(&mut self, gateway: VmId, hold: HeldLease, now: Millis) {
        let (server, _) = self.servers.key_of(hold.backend);
        let deadline = now + u64::from(hold.remaining_ms);
        let lease = lease::Lease {
            server,
            gateway,
            ask: None,
            adopted: Some(hold.lease),
            mark: memory::WorkMark {
                class: hold.class,
                caller: hold.caller,
                route: RouteHash(0),
                fingerprint: hold.fingerprint,
            },
            start: Millis(now.0.saturating_sub(u64::from(hold.age_ms))),
            ends: deadline + GRACE_MS,
            long: false,
            // Its route is unknown, so nothing can be learned from it.
            recorded: true,
            overtaken: false,
            lane: queue::AskLane::Short,
        };
        let key = self.leases.insert(lease);
        self.servers.arena[server].leases.push(key);
        self.classes.classes.entry(hold.class).or_default().held += 1;
    }

    fn grant(
        &mut self,
        ask: queue::AskKey,
        server: server::ServerKey,
        now: Millis,
        steps: &mut Vec<DispatchAction>,
    ) {
        let Some(waiting) = self.queue.remove(ask) else {
            return;
        };
        let lane = self
            .lane_of(waiting.mark.fingerprint)
            .unwrap_or(waiting.lane);
        let key = self.leases.insert(lease::Lease {
            server,
            gateway: waiting.gateway,
            ask: Some(waiting.ask),
            adopted: None,
            mark: waiting.mark,
            start: now,
            ends: waiting.deadline + GRACE_MS,
            long: lane == queue::AskLane::Long,
            recorded: false,
            overtaken: false,
            lane,
        });
        self.counters.grants += 1;
        self.classes.charge(waiting.mark.class, waiting.lane);
        let server = &mut self.servers.arena[server];
        server.leases.push(key);
        server.last_grant = self.counters.grants;
        let backend = server.vm;
        self.reply_grant(&waiting, key, backend, now, steps);
    }
}
