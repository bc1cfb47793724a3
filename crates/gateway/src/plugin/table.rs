//! Plug-in for the table and the VM list: a few gateways watch the platform for them; the others
//! poll it and request newer versions from peers.

use std::collections;
use std::net;
use std::sync;
use std::time;

use serde_json::json;
use tokio::sync::mpsc;
use toucanledge_core::{ListVersion, TableRevision, VmId, VmList};
use toucanledge_membership::Heartbeat;
use toucanledge_table::{ApplyOutcome, PublishedTable, TableSource, TableStore};
use toucanledge_wire::{LinkConnector, LinkSettings, MessageKind, PeerIdentity, PeerMessage};

use crate::kernel::{KernelHandle, PluginDescriptor, PluginEvent, PluginName};
use crate::platform::PlatformClient;
use crate::plugin::platform_reader;
use crate::plugin::platform_reader::PlatformUpdate;

/// Minimum time in milliseconds between two requests to the same peer.
const PEER_REQUEST_INTERVAL_MS: u64 = 300;
/// Time between two requests to the seed peers while the table or the VM list is missing.
const SEED_REQUEST_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Number of VM list versions kept for peers; a heartbeat names at most 16.
const MAX_KEPT_LISTS: usize = 16;

inventory::submit! {
    PluginDescriptor {
        name: PluginName::Table,
        message_kinds: &[
            MessageKind::TableRequest,
            MessageKind::TableReply,
            MessageKind::ListRequest,
            MessageKind::ListReply,
        ],
        start,
    }
}

struct TablePlugin {
    kernel: sync::Arc<KernelHandle>,
    store: TableStore,
    vm_lists: collections::BTreeMap<ListVersion, sync::Arc<VmList>>,
    /// Incomplete publications by the peer whose table replies carry them.
    incoming: collections::HashMap<VmId, TableSource>,
    /// Time of the last request to each peer.
    requested_at: collections::HashMap<VmId, toucanledge_core::Millis>,
}

fn start(kernel: sync::Arc<KernelHandle>, inbox: mpsc::Receiver<PluginEvent>) {
    let (update_sender, updates) = mpsc::channel(16);
    let client = sync::Arc::new(PlatformClient::new(kernel.settings.platform.clone()));
    tokio::spawn(platform_reader::read_tables(
        sync::Arc::clone(&kernel),
        sync::Arc::clone(&client),
        update_sender.clone(),
    ));
    tokio::spawn(platform_reader::read_vm_lists(
        sync::Arc::clone(&kernel),
        client,
        update_sender,
    ));
    let plugin = TablePlugin {
        kernel,
        store: TableStore::new(),
        vm_lists: collections::BTreeMap::new(),
        incoming: collections::HashMap::new(),
        requested_at: collections::HashMap::new(),
    };
    tokio::spawn(plugin.run(inbox, updates));
}

impl TablePlugin {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<PluginEvent>,
        mut updates: mpsc::Receiver<PlatformUpdate>,
    ) {
        let mut seeds = tokio::time::interval(SEED_REQUEST_INTERVAL);
        loop {
            tokio::select! {
                event = inbox.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                Some(update) = updates.recv() => self.handle_update(update),
                _ = seeds.tick() => self.request_from_seeds(),
            }
        }
    }

    fn handle(&mut self, event: PluginEvent) {
        match event {
            PluginEvent::HeartbeatReceived(heartbeat) => self.request_missing(&heartbeat),
            PluginEvent::PeerMessage(vm, message) => self.handle_message(vm, message),
            PluginEvent::StatusRequested(reply) => {
                let _ = reply.send(self.status());
            }
            _ => {}
        }
    }

    fn handle_message(&mut self, vm: VmId, message: PeerMessage) {
        match message {
            PeerMessage::TableRequest { known_revision } => self.send_table(vm, known_revision),
            PeerMessage::TableReply {
                revision,
                head,
                parts,
            } => {
                self.collect_parts(vm, revision, head, parts);
            }
            PeerMessage::ListRequest { known_versions } => self.send_vm_lists(vm, &known_versions),
            PeerMessage::ListReply { lists } => {
                for list in lists {
                    self.apply_vm_list(list);
                }
            }
            _ => {}
        }
    }

    fn handle_update(&mut self, update: PlatformUpdate) {
        match update {
            PlatformUpdate::VmList(list) => self.apply_vm_list(list),
            PlatformUpdate::Table {
                revision,
                head,
                parts,
            } => {
                let outcome = self.store.apply(revision, &head, &parts);
                self.handle_outcome(&outcome);
            }
        }
    }

    fn handle_outcome(&self, outcome: &ApplyOutcome) {
        let name = outcome_name(outcome);
        metrics::counter!("toucanledge_table_offers_total", "outcome" => name).increment(1);
        match outcome {
            ApplyOutcome::Accepted => self.publish(),
            ApplyOutcome::Refused(refusal) => {
                log::warn!("[table] {refusal}");
            }
            ApplyOutcome::Stale | ApplyOutcome::MissingParts(_) => {}
        }
    }

    fn publish(&self) {
        let Some(table) = self.store.table() else {
            return;
        };
        log::info!("[table] revision {} is in force", table.revision().0);
        metrics::gauge!("toucanledge_table_revision").set(as_gauge(table.revision().0));
        let table: sync::Arc<PublishedTable> = sync::Arc::clone(table);
        self.kernel.state.table.send_replace(Some(table));
        self.kernel
            .notify(PluginName::Membership, PluginEvent::StateChanged);
    }

    fn apply_vm_list(&mut self, list: VmList) {
        if list.validate().is_err() || self.vm_lists.contains_key(&list.version) {
            return;
        }
        let list = sync::Arc::new(list);
        self.vm_lists.insert(list.version, sync::Arc::clone(&list));
        while self.vm_lists.len() > MAX_KEPT_LISTS {
            self.vm_lists.pop_first();
        }
        self.kernel.notify(
            PluginName::Claims,
            PluginEvent::VmListReceived(sync::Arc::clone(&list)),
        );
        if list.version > self.kernel.state.current_vm_list().version {
            log::info!("[table] VM list {} is in force", list.version.0);
            metrics::gauge!("toucanledge_list_version").set(as_gauge(list.version.0));
            self.kernel.state.vm_list.send_replace(list);
            self.kernel
                .notify(PluginName::Membership, PluginEvent::StateChanged);
        }
    }

    /// Requests from a peer the table and VM lists that its heartbeat names and this gateway lacks.
    fn request_missing(&mut self, heartbeat: &Heartbeat) {
        let known_revision = self.store.revision();
        let lacks_table = heartbeat.table_revision > known_revision;
        let lacks_list = heartbeat
            .history
            .iter()
            .chain([&heartbeat.list_version])
            .any(|version| version.0 > 0 && !self.vm_lists.contains_key(version));
        if !lacks_table && !lacks_list {
            return;
        }
        let now = self.kernel.clock.now();
        let requested_at = self.requested_at.get(&heartbeat.from).copied();
        if requested_at
            .is_some_and(|requested_at| now.since(requested_at) < PEER_REQUEST_INTERVAL_MS)
        {
            return;
        }
        self.requested_at.insert(heartbeat.from, now);
        if lacks_table {
            self.kernel.send_to_peer(
                heartbeat.from,
                &PeerMessage::TableRequest { known_revision },
            );
        }
        if lacks_list {
            let known_versions = self.vm_lists.keys().copied().collect();
            self.kernel
                .send_to_peer(heartbeat.from, &PeerMessage::ListRequest { known_versions });
        }
    }

    fn request_from_seeds(&self) {
        let known_revision = self.store.revision();
        if known_revision.0 > 0 && !self.vm_lists.is_empty() {
            return;
        }
        for address in &self.kernel.settings.seeds {
            tokio::spawn(request_from_seed(sync::Arc::clone(&self.kernel), *address));
        }
    }

    fn send_table(&self, vm: VmId, known_revision: TableRevision) {
        let Some(table) = self.store.table() else {
            return;
        };
        if table.revision() <= known_revision {
            return;
        }
        let Some(source) = self.store.source() else {
            return;
        };
        let parts = source
            .parts
            .iter()
            .map(|(key, text)| (key.clone(), text.to_string()))
            .collect();
        let replies = PeerMessage::table_replies(table.revision(), source.head.clone(), parts);
        for reply in replies {
            self.kernel.send_to_peer(vm, &reply);
        }
    }

    fn send_vm_lists(&self, vm: VmId, known_versions: &[ListVersion]) {
        let lists: Vec<VmList> = self
            .vm_lists
            .values()
            .rev()
            .filter(|list| !known_versions.contains(&list.version))
            .map(|list| VmList::clone(list))
            .collect();
        if !lists.is_empty() {
            self.kernel
                .send_to_peer(vm, &PeerMessage::ListReply { lists });
        }
    }

    fn collect_parts(
        &mut self,
        vm: VmId,
        revision: TableRevision,
        head: String,
        parts: Vec<(String, String)>,
    ) {
        if revision <= self.store.revision() {
            self.incoming.remove(&vm);
            return;
        }
        let incoming = self.incoming.entry(vm).or_default();
        if incoming.revision != revision {
            *incoming = TableSource {
                revision,
                ..TableSource::default()
            };
        }
        if !head.is_empty() {
            incoming.head = head;
        }
        incoming
            .parts
            .extend(parts.into_iter().map(|(key, text)| (key, text.into())));
        let outcome = self.store.apply_from_peer(incoming);
        if !matches!(outcome, ApplyOutcome::MissingParts(_)) {
            self.incoming.remove(&vm);
        }
        self.handle_outcome(&outcome);
    }

    fn status(&self) -> serde_json::Value {
        let last_refused = self.store.last_refusal().map(|refusal| {
            json!({
                "revision": refusal.revision.0,
                "editor": refusal.editor,
                "reasons": refusal.to_string(),
            })
        });
        json!({
            "revision": self.store.revision().0,
            "editor": self.store.table().map(|table| table.editor().to_owned()),
            "last_refused": last_refused,
            "list_versions": self.vm_lists.keys().map(|version| version.0).collect::<Vec<_>>(),
        })
    }
}

const fn outcome_name(outcome: &ApplyOutcome) -> &'static str {
    match outcome {
        ApplyOutcome::Accepted => "accepted",
        ApplyOutcome::Stale => "stale",
        ApplyOutcome::Refused(_) => "refused",
        ApplyOutcome::MissingParts(_) => "missing-parts",
    }
}

/// Connects to a seed peer to get its VM identifier and requests its table and VM lists.
async fn request_from_seed(kernel: sync::Arc<KernelHandle>, address: net::SocketAddr) {
    let identity = PeerIdentity {
        vm: kernel.vm,
        incarnation: kernel.incarnation,
    };
    let source = kernel.settings.peer_source;
    let connector = LinkConnector::new(identity, source, LinkSettings::default());
    let Ok(link) = connector.connect(address).await else {
        return;
    };
    let vm = link.peer.vm;
    if vm == kernel.vm {
        return;
    }
    kernel.record_seed_address(vm, address);
    kernel.send_to_peer(
        vm,
        &PeerMessage::TableRequest {
            known_revision: TableRevision::default(),
        },
    );
    kernel.send_to_peer(
        vm,
        &PeerMessage::ListRequest {
            known_versions: Vec::new(),
        },
    );
}

#[expect(clippy::cast_precision_loss, reason = "versions stay far below 2^52")]
const fn as_gauge(value: u64) -> f64 {
    value as f64
}
