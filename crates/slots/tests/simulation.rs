//! Seeded simulation of a shard: gateways, network delay and backend servers around a dispatcher.

use std::{cmp, collections, ops};

use rand::{Rng, SeedableRng, rngs};
use toucanledge_core::{CallerHash, Fingerprint, Millis, VmId};
use toucanledge_slots::{
    DispatchAction, LeaseGrant, LeaseOutcome, LeaseReply, RouteHash, ShardDispatcher,
};

use crate::support;

/// One way between a gateway and the dispatcher or a backend server.
const NETWORK_MS: u64 = 1;
const DEADLINE_MS: u32 = 2_000;

/// A request of the simulation.
#[derive(Clone, Debug)]
pub struct SimRequest {
    pub caller: u64,
    pub long: bool,
    pub arrived: u64,
    pub deadline: u32,
    /// Grant time and backend server.
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

/// Draws the kind of a request: caller, route, long or not, deadline.
pub type KindFn = Box<dyn FnMut(&mut rngs::StdRng) -> (u64, u64, bool, u32)>;
/// Returns the service time, or none when the request stalls.
pub type ServiceFn = Box<dyn FnMut(&SimRequest, VmId, u64, &mut rngs::StdRng) -> Option<u64>>;

pub struct Simulation {
    pub dispatcher: ShardDispatcher,
    pub requests: Vec<SimRequest>,
    pub steps: Vec<(u64, DispatchAction)>,
    random: rngs::StdRng,
    events: collections::BinaryHeap<cmp::Reverse<(u64, u64)>>,
    due: collections::HashMap<u64, SimEvent>,
    numbered: u64,
}

impl Simulation {
    pub fn new(dispatcher: ShardDispatcher, seed: u64) -> Self {
        Self {
            dispatcher,
            requests: Vec::new(),
            steps: Vec::new(),
            random: rngs::StdRng::seed_from_u64(seed),
            events: collections::BinaryHeap::new(),
            due: collections::HashMap::new(),
            numbered: 0,
        }
    }

    fn plan(&mut self, at: u64, event: SimEvent) {
        self.numbered += 1;
        self.events.push(cmp::Reverse((at, self.numbered)));
        self.due.insert(self.numbered, event);
    }

    /// Runs until the end with a rate of arrivals a second that depends on the time.
    pub fn run(
        &mut self,
        end: u64,
        rate: impl Fn(u64) -> f64,
        mut kind: KindFn,
        mut service: ServiceFn,
    ) {
        self.plan(0, SimEvent::Arrive);
        self.plan(5, SimEvent::Tick);
        let mut clock = 0.0;
        while let Some(cmp::Reverse((now, number))) = self.events.pop() {
            let event = self.due.remove(&number).expect("planned");
            let steps = match event {
                SimEvent::Arrive => {
                    clock += -(1.0 - self.random.random::<f64>()).ln() * 1_000.0 / rate(now);
                    if clock < end as f64 {
                        self.plan((clock as u64).max(now), SimEvent::Arrive);
                    }
                    self.arrive(now, &mut kind)
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
            self.take(steps, now, &mut service);
        }
    }

    fn tick(&mut self, now: u64, end: u64) -> Vec<DispatchAction> {
        let due = self.dispatcher.next_deadline();
        if now < end + 5_000 {
            self.plan(now + 5, SimEvent::Tick);
        }
        if due.is_some_and(|due| due <= Millis(now)) {
            self.dispatcher.tick(Millis(now))
        } else {
            Vec::new()
        }
    }

    fn arrive(&mut self, now: u64, kind: &mut KindFn) -> Vec<DispatchAction> {
        let (caller, route, long, deadline) = kind(&mut self.random);
        let mut ask = support::ask(self.requests.len() as u64);
        ask.caller = CallerHash(caller);
        ask.route = RouteHash(route);
        ask.fingerprint = Fingerprint(u128::from(self.random.random::<u64>()));
        ask.remaining_ms = deadline;
        self.requests.push(SimRequest {
            caller,
            long,
            arrived: now,
            deadline,
            granted: None,
            refused: None,
            done: None,
        });
        self.dispatcher
            .request_lease(support::GATEWAY, ask, Millis(now))
    }

    fn take(&mut self, steps: Vec<DispatchAction>, now: u64, service: &mut ServiceFn) {
        for step in steps {
            match &step {
                DispatchAction::Reply { reply, .. } => self.answer(reply, now, service),
                DispatchAction::Probe { backend } => {
                    self.plan(now + 25, SimEvent::Probe(*backend));
                }
                _ => self.steps.push((now, step)),
            }
        }
    }

    fn answer(&mut self, reply: &LeaseReply, now: u64, service: &mut ServiceFn) {
        match reply {
            LeaseReply::Queued(queued) => panic!("the dispatcher itself says {queued:?}"),
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
                let left = (request.arrived + u64::from(request.deadline)).saturating_sub(start);
                let (time, outcome) = match time {
                    Some(time) if time <= left => (time, LeaseOutcome::Completed),
                    _ => (left, LeaseOutcome::DeadlineExceeded),
                };
                let at = start + time + 2 * NETWORK_MS;
                let report = SimEvent::Report(grant.clone(), outcome, time as u32);
                self.plan(at, report);
            }
        }
    }

    pub fn ejections(&self) -> Vec<(u64, VmId)> {
        let ejection = |(at, step): &(u64, DispatchAction)| match step {
            DispatchAction::Ejected(note) => Some((*at, note.backend)),
            _ => None,
        };
        self.steps.iter().filter_map(ejection).collect()
    }

    fn counted(
        &self,
        from: u64,
        counts: impl Fn(&SimRequest) -> bool,
    ) -> impl Iterator<Item = &SimRequest> {
        let requests = self.requests.iter();
        requests.filter(move |request| request.arrived >= from && counts(request))
    }

    /// Returns waits for a slot in milliseconds, in rising order.
    pub fn waits(&self, from: u64, counts: impl Fn(&SimRequest) -> bool) -> Vec<u64> {
        let wait = |request: &SimRequest| {
            let end = request.granted.map(|(at, _)| at).or(request.refused);
            end.map_or(u64::MAX, |end| end - request.arrived)
        };
        let mut waits: Vec<u64> = self.counted(from, counts).map(wait).collect();
        waits.sort_unstable();
        waits
    }

    /// Returns times from arrival to the end of the answer in milliseconds, in rising order.
    pub fn answers(&self, from: u64, counts: impl Fn(&SimRequest) -> bool) -> Vec<u64> {
        let time = |request: &SimRequest| Some(request.done? - request.arrived);
        let mut times: Vec<u64> = self.counted(from, counts).filter_map(time).collect();
        times.sort_unstable();
        times
    }

    pub fn refused(&self, from: u64, counts: impl Fn(&SimRequest) -> bool) -> usize {
        let refused = |request: &&SimRequest| request.refused.is_some();
        self.counted(from, counts).filter(refused).count()
    }
}

pub fn percentile(sorted: &[u64], part: f64) -> u64 {
    let index = ((sorted.len() as f64 * part) as usize).min(sorted.len().saturating_sub(1));
    sorted.get(index).copied().unwrap_or(0)
}

/// Seeds of tests against rare events; fewer without optimisation, which is 30 times slower.
pub fn seeds() -> ops::Range<u64> {
    if cfg!(debug_assertions) { 0..2 } else { 0..20 }
}

/// Kind of requests without long work from 40 callers on 10 routes.
pub fn plain_kind() -> KindFn {
    Box::new(|random| {
        let caller = random.random_range(0..40);
        (caller, random.random_range(0..10), false, DEADLINE_MS)
    })
}

pub fn plain_time(random: &mut rngs::StdRng) -> u64 {
    random.random_range(10..=50)
}
