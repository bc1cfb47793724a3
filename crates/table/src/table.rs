//! A table whose publication was checked as a whole.

use std::collections;
use std::fmt;
use std::sync;

use toucanledge_core::{ClassId, PoolId, TableRevision};

use crate::check;
use crate::error::{TableError, TableErrorKind};
use crate::head;
use crate::head::{HeadJson, PartJson, TableHead, TableSource};
use crate::index::TableIndex;
use crate::row::{BackendRow, ClassRow};
use crate::row_reader;
use crate::row_store::{NameInterner, PartCache, RowIndex, RowStore, ValueRows};
use crate::text::ValueText;

/// A valid table, read from a publication.
#[derive(Clone, Debug)]
pub struct PublishedTable {
    revision: TableRevision,
    editor: String,
    rows: RowStore,
    index: TableIndex,
}

/// Summary of the rows that name a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSummary {
    /// Name of the pool.
    pub pool: sync::Arc<str>,
    /// Number of backend rows of the pool.
    pub backends: usize,
    /// Highest floor of the classes that use the pool; 0 when none does.
    pub floor: f64,
    /// Class whose row has the highest floor.
    pub floor_class: Option<String>,
}

impl fmt::Display for PoolSummary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            pool,
            backends,
            floor,
            ..
        } = self;
        write!(formatter, "pool {pool}: backend rows: {backends}, floor: ")?;
        match &self.floor_class {
            Some(class) => writeln!(formatter, "{floor:?} from class \"{class}\""),
            None => writeln!(formatter, "none, because no class uses the pool"),
        }
    }
}

impl PublishedTable {
    /// Reads and checks a publication as a whole.
    ///
    /// The publication rule is not applied here; see [`TableStore`](crate::TableStore).
    ///
    /// # Errors
    ///
    /// Returns the errors of the head, of the parts and of their rows. A missing part is an error.
    /// Errors of the head's fields, missing parts and a size limit are returned before rows are
    /// read.
    pub fn read(source: &TableSource) -> Result<Self, Vec<TableError>> {
        Self::read_with_cache(source, &mut PartCache::default())
    }

    /// Reads and checks a publication; rows of cached parts are reused.
    pub(crate) fn read_with_cache(
        source: &TableSource,
        cache: &mut PartCache,
    ) -> Result<Self, Vec<TableError>> {
        let head_text = head::value_text(head::HEAD_KEY, &source.head)?;
        let (head_fields, head) = TableHead::parse(&head_text)?;
        let missing = source.missing_parts(&head);
        if !missing.is_empty() {
            return Err(missing_part_errors(&head_text, &missing));
        }
        if let Some(error) = head::parts_size_error(&head_text, source) {
            return Err(vec![error]);
        }
        let mut errors = Vec::new();
        let rows = read_all_rows(source, &head_text, &head_fields, cache, &mut errors);
        let index = TableIndex::new(&rows);
        errors.extend(check::check_rows(&head_text, &rows, &index));
        if !errors.is_empty() {
            sort_errors(&mut errors, &head.parts);
            return Err(errors);
        }
        Ok(Self {
            revision: source.revision,
            editor: head.editor,
            rows,
            index,
        })
    }

    /// Returns the platform revision of the table.
    #[must_use]
    pub const fn revision(&self) -> TableRevision {
        self.revision
    }

    /// Returns the name of the editor who published the table.
    #[must_use]
    pub fn editor(&self) -> &str {
        &self.editor
    }

    /// Returns the backend rows of the head and then of the parts, in the order of the texts.
    pub fn backends(&self) -> impl Iterator<Item = &BackendRow> {
        self.rows.backends().map(|(_, row)| row)
    }

    /// Returns the class rows of the head and then of the parts, in the order of the texts.
    pub fn classes(&self) -> impl Iterator<Item = &ClassRow> {
        self.rows.classes().map(|(_, row)| row)
    }

    /// Returns the class row that applies to a request.
    ///
    /// The row with the longest matching path prefix applies. Of two equally long prefixes, the one
    /// of the exact method takes precedence over `*`. A query in `path` is ignored.
    #[must_use]
    pub fn route(&self, method: &str, path: &str) -> Option<&ClassRow> {
        self.find_route(method, path)
            .map(|index| self.rows.class(index))
    }

    /// Returns the row of a backend server.
    #[must_use]
    pub fn backend(&self, name: &str) -> Option<&BackendRow> {
        self.find_backend(name)
            .map(|index| self.rows.backend(index))
    }

    /// Returns the row of a class.
    #[must_use]
    pub fn class(&self, class: ClassId) -> Option<&ClassRow> {
        let classes = &self.index.classes;
        let found = classes.binary_search_by_key(&class, |(id, _)| *id);
        let (_, index) = classes[found.ok()?];
        Some(self.rows.class(index))
    }

    /// Returns the summary of a pool; `None` without backend rows of the pool.
    #[must_use]
    pub fn pool(&self, pool: PoolId) -> Option<&PoolSummary> {
        self.index.pools.get(&pool)
    }

    /// Returns the share of the pool's backend servers that must stay in service.
    ///
    /// It is the highest floor of the classes that use the pool, and 0 for an unused or unknown
    /// pool.
    #[must_use]
    pub fn pool_floor(&self, pool: PoolId) -> f64 {
        self.pool(pool).map_or(0.0, |summary| summary.floor)
    }

    /// Returns the longest time in milliseconds for which a class keeps idempotency keys; 0 without
    /// keyed classes.
    #[must_use]
    pub const fn max_window_ms(&self) -> u64 {
        self.index.max_window_ms
    }

    pub(crate) const fn rows(&self) -> &RowStore {
        &self.rows
    }

    pub(crate) fn find_route(&self, method: &str, path: &str) -> Option<RowIndex> {
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        self.index.routes.find(&self.rows, method, path)
    }

    pub(crate) fn find_backend(&self, name: &str) -> Option<RowIndex> {
        let order = &self.index.backends;
        let found = order.binary_search_by_key(&name, |index| &self.rows.backend(*index).backend);
        found.ok().map(|position| order[position])
    }
}

fn read_all_rows(
    source: &TableSource,
    head_text: &ValueText,
    head_fields: &HeadJson<'_>,
    cache: &mut PartCache,
    errors: &mut Vec<TableError>,
) -> RowStore {
    let mut rows = RowStore::default();
    let head_rows = row_reader::read_rows(head_text, &head_fields.rows, &mut cache.names, errors);
    rows.push(head::HEAD_KEY, sync::Arc::new(head_rows));
    for key in &head_fields.parts {
        let text = source.parts.get(key).map_or("", |text| &**text);
        let part_rows = cache.get(key);
        let part_rows = part_rows.unwrap_or_else(|| read_part(key, text, cache, errors));
        rows.push(key, part_rows);
    }
    rows
}

/// Reads a part and caches its rows if they have no errors.
fn read_part(
    key: &str,
    text: &str,
    cache: &mut PartCache,
    errors: &mut Vec<TableError>,
) -> sync::Arc<ValueRows> {
    let errors_before = errors.len();
    let rows = sync::Arc::new(read_part_rows(key, text, &mut cache.names, errors));
    if errors.len() == errors_before {
        cache.insert(key, rows.clone());
    }
    rows
}

fn read_part_rows(
    key: &str,
    text: &str,
    names: &mut NameInterner,
    errors: &mut Vec<TableError>,
) -> ValueRows {
    let text = match head::value_text(key, text) {
        Ok(text) => text,
        Err(text_errors) => return rows_of_unreadable_part(text_errors, errors),
    };
    match text.parse::<PartJson<'_>>("`rows`") {
        Ok(part) => row_reader::read_rows(&text, &part.rows, names, errors),
        Err(error) => rows_of_unreadable_part(vec![*error], errors),
    }
}

/// Reports the errors of a part whose rows cannot be read; returns no rows.
fn rows_of_unreadable_part(found: Vec<TableError>, errors: &mut Vec<TableError>) -> ValueRows {
    errors.extend(found);
    ValueRows {
        has_dropped_rows: true,
        ..ValueRows::default()
    }
}

fn missing_part_errors(head_text: &ValueText, missing: &[String]) -> Vec<TableError> {
    let kind = TableErrorKind::BadPartKey;
    let expected = "a part whose digest is the one in its key";
    let error = |key: &String| {
        let found = format!("no part {key}");
        head::head_error(head_text, "parts", kind, &found, expected)
    };
    missing.iter().map(error).collect()
}

/// Sorts errors by position: the head first, then the parts in the order of the head.
fn sort_errors(errors: &mut [TableError], parts: &[String]) {
    let part_numbers: collections::HashMap<&str, usize> =
        parts.iter().map(String::as_str).zip(1..).collect();
    errors.sort_by_key(|error| {
        let part_number = part_numbers.get(error.value.as_str()).copied();
        (part_number.unwrap_or(0), error.line, error.text_column)
    });
}
