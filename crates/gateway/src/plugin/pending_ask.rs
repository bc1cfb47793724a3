//! Asks that have no final reply.

use toucanledge_core::{Millis, RefusalReason, ShardId, VmId};
use toucanledge_slots::LeaseRefusal;

use crate::plugin::slots::SlotRequest;

/// Silence in milliseconds after which the next dispatcher is asked.
const SILENCE_MS: u64 = 50;

/// Shards that did not serve an ask, and the last refusal.
#[derive(Default)]
pub struct AskTrail {
    /// Shards that refused or were silent.
    pub refused: Vec<ShardId>,
    /// Last refusal.
    pub refusal: Option<LeaseRefusal>,
}

/// An ask that has no final reply.
pub struct PendingAsk {
    /// Request that needs the slot.
    pub request: SlotRequest,
    /// Shard that was asked.
    pub shard: ShardId,
    /// Gateway that was asked.
    pub dispatcher: VmId,
    /// When it was asked.
    pub asked_at: Millis,
    /// The dispatcher said that the ask waits.
    pub queued: bool,
    /// What the request met before.
    pub trail: AskTrail,
}

impl PendingAsk {
    /// Returns whether the ask has to be followed up.
    #[must_use]
    pub fn is_due(&self, now: Millis) -> bool {
        // A dispatcher refuses an ask that waited for longer than its row allows.
        let patience = if self.queued {
            SILENCE_MS + u64::from(self.request.queue_ms)
        } else {
            SILENCE_MS
        };
        let silent = now.since(self.asked_at) >= patience;
        silent || now >= self.request.deadline || self.request.reply.is_closed()
    }
}

/// Returns whether another shard may serve what one shard refused.
#[must_use]
pub const fn may_spill(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::QueueFull
            | RefusalReason::QueueDeadline
            | RefusalReason::NoBackend
            | RefusalReason::NoDispatcher
            | RefusalReason::RateLimit
    )
}
