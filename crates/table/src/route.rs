//! Index of the routes for lookups of the longest matching path prefix.

use std::collections;
use std::sync;

use crate::row_store::{RowIndex, RowStore};

const NO_PARENT: u32 = u32::MAX;

/// Finds the class row with the longest path prefix that matches a request.
///
/// The prefixes of one method are sorted, and each entry refers to its parent: the longest other
/// prefix that it starts with. A lookup finds the last prefix that does not sort after the path,
/// then follows the parents. It takes one binary search and at most as many steps as prefixes are
/// nested.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    methods: collections::HashMap<sync::Arc<str>, Vec<RouteEntry>>,
}

#[derive(Clone, Copy, Debug)]
struct RouteEntry {
    row: RowIndex,
    /// Index of the parent among the entries of the method, or [`NO_PARENT`].
    parent: u32,
}

impl RouteIndex {
    /// Creates the index of these rows.
    pub fn new(rows: &RowStore) -> Self {
        let mut methods: collections::HashMap<sync::Arc<str>, Vec<RouteEntry>> =
            collections::HashMap::new();
        for (index, row) in rows.classes() {
            let entry = RouteEntry {
                row: index,
                parent: NO_PARENT,
            };
            if let Some(entries) = methods.get_mut(&row.method) {
                entries.push(entry);
            } else {
                methods.insert(row.method.clone(), vec![entry]);
            }
        }
        for entries in methods.values_mut() {
            entries.shrink_to_fit();
            entries.sort_by_key(|entry| rows.class(entry.row).path.as_str());
            link_parents(rows, entries);
        }
        Self { methods }
    }

    /// Returns pairs of rows with the same method and path prefix.
    pub fn duplicates(&self, rows: &RowStore) -> Vec<(RowIndex, RowIndex)> {
        let path = |entry: &RouteEntry| rows.class(entry.row).path.as_str();
        let pairs = self.methods.values().flat_map(|entries| entries.windows(2));
        pairs
            .filter(|pair| path(&pair[0]) == path(&pair[1]))
            .map(|pair| (pair[0].row, pair[1].row))
            .collect()
    }

    /// Returns the row with the longest matching prefix of the path.
    ///
    /// Of two equally long prefixes, the one of the exact method takes precedence over `*`.
    pub fn find(&self, rows: &RowStore, method: &str, path: &str) -> Option<RowIndex> {
        let exact = self.find_for_method(rows, method, path);
        let wildcard = self.find_for_method(rows, "*", path);
        let length = |index: RowIndex| rows.class(index).path.len();
        match (exact, wildcard) {
            (Some(exact), Some(wildcard)) if length(wildcard) > length(exact) => Some(wildcard),
            (exact, wildcard) => exact.or(wildcard),
        }
    }

    fn find_for_method(&self, rows: &RowStore, method: &str, path: &str) -> Option<RowIndex> {
        let entries = self.methods.get(method)?;
        let count = entries.partition_point(|entry| rows.class(entry.row).path.as_str() <= path);
        let mut index = count.checked_sub(1)?;
        loop {
            let entry = entries[index];
            if path.starts_with(&rows.class(entry.row).path) {
                return Some(entry.row);
            }
            if entry.parent == NO_PARENT {
                return None;
            }
            index = entry.parent as usize;
        }
    }
}

/// Sets the parent of every entry; the entries are sorted by path.
fn link_parents(rows: &RowStore, entries: &mut [RouteEntry]) {
    let mut ancestors: Vec<u32> = Vec::new();
    for (index, parent_index) in (0..entries.len()).zip(0..) {
        let path = &rows.class(entries[index].row).path;
        while let Some(last) = ancestors.last() {
            let parent = rows.class(entries[*last as usize].row);
            if path.starts_with(&parent.path) {
                break;
            }
            ancestors.pop();
        }
        entries[index].parent = ancestors.last().copied().unwrap_or(NO_PARENT);
        ancestors.push(parent_index);
    }
}
