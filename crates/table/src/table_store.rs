//! The active table and the rule by which a publication becomes active.

use std::fmt;
use std::sync;

use toucanledge_core::TableRevision;

use crate::error::{TableError, TableErrorKind};
use crate::head;
use crate::head::{TableHead, TableParts, TableSource};
use crate::row_store::PartCache;
use crate::table::PublishedTable;

const MAX_RECORDED_ERRORS: usize = 100;

/// Result of applying a publication.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The publication is now the active table.
    Accepted,
    /// The active table has the same or a newer revision.
    Stale,
    /// The publication is invalid or has a wrong `based_on`, and will never be accepted.
    Refused(RefusedPublication),
    /// These parts are missing or do not match their digest; apply the publication again with them.
    MissingParts(Vec<String>),
}

/// A refused publication with its errors.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedPublication {
    /// Platform revision of the publication.
    pub revision: TableRevision,
    /// Name of the editor; `None` when the head has no valid editor.
    pub editor: Option<String>,
    /// Errors with row, column and line.
    pub errors: Vec<TableError>,
    /// Number of further errors that were not kept.
    pub dropped_errors: usize,
}

/// Keeps the active table and applies the publication rule.
///
/// A publication at revision r is accepted only if it is valid as a whole and based on revision
/// r − 1. The rule depends on the publication alone, so all gateways agree on it, whichever
/// publications they read before. The newest accepted publication is the active table.
#[derive(Clone, Debug, Default)]
pub struct TableStore {
    active: Option<ActiveTable>,
    last_refusal: Option<RefusedPublication>,
    cache: PartCache,
}

#[derive(Clone, Debug)]
struct ActiveTable {
    table: sync::Arc<PublishedTable>,
    source: sync::Arc<TableSource>,
}

impl TableStore {
    /// Creates a store without an active table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a publication that was read from the platform.
    ///
    /// Values in `parts` that the head does not list are ignored, and parts of the active table
    /// need not be passed again. The gateway may therefore first pass no parts and then fetch those
    /// that [`ApplyOutcome::MissingParts`] lists.
    pub fn apply(
        &mut self,
        revision: TableRevision,
        head: &str,
        parts: &TableParts,
    ) -> ApplyOutcome {
        let outcome = self.check_and_activate(revision, head, parts);
        if let ApplyOutcome::Refused(refusal) = &outcome {
            self.record_refusal(refusal);
        }
        outcome
    }

    /// Applies a publication that a peer accepted, with the same checks.
    ///
    /// A refusal is returned but not recorded, because it is not caused by the editor.
    pub fn apply_from_peer(&mut self, source: &TableSource) -> ApplyOutcome {
        self.check_and_activate(source.revision, &source.head, &source.parts)
    }

    /// Returns the revision of the active table; 0 before any publication is accepted.
    #[must_use]
    pub fn revision(&self) -> TableRevision {
        self.table()
            .map_or(TableRevision(0), |table| table.revision())
    }

    /// Returns the active table.
    #[must_use]
    pub fn table(&self) -> Option<&sync::Arc<PublishedTable>> {
        self.active.as_ref().map(|active| &active.table)
    }

    /// Returns the texts of the active table, which can be sent to a peer.
    #[must_use]
    pub fn source(&self) -> Option<&sync::Arc<TableSource>> {
        self.active.as_ref().map(|active| &active.source)
    }

    /// Returns the refused publication with the newest revision, with its first 100 errors.
    #[must_use]
    pub const fn last_refusal(&self) -> Option<&RefusedPublication> {
        self.last_refusal.as_ref()
    }

    fn check_and_activate(
        &mut self,
        revision: TableRevision,
        head: &str,
        parts: &TableParts,
    ) -> ApplyOutcome {
        if revision <= self.revision() {
            return ApplyOutcome::Stale;
        }
        let fields = match TableHead::read(head) {
            Ok(fields) => fields,
            Err(errors) => return refuse(revision, head::read_editor(head), errors),
        };
        if fields.based_on.0.checked_add(1) != Some(revision.0) {
            let errors = based_on_errors(revision, head, fields.based_on);
            return refuse(revision, Some(fields.editor), errors);
        }
        let source = self.collect_source(revision, head, &fields, parts);
        let missing = source.missing_parts(&fields);
        if !missing.is_empty() {
            return ApplyOutcome::MissingParts(missing);
        }
        let outcome = match PublishedTable::read_with_cache(&source, &mut self.cache) {
            Ok(table) => self.activate(table, source),
            Err(errors) => refuse(revision, Some(fields.editor), errors),
        };
        self.drop_unused_parts();
        outcome
    }

    fn collect_source(
        &self,
        revision: TableRevision,
        head: &str,
        fields: &TableHead,
        parts: &TableParts,
    ) -> TableSource {
        let entry = |key: &String| Some((key.clone(), self.find_part(key, parts)?));
        TableSource {
            revision,
            head: head.to_owned(),
            parts: fields.parts.iter().filter_map(entry).collect(),
        }
    }

    /// Returns a part of the active table or, if its digest matches, of the provided parts.
    fn find_part(&self, key: &str, provided: &TableParts) -> Option<sync::Arc<str>> {
        let active = self.source().and_then(|source| source.parts.get(key));
        let provided = provided
            .get(key)
            .filter(|text| head::matches_digest(key, text));
        active.or(provided).cloned()
    }

    fn activate(&mut self, table: PublishedTable, source: TableSource) -> ApplyOutcome {
        self.active = Some(ActiveTable {
            table: sync::Arc::new(table),
            source: sync::Arc::new(source),
        });
        ApplyOutcome::Accepted
    }

    /// Removes cached rows of parts that the active table does not have.
    fn drop_unused_parts(&mut self) {
        let source = self.active.as_ref().map(|active| &active.source);
        self.cache
            .retain(|key| source.is_some_and(|source| source.parts.contains_key(key)));
    }

    fn record_refusal(&mut self, refusal: &RefusedPublication) {
        let last = self.last_refusal.as_ref();
        if last.is_some_and(|last| last.revision >= refusal.revision) {
            return;
        }
        let mut refusal = refusal.clone();
        refusal.dropped_errors = refusal.errors.len().saturating_sub(MAX_RECORDED_ERRORS);
        refusal.errors.truncate(MAX_RECORDED_ERRORS);
        self.last_refusal = Some(refusal);
    }
}

impl fmt::Display for RefusedPublication {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let editor = self.editor.as_deref().unwrap_or("an unknown editor");
        let revision = self.revision.0;
        write!(formatter, "revision {revision} by {editor} is refused")?;
        for error in &self.errors {
            write!(formatter, "\n  {error}")?;
        }
        if self.dropped_errors > 0 {
            write!(formatter, "\n  and {} more errors", self.dropped_errors)?;
        }
        Ok(())
    }
}

fn refuse(
    revision: TableRevision,
    editor: Option<String>,
    errors: Vec<TableError>,
) -> ApplyOutcome {
    ApplyOutcome::Refused(RefusedPublication {
        revision,
        editor,
        errors,
        dropped_errors: 0,
    })
}

fn based_on_errors(
    revision: TableRevision,
    head: &str,
    based_on: TableRevision,
) -> Vec<TableError> {
    let text = match head::value_text(head::HEAD_KEY, head) {
        Ok(text) => text,
        Err(errors) => return errors,
    };
    let kind = TableErrorKind::BasedOn;
    let found = based_on.0.to_string();
    let expected = format!(
        "{}, because the publication has revision {}",
        revision.0 - 1,
        revision.0
    );
    vec![head::head_error(&text, "based_on", kind, &found, &expected)]
}
