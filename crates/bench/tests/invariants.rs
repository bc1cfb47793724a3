//! Tests of the checks that compare recorded times with the limits of a fleet.

use std::time;

use toucanledge_bench::{
    BackendRequestRecord, FaultInterval, FloorShard, LoadRecord, TableObservation,
    TablePublication, TableViolation, check_floor, check_leaving, check_table, count_interrupted,
};
use toucanledge_core::RequestOutcome;

fn request_record(server: &str, arrived: u64) -> BackendRequestRecord {
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

fn observation(gateway: &str, requested_at: u64, revision: u64) -> TableObservation {
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

/// Guards against a floor check that counts servers with a fault, or misses healthy servers that
/// get no requests.
#[test]
fn the_floor_check_counts_healthy_servers_with_requests() {
    let servers = ["a", "b", "c", "d"].map(str::to_owned).to_vec();
    let shard = FloorShard {
        servers,
        floor: 0.75,
    };
    let arrivals = |names: &[&str]| -> Vec<BackendRequestRecord> {
        let times = (0..30).map(|step| step * 100);
        times
            .flat_map(|time| names.iter().map(move |name| request_record(name, time)))
            .collect()
    };
    let three = arrivals(&["a", "b", "c"]);
    assert_eq!(check_floor(&shard, &three, &[], 0..3000), []);
    let two = arrivals(&["a", "b"]);
    let violations = check_floor(&shard, &two, &[], 0..3000);
    assert_eq!((violations[0].serving, violations[0].required), (2, 3));
    let faults = ["c", "d"].map(|name| FaultInterval {
        name: name.to_owned(),
        interval: 0..1500,
    });
    let after_fault = check_floor(&shard, &two, &faults, 0..3000);
    assert!(
        !after_fault.is_empty()
            && after_fault
                .iter()
                .all(|violation| violation.window_start >= 1500),
        "expected violations only after the faults ended at 1500 ms: {after_fault:?}"
    );
}

/// Guards against a check that counts requests before the limit or at another server, or none.
#[test]
fn requests_to_a_leaving_server_count_after_the_limit() {
    let records = [
        request_record("a", 3900),
        request_record("a", 4001),
        request_record("b", 9000),
    ];
    assert_eq!(check_leaving(&records, "a", 1000), [&records[1]]);
}

/// Guards against a table check that misses a late, reverted or refused revision, or reports a
/// gateway that was unreachable.
#[test]
fn the_table_check_finds_late_reverted_and_refused_revisions() {
    let publications = [publication(5, 1000, true), publication(6, 1000, false)];
    let check = |observations: &[TableObservation], faults: &[FaultInterval]| {
        check_table(&publications, observations, faults)
    };
    let good = [
        observation("gw", 900, 4),
        observation("gw", 3000, 4),
        observation("gw", 3100, 5),
    ];
    assert_eq!(check(&good, &[]), []);
    let late = [observation("gw", 3001, 4)];
    assert!(matches!(
        check(&late, &[])[..],
        [TableViolation::Late { .. }]
    ));
    let frozen = [FaultInterval {
        name: "gw".to_owned(),
        interval: 500..4000,
    }];
    assert_eq!(check(&late, &frozen), []);
    let long_after_fault = [observation("gw", 12_001, 4)];
    assert!(matches!(
        check(&long_after_fault, &frozen)[..],
        [TableViolation::Late { .. }]
    ));
    let restarted = [FaultInterval {
        name: "gw".to_owned(),
        interval: 3500..3800,
    }];
    assert_eq!(check(&[observation("gw", 3900, 0)], &restarted), []);
    assert_eq!(check(&[observation("gw", 3900, 4)], &restarted).len(), 1);
    assert_eq!(check(&[observation("gw", 11_801, 0)], &restarted).len(), 1);
    let reverted = [observation("gw", 1200, 5), observation("gw", 1400, 4)];
    assert!(matches!(
        check(&reverted, &[])[..],
        [TableViolation::Reverted { .. }]
    ));
    let refused = [observation("gw", 1200, 6)];
    assert!(matches!(
        check(&refused, &[])[..],
        [TableViolation::Refused { .. }]
    ));
}

/// Guards against counting a stop as graceful although a connection with a running request failed.
#[test]
fn a_failed_connection_before_the_listener_closes_counts_as_interrupted() {
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
    let records = [
        record(100, None, "connection lost: reset"),
        record(200, Some(200), ""),
        record(300, None, "connect failed: refused"),
        record(400, Some(503), "deadline-exceeded"),
        record(900, None, "connection lost: reset"),
    ];
    let count = |port: u16| count_interrupted(&records, 5000, ([127, 0, 0, 1], port).into(), 5500);
    assert_eq!((count(80), count(81)), (2, 0));
}
