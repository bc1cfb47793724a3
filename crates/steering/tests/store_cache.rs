//! Guards against records that revert to older ones, and against missed deletions.

use std::collections;

use bytes::Bytes;
use proptest::prelude::*;
use toucanledge_steering::{StoreCache, StoreRecord};

fn record(key: &str, revision: u64, value: Option<&'static str>) -> StoreRecord {
    StoreRecord {
        key: key.to_owned(),
        revision,
        value: value.map(Bytes::from),
    }
}

#[test]
fn an_older_record_never_replaces_a_newer_one() {
    let mut cache = StoreCache::default();
    assert_eq!(
        cache.apply_changes([record("a", 5, Some("new"))], 5).len(),
        1
    );
    assert!(
        cache
            .apply_changes([record("a", 4, Some("old"))], 4)
            .is_empty()
    );
    assert_eq!(cache.revision(), 5);
    let known: Vec<&StoreRecord> = cache.changed_since(0).collect();
    assert_eq!(known, [&record("a", 5, Some("new"))]);
}

#[test]
fn a_listing_reveals_missed_deletions() {
    let mut cache = StoreCache::default();
    cache.apply_changes([record("a", 2, Some("x")), record("b", 3, Some("y"))], 3);
    let changed = cache.apply_listing([record("b", 3, Some("y"))], 9);
    assert_eq!(changed, [record("a", 9, None)]);
    assert!(
        cache
            .apply_listing([record("b", 3, Some("y"))], 9)
            .is_empty()
    );
}

#[test]
fn a_listing_does_not_delete_what_changed_after_it_began() {
    let mut cache = StoreCache::default();
    cache.apply_changes([record("late", 12, Some("x"))], 12);
    assert!(cache.apply_listing([record("b", 3, Some("y"))], 9).len() == 1);
    assert!(
        cache
            .changed_since(0)
            .any(|record| record.key == "late" && record.value.is_some())
    );
}

proptest! {
    /// The newest records stay, in whatever order and however often batches arrive.
    #[test]
    fn the_order_of_batches_does_not_matter(
        writes in proptest::collection::vec((0..6_u8, any::<bool>()), 1..40),
        order in proptest::collection::vec(any::<prop::sample::Index>(), 1..80),
    ) {
        let writes: Vec<StoreRecord> = writes
            .iter()
            .zip(1_u64..)
            .map(|((key, kept), revision)| record(&key.to_string(), revision, kept.then_some("v")))
            .collect();
        let mut cache = StoreCache::default();
        for index in order {
            cache.apply_changes([index.get(&writes).clone()], 0);
        }
        cache.apply_changes(writes.clone(), writes.len() as u64);
        let mut newest = collections::HashMap::new();
        for record in &writes {
            newest.insert(record.key.clone(), record.clone());
        }
        for record in cache.changed_since(0) {
            prop_assert_eq!(newest.get(&record.key), Some(record));
        }
    }

    /// A follower that fetches the records since its own revision knows as much as the reader.
    #[test]
    fn a_follower_cache_equals_that_of_its_reader(count in 1..30_u64, known in 0..30_u64) {
        let known = known.min(count);
        let writes = |newest| (1..=newest).map(|revision| record(&(revision % 7).to_string(), revision, Some("v")));
        let mut reader = StoreCache::default();
        reader.apply_changes(writes(count), count);
        let mut follower = StoreCache::default();
        follower.apply_changes(writes(known), known);
        let missing: Vec<StoreRecord> = reader.changed_since(known).cloned().collect();
        follower.apply_changes(missing, reader.revision());
        prop_assert_eq!(follower.revision(), reader.revision());
        let mut left: Vec<StoreRecord> = reader.changed_since(0).cloned().collect();
        let mut right: Vec<StoreRecord> = follower.changed_since(0).cloned().collect();
        left.sort_by(|one, other| one.key.cmp(&other.key));
        right.sort_by(|one, other| one.key.cmp(&other.key));
        prop_assert_eq!(left, right);
    }
}
