//! Runs the commands and formats their output.

use std::path;

use error_stack::Report;
use toucanledge_table::{PublishedTable, diff, explain, explain_backend, part_key};

use crate::command::{RowQuery, TableCommand};
use crate::error::CliError;
use crate::input;
use crate::input::PartFiles;

/// Runs a command and returns its output.
pub fn run(command: TableCommand) -> Result<String, Report<CliError>> {
    match command {
        TableCommand::Check { parts, heads } => check(&PartFiles::read(&parts)?, &heads),
        TableCommand::Diff { parts, old, new } => compare(&PartFiles::read(&parts)?, &old, &new),
        TableCommand::Explain { parts, query, head } => {
            explain_row(&PartFiles::read(&parts)?, &query, &head)
        }
        TableCommand::Key { parts } => keys(&parts),
    }
}

fn check(parts: &PartFiles, heads: &[path::PathBuf]) -> Result<String, Report<CliError>> {
    let mut summaries = String::new();
    let mut error_lines = Vec::new();
    for head in heads {
        match parts.read_table(head) {
            Ok(table) => summaries.push_str(&summary(head, &table)),
            Err(report) => match report.current_context() {
                CliError::Invalid(lines) => error_lines.push(lines.clone()),
                _ => return Err(report),
            },
        }
    }
    if error_lines.is_empty() {
        return Ok(summaries);
    }
    Err(Report::new(CliError::Invalid(error_lines.join("\n"))))
}

fn summary(head: &path::Path, table: &PublishedTable) -> String {
    format!(
        "{}: no errors; revision {} by {}; backend rows: {}, class rows: {}\n",
        head.display(),
        table.revision().0,
        table.editor(),
        table.backends().count(),
        table.classes().count(),
    )
}

fn compare(
    parts: &PartFiles,
    old: &path::Path,
    new: &path::Path,
) -> Result<String, Report<CliError>> {
    let old = parts.read_table(old)?;
    let new = parts.read_table(new)?;
    Ok(diff(&old, &new).to_string())
}

fn explain_row(
    parts: &PartFiles,
    query: &RowQuery,
    head: &path::Path,
) -> Result<String, Report<CliError>> {
    let table = parts.read_table(head)?;
    let explanation = match query {
        RowQuery::Request { method, path } => explain(&table, method, path),
        RowQuery::Backend(name) => explain_backend(&table, name),
    };
    let Some(mut explanation) = explanation else {
        return Err(Report::new(CliError::NoRow(query_text(query))));
    };
    explanation.value_key = parts.file_name(head, &explanation.value_key);
    Ok(explanation.to_string())
}

fn query_text(query: &RowQuery) -> String {
    match query {
        RowQuery::Request { method, path } => format!("the request {method} {path}"),
        RowQuery::Backend(name) => format!("the backend server {name}"),
    }
}

fn keys(parts: &[path::PathBuf]) -> Result<String, Report<CliError>> {
    let line = |file: &path::PathBuf| {
        let key = part_key(&input::read_file(file)?);
        Ok(format!("{key}  {}\n", file.display()))
    };
    parts.iter().map(line).collect()
}
