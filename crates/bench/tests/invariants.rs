//! Checks of recorded times against the bounds of the requirements.

use std::time;

use toucanledge_bench::{
    BackendRequestRecord, FaultInterval, FloorShard, LoadRecord, TableObservation,
    TablePublication, TableViolation, check_floor, check_leaving, check_table, count_interrupted,
};
use toucanledge_core::RequestOutcome;

fn run(server: &str, arrived: u64) -> BackendRequestRecord {
    BackendRequestRecord {
        server: server.to_owned(),
        key: format!("{server}-{arrived}"),
        nonce: String::new(),
        request: String::new(),
        caller: "anna".to_owned(),
        source: [127, 0, 0, 1].into(),
        target: "GET /policies/".to_owned(),
        arrived,
        started: Some(arrived),
        ended: Some(arrived),
        completed: true,
    }
}

fn sight(gateway: &str, requested_at: u64, revision: u64) -> TableObservation {
    TableObservation {
        gateway: gateway.to_owned(),
        requested_at,
        revision,
    }
}

fn publication(revision: u64, visible_at: u64, is_accepted: bool) -> TablePublication {
    TablePublication {
        revision,
        visible_at,
        is_accepted,
        limit_ms: 2000,
    }
}

/// Guards against a floor check that counts faulty servers, or none that has lost its work.
#[test]
fn the_floor_counts_healthy_servers_with_work() {
    let servers = ["a", "b", "c", "d"].map(str::to_owned).to_vec();
    let shard = FloorShard {
        servers,
        floor: 0.75,
    };
    let arrivals = |names: &[&str]| -> Vec<BackendRequestRecord> {
        let times = (0..30).map(|step| step * 100);
        times
            .flat_map(|time| names.iter().map(move |name| run(name, time)))
            .collect()
    };
    let three = arrivals(&["a", "b", "c"]);
    assert!(check_floor(&shard, &three, &[], 0..3000).is_empty());
    let two = arrivals(&["a", "b"]);
    let breaches = check_floor(&shard, &two, &[], 0..3000);
    assert_eq!((breaches[0].serving, breaches[0].required), (2, 3));
    let faults = ["c", "d"].map(|name| FaultInterval {
        name: name.to_owned(),
        interval: 0..1500,
    });
    let later = check_floor(&shard, &two, &faults, 0..3000);
    assert!(!later.is_empty() && later.iter().all(|breach| breach.window_start >= 1500));
}

/// Guards against requests that are counted before the limit, at another server, or not at all.
#[test]
fn work_at_a_leaving_server_counts_after_the_limit() {
    let runs = [run("a", 3900), run("a", 4001), run("b", 9000)];
    assert_eq!(check_leaving(&runs, "a", 1000), [&runs[1]]);
}

/// Guards against a table check that misses a late, reverted or refused revision, or blames a
/// gateway that could not be reached.
#[test]
fn the_table_check_finds_late_reverted_and_refused_revisions() {
    let publications = [publication(5, 1000, true), publication(6, 1000, false)];
    let check = |sights: &[TableObservation], faults: &[FaultInterval]| {
        check_table(&publications, sights, faults)
    };
    let good = [
        sight("gw", 900, 4),
        sight("gw", 3000, 4),
        sight("gw", 3100, 5),
    ];
    assert_eq!(check(&good, &[]), []);
    let late = [sight("gw", 3001, 4)];
    assert!(matches!(
        check(&late, &[])[..],
        [TableViolation::Late { .. }]
    ));
    let frozen = [FaultInterval {
        name: "gw".to_owned(),
        interval: 500..4000,
    }];
    assert_eq!(check(&late, &frozen), []);
    let after = [sight("gw", 12_001, 4)];
    assert!(matches!(
        check(&after, &frozen)[..],
        [TableViolation::Late { .. }]
    ));
    let started = [FaultInterval {
        name: "gw".to_owned(),
        interval: 3500..3800,
    }];
    assert_eq!(check(&[sight("gw", 3900, 0)], &started), []);
    assert_eq!(check(&[sight("gw", 3900, 4)], &started).len(), 1);
    assert_eq!(check(&[sight("gw", 11_801, 0)], &started).len(), 1);
    let reverted = [sight("gw", 1200, 5), sight("gw", 1400, 4)];
    assert!(matches!(
        check(&reverted, &[])[..],
        [TableViolation::Reverted { .. }]
    ));
    let refused = [sight("gw", 1200, 6)];
    assert!(matches!(
        check(&refused, &[])[..],
        [TableViolation::Refused { .. }]
    ));
}

/// Guards against a stop that is called graceful although it broke a connection in use.
#[test]
fn a_broken_connection_before_the_close_counts_as_interrupted() {
    let record = |sent_ms, status, reason: &str| LoadRecord {
        target: ([127, 0, 0, 1], 80).into(),
        caller: "anna".to_owned(),
        key: "key".to_owned(),
        nonce: "nonce".to_owned(),
        is_at_most_once: false,
        intended_start: time::Duration::from_millis(sent_ms),
        start_delay: time::Duration::ZERO,
        latency: time::Duration::ZERO,
        status,
        outcome: RequestOutcome::Unknown,
        has_retry_after: false,
        reason: reason.to_owned(),
        response_check: None,
    };
    let told = [
        record(100, None, "connection lost: reset"),
        record(200, Some(200), ""),
        record(300, None, "connect failed: refused"),
        record(400, Some(503), "deadline-exceeded"),
        record(900, None, "connection lost: reset"),
    ];
    let count = |port: u16| count_interrupted(&told, 5000, ([127, 0, 0, 1], port).into(), 5500);
    assert_eq!((count(80), count(81)), (2, 0));
}
