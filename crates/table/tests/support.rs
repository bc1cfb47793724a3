//! Helpers that create and read small tables.

use toucanledge_core::TableRevision;
use toucanledge_table::{PublishedTable, TableError, TableErrorKind, TableParts, TableSource};

pub const BACKEND_ROW: &str = r#"{"backend":"reading-01","pool":"reading"}"#;
pub const CLASS_ROW: &str =
    r#"{"class":"read","path":"/policies/","pool":"reading","repeat":"repeatable"}"#;

/// Returns a head with these rows, one on each line from line 2.
pub fn head_text(based_on: u64, editor: &str, rows: &[&str]) -> String {
    let rows = rows.join(",\n");
    format!("{{\"based_on\":{based_on},\"editor\":\"{editor}\",\"rows\":[\n{rows}\n]}}")
}

/// Reads a table with these rows at revision 12.
pub fn read_table(rows: &[&str]) -> Result<PublishedTable, Vec<TableError>> {
    PublishedTable::read(&source(head_text(11, "ana", rows)))
}

/// Returns the source of a publication at revision 12 without parts.
pub fn source(head: String) -> TableSource {
    TableSource {
        revision: TableRevision(12),
        head,
        parts: TableParts::new(),
    }
}

/// Returns kind, line, row and column of every error of a table with these rows.
pub fn read_errors(rows: &[&str]) -> Vec<(TableErrorKind, u32, String, String)> {
    let errors = read_table(rows).expect_err("the table has errors");
    let parts = |error: TableError| (error.kind, error.line, error.row, error.column);
    errors.into_iter().map(parts).collect()
}
