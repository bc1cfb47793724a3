//! Measures the cost of heartbeats for a gateway: the bytes sent, and the processor time of the
//! membership view and the codec for one heartbeat to and from every peer, without system calls.
//! The simulated gateways send one heartbeat a second; the interval in operation is 1.3 s.
//!
//! `cargo run --release -p toucanledge-wire --example heartbeat_cost [GATEWAYS]`

use std::hint;
use std::net;
use std::time;

use toucanledge_core::{
    FailureDomainId, Incarnation, ListVersion, Millis, TableRevision, VmEntry, VmId, VmList,
    VmRole, VmState,
};
use toucanledge_membership::{LocalStatus, MembershipView};
use toucanledge_wire::{decode_heartbeat, encode_heartbeat};

/// Simulated time, with one heartbeat a second.
const SECONDS: u64 = 600;
/// Size of the UDP and IPv4 headers.
const HEADER_BYTES: usize = 28;

fn list(gateways: u32) -> VmList {
    let entry = |vm| VmEntry {
        vm: VmId(vm),
        name: format!("gw-{vm:02}"),
        role: VmRole::Gateway,
        failure_domain: FailureDomainId(u16::try_from(vm % 3).unwrap_or_default()),
        peer: Some(net::SocketAddr::from(([127, 0, 0, 1], 7_000))),
        address: None,
        state: VmState::Live,
    };
    VmList {
        version: ListVersion(40_000),
        vms: (1..=gateways).map(entry).collect(),
    }
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let gateways: u32 = std::env::args()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(44);
    let list = list(gateways);
    let incarnation = Incarnation(1_796_000_000_000);
    let views = (1..=gateways).map(|vm| MembershipView::new(VmId(vm), incarnation, Millis(0)));
    let mut views: Vec<MembershipView> = views.collect();
    for view in &mut views {
        view.set_list(&list, Millis(0));
    }
    let status = LocalStatus {
        established: true,
        history: (39_998..=40_000).map(ListVersion).collect(),
        table_revision: TableRevision(70_000),
    };
    let mut bytes = 0;
    let mut datagrams = 0;
    let mut measured = time::Duration::ZERO;
    for second in 1..=SECONDS {
        let now = Millis(second * 1_000);
        let mut received = Vec::new();
        for view in views.iter_mut().skip(1) {
            let heartbeat = view.heartbeat_for(VmId(1), now, &status);
            received.push(encode_heartbeat(&heartbeat).map_err(|report| report.to_string())?);
        }
        let start = time::Instant::now();
        let mut sent = Vec::new();
        let local = &mut views[0];
        for datagram in &received {
            let heartbeat = decode_heartbeat(datagram).map_err(|report| report.to_string())?;
            local.handle_heartbeat(&heartbeat, now);
        }
        local.tick(now);
        hint::black_box(local.live_gateways());
        for peer in local.heartbeat_targets().collect::<Vec<_>>() {
            let heartbeat = local.heartbeat_for(peer, now, &status);
            let datagram = encode_heartbeat(&heartbeat).map_err(|report| report.to_string())?;
            sent.push((peer, datagram));
        }
        measured += start.elapsed();
        for (peer, datagram) in sent {
            bytes += datagram.len();
            datagrams += 1;
            let heartbeat = decode_heartbeat(&datagram).map_err(|report| report.to_string())?;
            views[peer.0 as usize - 1].handle_heartbeat(&heartbeat, now);
        }
    }
    let size = bytes / datagrams;
    let peers = usize::try_from(gateways)? - 1;
    println!(
        "{gateways} gateways: heartbeat of {size} bytes, {} bytes a second sent with headers, \
         {:?} of view and codec a second",
        (size + HEADER_BYTES) * peers,
        measured / u32::try_from(SECONDS)?
    );
    Ok(())
}
