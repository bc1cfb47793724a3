//! Claims, as attempting gateway and as voter.

use std::collections;
use std::sync;
use std::time;

use serde_json::json;
use tokio::sync::{mpsc, oneshot};
use toucanledge_claims::{
    AttemptAction, AttemptId, AttemptRequest, ClaimAttempt, ClaimLimits, ClaimOutcome, ClaimVoter,
    ListHistory, PeerHistoryReport, RecordDelivery, VoteDecision, VoteRefusal, VoteReply,
    VoteRequest,
};
use toucanledge_core::{Millis, RefusalReason, VmId, VmList};
use toucanledge_membership::Heartbeat;
use toucanledge_wire::{MessageKind, PeerMessage};

use crate::kernel::{KernelHandle, Plugin, PluginEvent, PluginName};
use crate::plugin::claim_permit::{ClaimDecision, ClaimPermit, ClaimRequest};

/// Time between two looks at the timers of attempts.
const TICK: time::Duration = time::Duration::from_millis(20);
/// Longest time in milliseconds that a request waits for the right to run.
const MAX_CLAIM_WAIT_MS: u64 = 10_000;
/// Longest time in milliseconds that a request waits for voters that only refuse.
const MAX_QUORUM_WAIT_MS: u64 = 1_000;
/// Pauses in milliseconds before a record is sent again.
const RECORD_RESEND_MS: [u64; 3] = [300, 1500, 5000];

inventory::submit! {
    Plugin {
        name: PluginName::Claims,
        kinds: &[MessageKind::VoteRequest, MessageKind::VoteReply, MessageKind::ClaimRecord],
        start,
    }
}

/// An attempt of a request that waits for its decision, or whose work is running.
struct OpenAttempt {
    attempt: ClaimAttempt,
    reply: Option<oneshot::Sender<ClaimDecision>>,
    started: Millis,
    /// A voter said that another attempt holds the key.
    held: bool,
    tick_at: Millis,
}

/// A record that is sent more than once, because links may lose it.
struct OpenRecord {
    delivery: RecordDelivery,
    sends: usize,
    due: Millis,
}

struct ClaimsPlugin {
    kernel: sync::Arc<KernelHandle>,
    history: ListHistory,
    voter: ClaimVoter,
    /// The table told the window; until then this gateway neither votes nor confirms.
    has_window: bool,
    next_counter: u64,
    attempts: collections::HashMap<AttemptId, OpenAttempt>,
    records: Vec<OpenRecord>,
}

fn start(kernel: sync::Arc<KernelHandle>, inbox: mpsc::Receiver<PluginEvent>) {
    let plugin = ClaimsPlugin {
        history: ListHistory::new(kernel.vm, kernel.incarnation, 0),
        voter: ClaimVoter::new(0, ClaimLimits::default()),
        has_window: false,
        next_counter: 0,
        attempts: collections::HashMap::new(),
        records: Vec::new(),
        kernel,
    };
    tokio::spawn(plugin.run(inbox));
}

impl ClaimsPlugin {
    async fn run(mut self, mut inbox: mpsc::Receiver<PluginEvent>) {
        let mut table = self.kernel.board.table.subscribe();
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        // A table that was published before the subscription does not count as a change.
        self.set_window();
        loop {
            tokio::select! {
                event = inbox.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
                Ok(()) = table.changed() => self.set_window(),
            }
        }
    }

    fn handle(&mut self, event: PluginEvent) {
        match event {
            PluginEvent::ClaimWanted(request) => self.want(request),
            PluginEvent::ClaimEnded(attempt, result) => self.end(attempt, result),
            PluginEvent::Peer(vm, message) => self.receive(vm, message),
            PluginEvent::Heartbeat(heartbeat) => self.hear(*heartbeat),
            PluginEvent::ListSeen(list) => {
                self.history.add_list(VmList::clone(&list), self.now());
                self.publish();
            }
            PluginEvent::StatusWanted(reply) => {
                let _ = reply.send(self.status());
            }
            _ => {}
        }
    }

    fn receive(&mut self, vm: VmId, message: PeerMessage) {
        match message {
            PeerMessage::VoteRequest(ask) => {
                let reply = self.vote(&ask);
                self.kernel.send(vm, &PeerMessage::VoteReply(reply));
            }
            PeerMessage::VoteReply(reply) => self.take_reply(vm, reply),
            PeerMessage::ClaimRecord(record) => self.voter.apply_record(record, self.now()),
            _ => {}
        }
    }

    fn now(&self) -> Millis {
        self.kernel.clock.now()
    }

    fn set_window(&mut self) {
        let Some(table) = self.kernel.board.current_table() else {
            return;
        };
        let window = table.max_window_ms();
        let now = self.now();
        self.history.set_window(window, now);
        self.voter.set_window(window, now);
        self.has_window = true;
        self.publish();
    }

    fn hear(&mut self, heartbeat: Heartbeat) {
        let report = PeerHistoryReport {
            peer: heartbeat.from,
            incarnation: heartbeat.incarnation,
            established: heartbeat.established,
            list_version: heartbeat.list_version,
            history: heartbeat.history,
            sent_at: heartbeat.sent_at,
            echo: heartbeat
                .echo
                .map(|sent| self.history.heartbeat_timestamp(sent)),
        };
        self.history.apply_peer_report(report, self.now());
        self.publish();
    }

    /// Publishes what heartbeats say of the list versions, before any vote relies on it.
    fn publish(&self) {
        let mut report = self.history.report(self.now());
        report.established &= self.has_window;
        self.kernel.board.history.send_if_modified(|known| {
            let changed = known.as_ref().is_none_or(|known| {
                (known.established, known.list_version, &known.history)
                    != (report.established, report.list_version, &report.history)
            });
            if changed {
                *known = Some(report);
            }
            changed
        });
    }

    fn vote(&mut self, ask: &VoteRequest) -> VoteReply {
        let verdict = if self.has_window {
            self.voter.handle_request(ask, &self.history, self.now())
        } else {
            VoteDecision::Refused(VoteRefusal::NotEstablished, ask.list_version)
        };
        count_verdict(&verdict);
        VoteReply {
            key: ask.key,
            attempt: ask.attempt,
            decision: verdict,
        }
    }

    fn next_attempt(&mut self) -> AttemptId {
        self.next_counter += 1;
        AttemptId {
            gateway: self.kernel.vm,
            incarnation: self.kernel.incarnation,
            counter: self.next_counter,
        }
    }

    fn want(&mut self, request: ClaimRequest) {
        let id = self.next_attempt();
        let Some(list) = self.history.newest_list() else {
            let _ = request
                .reply
                .send(ClaimDecision::refused(RefusalReason::NoQuorum));
            return;
        };
        let now = self.now();
        let deadline = request.deadline.min(now + MAX_CLAIM_WAIT_MS);
        let wish = AttemptRequest {
            key: request.key,
            attempt_id: id,
            deadline,
            jitter_seed: rand::random(),
        };
        let (attempt, step) = ClaimAttempt::start(wish, list, now);
        let open = OpenAttempt {
            attempt,
            reply: Some(request.reply),
            started: now,
            held: false,
            tick_at: now,
        };
        self.attempts.insert(id, open);
        self.act(id, step);
    }

    fn take_reply(&mut self, voter: VmId, reply: VoteReply) {
        let id = reply.attempt;
        let now = self.now();
        let Some(open) = self.attempts.get_mut(&id) else {
            return;
        };
        open.held |= matches!(reply.decision, VoteDecision::HeldBy(_));
        let step = open.attempt.handle_reply(voter, reply, now);
        self.act(id, step);
    }

    /// Does what an attempt says, until it waits or has ended.
    fn act(&mut self, id: AttemptId, step: AttemptAction) {
        match step {
            AttemptAction::Wait(tick_at) => self.wait(id, tick_at),
            AttemptAction::RequestVotes {
                request: ask,
                voters,
                release,
                next_tick: tick_at,
            } => {
                self.wait(id, tick_at);
                if let Some(release) = release {
                    self.send_record(&release);
                }
                self.ask(&ask, &voters);
            }
            AttemptAction::Dispatch(until) => self.dispatch(id, until),
            AttemptAction::ReleaseVotes {
                release,
                next_tick: tick_at,
            }
            | AttemptAction::AwaitHolder {
                release,
                next_tick: tick_at,
                ..
            } => {
                self.wait(id, tick_at);
                self.send_record(&release);
            }
            AttemptAction::Retry if self.is_hopeless(id) => {
                self.decide(id, ClaimDecision::refused(RefusalReason::NoQuorum));
            }
            AttemptAction::Retry => self.retry(id),
            AttemptAction::Replay {
                response: answer,
                release,
                ..
            } => {
                self.deliver(release);
                self.decide(id, ClaimDecision::Replay(answer));
            }
            AttemptAction::Refuse { reason, release } => {
                if let Some(release) = release {
                    self.deliver(release);
                }
                self.decide(id, ClaimDecision::refused(reason));
            }
            AttemptAction::Done => {}
        }
    }

    /// Returns whether voters only refused for longer than a caller should wait.
    fn is_hopeless(&self, id: AttemptId) -> bool {
        let now = self.now();
        self.attempts
            .get(&id)
            .is_some_and(|open| !open.held && now.since(open.started) >= MAX_QUORUM_WAIT_MS)
    }

    fn wait(&mut self, id: AttemptId, tick_at: Millis) {
        if let Some(open) = self.attempts.get_mut(&id) {
            open.tick_at = tick_at;
        }
    }

    fn ask(&mut self, ask: &VoteRequest, voters: &[VmId]) {
        for voter in voters.iter().filter(|voter| **voter != self.kernel.vm) {
            self.kernel.send(*voter, &PeerMessage::VoteRequest(*ask));
        }
        if voters.contains(&self.kernel.vm) {
            let reply = self.vote(ask);
            self.take_reply(self.kernel.vm, reply);
        }
    }

    fn dispatch(&mut self, id: AttemptId, until: Millis) {
        let now = self.now();
        let Some(open) = self.attempts.get_mut(&id) else {
            return;
        };
        let Some(reply) = open.reply.take() else {
            return;
        };
        if reply.is_closed() {
            let delivery = open.attempt.finish(ClaimOutcome::NotRun);
            self.attempts.remove(&id);
            if let Some(delivery) = delivery {
                self.deliver(delivery);
            }
            return;
        }
        if !open.attempt.try_dispatch(now) {
            open.reply = Some(reply);
            let step = open.attempt.tick(now);
            self.act(id, step);
            return;
        }
        let permit = ClaimPermit::claimed(&self.kernel, id, until);
        // When the request went away, dropping the permit ends the attempt.
        let _ = reply.send(ClaimDecision::Permit(permit));
    }

    fn retry(&mut self, id: AttemptId) {
        let Some(mut open) = self.attempts.remove(&id) else {
            return;
        };
        if open.reply.as_ref().is_none_or(oneshot::Sender::is_closed) {
            return;
        }
        let next = self.next_attempt();
        let now = self.now();
        let Some(list) = self.history.newest_list() else {
            return;
        };
        let step = open.attempt.retry(next, list, rand::random(), now);
        self.attempts.insert(next, open);
        self.act(next, step);
    }

    fn decide(&mut self, id: AttemptId, decision: ClaimDecision) {
        let open = self.attempts.remove(&id);
        if let Some(reply) = open.and_then(|open| open.reply) {
            let _ = reply.send(decision);
        }
    }

    fn end(&mut self, id: AttemptId, result: ClaimOutcome) {
        let Some(mut open) = self.attempts.remove(&id) else {
            return;
        };
        if let Some(delivery) = open.attempt.finish(result) {
            self.deliver(delivery);
        }
    }

    /// Sends a record now and a few times again.
    fn deliver(&mut self, delivery: RecordDelivery) {
        self.send_record(&delivery);
        let due = self.now() + RECORD_RESEND_MS[0];
        self.records.push(OpenRecord {
            delivery,
            sends: 1,
            due,
        });
    }

    fn send_record(&mut self, delivery: &RecordDelivery) {
        for voter in &delivery.voters {
            if *voter == self.kernel.vm {
                self.voter.apply_record(delivery.record.clone(), self.now());
            } else {
                self.kernel
                    .send(*voter, &PeerMessage::ClaimRecord(delivery.record.clone()));
            }
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        if self.has_window {
            self.history.tick(now);
            self.voter.expire(now);
        }
        self.publish();
        let due: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(_, open)| open.reply.is_some() && now >= open.tick_at)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let Some(open) = self.attempts.get_mut(&id) else {
                continue;
            };
            let step = open.attempt.tick(now);
            self.act(id, step);
        }
        self.resend_records(now);
    }

    fn resend_records(&mut self, now: Millis) {
        let (due, later) = std::mem::take(&mut self.records)
            .into_iter()
            .partition(|record| now >= record.due);
        self.records = later;
        let due: Vec<OpenRecord> = due;
        for mut record in due {
            self.send_record(&record.delivery);
            if let Some(pause) = RECORD_RESEND_MS.get(record.sends) {
                record.due = now + *pause;
                record.sends += 1;
                self.records.push(record);
            }
        }
    }

    fn status(&self) -> serde_json::Value {
        let now = self.now();
        json!({
            "established": self.history.is_established(now),
            "lease_held": self.history.is_lease_held(now),
            "history": self.history.versions().map(|version| version.0).collect::<Vec<_>>(),
            "claims": self.voter.len(),
            "claim_bytes": self.voter.bytes(),
            "open_attempts": self.attempts.len(),
        })
    }
}

fn count_verdict(verdict: &VoteDecision) {
    let name = match verdict {
        VoteDecision::Granted => "granted",
        VoteDecision::HeldBy(_) => "held",
        VoteDecision::Ended(..) => "ended",
        VoteDecision::Refused(reason, _) => reason.into(),
    };
    metrics::counter!("toucanledge_votes_total", "verdict" => name).increment(1);
}
