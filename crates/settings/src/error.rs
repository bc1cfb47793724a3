//! Errors of settings files.

use std::fmt;
use std::path;

/// An error in a settings file, with its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsIssue {
    /// Line in the file, from 1.
    pub line: usize,
    /// Byte in the line, from 1.
    pub column: usize,
    /// Path of the field, for example `seeds[1]`; empty for the whole file.
    pub field: String,
    /// What was found; the complete message when `expected` is empty.
    pub found: String,
    /// What was expected; may be empty.
    pub expected: String,
}

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The file cannot be read.
    Unreadable(path::PathBuf),
    /// The text of the file has errors.
    Invalid {
        /// Name of the file.
        file: String,
        /// Errors, sorted by line.
        issues: Vec<SettingsIssue>,
    },
}

impl fmt::Display for SettingsIssue {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.field.is_empty() {
            write!(formatter, "field `{}`: ", self.field)?;
        }
        if self.expected.is_empty() {
            return formatter.write_str(&self.found);
        }
        write!(
            formatter,
            "found {}, expected {}",
            self.found, self.expected
        )
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (file, issues) = match self {
            Self::Unreadable(file) => {
                return write!(formatter, "settings file {} cannot be read", file.display());
            }
            Self::Invalid { file, issues } => (file, issues),
        };
        for (index, issue) in issues.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            let SettingsIssue { line, column, .. } = issue;
            write!(formatter, "{separator}{file}:{line}:{column}: {issue}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}
