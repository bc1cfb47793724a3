//! Actions that a claim attempt tells its driver to do.

use toucanledge_core::{Millis, RefusalReason, VmId};

use crate::message::{AttemptId, ClaimRecord, StoredResponse, VoteRequest};

/// An outcome record and the voters that receive it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordDelivery {
    /// Outcome of the claim attempt.
    pub record: ClaimRecord,
    /// Voters that received the vote request.
    pub voters: Vec<VmId>,
}

/// What the driver of a claim attempt must do next.
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptAction {
    /// Wait for vote replies, and tick at this time at the latest.
    Wait(Millis),
    /// Send the vote request to these voters, and tick at `next_tick`.
    #[strum(serialize = "ask")]
    RequestVotes {
        /// Vote request to send.
        request: VoteRequest,
        /// Voters that have not granted their vote.
        voters: Vec<VmId>,
        /// Release of the previous claim attempt, sent again before the vote request because the
        /// first copy may have been lost.
        release: Option<RecordDelivery>,
        /// Time of the next tick.
        next_tick: Millis,
    },
    /// The quorum is reached; the dispatch permit is valid until this time on the local clock.
    Dispatch(Millis),
    /// Release the votes, and call [`ClaimAttempt::retry`](crate::ClaimAttempt::retry) once a tick
    /// returns [`AttemptAction::Retry`].
    #[strum(serialize = "release")]
    ReleaseVotes {
        /// Release to send.
        release: RecordDelivery,
        /// Time of the next tick.
        next_tick: Millis,
    },
    /// Another claim attempt holds a quorum: release the votes, and request them again later to
    /// obtain its stored response.
    #[strum(serialize = "await")]
    AwaitHolder {
        /// Claim attempt that holds the key.
        holder: AttemptId,
        /// Release to send.
        release: RecordDelivery,
        /// Time of the next tick.
        next_tick: Millis,
    },
    /// The delay has passed: retry with a new attempt id and the newest VM list.
    Retry,
    /// Replay the stored response of the claim attempt that ran the request.
    Replay {
        /// Stored response.
        response: StoredResponse,
        /// Claim attempt that ran the request.
        executed_by: AttemptId,
        /// Release to send.
        release: RecordDelivery,
    },
    /// Refuse the request; this claim attempt did not run it.
    Refuse {
        /// Refusal reason that the caller receives.
        reason: RefusalReason,
        /// Release to send; `None` when the votes were already released.
        release: Option<RecordDelivery>,
    },
    /// The claim attempt has ended; nothing is left to do.
    Done,
}
