//! Errors of the commands.

use std::fmt;
use std::path;

/// Reason why a command fails.
#[derive(Debug)]
pub enum CliError {
    /// A file cannot be read.
    Unreadable(path::PathBuf),
    /// Tables have errors; the text has one on each line.
    Invalid(String),
    /// No row matches the query that is described here.
    NoRow(String),
}

impl fmt::Display for CliError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(file) => write!(formatter, "{} cannot be read", file.display()),
            Self::Invalid(lines) => formatter.write_str(lines),
            Self::NoRow(query) => write!(formatter, "no row matches {query}"),
        }
    }
}

impl std::error::Error for CliError {}
