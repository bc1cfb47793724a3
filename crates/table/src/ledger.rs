//! The publication rule.

use std::fmt;
use std::sync;

use toucanledge_core::TableRevision;

use crate::error::{TableError, TableErrorKind};
use crate::head;
use crate::head::{TableHead, TableParts, TableSource};
use crate::store::PartCache;
use crate::table::PublishedTable;

const REMEMBERED_ERRORS: usize = 100;

/// What became of a publication.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The publication is in force.
    Accepted,
    /// A publication of the same or a greater revision is in force already.
    Stale,
    /// The publication breaks a rule and will never be accepted.
    Refused(RefusedPublication),
    /// These parts are missing or do not match their digest; the offer may be made again.
    MissingParts(Vec<String>),
}

/// A refused publication with the reasons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedPublication {
    /// Platform revision of the publication.
    pub revision: TableRevision,
    /// Name of the editor; `None` when the head cannot be read.
    pub editor: Option<String>,
    /// Reasons with row, column and line.
    pub errors: Vec<TableError>,
    /// Number of further errors that were dropped.
    pub dropped_errors: usize,
}

/// Keeps the table in force and applies the publication rule.
///
/// A publication at revision r is accepted only if it is valid as a whole and based on revision
/// r − 1. The rule depends on the publication alone, so every ledger decides alike, whatever it saw
/// before. The greatest accepted revision stays in force.
#[derive(Clone, Debug, Default)]
pub struct TableStore {
    in_force: Option<TableInForce>,
    last_refusal: Option<RefusedPublication>,
    cache: PartCache,
}

#[derive(Clone, Debug)]
struct TableInForce {
    table: sync::Arc<PublishedTable>,
    source: sync::Arc<TableSource>,
}

impl TableStore {
    /// Creates a ledger without a table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Offers a publication as the platform serves it.
    ///
    /// `parts` may hold more values than the head names; the others are ignored. Parts that the
    /// table in force has already need not be given again, so a first offer may come without parts
    /// and learns from [`ApplyOutcome::MissingParts`] which ones to fetch.
    pub fn apply(
        &mut self,
        revision: TableRevision,
        head: &str,
        parts: &TableParts,
    ) -> ApplyOutcome {
        let outcome = self.decide(revision, head, parts);
        if let ApplyOutcome::Refused(refusal) = &outcome {
            self.remember(refusal);
        }
        outcome
    }

    /// Adopts a publication that a peer accepted, after the same checks.
    ///
    /// A refusal is returned but not remembered, because it is no fault of the editor.
    pub fn apply_from_peer(&mut self, source: &TableSource) -> ApplyOutcome {
        self.decide(source.revision, &source.head, &source.parts)
    }

    /// Returns the revision in force; 0 before any table is accepted.
    #[must_use]
    pub fn revision(&self) -> TableRevision {
        self.table()
            .map_or(TableRevision(0), |table| table.revision())
    }

    /// Returns the table in force.
    #[must_use]
    pub fn table(&self) -> Option<&sync::Arc<PublishedTable>> {
        self.in_force.as_ref().map(|in_force| &in_force.table)
    }

    /// Returns the source text of the table in force, to hand to a peer.
    #[must_use]
    pub fn source(&self) -> Option<&sync::Arc<TableSource>> {
        self.in_force.as_ref().map(|in_force| &in_force.source)
    }

    /// Returns the refused publication of the greatest revision, with its first 100 errors.
    #[must_use]
    pub const fn last_refusal(&self) -> Option<&RefusedPublication> {
        self.last_refusal.as_ref()
    }

    fn decide(&mut self, revision: TableRevision, head: &str, parts: &TableParts) -> ApplyOutcome {
        if revision <= self.revision() {
            return ApplyOutcome::Stale;
        }
        let checked = match TableHead::read(head) {
            Ok(checked) => checked,
            Err(errors) => return refuse(revision, head::editor_of(head), errors),
        };
        if checked.based_on.0.checked_add(1) != Some(revision.0) {
            let errors = based_on_errors(revision, head, checked.based_on);
            return refuse(revision, Some(checked.editor), errors);
        }
        let source = self.source_of(revision, head, &checked, parts);
        let missing = source.missing_parts(&checked);
        if !missing.is_empty() {
            return ApplyOutcome::MissingParts(missing);
        }
        let outcome = match PublishedTable::read_with(&source, &mut self.cache) {
            Ok(table) => self.put_in_force(table, source),
            Err(errors) => refuse(revision, Some(checked.editor), errors),
        };
        self.drop_unused_parts();
        outcome
    }

    fn source_of(
        &self,
        revision: TableRevision,
        head: &str,
        checked: &TableHead,
        parts: &TableParts,
    ) -> TableSource {
        let entry = |key: &String| Some((key.clone(), self.find_part(key, parts)?));
        TableSource {
            revision,
            head: head.to_owned(),
            parts: checked.parts.iter().filter_map(entry).collect(),
        }
    }

    /// Returns the part from those in force or, if its digest is right, from those offered.
    fn find_part(&self, key: &str, offered: &TableParts) -> Option<sync::Arc<str>> {
        let in_force = self.source().and_then(|source| source.parts.get(key));
        let offered = offered.get(key).filter(|text| head::is_part(key, text));
        in_force.or(offered).cloned()
    }

    fn put_in_force(&mut self, table: PublishedTable, source: TableSource) -> ApplyOutcome {
        self.in_force = Some(TableInForce {
            table: sync::Arc::new(table),
            source: sync::Arc::new(source),
        });
        ApplyOutcome::Accepted
    }

    /// Drops cached rows of publications that are not in force.
    fn drop_unused_parts(&mut self) {
        let source = self.in_force.as_ref().map(|in_force| &in_force.source);
        self.cache
            .retain(|key| source.is_some_and(|source| source.parts.contains_key(key)));
    }

    fn remember(&mut self, refusal: &RefusedPublication) {
        let last = self.last_refusal.as_ref();
        if last.is_some_and(|last| last.revision >= refusal.revision) {
            return;
        }
        let mut refusal = refusal.clone();
        refusal.dropped_errors = refusal.errors.len().saturating_sub(REMEMBERED_ERRORS);
        refusal.errors.truncate(REMEMBERED_ERRORS);
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
