//! Handles the replies of dispatchers to lease requests.

use toucanledge_core::{ShardId, VmId};
use toucanledge_slots::{
    LeaseGrant, LeaseId, LeaseOutcome, LeaseRefusal, LeaseReply, LeaseReport, LeaseRequestId,
};
use toucanledge_wire::PeerMessage;

use crate::plugin::held_slots::HeldSlot;
use crate::plugin::pending_slot_request;
use crate::plugin::pending_slot_request::PendingSlotRequest;
use crate::plugin::slot_client::{SlotClient, SlotRequestAction};
use crate::plugin::slots::{SlotDecision, SlotOrigin, SlotPermit};

impl SlotClient {
    /// Handles a reply of a dispatcher.
    pub fn handle_reply(&mut self, from: VmId, reply: LeaseReply) {
        match reply {
            LeaseReply::Queued(queued) => {
                self.handle_queued(from, queued.request_id, queued.expected_wait_ms);
            }
            LeaseReply::Grant(grant) => self.handle_grant(from, &grant),
            LeaseReply::Refusal(refusal) => self.handle_refusal(from, refusal),
        }
    }

    fn handle_queued(&mut self, from: VmId, request_id: LeaseRequestId, wait_ms: u32) {
        let Some(pending) = self.pending.get_mut(&request_id) else {
            return;
        };
        if pending.dispatcher == from {
            pending.is_queued = true;
            let shard = pending.shard;
            self.record_wait(shard, wait_ms);
        }
    }

    /// Removes and returns a pending request if it was sent to this dispatcher.
    fn take_pending(
        &mut self,
        from: VmId,
        request_id: LeaseRequestId,
    ) -> Option<PendingSlotRequest> {
        let is_recipient = self.pending.get(&request_id)?.dispatcher == from;
        is_recipient
            .then(|| self.pending.remove(&request_id))
            .flatten()
    }

    fn handle_grant(&mut self, from: VmId, grant: &LeaseGrant) {
        let now = self.kernel.clock.now();
        let pending = self.pending.get(&grant.request_id);
        if pending.is_some_and(|pending| pending.dispatcher == from && pending.needs_follow_up(now))
        {
            // The grant may be old because this process was frozen, so the slot is requested anew.
            self.follow_up(grant.request_id, now);
        }
        let Some(pending) = self.take_pending(from, grant.request_id) else {
            self.return_late_grant(from, grant);
            return;
        };
        let PendingSlotRequest {
            request,
            shard,
            mut history,
            ..
        } = pending;
        self.record_wait(shard, grant.expected_wait_ms);
        let Some(address) = self.addresses.get(&grant.backend).copied() else {
            self.return_lease(from, shard, grant.lease);
            history.tried_shards.push(shard);
            self.proceed(grant.request_id, request, history);
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
        let permit =
            SlotPermit::new(&self.kernel, origin, grant.backend, address).with_revocation(revoked);
        // When the receiver is gone, dropping the permit returns the slot.
        let _ = request.reply.send(SlotDecision::Granted(permit));
    }

    /// Returns the lease of a grant whose request was cancelled.
    ///
    /// A cancel may overtake its lease request on another link, and the dispatcher then grants it.
    fn return_late_grant(&mut self, from: VmId, grant: &LeaseGrant) {
        metrics::counter!("toucanledge_late_grants_total").increment(1);
        if let Some((shard, _)) = self.cancelled.remove(&grant.request_id) {
            self.return_lease(from, shard, grant.lease);
        }
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

    fn handle_refusal(&mut self, from: VmId, refusal: LeaseRefusal) {
        let Some(pending) = self.take_pending(from, refusal.request_id) else {
            return;
        };
        let PendingSlotRequest {
            request,
            shard,
            mut history,
            ..
        } = pending;
        self.record_wait(shard, refusal.expected_wait_ms);
        let request_id = refusal.request_id;
        let action = (!pending_slot_request::may_retry_on_other_shard(refusal.reason)).then_some(
            SlotRequestAction::Refuse(
                refusal.reason,
                refusal.retry_after_ms,
                refusal.table_revision,
            ),
        );
        history.tried_shards.push(shard);
        history.last_refusal = Some(refusal);
        let action = action.unwrap_or_else(|| self.next_action(&request, &history));
        self.perform(request_id, request, history, action);
    }
}
