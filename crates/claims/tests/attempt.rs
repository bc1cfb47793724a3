//! One attempt, step by step.

use toucanledge_claims::{
    AttemptAction, AttemptId, AttemptRequest, ClaimAttempt, ClaimKey, ClaimOutcome, VoteDecision,
    VoteRefusal, VoteReply,
};
use toucanledge_core::{Incarnation, ListVersion, Millis, RefusalReason, VmId};

use crate::fleet;

const DEADLINE: Millis = Millis(5_000);

fn id(gateway: u32, counter: u64) -> AttemptId {
    AttemptId {
        gateway: VmId(gateway),
        incarnation: Incarnation(1),
        counter,
    }
}

fn start() -> ClaimAttempt {
    let request = AttemptRequest {
        key: ClaimKey(1),
        attempt_id: id(0, 1),
        deadline: DEADLINE,
        jitter_seed: 3,
    };
    ClaimAttempt::start(request, &fleet::list(1, 0..5), Millis(0)).0
}

fn reply(attempt: &mut ClaimAttempt, voter: u32, verdict: VoteDecision) -> AttemptAction {
    let reply = VoteReply {
        key: ClaimKey(1),
        attempt: attempt.id(),
        decision: verdict,
    };
    attempt.handle_reply(VmId(voter), reply, Millis(10))
}

fn grant(attempt: &mut ClaimAttempt, voters: std::ops::Range<u32>) -> AttemptAction {
    voters
        .map(|voter| reply(attempt, voter, VoteDecision::Granted))
        .last()
        .expect("a voter replies")
}

/// Guards against a duplicated reply that counts as two votes.
#[test]
fn three_distinct_votes_give_the_right_for_two_seconds() {
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
    assert!(!attempt.try_dispatch(Millis(1_999)), "only once");
}

/// Guards against a vote of a VM that is no voter of the key.
#[test]
fn vote_of_another_vm_counts_nothing() {
    let mut attempt = start();
    grant(&mut attempt, 0..2);
    assert_ne!(
        grant(&mut attempt, 7..8),
        AttemptAction::Dispatch(Millis(2_000))
    );
}

/// Guards against votes for a released attempt id that count for the next one.
#[test]
fn replies_to_the_former_attempt_are_ignored() {
    let mut attempt = start();
    let late = VoteReply {
        key: ClaimKey(1),
        attempt: attempt.id(),
        decision: VoteDecision::Granted,
    };
    let refused = VoteDecision::Refused(VoteRefusal::NoLease, ListVersion(1));
    grant(&mut attempt, 0..2);
    reply(&mut attempt, 2, refused.clone());
    reply(&mut attempt, 3, refused.clone());
    let AttemptAction::ReleaseVotes {
        release,
        next_tick: tick_at,
    } = reply(&mut attempt, 4, refused)
    else {
        panic!("no quorum can be reached");
    };
    assert_eq!(release.record.outcome, ClaimOutcome::NotRun);
    assert_eq!(release.voters.len(), 5);
    assert_eq!(attempt.tick(tick_at), AttemptAction::Retry);
    attempt.retry(id(0, 2), &fleet::list(1, 0..5), 3, tick_at);
    for voter in 0..5 {
        attempt.handle_reply(VmId(voter), late.clone(), tick_at);
    }
    assert!(!attempt.try_dispatch(tick_at));
}

/// Guards against a lost ask that waits until the right has passed.
#[test]
fn silent_voters_are_asked_again() {
    let mut attempt = start();
    grant(&mut attempt, 0..2);
    let AttemptAction::RequestVotes { mut voters, .. } = attempt.tick(Millis(110)) else {
        panic!("the ask is due again");
    };
    voters.sort();
    assert_eq!(voters, [VmId(2), VmId(3), VmId(4)]);
}

/// Guards against a loser that gives up, or that waits without releasing its votes.
#[test]
fn holder_of_a_quorum_is_awaited_until_the_deadline() {
    let mut attempt = start();
    grant(&mut attempt, 0..1);
    let held = VoteDecision::HeldBy(id(9, 4));
    reply(&mut attempt, 1, held.clone());
    reply(&mut attempt, 2, held.clone());
    let step = reply(&mut attempt, 3, held);
    assert!(
        matches!(step, AttemptAction::AwaitHolder { holder, .. } if holder == id(9, 4)),
        "{step:?}"
    );
    let refuse = AttemptAction::Refuse {
        reason: RefusalReason::KeyInProgress,
        release: None,
    };
    assert_eq!(attempt.tick(DEADLINE), refuse);
}

/// Guards against an unknown outcome that is run again, or an answer that is not replayed.
#[test]
fn ended_attempt_is_replayed_or_refused() {
    for (result, replays) in [
        (ClaimOutcome::Ran(fleet::answer()), true),
        (ClaimOutcome::RanUnstored, false),
        (ClaimOutcome::Unknown, false),
    ] {
        let mut attempt = start();
        grant(&mut attempt, 0..2);
        let ended = VoteDecision::Ended(id(9, 4), result);
        match reply(&mut attempt, 2, ended) {
            AttemptAction::Replay {
                response: answer, ..
            } => assert!(replays && answer == fleet::answer()),
            AttemptAction::Refuse { reason, release } => {
                assert!(!replays && release.is_some());
                assert_eq!(reason, RefusalReason::KeyUnknown);
            }
            step => panic!("{step:?}"),
        }
        assert!(!attempt.try_dispatch(Millis(11)));
    }
}

/// Guards against a right that passed while the request waited for a slot.
#[test]
fn expired_right_is_refused_and_released() {
    let mut attempt = start();
    grant(&mut attempt, 0..3);
    let AttemptAction::Refuse { reason, release } = attempt.tick(Millis(2_000)) else {
        panic!("the right has passed");
    };
    assert_eq!(reason, RefusalReason::ClaimExpired);
    assert!(release.is_some());
}

/// Guards against a record other than not-run from an attempt that did not dispatch.
#[test]
fn finish_without_dispatch_is_not_run() {
    let mut attempt = start();
    grant(&mut attempt, 0..3);
    let delivery = attempt
        .finish(ClaimOutcome::Unknown)
        .expect("votes are held");
    assert_eq!(delivery.record.outcome, ClaimOutcome::NotRun);
    assert!(!attempt.try_dispatch(Millis(11)));
    assert_eq!(attempt.finish(ClaimOutcome::Unknown), None);
}

/// Guards against a shed that extends the right, or that ends the request while it holds.
#[test]
fn withdrawn_dispatch_keeps_the_end_of_the_right() {
    let mut attempt = start();
    grant(&mut attempt, 0..3);
    assert!(attempt.try_dispatch(Millis(20)));
    let step = attempt.undo_dispatch(Millis(50));
    assert_eq!(step, AttemptAction::Dispatch(Millis(2_000)));
    assert!(attempt.try_dispatch(Millis(60)));
    let step = attempt.undo_dispatch(Millis(2_000));
    assert!(matches!(step, AttemptAction::Refuse { .. }), "{step:?}");
}
