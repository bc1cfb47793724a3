//! Cells of one row, with checks that collect every error.

use std::borrow;
use std::fmt;
use std::ops;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, de};
use serde_json::value;

use crate::column::{ColumnSet, TableColumn};
use crate::error::{TableError, TableErrorKind};
use crate::row::{RowKind, RowPosition};
use crate::text::ValueText;

const MAX_FOUND_CHARS: usize = 60;
const MAX_NAME_BYTES: usize = 100;

/// Unchecked cells of one row in the order of the text.
pub struct RowCells<'a>(pub Vec<(CellName, &'a value::RawValue)>);

/// Name of a cell, known or unknown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CellName {
    /// A column of the table.
    Column(TableColumn),
    /// A name that is not a column.
    Other(String),
}

/// Reads the cells of one row and collects their errors.
pub struct CellReader<'a, 'e> {
    text: &'a ValueText,
    label: RowLabel,
    cells: Vec<(TableColumn, &'a value::RawValue)>,
    errors: &'e mut Vec<TableError>,
    /// Position of the row in its value.
    pub position: RowPosition,
    /// Columns that the row omits and that were read with their default value.
    pub defaults: ColumnSet,
}

/// Identifies a row in error messages.
#[derive(Clone, Copy, Debug)]
pub struct RowLabel {
    /// Kind of the row.
    pub kind: RowKind,
    /// Number of the row in its value, from 1.
    pub number: usize,
}

impl<'a, 'e> CellReader<'a, 'e> {
    /// Creates a reader for cells that have only columns of the row's kind, each once.
    pub const fn new(
        text: &'a ValueText,
        label: RowLabel,
        position: RowPosition,
        cells: Vec<(TableColumn, &'a value::RawValue)>,
        errors: &'e mut Vec<TableError>,
    ) -> Self {
        Self {
            text,
            label,
            cells,
            errors,
            position,
            defaults: ColumnSet::EMPTY,
        }
    }

    /// Reads a required string; `None` after an error.
    pub fn required(
        &mut self,
        column: TableColumn,
        allowed: impl Fn(&str) -> bool,
    ) -> Option<borrow::Cow<'a, str>> {
        let Some(raw) = self.find(column) else {
            self.push_missing_column(column);
            return None;
        };
        self.string(column, raw, allowed)
    }

    /// Reads an optional string; an invalid one is reported and replaced by an empty string.
    pub fn optional(
        &mut self,
        column: TableColumn,
        default: &'static str,
        allowed: impl Fn(&str) -> bool,
    ) -> borrow::Cow<'a, str> {
        let Some(raw) = self.find(column) else {
            self.defaults.insert(column);
            return borrow::Cow::Borrowed(default);
        };
        self.string(column, raw, allowed).unwrap_or_default()
    }

    /// Reads an optional whole number; an invalid one is reported and replaced by the default.
    pub fn integer(
        &mut self,
        column: TableColumn,
        default: u32,
        range: ops::RangeInclusive<u32>,
    ) -> u32 {
        let Some(raw) = self.find(column) else {
            self.defaults.insert(column);
            return default;
        };
        match serde_json::from_str(raw.get()) {
            Ok(number) if range.contains(&number) => number,
            _ => {
                self.push_bad_value(column, raw);
                default
            }
        }
    }

    /// Reads an optional number; an invalid one is reported and replaced by the default.
    pub fn number(
        &mut self,
        column: TableColumn,
        default: f64,
        allowed: impl Fn(f64) -> bool,
    ) -> f64 {
        let Some(raw) = self.find(column) else {
            self.defaults.insert(column);
            return default;
        };
        match serde_json::from_str::<f64>(raw.get()) {
            Ok(number) if number.is_finite() && allowed(number) => number,
            _ => {
                self.push_bad_value(column, raw);
                default
            }
        }
    }

    /// Records an error with the position of the cell, or of the row when the cell is absent.
    pub fn push_error(
        &mut self,
        column: TableColumn,
        kind: TableErrorKind,
        found: &str,
        expected: &str,
    ) {
        let position = self.find(column).map(|raw| self.text.position_of(raw));
        self.errors.push(TableError {
            value: self.text.key.clone(),
            line: position.map_or(self.position.line, |position| position.line),
            text_column: position.map_or(self.position.text_column, |position| position.column),
            row: self.label.text(&self.cells),
            column: column.to_string(),
            kind,
            found: found.to_owned(),
            expected: expected.to_owned(),
        });
    }

    /// Returns the number of errors collected so far, those of other rows included.
    pub const fn error_count(&self) -> usize {
        self.errors.len()
    }

    fn find(&self, column: TableColumn) -> Option<&'a value::RawValue> {
        let cell = self.cells.iter().find(|(name, _)| *name == column);
        cell.map(|(_, raw)| *raw)
    }

    fn string(
        &mut self,
        column: TableColumn,
        raw: &'a value::RawValue,
        allowed: impl Fn(&str) -> bool,
    ) -> Option<borrow::Cow<'a, str>> {
        let text = read_string(raw).filter(|text| allowed(text));
        if text.is_none() {
            self.push_bad_value(column, raw);
        }
        text
    }

    fn push_bad_value(&mut self, column: TableColumn, raw: &value::RawValue) {
        let found = shorten(raw.get());
        self.push_error(column, TableErrorKind::BadValue, &found, column.expected());
    }

    fn push_missing_column(&mut self, column: TableColumn) {
        let kind = TableErrorKind::MissingColumn;
        self.push_error(column, kind, "no such cell", column.expected());
    }
}

impl RowLabel {
    /// Returns the kind and name of the row, or its number when the name is absent or invalid.
    pub fn text(self, cells: &[(TableColumn, &value::RawValue)]) -> String {
        let column = match self.kind {
            RowKind::Backend => TableColumn::Backend,
            RowKind::Class => TableColumn::Class,
        };
        let cell = cells.iter().find(|(name, _)| *name == column);
        let name = cell.and_then(|(_, raw)| read_string(raw));
        match name.filter(|name| is_valid_name(name)) {
            Some(name) => format!("{} \"{name}\"", self.kind),
            None => format!("row {}", self.number),
        }
    }
}

impl CellName {
    /// Returns the name as it is spelled in the text.
    pub fn as_str(&self) -> &str {
        match self {
            Self::Column(column) => column.into(),
            Self::Other(name) => name,
        }
    }
}

/// Returns whether a text is a valid name of a backend server, class or pool.
pub fn is_valid_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(allowed)
}

/// Returns the string of a raw value; it is borrowed unless it has escapes.
fn read_string(raw: &value::RawValue) -> Option<borrow::Cow<'_, str>> {
    if let Ok(text) = serde_json::from_str::<&str>(raw.get()) {
        return Some(borrow::Cow::Borrowed(text));
    }
    serde_json::from_str(raw.get()).ok().map(borrow::Cow::Owned)
}

/// Shortens a text to one line of at most [`MAX_FOUND_CHARS`] characters for an error message.
pub fn shorten(text: &str) -> String {
    let line: String = text
        .chars()
        .map(|character| {
            if character.is_control() {
                ' '
            } else {
                character
            }
        })
        .take(MAX_FOUND_CHARS)
        .collect();
    if text.chars().count() > MAX_FOUND_CHARS {
        return format!("{line}…");
    }
    line
}

impl<'de: 'a, 'a> Deserialize<'de> for RowCells<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(CellsVisitor)
    }
}

struct CellsVisitor;

impl<'de> de::Visitor<'de> for CellsVisitor {
    type Value = RowCells<'de>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a row")
    }

    fn visit_map<A: de::MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut cells = Vec::new();
        while let Some(name) = map.next_key::<CellName>()? {
            cells.push((name, map.next_value()?));
        }
        Ok(RowCells(cells))
    }
}

impl<'de> Deserialize<'de> for CellName {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(NameVisitor)
    }
}

struct NameVisitor;

impl de::Visitor<'_> for NameVisitor {
    type Value = CellName;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a name")
    }

    fn visit_str<E: de::Error>(self, name: &str) -> Result<Self::Value, E> {
        let column = TableColumn::from_str(name).map(CellName::Column);
        Ok(column.unwrap_or_else(|_| CellName::Other(name.to_owned())))
    }
}
