//! Plug-in for membership: sends and receives heartbeats and publishes the fleet view.

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

use crate::kernel::{KernelHandle, PluginDescriptor, PluginEvent, PluginName};
use crate::shared_state::FleetView;

/// Time between two heartbeats to the same peer.
const HEARTBEAT_INTERVAL: time::Duration =
    time::Duration::from_millis(toucanledge_membership::HEARTBEAT_INTERVAL_MS);
/// Time between two checks of which peers are reachable.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(100);

inventory::submit! {
    PluginDescriptor { name: PluginName::Membership, message_kinds: &[], start }
}

struct MembershipPlugin {
    kernel: sync::Arc<KernelHandle>,
    socket: HeartbeatSocket,
    view: MembershipView,
    /// Selects the platform watchers; contains the gateways but no shards.
    gateway_map: ShardMap,
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
        let gateway_map = ShardMap::default();
        Self {
            kernel,
            socket,
            view,
            gateway_map,
            addresses: collections::HashMap::new(),
        }
    }

    async fn run(mut self, mut inbox: mpsc::Receiver<PluginEvent>) {
        let state = sync::Arc::clone(&self.kernel.state);
        let mut vm_list = state.vm_list.subscribe();
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut heartbeats = tokio::time::interval(HEARTBEAT_INTERVAL);
        heartbeats.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let socket = self.socket.clone();
        // A VM list that was published before the subscription does not count as a change.
        self.apply_vm_list();
        loop {
            tokio::select! {
                event = inbox.recv() => match event {
                    Some(event) => self.handle(event).await,
                    None => return,
                },
                received = socket.recv() => match received {
                    Ok((heartbeat, _)) => self.handle_heartbeat(heartbeat),
                    Err(report) => {
                        log::warn!("[membership] could not receive a heartbeat: {report:?}");
                        tokio::time::sleep(TICK_INTERVAL).await;
                    }
                },
                Ok(()) = vm_list.changed() => self.apply_vm_list(),
                _ = heartbeats.tick() => self.send_heartbeats().await,
                _ = ticks.tick() => {
                    if self.view.tick(self.kernel.clock.now()) == TickOutcome::Resumed {
                        log::warn!("[membership] this gateway was frozen; rebuilding the fleet view");
                    }
                    self.publish();
                }
            }
        }
    }

    async fn handle(&mut self, event: PluginEvent) {
        match event {
            PluginEvent::StateChanged => {
                if self.kernel.state.is_stopping() {
                    self.view.set_state(GatewayState::Leaving);
                }
                self.publish();
                self.send_heartbeats().await;
            }
            PluginEvent::BackendLeaving(backend) if self.view.record_leaving_backend(backend) => {
                self.publish();
                self.send_heartbeats().await;
            }
            PluginEvent::CrashSuspected(fingerprint) => self.record_crash(fingerprint).await,
            PluginEvent::StatusRequested(reply) => {
                let _ = reply.send(self.status());
            }
            _ => {}
        }
    }

    fn apply_vm_list(&mut self) {
        let list = self.kernel.state.current_vm_list();
        self.addresses = list
            .gateways()
            .filter_map(|entry| Some((entry.vm, entry.peer?)))
            .collect();
        self.gateway_map = ShardMap::new(&list, []);
        self.view.set_list(&list, self.kernel.clock.now());
        self.publish();
    }

    fn handle_heartbeat(&mut self, mut heartbeat: Heartbeat) {
        let now = self.kernel.clock.now();
        heartbeat.echo = self.local_echo_time(heartbeat.echo);
        match self.view.handle_heartbeat(&heartbeat, now) {
            ReceiveOutcome::Heard | ReceiveOutcome::NewIncarnation => {
                let event = || PluginEvent::HeartbeatReceived(Box::new(heartbeat.clone()));
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

    async fn record_crash(&mut self, fingerprint: Fingerprint) {
        metrics::counter!("toucanledge_crash_suspicions_total").increment(1);
        self.view
            .record_backend_loss(fingerprint, self.kernel.clock.now());
        self.publish();
        self.send_heartbeats().await;
    }

    async fn send_heartbeats(&mut self) {
        let peers: Vec<VmId> = self.view.heartbeat_targets().collect();
        for peer in peers {
            let Some(address) = self.addresses.get(&peer).copied() else {
                continue;
            };
            let heartbeat = self.heartbeat_for(peer);
            if let Err(report) = self.socket.send_to(&heartbeat, address).await {
                log::debug!("[membership] could not send a heartbeat to {peer}: {report:?}");
            }
        }
    }

    fn heartbeat_for(&mut self, peer: VmId) -> Heartbeat {
        let state = &self.kernel.state;
        let claims = state.list_history.borrow().clone();
        let status = LocalStatus {
            established: claims.as_ref().is_some_and(|claims| claims.established),
            history: claims
                .as_ref()
                .map(|claims| claims.history.clone())
                .unwrap_or_default(),
            table_revision: state
                .current_table()
                .map(|table| table.revision())
                .unwrap_or_default(),
        };
        let mut heartbeat = self
            .view
            .heartbeat_for(peer, self.kernel.clock.now(), &status);
        heartbeat.sent_at = heartbeat.sent_at + self.kernel.incarnation.0;
        if let Some(claims) = claims {
            // A vote may rely on a VM list that the membership view does not have yet.
            heartbeat.list_version = claims.list_version;
        }
        heartbeat
    }

    /// Converts the send time that a peer echoes to the clock of this process.
    ///
    /// Send times are transmitted with the incarnation added, so they are milliseconds since the
    /// Unix epoch. An echo of a heartbeat of an earlier process of this VM gives `None`.
    fn local_echo_time(&self, echo: Option<Millis>) -> Option<Millis> {
        let sent_at = echo?.0.checked_sub(self.kernel.incarnation.0)?;
        (sent_at <= self.kernel.clock.now().0).then_some(Millis(sent_at))
    }

    fn publish(&self) {
        let state = &self.kernel.state;
        let mut live = self.view.live_gateways();
        if state.is_stopping() {
            live.retain(|vm| *vm != self.kernel.vm);
        }
        let unreachable = self
            .view
            .heartbeat_targets()
            .filter(|vm| !live.contains(vm))
            .collect();
        let fleet_view = FleetView {
            platform_watchers: self.gateway_map.platform_watchers(&live),
            is_reachable_by_majority: self.view.is_reachable_by_majority(),
            leaving_backends: self.view.leaving_backends(),
            crash_suspicions: self
                .view
                .suspicions(self.kernel.clock.now())
                .into_iter()
                .map(|suspicion| (suspicion.fingerprint, suspicion.lost_backends))
                .collect(),
            live,
            unreachable,
        };
        log_crash_suspicions(
            &state.current_fleet_view().crash_suspicions,
            &fleet_view.crash_suspicions,
        );
        state.fleet_view.send_if_modified(|published| {
            let changed = **published != fleet_view;
            if changed {
                *published = sync::Arc::new(fleet_view);
            }
            changed
        });
    }

    fn status(&self) -> serde_json::Value {
        let view = self.kernel.state.current_fleet_view();
        json!({
            "heard": view.is_reachable_by_majority,
            "live": view.live.iter().map(|vm| vm.0).collect::<Vec<_>>(),
            "lost": view.unreachable.iter().map(|vm| vm.0).collect::<Vec<_>>(),
            "watchers": view.platform_watchers.iter().map(|vm| vm.0).collect::<Vec<_>>(),
            "leaving_backends": view.leaving_backends.iter().map(|vm| vm.0).collect::<Vec<_>>(),
            "crash_suspicions": view.crash_suspicions.len(),
        })
    }
}

/// Logs each crash suspect that is new or has lost a further backend server.
fn log_crash_suspicions(
    previous: &collections::HashMap<Fingerprint, u8>,
    current: &collections::HashMap<Fingerprint, u8>,
) {
    for (fingerprint, lost_backends) in current {
        if previous.get(fingerprint) != Some(lost_backends) {
            let request = fingerprint.0;
            log::warn!(
                "[membership] request {request:032x} is a crash suspect: {lost_backends} backend \
                 servers lost"
            );
        }
    }
}
