//! Heartbeats and the view of the fleet.

use std::collections;
use std::net;
use std::sync;
use std::time;

use serde_json::json;
use tokio::sync::mpsc;
use toucanledge_core::{Fingerprint, Millis, VmId};
use toucanledge_membership::{
    GatewayState, Heartbeat, LocalStatus, MembershipView, ReceiveOutcome, ShardMap, TickOutcome,
};
use toucanledge_wire::HeartbeatSocket;

use crate::board::FleetView;
use crate::kernel::{KernelHandle, Plugin, PluginEvent, PluginName};

/// Time between two rounds of heartbeats.
const PERIOD: time::Duration =
    time::Duration::from_millis(toucanledge_membership::HEARTBEAT_INTERVAL_MS);
/// Time between two looks at who is heard.
const TICK: time::Duration = time::Duration::from_millis(100);

inventory::submit! {
    Plugin { name: PluginName::Membership, kinds: &[], start }
}

struct MembershipPlugin {
    kernel: sync::Arc<KernelHandle>,
    socket: HeartbeatSocket,
    view: MembershipView,
    /// Knows the failure domains of the gateways; has no shards.
    shards: ShardMap,
    addresses: collections::HashMap<VmId, net::SocketAddr>,
}

fn start(kernel: sync::Arc<KernelHandle>, inbox: mpsc::Receiver<PluginEvent>) {
    tokio::spawn(async move {
        let address = kernel.settings.peer_listen;
        match HeartbeatSocket::bind(address, kernel.settings.peer_source).await {
            Ok(socket) => MembershipPlugin::new(kernel, socket).run(inbox).await,
            Err(report) => {
                log::error!("[membership] step listen failed with {address}: {report:?}");
            }
        }
    });
}

impl MembershipPlugin {
    fn new(kernel: sync::Arc<KernelHandle>, socket: HeartbeatSocket) -> Self {
        let now = kernel.clock.now();
        let view = MembershipView::new(kernel.vm, kernel.incarnation, now);
        let shards = ShardMap::default();
        Self {
            kernel,
            socket,
            view,
            shards,
            addresses: collections::HashMap::new(),
        }
    }

    async fn run(mut self, mut inbox: mpsc::Receiver<PluginEvent>) {
        let board = sync::Arc::clone(&self.kernel.board);
        let mut list = board.list.subscribe();
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut rounds = tokio::time::interval(PERIOD);
        rounds.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let socket = self.socket.clone();
        // A list that was published before the subscription does not count as a change.
        self.take_list();
        loop {
            tokio::select! {
                event = inbox.recv() => match event {
                    Some(event) => self.handle(event).await,
                    None => return,
                },
                received = socket.recv() => match received {
                    Ok((heartbeat, _)) => self.receive(heartbeat),
                    Err(report) => {
                        log::warn!("[membership] {report:?}");
                        tokio::time::sleep(TICK).await;
                    }
                },
                Ok(()) = list.changed() => self.take_list(),
                _ = rounds.tick() => self.send_round().await,
                _ = ticks.tick() => {
                    if self.view.tick(self.kernel.clock.now()) == TickOutcome::Resumed {
                        log::warn!("[membership] this gateway was frozen and starts its view anew");
                    }
                    self.publish();
                }
            }
        }
    }

    async fn handle(&mut self, event: PluginEvent) {
        match event {
            PluginEvent::Announce => {
                if self.kernel.board.is_stopping() {
                    self.view.set_state(GatewayState::Leaving);
                }
                self.publish();
                self.send_round().await;
            }
            PluginEvent::LeavingSeen(backend) if self.view.record_leaving_backend(backend) => {
                self.publish();
                self.send_round().await;
            }
            PluginEvent::CrashSeen(fingerprint) => self.note_crash(fingerprint).await,
            PluginEvent::StatusWanted(reply) => {
                let _ = reply.send(self.status());
            }
            _ => {}
        }
    }

    fn take_list(&mut self) {
        let list = self.kernel.board.current_list();
        self.addresses = list
            .gateways()
            .filter_map(|entry| Some((entry.vm, entry.peer?)))
            .collect();
        self.shards = ShardMap::new(&list, []);
        self.view.set_list(&list, self.kernel.clock.now());
        self.publish();
    }

    fn receive(&mut self, mut heartbeat: Heartbeat) {
        let now = self.kernel.clock.now();
        heartbeat.echo = self.echoed_time(heartbeat.echo);
        match self.view.handle_heartbeat(&heartbeat, now) {
            ReceiveOutcome::Heard | ReceiveOutcome::NewIncarnation => {
                let event = || PluginEvent::Heartbeat(Box::new(heartbeat.clone()));
                self.kernel.notify(PluginName::Table, event());
                self.kernel.notify(PluginName::Claims, event());
                self.publish();
            }
            outcome => {
                let name: &'static str = outcome.into();
                metrics::counter!("toucanledge_heartbeats_ignored_total", "reason" => name)
                    .increment(1);
            }
        }
    }

    async fn note_crash(&mut self, fingerprint: Fingerprint) {
        metrics::counter!("toucanledge_crash_suspicions_total").increment(1);
        self.view
            .record_backend_loss(fingerprint, self.kernel.clock.now());
        self.publish();
        self.send_round().await;
    }

    async fn send_round(&mut self) {
        let peers: Vec<VmId> = self.view.heartbeat_targets().collect();
        for peer in peers {
            let Some(address) = self.addresses.get(&peer).copied() else {
                continue;
            };
            let heartbeat = self.heartbeat_for(peer);
            if let Err(report) = self.socket.send_to(&heartbeat, address).await {
                log::debug!("[membership] {peer}: {report:?}");
            }
        }
    }

    fn heartbeat_for(&mut self, peer: VmId) -> Heartbeat {
        let board = &self.kernel.board;
        let claims = board.history.borrow().clone();
        let status = LocalStatus {
            established: claims.as_ref().is_some_and(|claims| claims.established),
            history: claims
                .as_ref()
                .map(|claims| claims.history.clone())
                .unwrap_or_default(),
            table_revision: board
                .current_table()
                .map(|table| table.revision())
                .unwrap_or_default(),
        };
        let mut heartbeat = self
            .view
            .heartbeat_for(peer, self.kernel.clock.now(), &status);
        heartbeat.sent_at = heartbeat.sent_at + self.kernel.incarnation.0;
        if let Some(claims) = claims {
            // A vote may rely on a list that the view does not have yet.
            heartbeat.list_version = claims.list_version;
        }
        heartbeat
    }

    /// Returns the send time on the own clock that a peer echoes.
    ///
    /// Send times travel as milliseconds since 1970 by the incarnation, so the echo of an earlier
    /// process of this VM is told apart.
    fn echoed_time(&self, echo: Option<Millis>) -> Option<Millis> {
        let sent = echo?.0.checked_sub(self.kernel.incarnation.0)?;
        (sent <= self.kernel.clock.now().0).then_some(Millis(sent))
    }

    fn publish(&self) {
        let board = &self.kernel.board;
        let mut live = self.view.live_gateways();
        if board.is_stopping() {
            live.retain(|vm| *vm != self.kernel.vm);
        }
        let lost = self
            .view
            .heartbeat_targets()
            .filter(|vm| !live.contains(vm))
            .collect();
        let fleet = FleetView {
            watchers: self.shards.platform_watchers(&live),
            heard: self.view.is_reachable_by_majority(),
            leaving: self.view.leaving_backends(),
            suspicions: self
                .view
                .suspicions(self.kernel.clock.now())
                .into_iter()
                .map(|suspicion| (suspicion.fingerprint, suspicion.lost_backends))
                .collect(),
            live,
            lost,
        };
        log_suspicions(&board.current_view().suspicions, &fleet.suspicions);
        board.view.send_if_modified(|known| {
            let changed = **known != fleet;
            if changed {
                *known = sync::Arc::new(fleet);
            }
            changed
        });
    }

    fn status(&self) -> serde_json::Value {
        let view = self.kernel.board.current_view();
        json!({
            "heard": view.heard,
            "live": view.live.iter().map(|vm| vm.0).collect::<Vec<_>>(),
            "lost": view.lost.iter().map(|vm| vm.0).collect::<Vec<_>>(),
            "watchers": view.watchers.iter().map(|vm| vm.0).collect::<Vec<_>>(),
            "leaving_backends": view.leaving.iter().map(|vm| vm.0).collect::<Vec<_>>(),
            "crash_suspicions": view.suspicions.len(),
        })
    }
}

/// Logs each backend server that was lost to a suspected request since the last view.
fn log_suspicions(
    known: &collections::HashMap<Fingerprint, u8>,
    present: &collections::HashMap<Fingerprint, u8>,
) {
    for (fingerprint, losses) in present {
        if known.get(fingerprint) != Some(losses) {
            let request = fingerprint.0;
            log::warn!("[membership] request {request:032x} is suspected: {losses} lost to it");
        }
    }
}
