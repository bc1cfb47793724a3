//! The publication rule.

use toucanledge_core::TableRevision;
use toucanledge_table::{
    ApplyOutcome, TableErrorKind, TableParts, TableStore, explain, explain_backend, part_key,
};

use crate::support;

fn valid(based_on: u64, editor: &str) -> String {
    support::head(based_on, editor, &[support::BACKEND, support::CLASS])
}

fn kinds(outcome: &ApplyOutcome) -> Vec<TableErrorKind> {
    let ApplyOutcome::Refused(refusal) = outcome else {
        panic!("not refused: {outcome:?}");
    };
    refusal.errors.iter().map(|error| error.kind).collect()
}

/// Guards against a table that reverts when the platform serves an older revision.
#[test]
fn revision_never_falls() {
    let mut ledger = TableStore::new();
    let parts = TableParts::new();
    assert_eq!(
        ledger.apply(TableRevision(12), &valid(11, "ana"), &parts),
        ApplyOutcome::Accepted
    );
    for revision in [0, 1, 11, 12] {
        let head = valid(u64::saturating_sub(revision, 1), "old");
        let outcome = ledger.apply(TableRevision(revision), &head, &parts);
        assert_eq!(outcome, ApplyOutcome::Stale, "{revision}");
    }
    assert_eq!(ledger.revision(), TableRevision(12));
    assert_eq!(ledger.table().map(|table| table.editor()), Some("ana"));
}

/// Guards against two operators whose edits are both accepted on the same base.
#[test]
fn second_editor_of_a_revision_is_refused() {
    for saw_first in [true, false] {
        let mut ledger = TableStore::new();
        if saw_first {
            ledger.apply(TableRevision(12), &valid(11, "ana"), &TableParts::new());
        }
        let outcome = ledger.apply(TableRevision(13), &valid(11, "bea"), &TableParts::new());
        assert_eq!(kinds(&outcome), [TableErrorKind::BasedOn]);
        let refusal = ledger.last_refusal().expect("remembered");
        assert_eq!(refusal.editor.as_deref(), Some("bea"));
    }
}

/// Guards against a refusal that the status page cannot attribute or that an older one replaces.
#[test]
fn last_refusal_is_kept_for_the_status_page() {
    let mut ledger = TableStore::new();
    let broken = support::head(19, "eva", &[support::BACKEND, support::CLASS, "{}"]);
    ledger.apply(TableRevision(20), &broken, &TableParts::new());
    ledger.apply(TableRevision(15), &valid(3, "old"), &TableParts::new());
    ledger.apply(TableRevision(21), &valid(20, "ana"), &TableParts::new());
    let refusal = ledger.last_refusal().expect("remembered");
    insta::assert_snapshot!(refusal.to_string());
    let unknown_field = valid(21, "ida").replacen('{', "{\"rates\":1,", 1);
    ledger.apply(TableRevision(22), &unknown_field, &TableParts::new());
    let refusal = ledger.last_refusal().expect("remembered");
    assert_eq!(refusal.editor.as_deref(), Some("ida"));
}

/// Guards against unbounded memory for a publication with many errors.
#[test]
fn remembered_errors_are_bounded() {
    let mut ledger = TableStore::new();
    let rows = vec!["{}"; 130];
    let outcome = ledger.apply(
        TableRevision(1),
        &support::head(0, "eva", &rows),
        &TableParts::new(),
    );
    assert_eq!(kinds(&outcome).len(), 130);
    let refusal = ledger.last_refusal().expect("remembered");
    assert_eq!((refusal.errors.len(), refusal.dropped_errors), (100, 30));
}

/// Guards against a head that takes effect with the parts of another publication.
#[test]
fn parts_must_match_their_digest() {
    let part = format!("{{\"rows\":[{},{}]}}", support::BACKEND, support::CLASS);
    let key = part_key(&part);
    let head = format!(r#"{{"based_on":0,"editor":"ana","parts":["{key}"]}}"#);
    let mut ledger = TableStore::new();
    let missing = ApplyOutcome::MissingParts(vec![key.clone()]);
    assert_eq!(
        ledger.apply(TableRevision(1), &head, &TableParts::new()),
        missing
    );
    let changed = TableParts::from([(key.clone(), part.replace("read\"", "write\"").into())]);
    assert_eq!(ledger.apply(TableRevision(1), &head, &changed), missing);
    let right = TableParts::from([
        (key, part.into()),
        ("table/part/other".to_owned(), "".into()),
    ]);
    assert_eq!(
        ledger.apply(TableRevision(1), &head, &right),
        ApplyOutcome::Accepted
    );
    assert_eq!(ledger.source().map(|source| source.parts.len()), Some(1));
    assert_eq!(ledger.last_refusal(), None);
}

/// Guards against fetching every part again for a change of one row.
#[test]
fn unchanged_parts_are_shared_between_revisions() {
    let backends = format!("{{\"rows\":[{}]}}", support::BACKEND);
    let classes = format!("{{\"rows\":[{}]}}", support::CLASS);
    let changed = classes.replace("/policies/", "/handbook/");
    let [first, second, third] = [&backends, &classes, &changed].map(|text| part_key(text));
    let head = |based_on: u64, key: &str| {
        format!(r#"{{"based_on":{based_on},"editor":"ana","parts":["{first}","{key}"]}}"#)
    };
    let mut ledger = TableStore::new();
    let parts = TableParts::from([
        (first.clone(), backends.into()),
        (second.clone(), classes.into()),
    ]);
    ledger.apply(TableRevision(1), &head(0, &second), &parts);
    let change = head(1, &third);
    let outcome = ledger.apply(TableRevision(2), &change, &TableParts::new());
    assert_eq!(outcome, ApplyOutcome::MissingParts(vec![third.clone()]));
    let fetched = TableParts::from([(third, changed.as_str().into())]);
    assert_eq!(
        ledger.apply(TableRevision(2), &change, &fetched),
        ApplyOutcome::Accepted
    );
    assert_eq!(ledger.source().map(|source| source.parts.len()), Some(2));
    let table = ledger.table().expect("in force");
    assert_eq!(table.route("GET", "/policies/7"), None);
    let row = explain(table, "GET", "/handbook/7").expect("a row matches");
    let backend = explain_backend(table, "reading-01").expect("present");
    assert_eq!(
        (row.value_key, backend.value_key),
        (part_key(&changed), first)
    );
}

/// Guards against a table that a peer hands over unchecked or cannot hand on.
#[test]
fn peer_adopts_the_source() {
    let mut first = TableStore::new();
    first.apply(TableRevision(7), &valid(6, "ana"), &TableParts::new());
    let source = first.source().expect("in force").clone();
    let mut second = TableStore::new();
    assert_eq!(second.apply_from_peer(&source), ApplyOutcome::Accepted);
    assert_eq!(second.source(), Some(&source));
    let mut forged = (*source).clone();
    forged.revision = TableRevision(9);
    assert_eq!(
        kinds(&second.apply_from_peer(&forged)),
        [TableErrorKind::BasedOn]
    );
    assert_eq!(second.revision(), TableRevision(7));
    assert_eq!(second.last_refusal(), None);
}
