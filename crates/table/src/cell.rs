//! Cells of one row with checks that collect every error.

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

const FOUND_LIMIT_CHARS: usize = 60;
const NAME_LIMIT_BYTES: usize = 100;

/// Cells of one row as written, in their order.
pub struct RowCells<'a>(pub Vec<(CellName, &'a value::RawValue)>);

/// Name of a cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CellName {
    /// A column of the table.
    Column(TableColumn),
    /// Another name.
    Other(String),
}

/// Reads the cells of one row and collects their errors.
pub struct CellReader<'a, 'e> {
    text: &'a ValueText,
    label: RowLabel,
    cells: Vec<(TableColumn, &'a value::RawValue)>,
    errors: &'e mut Vec<TableError>,
    /// Where the row is written.
    pub origin: RowPosition,
    /// Columns that were read and are not written in the row.
    pub defaults: ColumnSet,
}

/// What errors call a row.
#[derive(Clone, Copy, Debug)]
pub struct RowLabel {
    /// Kind of the row.
    pub kind: RowKind,
    /// Number of the row in its value, from 1.
    pub number: usize,
}

impl<'a, 'e> CellReader<'a, 'e> {
    /// Creates a reader for cells whose columns were checked.
    pub const fn new(
        text: &'a ValueText,
        label: RowLabel,
        origin: RowPosition,
        cells: Vec<(TableColumn, &'a value::RawValue)>,
        errors: &'e mut Vec<TableError>,
    ) -> Self {
        Self {
            text,
            label,
            cells,
            errors,
            origin,
            defaults: ColumnSet::EMPTY,
        }
    }

    /// Reads a string that the row must have; `None` after an error.
    pub fn required(
        &mut self,
        column: TableColumn,
        allowed: impl Fn(&str) -> bool,
    ) -> Option<borrow::Cow<'a, str>> {
        let Some(raw) = self.find(column) else {
            self.refuse_missing(column);
            return None;
        };
        self.string(column, raw, allowed)
    }

    /// Reads a string with a default.
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

    /// Reads a whole number with a default.
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
                self.refuse_cell(column, raw);
                default
            }
        }
    }

    /// Reads a number with a default.
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
                self.refuse_cell(column, raw);
                default
            }
        }
    }

    /// Records an error about a cell, or about the row when the cell is not written.
    pub fn refuse(
        &mut self,
        column: TableColumn,
        kind: TableErrorKind,
        found: &str,
        expected: &str,
    ) {
        let position = self.find(column).map(|raw| self.text.position_of(raw));
        self.errors.push(TableError {
            value: self.text.key.clone(),
            line: position.map_or(self.origin.line, |position| position.line),
            text_column: position.map_or(self.origin.text_column, |position| position.column),
            row: self.label.text(&self.cells),
            column: column.to_string(),
            kind,
            found: found.to_owned(),
            expected: expected.to_owned(),
        });
    }

    /// Returns how many errors were collected so far.
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
        let text = string_of(raw).filter(|text| allowed(text));
        if text.is_none() {
            self.refuse_cell(column, raw);
        }
        text
    }

    fn refuse_cell(&mut self, column: TableColumn, raw: &value::RawValue) {
        let found = shorten(raw.get());
        self.refuse(column, TableErrorKind::BadValue, &found, column.expected());
    }

    fn refuse_missing(&mut self, column: TableColumn) {
        let kind = TableErrorKind::MissingColumn;
        self.refuse(column, kind, "no such cell", column.expected());
    }
}

impl RowLabel {
    /// Returns the kind and name of the row, or its number when the name cannot be used.
    pub fn text(self, cells: &[(TableColumn, &value::RawValue)]) -> String {
        let column = match self.kind {
            RowKind::Backend => TableColumn::Backend,
            RowKind::Class => TableColumn::Class,
        };
        let cell = cells.iter().find(|(name, _)| *name == column);
        let name = cell.and_then(|(_, raw)| string_of(raw));
        match name.filter(|name| is_name(name)) {
            Some(name) => format!("{} \"{name}\"", self.kind),
            None => format!("row {}", self.number),
        }
    }
}

impl CellName {
    /// Returns the name as it is written.
    pub fn as_str(&self) -> &str {
        match self {
            Self::Column(column) => column.into(),
            Self::Other(name) => name,
        }
    }
}

/// Returns whether a text may name a backend server, a class or a pool.
pub fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    (1..=NAME_LIMIT_BYTES).contains(&text.len()) && text.bytes().all(allowed)
}

/// Returns the string of a raw value without a copy where it has no escapes.
fn string_of(raw: &value::RawValue) -> Option<borrow::Cow<'_, str>> {
    if let Ok(text) = serde_json::from_str::<&str>(raw.get()) {
        return Some(borrow::Cow::Borrowed(text));
    }
    serde_json::from_str(raw.get()).ok().map(borrow::Cow::Owned)
}

/// Shortens what was found so that a message stays on one line.
pub fn shorten(text: &str) -> String {
    let line: String = text
        .chars()
        .map(|letter| if letter.is_control() { ' ' } else { letter })
        .take(FOUND_LIMIT_CHARS)
        .collect();
    if text.chars().count() > FOUND_LIMIT_CHARS {
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
