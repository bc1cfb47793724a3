//! What the shell does next for an attempt.

use toucanledge_core::{Millis, RefusalReason, VmId};

use crate::message::{AttemptId, ClaimRecord, StoredResponse, VoteRequest};

/// A record and the voters it goes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordDelivery {
    /// How the attempt ended.
    pub record: ClaimRecord,
    /// Voters that were asked.
    pub voters: Vec<VmId>,
}

/// What to do next for an attempt.
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptAction {
    /// Wait for replies, and tick again at this time at the latest.
    Wait(Millis),
    /// Send the ask to these voters, and tick again at this time.
    #[strum(serialize = "ask")]
    RequestVotes {
        /// Ask to send.
        request: VoteRequest,
        /// Voters that have not granted.
        voters: Vec<VmId>,
        /// Release of the former attempt; sent before the ask in case the first one was lost.
        release: Option<RecordDelivery>,
        /// Time of the next tick.
        next_tick: Millis,
    },
    /// The quorum is reached; dispatch before this time on the own clock.
    Dispatch(Millis),
    /// Release the votes, and call [`ClaimAttempt::retry`](crate::ClaimAttempt::retry) when a
    /// tick at this time says so.
    #[strum(serialize = "release")]
    ReleaseVotes {
        /// Release to send.
        release: RecordDelivery,
        /// Time of the next tick.
        next_tick: Millis,
    },
    /// Another attempt holds the key: release the votes, and ask again later for its answer.
    #[strum(serialize = "await")]
    AwaitHolder {
        /// Attempt that holds the key.
        holder: AttemptId,
        /// Release to send.
        release: RecordDelivery,
        /// Time of the next tick.
        next_tick: Millis,
    },
    /// The delay has passed: retry with a new attempt id and the greatest list.
    Retry,
    /// Give the caller the answer of the attempt that ran.
    Replay {
        /// Stored answer.
        response: StoredResponse,
        /// Attempt that ran.
        executed_by: AttemptId,
        /// Release to send.
        release: RecordDelivery,
    },
    /// Refuse the request as not run by this attempt.
    Refuse {
        /// Reason for the caller.
        reason: RefusalReason,
        /// Release to send; `None` when it was sent before.
        release: Option<RecordDelivery>,
    },
    /// The attempt has ended; nothing is left to do.
    Done,
}
