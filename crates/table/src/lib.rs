//! The published table: rows, checks, differences and the publication rule.
//!
//! A publication is the value `table/head` at one platform revision together with the parts that
//! it names. [`PublishedTable::read`] checks a publication as a whole and reports every error with
//! its row, column and line. [`TableStore`] applies the publication rule and keeps the table in
//! force. The crate does no I/O.
//!
//! ```
//! use toucanledge_core::TableRevision;
//! use toucanledge_table::{ApplyOutcome, TableParts, TableStore};
//!
//! let head = r#"{"based_on": 0, "editor": "ana", "rows": [
//!   {"backend": "reading-01", "pool": "reading"},
//!   // Reading a policy may be repeated.
//!   {"class": "read-policy", "path": "/policies/", "pool": "reading", "repeat": "repeatable"}
//! ]}"#;
//! let mut ledger = TableStore::new();
//! let outcome = ledger.apply(TableRevision(1), head, &TableParts::new());
//! assert_eq!(outcome, ApplyOutcome::Accepted);
//! let table = ledger.table().expect("a table is in force");
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
mod ledger;
mod reader;
mod route;
mod row;
mod store;
mod table;
mod text;

pub use column::{ColumnSet, TableColumn};
pub use diff::{CellChange, TableDiff, diff};
pub use error::{TableError, TableErrorKind};
pub use explain::{ExplainedValue, RowExplanation, ValueOrigin, explain, explain_backend};
pub use head::{
    HEAD_KEY, PART_LIMIT, SOURCE_LIMIT_BYTES, TableHead, TableParts, TableSource,
    VALUE_LIMIT_BYTES, part_key,
};
pub use ledger::{ApplyOutcome, RefusedPublication, TableStore};
pub use row::{BackendRow, ClassRow, RepeatRule, RowKind, RowName, RowPosition};
pub use table::{PoolSummary, PublishedTable};
