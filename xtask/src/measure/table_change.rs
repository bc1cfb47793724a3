//! `table_in_force`: how long a published table takes to be active on all gateways.

use std::net;
use std::time;

use toucanledge_bench::{BenchResult, CallerRequest};

use crate::measure::measurement::MeasurementLine;
use crate::measure::testbed::{FleetTestbed, as_millis};

/// Number of publications.
const PUBLICATIONS: u32 = 6;
/// Time between two polls of a gateway, which is the resolution of the measure.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Longest wait until a table is active on a gateway.
const PROPAGATION_TIMEOUT: time::Duration = time::Duration::from_secs(10);

pub async fn run(testbed: &FleetTestbed) -> BenchResult<Vec<MeasurementLine>> {
    let mut times_ms = Vec::new();
    for publication in 1..=PUBLICATIONS {
        let mut rows = testbed.fleet.table_rows();
        for row in rows.iter_mut().filter(|row| row["class"].is_string()) {
            row["weight"] = f64::from(publication).into();
        }
        let published_at = time::Instant::now();
        let revision = testbed.fleet.publish_table(&rows).await?;
        let gateways = testbed.fleet.layout.gateways.iter();
        let polls = gateways.map(|gateway| {
            wait_for_revision(testbed, gateway.status_address, revision, published_at)
        });
        let mut longest_ms = 0.0_f64;
        for elapsed in futures_util::future::join_all(polls).await {
            longest_ms = longest_ms.max(as_millis(elapsed));
        }
        times_ms.push(longest_ms);
        tokio::time::sleep(time::Duration::from_millis(500)).await;
    }
    testbed
        .fleet
        .publish_table(&testbed.fleet.table_rows())
        .await?;
    let line = testbed.new_measurement("table_in_force", "ms");
    Ok(vec![
        line.with_distribution(times_ms.clone())
            .with_detail("times_ms", times_ms),
    ])
}

/// Returns the time until a gateway shows the revision, or the timeout.
async fn wait_for_revision(
    testbed: &FleetTestbed,
    status_address: net::SocketAddr,
    revision: u64,
    published_at: time::Instant,
) -> time::Duration {
    let request = CallerRequest::new(hyper::Method::GET, "/metrics");
    let expected = format!("toucanledge_table_revision {revision}");
    while published_at.elapsed() < PROPAGATION_TIMEOUT {
        let page = testbed.fetch_page(status_address, &request).await;
        if page.lines().any(|line| line == expected) {
            return published_at.elapsed();
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    PROPAGATION_TIMEOUT
}
