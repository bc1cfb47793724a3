//! Slots, as asking gateway and as dispatcher.

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

use crate::kernel::{KernelHandle, Plugin, PluginEvent, PluginName};
use crate::plugin::slot_client::SlotClient;
use crate::plugin::slot_server::SlotServer;

/// Time between two looks at timers; a refusal must leave within 50 ms of being decidable.
const TICK: time::Duration = time::Duration::from_millis(10);

/// Time in milliseconds without any event after which the process has slept.
const SLEEP_MS: u64 = 1_000;
/// Time in milliseconds in which the membership plug-in notices the sleep and starts its view anew.
const DOUBT_MS: u64 = 300;
/// Time for which a granted slot may be used; far more than a gateway that runs needs.
const GRANT_LIFE: time::Duration = time::Duration::from_millis(500);

inventory::submit! {
    Plugin {
        name: PluginName::Slots,
        kinds: &[
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
    /// Longest wait for a slot in milliseconds, by the row of the class.
    pub queue_ms: u32,
    /// Backend servers that were tried already.
    pub exclude: Vec<VmId>,
    /// Where the decision goes.
    pub reply: oneshot::Sender<SlotDecision>,
}

/// What became of a wish for a slot.
#[derive(Debug)]
pub enum SlotDecision {
    /// The slot may be used.
    Granted(SlotTicket),
    /// There is no slot.
    Refused {
        /// Why there is none.
        reason: RefusalReason,
        /// Milliseconds after which another try may succeed.
        retry_after: u32,
        /// Table revision that decided.
        table: TableRevision,
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
    /// This gateway itself, from its safe share.
    SafeShare(LeaseRequestId),
    /// The plain policy, which knows no slots.
    Baseline,
}

/// End of the use of a slot.
#[derive(Clone, Debug)]
pub struct SlotEnd {
    /// Who granted the slot.
    pub origin: SlotOrigin,
    /// Backend server of the slot.
    pub backend: VmId,
    /// Report for the dispatcher.
    pub report: LeaseReport,
}

/// The right to use one slot of a backend server.
#[derive(Debug)]
pub struct SlotTicket {
    kernel: sync::Arc<KernelHandle>,
    origin: SlotOrigin,
    backend: VmId,
    address: net::SocketAddr,
    granted: time::Instant,
    revoked: Option<oneshot::Receiver<()>>,
    finished: bool,
}

impl SlotTicket {
    /// Returns the ticket for a granted slot.
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
            granted: time::Instant::now(),
            revoked: None,
            finished: false,
        }
    }

    /// Adds the channel on which the dispatcher takes the slot back.
    #[must_use]
    pub fn revocable(mut self, revoked: oneshot::Receiver<()>) -> Self {
        self.revoked = Some(revoked);
        self
    }

    /// Waits until the dispatcher ejects the backend server; forever when it does not.
    pub async fn revoked(&mut self) {
        let told = match &mut self.revoked {
            Some(revoked) => revoked.await.is_ok(),
            None => false,
        };
        self.revoked = None;
        if !told {
            future::pending::<()>().await;
        }
    }

    /// Waits for a slot.
    pub async fn obtain(
        kernel: &sync::Arc<KernelHandle>,
        wish: impl FnOnce(oneshot::Sender<SlotDecision>) -> SlotRequest,
    ) -> SlotDecision {
        let (reply, decision) = oneshot::channel();
        let event = PluginEvent::SlotWanted(wish(reply));
        let refused = |reason| SlotDecision::Refused {
            reason,
            retry_after: 1000,
            table: TableRevision::default(),
        };
        if kernel.post(PluginName::Slots, event).is_err() {
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
    /// A process that slept since the grant would send work to a backend server that left or was
    /// ejected meanwhile.
    #[must_use]
    pub fn usable_until(&self) -> time::Instant {
        self.granted + GRANT_LIFE
    }

    /// Reports how the use of the slot ended.
    pub fn finish(mut self, outcome: LeaseOutcome, started: time::Instant, leaving: bool) {
        let elapsed = started.elapsed().as_millis();
        self.tell(outcome, u32::try_from(elapsed).unwrap_or(u32::MAX), leaving);
    }

    fn tell(&mut self, outcome: LeaseOutcome, service_time: u32, leaving: bool) {
        self.finished = true;
        let lease = match self.origin {
            SlotOrigin::Dispatcher { lease, .. } => lease,
            SlotOrigin::SafeShare(_) | SlotOrigin::Baseline => LeaseId(0),
        };
        let report = LeaseReport {
            lease,
            outcome,
            service_time_ms: service_time,
            leaving,
        };
        let end = SlotEnd {
            origin: self.origin,
            backend: self.backend,
            report,
        };
        self.kernel
            .notify(PluginName::Slots, PluginEvent::SlotEnded(end));
    }
}

impl Drop for SlotTicket {
    fn drop(&mut self) {
        if !self.finished {
            self.tell(LeaseOutcome::Cancelled, 0, false);
        }
    }
}

struct SlotsPlugin {
    kernel: sync::Arc<KernelHandle>,
    client: SlotClient,
    server: SlotServer,
    /// Time of the last event; ticks make sure that there is one every 10 ms.
    seen_at: Millis,
    /// Until then this process slept lately and its view of the fleet is not to be believed.
    doubtful_until: Millis,
}

fn start(kernel: sync::Arc<KernelHandle>, inbox: mpsc::Receiver<PluginEvent>) {
    let plugin = SlotsPlugin {
        client: SlotClient::new(sync::Arc::clone(&kernel)),
        server: SlotServer::new(sync::Arc::clone(&kernel)),
        seen_at: kernel.clock.now(),
        doubtful_until: Millis::default(),
        kernel,
    };
    tokio::spawn(plugin.run(inbox));
}

impl SlotsPlugin {
    async fn run(mut self, mut inbox: mpsc::Receiver<PluginEvent>) {
        let board = sync::Arc::clone(&self.kernel.board);
        let mut table = board.table.subscribe();
        let mut list = board.list.subscribe();
        let mut view = board.view.subscribe();
        let (probe_sender, mut probes) = mpsc::channel(64);
        self.server.set_probe_sender(probe_sender);
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        // Facts that were published before the subscription do not count as changes.
        self.reconfigure();
        loop {
            tokio::select! {
                event = inbox.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                Some(report) = probes.recv() => self.server.take_report(report),
                _ = ticks.tick() => {
                    self.notice_sleep();
                    self.end_doubt();
                    self.server.tick();
                }
                Ok(()) = table.changed() => self.reconfigure(),
                Ok(()) = list.changed() => self.reconfigure(),
                Ok(()) = view.changed() => self.reconfigure(),
            }
            self.pump();
        }
    }

    /// Gives up all shards after a sleep of the process, in which others may have taken them.
    fn notice_sleep(&mut self) {
        let now = self.kernel.clock.now();
        let slept = now.since(self.seen_at) >= SLEEP_MS;
        self.seen_at = now;
        if slept {
            self.doubtful_until = now + DOUBT_MS;
            self.server.give_up();
        }
    }

    /// Starts the dispatchers anew when the view of the fleet can be believed again.
    fn end_doubt(&mut self) {
        let doubtful = self.doubtful_until > Millis::default();
        if doubtful && self.kernel.clock.now() >= self.doubtful_until {
            self.doubtful_until = Millis::default();
            self.reconfigure();
        }
    }

    fn handle(&mut self, event: PluginEvent) {
        self.notice_sleep();
        match event {
            PluginEvent::SlotWanted(request) if self.kernel.clock.now() < self.doubtful_until => {
                let decision = SlotDecision::Refused {
                    reason: RefusalReason::NotHeard,
                    retry_after: 1000,
                    table: TableRevision::default(),
                };
                let _ = request.reply.send(decision);
            }
            PluginEvent::SlotWanted(request) => self.client.want(request),
            PluginEvent::SlotEnded(end) => {
                self.client.end(&end);
                let is_shared = end.origin != SlotOrigin::Baseline;
                if is_shared && end.report.leaving {
                    let event = PluginEvent::LeavingSeen(end.backend);
                    self.kernel.notify(PluginName::Membership, event);
                }
            }
            PluginEvent::Peer(vm, message) => self.receive(vm, message),
            PluginEvent::StatusWanted(reply) => {
                let _ = reply.send(self.server.status());
            }
            _ => {}
        }
    }

    fn receive(&mut self, vm: VmId, message: PeerMessage) {
        match message {
            PeerMessage::LeaseReply(reply) => self.client.reply(vm, reply),
            PeerMessage::LeaseRevoke { backend, .. } => self.client.revoke(backend),
            message => self.server.receive(vm, message),
        }
    }

    /// Returns the VM list with the backend servers that are known to be leaving.
    fn corrected_list(&self, leaving: &collections::BTreeSet<VmId>) -> VmList {
        let mut list = VmList::clone(&self.kernel.board.current_list());
        for entry in list
            .vms
            .iter_mut()
            .filter(|entry| leaving.contains(&entry.vm))
        {
            entry.state = VmState::Leaving;
        }
        list
    }

    /// Moves messages between client and server of this gateway until none is left.
    fn pump(&mut self) {
        self.client.tick();
        for backend in self.server.take_revoked() {
            self.client.revoke(backend);
        }
        loop {
            let asks = self.client.take_local();
            let replies = self.server.take_local();
            if asks.is_empty() && replies.is_empty() {
                return;
            }
            for message in asks {
                self.server.receive(self.kernel.vm, message);
            }
            for reply in replies {
                self.client.reply(self.kernel.vm, reply);
            }
        }
    }

    fn reconfigure(&mut self) {
        let Some(table) = self.kernel.board.current_table() else {
            return;
        };
        let view = self.kernel.board.current_view();
        let list = self.corrected_list(&view.leaving);
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
