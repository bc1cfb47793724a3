//! Load surges and slow starts.

use rand::Rng;
use toucanledge_core::Millis;
use toucanledge_slots::{ServerState, ShardDispatcher};

use crate::simulation::{self, ServiceTimes, Simulation};
use crate::support;

/// Guards against ejections when all backend servers slow down at once.
#[test]
fn load_surge_ejects_no_server() {
    for rate in [20.0, 100.0, 400.0, 900.0] {
        for seed in simulation::seeds() {
            let mut sim = Simulation::new(support::dispatcher(8, 4), seed);
            let service: ServiceTimes = Box::new(|_, _, start, random| {
                let time = simulation::short_service_ms(random);
                let slow = (10_000..15_000).contains(&start);
                Some(if slow {
                    time * random.random_range(8..14)
                } else {
                    time
                })
            });
            sim.run(25_000, |_| rate, simulation::short_requests(), service);
            assert_eq!(sim.ejections(), vec![], "rate {rate}, seed {seed}");
        }
    }
}

/// Guards against idle slots and late refusals during overload.
#[test]
fn overload_keeps_slots_busy_and_refuses_early() {
    // 32 slots; each request takes 30 ms on average and 4 ms on the network.
    let capacity = 32.0 / 0.034;
    let rate = move |now: u64| {
        let ramp = (now.saturating_sub(8_000) as f64 / 2_000.0).min(1.0);
        capacity * (0.3 + 1.7 * ramp)
    };
    let mut sim = Simulation::new(support::dispatcher(8, 4), 9);
    let service: ServiceTimes =
        Box::new(|_, _, _, random| Some(simulation::short_service_ms(random)));
    sim.run(20_000, rate, simulation::short_requests(), service);
    assert_eq!(sim.ejections(), vec![]);
    let done = sim.requests.iter().filter_map(|request| request.done);
    let served = done.filter(|at| (11_000..20_000).contains(at)).count();
    let used_share = served as f64 / (capacity * 9.0);
    println!("{used_share:.3} of the capacity was used");
    assert!(
        used_share >= 0.95,
        "expected a used share of at least 0.95, got {used_share}"
    );
    let waits = sim.waits(11_000, |request| request.refused.is_some());
    let early = waits.iter().filter(|wait| **wait <= 50).count();
    assert!(
        early as f64 >= 0.9 * waits.len() as f64,
        "expected 90% of the refusals within 50 ms, got {early} of {}",
        waits.len()
    );
}

/// Returns a dispatcher with four backend servers and a fifth that is listed later.
fn dispatcher_with_new_server(now: u64) -> ShardDispatcher {
    let mut dispatcher = support::dispatcher(4, 4);
    let policy = support::policy(vec![support::class_row("read")], 5, 4);
    dispatcher.set_policy(policy, Millis(0));
    dispatcher.set_servers(support::listed(0..5), Millis(now));
    dispatcher
}

/// Guards against full load on a new backend server and against a missing slow-start state.
#[test]
fn new_server_gets_slots_step_by_step() {
    let dispatcher = dispatcher_with_new_server(1_000);
    let limit = |now: u64| dispatcher.status(Millis(now)).servers[4].lease_limit;
    assert_eq!(
        [10_999, 11_000, 12_000, 13_000, 14_000].map(limit),
        [1, 1, 2, 3, 4]
    );
    let status = dispatcher.status(Millis(2_000));
    assert_eq!(status.servers[4].state, ServerState::SlowStart);
    assert_eq!(status.servers[0].state, ServerState::Serving);
}

/// Guards against ejection of a new backend server whose first requests are slow.
#[test]
fn slow_start_does_not_eject() {
    let mut sim = Simulation::new(dispatcher_with_new_server(0), 4);
    let service: ServiceTimes = Box::new(|_, backend, start, random| {
        let time = simulation::short_service_ms(random);
        let slow = backend == support::backend(4) && start < 6_000;
        Some(if slow { 1_200 } else { time })
    });
    sim.run(20_000, |_| 300.0, simulation::short_requests(), service);
    assert_eq!(sim.ejections(), vec![]);
}
