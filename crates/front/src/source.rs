//! Where published facts come from and what they mean.

use std::fmt;
use std::sync;

use futures_util::future::BoxFuture;
use toucanledge_steering::{Fact, ServerRow, SteeringTable};

/// Facts that are complete up to a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FactBatch {
    /// Changed facts.
    pub facts: Vec<Fact>,
    /// Revision up to which no change is missing.
    pub revision: u64,
}

/// Why facts could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum SourceFailure {
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
pub type SourceFuture = BoxFuture<'static, Result<FactBatch, SourceFailure>>;

/// What a published fact means.
#[derive(Clone, Debug, PartialEq)]
pub enum FactMeaning {
    /// Classes of work.
    Table(SteeringTable),
    /// A backend server.
    Server(ServerRow),
    /// A backend server that is no longer published.
    ServerGone(String),
    /// A fact that cannot be used, with the reason.
    Unusable(String),
    /// A fact of another kind.
    Other,
}

/// How facts are read and understood.
#[derive(Clone)]
pub struct FactSource {
    /// Lists all facts; the revision is that at which the listing began.
    pub list: sync::Arc<dyn Fn() -> SourceFuture + Send + Sync>,
    /// Waits for changes after a revision.
    pub watch: sync::Arc<dyn Fn(u64) -> SourceFuture + Send + Sync>,
    /// Tells what a fact means.
    pub decode: fn(&Fact) -> FactMeaning,
}

impl fmt::Debug for FactSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("FactSource").finish_non_exhaustive()
    }
}
