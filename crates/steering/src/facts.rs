//! Published facts by key, as read from the platform or relayed by a peer.

use std::collections;

use bytes::Bytes;

/// The newest known state of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fact {
    /// Key of the fact.
    pub key: String,
    /// Revision of its last change.
    pub revision: u64,
    /// Value; `None` after a deletion.
    pub value: Option<Bytes>,
}

/// All facts known up to a revision.
///
/// A fact with a smaller revision never replaces one with a greater revision, so a stale reader
/// cannot take a gateway back.
#[derive(Clone, Debug, Default)]
pub struct FactLog {
    facts: collections::HashMap<String, Fact>,
    revision: u64,
}

impl FactLog {
    /// Returns the revision up to which every change is known.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Adds changes that are complete up to a revision and returns those that were news.
    pub fn merge(&mut self, facts: impl IntoIterator<Item = Fact>, upto: u64) -> Vec<Fact> {
        let mut news = Vec::new();
        for fact in facts {
            if self.put(&fact) {
                news.push(fact);
            }
        }
        self.revision = self.revision.max(upto);
        news
    }

    /// Takes a listing of all keys, read from revision `from` on, and returns what was news.
    ///
    /// Keys that the listing lacks were deleted, unless they changed after the listing began.
    pub fn replace(&mut self, listing: impl IntoIterator<Item = Fact>, from: u64) -> Vec<Fact> {
        let mut listed = collections::HashSet::new();
        let mut news = Vec::new();
        for fact in listing {
            listed.insert(fact.key.clone());
            if self.put(&fact) {
                news.push(fact);
            }
        }
        for fact in self.facts.values_mut() {
            let gone = fact.value.is_some() && fact.revision <= from;
            if gone && !listed.contains(&fact.key) {
                fact.value = None;
                // The deletion happened at an unknown revision up to that of the listing.
                fact.revision = from;
                news.push(fact.clone());
            }
        }
        self.revision = self.revision.max(from);
        news
    }

    /// Returns the facts that changed after a revision, deletions included.
    pub fn since(&self, after: u64) -> impl Iterator<Item = &Fact> {
        self.facts
            .values()
            .filter(move |fact| fact.revision > after)
    }

    fn put(&mut self, fact: &Fact) -> bool {
        let known = self.facts.get(&fact.key);
        if known.is_some_and(|known| known.revision >= fact.revision) {
            return false;
        }
        self.facts.insert(fact.key.clone(), fact.clone());
        true
    }
}
