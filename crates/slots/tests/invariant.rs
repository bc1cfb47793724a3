//! Property tests with random sequences of events.

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
    /// Gateway, class (`read` if true, else `search`), milliseconds until the deadline,
    /// fingerprint, excluded backend server.
    Request(u32, bool, u32, u8, Option<u32>),
    /// Index of the lease, index of the outcome, whether the backend server is leaving.
    Report(usize, usize, bool),
    Cancel(usize),
    RemoveGateway(u32),
    Probe(u32, bool),
    List([u8; SERVERS as usize]),
    CrashSuspect(u8, u32),
    /// Gateway, backend server, milliseconds until the deadline.
    Adopt(u32, u32, u32),
    Tick,
}

fn event() -> impl Strategy<Value = Event> {
    let request = (
        0..3_u32,
        any::<bool>(),
        0..1_500_u32,
        0..20_u8,
        proptest::option::of(0..SERVERS),
    );
    prop_oneof![
        12 => request.prop_map(|(gateway, class, deadline, fingerprint, exclude)| Event::Request(gateway, class, deadline, fingerprint, exclude)),
        10 => (any::<usize>(), prop_oneof![4 => Just(0), 3 => 1..7_usize], prop::bool::weighted(0.03))
            .prop_map(|(which, outcome, leaving)| Event::Report(which, outcome, leaving)),
        1 => any::<usize>().prop_map(Event::Cancel),
        1 => (0..3_u32).prop_map(Event::RemoveGateway),
        3 => (0..SERVERS, any::<bool>()).prop_map(|(index, ok)| Event::Probe(index, ok)),
        1 => prop::array::uniform5(0..6_u8).prop_map(Event::List),
        1 => (0..20_u8, 0..3_u32).prop_map(|(fingerprint, losses)| Event::CrashSuspect(fingerprint, losses)),
        4 => Just(Event::Tick),
    ]
}

/// Dispatcher with a model of the requests and leases of its gateways.
struct Model {
    dispatcher: ShardDispatcher,
    queued: collections::HashSet<(VmId, LeaseRequestId)>,
    leases: Vec<(VmId, LeaseGrant)>,
    requests_sent: u64,
    /// Whether the leases of a backend server must not exceed its slots; adopted leases may.
    limit_to_slots: bool,
    now: Millis,
}

impl Model {
    fn new(limit_to_slots: bool) -> Self {
        let mut heavy = support::class_row("search");
        heavy.slot_share = 0.5;
        heavy.rate_limit_per_s = 40.0;
        let classes = vec![support::class_row("read"), heavy];
        Self {
            dispatcher: support::dispatcher_with(classes, SERVERS, SLOTS),
            queued: collections::HashSet::new(),
            leases: Vec::new(),
            requests_sent: 0,
            limit_to_slots,
            now: Millis(0),
        }
    }

    fn apply(&mut self, event: &Event) {
        let now = self.now;
        let actions = match event {
            Event::Request(gateway, class, deadline, fingerprint, exclude) => {
                self.requests_sent += 1;
                let mut request = support::lease_request(self.requests_sent);
                request.class = ClassId::of(if *class { "read" } else { "search" });
                request.caller = CallerHash(u64::from(fingerprint % 4));
                request.route = RouteHash(u64::from(fingerprint % 3));
                request.fingerprint = Fingerprint(u128::from(*fingerprint));
                request.remaining_ms = *deadline;
                request.exclude = exclude
                    .iter()
                    .map(|index| support::backend(*index))
                    .collect();
                self.queued.insert((VmId(*gateway), request.request_id));
                self.dispatcher.request_lease(VmId(*gateway), request, now)
            }
            Event::Report(which, outcome, leaving) => {
                if self.leases.is_empty() {
                    return;
                }
                let outcome = LeaseOutcome::iter().nth(*outcome).expect("seven outcomes");
                let (gateway, grant) = self.leases.remove(which % self.leases.len());
                let mut report = support::report(&grant, outcome, 20);
                report.leaving = *leaving;
                self.dispatcher.report_end(gateway, report, now)
            }
            Event::Cancel(which) => {
                let Some(id) = self.queued.iter().min().copied().filter(|_| which % 2 == 0) else {
                    return;
                };
                self.queued.remove(&id);
                self.dispatcher.cancel(id.0, id.1, now)
            }
            Event::RemoveGateway(gateway) => {
                self.queued.retain(|(held, _)| held.0 != *gateway);
                self.leases.retain(|(held, _)| held.0 != *gateway);
                self.dispatcher.remove_gateway(VmId(*gateway), now)
            }
            Event::Probe(index, ok) => {
                self.dispatcher
                    .on_probe_result(support::backend(*index), *ok, now)
            }
            Event::List(states) => self.list(states),
            Event::CrashSuspect(fingerprint, losses) => {
                let reported = [(Fingerprint(u128::from(*fingerprint)), *losses)];
                self.dispatcher.set_crash_suspects(reported, now)
            }
            Event::Adopt(gateway, index, deadline) => {
                self.requests_sent += 1;
                let held = HeldLease {
                    // Small numbers could collide with the dispatcher's own ids without its salt.
                    lease: LeaseId((1 << 32) | (self.requests_sent % 4)),
                    backend: support::backend(*index),
                    class: ClassId::of("read"),
                    caller: CallerHash(self.requests_sent % 4),
                    fingerprint: Fingerprint(u128::from(self.requests_sent % 4)),
                    age_ms: self.requests_sent as u32 % 300,
                    remaining_ms: *deadline,
                };
                let adopted = HeldLeases {
                    shard: support::shard(),
                    leases: vec![held],
                };
                self.dispatcher.adopt_leases(VmId(*gateway), &adopted, now)
            }
            Event::Tick => {
                let actions = self.dispatcher.tick(now);
                let due = self.dispatcher.next_deadline();
                assert!(
                    due.is_none_or(|due| due > now),
                    "deadline still due after a tick: {due:?}"
                );
                actions
            }
        };
        self.check_actions(actions);
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

    fn check_actions(&mut self, actions: Vec<DispatchAction>) {
        let status = self.dispatcher.status(self.now);
        for action in actions {
            let DispatchAction::Reply { gateway, reply } = action else {
                continue;
            };
            let request_id = reply.request_id();
            assert!(
                self.queued.remove(&(gateway, request_id)),
                "second reply to {request_id:?}"
            );
            if let LeaseReply::Grant(grant) = reply {
                let server = status
                    .servers
                    .iter()
                    .find(|server| server.backend == grant.backend);
                let state = server.expect("a granted backend server is listed").state;
                assert!(
                    in_service(state) || state == ServerState::Trial,
                    "grant on a backend server that is {state}"
                );
                self.leases.push((gateway, grant));
            }
        }
        let servers = status.servers.iter();
        let in_service_count = servers.filter(|server| in_service(server.state)).count();
        assert!(
            in_service_count >= status.min_in_service,
            "fewer backend servers in service than the floor requires: {status:?}"
        );
        for server in &status.servers {
            let within_limit = !self.limit_to_slots || server.leases_held <= SLOTS;
            assert!(within_limit, "more leases than slots: {server:?}");
        }
        assert_eq!(status.entry_counts[1], self.queued.len());
    }

    fn run(&mut self, events: Vec<(Event, u64)>) -> [usize; 4] {
        for (event, pause_ms) in events {
            self.apply(&event);
            self.now = self.now + pause_ms;
        }
        self.drain()
    }

    /// Ends all leases, lets all evidence expire and returns the remaining entry counts.
    fn drain(&mut self) -> [usize; 4] {
        for (gateway, grant) in std::mem::take(&mut self.leases) {
            let report = support::report(&grant, LeaseOutcome::Completed, 20);
            let actions = self.dispatcher.report_end(gateway, report, self.now);
            self.check_actions(actions);
        }
        let actions = self.dispatcher.set_crash_suspects([], self.now);
        self.check_actions(actions);
        for _ in 0..3 {
            self.now = self.now + 300_000;
            let actions = self.dispatcher.tick(self.now);
            self.check_actions(actions);
        }
        assert!(
            self.queued.is_empty(),
            "requests without a reply: {:?}",
            self.queued
        );
        self.dispatcher.status(self.now).entry_counts
    }
}

fn in_service(state: ServerState) -> bool {
    use ServerState::{EjectionSuppressed, Serving, SlowStart};
    matches!(state, Serving | SlowStart | EjectionSuppressed)
}

fn event_or_adoption() -> impl Strategy<Value = Event> {
    let adopted = (0..3_u32, 0..SERVERS + 1, 0..1_500_u32);
    let adopted =
        adopted.prop_map(|(gateway, index, deadline)| Event::Adopt(gateway, index, deadline));
    prop_oneof![9 => event(), 1 => adopted]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against leases beyond the slots, a violated floor, a missing or second reply, a grant
    /// on a backend server out of service, a deadline that is still due after a tick, and entries
    /// that remain after all leases ended.
    #[test]
    fn state_stays_consistent_for_any_events(events in prop::collection::vec((event(), 0..120_u64), 1..160)) {
        prop_assert_eq!(Model::new(true).run(events), [0; 4]);
    }

    /// Guards against the same faults while leases are adopted, which may exceed the slots.
    #[test]
    fn state_stays_consistent_with_adopted_leases(
        events in prop::collection::vec((event_or_adoption(), 0..120_u64), 1..160),
    ) {
        prop_assert_eq!(Model::new(false).run(events), [0; 4]);
    }
}
