//! Explains which row applies and whether each of its values is set or a default.

use std::fmt;

use toucanledge_core::{PoolId, TableRevision};

use crate::column::{ColumnSet, TableColumn};
use crate::row::{RowName, RowPosition};
use crate::table::{PoolSummary, PublishedTable};

/// Where a value comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ValueOrigin {
    /// The row sets the value.
    Row,
    /// The row omits the cell, so the value is the default of the column.
    Default,
}

/// One value of an explained row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExplainedValue {
    /// Column of the value.
    pub column: TableColumn,
    /// Value as text.
    pub value: String,
    /// Where the value comes from.
    pub origin: ValueOrigin,
}

/// The row that applies, with the origin of each of its values.
#[derive(Clone, Debug, PartialEq)]
pub struct RowExplanation {
    /// Revision of the table.
    pub revision: TableRevision,
    /// Name of the table's editor.
    pub editor: String,
    /// Row that applies.
    pub row: RowName,
    /// Platform key of the value that contains the row.
    pub value_key: String,
    /// Line of the row in that value, from 1.
    pub line: u32,
    /// Every column of the row.
    pub values: Vec<ExplainedValue>,
    /// Summary of the row's pool.
    pub pool: Option<PoolSummary>,
}

/// Explains the class row that applies to a request; `None` when no row matches.
#[must_use]
pub fn explain(table: &PublishedTable, method: &str, path: &str) -> Option<RowExplanation> {
    let index = table.find_route(method, path)?;
    let row = table.rows().class(index);
    Some(explain_row(
        table,
        RowName::class(&row.class),
        (table.rows().key(index), row.position),
        row.cells(),
        row.defaults,
        row.pool_id,
    ))
}

/// Explains the row of a backend server; `None` when the table has no such row.
#[must_use]
pub fn explain_backend(table: &PublishedTable, backend: &str) -> Option<RowExplanation> {
    let index = table.find_backend(backend)?;
    let row = table.rows().backend(index);
    Some(explain_row(
        table,
        RowName::backend(&row.backend),
        (table.rows().key(index), row.position),
        row.cells(),
        row.defaults,
        row.pool_id,
    ))
}

fn explain_row(
    table: &PublishedTable,
    row: RowName,
    (value_key, position): (&str, RowPosition),
    cells: Vec<(TableColumn, String)>,
    defaults: ColumnSet,
    pool: PoolId,
) -> RowExplanation {
    let values = cells
        .into_iter()
        .map(|(column, value)| ExplainedValue {
            column,
            value,
            origin: origin_of(column, defaults),
        })
        .collect();
    RowExplanation {
        revision: table.revision(),
        editor: table.editor().to_owned(),
        row,
        value_key: value_key.to_owned(),
        line: position.line,
        values,
        pool: table.pool(pool).cloned(),
    }
}

const fn origin_of(column: TableColumn, defaults: ColumnSet) -> ValueOrigin {
    if defaults.contains(column) {
        ValueOrigin::Default
    } else {
        ValueOrigin::Row
    }
}

impl fmt::Display for RowExplanation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            revision,
            editor,
            row,
            value_key,
            line,
            ..
        } = self;
        writeln!(formatter, "{row} decides ({value_key}, line {line})")?;
        writeln!(formatter, "table: revision {} by {editor}", revision.0)?;
        for value in &self.values {
            let ExplainedValue {
                column,
                value,
                origin,
            } = value;
            let origin = origin_text(*origin, *line);
            writeln!(formatter, "  {column:<14} {value:<24} {origin}")?;
        }
        match &self.pool {
            Some(pool) => write!(formatter, "{pool}"),
            None => Ok(()),
        }
    }
}

fn origin_text(origin: ValueOrigin, line: u32) -> String {
    match origin {
        ValueOrigin::Row => format!("row, line {line}"),
        ValueOrigin::Default => "default".to_owned(),
    }
}
