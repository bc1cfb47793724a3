//! Indexes for lookups in a table.

use std::collections;
use std::sync;

use toucanledge_core::{ClassId, PoolId};

use crate::route::RouteIndex;
use crate::row::ClassRow;
use crate::row_store::{RowIndex, RowStore};
use crate::table::PoolSummary;

/// Indexes over the rows of a table.
///
/// Entries are sorted, so duplicate names and routes are adjacent and are found by comparing
/// adjacent entries.
#[derive(Clone, Debug)]
pub struct TableIndex {
    /// Backend rows sorted by name.
    pub backends: Vec<RowIndex>,
    /// Class rows sorted by identifier.
    pub classes: Vec<(ClassId, RowIndex)>,
    pub pools: collections::HashMap<PoolId, PoolSummary>,
    pub routes: RouteIndex,
    pub max_window_ms: u64,
}

impl TableIndex {
    /// Creates the indexes of these rows.
    pub fn new(rows: &RowStore) -> Self {
        let windows = rows.classes().map(|(_, row)| row.window_ms());
        Self {
            backends: sort_backends(rows),
            classes: sort_classes(rows),
            pools: summarize_pools(rows),
            routes: RouteIndex::new(rows),
            max_window_ms: windows.max().unwrap_or(0),
        }
    }
}

fn sort_backends(rows: &RowStore) -> Vec<RowIndex> {
    let mut order: Vec<RowIndex> = rows.backends().map(|(index, _)| index).collect();
    order.sort_by_key(|index| rows.backend(*index).backend.as_str());
    order.shrink_to_fit();
    order
}

fn sort_classes(rows: &RowStore) -> Vec<(ClassId, RowIndex)> {
    let entry = |(index, row): (RowIndex, &ClassRow)| (row.class_id, index);
    let mut order: Vec<(ClassId, RowIndex)> = rows.classes().map(entry).collect();
    order.sort_unstable();
    order.shrink_to_fit();
    order
}

fn summarize_pools(rows: &RowStore) -> collections::HashMap<PoolId, PoolSummary> {
    let mut pools = collections::HashMap::new();
    for (_, row) in rows.backends() {
        let summary = pools
            .entry(row.pool_id)
            .or_insert_with(|| empty_summary(&row.pool));
        summary.backends += 1;
    }
    for (_, row) in rows.classes() {
        let Some(summary) = pools.get_mut(&row.pool_id) else {
            continue;
        };
        if summary.floor_class.is_none() || row.floor > summary.floor {
            summary.floor = row.floor;
            summary.floor_class = Some(row.class.clone());
        }
    }
    pools
}

fn empty_summary(pool: &sync::Arc<str>) -> PoolSummary {
    PoolSummary {
        pool: pool.clone(),
        backends: 0,
        floor: 0.0,
        floor_class: None,
    }
}
