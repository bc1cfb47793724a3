//! Plug-in for claims: runs the claim attempts of this gateway and its voter.

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

use crate::kernel::{KernelHandle, PluginDescriptor, PluginEvent, PluginName};
use crate::plugin::claim_permit::{ClaimDecision, ClaimPermit, ClaimRequest};

/// Time between two checks of the timers of claim attempts.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Maximum time in milliseconds that a request waits for a claim.
const MAX_CLAIM_WAIT_MS: u64 = 10_000;
/// Maximum time in milliseconds that a request waits while voters only refuse.
const MAX_QUORUM_WAIT_MS: u64 = 1_000;
/// Delays in milliseconds between the sends of a record, because links may lose messages.
const RECORD_RESEND_MS: [u64; 3] = [300, 1500, 5000];

inventory::submit! {
    PluginDescriptor {
        name: PluginName::Claims,
        message_kinds: &[MessageKind::VoteRequest, MessageKind::VoteReply, MessageKind::ClaimRecord],
        start,
    }
}

/// Claim attempt of a request that waits for its decision or is running.
struct OpenAttempt {
    attempt: ClaimAttempt,
    reply: Option<oneshot::Sender<ClaimDecision>>,
    started: Millis,
    /// A voter replied that another claim attempt holds the key.
    is_held_by_other: bool,
    next_tick: Millis,
}

/// A record that is to be sent again.
struct PendingRecord {
    delivery: RecordDelivery,
    sent_count: usize,
    next_send: Millis,
}

struct ClaimsPlugin {
    kernel: sync::Arc<KernelHandle>,
    history: ListHistory,
    voter: ClaimVoter,
    /// The longest time for which a class keeps idempotency keys is known from the table; until
    /// then this gateway neither votes nor reports itself as established.
    has_window: bool,
    last_counter: u64,
    attempts: collections::HashMap<AttemptId, OpenAttempt>,
    records: Vec<PendingRecord>,
}

fn start(kernel: sync::Arc<KernelHandle>, inbox: mpsc::Receiver<PluginEvent>) {
    let plugin = ClaimsPlugin {
        history: ListHistory::new(kernel.vm, kernel.incarnation, 0),
        voter: ClaimVoter::new(0, ClaimLimits::default()),
        has_window: false,
        last_counter: 0,
        attempts: collections::HashMap::new(),
        records: Vec::new(),
        kernel,
    };
    tokio::spawn(plugin.run(inbox));
}

impl ClaimsPlugin {
    async fn run(mut self, mut inbox: mpsc::Receiver<PluginEvent>) {
        let mut table = self.kernel.state.table.subscribe();
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
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
            PluginEvent::ClaimRequested(request) => self.start_attempt(request),
            PluginEvent::ClaimFinished(attempt, outcome) => self.finish_attempt(attempt, outcome),
            PluginEvent::PeerMessage(vm, message) => self.handle_message(vm, message),
            PluginEvent::HeartbeatReceived(heartbeat) => self.handle_heartbeat(*heartbeat),
            PluginEvent::VmListReceived(list) => {
                self.history.add_list(VmList::clone(&list), self.now());
                self.publish();
            }
            PluginEvent::StatusRequested(reply) => {
                let _ = reply.send(self.status());
            }
            _ => {}
        }
    }

    fn handle_message(&mut self, vm: VmId, message: PeerMessage) {
        match message {
            PeerMessage::VoteRequest(request) => {
                let reply = self.vote(&request);
                self.kernel.send_to_peer(vm, &PeerMessage::VoteReply(reply));
            }
            PeerMessage::VoteReply(reply) => self.handle_reply(vm, reply),
            PeerMessage::ClaimRecord(record) => self.voter.apply_record(record, self.now()),
            _ => {}
        }
    }

    fn now(&self) -> Millis {
        self.kernel.clock.now()
    }

    /// Applies the longest time for which a class of the active table keeps idempotency keys.
    fn set_window(&mut self) {
        let Some(table) = self.kernel.state.current_table() else {
            return;
        };
        let window_ms = table.max_window_ms();
        let now = self.now();
        self.history.set_window(window_ms, now);
        self.voter.set_window(window_ms, now);
        self.has_window = true;
        self.publish();
    }

    fn handle_heartbeat(&mut self, heartbeat: Heartbeat) {
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

    /// Publishes the list history for the heartbeats; called before a vote relies on it.
    fn publish(&self) {
        let mut report = self.history.report(self.now());
        report.established &= self.has_window;
        self.kernel
            .state
            .list_history
            .send_if_modified(|published| {
                let changed = published.as_ref().is_none_or(|known| {
                    (known.established, known.list_version, &known.history)
                        != (report.established, report.list_version, &report.history)
                });
                if changed {
                    *published = Some(report);
                }
                changed
            });
    }

    fn vote(&mut self, request: &VoteRequest) -> VoteReply {
        let decision = if self.has_window {
            self.voter
                .handle_request(request, &self.history, self.now())
        } else {
            VoteDecision::Refused(VoteRefusal::NotEstablished, request.list_version)
        };
        count_decision(&decision);
        VoteReply {
            key: request.key,
            attempt: request.attempt,
            decision,
        }
    }

    fn next_attempt(&mut self) -> AttemptId {
        self.last_counter += 1;
        AttemptId {
            gateway: self.kernel.vm,
            incarnation: self.kernel.incarnation,
            counter: self.last_counter,
        }
    }

    fn start_attempt(&mut self, request: ClaimRequest) {
        let id = self.next_attempt();
        let Some(list) = self.history.newest_list() else {
            let _ = request
                .reply
                .send(ClaimDecision::refused(RefusalReason::NoQuorum));
            return;
        };
        let now = self.now();
        let deadline = request.deadline.min(now + MAX_CLAIM_WAIT_MS);
        let attempt_request = AttemptRequest {
            key: request.key,
            attempt_id: id,
            deadline,
            jitter_seed: rand::random(),
        };
        let (attempt, action) = ClaimAttempt::start(attempt_request, list, now);
        let open = OpenAttempt {
            attempt,
            reply: Some(request.reply),
            started: now,
            is_held_by_other: false,
            next_tick: now,
        };
        self.attempts.insert(id, open);
        self.perform(id, action);
    }

    fn handle_reply(&mut self, voter: VmId, reply: VoteReply) {
        let id = reply.attempt;
        let now = self.now();
        let Some(open) = self.attempts.get_mut(&id) else {
            return;
        };
        open.is_held_by_other |= matches!(reply.decision, VoteDecision::HeldBy(_));
        let action = open.attempt.handle_reply(voter, reply, now);
        self.perform(id, action);
    }

    /// Performs an action of a claim attempt.
    fn perform(&mut self, id: AttemptId, action: AttemptAction) {
        match action {
            AttemptAction::Wait(next_tick) => self.set_next_tick(id, next_tick),
            AttemptAction::RequestVotes {
                request,
                voters,
                release,
                next_tick,
            } => {
                self.set_next_tick(id, next_tick);
                if let Some(release) = release {
                    self.send_record(&release);
                }
                self.request_votes(&request, &voters);
            }
            AttemptAction::Dispatch(expires_at) => self.dispatch(id, expires_at),
            AttemptAction::ReleaseVotes { release, next_tick }
            | AttemptAction::AwaitHolder {
                release, next_tick, ..
            } => {
                self.set_next_tick(id, next_tick);
                self.send_record(&release);
            }
            AttemptAction::Retry if self.is_quorum_timed_out(id) => {
                self.decide(id, ClaimDecision::refused(RefusalReason::NoQuorum));
            }
            AttemptAction::Retry => self.retry(id),
            AttemptAction::Replay {
                response, release, ..
            } => {
                self.deliver(release);
                self.decide(id, ClaimDecision::Replay(response));
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

    /// Returns whether voters have only refused for the maximum time that a request waits for them.
    fn is_quorum_timed_out(&self, id: AttemptId) -> bool {
        let now = self.now();
        self.attempts.get(&id).is_some_and(|open| {
            !open.is_held_by_other && now.since(open.started) >= MAX_QUORUM_WAIT_MS
        })
    }

    fn set_next_tick(&mut self, id: AttemptId, next_tick: Millis) {
        if let Some(open) = self.attempts.get_mut(&id) {
            open.next_tick = next_tick;
        }
    }

    fn request_votes(&mut self, request: &VoteRequest, voters: &[VmId]) {
        for voter in voters.iter().filter(|voter| **voter != self.kernel.vm) {
            self.kernel
                .send_to_peer(*voter, &PeerMessage::VoteRequest(*request));
        }
        if voters.contains(&self.kernel.vm) {
            let reply = self.vote(request);
            self.handle_reply(self.kernel.vm, reply);
        }
    }

    fn dispatch(&mut self, id: AttemptId, expires_at: Millis) {
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
            let action = open.attempt.tick(now);
            self.perform(id, action);
            return;
        }
        let permit = ClaimPermit::granted(&self.kernel, id, expires_at);
        // When the receiver is gone, dropping the permit finishes the claim attempt.
        let _ = reply.send(ClaimDecision::Granted(permit));
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
        let action = open.attempt.retry(next, list, rand::random(), now);
        self.attempts.insert(next, open);
        self.perform(next, action);
    }

    fn decide(&mut self, id: AttemptId, decision: ClaimDecision) {
        let open = self.attempts.remove(&id);
        if let Some(reply) = open.and_then(|open| open.reply) {
            let _ = reply.send(decision);
        }
    }

    fn finish_attempt(&mut self, id: AttemptId, outcome: ClaimOutcome) {
        let Some(mut open) = self.attempts.remove(&id) else {
            return;
        };
        if let Some(delivery) = open.attempt.finish(outcome) {
            self.deliver(delivery);
        }
    }

    /// Sends a record now and again after each of `RECORD_RESEND_MS`.
    fn deliver(&mut self, delivery: RecordDelivery) {
        self.send_record(&delivery);
        let next_send = self.now() + RECORD_RESEND_MS[0];
        self.records.push(PendingRecord {
            delivery,
            sent_count: 1,
            next_send,
        });
    }

    fn send_record(&mut self, delivery: &RecordDelivery) {
        for voter in &delivery.voters {
            if *voter == self.kernel.vm {
                self.voter.apply_record(delivery.record.clone(), self.now());
            } else {
                self.kernel
                    .send_to_peer(*voter, &PeerMessage::ClaimRecord(delivery.record.clone()));
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
            .filter(|(_, open)| open.reply.is_some() && now >= open.next_tick)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let Some(open) = self.attempts.get_mut(&id) else {
                continue;
            };
            let action = open.attempt.tick(now);
            self.perform(id, action);
        }
        self.resend_records(now);
    }

    fn resend_records(&mut self, now: Millis) {
        let (due, later) = std::mem::take(&mut self.records)
            .into_iter()
            .partition(|record| now >= record.next_send);
        self.records = later;
        let due: Vec<PendingRecord> = due;
        for mut record in due {
            self.send_record(&record.delivery);
            if let Some(delay_ms) = RECORD_RESEND_MS.get(record.sent_count) {
                record.next_send = now + *delay_ms;
                record.sent_count += 1;
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

fn count_decision(decision: &VoteDecision) {
    let name = match decision {
        VoteDecision::Granted => "granted",
        VoteDecision::HeldBy(_) => "held",
        VoteDecision::Ended(..) => "ended",
        VoteDecision::Refused(reason, _) => reason.into(),
    };
    metrics::counter!("toucanledge_votes_total", "verdict" => name).increment(1);
}
