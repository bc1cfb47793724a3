//! Judgement of backend servers by the requests they run.

use toucanledge_core::{ClassId, Millis};

use crate::LeaseOutcome;
use crate::dispatcher::ShardDispatcher;
use crate::lease;
use crate::memory;
use crate::queue;
use crate::server;
use crate::timing;

/// Least age of a request at which its backend server is avoided.
const OVERDUE_MS: u64 = 60;
/// Multiple of the class median at which a backend server is avoided.
const OVERDUE_MEDIANS: u64 = 3;
/// Age of the oldest request until which a further caller may confirm a stall or refute it.
const CONFIRM_MS: u64 = 400;
/// Time that a stall counts after its request was given up.
const ABANDONED_MS: u64 = 10_000;
/// Time that a backend server is avoided after it shed a request; a request takes about as long.
const SHED_MS: u64 = 50;
/// Abandoned requests that a backend server keeps; more add nothing to the evidence.
const ABANDONED_REQUESTS: usize = 64;
/// First time that a backend server is avoided after a request was given up there.
const AVOID_MS: u64 = 2_000;
/// Longest time that a backend server is avoided.
const AVOID_MAX_MS: u64 = 60_000;
/// Multiple of the class median at which work counts as long.
const LONG_MEDIANS: u64 = 10;
/// Least age of work that counts as long.
const LONG_MS: u64 = 50;

impl ShardDispatcher {
    /// Marks leases as long by age.
    pub(crate) fn judge_age(&mut self, now: Millis) {
        for key in self.leases.arena.keys().collect::<Vec<_>>() {
            let lease = &self.leases.arena[key];
            let (class, age) = (lease.mark.class, lease.age(now));
            if age <= self.long_age(class) || (lease.long && lease.recorded) {
                continue;
            }
            let lease = &mut self.leases.arena[key];
            lease.long = true;
            // Where nothing later completes, the request may be stalled instead of long.
            if lease.overtaken && !lease.recorded {
                lease.recorded = true;
                let (mark, expected) = (lease.mark, lease.expected_long());
                self.learn_long(mark, expected, true);
            }
        }
    }

    pub(crate) fn sample_short_use(&mut self, now: Millis) {
        let running = self.leases.arena.len() - self.leases.long();
        let waiting = self.queue.short_len();
        let level = timing::float_of((running + waiting) as u64);
        self.short_use.sample(level, now);
    }

    pub(crate) fn learn_long(&mut self, mark: memory::WorkMark, expected: bool, long: bool) {
        self.memory.record(mark, long);
        if !expected && let Some(state) = self.classes.get_mut(mark.class) {
            state.unexpected.add(long);
        }
    }

    /// Returns the age beyond which work of the class is long.
    pub(crate) fn long_age(&self, class: ClassId) -> u64 {
        self.class_median(class)
            .map_or(u64::MAX, |median| LONG_MS.max(LONG_MEDIANS * median))
    }

    fn class_median(&self, class: ClassId) -> Option<u64> {
        self.classes.get(class)?.median.millis()
    }

    /// Returns whether a later request of the class has completed at the same backend server.
    fn resolved(&self, lease: &lease::Lease) -> bool {
        self.servers
            .arena
            .get(lease.server)
            .is_some_and(|server| server.completed_after(lease.mark.class, lease.start))
    }

    /// Returns whether other backend servers are preferred for a request.
    ///
    /// While requests at a backend server are overdue, one other caller at a time may still use it
    /// for a short time, to confirm a stall or refute it. Keyed work may not, since it is not tried
    /// again.
    pub(crate) fn avoided(
        &self,
        server: &server::Server,
        waiting: &queue::WaitingAsk,
        now: Millis,
    ) -> bool {
        let caller = waiting.mark.caller;
        if server.fault.is_some() || server.avoided_until > now || server.slow_for(caller, now) {
            return true;
        }
        let open = self.unresolved(server);
        let overdue = |lease: &&lease::Lease| lease.age(now) > self.overdue_age(lease.mark.class);
        let Some(oldest) = open
            .clone()
            .filter(overdue)
            .map(|lease| lease.age(now))
            .max()
        else {
            return false;
        };
        let keyed = self
            .classes
            .policy(waiting.mark.class)
            .is_some_and(|row| row.keyed);
        let has_recent = open.clone().any(|lease| !overdue(&lease));
        let same_caller = open.clone().any(|lease| lease.mark.caller == caller);
        keyed || has_recent || same_caller || oldest > CONFIRM_MS
    }

    /// Counts the requests at a backend server that are overdue.
    pub(crate) fn overdue_count(&self, server: &server::Server, now: Millis) -> usize {
        let open = self.unresolved(server);
        open.filter(|lease| lease.age(now) > self.overdue_age(lease.mark.class))
            .count()
    }

    /// Returns the requests that are not expected to be long and that no later one overtook.
    fn unresolved<'a>(
        &'a self,
        server: &'a server::Server,
    ) -> impl Iterator<Item = &'a lease::Lease> + Clone {
        let leases = server.leases.iter().map(|key| &self.leases.arena[*key]);
        leases.filter(|lease| {
            !lease.expected_long() && !server.completed_after(lease.mark.class, lease.start)
        })
    }

    fn overdue_age(&self, class: ClassId) -> u64 {
        let median = self.class_median(class).unwrap_or(OVERDUE_MS);
        OVERDUE_MS.max(OVERDUE_MEDIANS * median)
    }

    /// Learns from the end of a lease how healthy its backend server is.
    pub(crate) fn observe_end(
        &mut self,
        lease: &lease::Lease,
        outcome: LeaseOutcome,
        service: u64,
        now: Millis,
    ) {
        match outcome {
            LeaseOutcome::Completed => self.observe_answer(lease, service, now),
            LeaseOutcome::DeadlineExceeded | LeaseOutcome::Cancelled => {
                self.observe_giving_up(lease, now);
            }
            LeaseOutcome::Shed => self.observe_shed(lease, now),
            LeaseOutcome::ConnectFailed
            | LeaseOutcome::ConnectionLost
            | LeaseOutcome::BadAnswer => {}
        }
    }

    fn observe_answer(&mut self, lease: &lease::Lease, service: u64, now: Millis) {
        let class = lease.mark.class;
        let long = service > self.long_age(class);
        self.learn_time(lease, long, now);
        if let Some(server) = self.servers.arena.get_mut(lease.server) {
            let request = timing::TimedRequest {
                start: lease.start,
                service,
            };
            server.recent.entry(class).or_default().add(request);
            server
                .abandoned
                .retain(|stall| stall.mark.class != class || stall.start >= lease.start);
            if server.abandoned.is_empty() {
                server.avoided_until = Millis(0);
                server.avoidances = 0;
            }
            if !long {
                server.tally_good(lease.mark.caller);
            }
            server.note_answer(lease.gateway, now);
        }
        self.mark_overtaken(lease, now);
        if long {
            self.observe_slow(lease, now);
        }
        if let Some(state) = self.classes.get_mut(class) {
            state.median.add(service);
        }
    }

    /// Marks the overdue requests that a later one overtook; their backend server does not stall.
    ///
    /// Requests overtaken while they were not overdue yet say nothing: a stall may begin just
    /// after.
    fn mark_overtaken(&mut self, ended: &lease::Lease, now: Millis) {
        let limit = self.overdue_age(ended.mark.class);
        let Some(server) = self.servers.arena.get_mut(ended.server) else {
            return;
        };
        for key in server.leases.clone() {
            let lease = &mut self.leases.arena[key];
            let older = lease.mark.class == ended.mark.class && lease.start < ended.start;
            if !older || lease.overtaken || lease.expected_long() || lease.age(now) <= limit {
                continue;
            }
            lease.overtaken = true;
            server.partial_since = Some(now);
            server.tally_slow(lease.mark.caller, now);
        }
    }

    fn learn_time(&mut self, lease: &lease::Lease, long: bool, now: Millis) {
        if !lease.recorded && lease.adopted.is_none() {
            self.learn_long(lease.mark, lease.expected_long(), long);
        }
        let held = lease.age(now);
        if let Some(state) = self.classes.get_mut(lease.mark.class) {
            let mean = if long {
                &mut state.long_time
            } else {
                &mut state.short_time
            };
            mean.add(held);
        }
    }

    /// Avoids a backend server that shed a request for a short time.
    ///
    /// A shed frees its slot at once, so the backend server with the most free slots would be the
    /// one that sheds most.
    fn observe_shed(&mut self, lease: &lease::Lease, now: Millis) {
        if let Some(server) = self.servers.arena.get_mut(lease.server) {
            server.avoided_until = server.avoided_until.max(now + SHED_MS);
        }
    }

    fn observe_giving_up(&mut self, lease: &lease::Lease, now: Millis) {
        if lease.age(now) > self.overdue_age(lease.mark.class) {
            self.observe_slow(lease, now);
        }
    }

    /// Keeps a slow request as evidence against its backend server, or against its caller there
    /// when later requests of the class did complete.
    fn observe_slow(&mut self, lease: &lease::Lease, now: Millis) {
        if lease.expected_long() || lease.overtaken {
            return;
        }
        let resolved = self.resolved(lease);
        let Some(server) = self.servers.arena.get_mut(lease.server) else {
            return;
        };
        if resolved {
            server.tally_slow(lease.mark.caller, now);
            return;
        }
        if server.abandoned.len() < ABANDONED_REQUESTS {
            server.abandoned.push(server::AbandonedRequest {
                mark: lease.mark,
                start: lease.start,
                end: now,
            });
        }
        let pause = AVOID_MS << server.avoidances.min(5);
        server.avoidances += 1;
        server.avoided_until = now + pause.min(AVOID_MAX_MS);
    }

    /// Drops evidence that is too old to count.
    pub(crate) fn forget_evidence(&mut self, now: Millis) {
        for server in self.servers.arena.values_mut() {
            server
                .abandoned
                .retain(|stall| now.since(stall.end) < ABANDONED_MS);
            server.slow_callers.retain(|_, tally| !tally.forgotten(now));
        }
    }
}
