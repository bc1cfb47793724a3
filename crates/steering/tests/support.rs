//! Rows and messages for the tests.

use std::net;

use toucanledge_core::{Incarnation, Millis, PoolId};
use toucanledge_steering::{
    GossipKind, GossipMessage, ServerId, ServerKey, ServerRegistry, ServerRow, ServerState,
};

/// Pool of all servers in the tests.
pub const POOL: &str = "reading";

/// Returns a row of a ready backend server.
pub fn server(name: &str, domain: &str) -> ServerRow {
    ServerRow {
        name: name.into(),
        pool: PoolId::of(POOL),
        address: net::SocketAddr::from(([127, 0, 0, 1], 8000)),
        failure_domain: domain.into(),
        slots: 4,
        state: ServerState::Ready,
        slow_start_ms: 0,
        incarnation: Some(1),
    }
}

/// Returns a registry with servers `s0`, `s1`, … in failure domain `a`.
pub fn registry(count: usize) -> (ServerRegistry, Vec<ServerKey>) {
    let mut registry = ServerRegistry::default();
    let keys = (0..count)
        .map(|index| registry.upsert(server(&format!("s{index}"), "a"), Millis(1)))
        .collect();
    (registry, keys)
}

/// Returns the identifier of server `s{index}`.
pub fn id(index: usize) -> ServerId {
    ServerId::of(&format!("s{index}"))
}

/// Returns an empty message.
pub fn message(sequence: u64) -> GossipMessage {
    GossipMessage {
        incarnation: Incarnation(1),
        sequence,
        failure_domain_hash: 7,
        store_revision: 0,
        reads_store: false,
        stopping: false,
        kind: GossipKind::Delta,
        in_flight: Vec::new(),
        outcomes: Vec::new(),
        known_peers: Vec::new(),
    }
}

/// Returns the address of a peer.
pub fn peer(index: u8) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 0, index], 7000))
}
