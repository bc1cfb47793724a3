//! The voter's memory.

use toucanledge_claims::{
    AttemptId, ClaimKey, ClaimLimits, ClaimOutcome, ClaimRecord, ClaimVoter, ListHistory,
    StoredResponse, VoteDecision, VoteRefusal, VoteRequest,
};
use toucanledge_core::{Incarnation, ListVersion, Millis, VmId};

use crate::fleet;

const WINDOW: u64 = 10_000;
const START: Millis = Millis(100_000);

/// Returns the history of the only gateway of a list, established after its cold start.
fn history() -> ListHistory {
    let mut history = ListHistory::new(VmId(0), Incarnation(5), WINDOW);
    history.add_list(fleet::list(1, [0]), Millis(50_000));
    history
}

fn attempt(counter: u64) -> AttemptId {
    AttemptId {
        gateway: VmId(3),
        incarnation: Incarnation(9),
        counter,
    }
}

fn ask(key: u128, counter: u64) -> VoteRequest {
    VoteRequest {
        key: ClaimKey(key),
        attempt: attempt(counter),
        list_version: ListVersion(1),
    }
}

fn record(key: u128, counter: u64, result: ClaimOutcome) -> ClaimRecord {
    ClaimRecord {
        key: ClaimKey(key),
        attempt: attempt(counter),
        outcome: result,
    }
}

fn voter(claims: usize, bytes: usize) -> ClaimVoter {
    ClaimVoter::new(
        WINDOW,
        ClaimLimits {
            max_claims: claims,
            max_bytes: bytes,
        },
    )
}

/// Guards against a lost reply that costs the attempt its vote.
#[test]
fn repeated_ask_gets_the_same_vote() {
    let (mut voter, history) = (voter(9, 9_999), history());
    for _ in 0..2 {
        assert_eq!(
            voter.handle_request(&ask(1, 1), &history, START),
            VoteDecision::Granted
        );
    }
    let held = VoteDecision::HeldBy(attempt(1));
    assert_eq!(voter.handle_request(&ask(1, 2), &history, START), held);
}

/// Guards against a release by an attempt that does not hold the vote.
#[test]
fn not_run_releases_only_its_own_vote() {
    let (mut voter, history) = (voter(9, 9_999), history());
    voter.handle_request(&ask(1, 1), &history, START);
    voter.apply_record(record(1, 2, ClaimOutcome::NotRun), START);
    let held = VoteDecision::HeldBy(attempt(1));
    assert_eq!(voter.handle_request(&ask(1, 3), &history, START), held);
    voter.apply_record(record(1, 1, ClaimOutcome::NotRun), START);
    assert_eq!(
        voter.handle_request(&ask(1, 3), &history, START),
        VoteDecision::Granted
    );
}

/// Guards against a late ask that holds the key for an attempt that ended.
#[test]
fn not_run_before_its_ask_gets_no_vote() {
    let (mut voter, history) = (voter(9, 9_999), history());
    voter.apply_record(record(1, 1, ClaimOutcome::NotRun), START);
    let ended = VoteDecision::Ended(attempt(1), ClaimOutcome::NotRun);
    assert_eq!(voter.handle_request(&ask(1, 1), &history, START), ended);
    assert_eq!(
        voter.handle_request(&ask(1, 2), &history, START),
        VoteDecision::Granted
    );
}

/// Guards against a claim that is dropped, by size or early, before its window has passed.
#[test]
fn full_voter_refuses_and_forgets_nothing_before_the_window() {
    let history = history();
    for mut voter in [voter(2, 9_999), voter(9, 256)] {
        voter.handle_request(&ask(1, 1), &history, START);
        voter.handle_request(&ask(2, 2), &history, START);
        let full = VoteDecision::Refused(VoteRefusal::Full, ListVersion(1));
        assert_eq!(voter.handle_request(&ask(3, 3), &history, START), full);
        assert_eq!(voter.expire(START + WINDOW + 1_999), 0);
        assert_eq!(voter.expire(START + WINDOW + 2_000), 2);
        assert_eq!(voter.bytes(), 0);
    }
}

/// Guards against answers that exceed the bytes of the voter or the limit of one answer.
#[test]
fn answer_that_does_not_fit_is_remembered_as_run() {
    let history = history();
    let body = vec![0; 70_000];
    for (bytes, size) in [(99_999, 70_000), (1_000, 2_000)] {
        let mut voter = voter(9, bytes);
        voter.handle_request(&ask(1, 1), &history, START);
        let answer = StoredResponse {
            body: body[..size].to_vec().into(),
            ..fleet::answer()
        };
        voter.apply_record(record(1, 1, ClaimOutcome::Ran(answer)), START);
        let ended = VoteDecision::Ended(attempt(1), ClaimOutcome::RanUnstored);
        assert_eq!(voter.handle_request(&ask(1, 2), &history, START), ended);
        assert!(voter.bytes() <= bytes);
    }
}

/// Guards against a repeat within a grown window that runs again.
#[test]
fn greater_window_extends_remembered_claims() {
    let (mut voter, history) = (voter(9, 9_999), history());
    voter.handle_request(&ask(1, 1), &history, START);
    voter.set_window(2 * WINDOW, START);
    assert_eq!(voter.expire(START + 2 * WINDOW + 1_999), 0);
    assert_eq!(voter.expire(START + 2 * WINDOW + 2_000), 1);
}
