//! A gateway's attempt to run keyed work.

use toucanledge_core::{ListVersion, Millis, RefusalReason, VmId, VmList};

use crate::message::{
    AttemptId, ClaimKey, ClaimOutcome, ClaimRecord, VoteDecision, VoteReply, VoteRequest,
};
use crate::rules::{ClaimRules, DISPATCH_PERMIT_MS};
use crate::step::{AttemptAction, RecordDelivery};
use crate::voters;

/// Time in milliseconds after which an ask without a reply is sent again.
const RESEND_MS: u64 = 100;

/// Time in milliseconds after which split votes are released although voters are silent.
const SPLIT_MS: u64 = 200;

/// Shortest delay in milliseconds before votes are asked for again.
const RETRY_MS: u64 = 10;

/// Shortest delay in milliseconds before the answer of another attempt is asked for again.
const POLL_MS: u64 = 40;

/// Greatest number of doublings of a delay.
const DOUBLINGS_MAX: u32 = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum VoterReply {
    Silent,
    Granted,
    Held(AttemptId),
    Refused,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptState {
    /// Asks went out and the quorum is open.
    Asking,
    /// The quorum is reached.
    Ready,
    /// The first byte may have been sent.
    Dispatched,
    /// The votes were released; the next attempt id is due at this time.
    Pending(Millis),
    Ended,
}

/// What a request needs from its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptRequest {
    /// Key of the work.
    pub key: ClaimKey,
    /// First attempt id; each retry needs a new one.
    pub attempt_id: AttemptId,
    /// Deadline of the request on the own clock.
    pub deadline: Millis,
    /// Random number that spreads the delay before a retry.
    pub jitter_seed: u64,
}

/// Attempts of one request to get the right to dispatch, one attempt id at a time.
///
/// The shell does what each [`AttemptAction`] says. Right before the first byte is sent it calls
/// [`try_dispatch`](Self::try_dispatch), and after the backend server's answer
/// [`finish`](Self::finish).
#[derive(Clone, Debug)]
pub struct ClaimAttempt {
    request: AttemptRequest,
    rules: ClaimRules,
    list: ListVersion,
    replies: Vec<(VmId, VoterReply)>,
    asked: Millis,
    resent: Millis,
    round: u32,
    /// Attempt of another request that held the key in the last round.
    holder: Option<AttemptId>,
    state: AttemptState,
}

impl ClaimAttempt {
    /// Starts the first attempt with the greatest list that the gateway knows.
    #[must_use]
    pub fn start(request: AttemptRequest, list: &VmList, now: Millis) -> (Self, AttemptAction) {
        Self::start_with_rules(request, list, ClaimRules::default(), now)
    }

    /// Starts an attempt with rules turned off, for tests.
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
            list: list.version,
            replies: Vec::new(),
            asked: now,
            resent: now,
            round: 0,
            holder: None,
            state: AttemptState::Asking,
        };
        let step = attempt.begin(list, None, now);
        (attempt, step)
    }

    /// Starts the next attempt after [`AttemptAction::Retry`].
    ///
    /// The id must be new. In any other state the call changes nothing.
    pub fn retry(
        &mut self,
        id: AttemptId,
        list: &VmList,
        random: u64,
        now: Millis,
    ) -> AttemptAction {
        if !matches!(self.state, AttemptState::Pending(_)) || id == self.request.attempt_id {
            return self.tick(now);
        }
        let release = self.delivery(ClaimOutcome::NotRun);
        self.request.attempt_id = id;
        self.request.jitter_seed = random;
        self.round += 1;
        self.begin(list, Some(release), now)
    }

    /// Takes over a voter's reply; replies to former attempt ids are ignored.
    pub fn handle_reply(&mut self, voter: VmId, reply: VoteReply, now: Millis) -> AttemptAction {
        let own = reply.attempt == self.request.attempt_id && reply.key == self.request.key;
        if !own || self.state != AttemptState::Asking {
            return self.tick(now);
        }
        match reply.decision {
            VoteDecision::Ended(ended, result) if ended != self.request.attempt_id => {
                self.end_by(ended, result)
            }
            VoteDecision::Granted => self.note(voter, VoterReply::Granted, now),
            VoteDecision::HeldBy(holder) => self.note(voter, VoterReply::Held(holder), now),
            VoteDecision::Ended(..) | VoteDecision::Refused(..) => {
                self.note(voter, VoterReply::Refused, now)
            }
        }
    }

    /// Returns what to do at this time.
    pub fn tick(&mut self, now: Millis) -> AttemptAction {
        match self.state {
            AttemptState::Asking => self.tick_asking(now),
            AttemptState::Ready if self.has_right(now) => {
                AttemptAction::Dispatch(self.right_until())
            }
            AttemptState::Ready => self.refuse(RefusalReason::ClaimExpired),
            AttemptState::Pending(_) if now >= self.request.deadline => {
                self.state = AttemptState::Ended;
                AttemptAction::Refuse {
                    reason: self.deadline_reason(),
                    release: None,
                }
            }
            AttemptState::Pending(due) if now >= due => AttemptAction::Retry,
            AttemptState::Pending(due) => AttemptAction::Wait(due),
            AttemptState::Dispatched | AttemptState::Ended => AttemptAction::Done,
        }
    }

    /// Checks for the last time whether the first byte may be sent.
    ///
    /// When it returns true, the attempt counts as dispatched and only
    /// [`finish`](Self::finish) follows.
    pub fn try_dispatch(&mut self, now: Millis) -> bool {
        let allowed = self.state == AttemptState::Ready && self.has_right(now);
        if allowed {
            self.state = AttemptState::Dispatched;
        }
        allowed
    }

    /// Takes the dispatch back, so that the request may go to another backend server.
    ///
    /// Allowed only when the backend server said that it shed the request, or when the connection
    /// failed before the first byte. The right keeps its end.
    pub fn undo_dispatch(&mut self, now: Millis) -> AttemptAction {
        if self.state == AttemptState::Dispatched {
            self.state = AttemptState::Ready;
        }
        self.tick(now)
    }

    /// Ends the attempt and returns the record for the voters.
    ///
    /// After dispatch, `NotRun` is allowed only when the connection failed before the first byte
    /// or the backend server said that it shed the request. Without dispatch the record is always
    /// `NotRun`. Returns `None` when the attempt has ended or its votes were released before.
    pub fn finish(&mut self, result: ClaimOutcome) -> Option<RecordDelivery> {
        let state = std::mem::replace(&mut self.state, AttemptState::Ended);
        match state {
            AttemptState::Dispatched => Some(self.delivery(result)),
            AttemptState::Asking | AttemptState::Ready => Some(self.delivery(ClaimOutcome::NotRun)),
            AttemptState::Pending(_) | AttemptState::Ended => None,
        }
    }

    /// Returns the present attempt id.
    #[must_use]
    pub const fn id(&self) -> AttemptId {
        self.request.attempt_id
    }

    /// Returns the key of the work.
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
        self.list = list.version;
        self.replies = voters::voters(list, self.request.key)
            .into_iter()
            .map(|vm| (vm, VoterReply::Silent))
            .collect();
        self.asked = now;
        self.state = AttemptState::Asking;
        self.ask(release, now)
    }

    fn ask(&mut self, release: Option<RecordDelivery>, now: Millis) -> AttemptAction {
        self.resent = now;
        AttemptAction::RequestVotes {
            request: VoteRequest {
                key: self.request.key,
                attempt: self.request.attempt_id,
                list_version: self.list,
            },
            voters: self.open_voters(),
            release,
            next_tick: now + RESEND_MS,
        }
    }

    fn note(&mut self, voter: VmId, reply: VoterReply, now: Millis) -> AttemptAction {
        let place = self.replies.iter_mut().find(|(vm, _)| *vm == voter);
        // A vote stays given: replies to repeated asks may arrive out of order.
        if let Some((_, noted)) = place
            && *noted != VoterReply::Granted
        {
            *noted = reply;
        }
        if self.granted() >= self.quorum() {
            self.state = AttemptState::Ready;
            return self.tick(now);
        }
        if self.granted() + self.silent() < self.quorum() {
            return self.give_way(now);
        }
        self.tick(now)
    }

    fn tick_asking(&mut self, now: Millis) -> AttemptAction {
        if now >= self.request.deadline {
            self.note_holder();
            return self.refuse(self.deadline_reason());
        }
        let split = now.since(self.asked) >= SPLIT_MS && self.held().next().is_some();
        if split || self.replies.is_empty() || now.since(self.asked) >= DISPATCH_PERMIT_MS {
            return self.give_way(now);
        }
        if now.since(self.resent) >= RESEND_MS {
            return self.ask(None, now);
        }
        AttemptAction::Wait(self.resent + RESEND_MS)
    }

    /// Releases the votes and chooses the delay before the next attempt id.
    fn give_way(&mut self, now: Millis) -> AttemptAction {
        self.note_holder();
        let holder = self.holder;
        let majority = holder.filter(|holder| {
            let votes = self.held().filter(|held| held == holder).count();
            votes >= self.quorum()
        });
        let base = if majority.is_some() {
            POLL_MS
        } else {
            RETRY_MS
        };
        let least = base << self.round.min(DOUBLINGS_MAX);
        let tick_at = now + least + self.request.jitter_seed % least;
        let tick_at = tick_at.min(self.request.deadline);
        self.state = AttemptState::Pending(tick_at);
        let release = self.delivery(ClaimOutcome::NotRun);
        match majority {
            Some(holder) => AttemptAction::AwaitHolder {
                holder,
                release,
                next_tick: tick_at,
            },
            None => AttemptAction::ReleaseVotes {
                release,
                next_tick: tick_at,
            },
        }
    }

    fn end_by(&mut self, ran: AttemptId, result: ClaimOutcome) -> AttemptAction {
        match result {
            ClaimOutcome::Ran(answer) => {
                self.state = AttemptState::Ended;
                AttemptAction::Replay {
                    response: answer,
                    executed_by: ran,
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

    fn delivery(&self, result: ClaimOutcome) -> RecordDelivery {
        RecordDelivery {
            record: ClaimRecord {
                key: self.request.key,
                attempt: self.request.attempt_id,
                outcome: result,
            },
            voters: self.replies.iter().map(|(vm, _)| *vm).collect(),
        }
    }

    const fn deadline_reason(&self) -> RefusalReason {
        if self.holder.is_some() {
            RefusalReason::KeyInProgress
        } else {
            RefusalReason::NoQuorum
        }
    }

    fn right_until(&self) -> Millis {
        if !self.rules.permit_expiry {
            return Millis(u64::MAX);
        }
        let until = self.asked + DISPATCH_PERMIT_MS;
        until.min(self.request.deadline)
    }

    fn has_right(&self, now: Millis) -> bool {
        now < self.right_until()
    }

    fn note_holder(&mut self) {
        let holder = self
            .held()
            .max_by_key(|holder| self.held().filter(|held| held == holder).count());
        self.holder = holder;
    }

    fn held(&self) -> impl Iterator<Item = AttemptId> {
        self.replies.iter().filter_map(|(_, reply)| match reply {
            VoterReply::Held(holder) => Some(*holder),
            VoterReply::Silent | VoterReply::Granted | VoterReply::Refused => None,
        })
    }

    fn open_voters(&self) -> Vec<VmId> {
        let open = self
            .replies
            .iter()
            .filter(|(_, reply)| *reply != VoterReply::Granted);
        open.map(|(vm, _)| *vm).collect()
    }

    fn granted(&self) -> usize {
        self.count(VoterReply::Granted)
    }

    fn silent(&self) -> usize {
        self.count(VoterReply::Silent)
    }

    fn count(&self, reply: VoterReply) -> usize {
        let equal = self.replies.iter().filter(|(_, noted)| *noted == reply);
        equal.count()
    }

    const fn quorum(&self) -> usize {
        voters::quorum(self.replies.len())
    }
}
