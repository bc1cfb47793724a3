//! Measures the round trip of a lease request and its reply over a loopback link.
//!
//! `cargo run --release -p toucanledge-wire --example round_trip [ROUNDS]`

use std::time;

use tokio::sync::mpsc;
use toucanledge_core::{
    CallerHash, ClassId, FailureDomainId, Fingerprint, Incarnation, PoolId, ShardId, TableRevision,
    VmId,
};
use toucanledge_slots::{LeaseGrant, LeaseId, LeaseReply, LeaseRequest, LeaseRequestId, RouteHash};
use toucanledge_wire::{PeerLinks, PeerMessage};

fn lease_request(number: u64) -> PeerMessage {
    PeerMessage::LeaseRequest(LeaseRequest {
        request_id: LeaseRequestId(number),
        shard: ShardId {
            pool: PoolId::of("reading"),
            domain: FailureDomainId(1),
            index: 0,
        },
        class: ClassId::of("read-policy"),
        caller: CallerHash::of(b"clerk"),
        route: RouteHash(7),
        fingerprint: Fingerprint(u128::MAX / 3),
        remaining_ms: 2_000,
        exclude: Vec::new(),
    })
}

fn lease_grant(request_id: LeaseRequestId) -> PeerMessage {
    PeerMessage::LeaseReply(LeaseReply::Grant(LeaseGrant {
        request_id,
        lease: LeaseId(request_id.0 << 8),
        backend: VmId(1_003),
        table_revision: TableRevision(70_000),
        expected_wait_ms: 3,
    }))
}

fn links(vm: u32) -> (PeerLinks, mpsc::Receiver<(VmId, PeerMessage)>) {
    let (sender, inbound) = mpsc::channel(1_024);
    (
        PeerLinks::new(VmId(vm), Incarnation(1), None, sender),
        inbound,
    )
}

fn rounds() -> u64 {
    std::env::args()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(20_000)
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let (dispatcher, mut requests) = links(2);
    dispatcher.listen(listener);
    tokio::spawn(async move {
        while let Some((vm, message)) = requests.recv().await {
            if let PeerMessage::LeaseRequest(request) = message {
                dispatcher.send(vm, address, &lease_grant(request.request_id));
            }
        }
    });
    let (gateway, mut replies) = links(1);
    // Stays below the limit of 20,000 messages a second.
    let min_interval = time::Duration::from_secs(1) / 15_000;
    let mut round_trips = Vec::new();
    for number in 0..rounds() {
        let start = time::Instant::now();
        gateway.send(VmId(2), address, &lease_request(number));
        replies.recv().await.ok_or("link closed")?;
        round_trips.push(start.elapsed());
        while start.elapsed() < min_interval {
            tokio::task::yield_now().await;
        }
    }
    report(round_trips);
    Ok(())
}

fn report(mut round_trips: Vec<time::Duration>) {
    // The first rounds open the link.
    round_trips.drain(..round_trips.len().min(100));
    round_trips.sort_unstable();
    let quantile = |per_mille: usize| round_trips[(round_trips.len() - 1) * per_mille / 1_000];
    println!(
        "{} round trips: p50 {:?}, p90 {:?}, p99 {:?}, p99.9 {:?}",
        round_trips.len(),
        quantile(500),
        quantile(900),
        quantile(990),
        quantile(999)
    );
}
