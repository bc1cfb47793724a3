//! Ejection within the floor, and reinstatement.

use toucanledge_core::{Millis, VmId, VmState};
use toucanledge_slots::{
    DispatchAction, LeaseOutcome, ListedServer, ReinstatementReason, ServerState, ShardDispatcher,
};

use crate::simulation::{self, ServiceTimes, Simulation};
use crate::support;

/// Fails all of 64 requests that may use these backend servers only.
fn fail_all_requests(
    dispatcher: &mut ShardDispatcher,
    faulty: &[VmId],
    now: u64,
) -> Vec<DispatchAction> {
    let mut actions = Vec::new();
    for number in 0..64 {
        let mut request = support::lease_request(now * 1_000 + number);
        request.exclude = (0..10).map(support::backend).collect();
        request.exclude.retain(|backend| !faulty.contains(backend));
        let granted = dispatcher.request_lease(support::GATEWAY, request, Millis(now));
        for grant in support::grants(&granted) {
            let failed = support::report(&grant, LeaseOutcome::ConnectFailed, 1);
            actions.extend(dispatcher.report_end(support::GATEWAY, failed, Millis(now)));
        }
    }
    actions
}

fn reinstated(actions: &[DispatchAction]) -> Vec<(VmId, ReinstatementReason)> {
    let event = |action: &DispatchAction| match action {
        DispatchAction::Reinstated(event) => Some((event.backend, event.reason)),
        _ => None,
    };
    actions.iter().filter_map(event).collect()
}

/// Guards against ejections below the floor, and against events without row and table revision.
#[test]
fn floor_suppresses_ejections() {
    let mut dispatcher = support::dispatcher(10, 4);
    let faulty: Vec<VmId> = (0..6).map(support::backend).collect();
    let actions = fail_all_requests(&mut dispatcher, &faulty, 1);
    assert_eq!(
        support::ejected(&actions).len(),
        3,
        "a floor of 0.7 allows 3 of 10"
    );
    let suppressed = actions.iter().filter_map(|action| match action {
        DispatchAction::EjectionSuppressed(event) => {
            Some((event.row.to_string(), event.table_revision.0))
        }
        _ => None,
    });
    let suppressed: Vec<(String, u64)> = suppressed.collect();
    assert_eq!(suppressed.len(), 3, "suppressed: {suppressed:?}");
    assert!(
        suppressed
            .iter()
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
fn leaving_servers_do_not_count_for_the_floor() {
    let mut dispatcher = support::dispatcher(10, 4);
    let faulty: Vec<VmId> = (0..3).map(support::backend).collect();
    assert_eq!(
        support::ejected(&fail_all_requests(&mut dispatcher, &faulty, 1)).len(),
        3
    );
    let mut list = support::listed(0..8);
    list.extend((8..10).map(|index| ListedServer {
        backend: support::backend(index),
        state: VmState::Leaving,
    }));
    // With a floor of 0.7, six of the eight live ones must be in service.
    let actions = dispatcher.set_servers(list, Millis(100));
    let reinstated = reinstated(&actions);
    assert_eq!(
        reinstated.len(),
        1,
        "reinstated backend servers in {actions:?}"
    );
    assert_eq!(reinstated[0].1, ReinstatementReason::Floor);
}

/// Guards against a crashed backend server that stays in service because one with a less severe
/// fault is ejected already.
#[test]
fn more_severe_fault_displaces_ejected_server() {
    let mut row = support::class_row("read");
    row.floor = 0.8;
    let mut dispatcher = support::dispatcher_with(vec![row], 5, 4);
    let actions = fail_all_requests(&mut dispatcher, &[support::backend(0)], 1);
    assert_eq!(support::ejected(&actions), vec![support::backend(0)]);
    let mut request = support::lease_request(9_000);
    request.exclude = (2..5).map(support::backend).collect();
    let grant = support::granted(&dispatcher.request_lease(support::GATEWAY, request, Millis(2)));
    let lost = support::report(&grant, LeaseOutcome::ConnectionLost, 1);
    dispatcher.report_end(support::GATEWAY, lost, Millis(3));
    let actions = dispatcher.on_probe_result(grant.backend, false, Millis(4));
    assert_eq!(support::ejected(&actions), vec![support::backend(1)]);
    assert_eq!(
        reinstated(&actions),
        vec![(support::backend(0), ReinstatementReason::Displaced)]
    );
}

/// Guards against a reinstatement without probe and trial or after a failed probe.
#[test]
fn reinstatement_needs_a_probe_and_three_good_requests() {
    let mut dispatcher = support::dispatcher(4, 4);
    let faulty = support::backend(0);
    fail_all_requests(&mut dispatcher, &[faulty], 1);
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
        let grant = support::granted(&dispatcher.request_lease(
            support::GATEWAY,
            support::lease_request(number),
            at,
        ));
        assert_eq!(grant.backend, faulty);
        let other =
            dispatcher.request_lease(support::GATEWAY, support::lease_request(100 + number), at);
        assert_ne!(
            support::granted(&other).backend,
            faulty,
            "a backend server on trial gets one request at a time"
        );
        let done = support::report(&grant, LeaseOutcome::Completed, 15);
        let actions = dispatcher.report_end(support::GATEWAY, done, at + 15);
        assert_eq!(reinstated(&actions).len(), usize::from(number == 2));
    }
}

/// Guards against ejections below the floor when half of the shard stalls.
#[test]
fn floor_holds_while_half_of_the_shard_stalls() {
    let mut sim = Simulation::new(support::dispatcher(8, 4), 2);
    let service: ServiceTimes = Box::new(|_, backend, start, random| {
        let stalls = backend.0 % 2 == 0 && start > 5_000;
        (!stalls).then(|| simulation::short_service_ms(random))
    });
    sim.run(20_000, |_| 300.0, simulation::short_requests(), service);
    let status = sim.dispatcher.status(Millis(20_000));
    assert_eq!(status.min_in_service, 6);
    assert!(
        sim.ejections()
            .iter()
            .all(|(_, backend)| backend.0 % 2 == 0)
    );
    assert!(status.counters.ejections >= 2);
}
