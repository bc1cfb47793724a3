//! Plug-in for slots: connects the slot client and the dispatchers of this gateway.

use std::collections;
use std::future;
use std::net;
use std::sync;
use std::time;

use tokio::sync::{mpsc, oneshot};
use toucanledge_core::{
    CallerHash, ClassId, Fingerprint, Millis, PoolId, RefusalReason, ShardId, TableRevision, VmId,
    VmList, VmState,
};
use toucanledge_membership::ShardMap;
use toucanledge_slots::{LeaseId, LeaseOutcome, LeaseReport, LeaseRequestId, RouteHash};
use toucanledge_wire::{MessageKind, PeerMessage};

use crate::kernel::{KernelHandle, PluginDescriptor, PluginEvent, PluginName};
use crate::plugin::slot_client::SlotClient;
use crate::plugin::slot_server::SlotServer;

/// Time between two checks of timers; short, because a refusal must be sent within 50 ms of the
/// time at which it can be decided.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Time in milliseconds without an event from which on this plug-in assumes that the process was
/// frozen.
const FREEZE_THRESHOLD_MS: u64 = 1_000;
/// Time in milliseconds after a freeze in which the membership plug-in detects the freeze and
/// starts to rebuild the fleet view.
const VIEW_RECOVERY_MS: u64 = 300;
/// Time after the grant in which a request must be sent; far longer than a gateway needs that was
/// not frozen.
const GRANT_TTL: time::Duration = time::Duration::from_millis(500);

inventory::submit! {
    PluginDescriptor {
        name: PluginName::Slots,
        message_kinds: &[
            MessageKind::LeaseRequest,
            MessageKind::LeaseReply,
            MessageKind::LeaseReport,
            MessageKind::LeaseCancel,
            MessageKind::HeldLeases,
            MessageKind::LeaseRevoke,
        ],
        start,
    }
}

/// A request that needs a slot.
#[derive(Debug)]
pub struct SlotRequest {
    /// Class of the request.
    pub class: ClassId,
    /// Pool whose backend servers may serve it.
    pub pool: PoolId,
    /// Caller of the request.
    pub caller: CallerHash,
    /// Method and path of the request.
    pub route: RouteHash,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Deadline of the request.
    pub deadline: Millis,
    /// Maximum wait for a slot in milliseconds, from the row of the class.
    pub queue_ms: u32,
    /// Backend servers that must not be used, because of earlier attempts.
    pub exclude: Vec<VmId>,
    /// Channel on which the decision is sent.
    pub reply: oneshot::Sender<SlotDecision>,
}

/// Decision on a slot request.
#[derive(Debug)]
pub enum SlotDecision {
    /// The slot may be used.
    Granted(SlotPermit),
    /// No slot is available.
    Refused {
        /// Reason of the refusal.
        reason: RefusalReason,
        /// Milliseconds after which the caller may send the request again.
        retry_after_ms: u32,
        /// Table revision that the refusal is based on.
        table_revision: TableRevision,
    },
}

/// Who granted a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SlotOrigin {
    /// The dispatcher of a shard.
    Dispatcher {
        /// Gateway that is the dispatcher.
        vm: VmId,
        /// Shard of the slot.
        shard: ShardId,
        /// Lease of the slot.
        lease: LeaseId,
    },
    /// This gateway itself, as a fallback slot.
    Fallback(LeaseRequestId),
    /// The baseline policy, which does not limit slots.
    Baseline,
}

/// Release of a slot, reported to whoever granted it.
#[derive(Clone, Debug)]
pub struct SlotRelease {
    /// Who granted the slot.
    pub origin: SlotOrigin,
    /// Backend server of the slot.
    pub backend: VmId,
    /// Lease report for the dispatcher.
    pub report: LeaseReport,
}

/// Permit to use one slot of a backend server.
///
/// Dropping it without [`SlotPermit::release`] reports the lease as cancelled.
#[derive(Debug)]
pub struct SlotPermit {
    kernel: sync::Arc<KernelHandle>,
    origin: SlotOrigin,
    backend: VmId,
    address: net::SocketAddr,
    granted_at: time::Instant,
    revocation: Option<oneshot::Receiver<()>>,
    is_released: bool,
}

impl SlotPermit {
    /// Returns the permit for a granted slot.
    #[must_use]
    pub fn new(
        kernel: &sync::Arc<KernelHandle>,
        origin: SlotOrigin,
        backend: VmId,
        address: net::SocketAddr,
    ) -> Self {
        Self {
            kernel: sync::Arc::clone(kernel),
            origin,
            backend,
            address,
            granted_at: time::Instant::now(),
            revocation: None,
            is_released: false,
        }
    }

    /// Attaches the channel that signals revocation by the dispatcher.
    #[must_use]
    pub fn with_revocation(mut self, revocation: oneshot::Receiver<()>) -> Self {
        self.revocation = Some(revocation);
        self
    }

    /// Waits until the dispatcher ejects the backend server; never returns otherwise.
    pub async fn wait_revoked(&mut self) {
        let is_revoked = match &mut self.revocation {
            Some(revocation) => revocation.await.is_ok(),
            None => false,
        };
        self.revocation = None;
        if !is_revoked {
            future::pending::<()>().await;
        }
    }

    /// Requests a slot and waits for the decision.
    pub async fn acquire(
        kernel: &sync::Arc<KernelHandle>,
        build_request: impl FnOnce(oneshot::Sender<SlotDecision>) -> SlotRequest,
    ) -> SlotDecision {
        let (reply, decision) = oneshot::channel();
        let event = PluginEvent::SlotRequested(build_request(reply));
        let refused = |reason| SlotDecision::Refused {
            reason,
            retry_after_ms: 1000,
            table_revision: TableRevision::default(),
        };
        if kernel.try_notify(PluginName::Slots, event).is_err() {
            return refused(RefusalReason::GatewayFull);
        }
        decision
            .await
            .unwrap_or_else(|_| refused(RefusalReason::NoDispatcher))
    }

    /// Returns the backend server of the slot.
    #[must_use]
    pub const fn backend(&self) -> VmId {
        self.backend
    }

    /// Returns the address of the backend server.
    #[must_use]
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns the time after which the slot may no longer be used.
    ///
    /// After a freeze, the backend server of an old grant may be leaving or ejected.
    #[must_use]
    pub fn expires_at(&self) -> time::Instant {
        self.granted_at + GRANT_TTL
    }

    /// Releases the slot and reports how its use ended.
    pub fn release(mut self, outcome: LeaseOutcome, started: time::Instant, leaving: bool) {
        let elapsed_ms = started.elapsed().as_millis();
        self.report(
            outcome,
            u32::try_from(elapsed_ms).unwrap_or(u32::MAX),
            leaving,
        );
    }

    fn report(&mut self, outcome: LeaseOutcome, service_time_ms: u32, leaving: bool) {
        self.is_released = true;
        let lease = match self.origin {
            SlotOrigin::Dispatcher { lease, .. } => lease,
            SlotOrigin::Fallback(_) | SlotOrigin::Baseline => LeaseId(0),
        };
        let report = LeaseReport {
            lease,
            outcome,
            service_time_ms,
            leaving,
        };
        let release = SlotRelease {
            origin: self.origin,
            backend: self.backend,
            report,
        };
        self.kernel
            .notify(PluginName::Slots, PluginEvent::SlotReleased(release));
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        if !self.is_released {
            self.report(LeaseOutcome::Cancelled, 0, false);
        }
    }
}

struct SlotsPlugin {
    kernel: sync::Arc<KernelHandle>,
    client: SlotClient,
    server: SlotServer,
    /// Time of the last event; ticks cause one at least every 10 ms.
    last_event_at: Millis,
    /// Time until which the fleet view is not reliable after a freeze; zero when it is reliable.
    view_stale_until: Millis,
}

fn start(kernel: sync::Arc<KernelHandle>, inbox: mpsc::Receiver<PluginEvent>) {
    let plugin = SlotsPlugin {
        client: SlotClient::new(sync::Arc::clone(&kernel)),
        server: SlotServer::new(sync::Arc::clone(&kernel)),
        last_event_at: kernel.clock.now(),
        view_stale_until: Millis::default(),
        kernel,
    };
    tokio::spawn(plugin.run(inbox));
}

impl SlotsPlugin {
    async fn run(mut self, mut inbox: mpsc::Receiver<PluginEvent>) {
        let state = sync::Arc::clone(&self.kernel.state);
        let mut table = state.table.subscribe();
        let mut vm_list = state.vm_list.subscribe();
        let mut fleet_view = state.fleet_view.subscribe();
        let (probe_sender, mut probes) = mpsc::channel(64);
        self.server.set_probe_sender(probe_sender);
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        // State that was published before the subscription does not count as a change.
        self.reconfigure();
        loop {
            tokio::select! {
                event = inbox.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                Some(report) = probes.recv() => self.server.handle_probe_report(report),
                _ = ticks.tick() => {
                    self.detect_freeze();
                    self.finish_view_recovery();
                    self.server.tick();
                }
                Ok(()) = table.changed() => self.reconfigure(),
                Ok(()) = vm_list.changed() => self.reconfigure(),
                Ok(()) = fleet_view.changed() => self.reconfigure(),
            }
            self.exchange_local_messages();
        }
    }

    /// Stops all dispatchers after a freeze, during which other gateways may have taken over the
    /// shards.
    fn detect_freeze(&mut self) {
        let now = self.kernel.clock.now();
        let was_frozen = now.since(self.last_event_at) >= FREEZE_THRESHOLD_MS;
        self.last_event_at = now;
        if was_frozen {
            self.view_stale_until = now + VIEW_RECOVERY_MS;
            self.server.stop_dispatchers();
        }
    }

    /// Restarts the dispatchers once the fleet view is reliable again.
    fn finish_view_recovery(&mut self) {
        let is_stale = self.view_stale_until > Millis::default();
        if is_stale && self.kernel.clock.now() >= self.view_stale_until {
            self.view_stale_until = Millis::default();
            self.reconfigure();
        }
    }

    fn handle(&mut self, event: PluginEvent) {
        self.detect_freeze();
        match event {
            PluginEvent::SlotRequested(request)
                if self.kernel.clock.now() < self.view_stale_until =>
            {
                let decision = SlotDecision::Refused {
                    reason: RefusalReason::NotHeard,
                    retry_after_ms: 1000,
                    table_revision: TableRevision::default(),
                };
                let _ = request.reply.send(decision);
            }
            PluginEvent::SlotRequested(request) => self.client.request_slot(request),
            PluginEvent::SlotReleased(release) => {
                self.client.release(&release);
                let is_shared = release.origin != SlotOrigin::Baseline;
                if is_shared && release.report.leaving {
                    let event = PluginEvent::BackendLeaving(release.backend);
                    self.kernel.notify(PluginName::Membership, event);
                }
            }
            PluginEvent::PeerMessage(vm, message) => self.handle_message(vm, message),
            PluginEvent::StatusRequested(reply) => {
                let _ = reply.send(self.server.status());
            }
            _ => {}
        }
    }

    fn handle_message(&mut self, vm: VmId, message: PeerMessage) {
        match message {
            PeerMessage::LeaseReply(reply) => self.client.handle_reply(vm, reply),
            PeerMessage::LeaseRevoke { backend, .. } => self.client.revoke(backend),
            message => self.server.handle_message(vm, message),
        }
    }

    /// Returns the VM list with the given backend servers marked as leaving.
    fn list_with_leaving(&self, leaving: &collections::BTreeSet<VmId>) -> VmList {
        let mut list = VmList::clone(&self.kernel.state.current_vm_list());
        for entry in list
            .vms
            .iter_mut()
            .filter(|entry| leaving.contains(&entry.vm))
        {
            entry.state = VmState::Leaving;
        }
        list
    }

    /// Passes messages between the slot client and the dispatchers of this gateway until none is
    /// left.
    fn exchange_local_messages(&mut self) {
        self.client.tick();
        for backend in self.server.take_revoked_backends() {
            self.client.revoke(backend);
        }
        loop {
            let messages = self.client.take_local_messages();
            let replies = self.server.take_local_replies();
            if messages.is_empty() && replies.is_empty() {
                return;
            }
            for message in messages {
                self.server.handle_message(self.kernel.vm, message);
            }
            for reply in replies {
                self.client.handle_reply(self.kernel.vm, reply);
            }
        }
    }

    fn reconfigure(&mut self) {
        let Some(table) = self.kernel.state.current_table() else {
            return;
        };
        let view = self.kernel.state.current_fleet_view();
        let list = self.list_with_leaving(&view.leaving_backends);
        let shards = ShardMap::new(
            &list,
            table
                .backends()
                .map(|row| (row.backend.as_str(), row.pool_id)),
        );
        self.server.reconfigure(&table, &list, &view, &shards);
        self.client.reconfigure(&table, &list, &view, &shards);
    }
}
