//! Tests of the load generator and the checker with a fleet of stand-ins.

use std::sync;
use std::time;

use rand::rngs;
use toucanledge_bench::{
    BackendFaults, CallerClient, CallerRequest, Fleet, FleetConfig, LoadConfig, LoadRecord,
    ResponseCheck, ServerControl, check_outcomes, latency_histogram, run_load,
};
use toucanledge_core::RequestOutcome;

const CONFIG: LoadConfig = LoadConfig {
    seed: 7,
    duration: time::Duration::from_millis(600),
    request_timeout: time::Duration::from_secs(5),
};

/// Sends writes to all servers in turn, with `keys` different idempotency keys.
async fn run_write_load(fleet: &Fleet, keys: u64) -> Vec<LoadRecord> {
    let servers: Vec<_> = fleet
        .layout
        .servers
        .iter()
        .map(|server| server.advertised_address)
        .collect();
    let next = move |number: u64, _: &mut rngs::StdRng| {
        let request = CallerRequest::new(hyper::Method::POST, "/fees")
            .header("x-caller", "anna")
            .header("work-ms", "2")
            .header("request-nonce", format!("nonce-{number}"))
            .header("Idempotency-Key", format!("key-{}", number % keys));
        (
            servers[usize::try_from(number).unwrap_or(0) % servers.len()],
            request,
        )
    };
    let rate = |at: time::Duration| if at.as_millis() < 300 { 200.0 } else { 1000.0 };
    run_load(sync::Arc::new(CallerClient::default()), CONFIG, rate, next).await
}

async fn start_fleet() -> Fleet {
    let started = Fleet::start_stand_ins(FleetConfig::default()).await;
    started.expect("the stand-ins start")
}

/// Guards against starts that depend on earlier responses or ignore the rate, and against a checker
/// that reports violations where there are none.
#[tokio::test]
async fn a_seeded_load_follows_its_rate_and_has_no_violations() {
    let fleet = start_fleet().await;
    let records = run_write_load(&fleet, u64::MAX).await;
    let early = records
        .iter()
        .filter(|record| record.intended_start.as_millis() < 300)
        .count();
    let late = records.len() - early;
    assert!(
        (35..90).contains(&early) && (240..360).contains(&late),
        "expected 35 to 89 requests before 300 ms and 240 to 359 after, sent {early} and {late}"
    );
    let report = check_outcomes(
        &records,
        &fleet
            .fetch_request_records()
            .await
            .expect("the request records are fetched"),
    );
    assert!(
        report.is_clean() && report.requests == records.len(),
        "expected {} requests without violations: {report:?}",
        records.len()
    );
    let median = latency_histogram(&records).value_at_quantile(0.5);
    assert!(
        (2_000..1_000_000).contains(&median),
        "expected a median latency from 2 ms to 1 s, measured {median} us"
    );
    let repeated = run_write_load(&fleet, u64::MAX).await;
    let starts = |records: &[LoadRecord]| {
        let mut starts: Vec<_> = records.iter().map(|record| record.intended_start).collect();
        starts.sort();
        starts
    };
    assert_eq!(starts(&records), starts(&repeated));
}

/// Guards against a checker that misses a violation.
#[tokio::test]
async fn the_checker_finds_each_violation() {
    let fleet = start_fleet().await;
    let mut load_records = run_write_load(&fleet, 50).await;
    let server_records = fleet
        .fetch_request_records()
        .await
        .expect("the request records are fetched");
    let report = check_outcomes(&load_records, &server_records);
    assert_eq!(
        (
            report.duplicate_executions.len(),
            report.false_not_run.len()
        ),
        (50, 0)
    );
    load_records[0].outcome = RequestOutcome::NotRun;
    assert_eq!(
        check_outcomes(&load_records, &server_records).false_not_run,
        [load_records[0].key.clone()]
    );
    assert_eq!(
        check_outcomes(&load_records, &[])
            .success_without_execution
            .len(),
        load_records.len()
    );
    let faults = BackendFaults {
        cross_every: 1,
        ..BackendFaults::default()
    };
    let control = ServerControl {
        faults: Some(faults),
        ..ServerControl::default()
    };
    fleet
        .send_server_control(0..6, &control)
        .await
        .expect("the control request is accepted");
    let misdirected = run_write_load(&fleet, u64::MAX).await;
    let report = check_outcomes(
        &misdirected,
        &fleet
            .fetch_request_records()
            .await
            .expect("the request records are fetched"),
    );
    assert_eq!(report.bad_responses.len(), misdirected.len());
    assert!(
        report
            .bad_responses
            .iter()
            .all(|(_, check)| *check == ResponseCheck::WrongOwner),
        "expected only responses with a wrong owner: {report:?}"
    );
}
