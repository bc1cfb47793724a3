//! Slot requests that wait for the final reply of a dispatcher.

use toucanledge_core::{Millis, RefusalReason, ShardId, VmId};
use toucanledge_slots::LeaseRefusal;

use crate::plugin::slots::SlotRequest;

/// Time in milliseconds without a reply after which the request is sent to the next dispatcher.
const REPLY_TIMEOUT_MS: u64 = 50;

/// Shards that did not serve a slot request, and the last refusal.
#[derive(Default)]
pub struct SlotRequestHistory {
    /// Shards whose dispatcher refused or did not reply in time.
    pub tried_shards: Vec<ShardId>,
    /// Last refusal; `None` when no dispatcher replied.
    pub last_refusal: Option<LeaseRefusal>,
}

/// A slot request that waits for the final reply of a dispatcher.
pub struct PendingSlotRequest {
    /// Slot request, with the channel for the decision.
    pub request: SlotRequest,
    /// Shard that the lease request was sent to.
    pub shard: ShardId,
    /// Dispatcher of that shard.
    pub dispatcher: VmId,
    /// When the lease request was sent.
    pub sent_at: Millis,
    /// The dispatcher replied that the request is queued.
    pub is_queued: bool,
    /// Earlier shards and the last refusal.
    pub history: SlotRequestHistory,
}

impl PendingSlotRequest {
    /// Returns whether the reply timeout or the deadline has passed, or the requester has gone.
    #[must_use]
    pub fn needs_follow_up(&self, now: Millis) -> bool {
        // A dispatcher refuses a request that is queued for longer than `queue_ms` of its row.
        let timeout_ms = if self.is_queued {
            REPLY_TIMEOUT_MS + u64::from(self.request.queue_ms)
        } else {
            REPLY_TIMEOUT_MS
        };
        let has_timed_out = now.since(self.sent_at) >= timeout_ms;
        has_timed_out || now >= self.request.deadline || self.request.reply.is_closed()
    }
}

/// Returns whether another shard may grant what one shard refused for this reason.
#[must_use]
pub const fn may_retry_on_other_shard(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::QueueFull
            | RefusalReason::QueueDeadline
            | RefusalReason::NoBackend
            | RefusalReason::NoDispatcher
            | RefusalReason::RateLimit
    )
}
