//! Checks across rows: duplicates, empty pools and missing classes.

use crate::error::{TableError, TableErrorKind};
use crate::head;
use crate::index::TableIndex;
use crate::row::{RowName, RowPosition};
use crate::row_store::{RowIndex, RowStore};
use crate::text::ValueText;

/// Returns the errors that are found by comparing rows.
pub fn check_rows(
    head_text: &ValueText,
    rows: &RowStore,
    table_index: &TableIndex,
) -> Vec<TableError> {
    let mut checker = RowChecker {
        head_text,
        rows,
        table_index,
        errors: Vec::new(),
    };
    checker.check_backend_names();
    checker.check_class_names();
    checker.check_routes();
    checker.check_pools();
    checker.check_class_presence();
    checker.errors
}

struct RowChecker<'a> {
    head_text: &'a ValueText,
    rows: &'a RowStore,
    table_index: &'a TableIndex,
    errors: Vec<TableError>,
}

/// A row with its name and position.
struct NamedRow {
    name: RowName,
    index: RowIndex,
    position: RowPosition,
}

impl RowChecker<'_> {
    fn check_backend_names(&mut self) {
        for pair in self.table_index.backends.windows(2) {
            let [first, second] = [pair[0], pair[1]];
            if self.rows.backend(first).backend == self.rows.backend(second).backend {
                self.push_duplicate_row(&self.named_backend(first), &self.named_backend(second));
            }
        }
    }

    fn check_class_names(&mut self) {
        for pair in self.table_index.classes.windows(2) {
            let [(first_id, first), (second_id, second)] = [pair[0], pair[1]];
            if first_id == second_id {
                self.push_duplicate_row(&self.named_class(first), &self.named_class(second));
            }
        }
    }

    fn check_routes(&mut self) {
        for (first, second) in self.table_index.routes.duplicates(self.rows) {
            let first = self.rows.class(first);
            let found = format!(
                "{} {} as in class \"{}\"",
                first.method, first.path, first.class
            );
            let row = self.named_class(second);
            let kind = TableErrorKind::DuplicateRoute;
            self.push_error(
                &row,
                "path",
                kind,
                &found,
                "each method and path in one class",
            );
        }
    }

    fn check_pools(&mut self) {
        if self.rows.has_dropped_rows() {
            return;
        }
        for (index, row) in self.rows.classes() {
            if self.table_index.pools.contains_key(&row.pool_id) {
                continue;
            }
            let named = self.named_class(index);
            let kind = TableErrorKind::EmptyPool;
            let expected = "a pool that a backend row names";
            self.push_error(&named, "pool", kind, &row.pool, expected);
        }
    }

    fn check_class_presence(&mut self) {
        if self.rows.has_dropped_rows() || self.rows.classes().next().is_some() {
            return;
        }
        let kind = TableErrorKind::NoClass;
        let expected = "at least one class row";
        let error = head::head_error(self.head_text, "rows", kind, "no class row", expected);
        self.errors.push(error);
    }

    fn push_duplicate_row(&mut self, first: &NamedRow, second: &NamedRow) {
        let key = self.rows.key(first.index);
        let found = format!("the row again after {key}:{}", first.position.line);
        let column: &str = second.name.kind.into();
        let kind = TableErrorKind::DuplicateRow;
        self.push_error(second, column, kind, &found, "each name in one row");
    }

    fn push_error(
        &mut self,
        row: &NamedRow,
        column: &str,
        kind: TableErrorKind,
        found: &str,
        expected: &str,
    ) {
        self.errors.push(TableError {
            value: self.rows.key(row.index).to_owned(),
            line: row.position.line,
            text_column: row.position.text_column,
            row: row.name.to_string(),
            column: column.to_owned(),
            kind,
            found: found.to_owned(),
            expected: expected.to_owned(),
        });
    }

    fn named_backend(&self, index: RowIndex) -> NamedRow {
        let row = self.rows.backend(index);
        NamedRow {
            name: RowName::backend(&row.backend),
            index,
            position: row.position,
        }
    }

    fn named_class(&self, index: RowIndex) -> NamedRow {
        let row = self.rows.class(index);
        NamedRow {
            name: RowName::class(&row.class),
            index,
            position: row.position,
        }
    }
}
