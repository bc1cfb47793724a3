//! Display names that are visible outside the process.

use toucanledge_membership::{ReceiveOutcome, TickOutcome};

/// Guards against a renamed variant that changes the label of a metric.
#[test]
fn receive_outcomes_keep_their_outer_names() {
    let expected = [
        (ReceiveOutcome::Heard, "heard"),
        (ReceiveOutcome::NewIncarnation, "new-incarnation"),
        (ReceiveOutcome::OldIncarnation, "old-incarnation"),
        (ReceiveOutcome::OldHeartbeat, "old-heartbeat"),
        (ReceiveOutcome::Backlog, "backlog"),
        (ReceiveOutcome::OwnId, "own-id"),
        (ReceiveOutcome::TooManyUnlisted, "too-many-strangers"),
    ];
    for (outcome, name) in expected {
        assert_eq!(outcome.to_string(), name);
        assert_eq!(<&'static str>::from(outcome), name);
    }
}

/// Guards against a renamed variant that changes its display name.
#[test]
fn tick_outcomes_keep_their_outer_names() {
    let expected = [
        (TickOutcome::Normal, "steady"),
        (TickOutcome::Resumed, "woke"),
    ];
    for (outcome, name) in expected {
        assert_eq!(outcome.to_string(), name);
        assert_eq!(<&'static str>::from(outcome), name);
    }
}
