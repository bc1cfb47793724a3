//! Errors of a publication.

use std::fmt;

/// What is wrong with a cell, a row or a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum TableErrorKind {
    /// The text is not valid JSON with comments.
    Syntax,
    /// A value has the wrong type, form or range.
    BadValue,
    /// A row has a column that its kind does not have.
    UnknownColumn,
    /// A row lacks a column that has no default value.
    MissingColumn,
    /// A row has the same column twice.
    DuplicateColumn,
    /// A row is neither a backend row nor a class row.
    UnknownRow,
    /// Two rows have the same name.
    DuplicateRow,
    /// Two class rows have the same method and path prefix.
    DuplicateRoute,
    /// A class row names a pool that no backend row belongs to.
    EmptyPool,
    /// A keyed class has no window, or a repeatable class has one.
    WrongWindow,
    /// The table has no class row.
    NoClass,
    /// A value, the number of parts or their total size exceeds its limit.
    TooLarge,
    /// A part is missing or has another digest than its key, or its key is malformed or listed
    /// twice.
    BadPartKey,
    /// `based_on` is not the revision directly before the publication's own.
    BasedOn,
}

/// One error of a publication with its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableError {
    /// Platform key of the value that has the error.
    pub value: String,
    /// Line in the value, from 1.
    pub line: u32,
    /// Byte column in the line, from 1.
    pub text_column: u32,
    /// Row, for example `class "read-policy"` or `row 3`; empty for an error outside of rows.
    pub row: String,
    /// Table column or field of the head; empty when the error concerns the whole row or value.
    pub column: String,
    /// What is wrong.
    pub kind: TableErrorKind,
    /// What was found.
    pub found: String,
    /// What was expected.
    pub expected: String,
}

impl fmt::Display for TableError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}:{}:{}: ",
            self.value, self.line, self.text_column
        )?;
        if !self.row.is_empty() {
            write!(formatter, "{}, ", self.row)?;
        }
        if !self.column.is_empty() {
            write!(formatter, "column `{}`: ", self.column)?;
        }
        write!(
            formatter,
            "found {}, expected {}",
            self.found, self.expected
        )
    }
}

impl std::error::Error for TableError {}
