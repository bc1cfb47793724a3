//! Names that leave the process.

use toucanledge_membership::{ReceiveOutcome, TickOutcome};

/// The names label a metric, and don't follow the names of all variants.
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

/// The display names don't follow the names of the variants.
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
