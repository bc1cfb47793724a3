//! Transport failures and crashes of backend servers.

use toucanledge_core::Millis;

use crate::dispatcher::ShardDispatcher;
use crate::lease;
use crate::server;
use crate::{DispatchAction, EjectionReason, LeaseOutcome};

/// Consecutive transport failures at which a backend server is suspected.
const CONSECUTIVE_FAILURES: u32 = 3;

impl ShardDispatcher {
    /// Handles a failed crash probe: the backend server crashed.
    pub(crate) fn confirm_crash(
        &mut self,
        key: server::ServerKey,
        now: Millis,
        actions: &mut Vec<DispatchAction>,
    ) {
        let server = &mut self.servers.arena[key];
        match &mut server.ejection {
            Some(ejection) => ejection.fault.reason = EjectionReason::Crash,
            None => server.failure_streak.crashed = true,
        }
        self.report_crash(key, actions);
        self.update_transport_fault(key, now);
    }

    /// Updates the consecutive transport failures of a backend server from the outcome of a lease.
    pub(crate) fn observe_transport(
        &mut self,
        lease: &lease::Lease,
        outcome: LeaseOutcome,
        now: Millis,
        actions: &mut Vec<DispatchAction>,
    ) {
        let key = lease.server;
        let older_leases = self.count_older_leases(key);
        let Some(server) = self.servers.arena.get_mut(key) else {
            return;
        };
        match outcome {
            LeaseOutcome::Completed | LeaseOutcome::Shed => {
                server.failure_streak = server::FailureStreak::default();
                let backend = server.vm;
                // A response to a request from before the loss does not exclude a crash.
                if server
                    .crash_probe_sent
                    .is_some_and(|since| lease.start >= since)
                {
                    server.crash_probe_sent = None;
                    self.crash_suspects.dismiss_crash(backend);
                }
            }
            LeaseOutcome::ConnectFailed => {
                server.failure_streak.add_failure(lease.gateway);
                server.record_unreachable(lease.gateway, now);
                server.failure_streak.connect_failed = true;
                server.failure_streak.crashed |=
                    server.failure_streak.connection_lost && older_leases == 0;
            }
            LeaseOutcome::BadAnswer => server.failure_streak.add_failure(lease.gateway),
            LeaseOutcome::ConnectionLost => self.observe_loss(lease, now, actions),
            LeaseOutcome::DeadlineExceeded | LeaseOutcome::Cancelled => {}
        }
        self.update_transport_fault(key, now);
        self.probe_path(key, now, actions);
    }

    /// Probes a backend server for which only one gateway sees failures.
    fn probe_path(
        &mut self,
        key: server::ServerKey,
        now: Millis,
        actions: &mut Vec<DispatchAction>,
    ) {
        let server = &mut self.servers.arena[key];
        let path_suspected =
            server.failure_streak.failures == CONSECUTIVE_FAILURES && server.has_path_fault(now);
        if path_suspected && server.is_in_service() && server.crash_probe_sent.is_none() {
            server.crash_probe_sent = Some(now);
            self.counters.probes += 1;
            actions.push(DispatchAction::Probe { backend: server.vm });
        }
    }

    /// Records a connection that broke with a request in flight, and probes for a crash.
    fn observe_loss(
        &mut self,
        lease: &lease::Lease,
        now: Millis,
        actions: &mut Vec<DispatchAction>,
    ) {
        let server = &mut self.servers.arena[lease.server];
        server.failure_streak.add_failure(lease.gateway);
        server.failure_streak.first_loss.get_or_insert(now);
        server.failure_streak.connection_lost = true;
        let backend = server.vm;
        let crashed = server.ejection.is_some_and(|ejection| {
            ejection.fault.reason == EjectionReason::Crash && lease.start <= ejection.since
        });
        self.crash_suspects
            .add_loss(lease.attributes.fingerprint, backend, now);
        if crashed {
            self.report_crash(lease.server, actions);
        } else if server.crash_probe_sent.is_none() {
            // Without a probe, a crash with a single request in flight would go unnoticed.
            server.crash_probe_sent = Some(now);
            self.counters.probes += 1;
            actions.push(DispatchAction::Probe { backend });
        }
    }

    /// Returns the number of leases that started before the first lost connection.
    fn count_older_leases(&self, key: server::ServerKey) -> usize {
        let Some(server) = self.servers.arena.get(key) else {
            return 0;
        };
        let Some(first_loss) = server.failure_streak.first_loss else {
            return 0;
        };
        let starts = server
            .leases
            .iter()
            .map(|key| self.leases.arena[*key].start);
        starts.filter(|start| *start <= first_loss).count()
    }

    fn update_transport_fault(&mut self, key: server::ServerKey, now: Millis) {
        let server = &mut self.servers.arena[key];
        let fault = transport_fault(server, now);
        if server.is_in_service() && fault > server.fault {
            server.fault = fault;
        }
    }

    /// Reports the requests that were lost in a confirmed crash.
    pub(crate) fn report_crash(
        &mut self,
        key: server::ServerKey,
        actions: &mut Vec<DispatchAction>,
    ) {
        let backend = self.servers.arena[key].vm;
        let fingerprints = self.crash_suspects.confirm_crash(backend);
        if !fingerprints.is_empty() {
            actions.push(DispatchAction::CrashSuspects {
                backend,
                fingerprints,
            });
        }
    }
}

/// Returns the fault of a backend server by its consecutive transport failures, if any.
///
/// Failures that only one gateway sees while another gets responses are a fault of the path.
pub(crate) fn transport_fault(server: &server::Server, now: Millis) -> Option<server::ServerFault> {
    let streak = &server.failure_streak;
    let enough = streak.failures >= CONSECUTIVE_FAILURES && !server.has_path_fault(now);
    if !streak.crashed && !enough {
        return None;
    }
    let crashed = streak.crashed || (streak.connection_lost && streak.connect_failed);
    let reason = if crashed {
        EjectionReason::Crash
    } else {
        EjectionReason::Transport
    };
    Some(server::ServerFault {
        reason,
        evidence_count: streak.failures,
        oldest_stall_ms: 0,
        peer_median_ms: 0,
    })
}
