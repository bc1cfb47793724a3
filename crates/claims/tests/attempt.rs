//! A single claim attempt.

use toucanledge_claims::{
    AttemptAction, AttemptId, AttemptRequest, ClaimAttempt, ClaimKey, ClaimOutcome, VoteDecision,
    VoteRefusal, VoteReply,
};
use toucanledge_core::{Incarnation, ListVersion, Millis, RefusalReason, VmId};

use crate::fleet;

const DEADLINE: Millis = Millis(5_000);

fn attempt_id(gateway: u32, counter: u64) -> AttemptId {
    AttemptId {
        gateway: VmId(gateway),
        incarnation: Incarnation(1),
        counter,
    }
}

fn start() -> ClaimAttempt {
    let request = AttemptRequest {
        key: ClaimKey(1),
        attempt_id: attempt_id(0, 1),
        deadline: DEADLINE,
        jitter_seed: 3,
    };
    ClaimAttempt::start(request, &fleet::list(1, 0..5), Millis(0)).0
}

fn reply(attempt: &mut ClaimAttempt, voter: u32, decision: VoteDecision) -> AttemptAction {
    let reply = VoteReply {
        key: ClaimKey(1),
        attempt: attempt.id(),
        decision,
    };
    attempt.handle_reply(VmId(voter), reply, Millis(10))
}

fn grant(attempt: &mut ClaimAttempt, voters: std::ops::Range<u32>) -> AttemptAction {
    voters
        .map(|voter| reply(attempt, voter, VoteDecision::Granted))
        .last()
        .expect("at least one voter")
}

/// Guards against a duplicated vote reply that counts as two votes.
#[test]
fn three_distinct_votes_give_a_dispatch_permit_for_two_seconds() {
    let mut attempt = start();
    grant(&mut attempt, 0..1);
    grant(&mut attempt, 0..1);
    assert_eq!(grant(&mut attempt, 0..2), AttemptAction::Wait(Millis(100)));
    assert!(!attempt.try_dispatch(Millis(10)));
    assert_eq!(
        grant(&mut attempt, 2..3),
        AttemptAction::Dispatch(Millis(2_000))
    );
    assert!(!attempt.try_dispatch(Millis(2_000)));
    assert!(attempt.try_dispatch(Millis(1_999)));
    assert!(
        !attempt.try_dispatch(Millis(1_999)),
        "a dispatch permit is used once"
    );
}

/// Guards against a vote of a VM that is not a voter of the key.
#[test]
fn vote_of_another_vm_does_not_count() {
    let mut attempt = start();
    grant(&mut attempt, 0..2);
    assert_ne!(
        grant(&mut attempt, 7..8),
        AttemptAction::Dispatch(Millis(2_000))
    );
}

/// Guards against votes for a released claim attempt that count for the next one.
#[test]
fn replies_to_the_previous_attempt_are_ignored() {
    let mut attempt = start();
    let late_reply = VoteReply {
        key: ClaimKey(1),
        attempt: attempt.id(),
        decision: VoteDecision::Granted,
    };
    let refused = VoteDecision::Refused(VoteRefusal::NoLease, ListVersion(1));
    grant(&mut attempt, 0..2);
    reply(&mut attempt, 2, refused.clone());
    reply(&mut attempt, 3, refused.clone());
    let AttemptAction::ReleaseVotes { release, next_tick } = reply(&mut attempt, 4, refused) else {
        panic!("expected released votes, as no quorum can be reached");
    };
    assert_eq!(release.record.outcome, ClaimOutcome::NotRun);
    assert_eq!(release.voters.len(), 5);
    assert_eq!(attempt.tick(next_tick), AttemptAction::Retry);
    attempt.retry(attempt_id(0, 2), &fleet::list(1, 0..5), 3, next_tick);
    for voter in 0..5 {
        attempt.handle_reply(VmId(voter), late_reply.clone(), next_tick);
    }
    assert!(!attempt.try_dispatch(next_tick));
}

/// Guards against a lost vote request that is not repeated before the dispatch permit expires.
#[test]
fn voters_without_reply_get_the_request_again() {
    let mut attempt = start();
    grant(&mut attempt, 0..2);
    let AttemptAction::RequestVotes { mut voters, .. } = attempt.tick(Millis(110)) else {
        panic!("expected a repeated vote request");
    };
    voters.sort();
    assert_eq!(voters, [VmId(2), VmId(3), VmId(4)]);
}

/// Guards against a claim attempt without a quorum that ends early, or that waits without
/// releasing its votes.
#[test]
fn holder_of_a_quorum_is_awaited_until_the_deadline() {
    let mut attempt = start();
    grant(&mut attempt, 0..1);
    let held = VoteDecision::HeldBy(attempt_id(9, 4));
    reply(&mut attempt, 1, held.clone());
    reply(&mut attempt, 2, held.clone());
    let action = reply(&mut attempt, 3, held);
    assert!(
        matches!(action, AttemptAction::AwaitHolder { holder, .. } if holder == attempt_id(9, 4)),
        "expected to wait for the holder, got {action:?}"
    );
    let refuse = AttemptAction::Refuse {
        reason: RefusalReason::KeyInProgress,
        release: None,
    };
    assert_eq!(attempt.tick(DEADLINE), refuse);
}

/// Guards against a request with unknown outcome that runs again, and against a stored response
/// that is not replayed.
#[test]
fn ended_attempt_is_replayed_or_refused() {
    for (outcome, replays) in [
        (ClaimOutcome::Ran(fleet::stored_response()), true),
        (ClaimOutcome::RanUnstored, false),
        (ClaimOutcome::Unknown, false),
    ] {
        let mut attempt = start();
        grant(&mut attempt, 0..2);
        let ended = VoteDecision::Ended(attempt_id(9, 4), outcome);
        match reply(&mut attempt, 2, ended) {
            AttemptAction::Replay { response, .. } => {
                assert!(replays && response == fleet::stored_response());
            }
            AttemptAction::Refuse { reason, release } => {
                assert!(!replays && release.is_some());
                assert_eq!(reason, RefusalReason::KeyUnknown);
            }
            action => panic!("expected a replay or a refusal, got {action:?}"),
        }
        assert!(!attempt.try_dispatch(Millis(11)));
    }
}

/// Guards against a dispatch after the permit expired while the request waited for a slot.
#[test]
fn expired_dispatch_permit_is_refused_and_released() {
    let mut attempt = start();
    grant(&mut attempt, 0..3);
    let AttemptAction::Refuse { reason, release } = attempt.tick(Millis(2_000)) else {
        panic!("expected a refusal, as the dispatch permit has expired");
    };
    assert_eq!(reason, RefusalReason::ClaimExpired);
    assert!(release.is_some());
}

/// Guards against an outcome other than not-run from a claim attempt that did not dispatch.
#[test]
fn finish_without_dispatch_is_not_run() {
    let mut attempt = start();
    grant(&mut attempt, 0..3);
    let delivery = attempt
        .finish(ClaimOutcome::Unknown)
        .expect("the votes are not released yet");
    assert_eq!(delivery.record.outcome, ClaimOutcome::NotRun);
    assert!(!attempt.try_dispatch(Millis(11)));
    assert_eq!(attempt.finish(ClaimOutcome::Unknown), None);
}

/// Guards against an undone dispatch that extends the dispatch permit, or that ends the request
/// while the permit is valid.
#[test]
fn undone_dispatch_keeps_the_expiry_of_the_permit() {
    let mut attempt = start();
    grant(&mut attempt, 0..3);
    assert!(attempt.try_dispatch(Millis(20)));
    let action = attempt.undo_dispatch(Millis(50));
    assert_eq!(action, AttemptAction::Dispatch(Millis(2_000)));
    assert!(attempt.try_dispatch(Millis(60)));
    let action = attempt.undo_dispatch(Millis(2_000));
    assert!(
        matches!(action, AttemptAction::Refuse { .. }),
        "expected a refusal, got {action:?}"
    );
}
