//! Heartbeats between gateways.

use toucanledge_core::{Fingerprint, Incarnation, ListVersion, Millis, TableRevision, VmId};

/// State of a gateway, as it reports itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum GatewayState {
    /// Accepts requests and dispatches for shards.
    Live,
    /// Finishes its requests, is the dispatcher of no shard, and will stop.
    Leaving,
}

/// A request that may have crashed backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashSuspicion {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Number of backend servers lost while they ran the request.
    pub lost_backends: u8,
    /// Time since the last loss, in milliseconds.
    pub age_ms: u32,
}

/// Message that a gateway sends to each gateway of its cohort every 1.3 s.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Sender.
    pub from: VmId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// State of the sender.
    pub state: GatewayState,
    /// The sender is past the startup period and has a recovered list history, so it knows all
    /// earlier votes.
    pub established: bool,
    /// Newest VM list version of the sender.
    pub list_version: ListVersion,
    /// Active list versions of the sender, `list_version` included; at most 16.
    pub history: Vec<ListVersion>,
    /// Revision of the sender's active table.
    pub table_revision: TableRevision,
    /// Send time on the sender's clock.
    pub sent_at: Millis,
    /// Newest `sent_at` that the sender received from the receiver's current incarnation.
    pub echo: Option<Millis>,
    /// Gateways that are unreachable for the sender; at most 8.
    pub unreachable: Vec<VmId>,
    /// Crash suspicions of the sender; at most 4.
    pub suspicions: Vec<CrashSuspicion>,
    /// Backend servers that reported themselves as leaving while the VM list still has them as
    /// live; at most 8.
    pub leaving: Vec<VmId>,
}
