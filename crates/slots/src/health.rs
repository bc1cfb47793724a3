//! Health evidence from the requests that backend servers run: overdue, slow and abandoned ones.

use toucanledge_core::{ClassId, Millis};

use crate::LeaseOutcome;
use crate::dispatcher::ShardDispatcher;
use crate::lease;
use crate::long_work;
use crate::queue;
use crate::server;
use crate::timing;

/// Least age at which a request is overdue and its backend server is avoided.
const OVERDUE_MIN_MS: u64 = 60;
/// Multiple of the class median at which a request is overdue.
const OVERDUE_MEDIANS: u64 = 3;
/// Age of the oldest overdue request until which other callers may still use the backend server,
/// to confirm or dismiss a stall.
const STALL_CONFIRMATION_MS: u64 = 400;
/// Time for which an abandoned request counts as evidence of a stall.
const ABANDONED_REQUEST_TTL_MS: u64 = 10_000;
/// Time for which an overloaded backend server is avoided; about one service time.
const OVERLOAD_AVOIDANCE_MS: u64 = 50;
/// Most abandoned requests stored for a backend server; more add nothing to the evidence.
const MAX_ABANDONED_REQUESTS: usize = 64;
/// Time for which a backend server is avoided after a slow or abandoned request; doubles each time.
const AVOIDANCE_BASE_MS: u64 = 2_000;
/// Longest time for which a backend server is avoided.
const AVOIDANCE_MAX_MS: u64 = 60_000;
/// Multiple of the class median at which work counts as long.
const LONG_MEDIANS: u64 = 10;
/// Least age of work that counts as long.
const LONG_MIN_MS: u64 = 50;

impl ShardDispatcher {
    /// Marks leases as long work by their age.
    pub(crate) fn mark_long_leases(&mut self, now: Millis) {
        for key in self.leases.arena.keys().collect::<Vec<_>>() {
            let lease = &self.leases.arena[key];
            let (class, age) = (lease.attributes.class, lease.age_ms(now));
            if age <= self.long_age_ms(class) || (lease.long && lease.recorded) {
                continue;
            }
            let lease = &mut self.leases.arena[key];
            lease.long = true;
            // Unless a later request completed, this one may be stalled rather than long.
            if lease.overtaken && !lease.recorded {
                lease.recorded = true;
                let (attributes, expected) = (lease.attributes, lease.expected_long());
                self.record_long_work(attributes, expected, true);
            }
        }
    }

    /// Samples the number of slots that short work uses or is queued for.
    pub(crate) fn sample_short_load(&mut self, now: Millis) {
        let in_flight = self.leases.arena.len() - self.leases.long_count();
        let queued = self.queue.short_len();
        let load = timing::to_f64((in_flight + queued) as u64);
        self.short_load.sample(load, now);
    }

    /// Records for the long-work predictor whether a request was long.
    pub(crate) fn record_long_work(
        &mut self,
        attributes: long_work::RequestAttributes,
        expected: bool,
        long: bool,
    ) {
        self.long_work_predictor.record(attributes, long);
        if !expected && let Some(state) = self.classes.get_mut(attributes.class) {
            state.unpredicted_long.add(long);
        }
    }

    /// Returns the age in milliseconds beyond which work of the class is long.
    pub(crate) fn long_age_ms(&self, class: ClassId) -> u64 {
        self.class_median_ms(class)
            .map_or(u64::MAX, |median| LONG_MIN_MS.max(LONG_MEDIANS * median))
    }

    fn class_median_ms(&self, class: ClassId) -> Option<u64> {
        self.classes.get(class)?.service_median.millis()
    }

    /// Returns whether a later request of the class has completed at the same backend server.
    fn has_completed_after(&self, lease: &lease::Lease) -> bool {
        self.servers
            .arena
            .get(lease.server)
            .is_some_and(|server| server.completed_after(lease.attributes.class, lease.start))
    }

    /// Returns whether other backend servers are preferred for a request.
    ///
    /// While requests at a backend server are overdue, one other caller at a time may still use it
    /// for a short time, to confirm or dismiss a stall. Keyed work may not, as it is not retried.
    pub(crate) fn should_avoid(
        &self,
        server: &server::Server,
        queued: &queue::QueuedRequest,
        now: Millis,
    ) -> bool {
        let caller = queued.attributes.caller;
        if server.fault.is_some() || server.avoided_until > now || server.is_slow_for(caller, now) {
            return true;
        }
        let pending = self.pending_requests(server);
        let overdue =
            |lease: &&lease::Lease| lease.age_ms(now) > self.overdue_age_ms(lease.attributes.class);
        let Some(oldest) = pending
            .clone()
            .filter(overdue)
            .map(|lease| lease.age_ms(now))
            .max()
        else {
            return false;
        };
        let keyed = self
            .classes
            .policy(queued.attributes.class)
            .is_some_and(|row| row.keyed);
        let has_recent = pending.clone().any(|lease| !overdue(&lease));
        let same_caller = pending
            .clone()
            .any(|lease| lease.attributes.caller == caller);
        keyed || has_recent || same_caller || oldest > STALL_CONFIRMATION_MS
    }

    /// Returns the number of overdue requests at a backend server.
    pub(crate) fn overdue_count(&self, server: &server::Server, now: Millis) -> usize {
        let pending = self.pending_requests(server);
        pending
            .filter(|lease| lease.age_ms(now) > self.overdue_age_ms(lease.attributes.class))
            .count()
    }

    /// Returns the requests in flight that are not expected to be long and that no later request of
    /// their class overtook.
    fn pending_requests<'a>(
        &'a self,
        server: &'a server::Server,
    ) -> impl Iterator<Item = &'a lease::Lease> + Clone {
        let leases = server.leases.iter().map(|key| &self.leases.arena[*key]);
        leases.filter(|lease| {
            !lease.expected_long() && !server.completed_after(lease.attributes.class, lease.start)
        })
    }

    fn overdue_age_ms(&self, class: ClassId) -> u64 {
        let median = self.class_median_ms(class).unwrap_or(OVERDUE_MIN_MS);
        OVERDUE_MIN_MS.max(OVERDUE_MEDIANS * median)
    }

    /// Updates the health evidence of a backend server from the outcome of a lease.
    pub(crate) fn observe_outcome(
        &mut self,
        lease: &lease::Lease,
        outcome: LeaseOutcome,
        service_ms: u64,
        now: Millis,
    ) {
        match outcome {
            LeaseOutcome::Completed => self.observe_response(lease, service_ms, now),
            LeaseOutcome::DeadlineExceeded | LeaseOutcome::Cancelled => {
                self.observe_abandonment(lease, now);
            }
            LeaseOutcome::Shed => self.observe_overload(lease, now),
            LeaseOutcome::ConnectFailed
            | LeaseOutcome::ConnectionLost
            | LeaseOutcome::BadAnswer => {}
        }
    }

    fn observe_response(&mut self, lease: &lease::Lease, service_ms: u64, now: Millis) {
        let class = lease.attributes.class;
        let long = service_ms > self.long_age_ms(class);
        self.record_service_time(lease, long, now);
        if let Some(server) = self.servers.arena.get_mut(lease.server) {
            let request = timing::TimedRequest {
                start: lease.start,
                service_ms,
            };
            server
                .recent_requests
                .entry(class)
                .or_default()
                .add(request);
            server.abandoned.retain(|request| {
                request.attributes.class != class || request.start >= lease.start
            });
            if server.abandoned.is_empty() {
                server.avoided_until = Millis(0);
                server.avoidance_count = 0;
            }
            if !long {
                server.record_fast(lease.attributes.caller);
            }
            server.record_response(lease.gateway, now);
        }
        self.mark_overtaken(lease, now);
        if long {
            self.observe_slow(lease, now);
        }
        if let Some(state) = self.classes.get_mut(class) {
            state.service_median.add(service_ms);
        }
    }

    /// Marks the overdue requests that a completed later one overtook; their backend server does
    /// not stall.
    ///
    /// A request that is not overdue yet is not marked, since a stall may begin just afterwards.
    fn mark_overtaken(&mut self, completed: &lease::Lease, now: Millis) {
        let limit = self.overdue_age_ms(completed.attributes.class);
        let Some(server) = self.servers.arena.get_mut(completed.server) else {
            return;
        };
        for key in server.leases.clone() {
            let lease = &mut self.leases.arena[key];
            let older = lease.attributes.class == completed.attributes.class
                && lease.start < completed.start;
            if !older || lease.overtaken || lease.expected_long() || lease.age_ms(now) <= limit {
                continue;
            }
            lease.overtaken = true;
            server.last_overtake = Some(now);
            server.record_slow(lease.attributes.caller, now);
        }
    }

    fn record_service_time(&mut self, lease: &lease::Lease, long: bool, now: Millis) {
        if !lease.recorded && lease.adopted_id.is_none() {
            self.record_long_work(lease.attributes, lease.expected_long(), long);
        }
        let lease_age = lease.age_ms(now);
        if let Some(state) = self.classes.get_mut(lease.attributes.class) {
            let mean = if long {
                &mut state.long_mean
            } else {
                &mut state.short_mean
            };
            mean.add(lease_age);
        }
    }

    /// Avoids a backend server for a short time after it rejected a request as overloaded.
    ///
    /// A rejected request frees its slot at once, so the backend server that rejects most would have
    /// the most free slots and attract the most requests.
    fn observe_overload(&mut self, lease: &lease::Lease, now: Millis) {
        if let Some(server) = self.servers.arena.get_mut(lease.server) {
            server.avoided_until = server.avoided_until.max(now + OVERLOAD_AVOIDANCE_MS);
        }
    }

    fn observe_abandonment(&mut self, lease: &lease::Lease, now: Millis) {
        if lease.age_ms(now) > self.overdue_age_ms(lease.attributes.class) {
            self.observe_slow(lease, now);
        }
    }

    /// Stores a slow request as evidence of a stall, or counts it for its caller at this backend
    /// server when later requests of the class did complete.
    fn observe_slow(&mut self, lease: &lease::Lease, now: Millis) {
        if lease.expected_long() || lease.overtaken {
            return;
        }
        let overtaken = self.has_completed_after(lease);
        let Some(server) = self.servers.arena.get_mut(lease.server) else {
            return;
        };
        if overtaken {
            server.record_slow(lease.attributes.caller, now);
            return;
        }
        if server.abandoned.len() < MAX_ABANDONED_REQUESTS {
            server.abandoned.push(server::AbandonedRequest {
                attributes: lease.attributes,
                start: lease.start,
                end: now,
            });
        }
        let avoidance = AVOIDANCE_BASE_MS << server.avoidance_count.min(5);
        server.avoidance_count += 1;
        server.avoided_until = now + avoidance.min(AVOIDANCE_MAX_MS);
    }

    /// Drops evidence past its retention.
    pub(crate) fn expire_evidence(&mut self, now: Millis) {
        for server in self.servers.arena.values_mut() {
            server
                .abandoned
                .retain(|request| now.since(request.end) < ABANDONED_REQUEST_TTL_MS);
            server
                .slow_callers
                .retain(|_, count| !count.is_expired(now));
        }
    }
}
