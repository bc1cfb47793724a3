//! Guards against facts that go back, and against deletions that are missed.

use std::collections;

use bytes::Bytes;
use proptest::prelude::*;
use toucanledge_steering::{Fact, FactLog};

fn fact(key: &str, revision: u64, value: Option<&'static str>) -> Fact {
    Fact {
        key: key.to_owned(),
        revision,
        value: value.map(Bytes::from),
    }
}

#[test]
fn a_stale_fact_never_replaces_a_newer_one() {
    let mut log = FactLog::default();
    assert_eq!(log.merge([fact("a", 5, Some("new"))], 5).len(), 1);
    assert!(log.merge([fact("a", 4, Some("old"))], 4).is_empty());
    assert_eq!(log.revision(), 5);
    let known: Vec<&Fact> = log.since(0).collect();
    assert_eq!(known, [&fact("a", 5, Some("new"))]);
}

#[test]
fn a_listing_tells_of_deletions_that_no_watch_showed() {
    let mut log = FactLog::default();
    log.merge([fact("a", 2, Some("x")), fact("b", 3, Some("y"))], 3);
    let news = log.replace([fact("b", 3, Some("y"))], 9);
    assert_eq!(news, [fact("a", 9, None)]);
    assert!(log.replace([fact("b", 3, Some("y"))], 9).is_empty());
}

#[test]
fn a_listing_does_not_delete_what_changed_after_it_began() {
    let mut log = FactLog::default();
    log.merge([fact("late", 12, Some("x"))], 12);
    assert!(log.replace([fact("b", 3, Some("y"))], 9).len() == 1);
    assert!(
        log.since(0)
            .any(|fact| fact.key == "late" && fact.value.is_some())
    );
}

proptest! {
    /// Whatever the order in which batches arrive, and however often, the newest state stays.
    #[test]
    fn the_order_of_batches_does_not_matter(
        writes in proptest::collection::vec((0..6_u8, any::<bool>()), 1..40),
        order in proptest::collection::vec(any::<prop::sample::Index>(), 1..80),
    ) {
        let writes: Vec<Fact> = writes
            .iter()
            .zip(1_u64..)
            .map(|((key, kept), revision)| fact(&key.to_string(), revision, kept.then_some("v")))
            .collect();
        let mut log = FactLog::default();
        for index in order {
            log.merge([index.get(&writes).clone()], 0);
        }
        log.merge(writes.clone(), writes.len() as u64);
        let mut newest = collections::HashMap::new();
        for fact in &writes {
            newest.insert(fact.key.clone(), fact.clone());
        }
        for fact in log.since(0) {
            prop_assert_eq!(newest.get(&fact.key), Some(fact));
        }
    }

    /// A peer that takes the facts since its own revision knows as much as the sender.
    #[test]
    fn a_relayed_log_equals_its_source(count in 1..30_u64, known in 0..30_u64) {
        let known = known.min(count);
        let writes = |upto| (1..=upto).map(|revision| fact(&(revision % 7).to_string(), revision, Some("v")));
        let mut source = FactLog::default();
        source.merge(writes(count), count);
        let mut relay = FactLog::default();
        relay.merge(writes(known), known);
        let missing: Vec<Fact> = source.since(known).cloned().collect();
        relay.merge(missing, source.revision());
        prop_assert_eq!(relay.revision(), source.revision());
        let mut left: Vec<Fact> = source.since(0).cloned().collect();
        let mut right: Vec<Fact> = relay.since(0).cloned().collect();
        left.sort_by(|one, other| one.key.cmp(&other.key));
        right.sort_by(|one, other| one.key.cmp(&other.key));
        prop_assert_eq!(left, right);
    }
}
