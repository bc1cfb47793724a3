//! Guards against failure domains without a reader, and against too many readers.

use toucanledge_core::Millis;
use toucanledge_steering::{PeerTable, ReaderRole, reader_role, takeover_rank};

use crate::support;

const DOMAIN: u64 = 7;

fn table(readers: &[u8]) -> PeerTable {
    let mut table = PeerTable::default();
    for index in [1, 2, 4] {
        let mut message = support::message(1);
        message.reads_store = readers.contains(&index);
        table.apply_message(support::peer(index), &message, Millis(1_000));
    }
    table
}

fn role(reads_store: bool, readers: &[u8], now: u64) -> ReaderRole {
    reader_role(
        support::peer(3),
        reads_store,
        DOMAIN,
        &table(readers),
        Millis(now),
    )
}

#[test]
fn the_reader_with_the_lowest_address_continues() {
    assert_eq!(
        role(true, &[2, 4], 1_100),
        ReaderRole::Follower(support::peer(2))
    );
    assert_eq!(role(true, &[4], 1_100), ReaderRole::Reader);
    assert_eq!(role(true, &[], 1_100), ReaderRole::Reader);
}

/// A gateway with the lowest address whose calls the store rejected followed no reader, and got no
/// change for 9 s.
#[test]
fn a_gateway_whose_reads_fail_follows_any_reader() {
    assert_eq!(
        role(false, &[4], 1_100),
        ReaderRole::Follower(support::peer(4))
    );
}

/// Leaving servers must be known within 2 s, so a reader that lost power must be replaced well
/// before that.
#[test]
fn an_unreachable_reader_is_replaced_within_a_second() {
    assert_eq!(
        role(false, &[1], 1_600),
        ReaderRole::Follower(support::peer(1))
    );
    assert_eq!(role(false, &[1], 1_800), ReaderRole::Reader);
}

#[test]
fn readers_of_other_failure_domains_are_not_followed() {
    let table = table(&[1, 2]);
    let role = reader_role(support::peer(3), false, 8, &table, Millis(1_100));
    assert_eq!(role, ReaderRole::Reader);
}

#[test]
fn gateways_take_turns_by_address() {
    let table = table(&[]);
    let rank = |index| takeover_rank(support::peer(index), DOMAIN, &table, Millis(1_100));
    assert_eq!([rank(1), rank(3), rank(9)], [0, 2, 3]);
}
