//! A gateway in its role as voter.

use std::collections;

use toucanledge_core::Millis;

use crate::check;
use crate::history::ListHistory;
use crate::message::{
    AttemptId, ClaimKey, ClaimOutcome, ClaimRecord, StoredResponse, VoteDecision, VoteRefusal,
    VoteRequest,
};
use crate::rules::DISPATCH_PERMIT_MS;
use crate::window::ClaimWindow;

/// Bytes that a remembered claim takes besides its answer.
const CLAIM_BYTES: usize = 128;

/// Bytes that a stored header takes besides its name and value.
const HEADER_BYTES: usize = 48;

/// Greatest body in bytes that a voter stores.
const ANSWER_LIMIT: usize = 64 * 1024;

/// Bounds of what a voter remembers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimLimits {
    /// Greatest number of claims.
    pub max_claims: usize,
    /// Greatest size of all claims in bytes, answers included.
    pub max_bytes: usize,
}

impl Default for ClaimLimits {
    /// Fits into the 64 MB that a gateway may use for control.
    fn default() -> Self {
        Self {
            max_claims: 100_000,
            max_bytes: 32 * 1024 * 1024,
        }
    }
}

#[derive(Clone, Debug)]
struct RememberedClaim {
    attempt: AttemptId,
    /// `None` while the attempt has not ended.
    result: Option<ClaimOutcome>,
    expires: Millis,
    bytes: usize,
}

/// The votes and results that a gateway remembers for the window.
///
/// A claim is never dropped before its window has passed. A full voter refuses new votes instead.
#[derive(Clone, Debug)]
pub struct ClaimVoter {
    limits: ClaimLimits,
    window: ClaimWindow,
    claims: collections::HashMap<ClaimKey, RememberedClaim>,
    expiries: collections::BTreeSet<(Millis, ClaimKey)>,
    bytes: usize,
    /// Attempts that ended as not run; their late asks get no vote.
    ended: collections::HashSet<AttemptId>,
    ended_order: collections::VecDeque<(Millis, AttemptId)>,
}

impl ClaimVoter {
    /// Creates a voter that remembers nothing; `window` is the greatest of the table in
    /// milliseconds.
    #[must_use]
    pub fn new(window: u64, limits: ClaimLimits) -> Self {
        Self {
            limits,
            window: ClaimWindow::new(window),
            claims: collections::HashMap::new(),
            expiries: collections::BTreeSet::new(),
            bytes: 0,
            ended: collections::HashSet::new(),
            ended_order: collections::VecDeque::new(),
        }
    }

    /// Sets the greatest window of the table; a greater one also extends remembered claims.
    pub fn set_window(&mut self, window: u64, now: Millis) {
        self.expire(now);
        let growth = window.saturating_sub(self.window.at(now));
        self.window.set(window, now);
        for claim in self.claims.values_mut() {
            claim.expires = claim.expires + growth;
        }
        let claims = self.claims.iter();
        self.expiries = claims.map(|(key, claim)| (claim.expires, *key)).collect();
    }

    /// Answers an ask; a repeated ask of the same attempt gets the same vote.
    pub fn handle_request(
        &mut self,
        ask: &VoteRequest,
        history: &ListHistory,
        now: Millis,
    ) -> VoteDecision {
        self.expire(now);
        let greatest = history.newest_version().unwrap_or_default();
        if ask.list_version != greatest && history.rules().matching_list_version {
            return VoteDecision::Refused(VoteRefusal::ListVersion, greatest);
        }
        if self.ended.contains(&ask.attempt) {
            return VoteDecision::Ended(ask.attempt, ClaimOutcome::NotRun);
        }
        if let Some(verdict) = self.known_verdict(ask, history.rules().one_vote_per_key) {
            return verdict;
        }
        if let Some(refusal) = self.refusal(ask.key, history, now) {
            return VoteDecision::Refused(refusal, greatest);
        }
        self.insert(ask.key, ask.attempt, None, now);
        VoteDecision::Granted
    }

    /// Takes over how an attempt ended.
    ///
    /// `NotRun` releases the vote of that attempt only, and a late ask of it gets no vote.
    pub fn apply_record(&mut self, record: ClaimRecord, now: Millis) {
        self.expire(now);
        if record.outcome == ClaimOutcome::NotRun {
            self.release(record.key, record.attempt, now);
        } else {
            self.store(record, now);
        }
    }

    /// Drops the claims whose window has passed and returns how many there were.
    pub fn expire(&mut self, now: Millis) -> usize {
        while self
            .ended_order
            .front()
            .is_some_and(|(until, _)| *until <= now)
        {
            self.drop_oldest_ended();
        }
        let mut dropped = 0;
        while let Some((expires, key)) = self.expiries.first().copied()
            && expires <= now
        {
            self.remove(key);
            dropped += 1;
        }
        check::bytes(self.bytes, self.claims.values().map(|claim| claim.bytes));
        dropped
    }

    /// Returns the number of remembered claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no claim is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns the bytes that remembered claims take.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    fn known_verdict(&self, ask: &VoteRequest, one_vote: bool) -> Option<VoteDecision> {
        let claim = self.claims.get(&ask.key)?;
        match &claim.result {
            Some(result) if one_vote => Some(VoteDecision::Ended(claim.attempt, result.clone())),
            None if claim.attempt == ask.attempt => Some(VoteDecision::Granted),
            None if one_vote => Some(VoteDecision::HeldBy(claim.attempt)),
            _ => None,
        }
    }

    fn refusal(&self, key: ClaimKey, history: &ListHistory, now: Millis) -> Option<VoteRefusal> {
        if !history.is_established(now) {
            return Some(VoteRefusal::NotEstablished);
        }
        if !history.is_lease_held(now) {
            return Some(VoteRefusal::NoLease);
        }
        if !history.is_voter_in_all_versions(key) {
            return Some(VoteRefusal::NewVoter);
        }
        self.is_full().then_some(VoteRefusal::Full)
    }

    fn is_full(&self) -> bool {
        self.claims.len() >= self.limits.max_claims
            || self.bytes + CLAIM_BYTES > self.limits.max_bytes
    }

    fn insert(
        &mut self,
        key: ClaimKey,
        attempt: AttemptId,
        result: Option<ClaimOutcome>,
        now: Millis,
    ) {
        let former = self.remove(key);
        // The attempt may dispatch up to the dispatch right after this vote.
        let expires = now + self.window.at(now) + DISPATCH_PERMIT_MS;
        let expires = former.map_or(expires, |former| former.expires.max(expires));
        let result = result.map(|result| self.fit(result));
        let bytes = CLAIM_BYTES + result.as_ref().map_or(0, result_bytes);
        let claim = RememberedClaim {
            attempt,
            result,
            expires,
            bytes,
        };
        self.bytes += bytes;
        self.expiries.insert((expires, key));
        self.claims.insert(key, claim);
    }

    fn remove(&mut self, key: ClaimKey) -> Option<RememberedClaim> {
        let claim = self.claims.remove(&key)?;
        self.bytes -= claim.bytes;
        self.expiries.remove(&(claim.expires, key));
        Some(claim)
    }

    fn release(&mut self, key: ClaimKey, attempt: AttemptId, now: Millis) {
        let held = self.claims.get(&key);
        if held.is_some_and(|claim| claim.attempt == attempt && claim.result.is_none()) {
            self.remove(key);
        }
        if self.ended.insert(attempt) {
            let until = now + self.window.at(now) + DISPATCH_PERMIT_MS;
            self.ended_order.push_back((until, attempt));
        }
        // A forgotten end costs no safety: a late ask would hold the key for an idle window.
        if self.ended_order.len() > self.limits.max_claims {
            self.drop_oldest_ended();
        }
    }

    /// Stores a result; the first result of a key stays, but an answer replaces an unknown one.
    ///
    /// It replaces a vote for another attempt: only one of the two can have run in this window,
    /// and the key stays taken.
    fn store(&mut self, record: ClaimRecord, now: Millis) {
        let Some(claim) = self.claims.get(&record.key) else {
            if !self.is_full() {
                self.insert(record.key, record.attempt, Some(record.outcome), now);
            }
            return;
        };
        let (attempt, result) = match &claim.result {
            None => (record.attempt, record.outcome),
            Some(ClaimOutcome::Unknown) if claim.attempt == record.attempt => {
                (record.attempt, record.outcome)
            }
            Some(first) => (claim.attempt, first.clone()),
        };
        self.insert(record.key, attempt, Some(result), now);
    }

    /// Returns the result without its answer when the answer does not fit.
    fn fit(&self, result: ClaimOutcome) -> ClaimOutcome {
        let ClaimOutcome::Ran(answer) = &result else {
            return result;
        };
        let bytes = self.bytes + CLAIM_BYTES + answer_bytes(answer);
        if answer.body.len() > ANSWER_LIMIT || bytes > self.limits.max_bytes {
            return ClaimOutcome::RanUnstored;
        }
        result
    }

    fn drop_oldest_ended(&mut self) {
        if let Some((_, attempt)) = self.ended_order.pop_front() {
            self.ended.remove(&attempt);
        }
    }
}

fn result_bytes(result: &ClaimOutcome) -> usize {
    match result {
        ClaimOutcome::Ran(answer) => answer_bytes(answer),
        ClaimOutcome::NotRun | ClaimOutcome::RanUnstored | ClaimOutcome::Unknown => 0,
    }
}

fn answer_bytes(answer: &StoredResponse) -> usize {
    let headers = answer.headers.iter();
    let headers: usize = headers
        .map(|(name, value)| HEADER_BYTES + name.len() + value.len())
        .sum();
    headers + answer.body.len()
}
