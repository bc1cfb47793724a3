//! Table and VM list: read from the platform by a few, handed on between gateways.

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

use crate::kernel::{KernelHandle, Plugin, PluginEvent, PluginName};
use crate::platform::PlatformClient;
use crate::plugin::platform_reader;
use crate::plugin::platform_reader::PlatformNews;

/// Time between two asks for the same news to a peer.
const ASK_PERIOD_MS: u64 = 300;
/// Time between two asks to the seed peers while there is no table or list.
const SEED_PERIOD: time::Duration = time::Duration::from_millis(500);
/// VM lists that are kept for peers; a heartbeat names at most 16.
const KEPT_LISTS: usize = 16;

inventory::submit! {
    Plugin {
        name: PluginName::Table,
        kinds: &[
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
    ledger: TableStore,
    lists: collections::BTreeMap<ListVersion, sync::Arc<VmList>>,
    /// Replies of each peer that together carry a table.
    incoming: collections::HashMap<VmId, TableSource>,
    asked_at: collections::HashMap<VmId, toucanledge_core::Millis>,
}

fn start(kernel: sync::Arc<KernelHandle>, inbox: mpsc::Receiver<PluginEvent>) {
    let (news_sender, news) = mpsc::channel(16);
    let client = sync::Arc::new(PlatformClient::new(kernel.settings.platform.clone()));
    tokio::spawn(platform_reader::read_tables(
        sync::Arc::clone(&kernel),
        sync::Arc::clone(&client),
        news_sender.clone(),
    ));
    tokio::spawn(platform_reader::read_lists(
        sync::Arc::clone(&kernel),
        client,
        news_sender,
    ));
    let plugin = TablePlugin {
        kernel,
        ledger: TableStore::new(),
        lists: collections::BTreeMap::new(),
        incoming: collections::HashMap::new(),
        asked_at: collections::HashMap::new(),
    };
    tokio::spawn(plugin.run(inbox, news));
}

impl TablePlugin {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<PluginEvent>,
        mut news: mpsc::Receiver<PlatformNews>,
    ) {
        let mut seeds = tokio::time::interval(SEED_PERIOD);
        loop {
            tokio::select! {
                event = inbox.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                Some(news) = news.recv() => self.take_news(news),
                _ = seeds.tick() => self.ask_seeds(),
            }
        }
    }

    fn handle(&mut self, event: PluginEvent) {
        match event {
            PluginEvent::Heartbeat(heartbeat) => self.compare(&heartbeat),
            PluginEvent::Peer(vm, message) => self.receive(vm, message),
            PluginEvent::StatusWanted(reply) => {
                let _ = reply.send(self.status());
            }
            _ => {}
        }
    }

    fn receive(&mut self, vm: VmId, message: PeerMessage) {
        match message {
            PeerMessage::TableRequest {
                known_revision: have,
            } => self.send_table(vm, have),
            PeerMessage::TableReply {
                revision,
                head,
                parts,
            } => {
                self.collect(vm, revision, head, parts);
            }
            PeerMessage::ListRequest {
                known_versions: have,
            } => self.send_lists(vm, &have),
            PeerMessage::ListReply { lists } => {
                for list in lists {
                    self.take_list(list);
                }
            }
            _ => {}
        }
    }

    fn take_news(&mut self, news: PlatformNews) {
        match news {
            PlatformNews::List(list) => self.take_list(list),
            PlatformNews::Table {
                revision,
                head,
                parts,
            } => {
                let outcome = self.ledger.apply(revision, &head, &parts);
                self.act_on(&outcome);
            }
        }
    }

    fn act_on(&self, outcome: &ApplyOutcome) {
        let name = outcome_name(outcome);
        metrics::counter!("toucanledge_table_offers_total", "outcome" => name).increment(1);
        match outcome {
            ApplyOutcome::Accepted => self.publish(),
            ApplyOutcome::Refused(refused) => {
                log::warn!("[table] {refused}");
            }
            ApplyOutcome::Stale | ApplyOutcome::MissingParts(_) => {}
        }
    }

    fn publish(&self) {
        let Some(table) = self.ledger.table() else {
            return;
        };
        log::info!("[table] revision {} is in force", table.revision().0);
        metrics::gauge!("toucanledge_table_revision").set(as_gauge(table.revision().0));
        let table: sync::Arc<PublishedTable> = sync::Arc::clone(table);
        self.kernel.board.table.send_replace(Some(table));
        self.kernel
            .notify(PluginName::Membership, PluginEvent::Announce);
    }

    fn take_list(&mut self, list: VmList) {
        if list.validate().is_err() || self.lists.contains_key(&list.version) {
            return;
        }
        let list = sync::Arc::new(list);
        self.lists.insert(list.version, sync::Arc::clone(&list));
        while self.lists.len() > KEPT_LISTS {
            self.lists.pop_first();
        }
        self.kernel.notify(
            PluginName::Claims,
            PluginEvent::ListSeen(sync::Arc::clone(&list)),
        );
        if list.version > self.kernel.board.current_list().version {
            log::info!("[table] VM list {} is in force", list.version.0);
            metrics::gauge!("toucanledge_list_version").set(as_gauge(list.version.0));
            self.kernel.board.list.send_replace(list);
            self.kernel
                .notify(PluginName::Membership, PluginEvent::Announce);
        }
    }

    /// Asks a peer for what its heartbeat names and this gateway lacks.
    fn compare(&mut self, heartbeat: &Heartbeat) {
        let have = self.ledger.revision();
        let lacks_table = heartbeat.table_revision > have;
        let lacks_list = heartbeat
            .history
            .iter()
            .chain([&heartbeat.list_version])
            .any(|version| version.0 > 0 && !self.lists.contains_key(version));
        if !lacks_table && !lacks_list {
            return;
        }
        let now = self.kernel.clock.now();
        let asked = self.asked_at.get(&heartbeat.from).copied();
        if asked.is_some_and(|asked| now.since(asked) < ASK_PERIOD_MS) {
            return;
        }
        self.asked_at.insert(heartbeat.from, now);
        if lacks_table {
            self.kernel.send(
                heartbeat.from,
                &PeerMessage::TableRequest {
                    known_revision: have,
                },
            );
        }
        if lacks_list {
            let have = self.lists.keys().copied().collect();
            self.kernel.send(
                heartbeat.from,
                &PeerMessage::ListRequest {
                    known_versions: have,
                },
            );
        }
    }

    fn ask_seeds(&self) {
        let have = self.ledger.revision();
        if have.0 > 0 && !self.lists.is_empty() {
            return;
        }
        for address in &self.kernel.settings.seeds {
            tokio::spawn(ask_seed(sync::Arc::clone(&self.kernel), *address));
        }
    }

    fn send_table(&self, vm: VmId, have: TableRevision) {
        let Some(table) = self.ledger.table() else {
            return;
        };
        if table.revision() <= have {
            return;
        }
        let Some(source) = self.ledger.source() else {
            return;
        };
        let parts = source
            .parts
            .iter()
            .map(|(key, text)| (key.clone(), text.to_string()))
            .collect();
        let replies = PeerMessage::table_replies(table.revision(), source.head.clone(), parts);
        for reply in replies {
            self.kernel.send(vm, &reply);
        }
    }

    fn send_lists(&self, vm: VmId, have: &[ListVersion]) {
        let lists: Vec<VmList> = self
            .lists
            .values()
            .rev()
            .filter(|list| !have.contains(&list.version))
            .map(|list| VmList::clone(list))
            .collect();
        if !lists.is_empty() {
            self.kernel.send(vm, &PeerMessage::ListReply { lists });
        }
    }

    fn collect(
        &mut self,
        vm: VmId,
        revision: TableRevision,
        head: String,
        parts: Vec<(String, String)>,
    ) {
        if revision <= self.ledger.revision() {
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
        let outcome = self.ledger.apply_from_peer(incoming);
        if !matches!(outcome, ApplyOutcome::MissingParts(_)) {
            self.incoming.remove(&vm);
        }
        self.act_on(&outcome);
    }

    fn status(&self) -> serde_json::Value {
        let refused = self.ledger.last_refusal().map(|refused| {
            json!({
                "revision": refused.revision.0,
                "editor": refused.editor,
                "reasons": refused.to_string(),
            })
        });
        json!({
            "revision": self.ledger.revision().0,
            "editor": self.ledger.table().map(|table| table.editor().to_owned()),
            "last_refused": refused,
            "list_versions": self.lists.keys().map(|version| version.0).collect::<Vec<_>>(),
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

/// Learns who a seed peer is and asks it for its table and VM lists.
async fn ask_seed(kernel: sync::Arc<KernelHandle>, address: net::SocketAddr) {
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
    kernel.learn_seed(vm, address);
    kernel.send(
        vm,
        &PeerMessage::TableRequest {
            known_revision: TableRevision::default(),
        },
    );
    kernel.send(
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
