//! Reads tables from files.

use std::collections;
use std::fs;
use std::path;

use error_stack::{Report, ResultExt};
use toucanledge_core::TableRevision;
use toucanledge_table::{
    HEAD_KEY, PublishedTable, TableError, TableHead, TableParts, TableSource, part_key,
};

use crate::error::CliError;

/// Texts and files of parts by platform key.
#[derive(Debug, Default)]
pub struct PartFiles {
    texts: TableParts,
    files: collections::BTreeMap<String, path::PathBuf>,
}

/// Reads a file.
pub fn read_file(file: &path::Path) -> Result<String, Report<CliError>> {
    fs::read_to_string(file).change_context_lazy(|| CliError::Unreadable(file.to_owned()))
}

impl PartFiles {
    /// Reads parts from files and computes their platform keys.
    pub fn read(files: &[path::PathBuf]) -> Result<Self, Report<CliError>> {
        let mut parts = Self::default();
        for file in files {
            let text = read_file(file)?;
            let key = part_key(&text);
            parts.files.insert(key.clone(), file.clone());
            parts.texts.insert(key, text.into());
        }
        Ok(parts)
    }

    /// Reads and checks the table whose head is in this file.
    pub fn read_table(&self, head: &path::Path) -> Result<PublishedTable, Report<CliError>> {
        let text = read_file(head)?;
        let source = TableSource {
            revision: acceptable_revision(&text),
            head: text,
            parts: self.texts.clone(),
        };
        PublishedTable::read(&source).map_err(|errors| self.invalid_error(head, errors))
    }

    /// Returns the path of the file that holds a platform value, or the key if there is none.
    pub fn file_name(&self, head: &path::Path, value: &str) -> String {
        let file = match value {
            HEAD_KEY => Some(head),
            key => self.files.get(key).map(path::PathBuf::as_path),
        };
        file.map_or_else(|| value.to_owned(), |file| file.display().to_string())
    }

    fn invalid_error(&self, head: &path::Path, errors: Vec<TableError>) -> Report<CliError> {
        let line = |mut error: TableError| {
            error.value = self.file_name(head, &error.value);
            error.to_string()
        };
        let lines: Vec<String> = errors.into_iter().map(line).collect();
        Report::new(CliError::Invalid(lines.join("\n")))
    }
}

/// Returns the only revision at which the table could be accepted: one above `based_on`.
fn acceptable_revision(head: &str) -> TableRevision {
    let based_on = TableHead::read(head).map_or(0, |head| head.based_on.0);
    TableRevision(based_on.saturating_add(1))
}
