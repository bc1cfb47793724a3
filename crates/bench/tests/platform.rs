//! Tests of the platform stand-in: protocol and faults.

mod common;

use std::net;
use std::time;

use serde_json::json;
use toucanledge_bench::PlatformStatus;

struct TestPlatform {
    listen: net::SocketAddr,
    control: net::SocketAddr,
    _process: common::TestProcess,
}

async fn start_platform() -> TestPlatform {
    let (listen, control) = (common::free_address(), common::free_address());
    let arguments = [
        "--listen",
        &listen.to_string(),
        "--control",
        &control.to_string(),
    ];
    let arguments = arguments.map(str::to_owned);
    let binary = env!("CARGO_BIN_EXE_toucanledge-platform-standin");
    let process = common::start(binary, &arguments, control).await;
    TestPlatform {
        listen,
        control,
        _process: process,
    }
}

fn list_with_gateway(vm: u32) -> serde_json::Value {
    json!({"vms": [{"vm": vm, "name": format!("gw-{vm}"), "role": "gateway",
        "failure_domain": 1, "peer": "127.9.0.1:7000", "state": "live"}]})
}

/// Guards against a watch that misses a write, and against wrong revisions or call counts.
#[tokio::test]
async fn a_watch_returns_at_the_next_revision() {
    let platform = start_platform().await;
    let first = common::put(platform.control, "/v1/value/table/head", &json!({"a": 1})).await;
    assert_eq!(first.text(), "1");
    let seen = common::get(platform.listen, "/v1/watch/table/head?after=0").await;
    assert_eq!(
        seen.expect("the stand-in responds")
            .header("platform-revision"),
        "1"
    );
    let address = platform.listen;
    let waiting =
        tokio::spawn(async move { common::get(address, "/v1/watch/table/head?after=1").await });
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    assert!(
        !waiting.is_finished(),
        "the watch returned without a change"
    );
    common::put(platform.listen, "/v1/value/table/head", &json!({"a": 2})).await;
    let changed = waiting
        .await
        .expect("the task does not panic")
        .expect("the watch returns");
    assert_eq!(changed.header("platform-revision"), "2");
    assert_eq!(changed.text(), r#"{"a":2}"#);
    let control = common::get(platform.control, "/control")
        .await
        .expect("the stand-in responds");
    let status: PlatformStatus = control.json().expect("the response is a platform status");
    assert_eq!((status.total_calls, status.calls["watch"]), (2, 2));
}

/// Guards against a stand-in that stores values which the platform would refuse.
#[tokio::test]
async fn values_over_the_limit_are_refused() {
    let platform = start_platform().await;
    let put = |length: usize| {
        let request = toucanledge_bench::CallerRequest::new(hyper::Method::PUT, "/v1/value/big");
        request.body(vec![b'x'; length])
    };
    let stored = common::send(platform.listen, &put(1_000_000))
        .await
        .expect("the stand-in responds");
    let refused = common::send(platform.listen, &put(1_000_001))
        .await
        .expect("the stand-in responds");
    assert_eq!((stored.status, refused.status), (200, 413));
}

/// Guards against readers that see writes made while the platform is stale.
#[tokio::test]
async fn readers_see_the_old_state_while_the_platform_is_stale() {
    let platform = start_platform().await;
    common::put(platform.control, "/v1/value/key", &json!(1)).await;
    common::put(platform.control, "/control", &json!({"stale": true})).await;
    let written = common::put(platform.control, "/v1/value/key", &json!(2)).await;
    common::put(platform.control, "/v1/vms", &list_with_gateway(7)).await;
    assert_eq!(written.text(), "2");
    let value = common::get(platform.listen, "/v1/value/key")
        .await
        .expect("the stand-in responds");
    let list = common::get(platform.listen, "/v1/vms")
        .await
        .expect("the stand-in responds");
    assert_eq!(
        (value.text().as_str(), list.text().as_str()),
        ("1", r#"{"version":0,"vms":[]}"#)
    );
    common::put(platform.control, "/control", &json!({"stale": false})).await;
    let value = common::get(platform.listen, "/v1/value/key")
        .await
        .expect("the stand-in responds");
    assert_eq!(
        (value.text().as_str(), value.header("platform-revision")),
        ("2", "2")
    );
}

/// Guards against a lag that does not delay the VM list, or delays it without end.
#[tokio::test]
async fn readers_see_the_vm_list_after_the_lag() {
    let platform = start_platform().await;
    common::put(platform.control, "/control", &json!({"lag_ms": 300})).await;
    common::put(platform.control, "/v1/vms", &list_with_gateway(7)).await;
    let started = time::Instant::now();
    let list = common::get(platform.listen, "/v1/vms")
        .await
        .expect("the stand-in responds");
    assert!(
        list.text().contains("\"version\":0"),
        "expected version 0 before the lag: {}",
        list.text()
    );
    let list = common::get(platform.listen, "/v1/vms/watch?after=0")
        .await
        .expect("the stand-in responds");
    assert!(
        list.text().contains("\"version\":1"),
        "expected version 1 after the lag: {}",
        list.text()
    );
    let elapsed = started.elapsed();
    assert!(
        elapsed >= time::Duration::from_millis(250),
        "expected a lag of about 300 ms, the list was visible after {elapsed:?}"
    );
}

/// Guards against an outage that leaves watches open, or makes the control endpoint unreachable.
#[tokio::test]
async fn an_outage_closes_watches_and_refuses_connections() {
    let platform = start_platform().await;
    let address = platform.listen;
    let waiting = tokio::spawn(async move { common::get(address, "/v1/watch/key?after=0").await });
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    common::put(platform.control, "/control", &json!({"outage": true})).await;
    waiting
        .await
        .expect("the task does not panic")
        .expect_err("the connection of the watch closes");
    common::get(address, "/v1/vms")
        .await
        .expect_err("the connection is refused");
    common::put(platform.control, "/control", &json!({"outage": false})).await;
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    common::get(address, "/v1/vms")
        .await
        .expect("the platform responds again");
}
