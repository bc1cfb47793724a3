//! Differences between two tables.

use std::collections;
use std::fmt;

use crate::column::TableColumn;
use crate::row::{BackendRow, ClassRow, RowName};
use crate::table::PublishedTable;

/// Differences between two tables, sorted by row name with backend rows first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TableDiff {
    /// Rows that only the new table has.
    pub added: Vec<RowName>,
    /// Rows that only the old table has.
    pub removed: Vec<RowName>,
    /// Cells that differ in rows that both tables have.
    pub changed: Vec<CellChange>,
}

/// A cell that differs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CellChange {
    /// Row of the cell.
    pub row: RowName,
    /// Column of the cell.
    pub column: TableColumn,
    /// Value in the old table.
    pub old: String,
    /// Value in the new table.
    pub new: String,
}

/// Cells of rows by row name.
type CellsByRow<'a> = collections::BTreeMap<&'a str, Vec<(TableColumn, String)>>;

/// Compares two tables row by row and cell by cell.
///
/// A cell that is set to its default and an omitted cell do not differ.
#[must_use]
pub fn diff(old: &PublishedTable, new: &PublishedTable) -> TableDiff {
    let mut result = TableDiff::default();
    result.compare_rows(
        &backend_cells(old.backends()),
        &backend_cells(new.backends()),
        RowName::backend,
    );
    result.compare_rows(
        &class_cells(old.classes()),
        &class_cells(new.classes()),
        RowName::class,
    );
    result
}

impl TableDiff {
    /// Returns whether the tables have the same rows and values.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.added.is_empty() && self.removed.is_empty() && self.changed.is_empty()
    }

    fn compare_rows(
        &mut self,
        old: &CellsByRow<'_>,
        new: &CellsByRow<'_>,
        name: impl Fn(&str) -> RowName,
    ) {
        let is_absent = |rows: &CellsByRow<'_>, row: &str| !rows.contains_key(row);
        let added = new.keys().filter(|row| is_absent(old, row));
        self.added.extend(added.map(|row| name(row)));
        let removed = old.keys().filter(|row| is_absent(new, row));
        self.removed.extend(removed.map(|row| name(row)));
        for (row, old_cells) in old {
            if let Some(new_cells) = new.get(row) {
                self.compare_cells(&name(row), old_cells, new_cells);
            }
        }
    }

    fn compare_cells(
        &mut self,
        row: &RowName,
        old: &[(TableColumn, String)],
        new: &[(TableColumn, String)],
    ) {
        for ((column, old), (_, new)) in old.iter().zip(new) {
            if old == new {
                continue;
            }
            self.changed.push(CellChange {
                row: row.clone(),
                column: *column,
                old: old.clone(),
                new: new.clone(),
            });
        }
    }
}

impl fmt::Display for TableDiff {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_empty() {
            return writeln!(formatter, "no difference");
        }
        for row in &self.removed {
            writeln!(formatter, "- {row}")?;
        }
        for row in &self.added {
            writeln!(formatter, "+ {row}")?;
        }
        for change in &self.changed {
            let CellChange {
                row,
                column,
                old,
                new,
            } = change;
            writeln!(formatter, "~ {row}, column `{column}`: {old} -> {new}")?;
        }
        Ok(())
    }
}

fn backend_cells<'a>(rows: impl Iterator<Item = &'a BackendRow>) -> CellsByRow<'a> {
    rows.map(|row| (row.backend.as_str(), row.cells()))
        .collect()
}

fn class_cells<'a>(rows: impl Iterator<Item = &'a ClassRow>) -> CellsByRow<'a> {
    rows.map(|row| (row.class.as_str(), row.cells())).collect()
}
