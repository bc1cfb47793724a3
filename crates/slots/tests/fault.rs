//! Detection of backend servers that stall, and cases that must not be mistaken for a stall.

use rand::Rng;
use toucanledge_core::{CallerHash, Millis, VmId};
use toucanledge_slots::{LeaseOutcome, RouteHash, ServerState};

use crate::simulation::{self, RequestSource, ServiceTimes, Simulation};
use crate::support;

const STALL_START_MS: u64 = 10_000;
const END_MS: u64 = 16_000;
const SERVERS: u32 = 8;

/// Returns service times of 10 to 50 ms, with a stall of one backend server from the start time on.
fn service_times_with_stall(faulty: VmId) -> ServiceTimes {
    Box::new(move |_, backend, start, random| {
        let time = simulation::short_service_ms(random);
        let stalls = backend == faulty && start + time > STALL_START_MS;
        (!stalls).then_some(time)
    })
}

fn simulate(seed: u64, end: u64, rate: f64, service: ServiceTimes) -> Simulation {
    let mut sim = Simulation::new(support::dispatcher(SERVERS, 4), seed);
    sim.run(end, |_| rate, simulation::short_requests(), service);
    sim
}

/// Returns the time from the start of the stall to the last grant before the first trial.
///
/// Fails on any ejection before the stall or of another backend server.
fn last_grant_after_stall_ms(sim: &Simulation, faulty: VmId) -> u64 {
    let mut ejections = sim.ejections();
    ejections.retain(|(at, backend)| *backend != faulty || *at < STALL_START_MS);
    assert_eq!(ejections, vec![]);
    let grants = sim.requests.iter().filter_map(|request| request.granted);
    let last = grants
        .filter(|(at, backend)| *backend == faulty && *at < STALL_START_MS + 2_000)
        .map(|(at, _)| at.saturating_sub(STALL_START_MS));
    last.max().unwrap_or(0)
}

/// Guards against new requests to a backend server that stalls although it responds to probes.
#[test]
fn stalled_server_gets_no_new_request() {
    for rate in [20.0, 60.0, 200.0, 600.0, 1_000.0] {
        let faulty = support::backend(3);
        let time = |seed| {
            last_grant_after_stall_ms(
                &simulate(seed, END_MS, rate, service_times_with_stall(faulty)),
                faulty,
            )
        };
        let mut times: Vec<u64> = (0..10).map(time).collect();
        times.sort_unstable();
        println!("{rate} requests a second: last new request after {times:?} ms");
        assert!(
            times[9] <= 1_000,
            "rate {rate}: expected at most 1000 ms for all seeds, got {times:?}"
        );
        assert!(
            times[5] <= 500,
            "rate {rate}: expected at most 500 ms for six of ten seeds, got {times:?}"
        );
    }
}

/// Guards against a stalled backend server that stays in service although the load suffices to
/// detect the stall.
#[test]
fn stalled_server_is_ejected() {
    let faulty = support::backend(3);
    for rate in [60.0, 200.0, 600.0, 1_000.0] {
        let mut times = Vec::new();
        for seed in simulation::seeds() {
            let sim = simulate(seed, END_MS, rate, service_times_with_stall(faulty));
            let first = sim.ejections().first().copied();
            let (at, backend) =
                first.unwrap_or_else(|| panic!("no ejection at rate {rate}, seed {seed}"));
            assert_eq!(backend, faulty);
            times.push(at - STALL_START_MS);
        }
        times.sort_unstable();
        println!("{rate} requests a second: ejected after {times:?} ms");
        assert!(
            times.last().is_some_and(|time| *time <= 1_000),
            "rate {rate}: expected ejections within 1000 ms, got {times:?}"
        );
    }
}

/// Guards against ejection of a backend server that is slow for some callers only.
#[test]
fn slow_for_some_callers_does_not_eject() {
    for rate in [20.0, 60.0, 200.0, 600.0] {
        for seed in simulation::seeds() {
            let service: ServiceTimes = Box::new(|request, backend, start, random| {
                let time = simulation::short_service_ms(random);
                let slow = request.caller < 4 && backend == support::backend(3);
                Some(if slow && start > 5_000 { 1_500 } else { time })
            });
            let sim = simulate(seed, 30_000, rate, service);
            assert_eq!(sim.ejections(), vec![], "rate {rate}, seed {seed}");
        }
    }
}

/// Guards against a single long request that is mistaken for a stall.
#[test]
fn one_long_request_does_not_eject() {
    let mut dispatcher = support::dispatcher(2, 4);
    let mut long = support::lease_request(0);
    long.caller = CallerHash(500);
    long.route = RouteHash(500);
    let long = support::granted(&dispatcher.request_lease(support::GATEWAY, long, Millis(0)));
    for number in 1..150 {
        let at = number * 10;
        let actions =
            dispatcher.request_lease(support::GATEWAY, support::lease_request(number), Millis(at));
        assert_eq!(support::ejected(&actions), vec![]);
        let grant = support::granted(&actions);
        let done = support::report(&grant, LeaseOutcome::Completed, 8);
        let actions = dispatcher.report_end(support::GATEWAY, done, Millis(at + 8));
        assert_eq!(support::ejected(&actions), vec![]);
        // Once the long request is overdue, its backend server is avoided without an ejection.
        assert!(
            at < 500 || grant.backend != long.backend,
            "backend server of the long request used at {at} ms"
        );
    }
    assert_eq!(
        dispatcher.status(Millis(1_500)).servers[0].state,
        ServerState::Serving
    );
}

/// Guards against ejections of the same length for a backend server that fails again and again.
#[test]
fn flapping_server_is_ejected_longer() {
    let faulty = support::backend(3);
    let service: ServiceTimes = Box::new(move |_, backend, start, random| {
        let stalls = backend == faulty && start % 3_000 > 1_500;
        (!stalls).then(|| simulation::short_service_ms(random))
    });
    let sim = simulate(5, 60_000, 600.0, service);
    let ejections = sim.ejections();
    assert!(
        ejections.iter().all(|(_, backend)| *backend == faulty),
        "expected ejections of the faulty backend server only: {ejections:?}"
    );
    assert!(
        (3..=6).contains(&ejections.len()),
        "expected 3 to 6 ejections: {ejections:?}"
    );
    let gaps: Vec<u64> = ejections
        .windows(2)
        .map(|pair| pair[1].0 - pair[0].0)
        .collect();
    assert!(
        gaps.windows(2).all(|pair| pair[1] > pair[0]),
        "expected growing gaps in ms: {gaps:?}"
    );
}

/// Guards against an ejected backend server that is not reinstated after its recovery.
#[test]
fn recovered_server_is_reinstated() {
    let faulty = support::backend(3);
    let service: ServiceTimes = Box::new(move |_, backend, start, random| {
        let stalls = backend == faulty && (STALL_START_MS..STALL_START_MS + 1_000).contains(&start);
        (!stalls).then(|| simulation::short_service_ms(random))
    });
    let sim = simulate(5, 20_000, 400.0, service);
    let status = sim.dispatcher.status(Millis(20_000));
    assert_eq!(status.servers[3].state, ServerState::Serving);
    assert_eq!(
        (status.counters.ejections, status.counters.reinstatements),
        (1, 1)
    );
}

/// Guards against unrelated long requests at one idle backend server that are mistaken for a stall.
#[test]
fn unpredicted_long_work_does_not_eject() {
    for rate in [30.0, 150.0] {
        for seed in simulation::seeds() {
            let mut sim = Simulation::new(support::dispatcher(16, 4), seed);
            let service: ServiceTimes = Box::new(|_, _, _, random| {
                let time = simulation::short_service_ms(random);
                Some(if random.random_bool(0.02) {
                    time * 30
                } else {
                    time
                })
            });
            sim.run(60_000, |_| rate, simulation::short_requests(), service);
            assert_eq!(sim.ejections(), vec![], "rate {rate}, seed {seed}");
        }
    }
}

/// Guards against a stall that goes undetected beside long work or is mistaken for long work.
#[test]
fn stall_is_detected_beside_long_work() {
    let faulty = support::backend(3);
    for rate in [60.0, 300.0] {
        for seed in simulation::seeds() {
            let mut sim = Simulation::new(support::dispatcher(SERVERS, 4), seed);
            let source: RequestSource = Box::new(|random| {
                let long = random.random_bool(0.02);
                let route = if long { 10 } else { random.random_range(0..10) };
                (random.random_range(0..40), route, long, 10_000)
            });
            let service: ServiceTimes = Box::new(move |request, backend, start, random| {
                let time = simulation::short_service_ms(random);
                let time = if request.long { time * 100 } else { time };
                (backend != faulty || start + time <= STALL_START_MS).then_some(time)
            });
            sim.run(END_MS, |_| rate, source, service);
            let last = last_grant_after_stall_ms(&sim, faulty);
            assert!(
                last <= 1_000,
                "rate {rate}, seed {seed}: last grant after {last} ms, expected at most 1000 ms"
            );
        }
    }
}

/// Guards against new requests to a stalled backend server each time a deadline frees its slots.
#[test]
fn stalled_server_gets_few_later_requests() {
    let faulty = support::backend(3);
    for rate in [20.0, 200.0, 1_000.0] {
        let sim = simulate(7, 40_000, rate, service_times_with_stall(faulty));
        let grants = sim.requests.iter().filter_map(|request| request.granted);
        let late =
            grants.filter(|(at, backend)| *backend == faulty && *at > STALL_START_MS + 1_000);
        let late: Vec<u64> = late.map(|(at, _)| at - STALL_START_MS).collect();
        println!("{rate} requests a second: later grants after {late:?} ms");
        assert!(
            late.len() <= 8,
            "rate {rate}: expected at most 8 later grants, got {late:?}"
        );
    }
}
