//! Rows and notes for the tests.

use std::net;

use toucanledge_core::{Incarnation, Millis, PoolId};
use toucanledge_steering::{
    NoteScope, PeerNote, ServerArena, ServerId, ServerKey, ServerRow, ServerStage,
};

/// Pool of all servers of the tests.
pub const POOL: &str = "reading";

/// Returns a row of a ready backend server.
pub fn server(name: &str, domain: &str) -> ServerRow {
    ServerRow {
        name: name.into(),
        pool: PoolId::of(POOL),
        address: net::SocketAddr::from(([127, 0, 0, 1], 8000)),
        domain: domain.into(),
        slots: 4,
        stage: ServerStage::Ready,
        cold_ms: 0,
        born: Some(1),
    }
}

/// Returns an arena with servers `s0`, `s1`, … in failure domain `a`.
pub fn arena(count: usize) -> (ServerArena, Vec<ServerKey>) {
    let mut arena = ServerArena::default();
    let keys = (0..count)
        .map(|index| arena.put(server(&format!("s{index}"), "a"), Millis(1)))
        .collect();
    (arena, keys)
}

/// Returns the identifier of server `s{index}`.
pub fn id(index: usize) -> ServerId {
    ServerId::of(&format!("s{index}"))
}

/// Returns an empty note.
pub fn note(sequence: u64) -> PeerNote {
    PeerNote {
        boot: Incarnation(1),
        sequence,
        domain: 7,
        revision: 0,
        reading: false,
        stopping: false,
        scope: NoteScope::Changes,
        loads: Vec::new(),
        evidence: Vec::new(),
        peers: Vec::new(),
    }
}

/// Returns the address of a peer.
pub fn peer(index: u8) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 0, index], 7000))
}
