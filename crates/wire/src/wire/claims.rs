//! Claim messages as they travel.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use toucanledge_claims::{
    AttemptId, ClaimKey, ClaimOutcome, ClaimRecord, StoredResponse, VoteDecision, VoteRefusal,
    VoteReply, VoteRequest,
};
use toucanledge_core::{Incarnation, ListVersion, VmId};

use super::{WireHash, hash_value, wire_hash};
use crate::error::LimitError;

/// Gateway, incarnation, counter.
#[derive(Serialize, Deserialize)]
pub struct WireAttempt(u32, u64, u64);

/// Key, attempt, list version.
#[derive(Serialize, Deserialize)]
pub struct WireClaimAsk(WireHash, WireAttempt, u64);

/// Key, attempt, verdict.
#[derive(Serialize, Deserialize)]
pub struct WireClaimReply(WireHash, WireAttempt, WireVerdict);

/// Key, attempt, result.
#[derive(Serialize, Deserialize)]
pub struct WireClaimRecord(WireHash, WireAttempt, WireResult);

/// Status, headers, body.
#[derive(Serialize, Deserialize)]
pub struct WireAnswer(u16, Vec<(String, ByteBuf)>, ByteBuf);

#[derive(Serialize, Deserialize)]
pub enum WireVerdict {
    #[serde(rename = "g")]
    Granted,
    #[serde(rename = "h")]
    Held(WireAttempt),
    #[serde(rename = "e")]
    Ended(WireAttempt, WireResult),
    /// Code of the reason, list version.
    #[serde(rename = "r")]
    Refused(u8, u64),
}

#[derive(Serialize, Deserialize)]
pub enum WireResult {
    #[serde(rename = "n")]
    NotRun,
    #[serde(rename = "r")]
    Ran(WireAnswer),
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

impl From<VoteRequest> for WireClaimAsk {
    fn from(ask: VoteRequest) -> Self {
        Self(wire_hash(ask.key.0), ask.attempt.into(), ask.list_version.0)
    }
}

impl From<WireClaimAsk> for VoteRequest {
    fn from(WireClaimAsk(key, attempt, list): WireClaimAsk) -> Self {
        Self {
            key: ClaimKey(hash_value(key)),
            attempt: attempt.into(),
            list_version: ListVersion(list),
        }
    }
}

impl From<&VoteReply> for WireClaimReply {
    fn from(reply: &VoteReply) -> Self {
        Self(
            wire_hash(reply.key.0),
            reply.attempt.into(),
            (&reply.decision).into(),
        )
    }
}

impl TryFrom<WireClaimReply> for VoteReply {
    type Error = LimitError;

    fn try_from(WireClaimReply(key, attempt, verdict): WireClaimReply) -> Result<Self, LimitError> {
        Ok(Self {
            key: ClaimKey(hash_value(key)),
            attempt: attempt.into(),
            decision: verdict.try_into()?,
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
    fn from(WireClaimRecord(key, attempt, result): WireClaimRecord) -> Self {
        Self {
            key: ClaimKey(hash_value(key)),
            attempt: attempt.into(),
            outcome: result.into(),
        }
    }
}

impl From<&VoteDecision> for WireVerdict {
    fn from(verdict: &VoteDecision) -> Self {
        match verdict {
            VoteDecision::Granted => Self::Granted,
            VoteDecision::HeldBy(attempt) => Self::Held((*attempt).into()),
            VoteDecision::Ended(attempt, result) => Self::Ended((*attempt).into(), result.into()),
            VoteDecision::Refused(reason, list) => Self::Refused(refusal_code(*reason), list.0),
        }
    }
}

impl TryFrom<WireVerdict> for VoteDecision {
    type Error = LimitError;

    fn try_from(verdict: WireVerdict) -> Result<Self, LimitError> {
        Ok(match verdict {
            WireVerdict::Granted => Self::Granted,
            WireVerdict::Held(attempt) => Self::HeldBy(attempt.into()),
            WireVerdict::Ended(attempt, result) => Self::Ended(attempt.into(), result.into()),
            WireVerdict::Refused(code, list) => {
                Self::Refused(vote_refusal(code)?, ListVersion(list))
            }
        })
    }
}

impl From<&ClaimOutcome> for WireResult {
    fn from(result: &ClaimOutcome) -> Self {
        match result {
            ClaimOutcome::NotRun => Self::NotRun,
            ClaimOutcome::Ran(answer) => Self::Ran(answer.into()),
            ClaimOutcome::RanUnstored => Self::RanUnstored,
            ClaimOutcome::Unknown => Self::Unknown,
        }
    }
}

impl From<WireResult> for ClaimOutcome {
    fn from(result: WireResult) -> Self {
        match result {
            WireResult::NotRun => Self::NotRun,
            WireResult::Ran(answer) => Self::Ran(answer.into()),
            WireResult::RanUnstored => Self::RanUnstored,
            WireResult::Unknown => Self::Unknown,
        }
    }
}

impl From<&StoredResponse> for WireAnswer {
    fn from(answer: &StoredResponse) -> Self {
        let headers = answer
            .headers
            .iter()
            .map(|(name, value)| (name.clone(), ByteBuf::from(value.clone())))
            .collect();
        Self(answer.status, headers, ByteBuf::from(answer.body.to_vec()))
    }
}

impl From<WireAnswer> for StoredResponse {
    fn from(WireAnswer(status, headers, body): WireAnswer) -> Self {
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

fn vote_refusal(code: u8) -> Result<VoteRefusal, LimitError> {
    Ok(match code {
        0 => VoteRefusal::ListVersion,
        1 => VoteRefusal::NotEstablished,
        2 => VoteRefusal::NoLease,
        3 => VoteRefusal::NewVoter,
        4 => VoteRefusal::Full,
        _ => {
            return Err(LimitError::Unknown {
                what: "vote refusal",
                code: code.to_string(),
            });
        }
    })
}
