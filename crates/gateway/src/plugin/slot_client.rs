//! The asking side of slots: chooses a dispatcher and follows each ask to its end.

use std::collections;
use std::net;
use std::sync;

use toucanledge_core::{Millis, RefusalReason, ShardId, TableRevision, VmId, VmList};
use toucanledge_membership::ShardMap;
use toucanledge_settings::DispatchPolicy;
use toucanledge_slots::{
    HeldLeases, LeaseGrant, LeaseId, LeaseOutcome, LeaseRefusal, LeaseReply, LeaseReport,
    LeaseRequest, LeaseRequestId,
};
use toucanledge_table::PublishedTable;
use toucanledge_wire::PeerMessage;

use crate::board::FleetView;
use crate::kernel::{KernelHandle, PluginEvent, PluginName};
use crate::plugin::baseline::BaselinePolicy;
use crate::plugin::held_slots::{HeldSlot, HeldSlots};
use crate::plugin::pending_ask;
use crate::plugin::pending_ask::{AskTrail, PendingAsk};
use crate::plugin::safe_share::SafeShare;
use crate::plugin::slot_choice::ShardChoice;
use crate::plugin::slots::{SlotDecision, SlotEnd, SlotOrigin, SlotRequest, SlotTicket};

/// Milliseconds after which a caller that this gateway refuses may try again.
const RETRY_AFTER_MS: u32 = 1000;
/// Time in milliseconds for which a grant may arrive late.
const ABANDONED_MS: u64 = 5_000;
/// What to do with an ask that a dispatcher did not serve.
#[derive(Clone, Copy)]
enum AskStep {
    Ask(ShardId, VmId),
    SafeShare,
    Refuse(RefusalReason, u32, TableRevision),
}

/// The asking side of slots.
pub struct SlotClient {
    kernel: sync::Arc<KernelHandle>,
    next_ask: u64,
    choice: ShardChoice,
    share: SafeShare,
    addresses: collections::HashMap<VmId, net::SocketAddr>,
    pending: collections::HashMap<LeaseRequestId, PendingAsk>,
    /// Shards of asks that were given up; a grant may still arrive for them.
    abandoned: collections::HashMap<LeaseRequestId, (ShardId, Millis)>,
    held: HeldSlots,
    baseline: Option<BaselinePolicy>,
    table: TableRevision,
    local: Vec<PeerMessage>,
    checked_at: Millis,
}

impl SlotClient {
    /// Returns a client that knows no dispatcher yet.
    pub fn new(kernel: sync::Arc<KernelHandle>) -> Self {
        let baseline =
            (kernel.settings.policy == DispatchPolicy::Baseline).then(BaselinePolicy::default);
        Self {
            choice: ShardChoice::new(kernel.settings.failure_domain),
            kernel,
            baseline,
            next_ask: 0,
            share: SafeShare::default(),
            addresses: collections::HashMap::new(),
            pending: collections::HashMap::new(),
            abandoned: collections::HashMap::new(),
            held: HeldSlots::default(),
            table: TableRevision::default(),
            local: Vec::new(),
            checked_at: Millis::default(),
        }
    }

    /// Takes the messages for the dispatchers of this gateway.
    pub fn take_local(&mut self) -> Vec<PeerMessage> {
        std::mem::take(&mut self.local)
    }

    /// Starts to look for a slot.
    pub fn want(&mut self, request: SlotRequest) {
        if self.baseline.is_some() {
            self.want_baseline(request);
            return;
        }
        self.next_ask += 1;
        self.proceed(LeaseRequestId(self.next_ask), request, AskTrail::default());
    }

    /// Takes the reply of a dispatcher.
    pub fn reply(&mut self, from: VmId, reply: LeaseReply) {
        match reply {
            LeaseReply::Queued(queued) => {
                self.note_queued(from, queued.request_id, queued.expected_wait_ms);
            }
            LeaseReply::Grant(grant) => self.take_grant(from, &grant),
            LeaseReply::Refusal(refusal) => self.take_refusal(from, refusal),
        }
    }

    /// Reports the end of a slot to whoever granted it.
    pub fn end(&mut self, end: &SlotEnd) {
        match end.origin {
            SlotOrigin::Dispatcher { vm, shard, lease } => {
                self.held.remove(vm, shard, lease);
                let report = end.report;
                let to = self.choice.dispatcher_of(shard).unwrap_or(vm);
                if to != vm {
                    self.send(to, PeerMessage::LeaseReport { shard, report });
                }
                self.send(vm, PeerMessage::LeaseReport { shard, report });
            }
            SlotOrigin::SafeShare(ask) => {
                let fingerprint = self.share.give_back(end.backend, ask);
                // No dispatcher hears of this loss, so it counts without a probe.
                if let Some(fingerprint) = fingerprint
                    && end.report.outcome == LeaseOutcome::ConnectionLost
                {
                    let event = PluginEvent::CrashSeen(fingerprint);
                    self.kernel.notify(PluginName::Membership, event);
                }
            }
            SlotOrigin::Baseline => {
                let now = self.kernel.clock.now();
                if let Some(policy) = &mut self.baseline
                    && policy.record(end.backend, end.report.outcome, now)
                {
                    metrics::counter!("toucanledge_ejections_total", "reason" => "baseline")
                        .increment(1);
                }
            }
        }
    }

    fn want_baseline(&mut self, request: SlotRequest) {
        let now = self.kernel.clock.now();
        let servers = self.share.servers(request.pool);
        let choice = self
            .baseline
            .as_mut()
            .and_then(|policy| policy.choose(servers, &request.exclude, now));
        let found = choice.and_then(|server| Some((server, *self.addresses.get(&server)?)));
        let decision = match found {
            Some((backend, address)) => SlotDecision::Granted(SlotTicket::new(
                &self.kernel,
                SlotOrigin::Baseline,
                backend,
                address,
            )),
            None => self.refused(RefusalReason::NoBackend),
        };
        let _ = request.reply.send(decision);
    }

    /// Returns the decision of a refusal by this gateway itself.
    fn refused(&self, reason: RefusalReason) -> SlotDecision {
        SlotDecision::Refused {
            reason,
            retry_after: RETRY_AFTER_MS,
            table: self.table,
        }
    }

    /// Tells the requests in flight at an ejected backend server to try elsewhere.
    pub fn revoke(&mut self, backend: VmId) {
        self.held.revoke(backend);
    }

    /// Looks at silent dispatchers, passed deadlines and requests that went away.
    pub fn tick(&mut self) {
        let now = self.kernel.clock.now();
        if now.since(self.checked_at) < 5 {
            return;
        }
        self.checked_at = now;
        self.abandoned
            .retain(|_, (_, since)| now.since(*since) < ABANDONED_MS);
        let due: Vec<LeaseRequestId> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.is_due(now))
            .map(|(ask, _)| *ask)
            .collect();
        for ask in due {
            self.follow_up(ask, now);
        }
    }

    /// Takes the present table, list and view, and moves asks and leases to new dispatchers.
    pub fn reconfigure(
        &mut self,
        table: &PublishedTable,
        list: &VmList,
        view: &FleetView,
        shards: &ShardMap,
    ) {
        self.table = table.revision();
        self.addresses = list
            .backends()
            .filter_map(|entry| Some((entry.vm, entry.address?)))
            .collect();
        self.share.reconfigure(list, shards);
        let moved = self.choice.reconfigure(shards, &view.live);
        self.kernel.board.pools.send_replace(self.share.pools());
        for (shard, dispatcher) in moved {
            self.move_shard(shard, dispatcher);
        }
    }

    /// Tells a new dispatcher of the leases held, then asks it again for what waits.
    fn move_shard(&mut self, shard: ShardId, dispatcher: VmId) {
        let now = self.kernel.clock.now();
        let holds = self.held.of_shard(shard, now);
        if !holds.is_empty() {
            self.send(
                dispatcher,
                PeerMessage::HeldLeases(HeldLeases {
                    shard,
                    leases: holds,
                }),
            );
        }
        let waiting: Vec<LeaseRequestId> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.shard == shard && pending.dispatcher != dispatcher)
            .map(|(ask, _)| *ask)
            .collect();
        for ask in waiting {
            self.ask_again(ask);
        }
    }

    fn send(&mut self, vm: VmId, message: PeerMessage) {
        if vm == self.kernel.vm {
            self.local.push(message);
        } else {
            self.kernel.send(vm, &message);
        }
    }

    /// Decides what to do for a request after what its ask met so far.
    fn next_step(&self, request: &SlotRequest, trail: &AskTrail) -> AskStep {
        let view = self.kernel.board.current_view();
        let suspected = view.suspicions.contains_key(&request.fingerprint);
        let choice = if suspected {
            // A suspected request always goes to the same shard, which runs one at a time.
            self.choice
                .home_of_suspects(request.pool)
                .filter(|peer| !trail.refused.contains(&peer.shard))
        } else {
            let now = self.kernel.clock.now();
            let (pool, refused) = (request.pool, &trail.refused);
            match &trail.refusal {
                Some(refusal) if refusal.reason == RefusalReason::QueueFull => self
                    .choice
                    .best_with_room(pool, refused, now, request.queue_ms),
                _ => self.choice.best(pool, refused, now, self.next_ask),
            }
        };
        if let Some(peer) = choice {
            return AskStep::Ask(peer.shard, peer.dispatcher);
        }
        if let Some(refusal) = &trail.refusal {
            return AskStep::Refuse(
                refusal.reason,
                refusal.retry_after_ms,
                refusal.table_revision,
            );
        }
        // The safe share would let a suspected request run at several backend servers at once.
        if suspected {
            return AskStep::Refuse(RefusalReason::CrashSuspect, RETRY_AFTER_MS, self.table);
        }
        if self.share.servers(request.pool).is_empty() {
            return AskStep::Refuse(RefusalReason::NoBackend, RETRY_AFTER_MS, self.table);
        }
        AskStep::SafeShare
    }

    fn proceed(&mut self, ask: LeaseRequestId, request: SlotRequest, trail: AskTrail) {
        let step = self.next_step(&request, &trail);
        self.advance(ask, request, trail, step);
    }

    fn advance(
        &mut self,
        ask: LeaseRequestId,
        request: SlotRequest,
        trail: AskTrail,
        step: AskStep,
    ) {
        match step {
            AskStep::Ask(shard, dispatcher) => {
                self.ask(ask, request, trail, shard, dispatcher);
            }
            AskStep::SafeShare => self.use_safe_share(ask, request),
            AskStep::Refuse(reason, retry_after, table) => {
                let decision = SlotDecision::Refused {
                    reason,
                    retry_after,
                    table,
                };
                let _ = request.reply.send(decision);
            }
        }
    }

    fn ask(
        &mut self,
        ask: LeaseRequestId,
        request: SlotRequest,
        trail: AskTrail,
        shard: ShardId,
        dispatcher: VmId,
    ) {
        let now = self.kernel.clock.now();
        let message = PeerMessage::LeaseRequest(LeaseRequest {
            request_id: ask,
            shard,
            class: request.class,
            caller: request.caller,
            route: request.route,
            fingerprint: request.fingerprint,
            remaining_ms: u32::try_from(request.deadline.since(now)).unwrap_or(u32::MAX),
            exclude: request.exclude.clone(),
        });
        let pending = PendingAsk {
            request,
            shard,
            dispatcher,
            asked_at: now,
            queued: false,
            trail,
        };
        self.pending.insert(ask, pending);
        self.send(dispatcher, message);
    }

    /// Takes one slot of a backend server that this gateway does not use yet.
    fn use_safe_share(&mut self, ask: LeaseRequestId, request: SlotRequest) {
        let taken = self.share.take(ask, &request);
        let found = taken.and_then(|server| Some((server, *self.addresses.get(&server)?)));
        let decision = match found {
            Some((backend, address)) => {
                metrics::counter!("toucanledge_safe_share_slots_total").increment(1);
                let origin = SlotOrigin::SafeShare(ask);
                let ticket = SlotTicket::new(&self.kernel, origin, backend, address);
                SlotDecision::Granted(ticket)
            }
            None => self.refused(RefusalReason::NoDispatcher),
        };
        let _ = request.reply.send(decision);
    }

    fn note_queued(&mut self, from: VmId, ask: LeaseRequestId, wait: u32) {
        let Some(pending) = self.pending.get_mut(&ask) else {
            return;
        };
        if pending.dispatcher == from {
            pending.queued = true;
            let shard = pending.shard;
            self.note_wait(shard, wait);
        }
    }

    fn note_wait(&mut self, shard: ShardId, wait: u32) {
        let now = self.kernel.clock.now();
        self.choice.note_wait(shard, wait, now);
    }

    /// Removes an ask that this dispatcher was asked.
    fn take_pending(&mut self, from: VmId, ask: LeaseRequestId) -> Option<PendingAsk> {
        let known = self.pending.get(&ask)?.dispatcher == from;
        known.then(|| self.pending.remove(&ask)).flatten()
    }

    fn take_grant(&mut self, from: VmId, grant: &LeaseGrant) {
        let now = self.kernel.clock.now();
        let asked = self.pending.get(&grant.request_id);
        if asked.is_some_and(|pending| pending.dispatcher == from && pending.is_due(now)) {
            // The grant may have waited while this process slept, so the slot is asked for anew.
            self.follow_up(grant.request_id, now);
        }
        let Some(pending) = self.take_pending(from, grant.request_id) else {
            self.return_late_grant(from, grant);
            return;
        };
        let PendingAsk {
            request,
            shard,
            mut trail,
            ..
        } = pending;
        self.note_wait(shard, grant.expected_wait_ms);
        let Some(address) = self.addresses.get(&grant.backend).copied() else {
            self.return_lease(from, shard, grant.lease);
            trail.refused.push(shard);
            self.proceed(grant.request_id, request, trail);
            return;
        };
        let slot = HeldSlot {
            backend: grant.backend,
            class: request.class,
            caller: request.caller,
            fingerprint: request.fingerprint,
            granted_at: self.kernel.clock.now(),
            deadline: request.deadline,
        };
        let revoked = self.held.insert(from, shard, grant.lease, slot);
        let origin = SlotOrigin::Dispatcher {
            vm: from,
            shard,
            lease: grant.lease,
        };
        let ticket =
            SlotTicket::new(&self.kernel, origin, grant.backend, address).revocable(revoked);
        // When the request went away, dropping the ticket returns the slot.
        let _ = request.reply.send(SlotDecision::Granted(ticket));
    }

    /// Returns the slot of a grant that nobody waits for any more.
    ///
    /// A cancel may overtake its ask on another link, so the dispatcher grants it all the same.
    fn return_late_grant(&mut self, from: VmId, grant: &LeaseGrant) {
        metrics::counter!("toucanledge_late_grants_total").increment(1);
        if let Some((shard, _)) = self.abandoned.remove(&grant.request_id) {
            self.return_lease(from, shard, grant.lease);
        }
    }

    /// Withdraws an ask.
    fn withdraw(&mut self, dispatcher: VmId, shard: ShardId, ask: LeaseRequestId) {
        let now = self.kernel.clock.now();
        self.abandoned.insert(ask, (shard, now));
        self.send(
            dispatcher,
            PeerMessage::LeaseCancel {
                shard,
                request_id: ask,
            },
        );
    }

    fn return_lease(&mut self, vm: VmId, shard: ShardId, lease: LeaseId) {
        let outcome = LeaseOutcome::Cancelled;
        let report = LeaseReport {
            lease,
            outcome,
            service_time_ms: 0,
            leaving: false,
        };
        self.send(vm, PeerMessage::LeaseReport { shard, report });
    }

    fn take_refusal(&mut self, from: VmId, refusal: LeaseRefusal) {
        let Some(pending) = self.take_pending(from, refusal.request_id) else {
            return;
        };
        let PendingAsk {
            request,
            shard,
            mut trail,
            ..
        } = pending;
        self.note_wait(shard, refusal.expected_wait_ms);
        let ask = refusal.request_id;
        let step = (!pending_ask::may_spill(refusal.reason)).then_some(AskStep::Refuse(
            refusal.reason,
            refusal.retry_after_ms,
            refusal.table_revision,
        ));
        trail.refused.push(shard);
        trail.refusal = Some(refusal);
        let step = step.unwrap_or_else(|| self.next_step(&request, &trail));
        self.advance(ask, request, trail, step);
    }

    /// Acts on an ask whose time passed, whose request went away or whose dispatcher is silent.
    fn follow_up(&mut self, ask: LeaseRequestId, now: Millis) {
        let Some(pending) = self.pending.remove(&ask) else {
            return;
        };
        let (shard, dispatcher) = (pending.shard, pending.dispatcher);
        self.withdraw(dispatcher, shard, ask);
        if pending.request.reply.is_closed() {
            return;
        }
        if now >= pending.request.deadline {
            let decision = self.refused(RefusalReason::QueueDeadline);
            let _ = pending.request.reply.send(decision);
            return;
        }
        metrics::counter!("toucanledge_retries_total", "reason" => "dispatcher-silent")
            .increment(1);
        self.choice.note_silence(shard, now);
        let PendingAsk {
            request, mut trail, ..
        } = pending;
        trail.refused.push(shard);
        // A new identifier, so that a late grant for the old ask is not mistaken for this one.
        self.next_ask += 1;
        self.proceed(LeaseRequestId(self.next_ask), request, trail);
    }

    fn ask_again(&mut self, ask: LeaseRequestId) {
        let Some(pending) = self.pending.remove(&ask) else {
            return;
        };
        let (shard, dispatcher) = (pending.shard, pending.dispatcher);
        self.withdraw(dispatcher, shard, ask);
        self.next_ask += 1;
        self.proceed(
            LeaseRequestId(self.next_ask),
            pending.request,
            pending.trail,
        );
    }
}
