//! State machine that collects the votes for an at-most-once request.

use toucanledge_core::{ListVersion, Millis, RefusalReason, VmId, VmList};

use crate::action::{AttemptAction, RecordDelivery};
use crate::message::{
    AttemptId, ClaimKey, ClaimOutcome, ClaimRecord, VoteDecision, VoteReply, VoteRequest,
};
use crate::rules::{ClaimRules, DISPATCH_PERMIT_MS};
use crate::voters;

/// Time after which a vote request without a reply is sent again.
const RESEND_INTERVAL_MS: u64 = 100;

/// Time after which split votes are released although some voters have not replied.
const SPLIT_VOTE_TIMEOUT_MS: u64 = 200;

/// Shortest delay before votes are requested again.
const MIN_RETRY_DELAY_MS: u64 = 10;

/// Shortest delay before the voters are asked again for the outcome of another claim attempt.
const MIN_POLL_DELAY_MS: u64 = 40;

/// Largest number of doublings of a retry or poll delay.
const MAX_DELAY_DOUBLINGS: u32 = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum VoterState {
    NoReply,
    Granted,
    HeldBy(AttemptId),
    Refused,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptState {
    /// Vote requests are sent; the quorum is not reached yet.
    CollectingVotes,
    /// The quorum is reached and the request is not dispatched yet.
    Ready,
    /// The first byte of the request may have been sent.
    Dispatched,
    /// The votes are released; the next claim attempt starts at this time.
    BackingOff(Millis),
    Ended,
}

/// Parameters of the claim attempts of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptRequest {
    /// Idempotency key of the request.
    pub key: ClaimKey,
    /// Id of the first claim attempt; each retry needs a new one.
    pub attempt_id: AttemptId,
    /// Deadline of the request on the local clock.
    pub deadline: Millis,
    /// Random number that adds jitter to the delay before a retry.
    pub jitter_seed: u64,
}

/// Claim attempts of one request, made one after another until one gets a dispatch permit.
///
/// The driver carries out each [`AttemptAction`]. It calls [`try_dispatch`](Self::try_dispatch)
/// right before it sends the first byte, and [`finish`](Self::finish) after the backend server's
/// response.
#[derive(Clone, Debug)]
pub struct ClaimAttempt {
    request: AttemptRequest,
    rules: ClaimRules,
    list_version: ListVersion,
    voters: Vec<(VmId, VoterState)>,
    /// Start of this round; the dispatch permit counts from it.
    started_at: Millis,
    last_sent_at: Millis,
    round: u32,
    /// Claim attempt of another request that held most votes in the last round.
    holder: Option<AttemptId>,
    state: AttemptState,
}

impl ClaimAttempt {
    /// Starts the first claim attempt with the newest VM list that the gateway knows.
    #[must_use]
    pub fn start(request: AttemptRequest, list: &VmList, now: Millis) -> (Self, AttemptAction) {
        Self::start_with_rules(request, list, ClaimRules::default(), now)
    }

    /// Starts a claim attempt with some rules turned off, for tests.
    #[doc(hidden)]
    #[must_use]
    pub fn start_with_rules(
        request: AttemptRequest,
        list: &VmList,
        rules: ClaimRules,
        now: Millis,
    ) -> (Self, AttemptAction) {
        let mut attempt = Self {
            request,
            rules,
            list_version: list.version,
            voters: Vec::new(),
            started_at: now,
            last_sent_at: now,
            round: 0,
            holder: None,
            state: AttemptState::CollectingVotes,
        };
        let action = attempt.begin(list, None, now);
        (attempt, action)
    }

    /// Starts the next claim attempt after [`AttemptAction::Retry`].
    ///
    /// The id must be new. In any other state the call acts like [`tick`](Self::tick).
    pub fn retry(
        &mut self,
        id: AttemptId,
        list: &VmList,
        jitter_seed: u64,
        now: Millis,
    ) -> AttemptAction {
        if !matches!(self.state, AttemptState::BackingOff(_)) || id == self.request.attempt_id {
            return self.tick(now);
        }
        let release = self.delivery(ClaimOutcome::NotRun);
        self.request.attempt_id = id;
        self.request.jitter_seed = jitter_seed;
        self.round += 1;
        self.begin(list, Some(release), now)
    }

    /// Applies a voter's reply; replies to previous claim attempts are ignored.
    pub fn handle_reply(&mut self, voter: VmId, reply: VoteReply, now: Millis) -> AttemptAction {
        let is_current = reply.attempt == self.request.attempt_id && reply.key == self.request.key;
        if !is_current || self.state != AttemptState::CollectingVotes {
            return self.tick(now);
        }
        match reply.decision {
            VoteDecision::Ended(ended, outcome) if ended != self.request.attempt_id => {
                self.end_with_outcome_of(ended, outcome)
            }
            VoteDecision::Granted => self.record_reply(voter, VoterState::Granted, now),
            VoteDecision::HeldBy(holder) => {
                self.record_reply(voter, VoterState::HeldBy(holder), now)
            }
            VoteDecision::Ended(..) | VoteDecision::Refused(..) => {
                self.record_reply(voter, VoterState::Refused, now)
            }
        }
    }

    /// Returns the action that is due at this time.
    pub fn tick(&mut self, now: Millis) -> AttemptAction {
        match self.state {
            AttemptState::CollectingVotes => self.tick_collecting(now),
            AttemptState::Ready if self.has_permit(now) => {
                AttemptAction::Dispatch(self.permit_expires_at())
            }
            AttemptState::Ready => self.refuse(RefusalReason::ClaimExpired),
            AttemptState::BackingOff(_) if now >= self.request.deadline => {
                self.state = AttemptState::Ended;
                AttemptAction::Refuse {
                    reason: self.deadline_reason(),
                    release: None,
                }
            }
            AttemptState::BackingOff(due) if now >= due => AttemptAction::Retry,
            AttemptState::BackingOff(due) => AttemptAction::Wait(due),
            AttemptState::Dispatched | AttemptState::Ended => AttemptAction::Done,
        }
    }

    /// Returns whether the request may be dispatched, and marks it as dispatched if so.
    ///
    /// After `true`, only [`finish`](Self::finish) or [`undo_dispatch`](Self::undo_dispatch) may
    /// follow.
    pub fn try_dispatch(&mut self, now: Millis) -> bool {
        let allowed = self.state == AttemptState::Ready && self.has_permit(now);
        if allowed {
            self.state = AttemptState::Dispatched;
        }
        allowed
    }

    /// Undoes a dispatch, so that the request may go to another backend server.
    ///
    /// Allowed only when the backend server rejected the request as not run, or when the
    /// connection failed before the first byte. The dispatch permit keeps its expiry.
    pub fn undo_dispatch(&mut self, now: Millis) -> AttemptAction {
        if self.state == AttemptState::Dispatched {
            self.state = AttemptState::Ready;
        }
        self.tick(now)
    }

    /// Ends the claim attempt and returns the outcome record for its voters.
    ///
    /// After dispatch, `NotRun` is allowed only when the connection failed before the first byte
    /// or the backend server rejected the request as not run. Without dispatch, the recorded
    /// outcome is always `NotRun`. Returns `None` when the claim attempt has already ended or
    /// released its votes.
    pub fn finish(&mut self, outcome: ClaimOutcome) -> Option<RecordDelivery> {
        let state = std::mem::replace(&mut self.state, AttemptState::Ended);
        match state {
            AttemptState::Dispatched => Some(self.delivery(outcome)),
            AttemptState::CollectingVotes | AttemptState::Ready => {
                Some(self.delivery(ClaimOutcome::NotRun))
            }
            AttemptState::BackingOff(_) | AttemptState::Ended => None,
        }
    }

    /// Returns the id of the current claim attempt.
    #[must_use]
    pub const fn id(&self) -> AttemptId {
        self.request.attempt_id
    }

    /// Returns the idempotency key of the request.
    #[must_use]
    pub const fn key(&self) -> ClaimKey {
        self.request.key
    }

    fn begin(
        &mut self,
        list: &VmList,
        release: Option<RecordDelivery>,
        now: Millis,
    ) -> AttemptAction {
        self.list_version = list.version;
        self.voters = voters::voters(list, self.request.key)
            .into_iter()
            .map(|vm| (vm, VoterState::NoReply))
            .collect();
        self.started_at = now;
        self.state = AttemptState::CollectingVotes;
        self.request_votes(release, now)
    }

    fn request_votes(&mut self, release: Option<RecordDelivery>, now: Millis) -> AttemptAction {
        self.last_sent_at = now;
        AttemptAction::RequestVotes {
            request: VoteRequest {
                key: self.request.key,
                attempt: self.request.attempt_id,
                list_version: self.list_version,
            },
            voters: self.voters_without_grant(),
            release,
            next_tick: now + RESEND_INTERVAL_MS,
        }
    }

    fn record_reply(&mut self, voter: VmId, reply: VoterState, now: Millis) -> AttemptAction {
        let entry = self.voters.iter_mut().find(|(vm, _)| *vm == voter);
        // A granted vote stays granted: replies to repeated vote requests may arrive out of order.
        if let Some((_, state)) = entry
            && *state != VoterState::Granted
        {
            *state = reply;
        }
        if self.grant_count() >= self.quorum() {
            self.state = AttemptState::Ready;
            return self.tick(now);
        }
        if self.grant_count() + self.missing_reply_count() < self.quorum() {
            return self.release_and_back_off(now);
        }
        self.tick(now)
    }

    fn tick_collecting(&mut self, now: Millis) -> AttemptAction {
        if now >= self.request.deadline {
            self.update_holder();
            return self.refuse(self.deadline_reason());
        }
        let split =
            now.since(self.started_at) >= SPLIT_VOTE_TIMEOUT_MS && self.holders().next().is_some();
        if split || self.voters.is_empty() || now.since(self.started_at) >= DISPATCH_PERMIT_MS {
            return self.release_and_back_off(now);
        }
        if now.since(self.last_sent_at) >= RESEND_INTERVAL_MS {
            return self.request_votes(None, now);
        }
        AttemptAction::Wait(self.last_sent_at + RESEND_INTERVAL_MS)
    }

    /// Releases the votes and picks the delay before the next claim attempt.
    fn release_and_back_off(&mut self, now: Millis) -> AttemptAction {
        self.update_holder();
        let holder = self.holder;
        let quorum_holder = holder.filter(|holder| {
            let votes = self.holders().filter(|other| other == holder).count();
            votes >= self.quorum()
        });
        let base = if quorum_holder.is_some() {
            MIN_POLL_DELAY_MS
        } else {
            MIN_RETRY_DELAY_MS
        };
        let min_delay = base << self.round.min(MAX_DELAY_DOUBLINGS);
        let next_tick = now + min_delay + self.request.jitter_seed % min_delay;
        let next_tick = next_tick.min(self.request.deadline);
        self.state = AttemptState::BackingOff(next_tick);
        let release = self.delivery(ClaimOutcome::NotRun);
        match quorum_holder {
            Some(holder) => AttemptAction::AwaitHolder {
                holder,
                release,
                next_tick,
            },
            None => AttemptAction::ReleaseVotes { release, next_tick },
        }
    }

    fn end_with_outcome_of(
        &mut self,
        executed_by: AttemptId,
        outcome: ClaimOutcome,
    ) -> AttemptAction {
        match outcome {
            ClaimOutcome::Ran(response) => {
                self.state = AttemptState::Ended;
                AttemptAction::Replay {
                    response,
                    executed_by,
                    release: self.delivery(ClaimOutcome::NotRun),
                }
            }
            ClaimOutcome::RanUnstored | ClaimOutcome::Unknown | ClaimOutcome::NotRun => {
                self.refuse(RefusalReason::KeyUnknown)
            }
        }
    }

    fn refuse(&mut self, reason: RefusalReason) -> AttemptAction {
        self.state = AttemptState::Ended;
        AttemptAction::Refuse {
            reason,
            release: Some(self.delivery(ClaimOutcome::NotRun)),
        }
    }

    fn delivery(&self, outcome: ClaimOutcome) -> RecordDelivery {
        RecordDelivery {
            record: ClaimRecord {
                key: self.request.key,
                attempt: self.request.attempt_id,
                outcome,
            },
            voters: self.voters.iter().map(|(vm, _)| *vm).collect(),
        }
    }

    const fn deadline_reason(&self) -> RefusalReason {
        if self.holder.is_some() {
            RefusalReason::KeyInProgress
        } else {
            RefusalReason::NoQuorum
        }
    }

    fn permit_expires_at(&self) -> Millis {
        if !self.rules.permit_expiry {
            return Millis(u64::MAX);
        }
        let expires_at = self.started_at + DISPATCH_PERMIT_MS;
        expires_at.min(self.request.deadline)
    }

    fn has_permit(&self, now: Millis) -> bool {
        now < self.permit_expires_at()
    }

    fn update_holder(&mut self) {
        let holder = self
            .holders()
            .max_by_key(|holder| self.holders().filter(|other| other == holder).count());
        self.holder = holder;
    }

    fn holders(&self) -> impl Iterator<Item = AttemptId> {
        self.voters.iter().filter_map(|(_, state)| match state {
            VoterState::HeldBy(holder) => Some(*holder),
            VoterState::NoReply | VoterState::Granted | VoterState::Refused => None,
        })
    }

    fn voters_without_grant(&self) -> Vec<VmId> {
        let without_grant = self
            .voters
            .iter()
            .filter(|(_, state)| *state != VoterState::Granted);
        without_grant.map(|(vm, _)| *vm).collect()
    }

    fn grant_count(&self) -> usize {
        self.count(VoterState::Granted)
    }

    fn missing_reply_count(&self) -> usize {
        self.count(VoterState::NoReply)
    }

    fn count(&self, expected: VoterState) -> usize {
        let matching = self.voters.iter().filter(|(_, state)| *state == expected);
        matching.count()
    }

    const fn quorum(&self) -> usize {
        voters::quorum(self.voters.len())
    }
}
