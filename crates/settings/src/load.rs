//! Loads settings files into any `serde` type.

use std::fs;
use std::path;

use error_stack::{Report, ResultExt};
use serde::de;

use crate::error::{SettingsError, SettingsIssue};
use crate::text;

/// Reads a settings file.
///
/// # Errors
///
/// Returns [`SettingsError::Unreadable`] when the file cannot be read, and
/// [`SettingsError::Invalid`] when its text does not match the type.
pub fn load<T: de::DeserializeOwned>(
    file: impl AsRef<path::Path>,
) -> Result<T, Report<SettingsError>> {
    let text = read_file(file.as_ref())?;
    parse(&file.as_ref().display().to_string(), &text)
}

/// Parses the text of a settings file; `file` is the file name in errors.
///
/// Unknown keys are errors when the type has `#[serde(deny_unknown_fields)]`.
///
/// ```
/// use std::collections::BTreeMap;
/// let error = toucanledge_settings::parse::<BTreeMap<String, u8>>("a.jsonc", "{\n\"b\": 256}")
///     .expect_err("256 exceeds the type");
/// assert!(error.to_string().starts_with("a.jsonc:2:8: field `b`"));
/// ```
///
/// # Errors
///
/// Returns [`SettingsError::Invalid`] with line, column and field.
pub fn parse<T: de::DeserializeOwned>(
    file: &str,
    original: &str,
) -> Result<T, Report<SettingsError>> {
    parse_text(original).map_err(|issue| invalid_error(file, vec![issue]))
}

pub fn read_file(file: &path::Path) -> Result<String, Report<SettingsError>> {
    fs::read_to_string(file).change_context_lazy(|| SettingsError::Unreadable(file.to_owned()))
}

pub fn invalid_error(file: &str, issues: Vec<SettingsIssue>) -> Report<SettingsError> {
    Report::new(SettingsError::Invalid {
        file: file.to_owned(),
        issues,
    })
}

fn parse_text<T: de::DeserializeOwned>(original: &str) -> Result<T, SettingsIssue> {
    let text = text::replace_comments(original)?;
    let mut deserializer = serde_json::Deserializer::from_str(&text);
    let parsed = serde_path_to_error::deserialize(&mut deserializer);
    let parsed = parsed.map_err(|error| to_issue(&error.path().to_string(), error.inner()))?;
    deserializer.end().map_err(|error| to_issue("", &error))?;
    Ok(parsed)
}

fn to_issue(field: &str, error: &serde_json::Error) -> SettingsIssue {
    let message = message_without_position(error);
    let (found, expected) = match message.split_once(", expected ") {
        Some((found, expected)) => (found.to_owned(), expected.to_owned()),
        None => (message, String::new()),
    };
    SettingsIssue {
        line: error.line(),
        column: error.column().max(1),
        field: if matches!(field, "." | "?") {
            ""
        } else {
            field
        }
        .to_owned(),
        found,
        expected,
    }
}

/// Returns the message without the position that `serde_json` appends.
fn message_without_position(error: &serde_json::Error) -> String {
    let text = error.to_string();
    let suffix = format!(" at line {} column {}", error.line(), error.column());
    text.strip_suffix(&suffix).unwrap_or(&text).to_owned()
}
