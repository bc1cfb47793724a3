//! Transport failures and crashes of backend servers.

use toucanledge_core::Millis;

use crate::dispatcher::ShardDispatcher;
use crate::lease;
use crate::server;
use crate::{DispatchAction, EjectionReason, LeaseOutcome};

/// Transport failures in a row that make a backend server suspect.
const FAILURES_IN_A_ROW: u32 = 3;

impl ShardDispatcher {
    /// Takes a failed probe after transport failures as a crash.
    pub(crate) fn confirm_crash(
        &mut self,
        key: server::ServerKey,
        now: Millis,
        steps: &mut Vec<DispatchAction>,
    ) {
        let server = &mut self.servers.arena[key];
        match &mut server.absence {
            Some(absence) => absence.fault.reason = EjectionReason::Crash,
            None => server.streak.crashed = true,
        }
        self.report_crash(key, steps);
        self.suspect_failures(key, now);
    }

    /// Counts transport failures and answers of a backend server.
    pub(crate) fn observe_transport(
        &mut self,
        lease: &lease::Lease,
        outcome: LeaseOutcome,
        now: Millis,
        steps: &mut Vec<DispatchAction>,
    ) {
        let key = lease.server;
        let older = self.older_leases(key);
        let Some(server) = self.servers.arena.get_mut(key) else {
            return;
        };
        match outcome {
            LeaseOutcome::Completed | LeaseOutcome::Shed => {
                server.streak = server::FailureStreak::default();
                let backend = server.vm;
                // An answer to a request from before the loss says nothing of a crash.
                if server.confirming.is_some_and(|since| lease.start >= since) {
                    server.confirming = None;
                    self.suspicions.refute(backend);
                }
            }
            LeaseOutcome::ConnectFailed => {
                server.streak.add_failure(lease.gateway);
                server.note_unreachable(lease.gateway, now);
                server.streak.connect_failed = true;
                server.streak.crashed |= server.streak.lost && older == 0;
            }
            LeaseOutcome::BadAnswer => server.streak.add_failure(lease.gateway),
            LeaseOutcome::ConnectionLost => self.observe_loss(lease, now, steps),
            LeaseOutcome::DeadlineExceeded | LeaseOutcome::Cancelled => {}
        }
        self.suspect_failures(key, now);
        self.probe_path(key, now, steps);
    }

    /// Probes a backend server that only one gateway cannot use.
    fn probe_path(&mut self, key: server::ServerKey, now: Millis, steps: &mut Vec<DispatchAction>) {
        let server = &mut self.servers.arena[key];
        let unsure = server.streak.failures == FAILURES_IN_A_ROW && server.path_fault(now);
        if unsure && server.serves() && server.confirming.is_none() {
            server.confirming = Some(now);
            self.counters.probes += 1;
            steps.push(DispatchAction::Probe { backend: server.vm });
        }
    }

    fn observe_loss(&mut self, lease: &lease::Lease, now: Millis, steps: &mut Vec<DispatchAction>) {
        let server = &mut self.servers.arena[lease.server];
        server.streak.add_failure(lease.gateway);
        server.streak.first_lost.get_or_insert(now);
        server.streak.lost = true;
        let backend = server.vm;
        let crashed = server.absence.is_some_and(|absence| {
            absence.fault.reason == EjectionReason::Crash && lease.start <= absence.since
        });
        self.suspicions
            .add_loss(lease.mark.fingerprint, backend, now);
        if crashed {
            self.report_crash(lease.server, steps);
        } else if server.confirming.is_none() {
            // Without a probe, a crash on the only request in flight would stay unnoticed.
            server.confirming = Some(now);
            self.counters.probes += 1;
            steps.push(DispatchAction::Probe { backend });
        }
    }

    /// Counts the leases that started before the first lost connection.
    fn older_leases(&self, key: server::ServerKey) -> usize {
        let Some(server) = self.servers.arena.get(key) else {
            return 0;
        };
        let Some(lost) = server.streak.first_lost else {
            return 0;
        };
        let starts = server
            .leases
            .iter()
            .map(|key| self.leases.arena[*key].start);
        starts.filter(|start| *start <= lost).count()
    }

    fn suspect_failures(&mut self, key: server::ServerKey, now: Millis) {
        let server = &mut self.servers.arena[key];
        let failures = failures_of(server, now);
        if server.serves() && failures > server.fault {
            server.fault = failures;
        }
    }

    pub(crate) fn report_crash(&mut self, key: server::ServerKey, steps: &mut Vec<DispatchAction>) {
        let backend = self.servers.arena[key].vm;
        let fingerprints = self.suspicions.confirm(backend);
        if !fingerprints.is_empty() {
            steps.push(DispatchAction::CrashSuspects {
                backend,
                fingerprints,
            });
        }
    }
}

/// Returns whether transport failures make the backend server suspect.
///
/// Failures that one gateway sees while another gets answers are a fault of the path between.
pub(crate) fn failures_of(server: &server::Server, now: Millis) -> Option<server::ServerFault> {
    let streak = &server.streak;
    let enough = streak.failures >= FAILURES_IN_A_ROW && !server.path_fault(now);
    if !streak.crashed && !enough {
        return None;
    }
    let crashed = streak.crashed || (streak.lost && streak.connect_failed);
    let reason = if crashed {
        EjectionReason::Crash
    } else {
        EjectionReason::Transport
    };
    Some(server::ServerFault {
        reason,
        evidence: streak.failures,
        age: 0,
        peer_median: 0,
    })
}
