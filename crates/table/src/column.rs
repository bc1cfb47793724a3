//! Columns of the table and the values that they allow.

/// A column of the table.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum TableColumn {
    /// Name of a backend server.
    Backend,
    /// Name of a class of work.
    Class,
    /// Method of the requests of a class, or `*`.
    Method,
    /// Path prefix of the requests of a class.
    Path,
    /// Pool of backend servers.
    Pool,
    /// Whether the work may be repeated.
    Repeat,
    /// Share of a backend server or class relative to the others of its pool.
    Weight,
    /// Maximum number of requests that a backend server runs concurrently.
    Slots,
    /// Maximum number of connections that a backend server accepts.
    Connections,
    /// Time in milliseconds within which a response is due.
    DeadlineMs,
    /// Maximum wait for a slot in milliseconds.
    QueueMs,
    /// Maximum number of requests per second in the whole fleet; 0 means no limit.
    RateLimit,
    /// Maximum share of a shard's slots that the class may hold at the same time.
    SlotShare,
    /// Retry budget in percent of the requests.
    RetryPercent,
    /// Minimum share of the pool's backend servers that stays in service.
    Floor,
    /// Time in seconds for which an idempotency key is kept.
    WindowS,
}

/// Columns of a backend row in the documented order.
pub const BACKEND_COLUMNS: [TableColumn; 5] = [
    TableColumn::Backend,
    TableColumn::Pool,
    TableColumn::Weight,
    TableColumn::Slots,
    TableColumn::Connections,
];

/// Columns of a class row in the documented order.
pub const CLASS_COLUMNS: [TableColumn; 13] = [
    TableColumn::Class,
    TableColumn::Method,
    TableColumn::Path,
    TableColumn::Pool,
    TableColumn::Repeat,
    TableColumn::Weight,
    TableColumn::DeadlineMs,
    TableColumn::QueueMs,
    TableColumn::RateLimit,
    TableColumn::SlotShare,
    TableColumn::RetryPercent,
    TableColumn::Floor,
    TableColumn::WindowS,
];

impl TableColumn {
    /// Returns a description of the values that the column allows.
    ///
    /// ```
    /// use toucanledge_table::TableColumn;
    /// assert_eq!(TableColumn::Slots.expected(), "a whole number from 1 to 1024");
    /// ```
    #[must_use]
    pub const fn expected(self) -> &'static str {
        match self {
            Self::Backend | Self::Class | Self::Pool => {
                "a name of 1 to 100 ASCII letters, digits, `.`, `_` or `-`"
            }
            Self::Method => "`*` or a method of 1 to 32 capital letters or `-`",
            Self::Path => {
                "a path prefix of at most 1024 visible ASCII characters that starts with `/` \
                 and has no `?` or `#`"
            }
            Self::Repeat => "`repeatable` or `keyed`",
            Self::Weight => "a number above 0 and at most 1000000",
            Self::Slots => "a whole number from 1 to 1024",
            Self::Connections => "a whole number from 1 to 65535",
            Self::DeadlineMs => "a whole number of milliseconds from 1 to 86400000",
            Self::QueueMs => "a whole number of milliseconds from 0 to 86400000",
            Self::RateLimit => "a whole number of requests a second from 0 to 100000000",
            Self::SlotShare => "a number above 0 and at most 1",
            Self::RetryPercent => "a whole number from 0 to 100",
            Self::Floor => "a number from 0 to 1",
            Self::WindowS => "a whole number of seconds from 0 to 86400",
        }
    }
}

/// A set of columns.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ColumnSet(u32);

impl ColumnSet {
    pub(crate) const EMPTY: Self = Self(0);

    /// Returns whether the set has the column.
    #[must_use]
    pub const fn contains(self, column: TableColumn) -> bool {
        self.0 & (1 << column as u32) != 0
    }

    pub(crate) const fn insert(&mut self, column: TableColumn) {
        self.0 |= 1 << column as u32;
    }
}
