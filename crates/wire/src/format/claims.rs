//! Wire format of claim messages.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use toucanledge_claims::{
    AttemptId, ClaimKey, ClaimOutcome, ClaimRecord, StoredResponse, VoteDecision, VoteRefusal,
    VoteReply, VoteRequest,
};
use toucanledge_core::{Incarnation, ListVersion, VmId};

use super::{WireHash, hash_value, wire_hash};
use crate::error::ValidationError;

/// Gateway, incarnation, counter.
#[derive(Serialize, Deserialize)]
pub struct WireAttempt(u32, u64, u64);

/// Key, claim attempt, list version.
#[derive(Serialize, Deserialize)]
pub struct WireVoteRequest(WireHash, WireAttempt, u64);

/// Key, claim attempt, vote decision.
#[derive(Serialize, Deserialize)]
pub struct WireVoteReply(WireHash, WireAttempt, WireVoteDecision);

/// Key, claim attempt, outcome.
#[derive(Serialize, Deserialize)]
pub struct WireClaimRecord(WireHash, WireAttempt, WireClaimOutcome);

/// Status, headers, body.
#[derive(Serialize, Deserialize)]
pub struct WireStoredResponse(u16, Vec<(String, ByteBuf)>, ByteBuf);

#[derive(Serialize, Deserialize)]
pub enum WireVoteDecision {
    #[serde(rename = "g")]
    Granted,
    #[serde(rename = "h")]
    HeldBy(WireAttempt),
    #[serde(rename = "e")]
    Ended(WireAttempt, WireClaimOutcome),
    /// Code of the vote refusal, list version.
    #[serde(rename = "r")]
    Refused(u8, u64),
}

#[derive(Serialize, Deserialize)]
pub enum WireClaimOutcome {
    #[serde(rename = "n")]
    NotRun,
    #[serde(rename = "r")]
    Ran(WireStoredResponse),
    #[serde(rename = "l")]
    RanUnstored,
    #[serde(rename = "u")]
    Unknown,
}

impl From<AttemptId> for WireAttempt {
    fn from(attempt: AttemptId) -> Self {
        Self(attempt.gateway.0, attempt.incarnation.0, attempt.counter)
    }
}

impl From<WireAttempt> for AttemptId {
    fn from(WireAttempt(gateway, incarnation, counter): WireAttempt) -> Self {
        Self {
            gateway: VmId(gateway),
            incarnation: Incarnation(incarnation),
            counter,
        }
    }
}

impl From<VoteRequest> for WireVoteRequest {
    fn from(request: VoteRequest) -> Self {
        Self(
            wire_hash(request.key.0),
            request.attempt.into(),
            request.list_version.0,
        )
    }
}

impl From<WireVoteRequest> for VoteRequest {
    fn from(WireVoteRequest(key, attempt, list_version): WireVoteRequest) -> Self {
        Self {
            key: ClaimKey(hash_value(key)),
            attempt: attempt.into(),
            list_version: ListVersion(list_version),
        }
    }
}

impl From<&VoteReply> for WireVoteReply {
    fn from(reply: &VoteReply) -> Self {
        Self(
            wire_hash(reply.key.0),
            reply.attempt.into(),
            (&reply.decision).into(),
        )
    }
}

impl TryFrom<WireVoteReply> for VoteReply {
    type Error = ValidationError;

    fn try_from(
        WireVoteReply(key, attempt, decision): WireVoteReply,
    ) -> Result<Self, ValidationError> {
        Ok(Self {
            key: ClaimKey(hash_value(key)),
            attempt: attempt.into(),
            decision: decision.try_into()?,
        })
    }
}

impl From<&ClaimRecord> for WireClaimRecord {
    fn from(record: &ClaimRecord) -> Self {
        Self(
            wire_hash(record.key.0),
            record.attempt.into(),
            (&record.outcome).into(),
        )
    }
}

impl From<WireClaimRecord> for ClaimRecord {
    fn from(WireClaimRecord(key, attempt, outcome): WireClaimRecord) -> Self {
        Self {
            key: ClaimKey(hash_value(key)),
            attempt: attempt.into(),
            outcome: outcome.into(),
        }
    }
}

impl From<&VoteDecision> for WireVoteDecision {
    fn from(decision: &VoteDecision) -> Self {
        match decision {
            VoteDecision::Granted => Self::Granted,
            VoteDecision::HeldBy(attempt) => Self::HeldBy((*attempt).into()),
            VoteDecision::Ended(attempt, outcome) => Self::Ended((*attempt).into(), outcome.into()),
            VoteDecision::Refused(refusal, list_version) => {
                Self::Refused(refusal_code(*refusal), list_version.0)
            }
        }
    }
}

impl TryFrom<WireVoteDecision> for VoteDecision {
    type Error = ValidationError;

    fn try_from(decision: WireVoteDecision) -> Result<Self, ValidationError> {
        Ok(match decision {
            WireVoteDecision::Granted => Self::Granted,
            WireVoteDecision::HeldBy(attempt) => Self::HeldBy(attempt.into()),
            WireVoteDecision::Ended(attempt, outcome) => {
                Self::Ended(attempt.into(), outcome.into())
            }
            WireVoteDecision::Refused(code, list_version) => {
                Self::Refused(vote_refusal(code)?, ListVersion(list_version))
            }
        })
    }
}

impl From<&ClaimOutcome> for WireClaimOutcome {
    fn from(outcome: &ClaimOutcome) -> Self {
        match outcome {
            ClaimOutcome::NotRun => Self::NotRun,
            ClaimOutcome::Ran(response) => Self::Ran(response.into()),
            ClaimOutcome::RanUnstored => Self::RanUnstored,
            ClaimOutcome::Unknown => Self::Unknown,
        }
    }
}

impl From<WireClaimOutcome> for ClaimOutcome {
    fn from(outcome: WireClaimOutcome) -> Self {
        match outcome {
            WireClaimOutcome::NotRun => Self::NotRun,
            WireClaimOutcome::Ran(response) => Self::Ran(response.into()),
            WireClaimOutcome::RanUnstored => Self::RanUnstored,
            WireClaimOutcome::Unknown => Self::Unknown,
        }
    }
}

impl From<&StoredResponse> for WireStoredResponse {
    fn from(response: &StoredResponse) -> Self {
        let headers = response
            .headers
            .iter()
            .map(|(name, value)| (name.clone(), ByteBuf::from(value.clone())))
            .collect();
        Self(
            response.status,
            headers,
            ByteBuf::from(response.body.to_vec()),
        )
    }
}

impl From<WireStoredResponse> for StoredResponse {
    fn from(WireStoredResponse(status, headers, body): WireStoredResponse) -> Self {
        Self {
            status,
            headers: headers
                .into_iter()
                .map(|(name, value)| (name, value.into_vec()))
                .collect(),
            body: Bytes::from(body.into_vec()),
        }
    }
}

fn refusal_code(refusal: VoteRefusal) -> u8 {
    match refusal {
        VoteRefusal::ListVersion => 0,
        VoteRefusal::NotEstablished => 1,
        VoteRefusal::NoLease => 2,
        VoteRefusal::NewVoter => 3,
        VoteRefusal::Full => 4,
    }
}

fn vote_refusal(code: u8) -> Result<VoteRefusal, ValidationError> {
    Ok(match code {
        0 => VoteRefusal::ListVersion,
        1 => VoteRefusal::NotEstablished,
        2 => VoteRefusal::NoLease,
        3 => VoteRefusal::NewVoter,
        4 => VoteRefusal::Full,
        _ => {
            return Err(ValidationError::UnknownCode {
                what: "vote refusal",
                code: code.to_string(),
            });
        }
    })
}
