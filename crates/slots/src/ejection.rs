//! Ejection of suspect backend servers within the floor, and their return.

use std::cmp;

use toucanledge_core::{Millis, TableRevision};

use crate::dispatcher::ShardDispatcher;
use crate::lease;
use crate::server;
use crate::timing;
use crate::transport;
use crate::{
    DispatchAction, EjectionEvent, EjectionReason, LeaseOutcome, ReinstatementEvent,
    ReinstatementReason,
};

/// Absence after the first ejection.
const ABSENCE_MS: u64 = 2_000;
/// Longest absence.
const ABSENCE_MAX_MS: u64 = 60_000;
/// Time during which an ejection lengthens the next absence.
const HISTORY_MS: u64 = 300_000;
/// Wait for the result of a probe.
pub(crate) const PROBE_MS: u64 = 1_000;
/// Good requests that end a trial.
const TRIAL_REQUESTS: u32 = 3;
/// Age at which a trial request has failed, and the multiple of the class median.
const TRIAL_STALL_MS: u64 = 150;
const TRIAL_STALL_MEDIANS: u64 = 8;
/// Time between two judgements of stalls.
const JUDGE_MS: u64 = 5;

impl ShardDispatcher {
    /// Ejects and returns backend servers as the evidence and the floor demand.
    pub(crate) fn settle(&mut self, now: Millis, steps: &mut Vec<DispatchAction>) {
        if now.since(self.last_judged) >= JUDGE_MS {
            self.judge(now, steps);
        }
        self.ration(now, steps);
    }

    pub(crate) fn judge(&mut self, now: Millis, steps: &mut Vec<DispatchAction>) {
        self.last_judged = now;
        self.judge_age(now);
        self.sample_short_use(now);
        for key in self.servers.arena.keys().collect::<Vec<_>>() {
            self.advance_phase(key, now, steps);
            let stall = self.stall_of(key, now);
            let server = &mut self.servers.arena[key];
            let fault = transport::failures_of(server, now).max(stall);
            server.fault = fault.filter(|_| server.serves());
            if server.fault.is_none() {
                server.kept_since = None;
            }
        }
    }

    fn advance_phase(
        &mut self,
        key: server::ServerKey,
        now: Millis,
        steps: &mut Vec<DispatchAction>,
    ) {
        let server = &mut self.servers.arena[key];
        if let Some(since) = server.confirming
            && now.since(since) >= PROBE_MS
        {
            server.confirming = None;
            let backend = server.vm;
            self.suspicions.refute(backend);
        }
        if self.servers.arena[key].leaving() {
            return;
        }
        match self.servers.arena[key].phase {
            server::ServerPhase::Absent(until) if until <= now => self.probe(key, now, steps),
            server::ServerPhase::Probing(since) if now.since(since) >= PROBE_MS => {
                self.eject_again(key, now, steps);
            }
            server::ServerPhase::Trial(trial) if self.trial_stalls(key, trial.since, now) => {
                self.eject_again(key, now, steps);
            }
            _ => {}
        }
    }

    fn probe(&mut self, key: server::ServerKey, now: Millis, steps: &mut Vec<DispatchAction>) {
        let server = &mut self.servers.arena[key];
        server.phase = server::ServerPhase::Probing(now);
        self.counters.probes += 1;
        steps.push(DispatchAction::Probe { backend: server.vm });
    }

    fn trial_stalls(&self, key: server::ServerKey, since: Millis, now: Millis) -> bool {
        let leases = &self.servers.arena[key].leases;
        leases
            .iter()
            .map(|key| &self.leases.arena[*key])
            .filter(|lease| lease.start >= since && !lease.expected_long())
            .any(|lease| lease.age(now) > self.trial_limit(lease))
    }

    fn trial_limit(&self, lease: &lease::Lease) -> u64 {
        let class = self.classes.get(lease.mark.class);
        let median = class.and_then(|class| class.median.millis()).unwrap_or(0);
        TRIAL_STALL_MS.max(TRIAL_STALL_MEDIANS * median)
    }

    /// Takes the result of a probe.
    pub(crate) fn take_probe(
        &mut self,
        key: server::ServerKey,
        ok: bool,
        now: Millis,
        steps: &mut Vec<DispatchAction>,
    ) {
        let server = &mut self.servers.arena[key];
        let backend = server.vm;
        if server.confirming.take().is_some() {
            if ok {
                self.suspicions.refute(backend);
            } else {
                self.confirm_crash(key, now, steps);
            }
        }
        if let server::ServerPhase::Probing(_) = self.servers.arena[key].phase {
            self.start_trial(key, ok, now, steps);
        }
    }

    fn start_trial(
        &mut self,
        key: server::ServerKey,
        ok: bool,
        now: Millis,
        steps: &mut Vec<DispatchAction>,
    ) {
        if !ok {
            self.eject_again(key, now, steps);
            return;
        }
        let trial = server::TrialProgress {
            since: now,
            good: 0,
        };
        self.servers.arena[key].phase = server::ServerPhase::Trial(trial);
    }

    /// Counts a request that ended at a backend server on trial.
    pub(crate) fn observe_trial(
        &mut self,
        lease: &lease::Lease,
        outcome: LeaseOutcome,
        service: u64,
        now: Millis,
        steps: &mut Vec<DispatchAction>,
    ) {
        let limit = self.trial_limit(lease);
        let Some(server) = self.servers.arena.get_mut(lease.server) else {
            return;
        };
        let server::ServerPhase::Trial(trial) = &mut server.phase else {
            return;
        };
        if lease.start < trial.since {
            return;
        }
        match outcome {
            LeaseOutcome::Completed if service <= limit => {
                trial.good += 1;
                if trial.good >= TRIAL_REQUESTS {
                    self.bring_back(lease.server, ReinstatementReason::TrialPassed, steps);
                }
            }
            LeaseOutcome::Shed | LeaseOutcome::Cancelled => {}
            _ => self.eject_again(lease.server, now, steps),
        }
    }

    /// Keeps the ejected backend servers within the floor and ejects the most unhealthy first.
    fn ration(&mut self, now: Millis, steps: &mut Vec<DispatchAction>) {
        while self.out_count() > self.out_limit() {
            let Some((key, _)) = self.least_faulty_out() else {
                return;
            };
            self.bring_back(key, ReinstatementReason::Floor, steps);
        }
        let mut suspects: Vec<(server::ServerFault, server::ServerKey)> = self
            .servers
            .arena
            .iter()
            .filter(|(_, server)| server.serves())
            .filter_map(|(key, server)| Some((server.fault?, key)))
            .collect();
        suspects.sort_unstable_by_key(|(fault, _)| cmp::Reverse(*fault));
        for (fault, key) in suspects {
            self.eject_or_keep(key, fault, now, steps);
        }
    }

    fn eject_or_keep(
        &mut self,
        key: server::ServerKey,
        fault: server::ServerFault,
        now: Millis,
        steps: &mut Vec<DispatchAction>,
    ) {
        if self.out_count() < self.out_limit() {
            self.eject(key, fault, now, steps);
            return;
        }
        // Only a graver kind of fault displaces, otherwise two stalled servers would alternate.
        let displaced = self
            .least_faulty_out()
            .filter(|(_, least)| self.out_limit() > 0 && least.reason < fault.reason);
        if let Some((other, _)) = displaced {
            self.bring_back(other, ReinstatementReason::Displaced, steps);
            self.eject(key, fault, now, steps);
        } else if self.servers.arena[key].kept_since.is_none() {
            let table = self.table();
            let server = &mut self.servers.arena[key];
            server.kept_since = Some(now);
            self.counters.ejections_suppressed += 1;
            steps.push(DispatchAction::EjectionSuppressed(note_of(
                server, fault, now, table,
            )));
            if fault.reason == EjectionReason::Crash {
                self.report_crash(key, steps);
            }
        }
    }

    pub(crate) fn out_count(&self) -> usize {
        let servers = self.servers.arena.values();
        servers
            .filter(|server| server.counts() && server.out())
            .count()
    }

    /// Returns how many backend servers the floor lets be out of service.
    pub(crate) fn out_limit(&self) -> usize {
        let servers = self.servers.arena.values();
        let live = servers.filter(|server| server.counts()).count();
        live - self.kept_minimum(live)
    }

    pub(crate) fn kept_minimum(&self, live: usize) -> usize {
        let floor = self
            .policy
            .as_ref()
            .map_or(1.0, crate::ShardPolicy::max_floor)
            .clamp(0.0, 1.0);
        // 0.55 of 20 is 11.000000000000002 as a float; the excess must not count as a server.
        let kept = (floor * timing::float_of(live as u64) - 1e-9).ceil();
        (timing::whole_of(kept) as usize).min(live)
    }

    fn least_faulty_out(&self) -> Option<(server::ServerKey, server::ServerFault)> {
        self.servers
            .arena
            .iter()
            .filter(|(_, server)| server.counts() && server.out())
            .filter_map(|(key, server)| Some((key, server.absence?)))
            .min_by_key(|(_, absence)| (absence.fault.reason, absence.since))
            .map(|(key, absence)| (key, absence.fault))
    }

    fn eject(
        &mut self,
        key: server::ServerKey,
        fault: server::ServerFault,
        now: Millis,
        steps: &mut Vec<DispatchAction>,
    ) {
        let table = self.table();
        let server = &mut self.servers.arena[key];
        server.ejections.retain(|at| now.since(*at) < HISTORY_MS);
        let doublings = server.ejections.len().min(5);
        let until = now + (ABSENCE_MS << doublings).min(ABSENCE_MAX_MS);
        server.ejections.push(now);
        server.phase = server::ServerPhase::Absent(until);
        server.absence = Some(server::Absence {
            fault,
            since: now,
            until,
            table,
        });
        server.clear_evidence();
        self.counters.ejections += 1;
        steps.push(DispatchAction::Ejected(note_of(
            server, fault, until, table,
        )));
        if fault.reason == EjectionReason::Crash {
            self.report_crash(key, steps);
        }
    }

    /// Sends a backend server that failed its probe or trial away for longer.
    fn eject_again(
        &mut self,
        key: server::ServerKey,
        now: Millis,
        steps: &mut Vec<DispatchAction>,
    ) {
        let Some(absence) = self.servers.arena[key].absence else {
            return;
        };
        self.eject(key, absence.fault, now, steps);
    }

    fn bring_back(
        &mut self,
        key: server::ServerKey,
        reason: ReinstatementReason,
        steps: &mut Vec<DispatchAction>,
    ) {
        let table = self.table();
        let server = &mut self.servers.arena[key];
        server.phase = server::ServerPhase::Serving;
        server.absence = None;
        server.clear_evidence();
        self.counters.reinstatements += 1;
        steps.push(DispatchAction::Reinstated(ReinstatementEvent {
            backend: server.vm,
            row: server.row.clone(),
            table_revision: table,
            reason,
        }));
    }
}

fn note_of(
    server: &server::Server,
    fault: server::ServerFault,
    until: Millis,
    table: TableRevision,
) -> EjectionEvent {
    EjectionEvent {
        backend: server.vm,
        row: server.row.clone(),
        table_revision: table,
        reason: fault.reason,
        evidence_count: fault.evidence,
        oldest_stall_ms: fault.age,
        peer_median_ms: fault.peer_median,
        ejected_until: until,
    }
}
