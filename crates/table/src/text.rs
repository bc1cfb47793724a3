//! Text of one platform value, with its comments blanked and its positions unchanged.

use std::io;
use std::io::Read;

use json_comments::CommentSettings;
use serde::Deserialize;
use serde_json::value;

use crate::cell;
use crate::error::{TableError, TableErrorKind};

/// Text of one platform value, ready for the JSON parser.
pub struct ValueText {
    /// Platform key of the value.
    pub key: String,
    /// Text with every comment replaced by spaces; byte offsets are those of the original.
    pub text: String,
    /// Byte offset of the start of every line.
    line_starts: Vec<usize>,
}

/// Line and column of a byte, both from 1; the column counts bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TextPosition {
    pub line: u32,
    pub column: u32,
}

impl ValueText {
    /// Creates the text of a value by replacing its comments with spaces.
    pub fn new(key: &str, original: &str) -> Result<Self, Box<TableError>> {
        let line_starts = line_starts(original);
        let mut bytes = Vec::with_capacity(original.len());
        let mut stripper = CommentSettings::c_style().strip_comments(original.as_bytes());
        if stripper.read_to_end(&mut bytes).is_err() {
            let offset = comment_error_offset(original);
            let position = position_in(&line_starts, offset);
            return Err(Box::new(comment_error(key, position)));
        }
        restore_newlines(original, &mut bytes);
        let text = String::from_utf8(bytes).unwrap_or_default();
        Ok(Self {
            key: key.to_owned(),
            text,
            line_starts,
        })
    }

    /// Returns the position of a raw value that was parsed from this text.
    pub fn position_of(&self, raw: &value::RawValue) -> TextPosition {
        let start = self.text.as_ptr().addr();
        self.position_at(raw.get().as_ptr().addr().saturating_sub(start))
    }

    /// Returns the position of a field's value, or the start of the text when the field is absent.
    pub fn field_position(&self, field: &str) -> TextPosition {
        let fields = serde_json::from_str::<cell::RowCells<'_>>(&self.text);
        let fields = fields.map_or_else(|_| Vec::new(), |fields| fields.0);
        let found = fields.iter().find(|(name, _)| name.as_str() == field);
        found.map_or(self.position_at(0), |(_, raw)| self.position_of(raw))
    }

    /// Parses the text; `expected` describes the valid fields in error messages.
    pub fn parse<'a, T: Deserialize<'a>>(&'a self, expected: &str) -> Result<T, Box<TableError>> {
        let mut deserializer = serde_json::Deserializer::from_str(&self.text);
        let parsed = serde_path_to_error::deserialize(&mut deserializer);
        let parsed = parsed.map_err(|error| {
            let path = error.path().to_string();
            self.json_error(&path, error.inner(), expected)
        })?;
        deserializer
            .end()
            .map_err(|error| self.json_error(".", &error, "nothing after the value"))?;
        Ok(parsed)
    }

    fn position_at(&self, offset: usize) -> TextPosition {
        position_in(&self.line_starts, offset)
    }

    fn json_error(&self, path: &str, error: &serde_json::Error, expected: &str) -> Box<TableError> {
        let position = TextPosition {
            line: saturating_u32(error.line()),
            column: saturating_u32(error.column().max(1)),
        };
        let kind = match error.classify() {
            serde_json::error::Category::Data => TableErrorKind::BadValue,
            _ => TableErrorKind::Syntax,
        };
        let column = if matches!(path, "." | "?") { "" } else { path };
        Box::new(TableError {
            value: self.key.clone(),
            line: position.line,
            text_column: position.column,
            row: String::new(),
            column: column.to_owned(),
            kind,
            found: message_without_position(error),
            expected: expected.to_owned(),
        })
    }
}

fn message_without_position(error: &serde_json::Error) -> String {
    let text = error.to_string();
    let suffix = format!(" at line {} column {}", error.line(), error.column());
    text.strip_suffix(&suffix).unwrap_or(&text).to_owned()
}

fn comment_error(key: &str, position: TextPosition) -> TableError {
    TableError {
        value: key.to_owned(),
        line: position.line,
        text_column: position.column,
        row: String::new(),
        column: String::new(),
        kind: TableErrorKind::Syntax,
        found: "an unfinished string or comment".to_owned(),
        expected: "a closed string, `/* … */` or `// …`".to_owned(),
    }
}

/// Restores the newlines inside block comments, which `json_comments` replaces with spaces.
fn restore_newlines(original: &str, bytes: &mut [u8]) {
    for (before, after) in original.bytes().zip(bytes) {
        if before == b'\n' {
            *after = b'\n';
        }
    }
}

/// Returns the offset at which `json_comments` fails; its errors contain no offset.
fn comment_error_offset(original: &str) -> usize {
    let mut stripper = CommentSettings::c_style().strip_comments(original.as_bytes());
    let mut byte = [0];
    let mut offset = 0;
    while let io::Result::Ok(1) = stripper.read(&mut byte) {
        offset += 1;
    }
    offset.min(original.len())
}

fn line_starts(text: &str) -> Vec<usize> {
    let ends = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
    std::iter::once(0)
        .chain(ends.map(|(offset, _)| offset + 1))
        .collect()
}

fn position_in(line_starts: &[usize], offset: usize) -> TextPosition {
    let line = line_starts.partition_point(|start| *start <= offset).max(1);
    let start = line_starts[line - 1];
    TextPosition {
        line: saturating_u32(line),
        column: saturating_u32(offset - start + 1),
    }
}

fn saturating_u32(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
