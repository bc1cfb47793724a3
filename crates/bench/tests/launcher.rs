//! Tests of the launcher: layout, control requests and removal of the fleet.

use std::net;
use std::time;

use toucanledge_bench::{
    BackendFaults, CallerClient, CallerRequest, Fleet, FleetConfig, FleetSignal, LossMode,
    PoolConfig, ProxyRule, ResponseCheck, ServerControl, check_response,
};

const TIMEOUT: time::Duration = time::Duration::from_secs(5);

fn config() -> FleetConfig {
    FleetConfig {
        gateways: 4,
        pools: vec![
            PoolConfig::new("reading", 3),
            PoolConfig::new("publishing", 2),
        ],
        fault_proxy: true,
        ..FleetConfig::default()
    }
}

fn read_request() -> CallerRequest {
    CallerRequest::new(hyper::Method::GET, "/policies/1")
        .header("x-caller", "anna")
        .header("request-nonce", "n1")
}

/// Guards against addresses that bypass the fault proxy, and against control requests and request
/// records that get lost.
#[tokio::test]
async fn a_fleet_serves_through_the_proxy_and_applies_control_requests() {
    let fleet = Fleet::start_stand_ins(config())
        .await
        .expect("the stand-ins start");
    let source: net::IpAddr = fleet.layout.gateways[0].peer_listen.ip();
    let client = CallerClient::from_source(Some(source));
    let server = fleet.layout.servers[4].advertised_address;
    let response = client
        .send(server, &read_request(), TIMEOUT)
        .await
        .expect("the stand-in responds");
    assert_eq!(
        check_response(&response.body, "anna", "n1"),
        ResponseCheck::Good
    );
    let records = fleet
        .fetch_request_records()
        .await
        .expect("the request records are fetched");
    assert_eq!((records.len(), records[0].source), (1, source));
    assert_eq!(records[0].server, "publishing-02");
    let faults = BackendFaults {
        leaving: true,
        ..BackendFaults::default()
    };
    let control = ServerControl {
        faults: Some(faults),
        ..ServerControl::default()
    };
    fleet
        .send_server_control([4], &control)
        .await
        .expect("the control request is accepted");
    let response = client
        .send(server, &read_request(), TIMEOUT)
        .await
        .expect("the stand-in responds");
    assert_eq!(response.header("backend-state"), "leaving");
    let rules = fleet
        .layout
        .latency_rules(|from, to| f64::from(from.0 * 100 + to.0 * 10));
    fleet
        .set_proxy_rules(&rules)
        .await
        .expect("the rules are accepted");
    let response = client
        .send(server, &read_request(), TIMEOUT)
        .await
        .expect("the stand-in responds");
    // The gateway is in failure domain 1 and the server in 2: 120 ms each way.
    assert!(
        response.latency >= time::Duration::from_millis(240),
        "expected a latency of at least 240 ms, measured {:?}",
        response.latency
    );
    let loss = ProxyRule {
        loss: Some(LossMode::Hold),
        ..ProxyRule::default()
    };
    fleet
        .set_proxy_rules(&[loss])
        .await
        .expect("the rule is accepted");
    let timeout = time::Duration::from_millis(200);
    client
        .send(server, &read_request(), timeout)
        .await
        .expect_err("the response is held back");
}

/// Guards against publications with a `based_on` that gateways would refuse.
#[tokio::test]
async fn tables_and_lists_are_published_in_order() {
    let fleet = Fleet::start_stand_ins(config())
        .await
        .expect("the stand-ins start");
    let revision = fleet
        .publish_table(&fleet.table_rows())
        .await
        .expect("the table is published");
    let version = fleet
        .publish_list()
        .await
        .expect("the VM list is published");
    assert_eq!((revision, version), (2, 2));
    let get = |path: &str| CallerRequest::new(hyper::Method::GET, path);
    let client = CallerClient::default();
    let platform = fleet.layout.platform;
    let head = client
        .send(platform, &get("/v1/value/table/head"), TIMEOUT)
        .await;
    let head: serde_json::Value = head
        .expect("the stand-in responds")
        .json()
        .expect("the head is JSON");
    assert_eq!(
        (&head["based_on"], head["rows"].as_array().map(Vec::len)),
        (&1.into(), Some(5))
    );
    let list = client.send(platform, &get("/v1/vms"), TIMEOUT).await;
    let list: toucanledge_core::VmList = list
        .expect("the stand-in responds")
        .json()
        .expect("the response is a VM list");
    assert_eq!((list.gateways().count(), list.backends().count()), (4, 5));
    let peer = list.gateways().next().and_then(|entry| entry.peer);
    assert_eq!(
        peer.expect("the gateway has a peer address")
            .ip()
            .to_string(),
        "127.2.0.1"
    );
}

/// Guards against address conflicts between fleets, signals that have no effect, and processes and
/// files that remain after the fleet is dropped.
#[tokio::test]
async fn fleets_run_in_parallel_and_leave_nothing_behind() {
    let first = Fleet::start_stand_ins(config())
        .await
        .expect("the stand-ins start");
    let mut second = Fleet::start_stand_ins(config())
        .await
        .expect("the stand-ins start");
    assert_ne!(first.layout.platform, second.layout.platform);
    second
        .signal("backend-0", FleetSignal::Stop)
        .expect("the signal is sent");
    let server = second.layout.servers[0].advertised_address;
    let timeout = time::Duration::from_millis(200);
    let client = CallerClient::default();
    client
        .send(server, &read_request(), timeout)
        .await
        .expect_err("the process is frozen");
    second
        .signal("backend-0", FleetSignal::Cont)
        .expect("the signal is sent");
    client
        .send(server, &read_request(), TIMEOUT)
        .await
        .expect("the process is resumed");
    second
        .signal("backend-0", FleetSignal::Term)
        .expect("the signal is sent");
    let status = second.wait_for_exit("backend-0", TIMEOUT).await;
    assert!(status.is_some(), "the process did not exit after SIGTERM");
    let (platform, folder) = (second.layout.platform, second.folder().to_owned());
    drop(second);
    assert!(!folder.exists(), "{} was not removed", folder.display());
    net::TcpStream::connect(platform).expect_err("the platform has exited");
    net::TcpStream::connect(first.layout.platform).expect("the first fleet still runs");
}
