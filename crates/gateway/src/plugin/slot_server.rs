//! The dispatching side of slots: the shards that this gateway owns.

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

use crate::backend::BackendPool;
use crate::board::FleetView;
use crate::kernel::{KernelHandle, PluginEvent, PluginName};
use crate::plugin::slot_status;
use crate::probe;

/// Longest time in milliseconds for which a new dispatcher grants nothing and probes its servers.
const TAKEOVER_MS: u64 = 100;
/// Time in milliseconds in which the membership plug-in publishes what the probes found.
const TAKEOVER_NEWS_MS: u64 = 10;

/// Result of probes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeReport {
    /// A probe that a dispatcher asked for.
    Server {
        /// Shard of the dispatcher.
        shard: ShardId,
        /// Backend server that was probed.
        backend: VmId,
        /// Whether it answered with success.
        healthy: bool,
    },
    /// The probes of all backend servers of a shard that was taken over.
    Takeover {
        /// Shard that was taken over.
        shard: ShardId,
        /// Backend servers that said that they are leaving.
        leaving: Vec<VmId>,
    },
}

/// Whether an ask was answered at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AskState {
    Answered,
    Waiting,
}

/// The dispatching side of slots.
pub struct SlotServer {
    kernel: sync::Arc<KernelHandle>,
    pool: sync::Arc<BackendPool>,
    dispatchers: collections::HashMap<ShardId, ShardDispatcher>,
    addresses: collections::HashMap<VmId, net::SocketAddr>,
    live: Vec<VmId>,
    suspicions: collections::HashMap<toucanledge_core::Fingerprint, u8>,
    probes: Option<mpsc::Sender<ProbeReport>>,
    /// Shards that were just taken over, with the time at which they grant slots.
    starting: collections::HashMap<ShardId, Millis>,
    local: Vec<LeaseReply>,
    revoked: Vec<VmId>,
}

impl SlotServer {
    /// Returns a server that owns no shard yet.
    pub fn new(kernel: sync::Arc<KernelHandle>) -> Self {
        let pool = sync::Arc::new(BackendPool::new(kernel.settings.peer_source));
        Self {
            kernel,
            pool,
            dispatchers: collections::HashMap::new(),
            addresses: collections::HashMap::new(),
            live: Vec::new(),
            suspicions: collections::HashMap::new(),
            probes: None,
            starting: collections::HashMap::new(),
            local: Vec::new(),
            revoked: Vec::new(),
        }
    }

    /// Sets the channel on which probes tell their results.
    pub fn set_probe_sender(&mut self, probes: mpsc::Sender<ProbeReport>) {
        self.probes = Some(probes);
    }

    /// Takes the replies for this gateway itself.
    pub fn take_local(&mut self) -> Vec<LeaseReply> {
        std::mem::take(&mut self.local)
    }

    /// Takes a message of a gateway to one of the dispatchers.
    pub fn receive(&mut self, vm: VmId, message: PeerMessage) {
        let now = self.kernel.clock.now();
        match message {
            PeerMessage::LeaseRequest(ask) => {
                let (shard, ask_id) = (ask.shard, ask.request_id);
                if self.starting.contains_key(&shard) {
                    // The gateway asks another shard after 50 ms without a reply.
                    return;
                }
                let Some(dispatcher) = self.dispatchers.get_mut(&shard) else {
                    metrics::counter!("toucanledge_misdirected_asks_total").increment(1);
                    return;
                };
                let steps = dispatcher.request_lease(vm, ask, now);
                let wait = dispatcher.pending_wait_ms(vm, ask_id, now);
                if self.take_steps(shard, steps, vm, ask_id) == AskState::Waiting
                    && let Some(expected_wait) = wait
                {
                    let queued = LeaseQueued {
                        request_id: ask_id,
                        expected_wait_ms: expected_wait,
                    };
                    self.answer(vm, LeaseReply::Queued(queued));
                }
            }
            PeerMessage::LeaseReport { shard, report } => {
                self.with(shard, |dispatcher| dispatcher.report_end(vm, report, now));
            }
            PeerMessage::LeaseCancel {
                shard,
                request_id: ask,
            } => {
                self.with(shard, |dispatcher| dispatcher.cancel(vm, ask, now));
            }
            PeerMessage::HeldLeases(holds) => {
                self.with(holds.shard, |dispatcher| {
                    dispatcher.adopt_leases(vm, &holds, now)
                });
            }
            _ => {}
        }
    }

    /// Ends all dispatchers; the next call of `reconfigure` starts those that this gateway owns.
    pub fn give_up(&mut self) {
        self.dispatchers.clear();
    }

    /// Takes the result of probes.
    pub fn take_report(&mut self, report: ProbeReport) {
        let now = self.kernel.clock.now();
        match report {
            ProbeReport::Server {
                shard,
                backend,
                healthy,
            } => self.with(shard, |dispatcher| {
                dispatcher.on_probe_result(backend, healthy, now)
            }),
            ProbeReport::Takeover { shard, leaving } => {
                for backend in leaving {
                    let event = PluginEvent::LeavingSeen(backend);
                    self.kernel.notify(PluginName::Membership, event);
                }
                if let Some(starts) = self.starting.get_mut(&shard) {
                    *starts = (*starts).min(now + TAKEOVER_NEWS_MS);
                }
            }
        }
    }

    /// Does what is due in every shard.
    pub fn tick(&mut self) {
        let now = self.kernel.clock.now();
        self.starting.retain(|_, starts| now < *starts);
        let due: Vec<ShardId> = self
            .dispatchers
            .iter()
            .filter(|(_, dispatcher)| dispatcher.next_deadline().is_some_and(|due| now >= due))
            .map(|(shard, _)| *shard)
            .collect();
        for shard in due {
            self.with(shard, |dispatcher| dispatcher.tick(now));
        }
    }

    /// Takes the present table, list and view, and starts or ends dispatchers.
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
        self.end_lost_gateways(view, now);
        self.suspicions.clone_from(&view.suspicions);
        let mut owned = Vec::new();
        for shard in shards.shards() {
            let members = shards.backends(shard);
            if shards.dispatcher(shard, &view.live) == Some(self.kernel.vm) {
                owned.push(shard);
                self.configure_shard(shard, members, table, list, shards, now);
            }
        }
        self.dispatchers.retain(|shard, _| {
            let keeps = owned.contains(shard);
            if !keeps {
                log::info!(
                    "[slots] hands over shard {}",
                    slot_status::shard_name(*shard)
                );
            }
            keeps
        });
        metrics::gauge!("toucanledge_owned_shards")
            .set(u32::try_from(owned.len()).map_or(f64::MAX, f64::from));
    }

    fn end_lost_gateways(&mut self, view: &FleetView, now: Millis) {
        let gone: Vec<VmId> = view
            .lost
            .iter()
            .filter(|vm| self.live.contains(vm))
            .copied()
            .collect();
        let shards: Vec<ShardId> = self.dispatchers.keys().copied().collect();
        for (vm, shard) in gone
            .iter()
            .flat_map(|vm| shards.iter().map(move |shard| (vm, shard)))
        {
            self.with(*shard, |dispatcher| dispatcher.remove_gateway(*vm, now));
        }
        self.live.clone_from(&view.live);
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
        let told: Vec<_> = self
            .suspicions
            .iter()
            .map(|(print, losses)| (*print, u32::from(*losses)))
            .collect();
        if let collections::hash_map::Entry::Vacant(entry) = self.dispatchers.entry(shard) {
            log::info!(
                "[slots] takes over shard {}",
                slot_status::shard_name(shard)
            );
            entry.insert(ShardDispatcher::new(shard, rand::random()));
            self.starting.insert(shard, now + TAKEOVER_MS);
            self.probe_all(shard, members);
        }
        self.with(shard, |dispatcher| dispatcher.set_policy(policy, now));
        self.with(shard, |dispatcher| dispatcher.set_servers(listed, now));
        self.with(shard, |dispatcher| dispatcher.set_crash_suspects(told, now));
    }

    fn with(
        &mut self,
        shard: ShardId,
        event: impl FnOnce(&mut ShardDispatcher) -> Vec<DispatchAction>,
    ) {
        let Some(dispatcher) = self.dispatchers.get_mut(&shard) else {
            return;
        };
        let steps = event(dispatcher);
        for step in steps {
            self.take_step(shard, step);
        }
    }

    /// Takes the steps after an ask and tells whether the ask was answered.
    fn take_steps(
        &mut self,
        shard: ShardId,
        steps: Vec<DispatchAction>,
        vm: VmId,
        ask: toucanledge_slots::LeaseRequestId,
    ) -> AskState {
        let mut state = AskState::Waiting;
        for step in steps {
            if let DispatchAction::Reply { gateway, reply } = &step
                && *gateway == vm
                && reply.request_id() == ask
            {
                state = AskState::Answered;
            }
            self.take_step(shard, step);
        }
        state
    }

    fn take_step(&mut self, shard: ShardId, step: DispatchAction) {
        match step {
            DispatchAction::Reply { gateway, reply } => self.answer(gateway, reply),
            DispatchAction::Probe { backend } => self.probe(shard, backend),
            DispatchAction::Ejected(note) => {
                self.revoke(shard, note.backend);
                let reason: &'static str = note.reason.into();
                metrics::counter!("toucanledge_ejections_total", "reason" => reason).increment(1);
                log::warn!(
                    "[slots] ejects {} for {reason}: row {}, table {}, evidence {}, age {} ms, \
                     peer median {} ms",
                    note.backend,
                    note.row,
                    note.table_revision.0,
                    note.evidence_count,
                    note.oldest_stall_ms,
                    note.peer_median_ms
                );
            }
            DispatchAction::EjectionSuppressed(note) => {
                let reason: &'static str = note.reason.into();
                metrics::counter!("toucanledge_floor_kept_total", "reason" => reason).increment(1);
                log::warn!(
                    "[slots] keeps {} in service for the floor despite {reason}: table {}",
                    note.backend,
                    note.table_revision.0
                );
            }
            DispatchAction::Reinstated(note) => {
                let reason: &'static str = note.reason.into();
                metrics::counter!("toucanledge_returns_total", "reason" => reason).increment(1);
                log::info!("[slots] returns {} to service: {reason}", note.backend);
            }
            DispatchAction::CrashSuspects {
                backend,
                fingerprints,
            } => {
                log::warn!(
                    "[slots] {backend} crashed with {} requests",
                    fingerprints.len()
                );
                for fingerprint in fingerprints {
                    let event = PluginEvent::CrashSeen(fingerprint);
                    self.kernel.notify(PluginName::Membership, event);
                }
            }
        }
    }

    /// Tells the gateways that use an ejected backend server to try elsewhere.
    fn revoke(&mut self, shard: ShardId, backend: VmId) {
        let Some(dispatcher) = self.dispatchers.get(&shard) else {
            return;
        };
        for gateway in dispatcher.lease_holders(backend) {
            if gateway == self.kernel.vm {
                self.revoked.push(backend);
            } else {
                let message = PeerMessage::LeaseRevoke { shard, backend };
                self.kernel.send(gateway, &message);
            }
        }
    }

    /// Takes the ejected backend servers of which this gateway itself holds leases.
    pub fn take_revoked(&mut self) -> Vec<VmId> {
        std::mem::take(&mut self.revoked)
    }

    fn answer(&mut self, gateway: VmId, reply: LeaseReply) {
        if gateway == self.kernel.vm {
            self.local.push(reply);
        } else {
            self.kernel.send(gateway, &PeerMessage::LeaseReply(reply));
        }
    }

    fn probe(&self, shard: ShardId, backend: VmId) {
        metrics::counter!("toucanledge_probes_total").increment(1);
        let (Some(address), Some(reports)) = (self.addresses.get(&backend), &self.probes) else {
            return;
        };
        let (address, reports) = (*address, reports.clone());
        let pool = sync::Arc::clone(&self.pool);
        tokio::spawn(async move {
            let healthy = probe::probe(&pool, address).await.healthy;
            let report = ProbeReport::Server {
                shard,
                backend,
                healthy,
            };
            let _ = reports.send(report).await;
        });
    }

    /// Asks each backend server of a shard that is taken over whether it is leaving.
    ///
    /// The former dispatcher may have known, and no gateway that can be heard may have had an
    /// answer of that server since.
    fn probe_all(&self, shard: ShardId, members: &[VmId]) {
        let Some(reports) = self.probes.clone() else {
            return;
        };
        let known = |vm: &VmId| Some((*vm, *self.addresses.get(vm)?));
        let servers: Vec<(VmId, net::SocketAddr)> = members.iter().filter_map(known).collect();
        let probes = u64::try_from(servers.len()).unwrap_or(0);
        metrics::counter!("toucanledge_probes_total").increment(probes);
        let pool = sync::Arc::clone(&self.pool);
        tokio::spawn(async move {
            let answers = servers
                .iter()
                .map(|(_, address)| probe::probe(&pool, *address));
            let answers = futures_util::future::join_all(answers).await;
            let leaving = servers
                .iter()
                .zip(answers)
                .filter(|(_, answer)| answer.leaving)
                .map(|((vm, _), _)| *vm)
                .collect();
            let _ = reports.send(ProbeReport::Takeover { shard, leaving }).await;
        });
    }

    /// Returns the dispatchers' part of the status page.
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
    let equal_share = 1.0 / f64::from(u32::try_from(shard_count.max(1)).unwrap_or(u32::MAX));
    let classes = table
        .classes()
        .filter(|row| row.pool_id == shard.pool)
        .map(|row| ClassPolicy {
            class: row.class_id,
            row: row.class.as_str().into(),
            weight: row.weight,
            queue_ms: row.queue_ms,
            slot_share: row.slot_share,
            rate_limit_per_s: f64::from(row.rate_limit) * equal_share,
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
