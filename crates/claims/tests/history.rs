//! List history: lists, confirmations, recovery and retirement.

use toucanledge_claims::{AddListOutcome, LEASE_MS, ListHistory, PeerHistoryReport};
use toucanledge_core::{Incarnation, ListVersion, Millis, VmId};

use crate::fleet;

const WINDOW_MS: u64 = 10_000;
const START: Millis = Millis(100_000);
/// Retention window, lease and dispatch permit.
const RETIREMENT_DELAY_MS: u64 = 18_000;

/// Returns the history of gateway 0 of 3 that knows list 1.
fn history() -> ListHistory {
    let mut history = ListHistory::new(VmId(0), Incarnation(5), WINDOW_MS);
    history.add_list(fleet::list(1, 0..3), START);
    history
}

/// Returns a report of an established peer that echoes a heartbeat sent now.
fn report(history: &ListHistory, peer: u32, versions: &[u64], now: Millis) -> PeerHistoryReport {
    let versions = versions.iter().map(|version| ListVersion(*version));
    PeerHistoryReport {
        peer: VmId(peer),
        incarnation: Incarnation(1),
        established: true,
        list_version: versions.clone().max().unwrap_or_default(),
        history: versions.collect(),
        sent_at: now,
        echo: Some(history.heartbeat_timestamp(now)),
    }
}

fn apply_both_reports(history: &mut ListHistory, versions: &[u64], now: Millis) {
    for peer in [1, 2] {
        let report = report(history, peer, versions, now);
        history.apply_peer_report(report, now);
    }
}

/// Guards against a lease that outlives its confirmations.
#[test]
fn lease_counts_from_the_echoed_send_time() {
    let mut history = history();
    apply_both_reports(&mut history, &[1], START);
    assert!(history.is_lease_held(START + (LEASE_MS - 1)));
    assert!(!history.is_lease_held(START + LEASE_MS));
}

/// Guards against confirmations by the echo of an earlier process of this VM.
#[test]
fn echo_of_another_incarnation_is_no_confirmation() {
    let mut history = history();
    for peer in [1, 2] {
        let mut report = report(&history, peer, &[1], START);
        report.echo = Some(Millis(4));
        history.apply_peer_report(report, START);
    }
    assert!(!history.is_lease_held(START));
}

/// Guards against a delayed heartbeat that replaces a newer one.
#[test]
fn report_out_of_order_is_ignored() {
    let mut history = history();
    let old = report(&history, 1, &[1], START);
    let newer = report(&history, 1, &[1, 2], START + 1);
    history.apply_peer_report(newer, START + 1);
    history.apply_peer_report(old, START + 2);
    assert!(history.missing_versions().contains_key(&ListVersion(2)));
    assert!(!history.is_lease_held(START + 2));
}

/// Guards against an empty VM list that stops at-most-once requests for good.
#[test]
fn list_without_gateways_changes_nothing() {
    let mut history = history();
    assert_eq!(
        history.add_list(fleet::list(2, []), START),
        AddListOutcome::NoGateways
    );
    assert_eq!(history.newest_version(), Some(ListVersion(1)));
    let mut empty = ListHistory::new(VmId(0), Incarnation(5), WINDOW_MS);
    assert!(!empty.is_established(START) && !empty.is_lease_held(START));
    assert!(empty.tick(START).is_empty());
}

/// Guards against list changes of backend servers that fill the 16 versions of a heartbeat.
#[test]
fn versions_with_equal_gateways_count_once() {
    let mut history = history();
    for version in 2..100 {
        history.add_list(fleet::list(version, 0..3), START);
    }
    assert_eq!(history.versions().collect::<Vec<_>>(), [ListVersion(99)]);
    assert_eq!(
        history.add_list(fleet::list(7, 0..3), START),
        AddListOutcome::Known
    );
}

/// Guards against confirmations of a history that does not fit into a heartbeat.
#[test]
fn history_of_more_than_16_versions_is_not_established() {
    let mut history = history();
    apply_both_reports(&mut history, &[1], START);
    for (version, gateways) in (2..17).zip(4..) {
        history.add_list(fleet::list(version, 0..gateways), START);
    }
    assert!(history.is_established(START));
    assert_eq!(history.report(START).history.len(), 16);
    history.add_list(fleet::list(17, 0..30), START);
    assert!(!history.is_established(START));
    assert_eq!(history.report(START).history, []);
}

/// Guards against retirement before the last vote under the older version has expired, and against
/// a version that arrives late and skips that delay.
#[test]
fn versions_retire_after_the_lease_was_held_for_the_delay() {
    let mut history = history();
    apply_both_reports(&mut history, &[1], START);
    history.add_list(fleet::list(3, 0..4), START);
    apply_both_reports(&mut history, &[1, 3], START + 1);
    assert!(history.tick(START + 1).is_empty());
    assert_eq!(
        history.add_list(fleet::list(2, 0..5), START + 2),
        AddListOutcome::Merged
    );
    assert!(
        history.tick(START + 1 + RETIREMENT_DELAY_MS).is_empty(),
        "version 2 was added in between, so the delay starts again"
    );
    let confirmed_at = START + 40_000;
    apply_both_reports(&mut history, &[1, 2, 3], confirmed_at);
    history.tick(confirmed_at);
    assert!(
        history
            .tick(confirmed_at + (RETIREMENT_DELAY_MS - 1))
            .is_empty()
    );
    assert_eq!(
        history.tick(confirmed_at + RETIREMENT_DELAY_MS),
        [ListVersion(1), ListVersion(2)]
    );
    assert_eq!(
        history.add_list(fleet::list(1, 0..3), confirmed_at),
        AddListOutcome::Retired
    );
}

/// Guards against a new gateway that keeps versions that all others have retired.
#[test]
fn retirement_spreads_from_established_peers() {
    let mut history = history();
    history.add_list(fleet::list(2, 0..4), START);
    let report = report(&history, 1, &[2], START);
    history.apply_peer_report(report, START);
    assert_eq!(history.versions().collect::<Vec<_>>(), [ListVersion(2)]);
}

/// Guards against a confirmation by a gateway with versions that this one lacks.
#[test]
fn missing_versions_are_reported_and_prevent_confirmation() {
    let mut history = history();
    history.add_list(fleet::list(3, 0..4), START);
    apply_both_reports(&mut history, &[1, 2, 3], START);
    assert!(!history.is_lease_held(START));
    let missing: Vec<_> = history.missing_versions().into_keys().collect();
    assert_eq!(missing, [ListVersion(2)]);
}

/// Guards against a gateway that becomes established by its start time alone.
#[test]
fn startup_period_without_recovery_is_not_established() {
    let mut history = history();
    let first = report(&history, 1, &[1], START);
    history.apply_peer_report(first, START);
    assert!(
        !history.is_established(START),
        "one confirmation of three is no majority"
    );
    let second = report(&history, 2, &[1], START);
    history.apply_peer_report(second, START);
    assert!(history.is_established(START));
}

/// Guards against votes of a gateway that started less than a retention window and a lease ago.
#[test]
fn recovery_within_the_startup_period_is_not_established() {
    let mut history = history();
    let too_early = Millis(WINDOW_MS + LEASE_MS - 1);
    apply_both_reports(&mut history, &[1], too_early);
    assert!(!history.is_established(too_early));
    assert!(history.is_established(too_early + 1));
}

/// Guards against a shorter retention window that retires versions under which longer claims are
/// still stored.
#[test]
fn shorter_window_applies_after_the_previous_one() {
    let mut history = history();
    history.set_window(100_000, START);
    history.set_window(1_000, START);
    history.add_list(fleet::list(2, 0..4), START);
    apply_both_reports(&mut history, &[1, 2], START);
    let third = report(&history, 3, &[1, 2], START);
    history.apply_peer_report(third, START);
    history.tick(START);
    assert!(history.tick(START + 101_999).is_empty());
    assert_eq!(history.tick(START + 102_000), [ListVersion(1)]);
}

/// Guards against a longer retention window that stops at-most-once requests until gateways have
/// run for that long.
#[test]
fn longer_window_leaves_established_gateways_established() {
    let mut history = history();
    apply_both_reports(&mut history, &[1], START);
    history.set_window(86_400_000, START + 1);
    assert!(history.is_established(START + 2));
}

/// Guards against a cold start that retires versions while an established gateway is reachable.
#[test]
fn no_cold_start_while_an_established_gateway_is_reachable() {
    for established in [false, true] {
        let mut history = history();
        history.add_list(fleet::list(2, [0, 8]), START);
        for peer in [1, 8] {
            let mut report = report(&history, peer, &[1, 2], START);
            report.established = established && peer == 1;
            history.apply_peer_report(report, START);
        }
        history.tick(START);
        let kept = history.list(ListVersion(1)).is_some();
        assert_eq!(kept, established);
    }
}
