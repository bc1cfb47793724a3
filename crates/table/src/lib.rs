//! The published table: rows, checks, differences and the publication rule.
//!
//! A publication is the value `table/head` at one platform revision together with the parts that
//! it lists. [`PublishedTable::read`] checks a publication as a whole and reports every error with
//! its row, column and line. [`TableStore`] applies the publication rule and keeps the active
//! table. The crate does no I/O.
//!
//! ```
//! use toucanledge_core::TableRevision;
//! use toucanledge_table::{ApplyOutcome, TableParts, TableStore};
//!
//! let head = r#"{"based_on": 0, "editor": "ana", "rows": [
//!   {"backend": "reading-01", "pool": "reading"},
//!   // Reads can be repeated safely.
//!   {"class": "read-policy", "path": "/policies/", "pool": "reading", "repeat": "repeatable"}
//! ]}"#;
//! let mut store = TableStore::new();
//! let outcome = store.apply(TableRevision(1), head, &TableParts::new());
//! assert_eq!(outcome, ApplyOutcome::Accepted);
//! let table = store.table().expect("a table is active");
//! assert_eq!(table.route("GET", "/policies/7").map(|row| row.class.as_str()), Some("read-policy"));
//! ```

mod cell;
mod check;
mod column;
mod diff;
mod error;
mod explain;
mod head;
mod index;
mod route;
mod row;
mod row_reader;
mod row_store;
mod table;
mod table_store;
mod text;

pub use column::{ColumnSet, TableColumn};
pub use diff::{CellChange, TableDiff, diff};
pub use error::{TableError, TableErrorKind};
pub use explain::{ExplainedValue, RowExplanation, ValueOrigin, explain, explain_backend};
pub use head::{
    HEAD_KEY, MAX_PARTS, MAX_PARTS_BYTES, MAX_VALUE_BYTES, TableHead, TableParts, TableSource,
    part_key,
};
pub use row::{BackendRow, ClassRow, RepeatRule, RowKind, RowName, RowPosition};
pub use table::{PoolSummary, PublishedTable};
pub use table_store::{ApplyOutcome, RefusedPublication, TableStore};
