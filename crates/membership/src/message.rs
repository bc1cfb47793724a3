//! The heartbeat between gateways.

use toucanledge_core::{Fingerprint, Incarnation, ListVersion, Millis, TableRevision, VmId};

/// State that a gateway reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum GatewayState {
    /// Takes requests and owns shards.
    Live,
    /// Finishes its requests, owns no shard, and will stop.
    Leaving,
}

/// A request that backend servers were lost to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashSuspicion {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Backend servers lost to it.
    pub lost_backends: u8,
    /// Milliseconds since the last loss.
    pub age_ms: u32,
}

/// What a gateway tells each gateway of its cohort every 1.3 s.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Sender.
    pub from: VmId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// State of the sender.
    pub state: GatewayState,
    /// The sender has run long enough to know all earlier votes.
    pub established: bool,
    /// Greatest VM list version of the sender.
    pub list_version: ListVersion,
    /// List versions in the sender's history that are not retired, `list_version` included; at
    /// most 16.
    pub history: Vec<ListVersion>,
    /// Table revision in force at the sender.
    pub table_revision: TableRevision,
    /// Send time on the sender's clock.
    pub sent_at: Millis,
    /// Greatest `sent_at` that the sender received from the receiver's present incarnation.
    pub echo: Option<Millis>,
    /// Gateways that the sender does not hear; at most 8.
    pub unreachable: Vec<VmId>,
    /// Requests suspected of crashing backend servers; at most 4.
    pub suspicions: Vec<CrashSuspicion>,
    /// Backend servers that said that they are leaving while the VM list has them as live; at
    /// most 8.
    pub leaving: Vec<VmId>,
}
