//! A gateway process that is frozen and resumed.

use std::time;

use rustix::process;
use serde_json::json;

use crate::support;
use crate::support::{TIMEOUT, TestAddresses, TestGateway, good_response};

/// Longer than the time without an event from which on the membership plug-in reports a freeze,
/// which is 1.7 s.
const FREEZE_DURATION: time::Duration = time::Duration::from_millis(2_500);
/// Which event comes first after a freeze is random, so a single freeze may not show the fault.
const FREEZE_COUNT: usize = 3;

/// Guards against a freeze that is not logged because heartbeats were sent before the tick that
/// detects freezes.
#[tokio::test(flavor = "multi_thread")]
async fn every_freeze_is_logged() {
    let gateway = TestGateway::start(good_response).await;
    add_listed_peer(gateway.addresses).await;
    wait_for_log(&gateway, "VM list 2 is in force", 1).await;
    for freezes in 1..=FREEZE_COUNT {
        gateway.signal(process::Signal::STOP);
        tokio::time::sleep(FREEZE_DURATION).await;
        gateway.signal(process::Signal::CONT);
        wait_for_log(&gateway, "[membership] this gateway was frozen", freezes).await;
    }
}

/// Adds a second gateway to the VM list, so that heartbeats are sent.
async fn add_listed_peer(addresses: TestAddresses) {
    let list = json!({"vms": [
        {"vm": 1, "name": "gw-01", "role": "gateway", "failure_domain": 1, "peer": addresses.peer(),
         "state": "live"},
        {"vm": 2, "name": "gw-02", "role": "gateway", "failure_domain": 2,
         "peer": addresses.port(7002), "state": "live"},
        {"vm": 1001, "name": "reading-01", "role": "backend", "failure_domain": 1,
         "address": addresses.port(8000), "state": "live"},
    ]});
    support::put_to_platform(addresses, "/v1/vms", &list).await;
}

async fn wait_for_log(gateway: &TestGateway, text: &str, times: usize) {
    let deadline = time::Instant::now() + TIMEOUT;
    while gateway.log().matches(text).count() < times {
        assert!(
            time::Instant::now() < deadline,
            "fewer than {times} log lines with {text:?}: {}",
            gateway.log()
        );
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}
