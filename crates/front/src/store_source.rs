//! Where published facts come from and what they mean.

use std::fmt;
use std::sync;

use futures_util::future::BoxFuture;
use toucanledge_steering::{RoutingTable, ServerRow, StoreRecord};

/// Facts that are complete up to a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordBatch {
    /// Changed facts.
    pub records: Vec<StoreRecord>,
    /// Revision up to which no change is missing.
    pub revision: u64,
}

/// Why facts could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum StoreError {
    /// No connection, or it broke.
    Unreachable,
    /// No answer in time.
    Silent,
    /// The platform refused the call.
    Refused,
    /// The changes since the revision are no longer kept.
    HistoryGone,
    /// The answer could not be read.
    BadAnswer,
}

/// Result of a read.
pub type StoreFuture = BoxFuture<'static, Result<RecordBatch, StoreError>>;

/// What a published fact means.
#[derive(Clone, Debug, PartialEq)]
pub enum DecodedRecord {
    /// Classes of work.
    Table(RoutingTable),
    /// A backend server.
    Server(ServerRow),
    /// A backend server that is no longer published.
    ServerRemoved(String),
    /// A fact that cannot be used, with the reason.
    Invalid(String),
    /// A fact of another kind.
    Ignored,
}

/// How facts are read and understood.
#[derive(Clone)]
pub struct StoreSource {
    /// Lists all facts; the revision is that at which the listing began.
    pub list: sync::Arc<dyn Fn() -> StoreFuture + Send + Sync>,
    /// Waits for changes after a revision.
    pub watch: sync::Arc<dyn Fn(u64) -> StoreFuture + Send + Sync>,
    /// Tells what a fact means.
    pub decode: fn(&StoreRecord) -> DecodedRecord,
}

impl fmt::Debug for StoreSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("StoreSource")
            .finish_non_exhaustive()
    }
}
