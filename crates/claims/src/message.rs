//! Messages between an attempt and the voters of its key.

use bytes::Bytes;
use toucanledge_core::{Incarnation, ListVersion, VmId};

/// Identifies the work that must run at most once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey(pub u128);

/// Identifies one attempt to run keyed work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// Gateway that makes the attempt.
    pub gateway: VmId,
    /// Incarnation of that gateway.
    pub incarnation: Incarnation,
    /// Counter within the incarnation.
    pub counter: u64,
}

/// An attempt asks for a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoteRequest {
    /// Key of the work.
    pub key: ClaimKey,
    /// Attempt that wants to run it.
    pub attempt: AttemptId,
    /// VM list version by which the voters were chosen.
    pub list_version: ListVersion,
}

/// Why a voter does not vote; the work was not run by this.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum VoteRefusal {
    /// The voter's greatest list version differs from the one in the ask.
    ListVersion,
    /// The voter started too recently to know all earlier votes.
    NotEstablished,
    /// A majority did not confirm the voter's list version within the lease.
    NoLease,
    /// The voter was not a voter of this key in every version of its history.
    NewVoter,
    /// The voter remembers as many claims as it may.
    Full,
}

/// Answer that a backend server gave to keyed work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredResponse {
    /// HTTP status code.
    pub status: u16,
    /// Header names and values.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Whole body.
    pub body: Bytes,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The work was not run and the vote is released.
    NotRun,
    /// The work ran and this is the answer.
    Ran(StoredResponse),
    /// The work ran; the answer is larger than voters store.
    RanUnstored,
    /// The work may have run.
    Unknown,
}

/// A voter's verdict on an ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VoteDecision {
    /// The vote is given to this attempt.
    Granted,
    /// The vote belongs to another attempt that has not ended.
    HeldBy(AttemptId),
    /// Another attempt ended with this result.
    Ended(AttemptId, ClaimOutcome),
    /// The voter does not vote; its own greatest list version is included.
    Refused(VoteRefusal, ListVersion),
}

/// A voter answers an ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoteReply {
    /// Key of the work.
    pub key: ClaimKey,
    /// Attempt that asked.
    pub attempt: AttemptId,
    /// Verdict of the voter.
    pub decision: VoteDecision,
}

/// An attempt tells its voters how it ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRecord {
    /// Key of the work.
    pub key: ClaimKey,
    /// Attempt that ended.
    pub attempt: AttemptId,
    /// How it ended.
    pub outcome: ClaimOutcome,
}
