//! Acquires slots for the requests of this gateway: selects a dispatcher, sends the lease request
//! and follows it up until it is decided.

mod replies;

use std::collections;
use std::net;
use std::sync;

use toucanledge_core::{Millis, RefusalReason, ShardId, TableRevision, VmId, VmList};
use toucanledge_membership::ShardMap;
use toucanledge_settings::DispatchPolicy;
use toucanledge_slots::{HeldLeases, LeaseOutcome, LeaseRequest, LeaseRequestId};
use toucanledge_table::PublishedTable;
use toucanledge_wire::PeerMessage;

use crate::kernel::{KernelHandle, PluginEvent, PluginName};
use crate::plugin::baseline::BaselinePolicy;
use crate::plugin::dispatcher_selection::DispatcherSelector;
use crate::plugin::fallback_slots::FallbackSlots;
use crate::plugin::held_slots::HeldSlots;
use crate::plugin::pending_slot_request::{PendingSlotRequest, SlotRequestHistory};
use crate::plugin::slots::{SlotDecision, SlotOrigin, SlotPermit, SlotRelease, SlotRequest};
use crate::shared_state::FleetView;

/// Milliseconds after which a caller that this gateway refuses may send the request again.
const RETRY_AFTER_MS: u32 = 1000;
/// Time in milliseconds for which a late grant of a cancelled request is still returned.
const LATE_GRANT_MS: u64 = 5_000;
/// Minimum time in milliseconds between two checks of pending requests.
const CHECK_INTERVAL_MS: u64 = 5;

/// What to do next for a slot request.
#[derive(Clone, Copy)]
enum SlotRequestAction {
    SendRequest(ShardId, VmId),
    UseFallback,
    Refuse(RefusalReason, u32, TableRevision),
}

/// Acquires slots for the requests of this gateway.
pub struct SlotClient {
    kernel: sync::Arc<KernelHandle>,
    last_request_id: u64,
    selector: DispatcherSelector,
    fallback_slots: FallbackSlots,
    addresses: collections::HashMap<VmId, net::SocketAddr>,
    pending: collections::HashMap<LeaseRequestId, PendingSlotRequest>,
    /// Cancelled requests with their shard and the time of the cancel; a grant may still arrive.
    cancelled: collections::HashMap<LeaseRequestId, (ShardId, Millis)>,
    held: HeldSlots,
    baseline: Option<BaselinePolicy>,
    table_revision: TableRevision,
    local_messages: Vec<PeerMessage>,
    checked_at: Millis,
}

impl SlotClient {
    /// Returns a client without dispatchers.
    pub fn new(kernel: sync::Arc<KernelHandle>) -> Self {
        let baseline =
            (kernel.settings.policy == DispatchPolicy::Baseline).then(BaselinePolicy::default);
        Self {
            selector: DispatcherSelector::new(kernel.settings.failure_domain),
            kernel,
            baseline,
            last_request_id: 0,
            fallback_slots: FallbackSlots::default(),
            addresses: collections::HashMap::new(),
            pending: collections::HashMap::new(),
            cancelled: collections::HashMap::new(),
            held: HeldSlots::default(),
            table_revision: TableRevision::default(),
            local_messages: Vec::new(),
            checked_at: Millis::default(),
        }
    }

    /// Returns and removes the messages for dispatchers of this gateway.
    pub fn take_local_messages(&mut self) -> Vec<PeerMessage> {
        std::mem::take(&mut self.local_messages)
    }

    /// Starts to acquire a slot; the decision is sent on the channel of the request.
    pub fn request_slot(&mut self, request: SlotRequest) {
        if self.baseline.is_some() {
            self.grant_by_baseline(request);
            return;
        }
        self.last_request_id += 1;
        self.proceed(
            LeaseRequestId(self.last_request_id),
            request,
            SlotRequestHistory::default(),
        );
    }

    /// Reports the release of a slot to the dispatcher or policy that granted it.
    pub fn release(&mut self, release: &SlotRelease) {
        match release.origin {
            SlotOrigin::Dispatcher { vm, shard, lease } => {
                self.held.remove(vm, shard, lease);
                let report = release.report;
                let current = self.selector.dispatcher_of(shard).unwrap_or(vm);
                // A new dispatcher of the shard may have adopted the lease, so it gets the report too.
                if current != vm {
                    self.send(current, PeerMessage::LeaseReport { shard, report });
                }
                self.send(vm, PeerMessage::LeaseReport { shard, report });
            }
            SlotOrigin::Fallback(request_id) => {
                let fingerprint = self.fallback_slots.release(release.backend, request_id);
                // No dispatcher gets a report of this loss, so it counts without a probe.
                if let Some(fingerprint) = fingerprint
                    && release.report.outcome == LeaseOutcome::ConnectionLost
                {
                    let event = PluginEvent::CrashSuspected(fingerprint);
                    self.kernel.notify(PluginName::Membership, event);
                }
            }
            SlotOrigin::Baseline => {
                let now = self.kernel.clock.now();
                if let Some(policy) = &mut self.baseline
                    && policy.record(release.backend, release.report.outcome, now)
                {
                    metrics::counter!("toucanledge_ejections_total", "reason" => "baseline")
                        .increment(1);
                }
            }
        }
    }

    fn grant_by_baseline(&mut self, request: SlotRequest) {
        let now = self.kernel.clock.now();
        let servers = self.fallback_slots.servers(request.pool);
        let chosen = self
            .baseline
            .as_mut()
            .and_then(|policy| policy.choose(servers, &request.exclude, now));
        let found = chosen.and_then(|server| Some((server, *self.addresses.get(&server)?)));
        let decision = match found {
            Some((backend, address)) => SlotDecision::Granted(SlotPermit::new(
                &self.kernel,
                SlotOrigin::Baseline,
                backend,
                address,
            )),
            None => self.refused(RefusalReason::NoBackend),
        };
        let _ = request.reply.send(decision);
    }

    /// Returns the refusal of a slot request by this gateway itself.
    fn refused(&self, reason: RefusalReason) -> SlotDecision {
        SlotDecision::Refused {
            reason,
            retry_after_ms: RETRY_AFTER_MS,
            table_revision: self.table_revision,
        }
    }

    /// Signals the requests in flight at an ejected backend server to retry at another.
    pub fn revoke(&mut self, backend: VmId) {
        self.held.revoke(backend);
    }

    /// Follows up requests whose dispatcher timed out, whose deadline passed or whose requester has
    /// gone, and drops cancelled requests whose grant would have arrived by now.
    pub fn tick(&mut self) {
        let now = self.kernel.clock.now();
        if now.since(self.checked_at) < CHECK_INTERVAL_MS {
            return;
        }
        self.checked_at = now;
        self.cancelled
            .retain(|_, (_, cancelled_at)| now.since(*cancelled_at) < LATE_GRANT_MS);
        let due: Vec<LeaseRequestId> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.needs_follow_up(now))
            .map(|(request_id, _)| *request_id)
            .collect();
        for request_id in due {
            self.follow_up(request_id, now);
        }
    }

    /// Applies the current table, VM list and fleet view, and moves pending requests and leases to
    /// new dispatchers.
    pub fn reconfigure(
        &mut self,
        table: &PublishedTable,
        list: &VmList,
        view: &FleetView,
        shards: &ShardMap,
    ) {
        self.table_revision = table.revision();
        self.addresses = list
            .backends()
            .filter_map(|entry| Some((entry.vm, entry.address?)))
            .collect();
        self.fallback_slots.reconfigure(list, shards);
        let moved = self.selector.reconfigure(shards, &view.live);
        self.kernel
            .state
            .pool_count
            .send_replace(self.fallback_slots.pool_count());
        for (shard, dispatcher) in moved {
            self.move_shard(shard, dispatcher);
        }
    }

    /// Sends the held leases of a shard to its new dispatcher and resends the pending requests.
    fn move_shard(&mut self, shard: ShardId, dispatcher: VmId) {
        let now = self.kernel.clock.now();
        let leases = self.held.leases_of_shard(shard, now);
        if !leases.is_empty() {
            self.send(
                dispatcher,
                PeerMessage::HeldLeases(HeldLeases { shard, leases }),
            );
        }
        let waiting: Vec<LeaseRequestId> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.shard == shard && pending.dispatcher != dispatcher)
            .map(|(request_id, _)| *request_id)
            .collect();
        for request_id in waiting {
            self.resend_request(request_id);
        }
    }

    fn send(&mut self, vm: VmId, message: PeerMessage) {
        if vm == self.kernel.vm {
            self.local_messages.push(message);
        } else {
            self.kernel.send_to_peer(vm, &message);
        }
    }

    /// Returns what to do next for a slot request after the replies and timeouts so far.
    fn next_action(
        &self,
        request: &SlotRequest,
        history: &SlotRequestHistory,
    ) -> SlotRequestAction {
        let view = self.kernel.state.current_fleet_view();
        let is_crash_suspect = view.crash_suspicions.contains_key(&request.fingerprint);
        let selected = if is_crash_suspect {
            // All gateways send a crash suspect to the same shard, which runs one at a time.
            self.selector
                .shard_for_suspects(request.pool)
                .filter(|candidate| !history.tried_shards.contains(&candidate.shard))
        } else {
            let now = self.kernel.clock.now();
            let (pool, tried) = (request.pool, &history.tried_shards);
            match &history.last_refusal {
                Some(refusal) if refusal.reason == RefusalReason::QueueFull => self
                    .selector
                    .select_below_wait(pool, tried, now, request.queue_ms),
                _ => self.selector.select(pool, tried, now, self.last_request_id),
            }
        };
        if let Some(candidate) = selected {
            return SlotRequestAction::SendRequest(candidate.shard, candidate.dispatcher);
        }
        if let Some(refusal) = &history.last_refusal {
            return SlotRequestAction::Refuse(
                refusal.reason,
                refusal.retry_after_ms,
                refusal.table_revision,
            );
        }
        // With fallback slots, a crash suspect could run at several backend servers at once.
        if is_crash_suspect {
            return SlotRequestAction::Refuse(
                RefusalReason::CrashSuspect,
                RETRY_AFTER_MS,
                self.table_revision,
            );
        }
        if self.fallback_slots.servers(request.pool).is_empty() {
            return SlotRequestAction::Refuse(
                RefusalReason::NoBackend,
                RETRY_AFTER_MS,
                self.table_revision,
            );
        }
        SlotRequestAction::UseFallback
    }

    /// Decides on the next action for a slot request and performs it.
    fn proceed(
        &mut self,
        request_id: LeaseRequestId,
        request: SlotRequest,
        history: SlotRequestHistory,
    ) {
        let action = self.next_action(&request, &history);
        self.perform(request_id, request, history, action);
    }

    fn perform(
        &mut self,
        request_id: LeaseRequestId,
        request: SlotRequest,
        history: SlotRequestHistory,
        action: SlotRequestAction,
    ) {
        match action {
            SlotRequestAction::SendRequest(shard, dispatcher) => {
                self.send_request(request_id, request, history, shard, dispatcher);
            }
            SlotRequestAction::UseFallback => self.use_fallback_slot(request_id, request),
            SlotRequestAction::Refuse(reason, retry_after_ms, table_revision) => {
                let decision = SlotDecision::Refused {
                    reason,
                    retry_after_ms,
                    table_revision,
                };
                let _ = request.reply.send(decision);
            }
        }
    }

    fn send_request(
        &mut self,
        request_id: LeaseRequestId,
        request: SlotRequest,
        history: SlotRequestHistory,
        shard: ShardId,
        dispatcher: VmId,
    ) {
        let now = self.kernel.clock.now();
        let message = PeerMessage::LeaseRequest(LeaseRequest {
            request_id,
            shard,
            class: request.class,
            caller: request.caller,
            route: request.route,
            fingerprint: request.fingerprint,
            remaining_ms: u32::try_from(request.deadline.since(now)).unwrap_or(u32::MAX),
            exclude: request.exclude.clone(),
        });
        let pending = PendingSlotRequest {
            request,
            shard,
            dispatcher,
            sent_at: now,
            is_queued: false,
            history,
        };
        self.pending.insert(request_id, pending);
        self.send(dispatcher, message);
    }

    /// Grants a fallback slot, or refuses when all are in use.
    fn use_fallback_slot(&mut self, request_id: LeaseRequestId, request: SlotRequest) {
        let acquired = self.fallback_slots.acquire(request_id, &request);
        let found = acquired.and_then(|server| Some((server, *self.addresses.get(&server)?)));
        let decision = match found {
            Some((backend, address)) => {
                metrics::counter!("toucanledge_safe_share_slots_total").increment(1);
                let origin = SlotOrigin::Fallback(request_id);
                let permit = SlotPermit::new(&self.kernel, origin, backend, address);
                SlotDecision::Granted(permit)
            }
            None => self.refused(RefusalReason::NoDispatcher),
        };
        let _ = request.reply.send(decision);
    }

    fn record_wait(&mut self, shard: ShardId, wait_ms: u32) {
        let now = self.kernel.clock.now();
        self.selector.record_wait(shard, wait_ms, now);
    }

    /// Cancels a lease request.
    fn cancel(&mut self, dispatcher: VmId, shard: ShardId, request_id: LeaseRequestId) {
        let now = self.kernel.clock.now();
        self.cancelled.insert(request_id, (shard, now));
        self.send(dispatcher, PeerMessage::LeaseCancel { shard, request_id });
    }

    /// Cancels a request, then decides it or sends it to another dispatcher.
    fn follow_up(&mut self, request_id: LeaseRequestId, now: Millis) {
        let Some(pending) = self.pending.remove(&request_id) else {
            return;
        };
        let (shard, dispatcher) = (pending.shard, pending.dispatcher);
        self.cancel(dispatcher, shard, request_id);
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
        self.selector.record_timeout(shard, now);
        let PendingSlotRequest {
            request,
            mut history,
            ..
        } = pending;
        history.tried_shards.push(shard);
        // A new identifier distinguishes a late grant of the cancelled request.
        self.last_request_id += 1;
        self.proceed(LeaseRequestId(self.last_request_id), request, history);
    }

    /// Cancels a lease request and resends it to the current dispatcher.
    fn resend_request(&mut self, request_id: LeaseRequestId) {
        let Some(pending) = self.pending.remove(&request_id) else {
            return;
        };
        let (shard, dispatcher) = (pending.shard, pending.dispatcher);
        self.cancel(dispatcher, shard, request_id);
        self.last_request_id += 1;
        self.proceed(
            LeaseRequestId(self.last_request_id),
            pending.request,
            pending.history,
        );
    }
}
