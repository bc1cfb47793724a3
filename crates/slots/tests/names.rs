//! Names that are read outside the process.

use toucanledge_slots::ServerState;

/// Guards against renamed states on the status page, whose names differ from the variants.
#[test]
fn server_states_keep_their_outer_names() {
    let expected = [
        (ServerState::Serving, "serving"),
        (ServerState::SlowStart, "cold"),
        (ServerState::EjectionSuppressed, "kept"),
        (ServerState::Ejected, "absent"),
        (ServerState::Probing, "probing"),
        (ServerState::Trial, "trial"),
        (ServerState::Leaving, "leaving"),
        (ServerState::NoRow, "no-row"),
    ];
    for (state, name) in expected {
        assert_eq!(state.to_string(), name);
        assert_eq!(<&'static str>::from(state), name);
    }
}
