//! Messages between a claim attempt and the voters of its key.

use bytes::Bytes;
use toucanledge_core::{Incarnation, ListVersion, VmId};

/// Idempotency key: identifies requests of which at most one may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey(pub u128);

/// Identifies one claim attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// Gateway that makes the claim attempt.
    pub gateway: VmId,
    /// Incarnation of that gateway.
    pub incarnation: Incarnation,
    /// Counter of claim attempts within the incarnation.
    pub counter: u64,
}

/// Request for a vote on a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoteRequest {
    /// Idempotency key.
    pub key: ClaimKey,
    /// Claim attempt that requests the vote.
    pub attempt: AttemptId,
    /// VM list version by which the voters were chosen.
    pub list_version: ListVersion,
}

/// Why a voter grants no vote; the request has not run by this claim attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum VoteRefusal {
    /// The voter's newest list version differs from the one in the vote request.
    ListVersion,
    /// The voter is not established, so earlier votes may be unknown to it.
    NotEstablished,
    /// No majority confirmed the voter's list version within the lease.
    NoLease,
    /// The voter is not a voter of this key in every version of its history.
    NewVoter,
    /// The voter stores as many claims as its limits allow.
    Full,
}

/// Response of a backend server, stored for replay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredResponse {
    /// HTTP status code.
    pub status: u16,
    /// Header names and values.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Complete body.
    pub body: Bytes,
}

/// Outcome of a claim attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The request did not run; the vote is released.
    NotRun,
    /// The request ran, with this response.
    Ran(StoredResponse),
    /// The request ran; the response is larger than voters store.
    RanUnstored,
    /// The request may have run.
    Unknown,
}

/// A voter's decision on a vote request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VoteDecision {
    /// The vote is given to this claim attempt.
    Granted,
    /// The vote belongs to another claim attempt that has not ended.
    HeldBy(AttemptId),
    /// This claim attempt ended with this outcome.
    Ended(AttemptId, ClaimOutcome),
    /// The voter grants no vote; its newest list version is included.
    Refused(VoteRefusal, ListVersion),
}

/// Reply to a vote request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoteReply {
    /// Idempotency key.
    pub key: ClaimKey,
    /// Claim attempt that requested the vote.
    pub attempt: AttemptId,
    /// The voter's decision.
    pub decision: VoteDecision,
}

/// Outcome record that a claim attempt sends to its voters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRecord {
    /// Idempotency key.
    pub key: ClaimKey,
    /// Claim attempt that ended.
    pub attempt: AttemptId,
    /// Its outcome.
    pub outcome: ClaimOutcome,
}
