//! Local copy of the store's records, read from the store or fetched from a reader.

use std::collections;

use bytes::Bytes;

/// Newest known state of a key in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreRecord {
    /// Key in the store.
    pub key: String,
    /// Revision of its last change.
    pub revision: u64,
    /// Value; `None` after a deletion.
    pub value: Option<Bytes>,
}

/// All records known up to a revision.
///
/// A record never replaces one with a newer revision, so a reader that lags behind cannot restore
/// older records.
#[derive(Clone, Debug, Default)]
pub struct StoreCache {
    records: collections::HashMap<String, StoreRecord>,
    revision: u64,
}

impl StoreCache {
    /// Returns the revision up to which every change is known.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies changes that are complete up to `revision` and returns those that were not known.
    pub fn apply_changes(
        &mut self,
        records: impl IntoIterator<Item = StoreRecord>,
        revision: u64,
    ) -> Vec<StoreRecord> {
        let mut changed = Vec::new();
        for record in records {
            if self.update(&record) {
                changed.push(record);
            }
        }
        self.revision = self.revision.max(revision);
        changed
    }

    /// Applies a listing of all keys, started at `revision`, and returns what changed.
    ///
    /// Keys that the listing lacks were deleted, unless they changed after the listing began.
    pub fn apply_listing(
        &mut self,
        listing: impl IntoIterator<Item = StoreRecord>,
        revision: u64,
    ) -> Vec<StoreRecord> {
        let mut listed = collections::HashSet::new();
        let mut changed = Vec::new();
        for record in listing {
            listed.insert(record.key.clone());
            if self.update(&record) {
                changed.push(record);
            }
        }
        for record in self.records.values_mut() {
            let deleted = record.value.is_some() && record.revision <= revision;
            if deleted && !listed.contains(&record.key) {
                record.value = None;
                // The deletion happened at an unknown revision up to that of the listing.
                record.revision = revision;
                changed.push(record.clone());
            }
        }
        self.revision = self.revision.max(revision);
        changed
    }

    /// Returns the records that changed after a revision, deletions included.
    pub fn changed_since(&self, after: u64) -> impl Iterator<Item = &StoreRecord> {
        self.records
            .values()
            .filter(move |record| record.revision > after)
    }

    fn update(&mut self, record: &StoreRecord) -> bool {
        let known = self.records.get(&record.key);
        if known.is_some_and(|known| known.revision >= record.revision) {
            return false;
        }
        self.records.insert(record.key.clone(), record.clone());
        true
    }
}
