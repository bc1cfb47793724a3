//! Waits and refusals of short work beside long work.

use rand::Rng;

use crate::simulation::{self, RequestSource, ServiceTimes, Simulation};
use crate::support;

const SEEDS: [u64; 2] = [17, 230];
const END_MS: u64 = 30_000;
/// Time in which the long-work predictor collects its history; requests from then on are measured.
const WARM_UP_MS: u64 = 10_000;
const SERVERS: u32 = 16;
const LONG_DEADLINE_MS: u32 = 30_000;

/// Attribute by which long work can be predicted.
#[derive(Clone, Copy, Debug)]
enum LongWorkPattern {
    /// No long work.
    None,
    Route,
    Caller,
    /// Long requests are spread over all callers and routes.
    Random,
}

fn request_source(pattern: LongWorkPattern) -> RequestSource {
    Box::new(move |random| {
        let long = random.random_bool(0.05) && !matches!(pattern, LongWorkPattern::None);
        let (mut caller, mut route) = (random.random_range(0..40), random.random_range(0..10));
        match pattern {
            LongWorkPattern::Route if long => route = 10,
            LongWorkPattern::Caller if long => caller = 40 + random.random_range(0..2),
            _ => {}
        }
        (caller, route, long, LONG_DEADLINE_MS)
    })
}

fn service_times() -> ServiceTimes {
    Box::new(|request, _, _, random| {
        let time = simulation::short_service_ms(random);
        Some(if request.long { time * 100 } else { time })
    })
}

/// Measurements of short work in one simulation.
#[derive(Debug)]
struct ShortWork {
    /// 99th percentile of the wait for a slot in milliseconds.
    slot_wait_ms: u64,
    /// 99th percentile of the milliseconds from arrival to the end of the response.
    response_ms: u64,
    /// Share of the requests that were refused.
    refused_share: f64,
    ejections: usize,
}

fn simulate(pattern: LongWorkPattern, rate: f64, seed: u64) -> ShortWork {
    let mut sim = Simulation::new(support::dispatcher(SERVERS, 4), seed);
    sim.run(END_MS, |_| rate, request_source(pattern), service_times());
    let waits = sim.waits(WARM_UP_MS, |request| !request.long);
    let refused = sim.refused(WARM_UP_MS, |request| !request.long);
    let responses = sim.response_times(WARM_UP_MS, |request| !request.long);
    ShortWork {
        slot_wait_ms: simulation::percentile(&waits, 0.99),
        response_ms: simulation::percentile(&responses, 0.99),
        refused_share: refused as f64 / waits.len() as f64,
        ejections: sim.ejections().len(),
    }
}

/// Guards against short work that waits behind long work which its caller or route predicts.
#[test]
fn short_work_does_not_wait_behind_long_work() {
    for rate in [300.0, 800.0, 1_200.0] {
        let alone = simulate(LongWorkPattern::None, rate, SEEDS[0]);
        for pattern in [LongWorkPattern::Route, LongWorkPattern::Caller] {
            for seed in SEEDS {
                let work = simulate(pattern, rate, seed);
                println!("{rate} a second, long by {pattern:?}: {work:?}, alone {alone:?}");
                assert!(
                    work.response_ms <= 2 * alone.response_ms,
                    "expected at most twice the response time without long work: {work:?}"
                );
                assert!(
                    work.slot_wait_ms <= 2 * alone.slot_wait_ms + 5,
                    "expected at most twice the slot wait without long work plus 5 ms: {work:?}"
                );
                assert!(
                    work.refused_share <= 0.001,
                    "expected at most 0.1% refused: {work:?}"
                );
                assert_eq!(work.ejections, 0);
            }
        }
    }
}

/// Guards against refusals of short work beside unpredictable long work for which the shard has
/// enough slots.
#[test]
fn unpredicted_long_work_within_capacity_refuses_no_short_work() {
    for seed in SEEDS {
        let work = simulate(LongWorkPattern::Random, 150.0, seed);
        println!("150 a second, unpredicted: {work:?}");
        assert!(
            work.slot_wait_ms <= 5 && work.refused_share <= 0.001,
            "expected a slot wait of at most 5 ms and at most 0.1% refused: {work:?}"
        );
        assert_eq!(work.ejections, 0);
    }
}

/// Guards against short work that is delayed because its caller and route had a long request by
/// chance. Long work needs 45 of the 64 slots here.
#[test]
fn chance_long_requests_do_not_delay_short_work() {
    for seed in SEEDS {
        let work = simulate(LongWorkPattern::Random, 300.0, seed);
        println!("300 a second, unpredicted: {work:?}");
        assert!(
            work.refused_share <= 0.005,
            "expected at most 0.5% refused: {work:?}"
        );
        assert_eq!(work.ejections, 0);
    }
}
