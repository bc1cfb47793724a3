//! The parts of the policy table and of the VM list that concern one shard.

use std::sync;

use toucanledge_core::{ClassId, TableRevision, VmId, VmState};

/// Rows of the policy table that concern one shard.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardPolicy {
    /// Revision of the table.
    pub table_revision: TableRevision,
    /// Classes of work that the shard's pool serves.
    pub classes: Vec<ClassPolicy>,
    /// Rows of the shard's backend servers.
    pub backends: Vec<BackendPolicy>,
}

/// Row of a class of work.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassPolicy {
    /// Identifies the class.
    pub class: ClassId,
    /// Name of the row.
    pub row: sync::Arc<str>,
    /// Weight in fair queueing among the classes with queued requests.
    pub weight: f64,
    /// Longest wait for a slot in milliseconds.
    pub queue_ms: u32,
    /// Greatest share of the shard's slots that the class may hold at once.
    pub slot_share: f64,
    /// Requests per second that this shard may grant; 0 means no limit.
    ///
    /// This is the shard's part of the fleet's limit, see
    /// [`shard_rate_limit`](crate::shard_rate_limit).
    pub rate_limit_per_s: f64,
    /// Least share of the shard's live backend servers that stays in service.
    pub floor: f64,
    /// Whether requests of the class must not run twice (at-most-once requests).
    pub keyed: bool,
}

/// Row of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendPolicy {
    /// Identifies the backend server.
    pub backend: VmId,
    /// Name of the row.
    pub row: sync::Arc<str>,
    /// Weight of each free slot in the choice of a backend server.
    pub weight: f64,
    /// Requests that the backend server runs at once.
    pub slots: u32,
    /// Connections that the backend server accepts.
    pub connections: u32,
}

/// Entry of the VM list for a backend server of the shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedServer {
    /// Identifies the backend server.
    pub backend: VmId,
    /// State that the platform reports.
    pub state: VmState,
}

impl ShardPolicy {
    /// Returns the greatest floor of the classes.
    #[must_use]
    pub fn max_floor(&self) -> f64 {
        self.classes
            .iter()
            .map(|class| class.floor)
            .fold(0.0, f64::max)
    }

    pub(crate) fn all_keyed(&self) -> bool {
        self.classes.iter().all(|class| class.keyed)
    }
}
