//! The gateways of the model: what the shell around the decision logic does.

use rand::Rng;
use toucanledge_claims::{
    AttemptAction, AttemptRequest, ClaimAttempt, ClaimOutcome, PeerHistoryReport, RecordDelivery,
    VoteDecision, VoteRefusal, VoteReply,
};
use toucanledge_core::{Incarnation, VmId};

use super::{
    BEAT_MS, Ended, Event, Fleet, Mail, PATIENCE_MS, PULSE_MS, QUIET_RUN_MS, Request, answer,
};

impl Fleet {
    pub(super) fn receive(&mut self, to: u32, from: u32, mail: Mail) {
        let clock = self.clock(to);
        let gateway = self.at(to);
        match mail {
            Mail::Beat(report) => {
                let heard = (report.incarnation, report.sent_at);
                let greatest = gateway.heard.entry(from).or_insert(heard);
                *greatest = heard.max(*greatest);
                gateway.history.apply_peer_report(report, clock);
            }
            Mail::Ask(ask) => {
                let verdict = gateway.voter.handle_request(&ask, &gateway.history, clock);
                let reply = VoteReply {
                    key: ask.key,
                    attempt: ask.attempt,
                    decision: verdict,
                };
                self.send(to, VmId(from), &Mail::Reply(reply));
            }
            Mail::Reply(reply) => self.reply(to, from, &reply),
            Mail::Record(record) => gateway.voter.apply_record(record, clock),
            Mail::ListAsk(version) => {
                if let Some(list) = gateway.history.list(version).cloned() {
                    self.send(to, VmId(from), &Mail::List(list));
                }
            }
            Mail::List(list) if gateway.learns => {
                gateway.history.add_list(list, clock);
            }
            Mail::List(_) => {}
        }
    }

    fn reply(&mut self, to: u32, from: u32, reply: &VoteReply) {
        let clock = self.clock(to);
        if let VoteDecision::Refused(VoteRefusal::ListVersion, version) = reply.decision {
            self.send(to, VmId(from), &Mail::ListAsk(version));
        }
        for request in 0..self.at(to).requests.len() {
            let attempt = &mut self.at(to).requests[request].attempt;
            if attempt.id() == reply.attempt {
                let step = attempt.handle_reply(VmId(from), reply.clone(), clock);
                self.act(to, request, step);
            }
        }
    }

    pub(super) fn beat(&mut self, from: u32, event: Event) {
        let clock = self.clock(from);
        let gateway = &self.gateways[from as usize];
        let report = gateway.history.report(clock);
        let incarnation = Incarnation(report.sent_at.0 - clock.0);
        let heard = gateway.heard.clone();
        for to in 0..u32::try_from(self.gateways.len()).expect("few gateways") {
            let beat = PeerHistoryReport {
                peer: VmId(from),
                incarnation,
                established: report.established,
                list_version: report.list_version,
                history: report.history.clone(),
                sent_at: report.sent_at,
                echo: heard.get(&to).map(|(_, sent)| *sent),
            };
            self.send(from, VmId(to), &Mail::Beat(beat));
        }
        self.schedule(BEAT_MS, from, event);
    }

    pub(super) fn pulse(&mut self, number: u32, event: Event) {
        let clock = self.clock(number);
        let newest = &self.platform;
        let gateway = &mut self.gateways[number as usize];
        if gateway.learns {
            if gateway.platform && gateway.history.newest_version() < Some(newest.version) {
                gateway.history.add_list(newest.clone(), clock);
            }
            for (version, peer) in self.at(number).history.missing_versions() {
                self.send(number, peer, &Mail::ListAsk(version));
            }
        }
        let gateway = self.at(number);
        gateway.history.tick(clock);
        gateway.voter.expire(clock);
        for request in 0..gateway.requests.len() {
            let step = self.at(number).requests[request].attempt.tick(clock);
            self.act(number, request, step);
        }
        self.schedule(PULSE_MS, number, event);
    }

    pub(super) fn claim(&mut self, number: u32, slot_wait: u64) {
        let clock = self.clock(number);
        let (key, came, rules, random) = (self.key, self.now, self.rules, self.random.random());
        let gateway = self.at(number);
        let vms = gateway.history.newest_list().cloned();
        let Some(vms) = vms.filter(|_| gateway.alive && gateway.queued.is_none()) else {
            return;
        };
        let request = AttemptRequest {
            key,
            attempt_id: gateway.next_id(number, clock),
            deadline: clock + PATIENCE_MS + slot_wait,
            jitter_seed: random,
        };
        let (attempt, step) = ClaimAttempt::start_with_rules(request, &vms, rules, clock);
        gateway.requests.push(Request {
            attempt,
            came,
            slot_wait,
            waits_for_slot: false,
        });
        let last = gateway.requests.len() - 1;
        self.act(number, last, step);
    }

    fn act(&mut self, number: u32, request: usize, step: AttemptAction) {
        match step {
            AttemptAction::Wait(_) | AttemptAction::Done => {}
            AttemptAction::RequestVotes {
                request: ask,
                voters,
                release,
                ..
            } => {
                self.deliver(number, release);
                for voter in voters {
                    self.send(number, voter, &Mail::Ask(ask));
                }
            }
            AttemptAction::Dispatch(_) => self.wait_for_slot(number, request),
            AttemptAction::ReleaseVotes { release, .. }
            | AttemptAction::AwaitHolder { release, .. } => {
                self.deliver(number, Some(release));
            }
            AttemptAction::Retry => self.retry(number, request),
            AttemptAction::Replay { release, .. } => {
                self.ended.push(Ended::Replayed);
                self.deliver(number, Some(release));
            }
            AttemptAction::Refuse { reason, release } => {
                self.ended.push(Ended::Refused(reason));
                self.deliver(number, release);
            }
        }
    }

    fn retry(&mut self, number: u32, request: usize) {
        let clock = self.clock(number);
        let random = self.random.random();
        let gateway = self.at(number);
        let id = gateway.next_id(number, clock);
        let list = gateway.history.newest_list().expect("a list is known");
        let step = gateway.requests[request]
            .attempt
            .retry(id, list, random, clock);
        self.act(number, request, step);
    }

    fn wait_for_slot(&mut self, number: u32, request: usize) {
        let gateway = self.at(number);
        let life = gateway.life;
        let place = &mut gateway.requests[request];
        if !std::mem::replace(&mut place.waits_for_slot, true) {
            let wait = place.slot_wait;
            self.schedule(wait, number, Event::Dispatch(life, request));
        }
    }

    pub(super) fn dispatch(&mut self, number: u32, request: usize) {
        let (clock, now) = (self.clock(number), self.now);
        let run_time = if self.noisy {
            self.random.random_range(1..500)
        } else {
            QUIET_RUN_MS
        };
        let gateway = self.at(number);
        let life = gateway.life;
        let place = &mut gateway.requests[request];
        if !place.attempt.try_dispatch(clock) {
            let step = place.attempt.tick(clock);
            return self.act(number, request, step);
        }
        let (id, came) = (place.attempt.id(), place.came);
        let earlier = self.runs.iter().rev();
        let window = self.window;
        if let Some((earlier, _)) = earlier.clone().find(|(_, at)| now - at < window) {
            self.violation.get_or_insert((*earlier, id));
        }
        self.runs.push((id, now));
        self.ended.push(Ended::Dispatched(now - came));
        self.schedule(run_time, number, Event::Finish(life, request));
    }

    pub(super) fn finish(&mut self, number: u32, request: usize) {
        let result = match self.random.random_range(0..10) {
            0 if self.noisy => ClaimOutcome::NotRun,
            1 if self.noisy => ClaimOutcome::Unknown,
            _ => ClaimOutcome::Ran(answer()),
        };
        let attempt = &mut self.at(number).requests[request].attempt;
        let id = attempt.id();
        let delivery = attempt.finish(result.clone());
        if result == ClaimOutcome::NotRun {
            self.runs.retain(|(run, _)| *run != id);
        }
        self.deliver(number, delivery);
    }

    fn deliver(&mut self, from: u32, delivery: Option<RecordDelivery>) {
        if let Some(delivery) = delivery {
            for voter in delivery.voters {
                self.send(from, voter, &Mail::Record(delivery.record.clone()));
            }
        }
    }
}
