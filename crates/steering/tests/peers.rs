//! Guards against in-flight counts that drift and peers that are never discovered.

use std::collections;

use proptest::prelude::*;
use toucanledge_core::{Incarnation, Millis};
use toucanledge_steering::{GossipKind, PeerTable, ServerId, ServerRegistry};

use crate::support;

fn apply(registry: &mut ServerRegistry, changes: &[(ServerId, u32, u32)]) {
    for (server, before, after) in changes {
        registry.update_peer_in_flight(*server, *before, *after, Millis(1));
    }
}

/// The first message of a peer may have sequence 0. Its announced peers were once dropped as stale,
/// so gateways knew no peer but the seeds.
#[test]
fn announced_peers_are_recorded_whatever_the_sequence() {
    let mut table = PeerTable::default();
    let mut discovery = support::message(0);
    discovery.known_peers = vec![support::peer(2), support::peer(3)];
    table.apply_message(support::peer(1), &discovery, Millis(5));
    assert_eq!(
        table.take_undiscovered(),
        [support::peer(2), support::peer(3)]
    );
    assert!(table.take_undiscovered().is_empty());
}

#[test]
fn a_message_of_an_earlier_incarnation_is_ignored() {
    let mut table = PeerTable::default();
    let mut restarted = support::message(1);
    restarted.incarnation = Incarnation(2);
    restarted.in_flight = vec![(support::id(0), 1)];
    table.apply_message(support::peer(1), &restarted, Millis(5));
    let mut late = support::message(99);
    late.in_flight = vec![(support::id(0), 4)];
    assert_eq!(
        table.apply_message(support::peer(1), &late, Millis(6)),
        None
    );
    assert_eq!(table.in_flight_at(support::id(0)), 1);
}

#[test]
fn an_unreachable_peer_has_no_load_and_is_removed_later() {
    let mut table = PeerTable::default();
    let mut message = support::message(1);
    message.in_flight = vec![(support::id(0), 3)];
    table.apply_message(support::peer(1), &message, Millis(0));
    assert!(table.remove_expired(Millis(1_000)).is_empty());
    assert_eq!(
        table.remove_expired(Millis(1_700)),
        [(support::id(0), 3, 0)]
    );
    assert_eq!(table.reachable(Millis(1_700)).count(), 0);
    assert_eq!(table.all().count(), 1);
    table.remove_expired(Millis(30_000));
    assert_eq!(table.all().count(), 0);
}

/// Gateways of other failure domains send heartbeats every 6 s only. A new gateway whose seeds are
/// all in other failure domains must still learn of the gateways in its own.
#[test]
fn peers_of_the_same_failure_domain_are_announced_first() {
    let mut table = PeerTable::default();
    for (index, domain) in [(1, 7), (2, 8), (3, 9), (4, 8)] {
        let mut message = support::message(1);
        message.failure_domain_hash = domain;
        table.apply_message(support::peer(index), &message, Millis(0));
    }
    table.remove_expired(Millis(5_000));
    let announced = table.peers_to_announce(support::peer(4), 8, 3);
    assert_eq!(announced, [2, 1, 3].map(support::peer));
}

proptest! {
    /// The in-flight count at a server is the sum of what each peer reported last.
    #[test]
    fn in_flight_counts_add_up(
        messages in proptest::collection::vec(
            (0..4_u8, any::<bool>(), 0..3_u64, proptest::collection::vec((0..5_usize, 0..4_u32), 0..5)),
            1..60,
        ),
    ) {
        let (mut registry, keys) = support::registry(5);
        let mut table = PeerTable::default();
        for (sequence, (from, is_snapshot, incarnation, counts)) in (1..).zip(messages) {
            let mut message = support::message(sequence);
            message.incarnation = Incarnation(1 + incarnation);
            if is_snapshot {
                message.kind = GossipKind::Snapshot;
            }
            let unique: collections::HashMap<usize, u32> = counts.into_iter().collect();
            message.in_flight = unique
                .into_iter()
                .map(|(server, count)| (support::id(server), count))
                .collect();
            if let Some(changes) = table.apply_message(support::peer(from), &message, Millis(sequence)) {
                apply(&mut registry, &changes);
            }
            for (index, key) in keys.iter().enumerate() {
                let known = registry.get(*key).map_or(0, |entry| entry.peer_in_flight);
                prop_assert_eq!(known, table.in_flight_at(support::id(index)));
            }
        }
        let changes = table.remove_expired(Millis(1_000_000));
        apply(&mut registry, &changes);
        prop_assert!(keys.iter().all(|key| registry.get(*key).is_some_and(|entry| entry.peer_in_flight == 0)));
    }
}
