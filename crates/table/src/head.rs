//! Head and parts of a publication: JSON form, keys, digests and size limits.

use std::collections;
use std::sync;

use serde::Deserialize;
use serde_json::value;
use toucanledge_core::TableRevision;
use xxhash_rust::xxh3;

use crate::cell;
use crate::error::{TableError, TableErrorKind};
use crate::text::ValueText;

/// Platform key of the head of the table.
pub const HEAD_KEY: &str = "table/head";
/// Maximum size of a platform value in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;
/// Maximum number of parts of a table.
///
/// A change of one row rewrites the head and one part, so many small parts keep the traffic of a
/// change small.
pub const MAX_PARTS: usize = 1024;
/// Maximum total size of all parts of a table in bytes.
pub const MAX_PARTS_BYTES: usize = 48_000_000;

const PART_KEY_PREFIX: &str = "table/part/";
const MAX_EDITOR_CHARS: usize = 200;

/// Texts of parts by platform key; revisions share the texts of unchanged parts.
pub type TableParts = collections::BTreeMap<String, sync::Arc<str>>;

/// Unparsed texts of a publication; a gateway that gets them from a peer checks them itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TableSource {
    /// Platform revision of the head.
    pub revision: TableRevision,
    /// Text of the head.
    pub head: String,
    /// Texts of the parts by platform key.
    pub parts: TableParts,
}

/// Fields of the head of a publication, without its rows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableHead {
    /// Revision of the table that was edited.
    pub based_on: TableRevision,
    /// Name of the editor.
    pub editor: String,
    /// Platform keys of the parts, whose rows follow those of the head in this order.
    pub parts: Vec<String>,
}

/// JSON form of the head; the rows are not parsed yet.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "an object")]
pub struct HeadJson<'a> {
    pub based_on: u64,
    pub editor: String,
    #[serde(borrow, default)]
    pub rows: Vec<&'a value::RawValue>,
    #[serde(default)]
    pub parts: Vec<String>,
}

/// JSON form of a part; the rows are not parsed yet.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "an object")]
pub struct PartJson<'a> {
    #[serde(borrow)]
    pub rows: Vec<&'a value::RawValue>,
}

/// Returns the platform key of a part with this text.
///
/// The key contains the XXH3-128 digest of the text. A later publication therefore never overwrites
/// a part of an earlier one, and every gateway reads the same rows for the same head.
///
/// ```
/// use toucanledge_table::part_key;
/// assert_eq!(part_key(r#"{"rows":[]}"#).len(), "table/part/".len() + 32);
/// ```
#[must_use]
pub fn part_key(text: &str) -> String {
    format!("{PART_KEY_PREFIX}{}", digest(text))
}

impl TableHead {
    /// Reads the fields of the head without its rows, for example to find the parts to fetch.
    ///
    /// ```
    /// use toucanledge_table::TableHead;
    /// let head = TableHead::read(r#"{"based_on": 11, "editor": "ana", "rows": []}"#)?;
    /// assert_eq!((head.based_on.0, head.editor.as_str()), (11, "ana"));
    /// # Ok::<(), Vec<toucanledge_table::TableError>>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Returns the errors of the head outside of its rows.
    pub fn read(head: &str) -> Result<Self, Vec<TableError>> {
        let text = value_text(HEAD_KEY, head)?;
        let (_, head) = Self::parse(&text)?;
        Ok(head)
    }

    /// Parses the head and checks its fields.
    pub(crate) fn parse(text: &ValueText) -> Result<(HeadJson<'_>, Self), Vec<TableError>> {
        let head_fields: HeadJson<'_> = text
            .parse("`based_on`, `editor`, `rows` and `parts`")
            .map_err(|error| vec![*error])?;
        let head = Self {
            based_on: TableRevision(head_fields.based_on),
            editor: head_fields.editor.clone(),
            parts: head_fields.parts.clone(),
        };
        let errors = head.check(text);
        if errors.is_empty() {
            return Ok((head_fields, head));
        }
        Err(errors)
    }

    fn check(&self, text: &ValueText) -> Vec<TableError> {
        let mut errors = Vec::new();
        if !is_valid_editor(&self.editor) {
            let expected = "1 to 200 characters without control characters";
            let kind = TableErrorKind::BadValue;
            errors.push(head_error(text, "editor", kind, &self.editor, expected));
        }
        if self.parts.len() > MAX_PARTS {
            let found = self.parts.len().to_string();
            let kind = TableErrorKind::TooLarge;
            errors.push(head_error(
                text,
                "parts",
                kind,
                &found,
                "at most 1024 parts",
            ));
        }
        let mut seen = collections::HashSet::new();
        for key in &self.parts {
            let kind = TableErrorKind::BadPartKey;
            if !is_valid_part_key(key) {
                let expected = "`table/part/` and the XXH3-128 digest of the part in 32 hex digits";
                errors.push(head_error(text, "parts", kind, key, expected));
            }
            if !seen.insert(key) {
                let found = format!("{key} twice");
                errors.push(head_error(text, "parts", kind, &found, "each part once"));
            }
        }
        errors
    }
}

impl TableSource {
    /// Returns the keys of the parts that are missing or do not match the digest in their key.
    pub(crate) fn missing_parts(&self, head: &TableHead) -> Vec<String> {
        let is_missing = |key: &&String| {
            let text = self.parts.get(*key);
            text.is_none_or(|text| !matches_digest(key, text))
        };
        head.parts.iter().filter(is_missing).cloned().collect()
    }
}

/// Checks the size of a value and replaces its comments with spaces.
pub fn value_text(key: &str, original: &str) -> Result<ValueText, Vec<TableError>> {
    if original.len() > MAX_VALUE_BYTES {
        return Err(vec![size_error(key, original.len())]);
    }
    ValueText::new(key, original).map_err(|error| vec![*error])
}

/// Reads the editor of a head whose other fields may be invalid; `None` without a valid editor.
pub fn read_editor(head: &str) -> Option<String> {
    let text = value_text(HEAD_KEY, head).ok()?;
    let fields = serde_json::from_str::<cell::RowCells<'_>>(&text.text).ok()?;
    let (_, raw) = fields
        .0
        .iter()
        .find(|(name, _)| name.as_str() == "editor")?;
    let editor: String = serde_json::from_str(raw.get()).ok()?;
    is_valid_editor(&editor).then_some(editor)
}

/// Returns an error when the total size of the parts exceeds its limit.
pub fn parts_size_error(text: &ValueText, source: &TableSource) -> Option<TableError> {
    let size: usize = source.parts.values().map(|text| text.len()).sum();
    if size <= MAX_PARTS_BYTES {
        return None;
    }
    let found = format!("{size} bytes in all parts");
    let expected = format!("at most {MAX_PARTS_BYTES} bytes");
    let kind = TableErrorKind::TooLarge;
    Some(head_error(text, "parts", kind, &found, &expected))
}

/// Creates an error with the position of a field of the head.
pub fn head_error(
    text: &ValueText,
    field: &str,
    kind: TableErrorKind,
    found: &str,
    expected: &str,
) -> TableError {
    let position = text.field_position(field);
    TableError {
        value: text.key.clone(),
        line: position.line,
        text_column: position.column,
        row: String::new(),
        column: field.to_owned(),
        kind,
        found: cell::shorten(found),
        expected: expected.to_owned(),
    }
}

fn size_error(key: &str, size: usize) -> TableError {
    TableError {
        value: key.to_owned(),
        line: 1,
        text_column: 1,
        row: String::new(),
        column: String::new(),
        kind: TableErrorKind::TooLarge,
        found: format!("{size} bytes"),
        expected: format!("at most {MAX_VALUE_BYTES} bytes"),
    }
}

fn digest(text: &str) -> String {
    format!("{:032x}", xxh3::xxh3_128(text.as_bytes()))
}

/// Returns whether the digest of the text is the one in the key of the part.
pub fn matches_digest(key: &str, text: &str) -> bool {
    part_key(text) == key
}

fn is_valid_part_key(key: &str) -> bool {
    let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    key.strip_prefix(PART_KEY_PREFIX)
        .is_some_and(|digest| digest.len() == 32 && digest.bytes().all(is_digit))
}

fn is_valid_editor(editor: &str) -> bool {
    let length = editor.chars().count();
    (1..=MAX_EDITOR_CHARS).contains(&length) && !editor.chars().any(char::is_control)
}
