//! Ejection of suspected backend servers within the floor, probes, trials and reinstatement.

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

/// Duration of the first ejection; doubles with each recent one.
const EJECTION_BASE_MS: u64 = 2_000;
/// Longest ejection.
const EJECTION_MAX_MS: u64 = 60_000;
/// Time for which an ejection lengthens later ones.
const EJECTION_HISTORY_MS: u64 = 300_000;
/// Time after which a probe without a result has failed.
pub(crate) const PROBE_TIMEOUT_MS: u64 = 1_000;
/// Good requests after which a backend server on trial is reinstated.
const TRIAL_REQUESTS: u32 = 3;
/// Least age at which a trial request has failed.
const TRIAL_STALL_MS: u64 = 150;
/// Multiple of the class median at which a trial request has failed.
const TRIAL_STALL_MEDIANS: u64 = 8;
/// Least time between two health evaluations outside of `tick`.
const MIN_EVALUATION_INTERVAL_MS: u64 = 5;

impl ShardDispatcher {
    /// Evaluates health if an evaluation is due, then ejects and reinstates within the floor.
    pub(crate) fn update_health(&mut self, now: Millis, actions: &mut Vec<DispatchAction>) {
        if now.since(self.last_evaluated) >= MIN_EVALUATION_INTERVAL_MS {
            self.evaluate_health(now, actions);
        }
        self.enforce_floor(now, actions);
    }

    /// Advances the phases of all backend servers and updates their faults.
    pub(crate) fn evaluate_health(&mut self, now: Millis, actions: &mut Vec<DispatchAction>) {
        self.last_evaluated = now;
        self.mark_long_leases(now);
        self.sample_short_load(now);
        for key in self.servers.arena.keys().collect::<Vec<_>>() {
            self.advance_phase(key, now, actions);
            let stall = self.detect_stall(key, now);
            let server = &mut self.servers.arena[key];
            let fault = transport::transport_fault(server, now).max(stall);
            server.fault = fault.filter(|_| server.is_in_service());
            if server.fault.is_none() {
                server.ejection_suppressed_since = None;
            }
        }
    }

    fn advance_phase(
        &mut self,
        key: server::ServerKey,
        now: Millis,
        actions: &mut Vec<DispatchAction>,
    ) {
        let server = &mut self.servers.arena[key];
        if let Some(since) = server.crash_probe_sent
            && now.since(since) >= PROBE_TIMEOUT_MS
        {
            server.crash_probe_sent = None;
            let backend = server.vm;
            self.crash_suspects.dismiss_crash(backend);
        }
        if self.servers.arena[key].is_leaving() {
            return;
        }
        match self.servers.arena[key].phase {
            server::ServerPhase::Ejected(until) if until <= now => self.probe(key, now, actions),
            server::ServerPhase::Probing(since) if now.since(since) >= PROBE_TIMEOUT_MS => {
                self.eject_again(key, now, actions);
            }
            server::ServerPhase::Trial(trial) if self.trial_stalls(key, trial.since, now) => {
                self.eject_again(key, now, actions);
            }
            _ => {}
        }
    }

    fn probe(&mut self, key: server::ServerKey, now: Millis, actions: &mut Vec<DispatchAction>) {
        let server = &mut self.servers.arena[key];
        server.phase = server::ServerPhase::Probing(now);
        self.counters.probes += 1;
        actions.push(DispatchAction::Probe { backend: server.vm });
    }

    fn trial_stalls(&self, key: server::ServerKey, since: Millis, now: Millis) -> bool {
        let leases = &self.servers.arena[key].leases;
        leases
            .iter()
            .map(|key| &self.leases.arena[*key])
            .filter(|lease| lease.start >= since && !lease.expected_long())
            .any(|lease| lease.age_ms(now) > self.trial_limit_ms(lease))
    }

    fn trial_limit_ms(&self, lease: &lease::Lease) -> u64 {
        let class = self.classes.get(lease.attributes.class);
        let median = class
            .and_then(|class| class.service_median.millis())
            .unwrap_or(0);
        TRIAL_STALL_MS.max(TRIAL_STALL_MEDIANS * median)
    }

    /// Handles the result of a crash probe or of a probe after an ejection.
    pub(crate) fn handle_probe_result(
        &mut self,
        key: server::ServerKey,
        ok: bool,
        now: Millis,
        actions: &mut Vec<DispatchAction>,
    ) {
        let server = &mut self.servers.arena[key];
        let backend = server.vm;
        if server.crash_probe_sent.take().is_some() {
            if ok {
                self.crash_suspects.dismiss_crash(backend);
            } else {
                self.confirm_crash(key, now, actions);
            }
        }
        if let server::ServerPhase::Probing(_) = self.servers.arena[key].phase {
            self.start_trial(key, ok, now, actions);
        }
    }

    fn start_trial(
        &mut self,
        key: server::ServerKey,
        ok: bool,
        now: Millis,
        actions: &mut Vec<DispatchAction>,
    ) {
        if !ok {
            self.eject_again(key, now, actions);
            return;
        }
        let trial = server::TrialProgress {
            since: now,
            good_requests: 0,
        };
        self.servers.arena[key].phase = server::ServerPhase::Trial(trial);
    }

    /// Counts the outcome of a request at a backend server on trial.
    pub(crate) fn observe_trial(
        &mut self,
        lease: &lease::Lease,
        outcome: LeaseOutcome,
        service_ms: u64,
        now: Millis,
        actions: &mut Vec<DispatchAction>,
    ) {
        let limit = self.trial_limit_ms(lease);
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
            LeaseOutcome::Completed if service_ms <= limit => {
                trial.good_requests += 1;
                if trial.good_requests >= TRIAL_REQUESTS {
                    self.reinstate(lease.server, ReinstatementReason::TrialPassed, actions);
                }
            }
            LeaseOutcome::Shed | LeaseOutcome::Cancelled => {}
            _ => self.eject_again(lease.server, now, actions),
        }
    }

    /// Reinstates backend servers while the floor is violated, then ejects suspected ones, the most
    /// severe fault first.
    fn enforce_floor(&mut self, now: Millis, actions: &mut Vec<DispatchAction>) {
        while self.out_of_service() > self.max_out_of_service() {
            let Some((key, _)) = self.least_severe_ejection() else {
                return;
            };
            self.reinstate(key, ReinstatementReason::Floor, actions);
        }
        let mut faulty: Vec<(server::ServerFault, server::ServerKey)> = self
            .servers
            .arena
            .iter()
            .filter(|(_, server)| server.is_in_service())
            .filter_map(|(key, server)| Some((server.fault?, key)))
            .collect();
        faulty.sort_unstable_by_key(|(fault, _)| cmp::Reverse(*fault));
        for (fault, key) in faulty {
            self.eject_or_suppress(key, fault, now, actions);
        }
    }

    fn eject_or_suppress(
        &mut self,
        key: server::ServerKey,
        fault: server::ServerFault,
        now: Millis,
        actions: &mut Vec<DispatchAction>,
    ) {
        if self.out_of_service() < self.max_out_of_service() {
            self.eject(key, fault, now, actions);
            return;
        }
        // Only a more severe kind of fault displaces, or two stalled servers would alternate.
        let less_severe = self
            .least_severe_ejection()
            .filter(|(_, least)| self.max_out_of_service() > 0 && least.reason < fault.reason);
        if let Some((other, _)) = less_severe {
            self.reinstate(other, ReinstatementReason::Displaced, actions);
            self.eject(key, fault, now, actions);
        } else if self.servers.arena[key].ejection_suppressed_since.is_none() {
            let table_revision = self.table_revision();
            let server = &mut self.servers.arena[key];
            server.ejection_suppressed_since = Some(now);
            self.counters.ejections_suppressed += 1;
            actions.push(DispatchAction::EjectionSuppressed(ejection_event(
                server,
                fault,
                now,
                table_revision,
            )));
            if fault.reason == EjectionReason::Crash {
                self.report_crash(key, actions);
            }
        }
    }

    pub(crate) fn out_of_service(&self) -> usize {
        let servers = self.servers.arena.values();
        servers
            .filter(|server| server.counts_as_capacity() && server.is_out_of_service())
            .count()
    }

    /// Returns how many backend servers may be out of service without violating the floor.
    pub(crate) fn max_out_of_service(&self) -> usize {
        let servers = self.servers.arena.values();
        let live = servers.filter(|server| server.counts_as_capacity()).count();
        live - self.min_in_service(live)
    }

    /// Returns how many of the live backend servers the floor keeps in service.
    pub(crate) fn min_in_service(&self, live: usize) -> usize {
        let floor = self
            .policy
            .as_ref()
            .map_or(1.0, crate::ShardPolicy::max_floor)
            .clamp(0.0, 1.0);
        // 0.55 * 20 is 11.000000000000002 in floating point, which must not round up to 12.
        let minimum = (floor * timing::to_f64(live as u64) - 1e-9).ceil();
        (timing::saturating_u32(minimum) as usize).min(live)
    }

    fn least_severe_ejection(&self) -> Option<(server::ServerKey, server::ServerFault)> {
        self.servers
            .arena
            .iter()
            .filter(|(_, server)| server.counts_as_capacity() && server.is_out_of_service())
            .filter_map(|(key, server)| Some((key, server.ejection?)))
            .min_by_key(|(_, ejection)| (ejection.fault.reason, ejection.since))
            .map(|(key, ejection)| (key, ejection.fault))
    }

    fn eject(
        &mut self,
        key: server::ServerKey,
        fault: server::ServerFault,
        now: Millis,
        actions: &mut Vec<DispatchAction>,
    ) {
        let table_revision = self.table_revision();
        let server = &mut self.servers.arena[key];
        server
            .recent_ejections
            .retain(|at| now.since(*at) < EJECTION_HISTORY_MS);
        let doublings = server.recent_ejections.len().min(5);
        let until = now + (EJECTION_BASE_MS << doublings).min(EJECTION_MAX_MS);
        server.recent_ejections.push(now);
        server.phase = server::ServerPhase::Ejected(until);
        server.ejection = Some(server::Ejection {
            fault,
            since: now,
            until,
            table_revision,
        });
        server.clear_evidence();
        self.counters.ejections += 1;
        actions.push(DispatchAction::Ejected(ejection_event(
            server,
            fault,
            until,
            table_revision,
        )));
        if fault.reason == EjectionReason::Crash {
            self.report_crash(key, actions);
        }
    }

    /// Ejects a backend server again that failed its probe or trial.
    fn eject_again(
        &mut self,
        key: server::ServerKey,
        now: Millis,
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(ejection) = self.servers.arena[key].ejection else {
            return;
        };
        self.eject(key, ejection.fault, now, actions);
    }

    fn reinstate(
        &mut self,
        key: server::ServerKey,
        reason: ReinstatementReason,
        actions: &mut Vec<DispatchAction>,
    ) {
        let table_revision = self.table_revision();
        let server = &mut self.servers.arena[key];
        server.phase = server::ServerPhase::Serving;
        server.ejection = None;
        server.clear_evidence();
        self.counters.reinstatements += 1;
        actions.push(DispatchAction::Reinstated(ReinstatementEvent {
            backend: server.vm,
            row: server.row.clone(),
            table_revision,
            reason,
        }));
    }
}

fn ejection_event(
    server: &server::Server,
    fault: server::ServerFault,
    until: Millis,
    table_revision: TableRevision,
) -> EjectionEvent {
    EjectionEvent {
        backend: server.vm,
        row: server.row.clone(),
        table_revision,
        reason: fault.reason,
        evidence_count: fault.evidence_count,
        oldest_stall_ms: fault.oldest_stall_ms,
        peer_median_ms: fault.peer_median_ms,
        ejected_until: until,
    }
}
