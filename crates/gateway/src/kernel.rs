//! The kernel: starts the plug-ins that registered themselves and routes messages to them.

use std::collections;
use std::net;
use std::sync;

use tokio::sync::{mpsc, oneshot};
use toucanledge_claims::{AttemptId, ClaimOutcome};
use toucanledge_core::{Fingerprint, Incarnation, VmId, VmList};
use toucanledge_membership::Heartbeat;
use toucanledge_settings::GatewaySettings;
use toucanledge_wire::{MessageKind, PeerLinks, PeerMessage, SendOutcome};

use crate::board::FactBoard;
use crate::clock::ProcessClock;
use crate::plugin::{ClaimRequest, SlotEnd, SlotRequest};

/// Events that wait for one plug-in; more than the requests that a gateway holds at once.
const INBOX_CAPACITY: usize = 16_384;
/// Address to which no link can be opened.
const UNKNOWN_ADDRESS: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::UNSPECIFIED), 0);

/// Names of the plug-ins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum PluginName {
    /// Heartbeats and the view of the fleet.
    Membership,
    /// Table and VM list.
    Table,
    /// Slots, as asking gateway and as dispatcher.
    Slots,
    /// Claims, as attempting gateway and as voter.
    Claims,
    /// Status page.
    Status,
}

/// What a plug-in is told.
#[derive(Debug)]
pub enum PluginEvent {
    /// A message of another gateway.
    Peer(VmId, PeerMessage),
    /// A heartbeat was accepted.
    Heartbeat(Box<Heartbeat>),
    /// A request needs a slot.
    SlotWanted(SlotRequest),
    /// The use of a slot ended.
    SlotEnded(SlotEnd),
    /// Keyed work wants the right to run.
    ClaimWanted(ClaimRequest),
    /// Keyed work ended.
    ClaimEnded(AttemptId, ClaimOutcome),
    /// A VM list was seen for the first time.
    ListSeen(sync::Arc<VmList>),
    /// A backend server said in an answer that it is leaving.
    LeavingSeen(VmId),
    /// A backend server was lost to a request.
    CrashSeen(Fingerprint),
    /// The table, the VM list or the own state changed, so that peers must hear of it now.
    Announce,
    /// The status page wants the state of the plug-in.
    StatusWanted(oneshot::Sender<serde_json::Value>),
}

/// A part of the gateway that registers itself with `inventory::submit!`.
#[derive(Debug)]
pub struct Plugin {
    /// Name of the plug-in.
    pub name: PluginName,
    /// Kinds of peer messages that go to it.
    pub kinds: &'static [MessageKind],
    /// Starts its task; the task ends when the inbox closes.
    pub start: fn(sync::Arc<KernelHandle>, mpsc::Receiver<PluginEvent>),
}

inventory::collect!(Plugin);

/// What every plug-in may use.
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
    /// Facts that plug-ins publish.
    pub board: sync::Arc<FactBoard>,
    /// Recorded metrics.
    pub metrics: metrics_exporter_prometheus::PrometheusHandle,
    links: PeerLinks,
    seeds: sync::Mutex<collections::HashMap<VmId, net::SocketAddr>>,
    inboxes: collections::HashMap<PluginName, mpsc::Sender<PluginEvent>>,
}

impl KernelHandle {
    /// Gives an event to a plug-in and returns it when the inbox is full or closed.
    ///
    /// # Errors
    ///
    /// Returns the event that was not taken.
    pub fn post(&self, name: PluginName, event: PluginEvent) -> Result<(), Box<PluginEvent>> {
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

    /// Gives an event to a plug-in and only counts it when the inbox is full or closed.
    pub fn notify(&self, name: PluginName, event: PluginEvent) {
        if self.post(name, event).is_err() {
            log::warn!("[kernel] event for {name} dropped");
        }
    }

    /// Sends a message to another gateway over a link that is opened on demand.
    ///
    /// Returns false when the message was dropped.
    pub fn send(&self, vm: VmId, message: &PeerMessage) -> bool {
        let list = self.board.current_list();
        let listed = list
            .gateways()
            .find(|entry| entry.vm == vm)
            .and_then(|entry| entry.peer);
        // A peer that the list does not name yet is answered over the link that it opened.
        let address = listed
            .or_else(|| self.seed_address(vm))
            .unwrap_or(UNKNOWN_ADDRESS);
        let outcome = self.links.send(vm, address, message);
        matches!(outcome, SendOutcome::Queued | SendOutcome::Opening)
    }

    /// Notes the address of a seed peer whose identity became known.
    pub fn learn_seed(&self, vm: VmId, address: net::SocketAddr) {
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
    let mut starts = Vec::new();
    let mut routes = collections::HashMap::new();
    for plugin in inventory::iter::<Plugin> {
        let (sender, receiver) = mpsc::channel(INBOX_CAPACITY);
        for kind in plugin.kinds {
            routes.insert(*kind, sender.clone());
        }
        inboxes.insert(plugin.name, sender);
        starts.push((plugin, receiver));
    }
    let kernel = sync::Arc::new(KernelHandle {
        vm: settings.vm,
        settings,
        clock,
        incarnation,
        board: sync::Arc::new(FactBoard::new()),
        metrics,
        links,
        seeds: sync::Mutex::default(),
        inboxes,
    });
    for (plugin, receiver) in starts {
        log::info!("[kernel] starts plug-in {}", plugin.name);
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
        if inbox.send(PluginEvent::Peer(vm, message)).await.is_err() {
            return;
        }
    }
}
