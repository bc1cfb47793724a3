//! Admission of asks, refusals and replies.

use toucanledge_core::{Millis, RefusalReason, VmId};

use crate::dispatcher::ShardDispatcher;
use crate::lease;
use crate::memory;
use crate::queue;
use crate::suspicion;
use crate::{DispatchAction, LeaseGrant, LeaseRefusal, LeaseReply, LeaseRequest};

/// Asks that may wait in a shard at once; bounds the memory whatever the table says.
const QUEUE_ASKS: usize = 4_096;
/// Least `retry_after`; an earlier try would find the same queue.
const RETRY_MIN_MS: u32 = 50;
/// Greatest `retry_after`.
const RETRY_MAX_MS: u32 = 10_000;
/// `retry_after` when nothing is known of the end of the cause.
const RETRY_UNKNOWN_MS: u32 = 1_000;
/// Time that a request suspected of crashes is refused.
const RETRY_SUSPECT_MS: u32 = 10_000;

impl ShardDispatcher {
    pub(crate) fn admit(
        &mut self,
        gateway: VmId,
        ask: LeaseRequest,
        now: Millis,
        steps: &mut Vec<DispatchAction>,
    ) {
        if self.queue.find(gateway, ask.request_id).is_some() {
            return;
        }
        let waiting = self.waiting_of(gateway, ask, now);
        if let Some((reason, retry)) = self.refusal_of(&waiting, now) {
            self.reply_refusal(&waiting, reason, retry, now, steps);
            return;
        }
        self.queue.insert(waiting);
    }

    fn waiting_of(&self, gateway: VmId, ask: LeaseRequest, now: Millis) -> queue::WaitingAsk {
        let mark = memory::WorkMark {
            class: ask.class,
            caller: ask.caller,
            route: ask.route,
            fingerprint: ask.fingerprint,
        };
        let lane = if self.suspicions.level(ask.fingerprint) != suspicion::SuspicionLevel::Clear {
            queue::AskLane::Suspect
        } else if self.expects_long(mark) {
            queue::AskLane::Long
        } else {
            queue::AskLane::Short
        };
        let deadline = now + u64::from(ask.remaining_ms);
        let row = self.classes.policy(ask.class);
        let queue_ms = row.map_or(0, |row| row.queue_ms);
        queue::WaitingAsk {
            gateway,
            ask: ask.request_id,
            mark,
            lane,
            exclude: ask.exclude,
            deadline,
            expires: deadline.min(now + u64::from(queue_ms)),
        }
    }

    fn expects_long(&self, mark: memory::WorkMark) -> bool {
        let state = self.classes.get(mark.class);
        state.is_some_and(|state| self.memory.expects_long(mark, state.unexpected.share()))
    }

    /// Returns why an ask cannot even wait, and when to try again.
    fn refusal_of(
        &mut self,
        waiting: &queue::WaitingAsk,
        now: Millis,
    ) -> Option<(RefusalReason, u32)> {
        if self.policy.is_none() {
            return Some((RefusalReason::NoTable, RETRY_UNKNOWN_MS));
        }
        let Some(row) = self.classes.policy(waiting.mark.class) else {
            return Some((RefusalReason::NoRoute, RETRY_UNKNOWN_MS));
        };
        let rate = row.rate_limit_per_s;
        if self.suspicions.level(waiting.mark.fingerprint) == suspicion::SuspicionLevel::Refused {
            return Some((RefusalReason::CrashSuspect, RETRY_SUSPECT_MS));
        }
        if waiting.deadline <= now {
            return Some((RefusalReason::QueueDeadline, RETRY_MIN_MS));
        }
        if !self.servers.any_usable(&waiting.exclude, now) {
            return Some((RefusalReason::NoBackend, self.return_wait(now)));
        }
        if self.queue.len() >= QUEUE_ASKS {
            let wait = self.expected_wait(waiting.mark.class, waiting.lane, now);
            return Some((RefusalReason::QueueFull, wait));
        }
        let state = self.classes.get_mut(waiting.mark.class)?;
        let token = state.bucket.take(rate, now);
        token.err().map(|wait| (RefusalReason::RateLimit, wait))
    }

    /// Refuses waiting asks that can no longer be served.
    pub(crate) fn refuse_due(&mut self, now: Millis, steps: &mut Vec<DispatchAction>) {
        for key in self.queue.expired(now) {
            let late = self.queue.arena[key].deadline <= now;
            let reason = if late {
                RefusalReason::QueueDeadline
            } else {
                RefusalReason::QueueFull
            };
            self.refuse(key, reason, None, now, steps);
        }
        if self.last_judged == now {
            self.refuse_hopeless(now, steps);
        }
    }

    fn refuse_hopeless(&mut self, now: Millis, steps: &mut Vec<DispatchAction>) {
        let retry = self.return_wait(now);
        for key in self.queue.arena.keys().collect::<Vec<_>>() {
            let waiting = &self.queue.arena[key];
            let level = self.suspicions.level(waiting.mark.fingerprint);
            let (reason, retry) = if level == suspicion::SuspicionLevel::Refused {
                (RefusalReason::CrashSuspect, RETRY_SUSPECT_MS)
            } else if self.classes.policy(waiting.mark.class).is_none() {
                (RefusalReason::NoRoute, RETRY_UNKNOWN_MS)
            } else if !self.servers.any_usable(&waiting.exclude, now) {
                (RefusalReason::NoBackend, retry)
            } else {
                continue;
            };
            self.refuse(key, reason, Some(retry), now, steps);
        }
    }

    /// Refuses new asks whose expected wait is too long.
    pub(crate) fn refuse_slow(&mut self, now: Millis, steps: &mut Vec<DispatchAction>) {
        for key in self.queue.take_unjudged() {
            let Some(waiting) = self.queue.arena.get(key) else {
                continue;
            };
            let wait = u64::from(self.expected_wait(waiting.mark.class, waiting.lane, now));
            if now + wait <= waiting.expires {
                continue;
            }
            let reason = if waiting.expires == waiting.deadline {
                RefusalReason::QueueDeadline
            } else {
                RefusalReason::QueueFull
            };
            let class = waiting.mark.class;
            self.refuse(key, reason, None, now, steps);
            if let Some(state) = self.classes.get_mut(class) {
                state.bucket.give_back();
            }
        }
    }

    fn refuse(
        &mut self,
        key: queue::AskKey,
        reason: RefusalReason,
        retry: Option<u32>,
        now: Millis,
        steps: &mut Vec<DispatchAction>,
    ) {
        if let Some(waiting) = self.queue.remove(key) {
            let wait = || self.expected_wait(waiting.mark.class, waiting.lane, now);
            let retry = retry.unwrap_or_else(wait);
            self.reply_refusal(&waiting, reason, retry, now, steps);
        }
    }

    /// Returns the milliseconds until the first ejected backend server may return.
    fn return_wait(&self, now: Millis) -> u32 {
        let servers = self.servers.arena.values();
        let first = servers
            .filter(|server| !server.leaving())
            .filter_map(|server| Some(server.absence?.until.since(now)))
            .min();
        first.map_or(RETRY_UNKNOWN_MS, |wait| {
            u32::try_from(wait).unwrap_or(RETRY_MAX_MS)
        })
    }

    fn reply_refusal(
        &mut self,
        waiting: &queue::WaitingAsk,
        reason: RefusalReason,
        retry: u32,
        now: Millis,
        steps: &mut Vec<DispatchAction>,
    ) {
        *self.counters.refusals.entry(reason).or_default() += 1;
        let refusal = LeaseRefusal {
            request_id: waiting.ask,
            reason,
            retry_after_ms: retry.clamp(RETRY_MIN_MS, RETRY_MAX_MS),
            table_revision: self.table(),
            expected_wait_ms: self.wait_of_next(waiting, now),
        };
        steps.push(DispatchAction::Reply {
            gateway: waiting.gateway,
            reply: LeaseReply::Refusal(refusal),
        });
    }

    pub(crate) fn reply_grant(
        &self,
        waiting: &queue::WaitingAsk,
        key: lease::LeaseKey,
        backend: VmId,
        now: Millis,
        steps: &mut Vec<DispatchAction>,
    ) {
        let grant = LeaseGrant {
            request_id: waiting.ask,
            lease: self.leases.id(key),
            backend,
            table_revision: self.table(),
            expected_wait_ms: self.wait_of_next(waiting, now),
        };
        steps.push(DispatchAction::Reply {
            gateway: waiting.gateway,
            reply: LeaseReply::Grant(grant),
        });
    }

    fn wait_of_next(&self, waiting: &queue::WaitingAsk, now: Millis) -> u32 {
        self.expected_wait(waiting.mark.class, queue::AskLane::Short, now)
    }
}
