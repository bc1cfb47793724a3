//! Gateways of the simulated fleet: the driver around the state machines.

use rand::Rng;
use toucanledge_claims::{
    AttemptAction, AttemptRequest, ClaimAttempt, ClaimOutcome, PeerHistoryReport, RecordDelivery,
    VoteDecision, VoteRefusal, VoteReply,
};
use toucanledge_core::{Incarnation, VmId};

use super::{
    DEFAULT_EXECUTION_MS, Event, Fleet, HEARTBEAT_INTERVAL_MS, Message, Outcome,
    REQUEST_TIMEOUT_MS, Request, TICK_INTERVAL_MS, stored_response,
};

impl Fleet {
    pub(super) fn handle_message(&mut self, to: u32, from: u32, message: Message) {
        let clock = self.clock(to);
        let gateway = self.gateway_mut(to);
        match message {
            Message::Heartbeat(report) => {
                let received = (report.incarnation, report.sent_at);
                let newest = gateway.newest_received.entry(from).or_insert(received);
                *newest = received.max(*newest);
                gateway.history.apply_peer_report(report, clock);
            }
            Message::VoteRequest(request) => {
                let decision = gateway
                    .voter
                    .handle_request(&request, &gateway.history, clock);
                let reply = VoteReply {
                    key: request.key,
                    attempt: request.attempt,
                    decision,
                };
                self.send(to, VmId(from), &Message::VoteReply(reply));
            }
            Message::VoteReply(reply) => self.handle_vote_reply(to, from, &reply),
            Message::OutcomeRecord(record) => gateway.voter.apply_record(record, clock),
            Message::ListRequest(version) => {
                if let Some(list) = gateway.history.list(version).cloned() {
                    self.send(to, VmId(from), &Message::List(list));
                }
            }
            Message::List(list) if gateway.accepts_lists => {
                gateway.history.add_list(list, clock);
            }
            Message::List(_) => {}
        }
    }

    fn handle_vote_reply(&mut self, to: u32, from: u32, reply: &VoteReply) {
        let clock = self.clock(to);
        if let VoteDecision::Refused(VoteRefusal::ListVersion, version) = reply.decision {
            self.send(to, VmId(from), &Message::ListRequest(version));
        }
        for request in 0..self.gateway_mut(to).requests.len() {
            let attempt = &mut self.gateway_mut(to).requests[request].attempt;
            if attempt.id() == reply.attempt {
                let action = attempt.handle_reply(VmId(from), reply.clone(), clock);
                self.perform(to, request, action);
            }
        }
    }

    pub(super) fn send_heartbeats(&mut self, from: u32, event: Event) {
        let clock = self.clock(from);
        let gateway = &self.gateways[from as usize];
        let report = gateway.history.report(clock);
        let incarnation = Incarnation(report.sent_at.0 - clock.0);
        let newest_received = gateway.newest_received.clone();
        for to in
            0..u32::try_from(self.gateways.len()).expect("the number of gateways fits into u32")
        {
            let heartbeat = PeerHistoryReport {
                peer: VmId(from),
                incarnation,
                established: report.established,
                list_version: report.list_version,
                history: report.history.clone(),
                sent_at: report.sent_at,
                echo: newest_received.get(&to).map(|(_, sent)| *sent),
            };
            self.send(from, VmId(to), &Message::Heartbeat(heartbeat));
        }
        self.schedule(HEARTBEAT_INTERVAL_MS, from, event);
    }

    pub(super) fn tick(&mut self, number: u32, event: Event) {
        let clock = self.clock(number);
        let published = &self.platform;
        let gateway = &mut self.gateways[number as usize];
        if gateway.accepts_lists {
            if gateway.platform_reachable
                && gateway.history.newest_version() < Some(published.version)
            {
                gateway.history.add_list(published.clone(), clock);
            }
            for (version, peer) in self.gateway_mut(number).history.missing_versions() {
                self.send(number, peer, &Message::ListRequest(version));
            }
        }
        let gateway = self.gateway_mut(number);
        gateway.history.tick(clock);
        gateway.voter.expire(clock);
        for request in 0..gateway.requests.len() {
            let action = self.gateway_mut(number).requests[request]
                .attempt
                .tick(clock);
            self.perform(number, request, action);
        }
        self.schedule(TICK_INTERVAL_MS, number, event);
    }

    pub(super) fn handle_request(&mut self, number: u32, slot_wait_ms: u64) {
        let clock = self.clock(number);
        let (key, received_at, rules, jitter_seed) =
            (self.key, self.now, self.rules, self.random.random());
        let gateway = self.gateway_mut(number);
        let list = gateway.history.newest_list().cloned();
        let Some(list) = list.filter(|_| gateway.alive && gateway.queued_events.is_none()) else {
            return;
        };
        let request = AttemptRequest {
            key,
            attempt_id: gateway.next_id(number, clock),
            deadline: clock + REQUEST_TIMEOUT_MS + slot_wait_ms,
            jitter_seed,
        };
        let (attempt, action) = ClaimAttempt::start_with_rules(request, &list, rules, clock);
        gateway.requests.push(Request {
            attempt,
            received_at,
            slot_wait_ms,
            waits_for_slot: false,
        });
        let index = gateway.requests.len() - 1;
        self.perform(number, index, action);
    }

    fn perform(&mut self, number: u32, request: usize, action: AttemptAction) {
        match action {
            AttemptAction::Wait(_) | AttemptAction::Done => {}
            AttemptAction::RequestVotes {
                request: vote_request,
                voters,
                release,
                ..
            } => {
                self.send_record(number, release);
                for voter in voters {
                    self.send(number, voter, &Message::VoteRequest(vote_request));
                }
            }
            AttemptAction::Dispatch(_) => self.wait_for_slot(number, request),
            AttemptAction::ReleaseVotes { release, .. }
            | AttemptAction::AwaitHolder { release, .. } => {
                self.send_record(number, Some(release));
            }
            AttemptAction::Retry => self.retry(number, request),
            AttemptAction::Replay { release, .. } => {
                self.outcomes.push(Outcome::Replayed);
                self.send_record(number, Some(release));
            }
            AttemptAction::Refuse { reason, release } => {
                self.outcomes.push(Outcome::Refused(reason));
                self.send_record(number, release);
            }
        }
    }

    fn retry(&mut self, number: u32, request: usize) {
        let clock = self.clock(number);
        let jitter_seed = self.random.random();
        let gateway = self.gateway_mut(number);
        let id = gateway.next_id(number, clock);
        let list = gateway
            .history
            .newest_list()
            .expect("a gateway with a request has a list");
        let action = gateway.requests[request]
            .attempt
            .retry(id, list, jitter_seed, clock);
        self.perform(number, request, action);
    }

    fn wait_for_slot(&mut self, number: u32, request: usize) {
        let gateway = self.gateway_mut(number);
        let generation = gateway.generation;
        let entry = &mut gateway.requests[request];
        if !std::mem::replace(&mut entry.waits_for_slot, true) {
            let wait = entry.slot_wait_ms;
            self.schedule(wait, number, Event::Dispatch(generation, request));
        }
    }

    pub(super) fn dispatch(&mut self, number: u32, request: usize) {
        let (clock, now) = (self.clock(number), self.now);
        let execution_ms = if self.network_faults {
            self.random.random_range(1..500)
        } else {
            DEFAULT_EXECUTION_MS
        };
        let gateway = self.gateway_mut(number);
        let generation = gateway.generation;
        let entry = &mut gateway.requests[request];
        if !entry.attempt.try_dispatch(clock) {
            let action = entry.attempt.tick(clock);
            return self.perform(number, request, action);
        }
        let (id, received_at) = (entry.attempt.id(), entry.received_at);
        let earlier = self.dispatches.iter().rev();
        let window_ms = self.window_ms;
        if let Some((earlier, _)) = earlier.clone().find(|(_, at)| now - at < window_ms) {
            self.violation.get_or_insert((*earlier, id));
        }
        self.dispatches.push((id, now));
        self.outcomes.push(Outcome::Dispatched(now - received_at));
        self.schedule(execution_ms, number, Event::Finish(generation, request));
    }

    pub(super) fn finish(&mut self, number: u32, request: usize) {
        let outcome = match self.random.random_range(0..10) {
            0 if self.network_faults => ClaimOutcome::NotRun,
            1 if self.network_faults => ClaimOutcome::Unknown,
            _ => ClaimOutcome::Ran(stored_response()),
        };
        let attempt = &mut self.gateway_mut(number).requests[request].attempt;
        let id = attempt.id();
        let delivery = attempt.finish(outcome.clone());
        if outcome == ClaimOutcome::NotRun {
            self.dispatches.retain(|(dispatched, _)| *dispatched != id);
        }
        self.send_record(number, delivery);
    }

    fn send_record(&mut self, from: u32, delivery: Option<RecordDelivery>) {
        if let Some(delivery) = delivery {
            for voter in delivery.voters {
                self.send(
                    from,
                    voter,
                    &Message::OutcomeRecord(delivery.record.clone()),
                );
            }
        }
    }
}
