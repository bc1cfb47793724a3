//! Interface to the platform's store.

use std::fmt;
use std::sync;

use futures_util::future::BoxFuture;
use toucanledge_steering::{RoutingTable, ServerRow, StoreRecord};

/// Changed records, complete up to a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordBatch {
    /// Changed records.
    pub records: Vec<StoreRecord>,
    /// Revision up to which no change is missing.
    pub revision: u64,
}

/// Why the store could not be read.
///
/// The names are part of log lines and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum StoreError {
    /// The connection could not be opened or was lost.
    Unreachable,
    /// There was no response in time.
    Silent,
    /// The store refused the call.
    Refused,
    /// The revision to watch from was compacted.
    HistoryGone,
    /// The response is invalid.
    BadAnswer,
}

/// Future of a read.
pub type StoreFuture = BoxFuture<'static, Result<RecordBatch, StoreError>>;

/// A record of the store, decoded.
#[derive(Clone, Debug, PartialEq)]
pub enum DecodedRecord {
    /// The routing table.
    Table(RoutingTable),
    /// A backend server.
    Server(ServerRow),
    /// Name of a backend server that is no longer published.
    ServerRemoved(String),
    /// A record that cannot be decoded.
    Invalid {
        /// Name of the backend server that the record is about; `None` for other records.
        server: Option<String>,
        /// What is wrong with the record.
        reason: String,
    },
    /// A record that gateways do not use.
    Ignored,
}

/// Functions that read and decode the store's records.
#[derive(Clone)]
pub struct StoreSource {
    /// Lists all records; the revision of the batch is that at which the listing began.
    pub list: sync::Arc<dyn Fn() -> StoreFuture + Send + Sync>,
    /// Waits for changes after a revision.
    pub watch: sync::Arc<dyn Fn(u64) -> StoreFuture + Send + Sync>,
    /// Decodes a record.
    pub decode: fn(&StoreRecord) -> DecodedRecord,
}

impl fmt::Debug for StoreSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("StoreSource")
            .finish_non_exhaustive()
    }
}
