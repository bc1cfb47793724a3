//! Names that leave the process.

use toucanledge_slots::ServerState;

/// The status page shows these names, which don't follow the names of the variants.
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
