//! Rows of a table, with values that were checked against the ranges of their columns.

use std::fmt;
use std::sync;

use toucanledge_core::{ClassId, PoolId};

use crate::column::{BACKEND_COLUMNS, CLASS_COLUMNS, ColumnSet, TableColumn};

/// Whether the work of a class may be repeated.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumString, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum RepeatRule {
    /// The work may run any number of times.
    Repeatable,
    /// The work runs at most once for an idempotency key.
    Keyed,
}

/// Kind of a row.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum RowKind {
    /// The row describes a backend server.
    Backend,
    /// The row describes a class of work.
    Class,
}

/// Kind and name of a row; unique in a table.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RowName {
    /// Kind of the row.
    pub kind: RowKind,
    /// Name of the backend server or class.
    pub name: String,
}

/// Position of a row in the value that contains it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RowPosition {
    /// Line in the value, from 1.
    pub line: u32,
    /// Byte column in the line, from 1.
    pub text_column: u32,
}

/// A backend server and its limits.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendRow {
    /// Name of the backend server in the VM list.
    pub backend: String,
    /// Pool that the backend server belongs to.
    pub pool: sync::Arc<str>,
    /// Identifier of the pool.
    pub pool_id: PoolId,
    /// Share of the pool's requests relative to its other backend servers.
    pub weight: f64,
    /// Maximum number of requests that the backend server runs concurrently.
    pub slots: u32,
    /// Maximum number of connections that the backend server accepts from the whole fleet.
    pub connections: u32,
    /// Columns that the row omits and that have their default value.
    pub defaults: ColumnSet,
    /// Position of the row in its value.
    pub position: RowPosition,
}

/// A class of work and its limits.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassRow {
    /// Name of the class.
    pub class: String,
    /// Identifier of the class.
    pub class_id: ClassId,
    /// Method of the requests, or `*` for every method.
    pub method: sync::Arc<str>,
    /// Path prefix of the requests.
    pub path: String,
    /// Pool whose backend servers run the requests.
    pub pool: sync::Arc<str>,
    /// Identifier of the pool.
    pub pool_id: PoolId,
    /// Whether the work may be repeated.
    pub repeat: RepeatRule,
    /// Share of slots relative to the other classes of the pool.
    pub weight: f64,
    /// Time in milliseconds within which a response is due.
    pub deadline_ms: u32,
    /// Maximum wait for a slot in milliseconds.
    pub queue_ms: u32,
    /// Maximum number of requests per second in the whole fleet; 0 means no limit.
    pub rate_limit: u32,
    /// Maximum share of a shard's slots that the class may hold at the same time.
    pub slot_share: f64,
    /// Retry budget in percent of the requests.
    pub retry_percent: u32,
    /// Minimum share of the pool's backend servers that stays in service.
    pub floor: f64,
    /// Time in seconds for which an idempotency key is kept; 0 for repeatable work.
    pub window_s: u32,
    /// Columns that the row omits and that have their default value.
    pub defaults: ColumnSet,
    /// Position of the row in its value.
    pub position: RowPosition,
}

impl RowName {
    /// Creates the name of a backend row.
    #[must_use]
    pub fn backend(name: &str) -> Self {
        Self {
            kind: RowKind::Backend,
            name: name.to_owned(),
        }
    }

    /// Creates the name of a class row.
    #[must_use]
    pub fn class(name: &str) -> Self {
        Self {
            kind: RowKind::Class,
            name: name.to_owned(),
        }
    }
}

impl fmt::Display for RowName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} \"{}\"", self.kind, self.name)
    }
}

impl BackendRow {
    /// Returns every column of the row with its value as text.
    #[must_use]
    pub fn cells(&self) -> Vec<(TableColumn, String)> {
        BACKEND_COLUMNS
            .into_iter()
            .map(|column| (column, self.cell(column)))
            .collect()
    }

    fn cell(&self, column: TableColumn) -> String {
        match column {
            TableColumn::Backend => self.backend.clone(),
            TableColumn::Pool => self.pool.to_string(),
            TableColumn::Weight => format!("{:?}", self.weight),
            TableColumn::Slots => self.slots.to_string(),
            TableColumn::Connections => self.connections.to_string(),
            _ => String::new(),
        }
    }
}

impl ClassRow {
    /// Returns every column of the row with its value as text.
    #[must_use]
    pub fn cells(&self) -> Vec<(TableColumn, String)> {
        CLASS_COLUMNS
            .into_iter()
            .map(|column| (column, self.cell(column)))
            .collect()
    }

    /// Returns the time in milliseconds for which an idempotency key is kept.
    #[must_use]
    pub fn window_ms(&self) -> u64 {
        u64::from(self.window_s) * 1000
    }

    fn cell(&self, column: TableColumn) -> String {
        match column {
            TableColumn::Class => self.class.clone(),
            TableColumn::Method => self.method.to_string(),
            TableColumn::Path => self.path.clone(),
            TableColumn::Pool => self.pool.to_string(),
            TableColumn::Repeat => self.repeat.to_string(),
            TableColumn::Weight => format!("{:?}", self.weight),
            TableColumn::DeadlineMs => self.deadline_ms.to_string(),
            TableColumn::QueueMs => self.queue_ms.to_string(),
            TableColumn::RateLimit => self.rate_limit.to_string(),
            TableColumn::SlotShare => format!("{:?}", self.slot_share),
            TableColumn::RetryPercent => self.retry_percent.to_string(),
            TableColumn::Floor => format!("{:?}", self.floor),
            TableColumn::WindowS => self.window_s.to_string(),
            TableColumn::Backend | TableColumn::Slots | TableColumn::Connections => String::new(),
        }
    }
}
