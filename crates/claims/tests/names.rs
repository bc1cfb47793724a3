//! Display names that are visible outside the process.

use toucanledge_claims::{
    AttemptAction, AttemptId, ClaimKey, ClaimOutcome, ClaimRecord, RecordDelivery, StoredResponse,
    VoteRequest,
};
use toucanledge_core::{Incarnation, ListVersion, Millis, RefusalReason, VmId};

/// Guards against a renamed variant that changes its display name.
#[test]
fn attempt_actions_keep_their_outer_names() {
    let (key, next_tick) = (ClaimKey(1), Millis(1));
    let attempt = AttemptId {
        gateway: VmId(1),
        incarnation: Incarnation(1),
        counter: 1,
    };
    let release = RecordDelivery {
        record: ClaimRecord {
            key,
            attempt,
            outcome: ClaimOutcome::NotRun,
        },
        voters: Vec::new(),
    };
    let request_votes = AttemptAction::RequestVotes {
        request: VoteRequest {
            key,
            attempt,
            list_version: ListVersion(1),
        },
        voters: Vec::new(),
        release: None,
        next_tick,
    };
    let release_votes = AttemptAction::ReleaseVotes {
        release: release.clone(),
        next_tick,
    };
    let await_holder = AttemptAction::AwaitHolder {
        holder: attempt,
        release: release.clone(),
        next_tick,
    };
    let replay = AttemptAction::Replay {
        response: StoredResponse {
            status: 200,
            headers: Vec::new(),
            body: Vec::new().into(),
        },
        executed_by: attempt,
        release,
    };
    let refuse = AttemptAction::Refuse {
        reason: RefusalReason::NoQuorum,
        release: None,
    };
    let expected = [
        (AttemptAction::Wait(next_tick), "wait"),
        (request_votes, "ask"),
        (AttemptAction::Dispatch(next_tick), "dispatch"),
        (release_votes, "release"),
        (await_holder, "await"),
        (AttemptAction::Retry, "retry"),
        (replay, "replay"),
        (refuse, "refuse"),
        (AttemptAction::Done, "done"),
    ];
    for (action, name) in expected {
        assert_eq!(action.to_string(), name);
    }
}
