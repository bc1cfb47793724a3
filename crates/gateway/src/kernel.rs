//! Starts the registered plug-ins and routes events and peer messages to them.

use std::collections;
use std::net;
use std::sync;

use tokio::sync::{mpsc, oneshot};
use toucanledge_claims::{AttemptId, ClaimOutcome};
use toucanledge_core::{Fingerprint, Incarnation, VmId, VmList};
use toucanledge_membership::Heartbeat;
use toucanledge_settings::GatewaySettings;
use toucanledge_wire::{MessageKind, PeerLinks, PeerMessage, SendOutcome};

use crate::clock::ProcessClock;
use crate::plugin::{ClaimRequest, SlotRelease, SlotRequest};
use crate::shared_state::SharedState;

/// Maximum number of events that wait for one plug-in; above the default of the setting
/// `max_requests`.
const INBOX_CAPACITY: usize = 16_384;
/// Placeholder for the address of an unlisted peer; no link can be opened to it.
const UNKNOWN_ADDRESS: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::UNSPECIFIED), 0);

/// Names of the plug-ins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum PluginName {
    /// Heartbeats and the membership of the fleet.
    Membership,
    /// Distribution of the table and the VM list.
    Table,
    /// Slots, both for requests of this gateway and as dispatcher.
    Slots,
    /// Claims, both for requests of this gateway and as voter.
    Claims,
    /// Status page.
    Status,
}

/// Event in the inbox of a plug-in.
#[derive(Debug)]
pub enum PluginEvent {
    /// A message of another gateway arrived.
    PeerMessage(VmId, PeerMessage),
    /// A heartbeat was accepted.
    HeartbeatReceived(Box<Heartbeat>),
    /// A request needs a slot.
    SlotRequested(SlotRequest),
    /// The use of a slot ended.
    SlotReleased(SlotRelease),
    /// An at-most-once request needs a claim on its key.
    ClaimRequested(ClaimRequest),
    /// An at-most-once request ended.
    ClaimFinished(AttemptId, ClaimOutcome),
    /// A version of the VM list arrived for the first time.
    VmListReceived(sync::Arc<VmList>),
    /// A backend server announced in a response that it is leaving.
    BackendLeaving(VmId),
    /// A backend server was lost while it ran this request.
    CrashSuspected(Fingerprint),
    /// The table, the VM list or the state of this gateway changed, so heartbeats are sent at once.
    StateChanged,
    /// The status page needs the state of the plug-in.
    StatusRequested(oneshot::Sender<serde_json::Value>),
}

/// Description of a plug-in, registered with `inventory::submit!`.
#[derive(Debug)]
pub struct PluginDescriptor {
    /// Name of the plug-in.
    pub name: PluginName,
    /// Kinds of peer messages that are routed to the plug-in.
    pub message_kinds: &'static [MessageKind],
    /// Spawns the task of the plug-in, which ends when the inbox closes.
    pub start: fn(sync::Arc<KernelHandle>, mpsc::Receiver<PluginEvent>),
}

inventory::collect!(PluginDescriptor);

/// Settings, clock, shared state and links for use by the plug-ins.
#[derive(Debug)]
pub struct KernelHandle {
    /// Settings of the process.
    pub settings: GatewaySettings,
    /// Clock of the process.
    pub clock: ProcessClock,
    /// Identifier of this gateway.
    pub vm: VmId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// State that plug-ins publish.
    pub state: sync::Arc<SharedState>,
    /// Handle of the metrics recorder.
    pub metrics: metrics_exporter_prometheus::PrometheusHandle,
    links: PeerLinks,
    seeds: sync::Mutex<collections::HashMap<VmId, net::SocketAddr>>,
    inboxes: collections::HashMap<PluginName, mpsc::Sender<PluginEvent>>,
}

impl KernelHandle {
    /// Puts an event into the inbox of a plug-in.
    ///
    /// # Errors
    ///
    /// Returns the event when the inbox is full or closed.
    pub fn try_notify(&self, name: PluginName, event: PluginEvent) -> Result<(), Box<PluginEvent>> {
        let Some(inbox) = self.inboxes.get(&name) else {
            return Err(Box::new(event));
        };
        inbox.try_send(event).map_err(|error| {
            let plugin: &'static str = name.into();
            metrics::counter!("toucanledge_inbox_refusals_total", "plugin" => plugin).increment(1);
            match error {
                mpsc::error::TrySendError::Full(event)
                | mpsc::error::TrySendError::Closed(event) => Box::new(event),
            }
        })
    }

    /// Puts an event into the inbox of a plug-in; when the inbox is full or closed, the event is
    /// dropped with a log line.
    pub fn notify(&self, name: PluginName, event: PluginEvent) {
        if self.try_notify(name, event).is_err() {
            log::warn!("[kernel] event dropped: inbox of plug-in {name} is full or closed");
        }
    }

    /// Sends a message to another gateway over a link that is opened on demand.
    ///
    /// Returns false when the message was dropped.
    pub fn send_to_peer(&self, vm: VmId, message: &PeerMessage) -> bool {
        let vm_list = self.state.current_vm_list();
        let listed_address = vm_list
            .gateways()
            .find(|entry| entry.vm == vm)
            .and_then(|entry| entry.peer);
        // An unlisted peer gets its reply over the link that it opened itself.
        let address = listed_address
            .or_else(|| self.seed_address(vm))
            .unwrap_or(UNKNOWN_ADDRESS);
        let outcome = self.links.send(vm, address, message);
        matches!(outcome, SendOutcome::Queued | SendOutcome::Opening)
    }

    /// Stores the address of a seed peer once its VM identifier is known.
    pub fn record_seed_address(&self, vm: VmId, address: net::SocketAddr) {
        let mut seeds = self
            .seeds
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        seeds.insert(vm, address);
    }

    fn seed_address(&self, vm: VmId) -> Option<net::SocketAddr> {
        let seeds = self
            .seeds
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        seeds.get(&vm).copied()
    }
}

/// Starts every registered plug-in and the router of peer messages.
///
/// The returned handle keeps the plug-ins running.
#[must_use]
pub fn start_kernel(
    settings: GatewaySettings,
    clock: ProcessClock,
    incarnation: Incarnation,
    metrics: metrics_exporter_prometheus::PrometheusHandle,
    links: PeerLinks,
    inbound: mpsc::Receiver<(VmId, PeerMessage)>,
) -> sync::Arc<KernelHandle> {
    let mut inboxes = collections::HashMap::new();
    let mut registered = Vec::new();
    let mut routes = collections::HashMap::new();
    for plugin in inventory::iter::<PluginDescriptor> {
        let (sender, receiver) = mpsc::channel(INBOX_CAPACITY);
        for kind in plugin.message_kinds {
            routes.insert(*kind, sender.clone());
        }
        inboxes.insert(plugin.name, sender);
        registered.push((plugin, receiver));
    }
    let kernel = sync::Arc::new(KernelHandle {
        vm: settings.vm,
        settings,
        clock,
        incarnation,
        state: sync::Arc::new(SharedState::new()),
        metrics,
        links,
        seeds: sync::Mutex::default(),
        inboxes,
    });
    for (plugin, receiver) in registered {
        log::info!("[kernel] starting plug-in {}", plugin.name);
        (plugin.start)(sync::Arc::clone(&kernel), receiver);
    }
    tokio::spawn(route_messages(routes, inbound));
    kernel
}

async fn route_messages(
    routes: collections::HashMap<MessageKind, mpsc::Sender<PluginEvent>>,
    mut inbound: mpsc::Receiver<(VmId, PeerMessage)>,
) {
    while let Some((vm, message)) = inbound.recv().await {
        let Some(inbox) = routes.get(&message.kind()) else {
            continue;
        };
        if inbox
            .send(PluginEvent::PeerMessage(vm, message))
            .await
            .is_err()
        {
            return;
        }
    }
}
