//! Parses the rows of one value and checks each of them.

use std::str::FromStr;

use serde_json::value;
use toucanledge_core::{ClassId, PoolId};

use crate::cell;
use crate::cell::{CellName, CellReader, RowLabel};
use crate::column::{BACKEND_COLUMNS, CLASS_COLUMNS, TableColumn};
use crate::error::{TableError, TableErrorKind};
use crate::row::{BackendRow, ClassRow, RepeatRule, RowKind, RowPosition};
use crate::row_store::{NameInterner, ValueRows};
use crate::text::ValueText;

const MAX_METHOD_BYTES: usize = 32;
const MAX_PATH_BYTES: usize = 1024;
const DAY_MS: u32 = 86_400_000;
const DAY_S: u32 = 86_400;

const DEFAULT_METHOD: &str = "*";
const DEFAULT_WEIGHT: f64 = 1.0;
const DEFAULT_SLOTS: u32 = 4;
const DEFAULT_CONNECTIONS: u32 = 330;
const DEFAULT_DEADLINE_MS: u32 = 2000;
const DEFAULT_QUEUE_MS: u32 = 200;
const DEFAULT_RATE_LIMIT_PER_S: u32 = 0;
const DEFAULT_SLOT_SHARE: f64 = 1.0;
const DEFAULT_RETRY_PERCENT: u32 = 10;
const DEFAULT_FLOOR: f64 = 0.7;
const DEFAULT_WINDOW_S: u32 = 0;

const MAX_WEIGHT: f64 = 1_000_000.0;
const MAX_RATE_LIMIT_PER_S: u32 = 100_000_000;

/// Reads the rows of one value; errors are added to `errors`.
pub fn read_rows(
    text: &ValueText,
    rows: &[&value::RawValue],
    names: &mut NameInterner,
    errors: &mut Vec<TableError>,
) -> ValueRows {
    let mut value_rows = ValueRows::default();
    for (index, row) in rows.iter().enumerate() {
        let position = text.position_of(row);
        let position = RowPosition {
            line: position.line,
            text_column: position.column,
        };
        let raw = RawRow {
            text,
            row,
            position,
            number: index + 1,
        };
        raw.read(&mut value_rows, names, errors);
    }
    value_rows.backends.shrink_to_fit();
    value_rows.classes.shrink_to_fit();
    value_rows
}

/// A row that is not parsed yet.
struct RawRow<'a> {
    text: &'a ValueText,
    row: &'a value::RawValue,
    position: RowPosition,
    /// Number of the row in its value, from 1.
    number: usize,
}

impl<'a> RawRow<'a> {
    fn read(
        &self,
        value_rows: &mut ValueRows,
        names: &mut NameInterner,
        errors: &mut Vec<TableError>,
    ) {
        let Ok(cells) = serde_json::from_str::<cell::RowCells<'a>>(self.row.get()) else {
            value_rows.has_dropped_rows = true;
            let found = cell::shorten(self.row.get());
            errors.push(self.error(TableErrorKind::UnknownRow, &found, "an object of columns"));
            return;
        };
        let Some(kind) = self.kind(&cells, errors) else {
            value_rows.has_dropped_rows = true;
            return;
        };
        let label = RowLabel {
            kind,
            number: self.number,
        };
        let known = self.known_cells(label, cells, errors);
        let mut reader = CellReader::new(self.text, label, self.position, known, errors);
        match kind {
            RowKind::Backend => match read_backend(&mut reader, names) {
                Some(row) => value_rows.backends.push(row),
                None => value_rows.has_dropped_rows = true,
            },
            RowKind::Class => {
                let row = read_class(&mut reader, names);
                value_rows.classes.extend(row);
            }
        }
    }

    fn kind(&self, cells: &cell::RowCells<'a>, errors: &mut Vec<TableError>) -> Option<RowKind> {
        let has = |column: TableColumn| {
            let name = CellName::Column(column);
            cells.0.iter().any(|(cell, _)| *cell == name)
        };
        let found = match (has(TableColumn::Backend), has(TableColumn::Class)) {
            (true, false) => return Some(RowKind::Backend),
            (false, true) => return Some(RowKind::Class),
            (true, true) => "both columns",
            (false, false) => "neither column",
        };
        let expected = "either the column `backend` or the column `class`";
        errors.push(self.error(TableErrorKind::UnknownRow, found, expected));
        None
    }

    /// Returns the first cell of every column of the row's kind; reports other cells as errors.
    fn known_cells(
        &self,
        label: RowLabel,
        cells: cell::RowCells<'a>,
        errors: &mut Vec<TableError>,
    ) -> Vec<(TableColumn, &'a value::RawValue)> {
        let columns = columns_of(label.kind);
        let mut known: Vec<(TableColumn, &'a value::RawValue)> = Vec::with_capacity(cells.0.len());
        let mut unexpected = Vec::new();
        for (name, raw) in cells.0 {
            match name {
                CellName::Column(column) if !columns.contains(&column) => {
                    unexpected.push((CellName::Column(column), raw, TableErrorKind::UnknownColumn));
                }
                CellName::Column(column) if known.iter().any(|(other, _)| *other == column) => {
                    unexpected.push((
                        CellName::Column(column),
                        raw,
                        TableErrorKind::DuplicateColumn,
                    ));
                }
                CellName::Column(column) => known.push((column, raw)),
                CellName::Other(_) => unexpected.push((name, raw, TableErrorKind::UnknownColumn)),
            }
        }
        for (name, raw, kind) in unexpected {
            let row = label.text(&known);
            errors.push(self.cell_error(row, label.kind, &name, raw, kind));
        }
        known
    }

    fn error(&self, kind: TableErrorKind, found: &str, expected: &str) -> TableError {
        TableError {
            value: self.text.key.clone(),
            line: self.position.line,
            text_column: self.position.text_column,
            row: format!("row {}", self.number),
            column: String::new(),
            kind,
            found: found.to_owned(),
            expected: expected.to_owned(),
        }
    }

    fn cell_error(
        &self,
        row: String,
        row_kind: RowKind,
        name: &CellName,
        raw: &value::RawValue,
        kind: TableErrorKind,
    ) -> TableError {
        let position = self.text.position_of(raw);
        let (found, expected) = match kind {
            TableErrorKind::DuplicateColumn => ("it twice", "each column once".to_owned()),
            _ => ("an unknown column", column_list(columns_of(row_kind))),
        };
        TableError {
            value: self.text.key.clone(),
            line: position.line,
            text_column: position.column,
            row,
            column: cell::shorten(name.as_str()),
            kind,
            found: found.to_owned(),
            expected,
        }
    }
}

const fn columns_of(kind: RowKind) -> &'static [TableColumn] {
    match kind {
        RowKind::Backend => &BACKEND_COLUMNS,
        RowKind::Class => &CLASS_COLUMNS,
    }
}

fn column_list(columns: &[TableColumn]) -> String {
    let names: Vec<String> = columns.iter().map(|name| format!("`{name}`")).collect();
    format!("one of the columns {}", names.join(", "))
}

fn read_backend(reader: &mut CellReader<'_, '_>, names: &mut NameInterner) -> Option<BackendRow> {
    let backend = reader.required(TableColumn::Backend, cell::is_valid_name);
    let pool = reader.required(TableColumn::Pool, cell::is_valid_name);
    let weight = reader.number(TableColumn::Weight, DEFAULT_WEIGHT, is_valid_weight);
    let slots = reader.integer(TableColumn::Slots, DEFAULT_SLOTS, 1..=1024);
    let connections = reader.integer(TableColumn::Connections, DEFAULT_CONNECTIONS, 1..=65_535);
    let pool = pool?;
    Some(BackendRow {
        backend: backend?.into_owned(),
        pool_id: PoolId::of(&pool),
        pool: names.intern(&pool),
        weight,
        slots,
        connections,
        defaults: reader.defaults,
        position: reader.position,
    })
}

fn read_class(reader: &mut CellReader<'_, '_>, names: &mut NameInterner) -> Option<ClassRow> {
    let class = reader.required(TableColumn::Class, cell::is_valid_name);
    let method = reader.optional(TableColumn::Method, DEFAULT_METHOD, is_valid_method);
    let path = reader.required(TableColumn::Path, is_valid_path);
    let pool = reader.required(TableColumn::Pool, cell::is_valid_name);
    let repeat = reader.required(TableColumn::Repeat, |text| {
        RepeatRule::from_str(text).is_ok()
    });
    let repeat = repeat.and_then(|text| RepeatRule::from_str(&text).ok());
    let weight = reader.number(TableColumn::Weight, DEFAULT_WEIGHT, is_valid_weight);
    let deadline_ms = reader.integer(TableColumn::DeadlineMs, DEFAULT_DEADLINE_MS, 1..=DAY_MS);
    let queue_ms = reader.integer(TableColumn::QueueMs, DEFAULT_QUEUE_MS, 0..=DAY_MS);
    let rate_limit = reader.integer(
        TableColumn::RateLimit,
        DEFAULT_RATE_LIMIT_PER_S,
        0..=MAX_RATE_LIMIT_PER_S,
    );
    let slot_share = reader.number(TableColumn::SlotShare, DEFAULT_SLOT_SHARE, |share| {
        share > 0.0 && share <= 1.0
    });
    let retry_percent = reader.integer(TableColumn::RetryPercent, DEFAULT_RETRY_PERCENT, 0..=100);
    let floor = reader.number(TableColumn::Floor, DEFAULT_FLOOR, |floor| {
        (0.0..=1.0).contains(&floor)
    });
    let window_s = read_window(reader, repeat);
    let class = class?;
    let pool = pool?;
    Some(ClassRow {
        class_id: ClassId::of(&class),
        class: class.into_owned(),
        method: names.intern(&method),
        path: path?.into_owned(),
        pool_id: PoolId::of(&pool),
        pool: names.intern(&pool),
        repeat: repeat?,
        weight,
        deadline_ms,
        queue_ms,
        rate_limit,
        slot_share,
        retry_percent,
        floor,
        window_s,
        defaults: reader.defaults,
        position: reader.position,
    })
}

fn read_window(reader: &mut CellReader<'_, '_>, repeat: Option<RepeatRule>) -> u32 {
    let errors_before = reader.error_count();
    let window_s = reader.integer(TableColumn::WindowS, DEFAULT_WINDOW_S, 0..=DAY_S);
    if reader.error_count() > errors_before {
        return window_s;
    }
    let expected = match repeat {
        Some(RepeatRule::Keyed) if window_s == 0 => {
            "a whole number of seconds from 1 to 86400 for a keyed class"
        }
        Some(RepeatRule::Repeatable) if window_s > 0 => "0 for a repeatable class",
        _ => return window_s,
    };
    let found = window_s.to_string();
    reader.push_error(
        TableColumn::WindowS,
        TableErrorKind::WrongWindow,
        &found,
        expected,
    );
    window_s
}

fn is_valid_method(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_uppercase() || byte == b'-';
    text == "*" || ((1..=MAX_METHOD_BYTES).contains(&text.len()) && text.bytes().all(allowed))
}

fn is_valid_path(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_graphic() && !b"?#".contains(&byte);
    text.starts_with('/') && text.len() <= MAX_PATH_BYTES && text.bytes().all(allowed)
}

fn is_valid_weight(weight: f64) -> bool {
    weight > 0.0 && weight <= MAX_WEIGHT
}
