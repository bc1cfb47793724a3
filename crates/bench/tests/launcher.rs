//! The launcher: layout, control sides and removal of everything.

use std::net;
use std::time;

use toucanledge_bench::{
    BackendFaults, CallerClient, CallerRequest, Fleet, FleetConfig, FleetSignal, LossMode,
    PoolConfig, ProxyRule, ResponseCheck, ServerControl, check_response,
};

const LIMIT: time::Duration = time::Duration::from_secs(5);

fn plan() -> FleetConfig {
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

fn read() -> CallerRequest {
    CallerRequest::new(hyper::Method::GET, "/policies/1")
        .header("x-caller", "anna")
        .header("request-nonce", "n1")
}

/// Guards against addresses that bypass the proxy, lost control orders and lost records.
#[tokio::test]
async fn a_fleet_serves_through_the_proxy_and_obeys_control() {
    let fleet = Fleet::start_stand_ins(plan())
        .await
        .expect("the stand-ins start");
    let source: net::IpAddr = fleet.layout.gateways[0].peer_listen.ip();
    let client = CallerClient::from_source(Some(source));
    let server = fleet.layout.servers[4].advertised_address;
    let answer = client
        .send(server, &read(), LIMIT)
        .await
        .expect("an answer");
    assert_eq!(
        check_response(&answer.body, "anna", "n1"),
        ResponseCheck::Good
    );
    let records = fleet.fetch_request_records().await.expect("records");
    assert_eq!((records.len(), records[0].source), (1, source));
    assert_eq!(records[0].server, "publishing-02");
    let faults = BackendFaults {
        leaving: true,
        ..BackendFaults::default()
    };
    let order = ServerControl {
        faults: Some(faults),
        ..ServerControl::default()
    };
    fleet
        .send_server_control([4], &order)
        .await
        .expect("the order is taken");
    let answer = client
        .send(server, &read(), LIMIT)
        .await
        .expect("an answer");
    assert_eq!(answer.header("backend-state"), "leaving");
    let rules = fleet
        .layout
        .latency_rules(|from, to| f64::from(from.0 * 100 + to.0 * 10));
    fleet
        .set_proxy_rules(&rules)
        .await
        .expect("the rules are taken");
    let answer = client
        .send(server, &read(), LIMIT)
        .await
        .expect("an answer");
    // The gateway is in failure domain 1 and the server in 2: 120 ms each way.
    assert!(
        answer.latency >= time::Duration::from_millis(240),
        "{:?}",
        answer.latency
    );
    let loss = ProxyRule {
        loss: Some(LossMode::Hold),
        ..ProxyRule::default()
    };
    fleet
        .set_proxy_rules(&[loss])
        .await
        .expect("the rule is taken");
    let limit = time::Duration::from_millis(200);
    client
        .send(server, &read(), limit)
        .await
        .expect_err("the answer is held");
}

/// Guards against publications that the rule of `based_on` would refuse.
#[tokio::test]
async fn tables_and_lists_are_published_in_order() {
    let fleet = Fleet::start_stand_ins(plan())
        .await
        .expect("the stand-ins start");
    let revision = fleet
        .publish_table(&fleet.table_rows())
        .await
        .expect("a revision");
    let version = fleet.publish_list().await.expect("a version");
    assert_eq!((revision, version), (2, 2));
    let get = |path: &str| CallerRequest::new(hyper::Method::GET, path);
    let client = CallerClient::default();
    let platform = fleet.layout.platform;
    let head = client
        .send(platform, &get("/v1/value/table/head"), LIMIT)
        .await;
    let head: serde_json::Value = head.expect("an answer").json().expect("JSON");
    assert_eq!(
        (&head["based_on"], head["rows"].as_array().map(Vec::len)),
        (&1.into(), Some(5))
    );
    let list = client.send(platform, &get("/v1/vms"), LIMIT).await;
    let list: toucanledge_core::VmList = list.expect("an answer").json().expect("a list");
    assert_eq!((list.gateways().count(), list.backends().count()), (4, 5));
    let peer = list.gateways().next().and_then(|entry| entry.peer);
    assert_eq!(peer.expect("an address").ip().to_string(), "127.2.0.1");
}

/// Guards against fleets that collide, signals that miss and processes that outlive the fleet.
#[tokio::test]
async fn fleets_run_side_by_side_and_remove_everything() {
    let first = Fleet::start_stand_ins(plan())
        .await
        .expect("the stand-ins start");
    let mut second = Fleet::start_stand_ins(plan())
        .await
        .expect("the stand-ins start");
    assert_ne!(first.layout.platform, second.layout.platform);
    second
        .signal("backend-0", FleetSignal::Stop)
        .expect("a signal");
    let server = second.layout.servers[0].advertised_address;
    let limit = time::Duration::from_millis(200);
    let client = CallerClient::default();
    client
        .send(server, &read(), limit)
        .await
        .expect_err("the process is frozen");
    second
        .signal("backend-0", FleetSignal::Cont)
        .expect("a signal");
    client
        .send(server, &read(), LIMIT)
        .await
        .expect("the process goes on");
    second
        .signal("backend-0", FleetSignal::Term)
        .expect("a signal");
    assert!(second.wait_for_exit("backend-0", LIMIT).await.is_some());
    let (platform, folder) = (second.layout.platform, second.folder().to_owned());
    drop(second);
    assert!(!folder.exists());
    net::TcpStream::connect(platform).expect_err("the platform has ended");
    net::TcpStream::connect(first.layout.platform).expect("the first fleet still runs");
}
