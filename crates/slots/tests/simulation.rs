//! Seeded simulation of a shard: gateways, network delay and backend servers around a dispatcher.

use std::{cmp, collections, ops};

use rand::{Rng, SeedableRng, rngs};
use toucanledge_core::{CallerHash, Fingerprint, Millis, VmId};
use toucanledge_slots::{
    DispatchAction, LeaseGrant, LeaseOutcome, LeaseReply, RouteHash, ShardDispatcher,
};

use crate::support;

/// One-way delay between a gateway and the dispatcher or a backend server.
const NETWORK_MS: u64 = 1;
/// Time from the request for a probe to its result.
const PROBE_RESULT_DELAY_MS: u64 = 25;
const TICK_INTERVAL_MS: u64 = 5;
const DEADLINE_MS: u32 = 2_000;

/// A simulated request; times are milliseconds since the start.
#[derive(Clone, Debug)]
pub struct SimRequest {
    pub caller: u64,
    pub long: bool,
    pub arrived_ms: u64,
    pub deadline_ms: u32,
    /// Time of the grant and backend server.
    pub granted: Option<(u64, VmId)>,
    pub refused: Option<u64>,
    pub done: Option<u64>,
}

enum SimEvent {
    Arrive,
    Report(LeaseGrant, LeaseOutcome, u32),
    Probe(VmId),
    Tick,
}

/// Draws the attributes of a request: caller, route, whether it is long, and milliseconds until the
/// deadline.
pub type RequestSource = Box<dyn FnMut(&mut rngs::StdRng) -> (u64, u64, bool, u32)>;
/// Returns the service time in milliseconds of a request at a backend server from a start time on,
/// or none if the request stalls.
pub type ServiceTimes = Box<dyn FnMut(&SimRequest, VmId, u64, &mut rngs::StdRng) -> Option<u64>>;

/// Discrete-event simulation of one gateway, a dispatcher and its backend servers.
pub struct Simulation {
    pub dispatcher: ShardDispatcher,
    pub requests: Vec<SimRequest>,
    /// Actions other than replies and probes, with their times.
    pub actions: Vec<(u64, DispatchAction)>,
    random: rngs::StdRng,
    /// Times and numbers of the scheduled events.
    events: collections::BinaryHeap<cmp::Reverse<(u64, u64)>>,
    /// Scheduled events by number.
    pending: collections::HashMap<u64, SimEvent>,
    last_event_number: u64,
}

impl Simulation {
    pub fn new(dispatcher: ShardDispatcher, seed: u64) -> Self {
        Self {
            dispatcher,
            requests: Vec::new(),
            actions: Vec::new(),
            random: rngs::StdRng::seed_from_u64(seed),
            events: collections::BinaryHeap::new(),
            pending: collections::HashMap::new(),
            last_event_number: 0,
        }
    }

    fn schedule(&mut self, at: u64, event: SimEvent) {
        self.last_event_number += 1;
        self.events.push(cmp::Reverse((at, self.last_event_number)));
        self.pending.insert(self.last_event_number, event);
    }

    /// Runs the simulation with arrivals until the end time.
    ///
    /// `rate` returns the arrivals per second at a time.
    pub fn run(
        &mut self,
        end: u64,
        rate: impl Fn(u64) -> f64,
        mut source: RequestSource,
        mut service: ServiceTimes,
    ) {
        self.schedule(0, SimEvent::Arrive);
        self.schedule(TICK_INTERVAL_MS, SimEvent::Tick);
        let mut clock = 0.0;
        while let Some(cmp::Reverse((now, number))) = self.events.pop() {
            let event = self
                .pending
                .remove(&number)
                .expect("each scheduled event is pending");
            let actions = match event {
                SimEvent::Arrive => {
                    clock += -(1.0 - self.random.random::<f64>()).ln() * 1_000.0 / rate(now);
                    if clock < end as f64 {
                        self.schedule((clock as u64).max(now), SimEvent::Arrive);
                    }
                    self.arrive(now, &mut source)
                }
                SimEvent::Report(grant, outcome, time) => {
                    let report = support::report(&grant, outcome, time);
                    self.requests[grant.request_id.0 as usize].done = Some(now);
                    self.dispatcher
                        .report_end(support::GATEWAY, report, Millis(now))
                }
                SimEvent::Probe(backend) => {
                    self.dispatcher.on_probe_result(backend, true, Millis(now))
                }
                SimEvent::Tick => self.tick(now, end),
            };
            self.apply(actions, now, &mut service);
        }
    }

    fn tick(&mut self, now: u64, end: u64) -> Vec<DispatchAction> {
        let due = self.dispatcher.next_deadline();
        if now < end + 5_000 {
            self.schedule(now + TICK_INTERVAL_MS, SimEvent::Tick);
        }
        if due.is_some_and(|due| due <= Millis(now)) {
            self.dispatcher.tick(Millis(now))
        } else {
            Vec::new()
        }
    }

    fn arrive(&mut self, now: u64, source: &mut RequestSource) -> Vec<DispatchAction> {
        let (caller, route, long, deadline) = source(&mut self.random);
        let mut request = support::lease_request(self.requests.len() as u64);
        request.caller = CallerHash(caller);
        request.route = RouteHash(route);
        request.fingerprint = Fingerprint(u128::from(self.random.random::<u64>()));
        request.remaining_ms = deadline;
        self.requests.push(SimRequest {
            caller,
            long,
            arrived_ms: now,
            deadline_ms: deadline,
            granted: None,
            refused: None,
            done: None,
        });
        self.dispatcher
            .request_lease(support::GATEWAY, request, Millis(now))
    }

    fn apply(&mut self, actions: Vec<DispatchAction>, now: u64, service: &mut ServiceTimes) {
        for action in actions {
            match &action {
                DispatchAction::Reply { reply, .. } => self.handle_reply(reply, now, service),
                DispatchAction::Probe { backend } => {
                    self.schedule(now + PROBE_RESULT_DELAY_MS, SimEvent::Probe(*backend));
                }
                _ => self.actions.push((now, action)),
            }
        }
    }

    fn handle_reply(&mut self, reply: &LeaseReply, now: u64, service: &mut ServiceTimes) {
        match reply {
            LeaseReply::Queued(queued) => panic!("unexpected interim reply {queued:?}"),
            LeaseReply::Refusal(refusal) => {
                let request = &mut self.requests[refusal.request_id.0 as usize];
                assert_eq!(request.refused.or(request.granted.map(|at| at.0)), None);
                request.refused = Some(now);
            }
            LeaseReply::Grant(grant) => {
                let request = &mut self.requests[grant.request_id.0 as usize];
                assert_eq!(request.refused.or(request.granted.map(|at| at.0)), None);
                request.granted = Some((now, grant.backend));
                let start = now + 2 * NETWORK_MS;
                let time = service(request, grant.backend, start, &mut self.random);
                let remaining =
                    (request.arrived_ms + u64::from(request.deadline_ms)).saturating_sub(start);
                let (time, outcome) = match time {
                    Some(time) if time <= remaining => (time, LeaseOutcome::Completed),
                    _ => (remaining, LeaseOutcome::DeadlineExceeded),
                };
                let at = start + time + 2 * NETWORK_MS;
                let report = SimEvent::Report(grant.clone(), outcome, time as u32);
                self.schedule(at, report);
            }
        }
    }

    pub fn ejections(&self) -> Vec<(u64, VmId)> {
        let ejection = |(at, action): &(u64, DispatchAction)| match action {
            DispatchAction::Ejected(event) => Some((*at, event.backend)),
            _ => None,
        };
        self.actions.iter().filter_map(ejection).collect()
    }

    fn matching(
        &self,
        from: u64,
        matches: impl Fn(&SimRequest) -> bool,
    ) -> impl Iterator<Item = &SimRequest> {
        let requests = self.requests.iter();
        requests.filter(move |request| request.arrived_ms >= from && matches(request))
    }

    /// Returns the waits for a grant or refusal in milliseconds, in rising order.
    pub fn waits(&self, from: u64, matches: impl Fn(&SimRequest) -> bool) -> Vec<u64> {
        let wait = |request: &SimRequest| {
            let end = request.granted.map(|(at, _)| at).or(request.refused);
            end.map_or(u64::MAX, |end| end - request.arrived_ms)
        };
        let mut waits: Vec<u64> = self.matching(from, matches).map(wait).collect();
        waits.sort_unstable();
        waits
    }

    /// Returns the times from arrival to the end of the response in milliseconds, in rising order.
    pub fn response_times(&self, from: u64, matches: impl Fn(&SimRequest) -> bool) -> Vec<u64> {
        let time = |request: &SimRequest| Some(request.done? - request.arrived_ms);
        let mut times: Vec<u64> = self.matching(from, matches).filter_map(time).collect();
        times.sort_unstable();
        times
    }

    pub fn refused(&self, from: u64, matches: impl Fn(&SimRequest) -> bool) -> usize {
        let refused = |request: &&SimRequest| request.refused.is_some();
        self.matching(from, matches).filter(refused).count()
    }
}

pub fn percentile(sorted: &[u64], part: f64) -> u64 {
    let index = ((sorted.len() as f64 * part) as usize).min(sorted.len().saturating_sub(1));
    sorted.get(index).copied().unwrap_or(0)
}

/// Seeds of tests for rare events; fewer in unoptimised builds, which are 30 times slower.
pub fn seeds() -> ops::Range<u64> {
    if cfg!(debug_assertions) { 0..2 } else { 0..20 }
}

/// Returns requests without long work from 40 callers on 10 routes.
pub fn short_requests() -> RequestSource {
    Box::new(|random| {
        let caller = random.random_range(0..40);
        (caller, random.random_range(0..10), false, DEADLINE_MS)
    })
}

pub fn short_service_ms(random: &mut rngs::StdRng) -> u64 {
    random.random_range(10..=50)
}
