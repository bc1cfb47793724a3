//! Admission and refusal of lease requests, and the replies to gateways.

use toucanledge_core::{Millis, RefusalReason, VmId};

use crate::crash_suspects;
use crate::dispatcher::ShardDispatcher;
use crate::lease;
use crate::long_work;
use crate::queue;
use crate::{DispatchAction, LeaseGrant, LeaseRefusal, LeaseReply, LeaseRequest};

/// Most lease requests in the queue of a shard; bounds the memory whatever the table says.
const MAX_QUEUED_REQUESTS: usize = 4_096;
/// Least `retry_after_ms`; an earlier retry would find the same queue.
const MIN_RETRY_AFTER_MS: u32 = 50;
/// Greatest `retry_after_ms`.
const MAX_RETRY_AFTER_MS: u32 = 10_000;
/// `retry_after_ms` when it is unknown how long the cause lasts.
const DEFAULT_RETRY_AFTER_MS: u32 = 1_000;
/// `retry_after_ms` for a request that is suspected of crashing backend servers.
const CRASH_SUSPECT_RETRY_AFTER_MS: u32 = 10_000;

impl ShardDispatcher {
    /// Adds a lease request to the queue, or refuses it. A duplicate of a queued one is ignored.
    pub(crate) fn admit(
        &mut self,
        gateway: VmId,
        request: LeaseRequest,
        now: Millis,
        actions: &mut Vec<DispatchAction>,
    ) {
        if self.queue.find(gateway, request.request_id).is_some() {
            return;
        }
        let queued = self.queued_request(gateway, request, now);
        if let Some((reason, retry_after_ms)) = self.refusal_reason(&queued, now) {
            self.reply_refusal(&queued, reason, retry_after_ms, now, actions);
            return;
        }
        self.queue.insert(queued);
    }

    fn queued_request(
        &self,
        gateway: VmId,
        request: LeaseRequest,
        now: Millis,
    ) -> queue::QueuedRequest {
        let attributes = long_work::RequestAttributes {
            class: request.class,
            caller: request.caller,
            route: request.route,
            fingerprint: request.fingerprint,
        };
        let lane = if self.crash_suspects.level(request.fingerprint)
            != crash_suspects::SuspicionLevel::Clear
        {
            queue::QueueLane::Suspect
        } else if self.expects_long(attributes) {
            queue::QueueLane::Long
        } else {
            queue::QueueLane::Short
        };
        let deadline = now + u64::from(request.remaining_ms);
        let row = self.classes.policy(request.class);
        let queue_ms = row.map_or(0, |row| row.queue_ms);
        queue::QueuedRequest {
            gateway,
            request_id: request.request_id,
            attributes,
            lane,
            exclude: request.exclude,
            deadline,
            expires: deadline.min(now + u64::from(queue_ms)),
        }
    }

    fn expects_long(&self, attributes: long_work::RequestAttributes) -> bool {
        let state = self.classes.get(attributes.class);
        state.is_some_and(|state| {
            self.long_work_predictor
                .expects_long(attributes, state.unpredicted_long.share())
        })
    }

    /// Returns why a lease request cannot be queued, and the milliseconds until a retry.
    fn refusal_reason(
        &mut self,
        queued: &queue::QueuedRequest,
        now: Millis,
    ) -> Option<(RefusalReason, u32)> {
        if self.policy.is_none() {
            return Some((RefusalReason::NoTable, DEFAULT_RETRY_AFTER_MS));
        }
        let Some(row) = self.classes.policy(queued.attributes.class) else {
            return Some((RefusalReason::NoRoute, DEFAULT_RETRY_AFTER_MS));
        };
        let rate = row.rate_limit_per_s;
        if self.crash_suspects.level(queued.attributes.fingerprint)
            == crash_suspects::SuspicionLevel::Refused
        {
            return Some((RefusalReason::CrashSuspect, CRASH_SUSPECT_RETRY_AFTER_MS));
        }
        if queued.deadline <= now {
            return Some((RefusalReason::QueueDeadline, MIN_RETRY_AFTER_MS));
        }
        if !self.servers.any_usable(&queued.exclude, now) {
            return Some((RefusalReason::NoBackend, self.reinstatement_wait_ms(now)));
        }
        if self.queue.len() >= MAX_QUEUED_REQUESTS {
            let wait = self.expected_wait_ms(queued.attributes.class, queued.lane, now);
            return Some((RefusalReason::QueueFull, wait));
        }
        let state = self.classes.get_mut(queued.attributes.class)?;
        let token = state.bucket.take(rate, now);
        token.err().map(|wait| (RefusalReason::RateLimit, wait))
    }

    /// Refuses queued requests that expired, and after a health evaluation those that no backend
    /// server may serve.
    pub(crate) fn refuse_expired(&mut self, now: Millis, actions: &mut Vec<DispatchAction>) {
        for key in self.queue.expired(now) {
            let late = self.queue.arena[key].deadline <= now;
            let reason = if late {
                RefusalReason::QueueDeadline
            } else {
                RefusalReason::QueueFull
            };
            self.refuse(key, reason, None, now, actions);
        }
        if self.last_evaluated == now {
            self.refuse_unservable(now, actions);
        }
    }

    fn refuse_unservable(&mut self, now: Millis, actions: &mut Vec<DispatchAction>) {
        let reinstatement_wait_ms = self.reinstatement_wait_ms(now);
        for key in self.queue.arena.keys().collect::<Vec<_>>() {
            let queued = &self.queue.arena[key];
            let level = self.crash_suspects.level(queued.attributes.fingerprint);
            let (reason, retry_after_ms) = if level == crash_suspects::SuspicionLevel::Refused {
                (RefusalReason::CrashSuspect, CRASH_SUSPECT_RETRY_AFTER_MS)
            } else if self.classes.policy(queued.attributes.class).is_none() {
                (RefusalReason::NoRoute, DEFAULT_RETRY_AFTER_MS)
            } else if !self.servers.any_usable(&queued.exclude, now) {
                (RefusalReason::NoBackend, reinstatement_wait_ms)
            } else {
                continue;
            };
            self.refuse(key, reason, Some(retry_after_ms), now, actions);
        }
    }

    /// Refuses requests queued by this event whose expected wait exceeds their limit.
    pub(crate) fn refuse_over_wait_limit(
        &mut self,
        now: Millis,
        actions: &mut Vec<DispatchAction>,
    ) {
        for key in self.queue.take_unassessed() {
            let Some(queued) = self.queue.arena.get(key) else {
                continue;
            };
            let wait = u64::from(self.expected_wait_ms(queued.attributes.class, queued.lane, now));
            if now + wait <= queued.expires {
                continue;
            }
            let reason = if queued.expires == queued.deadline {
                RefusalReason::QueueDeadline
            } else {
                RefusalReason::QueueFull
            };
            let class = queued.attributes.class;
            self.refuse(key, reason, None, now, actions);
            if let Some(state) = self.classes.get_mut(class) {
                state.bucket.refund();
            }
        }
    }

    fn refuse(
        &mut self,
        key: queue::QueueKey,
        reason: RefusalReason,
        retry_after_ms: Option<u32>,
        now: Millis,
        actions: &mut Vec<DispatchAction>,
    ) {
        if let Some(queued) = self.queue.remove(key) {
            let wait = || self.expected_wait_ms(queued.attributes.class, queued.lane, now);
            let retry_after_ms = retry_after_ms.unwrap_or_else(wait);
            self.reply_refusal(&queued, reason, retry_after_ms, now, actions);
        }
    }

    /// Returns the milliseconds until the first ejected backend server may be probed.
    fn reinstatement_wait_ms(&self, now: Millis) -> u32 {
        let servers = self.servers.arena.values();
        let first = servers
            .filter(|server| !server.is_leaving())
            .filter_map(|server| Some(server.ejection?.until.since(now)))
            .min();
        first.map_or(DEFAULT_RETRY_AFTER_MS, |wait| {
            u32::try_from(wait).unwrap_or(MAX_RETRY_AFTER_MS)
        })
    }

    fn reply_refusal(
        &mut self,
        queued: &queue::QueuedRequest,
        reason: RefusalReason,
        retry_after_ms: u32,
        now: Millis,
        actions: &mut Vec<DispatchAction>,
    ) {
        *self.counters.refusals.entry(reason).or_default() += 1;
        let refusal = LeaseRefusal {
            request_id: queued.request_id,
            reason,
            retry_after_ms: retry_after_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS),
            table_revision: self.table_revision(),
            expected_wait_ms: self.next_expected_wait_ms(queued, now),
        };
        actions.push(DispatchAction::Reply {
            gateway: queued.gateway,
            reply: LeaseReply::Refusal(refusal),
        });
    }

    pub(crate) fn reply_grant(
        &self,
        queued: &queue::QueuedRequest,
        key: lease::LeaseKey,
        backend: VmId,
        now: Millis,
        actions: &mut Vec<DispatchAction>,
    ) {
        let grant = LeaseGrant {
            request_id: queued.request_id,
            lease: self.leases.id(key),
            backend,
            table_revision: self.table_revision(),
            expected_wait_ms: self.next_expected_wait_ms(queued, now),
        };
        actions.push(DispatchAction::Reply {
            gateway: queued.gateway,
            reply: LeaseReply::Grant(grant),
        });
    }

    fn next_expected_wait_ms(&self, queued: &queue::QueuedRequest, now: Millis) -> u32 {
        self.expected_wait_ms(queued.attributes.class, queue::QueueLane::Short, now)
    }
}
