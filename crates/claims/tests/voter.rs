//! Votes and outcomes that a voter stores.

use toucanledge_claims::{
    AttemptId, ClaimKey, ClaimLimits, ClaimOutcome, ClaimRecord, ClaimVoter, ListHistory,
    StoredResponse, VoteDecision, VoteRefusal, VoteRequest,
};
use toucanledge_core::{Incarnation, ListVersion, Millis, VmId};

use crate::fleet;

const WINDOW_MS: u64 = 10_000;
const START: Millis = Millis(100_000);

/// Returns the list history of the only gateway of a list, established after a cold start.
fn history() -> ListHistory {
    let mut history = ListHistory::new(VmId(0), Incarnation(5), WINDOW_MS);
    history.add_list(fleet::list(1, [0]), Millis(50_000));
    history
}

fn attempt_id(counter: u64) -> AttemptId {
    AttemptId {
        gateway: VmId(3),
        incarnation: Incarnation(9),
        counter,
    }
}

fn vote_request(key: u128, counter: u64) -> VoteRequest {
    VoteRequest {
        key: ClaimKey(key),
        attempt: attempt_id(counter),
        list_version: ListVersion(1),
    }
}

fn outcome_record(key: u128, counter: u64, outcome: ClaimOutcome) -> ClaimRecord {
    ClaimRecord {
        key: ClaimKey(key),
        attempt: attempt_id(counter),
        outcome,
    }
}

fn voter(claims: usize, bytes: usize) -> ClaimVoter {
    ClaimVoter::new(
        WINDOW_MS,
        ClaimLimits {
            max_claims: claims,
            max_bytes: bytes,
        },
    )
}

/// Guards against a lost vote reply that costs the claim attempt its vote.
#[test]
fn repeated_request_gets_the_same_vote() {
    let (mut voter, history) = (voter(9, 9_999), history());
    for _ in 0..2 {
        assert_eq!(
            voter.handle_request(&vote_request(1, 1), &history, START),
            VoteDecision::Granted
        );
    }
    let held = VoteDecision::HeldBy(attempt_id(1));
    assert_eq!(
        voter.handle_request(&vote_request(1, 2), &history, START),
        held
    );
}

/// Guards against a release by a claim attempt that does not hold the vote.
#[test]
fn not_run_releases_only_its_own_vote() {
    let (mut voter, history) = (voter(9, 9_999), history());
    voter.handle_request(&vote_request(1, 1), &history, START);
    voter.apply_record(outcome_record(1, 2, ClaimOutcome::NotRun), START);
    let held = VoteDecision::HeldBy(attempt_id(1));
    assert_eq!(
        voter.handle_request(&vote_request(1, 3), &history, START),
        held
    );
    voter.apply_record(outcome_record(1, 1, ClaimOutcome::NotRun), START);
    assert_eq!(
        voter.handle_request(&vote_request(1, 3), &history, START),
        VoteDecision::Granted
    );
}

/// Guards against a late vote request that claims the key for a claim attempt that has ended.
#[test]
fn request_after_its_release_gets_no_vote() {
    let (mut voter, history) = (voter(9, 9_999), history());
    voter.apply_record(outcome_record(1, 1, ClaimOutcome::NotRun), START);
    let ended = VoteDecision::Ended(attempt_id(1), ClaimOutcome::NotRun);
    assert_eq!(
        voter.handle_request(&vote_request(1, 1), &history, START),
        ended
    );
    assert_eq!(
        voter.handle_request(&vote_request(1, 2), &history, START),
        VoteDecision::Granted
    );
}

/// Guards against a claim that is removed before its retention window has passed, because of a
/// limit or too early.
#[test]
fn full_voter_refuses_and_keeps_claims_for_the_window() {
    let history = history();
    for mut voter in [voter(2, 9_999), voter(9, 256)] {
        voter.handle_request(&vote_request(1, 1), &history, START);
        voter.handle_request(&vote_request(2, 2), &history, START);
        let full = VoteDecision::Refused(VoteRefusal::Full, ListVersion(1));
        assert_eq!(
            voter.handle_request(&vote_request(3, 3), &history, START),
            full
        );
        assert_eq!(voter.expire(START + WINDOW_MS + 1_999), 0);
        assert_eq!(voter.expire(START + WINDOW_MS + 2_000), 2);
        assert_eq!(voter.bytes(), 0);
    }
}

/// Guards against responses that exceed the total size or the limit of one response.
#[test]
fn response_that_does_not_fit_is_stored_as_ran() {
    let history = history();
    let body = vec![0; 70_000];
    for (bytes, size) in [(99_999, 70_000), (1_000, 2_000)] {
        let mut voter = voter(9, bytes);
        voter.handle_request(&vote_request(1, 1), &history, START);
        let response = StoredResponse {
            body: body[..size].to_vec().into(),
            ..fleet::stored_response()
        };
        voter.apply_record(outcome_record(1, 1, ClaimOutcome::Ran(response)), START);
        let ended = VoteDecision::Ended(attempt_id(1), ClaimOutcome::RanUnstored);
        assert_eq!(
            voter.handle_request(&vote_request(1, 2), &history, START),
            ended
        );
        assert!(voter.bytes() <= bytes);
    }
}

/// Guards against a repeated request that runs again within an extended retention window.
#[test]
fn longer_window_extends_stored_claims() {
    let (mut voter, history) = (voter(9, 9_999), history());
    voter.handle_request(&vote_request(1, 1), &history, START);
    voter.set_window(2 * WINDOW_MS, START);
    assert_eq!(voter.expire(START + 2 * WINDOW_MS + 1_999), 0);
    assert_eq!(voter.expire(START + 2 * WINDOW_MS + 2_000), 1);
}
