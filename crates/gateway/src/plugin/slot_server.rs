//! Runs the dispatchers of the shards that this gateway owns.

use std::collections;
use std::net;
use std::sync;

use serde_json::json;
use tokio::sync::mpsc;
use toucanledge_core::{Millis, ShardId, VmId, VmList, VmRole};
use toucanledge_membership::ShardMap;
use toucanledge_slots::{
    BackendPolicy, ClassPolicy, DispatchAction, LeaseQueued, LeaseReply, ListedServer,
    ShardDispatcher, ShardPolicy,
};
use toucanledge_table::{PublishedTable, RepeatRule};
use toucanledge_wire::PeerMessage;

use crate::backend::ConnectionPool;
use crate::kernel::{KernelHandle, PluginEvent, PluginName};
use crate::plugin::slot_status;
use crate::probe;
use crate::shared_state::FleetView;

/// Maximum time in milliseconds after a takeover in which a dispatcher probes its backend servers
/// and grants nothing.
const TAKEOVER_MS: u64 = 100;
/// Time in milliseconds in which the membership plug-in publishes what takeover probes found.
const TAKEOVER_PUBLISH_MS: u64 = 10;

/// Result of probes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeReport {
    /// Result of a probe that a dispatcher requested.
    Server {
        /// Shard of the dispatcher.
        shard: ShardId,
        /// Backend server that was probed.
        backend: VmId,
        /// Whether it responded with success.
        healthy: bool,
    },
    /// Results of the probes of all backend servers of a shard that was taken over.
    Takeover {
        /// Shard that was taken over.
        shard: ShardId,
        /// Backend servers that announced that they are leaving.
        leaving: Vec<VmId>,
    },
}

/// Whether a lease request was decided at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaseRequestState {
    Decided,
    Queued,
}

/// Runs the dispatchers of the shards that this gateway owns.
pub struct SlotServer {
    kernel: sync::Arc<KernelHandle>,
    connection_pool: sync::Arc<ConnectionPool>,
    dispatchers: collections::HashMap<ShardId, ShardDispatcher>,
    addresses: collections::HashMap<VmId, net::SocketAddr>,
    /// Live gateways when [`SlotServer::reconfigure`] was last called.
    live_gateways: Vec<VmId>,
    crash_suspicions: collections::HashMap<toucanledge_core::Fingerprint, u8>,
    probe_sender: Option<mpsc::Sender<ProbeReport>>,
    /// Shards that were just taken over, with the time from which they grant slots.
    starting: collections::HashMap<ShardId, Millis>,
    local_replies: Vec<LeaseReply>,
    revoked_backends: Vec<VmId>,
}

impl SlotServer {
    /// Returns a server without dispatchers.
    pub fn new(kernel: sync::Arc<KernelHandle>) -> Self {
        let connection_pool = sync::Arc::new(ConnectionPool::new(kernel.settings.peer_source));
        Self {
            kernel,
            connection_pool,
            dispatchers: collections::HashMap::new(),
            addresses: collections::HashMap::new(),
            live_gateways: Vec::new(),
            crash_suspicions: collections::HashMap::new(),
            probe_sender: None,
            starting: collections::HashMap::new(),
            local_replies: Vec::new(),
            revoked_backends: Vec::new(),
        }
    }

    /// Sets the channel to which probes send their results.
    pub fn set_probe_sender(&mut self, probe_sender: mpsc::Sender<ProbeReport>) {
        self.probe_sender = Some(probe_sender);
    }

    /// Returns and removes the replies for this gateway itself.
    pub fn take_local_replies(&mut self) -> Vec<LeaseReply> {
        std::mem::take(&mut self.local_replies)
    }

    /// Handles a message of a gateway to one of the dispatchers.
    pub fn handle_message(&mut self, vm: VmId, message: PeerMessage) {
        let now = self.kernel.clock.now();
        match message {
            PeerMessage::LeaseRequest(request) => {
                let (shard, request_id) = (request.shard, request.request_id);
                if self.starting.contains_key(&shard) {
                    // Without a reply, the gateway sends the request to another shard after 50 ms.
                    return;
                }
                let Some(dispatcher) = self.dispatchers.get_mut(&shard) else {
                    metrics::counter!("toucanledge_misdirected_asks_total").increment(1);
                    return;
                };
                let actions = dispatcher.request_lease(vm, request, now);
                let wait_ms = dispatcher.pending_wait_ms(vm, request_id, now);
                if self.perform_for_request(shard, actions, vm, request_id)
                    == LeaseRequestState::Queued
                    && let Some(expected_wait_ms) = wait_ms
                {
                    let queued = LeaseQueued {
                        request_id,
                        expected_wait_ms,
                    };
                    self.send_reply(vm, LeaseReply::Queued(queued));
                }
            }
            PeerMessage::LeaseReport { shard, report } => {
                self.update(shard, |dispatcher| dispatcher.report_end(vm, report, now));
            }
            PeerMessage::LeaseCancel { shard, request_id } => {
                self.update(shard, |dispatcher| dispatcher.cancel(vm, request_id, now));
            }
            PeerMessage::HeldLeases(held) => {
                self.update(held.shard, |dispatcher| {
                    dispatcher.adopt_leases(vm, &held, now)
                });
            }
            _ => {}
        }
    }

    /// Stops all dispatchers; the next call of `reconfigure` starts those that this gateway owns.
    pub fn stop_dispatchers(&mut self) {
        self.dispatchers.clear();
    }

    /// Handles the result of probes.
    pub fn handle_probe_report(&mut self, report: ProbeReport) {
        let now = self.kernel.clock.now();
        match report {
            ProbeReport::Server {
                shard,
                backend,
                healthy,
            } => self.update(shard, |dispatcher| {
                dispatcher.on_probe_result(backend, healthy, now)
            }),
            ProbeReport::Takeover { shard, leaving } => {
                for backend in leaving {
                    let event = PluginEvent::BackendLeaving(backend);
                    self.kernel.notify(PluginName::Membership, event);
                }
                if let Some(grants_from) = self.starting.get_mut(&shard) {
                    *grants_from = (*grants_from).min(now + TAKEOVER_PUBLISH_MS);
                }
            }
        }
    }

    /// Runs the timers of every dispatcher that are due.
    pub fn tick(&mut self) {
        let now = self.kernel.clock.now();
        self.starting.retain(|_, grants_from| now < *grants_from);
        let due: Vec<ShardId> = self
            .dispatchers
            .iter()
            .filter(|(_, dispatcher)| dispatcher.next_deadline().is_some_and(|due| now >= due))
            .map(|(shard, _)| *shard)
            .collect();
        for shard in due {
            self.update(shard, |dispatcher| dispatcher.tick(now));
        }
    }

    /// Applies the current table, VM list and fleet view, and starts or stops dispatchers.
    pub fn reconfigure(
        &mut self,
        table: &PublishedTable,
        list: &VmList,
        view: &FleetView,
        shards: &ShardMap,
    ) {
        let now = self.kernel.clock.now();
        self.addresses = list
            .backends()
            .filter_map(|entry| Some((entry.vm, entry.address?)))
            .collect();
        self.remove_unreachable_gateways(view, now);
        self.crash_suspicions.clone_from(&view.crash_suspicions);
        let mut owned = Vec::new();
        for shard in shards.shards() {
            let members = shards.backends(shard);
            if shards.dispatcher(shard, &view.live) == Some(self.kernel.vm) {
                owned.push(shard);
                self.configure_shard(shard, members, table, list, shards, now);
            }
        }
        self.dispatchers.retain(|shard, _| {
            let is_owned = owned.contains(shard);
            if !is_owned {
                log::info!(
                    "[slots] hands over shard {}",
                    slot_status::shard_name(*shard)
                );
            }
            is_owned
        });
        metrics::gauge!("toucanledge_owned_shards")
            .set(u32::try_from(owned.len()).map_or(f64::MAX, f64::from));
    }

    fn remove_unreachable_gateways(&mut self, view: &FleetView, now: Millis) {
        let newly_unreachable: Vec<VmId> = view
            .unreachable
            .iter()
            .filter(|vm| self.live_gateways.contains(vm))
            .copied()
            .collect();
        let shards: Vec<ShardId> = self.dispatchers.keys().copied().collect();
        for (vm, shard) in newly_unreachable
            .iter()
            .flat_map(|vm| shards.iter().map(move |shard| (vm, shard)))
        {
            self.update(*shard, |dispatcher| dispatcher.remove_gateway(*vm, now));
        }
        self.live_gateways.clone_from(&view.live);
    }

    fn configure_shard(
        &mut self,
        shard: ShardId,
        members: &[VmId],
        table: &PublishedTable,
        list: &VmList,
        shards: &ShardMap,
        now: Millis,
    ) {
        let policy = shard_policy(shard, members, table, list, shards);
        let listed: Vec<ListedServer> = list
            .backends()
            .filter(|entry| members.contains(&entry.vm))
            .map(|entry| ListedServer {
                backend: entry.vm,
                state: entry.state,
            })
            .collect();
        let crash_suspects: Vec<_> = self
            .crash_suspicions
            .iter()
            .map(|(fingerprint, lost_backends)| (*fingerprint, u32::from(*lost_backends)))
            .collect();
        if let collections::hash_map::Entry::Vacant(entry) = self.dispatchers.entry(shard) {
            log::info!(
                "[slots] takes over shard {}",
                slot_status::shard_name(shard)
            );
            entry.insert(ShardDispatcher::new(shard, rand::random()));
            self.starting.insert(shard, now + TAKEOVER_MS);
            self.probe_members(shard, members);
        }
        self.update(shard, |dispatcher| dispatcher.set_policy(policy, now));
        self.update(shard, |dispatcher| dispatcher.set_servers(listed, now));
        self.update(shard, |dispatcher| {
            dispatcher.set_crash_suspects(crash_suspects, now)
        });
    }

    /// Calls a dispatcher and performs the actions that it returns.
    fn update(
        &mut self,
        shard: ShardId,
        call: impl FnOnce(&mut ShardDispatcher) -> Vec<DispatchAction>,
    ) {
        let Some(dispatcher) = self.dispatchers.get_mut(&shard) else {
            return;
        };
        let actions = call(dispatcher);
        for action in actions {
            self.perform(shard, action);
        }
    }

    /// Performs the actions after a lease request and returns whether it was decided.
    fn perform_for_request(
        &mut self,
        shard: ShardId,
        actions: Vec<DispatchAction>,
        vm: VmId,
        request_id: toucanledge_slots::LeaseRequestId,
    ) -> LeaseRequestState {
        let mut state = LeaseRequestState::Queued;
        for action in actions {
            if let DispatchAction::Reply { gateway, reply } = &action
                && *gateway == vm
                && reply.request_id() == request_id
            {
                state = LeaseRequestState::Decided;
            }
            self.perform(shard, action);
        }
        state
    }

    fn perform(&mut self, shard: ShardId, action: DispatchAction) {
        match action {
            DispatchAction::Reply { gateway, reply } => self.send_reply(gateway, reply),
            DispatchAction::Probe { backend } => self.probe(shard, backend),
            DispatchAction::Ejected(event) => {
                self.revoke(shard, event.backend);
                let reason: &'static str = event.reason.into();
                metrics::counter!("toucanledge_ejections_total", "reason" => reason).increment(1);
                log::warn!(
                    "[slots] ejects {} for {reason}: row {}, table {}, evidence {}, age {} ms, \
                     peer median {} ms",
                    event.backend,
                    event.row,
                    event.table_revision.0,
                    event.evidence_count,
                    event.oldest_stall_ms,
                    event.peer_median_ms
                );
            }
            DispatchAction::EjectionSuppressed(event) => {
                let reason: &'static str = event.reason.into();
                metrics::counter!("toucanledge_floor_kept_total", "reason" => reason).increment(1);
                log::warn!(
                    "[slots] keeps {} in service for the floor despite {reason}: table {}",
                    event.backend,
                    event.table_revision.0
                );
            }
            DispatchAction::Reinstated(event) => {
                let reason: &'static str = event.reason.into();
                metrics::counter!("toucanledge_returns_total", "reason" => reason).increment(1);
                log::info!("[slots] returns {} to service: {reason}", event.backend);
            }
            DispatchAction::CrashSuspects {
                backend,
                fingerprints,
            } => {
                log::warn!(
                    "[slots] {backend} crashed with {} requests in flight",
                    fingerprints.len()
                );
                for fingerprint in fingerprints {
                    let event = PluginEvent::CrashSuspected(fingerprint);
                    self.kernel.notify(PluginName::Membership, event);
                }
            }
        }
    }

    /// Signals the gateways that hold leases of an ejected backend server to retry at another.
    fn revoke(&mut self, shard: ShardId, backend: VmId) {
        let Some(dispatcher) = self.dispatchers.get(&shard) else {
            return;
        };
        for gateway in dispatcher.lease_holders(backend) {
            if gateway == self.kernel.vm {
                self.revoked_backends.push(backend);
            } else {
                let message = PeerMessage::LeaseRevoke { shard, backend };
                self.kernel.send_to_peer(gateway, &message);
            }
        }
    }

    /// Returns and removes the ejected backend servers of which this gateway itself holds leases.
    pub fn take_revoked_backends(&mut self) -> Vec<VmId> {
        std::mem::take(&mut self.revoked_backends)
    }

    fn send_reply(&mut self, gateway: VmId, reply: LeaseReply) {
        if gateway == self.kernel.vm {
            self.local_replies.push(reply);
        } else {
            self.kernel
                .send_to_peer(gateway, &PeerMessage::LeaseReply(reply));
        }
    }

    fn probe(&self, shard: ShardId, backend: VmId) {
        metrics::counter!("toucanledge_probes_total").increment(1);
        let (Some(address), Some(report_sender)) =
            (self.addresses.get(&backend), &self.probe_sender)
        else {
            return;
        };
        let (address, report_sender) = (*address, report_sender.clone());
        let connection_pool = sync::Arc::clone(&self.connection_pool);
        tokio::spawn(async move {
            let healthy = probe::probe(&connection_pool, address).await.healthy;
            let report = ProbeReport::Server {
                shard,
                backend,
                healthy,
            };
            let _ = report_sender.send(report).await;
        });
    }

    /// Probes all backend servers of a shard that is taken over, to find out which are leaving.
    ///
    /// The previous dispatcher may have known, and no reachable gateway may have had a response of
    /// that backend server since.
    fn probe_members(&self, shard: ShardId, members: &[VmId]) {
        let Some(report_sender) = self.probe_sender.clone() else {
            return;
        };
        let with_address = |vm: &VmId| Some((*vm, *self.addresses.get(vm)?));
        let servers: Vec<(VmId, net::SocketAddr)> =
            members.iter().filter_map(with_address).collect();
        let probe_count = u64::try_from(servers.len()).unwrap_or(0);
        metrics::counter!("toucanledge_probes_total").increment(probe_count);
        let connection_pool = sync::Arc::clone(&self.connection_pool);
        tokio::spawn(async move {
            let probes = servers
                .iter()
                .map(|(_, address)| probe::probe(&connection_pool, *address));
            let results = futures_util::future::join_all(probes).await;
            let leaving = servers
                .iter()
                .zip(results)
                .filter(|(_, result)| result.leaving)
                .map(|((vm, _), _)| *vm)
                .collect();
            let _ = report_sender
                .send(ProbeReport::Takeover { shard, leaving })
                .await;
        });
    }

    /// Returns the state of the dispatchers for the status page.
    pub fn status(&self) -> serde_json::Value {
        let now = self.kernel.clock.now();
        let shards: Vec<_> = self
            .dispatchers
            .values()
            .map(|dispatcher| slot_status::shard_json(&dispatcher.status(now), now))
            .collect();
        json!({ "shards": shards })
    }
}

fn shard_policy(
    shard: ShardId,
    members: &[VmId],
    table: &PublishedTable,
    list: &VmList,
    shards: &ShardMap,
) -> ShardPolicy {
    let shard_count = shards.shards_of(shard.pool).count();
    let share_per_shard = 1.0 / f64::from(u32::try_from(shard_count.max(1)).unwrap_or(u32::MAX));
    let classes = table
        .classes()
        .filter(|row| row.pool_id == shard.pool)
        .map(|row| ClassPolicy {
            class: row.class_id,
            row: row.class.as_str().into(),
            weight: row.weight,
            queue_ms: row.queue_ms,
            slot_share: row.slot_share,
            rate_limit_per_s: f64::from(row.rate_limit) * share_per_shard,
            floor: row.floor,
            keyed: row.repeat == RepeatRule::Keyed,
        })
        .collect();
    let backends = list
        .vms
        .iter()
        .filter(|entry| entry.role == VmRole::Backend && members.contains(&entry.vm))
        .filter_map(|entry| {
            let row = table.backend(&entry.name)?;
            Some(BackendPolicy {
                backend: entry.vm,
                row: row.backend.as_str().into(),
                weight: row.weight,
                slots: row.slots,
                connections: row.connections,
            })
        })
        .collect();
    ShardPolicy {
        table_revision: table.revision(),
        classes,
        backends,
    }
}
