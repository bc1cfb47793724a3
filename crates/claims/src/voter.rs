//! Votes and outcomes that a gateway stores as a voter.

use std::collections;

use toucanledge_core::Millis;

use crate::history::ListHistory;
use crate::invariants;
use crate::message::{
    AttemptId, ClaimKey, ClaimOutcome, ClaimRecord, StoredResponse, VoteDecision, VoteRefusal,
    VoteRequest,
};
use crate::retention::RetentionWindow;
use crate::rules::DISPATCH_PERMIT_MS;

/// Bytes that a stored claim takes besides its response.
const CLAIM_OVERHEAD_BYTES: usize = 128;

/// Bytes that a stored header takes besides its name and value.
const HEADER_OVERHEAD_BYTES: usize = 48;

/// Largest response body that a voter stores.
const MAX_STORED_BODY_BYTES: usize = 64 * 1024;

/// Limits on what a voter stores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimLimits {
    /// Largest number of claims.
    pub max_claims: usize,
    /// Largest size of all claims in bytes, stored responses included.
    pub max_bytes: usize,
}

impl Default for ClaimLimits {
    /// Fits into the 64 MB that a gateway may use for its control plane.
    fn default() -> Self {
        Self {
            max_claims: 100_000,
            max_bytes: 32 * 1024 * 1024,
        }
    }
}

#[derive(Clone, Debug)]
struct StoredClaim {
    attempt: AttemptId,
    /// `None` while the claim attempt has not ended.
    outcome: Option<ClaimOutcome>,
    expires_at: Millis,
    bytes: usize,
}

/// The votes and outcomes that a gateway stores for the retention window.
///
/// A claim is never removed before its retention window has passed. A voter at its limits refuses
/// new votes instead.
#[derive(Clone, Debug)]
pub struct ClaimVoter {
    limits: ClaimLimits,
    window: RetentionWindow,
    claims: collections::HashMap<ClaimKey, StoredClaim>,
    expiries: collections::BTreeSet<(Millis, ClaimKey)>,
    bytes: usize,
    /// Claim attempts that ended as not run; their late vote requests get no vote.
    not_run: collections::HashSet<AttemptId>,
    not_run_order: collections::VecDeque<(Millis, AttemptId)>,
}

impl ClaimVoter {
    /// Creates a voter without claims.
    ///
    /// `window_ms` is the longest retention window of the routing table.
    #[must_use]
    pub fn new(window_ms: u64, limits: ClaimLimits) -> Self {
        Self {
            limits,
            window: RetentionWindow::new(window_ms),
            claims: collections::HashMap::new(),
            expiries: collections::BTreeSet::new(),
            bytes: 0,
            not_run: collections::HashSet::new(),
            not_run_order: collections::VecDeque::new(),
        }
    }

    /// Sets the longest retention window of the routing table.
    ///
    /// A longer window also extends the claims that are stored already.
    pub fn set_window(&mut self, window_ms: u64, now: Millis) {
        self.expire(now);
        let growth_ms = window_ms.saturating_sub(self.window.at(now));
        self.window.set(window_ms, now);
        for claim in self.claims.values_mut() {
            claim.expires_at = claim.expires_at + growth_ms;
        }
        let claims = self.claims.iter();
        self.expiries = claims
            .map(|(key, claim)| (claim.expires_at, *key))
            .collect();
    }

    /// Decides on a vote request; a repeated request of the same claim attempt gets the same vote.
    pub fn handle_request(
        &mut self,
        request: &VoteRequest,
        history: &ListHistory,
        now: Millis,
    ) -> VoteDecision {
        self.expire(now);
        let newest = history.newest_version().unwrap_or_default();
        if request.list_version != newest && history.rules().matching_list_version {
            return VoteDecision::Refused(VoteRefusal::ListVersion, newest);
        }
        if self.not_run.contains(&request.attempt) {
            return VoteDecision::Ended(request.attempt, ClaimOutcome::NotRun);
        }
        if let Some(decision) = self.decision_from_claim(request, history.rules().one_vote_per_key)
        {
            return decision;
        }
        if let Some(refusal) = self.refusal(request.key, history, now) {
            return VoteDecision::Refused(refusal, newest);
        }
        self.insert(request.key, request.attempt, None, now);
        VoteDecision::Granted
    }

    /// Applies the outcome record of a claim attempt.
    ///
    /// `NotRun` releases the vote of that claim attempt only, and a late vote request of it gets
    /// no vote.
    pub fn apply_record(&mut self, record: ClaimRecord, now: Millis) {
        self.expire(now);
        if record.outcome == ClaimOutcome::NotRun {
            self.release(record.key, record.attempt, now);
        } else {
            self.store(record, now);
        }
    }

    /// Removes the claims whose retention window has passed and returns their number.
    pub fn expire(&mut self, now: Millis) -> usize {
        while self
            .not_run_order
            .front()
            .is_some_and(|(until, _)| *until <= now)
        {
            self.remove_oldest_not_run();
        }
        let mut removed = 0;
        while let Some((expires_at, key)) = self.expiries.first().copied()
            && expires_at <= now
        {
            self.remove(key);
            removed += 1;
        }
        invariants::check_byte_count(self.bytes, self.claims.values().map(|claim| claim.bytes));
        removed
    }

    /// Returns the number of stored claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no claim is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns the bytes that stored claims take.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    fn decision_from_claim(&self, request: &VoteRequest, one_vote: bool) -> Option<VoteDecision> {
        let claim = self.claims.get(&request.key)?;
        match &claim.outcome {
            Some(outcome) if one_vote => Some(VoteDecision::Ended(claim.attempt, outcome.clone())),
            None if claim.attempt == request.attempt => Some(VoteDecision::Granted),
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
            || self.bytes + CLAIM_OVERHEAD_BYTES > self.limits.max_bytes
    }

    fn insert(
        &mut self,
        key: ClaimKey,
        attempt: AttemptId,
        outcome: Option<ClaimOutcome>,
        now: Millis,
    ) {
        let previous = self.remove(key);
        // The claim attempt may dispatch until its permit expires; the window counts from then.
        let expires_at = now + self.window.at(now) + DISPATCH_PERMIT_MS;
        let expires_at =
            previous.map_or(expires_at, |previous| previous.expires_at.max(expires_at));
        let outcome = outcome.map(|outcome| self.fit_to_limits(outcome));
        let bytes = CLAIM_OVERHEAD_BYTES + outcome.as_ref().map_or(0, outcome_bytes);
        let claim = StoredClaim {
            attempt,
            outcome,
            expires_at,
            bytes,
        };
        self.bytes += bytes;
        self.expiries.insert((expires_at, key));
        self.claims.insert(key, claim);
    }

    fn remove(&mut self, key: ClaimKey) -> Option<StoredClaim> {
        let claim = self.claims.remove(&key)?;
        self.bytes -= claim.bytes;
        self.expiries.remove(&(claim.expires_at, key));
        Some(claim)
    }

    fn release(&mut self, key: ClaimKey, attempt: AttemptId, now: Millis) {
        let claim = self.claims.get(&key);
        if claim.is_some_and(|claim| claim.attempt == attempt && claim.outcome.is_none()) {
            self.remove(key);
        }
        if self.not_run.insert(attempt) {
            let until = now + self.window.at(now) + DISPATCH_PERMIT_MS;
            self.not_run_order.push_back((until, attempt));
        }
        // Removing an entry is safe: a late vote request would only hold the key for one retention
        // window, without a dispatch.
        if self.not_run_order.len() > self.limits.max_claims {
            self.remove_oldest_not_run();
        }
    }

    /// Stores an outcome. The first outcome of a key stays, but a known one replaces `Unknown` of
    /// the same claim attempt.
    ///
    /// An outcome also replaces a vote for another claim attempt: only one of the two can have run
    /// within this window, and the key stays claimed either way.
    fn store(&mut self, record: ClaimRecord, now: Millis) {
        let Some(claim) = self.claims.get(&record.key) else {
            if !self.is_full() {
                self.insert(record.key, record.attempt, Some(record.outcome), now);
            }
            return;
        };
        let (attempt, outcome) = match &claim.outcome {
            None => (record.attempt, record.outcome),
            Some(ClaimOutcome::Unknown) if claim.attempt == record.attempt => {
                (record.attempt, record.outcome)
            }
            Some(first) => (claim.attempt, first.clone()),
        };
        self.insert(record.key, attempt, Some(outcome), now);
    }

    /// Returns the outcome, without its response if that exceeds the limits.
    fn fit_to_limits(&self, outcome: ClaimOutcome) -> ClaimOutcome {
        let ClaimOutcome::Ran(response) = &outcome else {
            return outcome;
        };
        let bytes = self.bytes + CLAIM_OVERHEAD_BYTES + response_bytes(response);
        if response.body.len() > MAX_STORED_BODY_BYTES || bytes > self.limits.max_bytes {
            return ClaimOutcome::RanUnstored;
        }
        outcome
    }

    fn remove_oldest_not_run(&mut self) {
        if let Some((_, attempt)) = self.not_run_order.pop_front() {
            self.not_run.remove(&attempt);
        }
    }
}

fn outcome_bytes(outcome: &ClaimOutcome) -> usize {
    match outcome {
        ClaimOutcome::Ran(response) => response_bytes(response),
        ClaimOutcome::NotRun | ClaimOutcome::RanUnstored | ClaimOutcome::Unknown => 0,
    }
}

fn response_bytes(response: &StoredResponse) -> usize {
    let headers = response.headers.iter();
    let headers: usize = headers
        .map(|(name, value)| HEADER_OVERHEAD_BYTES + name.len() + value.len())
        .sum();
    headers + response.body.len()
}
