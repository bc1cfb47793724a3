//! Rows of the head and the parts, with the cache that publications share.

use std::collections;
use std::sync;

use crate::row::{BackendRow, ClassRow};

/// Rows of one value, without those that could not be read.
#[derive(Clone, Debug, Default)]
pub struct ValueRows {
    pub backends: Vec<BackendRow>,
    pub classes: Vec<ClassRow>,
    /// Whether a backend row, or a row of unknown kind, was dropped because of an error. A pool may
    /// then lack backend rows only because they were dropped.
    pub has_dropped_rows: bool,
}

/// Index of a row: the number of its value, and its number among the rows of its kind there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RowIndex {
    pub value: u16,
    pub row: u32,
}

/// Rows of the head and of the parts, in the order in which the head lists the parts.
#[derive(Clone, Debug, Default)]
pub struct RowStore {
    values: Vec<StoredValue>,
}

#[derive(Clone, Debug)]
struct StoredValue {
    key: String,
    rows: sync::Arc<ValueRows>,
}

/// Interned names: rows with equal names share one allocation.
#[derive(Clone, Debug, Default)]
pub struct NameInterner(collections::HashSet<sync::Arc<str>>);

/// Rows of parts that were already read for an earlier publication, and the interned names of all
/// rows.
#[derive(Clone, Debug, Default)]
pub struct PartCache {
    rows: collections::HashMap<String, sync::Arc<ValueRows>>,
    pub names: NameInterner,
}

impl RowStore {
    /// Adds the rows of the next value.
    pub fn push(&mut self, key: &str, rows: sync::Arc<ValueRows>) {
        self.values.push(StoredValue {
            key: key.to_owned(),
            rows,
        });
    }

    /// Returns the platform key of the value that contains a row.
    pub fn key(&self, index: RowIndex) -> &str {
        &self.values[usize::from(index.value)].key
    }

    pub fn backend(&self, index: RowIndex) -> &BackendRow {
        &self.values[usize::from(index.value)].rows.backends[index.row as usize]
    }

    pub fn class(&self, index: RowIndex) -> &ClassRow {
        &self.values[usize::from(index.value)].rows.classes[index.row as usize]
    }

    pub fn backends(&self) -> impl Iterator<Item = (RowIndex, &BackendRow)> {
        self.values.iter().zip(0..).flat_map(|(stored, value)| {
            let rows = stored.rows.backends.iter().zip(0..);
            rows.map(move |(entry, row)| (RowIndex { value, row }, entry))
        })
    }

    pub fn classes(&self) -> impl Iterator<Item = (RowIndex, &ClassRow)> {
        self.values.iter().zip(0..).flat_map(|(stored, value)| {
            let rows = stored.rows.classes.iter().zip(0..);
            rows.map(move |(entry, row)| (RowIndex { value, row }, entry))
        })
    }

    /// Returns whether any value has dropped rows; see [`ValueRows::has_dropped_rows`].
    pub fn has_dropped_rows(&self) -> bool {
        self.values
            .iter()
            .any(|stored| stored.rows.has_dropped_rows)
    }
}

impl NameInterner {
    /// Returns the interned copy of a name.
    pub fn intern(&mut self, name: &str) -> sync::Arc<str> {
        if let Some(shared) = self.0.get(name) {
            return shared.clone();
        }
        let shared: sync::Arc<str> = name.into();
        self.0.insert(shared.clone());
        shared
    }
}

impl PartCache {
    pub fn get(&self, key: &str) -> Option<sync::Arc<ValueRows>> {
        self.rows.get(key).cloned()
    }

    pub fn insert(&mut self, key: &str, rows: sync::Arc<ValueRows>) {
        self.rows.insert(key.to_owned(), rows);
    }

    /// Removes unused parts, and names that no row refers to any more.
    pub fn retain(&mut self, is_used: impl Fn(&str) -> bool) {
        self.rows.retain(|key, _| is_used(key));
        self.names
            .0
            .retain(|name| sync::Arc::strong_count(name) > 1);
    }
}
