//! Ejection within the floor.

use toucanledge_core::{Millis, VmId, VmState};
use toucanledge_slots::{
    DispatchAction, LeaseOutcome, ListedServer, ReinstatementReason, ServerState, ShardDispatcher,
};

use crate::simulation::{self, ServiceFn, Simulation};
use crate::support;

/// Makes every request on these backend servers fail until none of them gets one.
fn fail(dispatcher: &mut ShardDispatcher, faulty: &[VmId], now: u64) -> Vec<DispatchAction> {
    let mut steps = Vec::new();
    for number in 0..64 {
        let mut ask = support::ask(now * 1_000 + number);
        ask.exclude = (0..10).map(support::backend).collect();
        ask.exclude.retain(|backend| !faulty.contains(backend));
        let asked = dispatcher.request_lease(support::GATEWAY, ask, Millis(now));
        for grant in support::grants(&asked) {
            let failed = support::report(&grant, LeaseOutcome::ConnectFailed, 1);
            steps.extend(dispatcher.report_end(support::GATEWAY, failed, Millis(now)));
        }
    }
    steps
}

fn returned(steps: &[DispatchAction]) -> Vec<(VmId, ReinstatementReason)> {
    let note = |step: &DispatchAction| match step {
        DispatchAction::Reinstated(note) => Some((note.backend, note.reason)),
        _ => None,
    };
    steps.iter().filter_map(note).collect()
}

/// Guards against ejections below the floor and names the row and the table of each decision.
#[test]
fn floor_keeps_suspects_in_service() {
    let mut dispatcher = support::dispatcher(10, 4);
    let faulty: Vec<VmId> = (0..6).map(support::backend).collect();
    let steps = fail(&mut dispatcher, &faulty, 1);
    assert_eq!(support::ejected(&steps).len(), 3, "floor 0.7 of 10");
    let kept = steps.iter().filter_map(|step| match step {
        DispatchAction::EjectionSuppressed(note) => {
            Some((note.row.to_string(), note.table_revision.0))
        }
        _ => None,
    });
    let kept: Vec<(String, u64)> = kept.collect();
    assert_eq!(kept.len(), 3, "{kept:?}");
    assert!(
        kept.iter()
            .all(|(row, table)| row.starts_with("reading-0") && *table == 12)
    );
    let status = dispatcher.status(Millis(2));
    let servers = status.servers.iter();
    assert_eq!(
        servers
            .filter(|server| server.state == ServerState::EjectionSuppressed)
            .count(),
        3
    );
    assert_eq!(status.min_in_service, 7);
}

/// Guards against a floor that counts leaving backend servers as capacity.
#[test]
fn leaving_servers_are_no_capacity() {
    let mut dispatcher = support::dispatcher(10, 4);
    let faulty: Vec<VmId> = (0..3).map(support::backend).collect();
    assert_eq!(
        support::ejected(&fail(&mut dispatcher, &faulty, 1)).len(),
        3
    );
    let mut list = support::listed(0..8);
    list.extend((8..10).map(|index| ListedServer {
        backend: support::backend(index),
        state: VmState::Leaving,
    }));
    // Six of the eight live ones must serve.
    let steps = dispatcher.set_servers(list, Millis(100));
    let back = returned(&steps);
    assert_eq!(back.len(), 1, "{steps:?}");
    assert_eq!(back[0].1, ReinstatementReason::Floor);
}

/// Guards against a stalled server that holds the ration while one that crashed serves.
#[test]
fn graver_fault_displaces() {
    let mut row = support::class_row("read");
    row.floor = 0.8;
    let mut dispatcher = support::dispatcher_of(vec![row], 5, 4);
    let steps = fail(&mut dispatcher, &[support::backend(0)], 1);
    assert_eq!(support::ejected(&steps), vec![support::backend(0)]);
    let mut ask = support::ask(9_000);
    ask.exclude = (2..5).map(support::backend).collect();
    let grant = support::granted(&dispatcher.request_lease(support::GATEWAY, ask, Millis(2)));
    let lost = support::report(&grant, LeaseOutcome::ConnectionLost, 1);
    dispatcher.report_end(support::GATEWAY, lost, Millis(3));
    let steps = dispatcher.on_probe_result(grant.backend, false, Millis(4));
    assert_eq!(support::ejected(&steps), vec![support::backend(1)]);
    assert_eq!(
        returned(&steps),
        vec![(support::backend(0), ReinstatementReason::Displaced)]
    );
}

/// Guards against a return without probe and trial, and against one that fails its probe.
#[test]
fn return_takes_a_probe_and_three_requests() {
    let mut dispatcher = support::dispatcher(4, 4);
    let faulty = support::backend(0);
    fail(&mut dispatcher, &[faulty], 1);
    assert_eq!(dispatcher.next_deadline(), Some(Millis(2_001)));
    let probe = DispatchAction::Probe { backend: faulty };
    assert_eq!(dispatcher.tick(Millis(2_001)), vec![probe.clone()]);
    dispatcher.on_probe_result(faulty, false, Millis(2_026));
    assert_eq!(dispatcher.tick(Millis(6_025)), vec![]);
    assert_eq!(dispatcher.tick(Millis(6_026)), vec![probe]);
    dispatcher.on_probe_result(faulty, true, Millis(6_051));
    for number in 0..3 {
        assert_eq!(
            dispatcher.status(Millis(6_052)).servers[0].state,
            ServerState::Trial
        );
        let at = Millis(6_060 + 20 * number);
        let grant =
            support::granted(&dispatcher.request_lease(support::GATEWAY, support::ask(number), at));
        assert_eq!(grant.backend, faulty);
        let other = dispatcher.request_lease(support::GATEWAY, support::ask(100 + number), at);
        assert_ne!(
            support::granted(&other).backend,
            faulty,
            "one trial at a time"
        );
        let done = support::report(&grant, LeaseOutcome::Completed, 15);
        let steps = dispatcher.report_end(support::GATEWAY, done, at + 15);
        assert_eq!(returned(&steps).len(), usize::from(number == 2));
    }
}

/// Guards against ejections below the floor when half of the shard stalls.
#[test]
fn half_stalled_shard_keeps_its_floor() {
    let mut sim = Simulation::new(support::dispatcher(8, 4), 2);
    let service: ServiceFn = Box::new(|_, backend, start, random| {
        let stalls = backend.0 % 2 == 0 && start > 5_000;
        (!stalls).then(|| simulation::plain_time(random))
    });
    sim.run(20_000, |_| 300.0, simulation::plain_kind(), service);
    let status = sim.dispatcher.status(Millis(20_000));
    assert_eq!(status.min_in_service, 6);
    assert!(
        sim.ejections()
            .iter()
            .all(|(_, backend)| backend.0 % 2 == 0)
    );
    assert!(status.counters.ejections >= 2);
}
