//! `table_in_force`: how long a change takes to reach the last gateway.

use std::net;
use std::time;

use toucanledge_bench::{BenchResult, CallerRequest};

use crate::measure::bed::{MeasureBed, as_millis};
use crate::measure::figure::FigureLine;

/// Publications in one run.
const CHANGES: u32 = 6;
/// Time between two looks at a gateway, and so the resolution.
const LOOK_GAP: time::Duration = time::Duration::from_millis(20);
/// Longest wait for a gateway.
const LIMIT: time::Duration = time::Duration::from_secs(10);

pub async fn run(bed: &MeasureBed) -> BenchResult<Vec<FigureLine>> {
    let mut times = Vec::new();
    for change in 1..=CHANGES {
        let mut rows = bed.fleet.table_rows();
        for row in rows.iter_mut().filter(|row| row["class"].is_string()) {
            row["weight"] = f64::from(change).into();
        }
        let published = time::Instant::now();
        let revision = bed.fleet.publish_table(&rows).await?;
        let gateways = bed.fleet.layout.gateways.iter();
        let looks = gateways.map(|place| wait_for(bed, place.status_address, revision, published));
        let mut last = 0.0_f64;
        for seen in futures_util::future::join_all(looks).await {
            last = last.max(as_millis(seen));
        }
        times.push(last);
        tokio::time::sleep(time::Duration::from_millis(500)).await;
    }
    bed.fleet.publish_table(&bed.fleet.table_rows()).await?;
    let line = bed.plain_line("table_in_force", "ms");
    Ok(vec![line.spread(times.clone()).detail("times_ms", times)])
}

/// Returns when a gateway shows the revision, or the limit.
async fn wait_for(
    bed: &MeasureBed,
    status: net::SocketAddr,
    revision: u64,
    published: time::Instant,
) -> time::Duration {
    let request = CallerRequest::new(hyper::Method::GET, "/metrics");
    let wanted = format!("toucanledge_table_revision {revision}");
    while published.elapsed() < LIMIT {
        let page = bed.page(status, &request).await;
        if page.lines().any(|line| line == wanted) {
            return published.elapsed();
        }
        tokio::time::sleep(LOOK_GAP).await;
    }
    LIMIT
}
