//! Random sequences of events.

use std::collections;

use proptest::prelude::*;
use strum::IntoEnumIterator;
use toucanledge_core::{CallerHash, ClassId, Fingerprint, Millis, VmId, VmState};
use toucanledge_slots::{
    DispatchAction, HeldLease, HeldLeases, LeaseGrant, LeaseId, LeaseOutcome, LeaseReply,
    LeaseRequestId, ListedServer, RouteHash, ServerState, ShardDispatcher,
};

use crate::support;

const SERVERS: u32 = 5;
const SLOTS: u32 = 2;
#[derive(Clone, Debug)]
enum Event {
    /// Gateway, first class, deadline, fingerprint, excluded backend server.
    Ask(u32, bool, u32, u8, Option<u32>),
    /// Which lease, outcome, leaving.
    Report(usize, usize, bool),
    Cancel(usize),
    Gone(u32),
    Probe(u32, bool),
    List([u8; SERVERS as usize]),
    Suspect(u8, u32),
    /// Gateway, backend server, deadline.
    Holds(u32, u32, u32),
    Tick,
}

fn event() -> impl Strategy<Value = Event> {
    let ask = (
        0..3_u32,
        any::<bool>(),
        0..1_500_u32,
        0..20_u8,
        proptest::option::of(0..SERVERS),
    );
    prop_oneof![
        12 => ask.prop_map(|(gateway, class, deadline, print, exclude)| Event::Ask(gateway, class, deadline, print, exclude)),
        10 => (any::<usize>(), prop_oneof![4 => Just(0), 3 => 1..7_usize], prop::bool::weighted(0.03))
            .prop_map(|(which, outcome, leaving)| Event::Report(which, outcome, leaving)),
        1 => any::<usize>().prop_map(Event::Cancel),
        1 => (0..3_u32).prop_map(Event::Gone),
        3 => (0..SERVERS, any::<bool>()).prop_map(|(index, ok)| Event::Probe(index, ok)),
        1 => prop::array::uniform5(0..6_u8).prop_map(Event::List),
        1 => (0..20_u8, 0..3_u32).prop_map(|(print, losses)| Event::Suspect(print, losses)),
        4 => Just(Event::Tick),
    ]
}

/// What the gateways know.
struct Model {
    dispatcher: ShardDispatcher,
    waiting: collections::HashSet<(VmId, LeaseRequestId)>,
    running: Vec<(VmId, LeaseGrant)>,
    asked: u64,
    /// No lease is adopted, so none may exceed the slots.
    bounded: bool,
    now: Millis,
}

impl Model {
    fn new(bounded: bool) -> Self {
        let mut heavy = support::class_row("search");
        heavy.slot_share = 0.5;
        heavy.rate_limit_per_s = 40.0;
        let classes = vec![support::class_row("read"), heavy];
        Self {
            dispatcher: support::dispatcher_of(classes, SERVERS, SLOTS),
            waiting: collections::HashSet::new(),
            running: Vec::new(),
            asked: 0,
            bounded,
            now: Millis(0),
        }
    }

    fn apply(&mut self, event: &Event) {
        let now = self.now;
        let steps = match event {
            Event::Ask(gateway, class, deadline, print, exclude) => {
                self.asked += 1;
                let mut ask = support::ask(self.asked);
                ask.class = ClassId::of(if *class { "read" } else { "search" });
                ask.caller = CallerHash(u64::from(print % 4));
                ask.route = RouteHash(u64::from(print % 3));
                ask.fingerprint = Fingerprint(u128::from(*print));
                ask.remaining_ms = *deadline;
                ask.exclude = exclude
                    .iter()
                    .map(|index| support::backend(*index))
                    .collect();
                self.waiting.insert((VmId(*gateway), ask.request_id));
                self.dispatcher.request_lease(VmId(*gateway), ask, now)
            }
            Event::Report(which, outcome, leaving) => {
                if self.running.is_empty() {
                    return;
                }
                let outcome = LeaseOutcome::iter().nth(*outcome).expect("seven outcomes");
                let (gateway, grant) = self.running.remove(which % self.running.len());
                let mut report = support::report(&grant, outcome, 20);
                report.leaving = *leaving;
                self.dispatcher.report_end(gateway, report, now)
            }
            Event::Cancel(which) => {
                let Some(name) = self
                    .waiting
                    .iter()
                    .min()
                    .copied()
                    .filter(|_| which % 2 == 0)
                else {
                    return;
                };
                self.waiting.remove(&name);
                self.dispatcher.cancel(name.0, name.1, now)
            }
            Event::Gone(gateway) => {
                self.waiting.retain(|(held, _)| held.0 != *gateway);
                self.running.retain(|(held, _)| held.0 != *gateway);
                self.dispatcher.remove_gateway(VmId(*gateway), now)
            }
            Event::Probe(index, ok) => {
                self.dispatcher
                    .on_probe_result(support::backend(*index), *ok, now)
            }
            Event::List(states) => self.list(states),
            Event::Suspect(print, losses) => {
                let reported = [(Fingerprint(u128::from(*print)), *losses)];
                self.dispatcher.set_crash_suspects(reported, now)
            }
            Event::Holds(gateway, index, deadline) => {
                self.asked += 1;
                let hold = HeldLease {
                    // Small numbers could be ids of this dispatcher without its salt.
                    lease: LeaseId((1 << 32) | (self.asked % 4)),
                    backend: support::backend(*index),
                    class: ClassId::of("read"),
                    caller: CallerHash(self.asked % 4),
                    fingerprint: Fingerprint(u128::from(self.asked % 4)),
                    age_ms: self.asked as u32 % 300,
                    remaining_ms: *deadline,
                };
                let holds = HeldLeases {
                    shard: support::shard(),
                    leases: vec![hold],
                };
                self.dispatcher.adopt_leases(VmId(*gateway), &holds, now)
            }
            Event::Tick => {
                let steps = self.dispatcher.tick(now);
                let due = self.dispatcher.next_deadline();
                assert!(
                    due.is_none_or(|due| due > now),
                    "still due after a tick: {due:?}"
                );
                steps
            }
        };
        self.take(steps);
    }

    fn list(&mut self, states: &[u8]) -> Vec<DispatchAction> {
        let entry = |(index, state): (u32, &u8)| {
            let backend = support::backend(index);
            let state = [None, Some(VmState::Leaving)]
                .get(usize::from(*state))
                .copied()
                .unwrap_or(Some(VmState::Live))?;
            Some(ListedServer { backend, state })
        };
        let listed = (0..).zip(states).filter_map(entry).collect::<Vec<_>>();
        self.dispatcher.set_servers(listed, self.now)
    }

    fn take(&mut self, steps: Vec<DispatchAction>) {
        let status = self.dispatcher.status(self.now);
        for step in steps {
            let DispatchAction::Reply { gateway, reply } = step else {
                continue;
            };
            let ask = reply.request_id();
            assert!(
                self.waiting.remove(&(gateway, ask)),
                "second reply to {ask:?}"
            );
            if let LeaseReply::Grant(grant) = reply {
                let server = status
                    .servers
                    .iter()
                    .find(|server| server.backend == grant.backend);
                let state = server.expect("listed").state;
                assert!(
                    serves(state) || state == ServerState::Trial,
                    "grant on a server that is {state}"
                );
                self.running.push((gateway, grant));
            }
        }
        let servers = status.servers.iter();
        let serving = servers.filter(|server| serves(server.state)).count();
        assert!(serving >= status.min_in_service, "floor broken: {status:?}");
        for server in &status.servers {
            let bounded = !self.bounded || server.leases_held <= SLOTS;
            assert!(bounded, "more leases than slots: {server:?}");
        }
        assert_eq!(status.entry_counts[1], self.waiting.len());
    }

    fn run(&mut self, events: Vec<(Event, u64)>) -> [usize; 4] {
        for (event, pause) in events {
            self.apply(&event);
            self.now = self.now + pause;
        }
        self.drain()
    }

    /// Ends everything and returns what the dispatcher still holds.
    fn drain(&mut self) -> [usize; 4] {
        for (gateway, grant) in std::mem::take(&mut self.running) {
            let report = support::report(&grant, LeaseOutcome::Completed, 20);
            let steps = self.dispatcher.report_end(gateway, report, self.now);
            self.take(steps);
        }
        let steps = self.dispatcher.set_crash_suspects([], self.now);
        self.take(steps);
        for _ in 0..3 {
            self.now = self.now + 300_000;
            let steps = self.dispatcher.tick(self.now);
            self.take(steps);
        }
        assert!(
            self.waiting.is_empty(),
            "asks without a reply: {:?}",
            self.waiting
        );
        self.dispatcher.status(self.now).entry_counts
    }
}

fn serves(state: ServerState) -> bool {
    use ServerState::{EjectionSuppressed, Serving, SlowStart};
    matches!(state, Serving | SlowStart | EjectionSuppressed)
}

fn event_or_holds() -> impl Strategy<Value = Event> {
    let holds = (0..3_u32, 0..SERVERS + 1, 0..1_500_u32);
    let holds = holds.prop_map(|(gateway, index, deadline)| Event::Holds(gateway, index, deadline));
    prop_oneof![9 => event(), 1 => holds]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against leases beyond the slots, a broken floor, a missing or second reply, a grant
    /// on a server out of service, a deadline that a tick leaves due, and memory that stays after
    /// everything ended.
    #[test]
    fn books_hold_for_any_events(events in prop::collection::vec((event(), 0..120_u64), 1..160)) {
        prop_assert_eq!(Model::new(true).run(events), [0; 4]);
    }

    /// Guards against the same while gateways hand over leases, which may exceed the slots.
    #[test]
    fn books_hold_with_adopted_leases(
        events in prop::collection::vec((event_or_holds(), 0..120_u64), 1..160),
    ) {
        prop_assert_eq!(Model::new(false).run(events), [0; 4]);
    }
}
