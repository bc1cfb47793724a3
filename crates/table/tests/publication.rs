//! Which publications become the active table.

use toucanledge_core::TableRevision;
use toucanledge_table::{
    ApplyOutcome, TableErrorKind, TableParts, TableStore, explain, explain_backend, part_key,
};

use crate::support;

fn valid_head(based_on: u64, editor: &str) -> String {
    support::head_text(
        based_on,
        editor,
        &[support::BACKEND_ROW, support::CLASS_ROW],
    )
}

fn refusal_error_kinds(outcome: &ApplyOutcome) -> Vec<TableErrorKind> {
    let ApplyOutcome::Refused(refusal) = outcome else {
        panic!("expected a refusal, got {outcome:?}");
    };
    refusal.errors.iter().map(|error| error.kind).collect()
}

/// Guards against an older table becoming active again when the platform returns an old revision.
#[test]
fn revision_never_decreases() {
    let mut store = TableStore::new();
    let parts = TableParts::new();
    assert_eq!(
        store.apply(TableRevision(12), &valid_head(11, "ana"), &parts),
        ApplyOutcome::Accepted
    );
    for revision in [0, 1, 11, 12] {
        let head = valid_head(u64::saturating_sub(revision, 1), "old");
        let outcome = store.apply(TableRevision(revision), &head, &parts);
        assert_eq!(outcome, ApplyOutcome::Stale, "revision {revision}");
    }
    assert_eq!(store.revision(), TableRevision(12));
    assert_eq!(store.table().map(|table| table.editor()), Some("ana"));
}

/// Guards against accepting the edits of two operators that are based on the same revision.
#[test]
fn second_editor_of_a_revision_is_refused() {
    for first_is_applied in [true, false] {
        let mut store = TableStore::new();
        if first_is_applied {
            store.apply(
                TableRevision(12),
                &valid_head(11, "ana"),
                &TableParts::new(),
            );
        }
        let outcome = store.apply(
            TableRevision(13),
            &valid_head(11, "bea"),
            &TableParts::new(),
        );
        assert_eq!(refusal_error_kinds(&outcome), [TableErrorKind::BasedOn]);
        let refusal = store.last_refusal().expect("the refusal is recorded");
        assert_eq!(refusal.editor.as_deref(), Some("bea"));
    }
}

/// Guards against a refusal that is recorded without its editor, or that one of an older revision
/// replaces.
#[test]
fn last_refusal_is_kept_for_the_status_page() {
    let mut store = TableStore::new();
    let broken = support::head_text(19, "eva", &[support::BACKEND_ROW, support::CLASS_ROW, "{}"]);
    store.apply(TableRevision(20), &broken, &TableParts::new());
    store.apply(TableRevision(15), &valid_head(3, "old"), &TableParts::new());
    store.apply(
        TableRevision(21),
        &valid_head(20, "ana"),
        &TableParts::new(),
    );
    let refusal = store.last_refusal().expect("the refusal is recorded");
    insta::assert_snapshot!(refusal.to_string());
    let unknown_field = valid_head(21, "ida").replacen('{', "{\"rates\":1,", 1);
    store.apply(TableRevision(22), &unknown_field, &TableParts::new());
    let refusal = store.last_refusal().expect("the refusal is recorded");
    assert_eq!(refusal.editor.as_deref(), Some("ida"));
}

/// Guards against unbounded memory use by the recorded errors of a publication.
#[test]
fn recorded_errors_are_bounded() {
    let mut store = TableStore::new();
    let rows = vec!["{}"; 130];
    let outcome = store.apply(
        TableRevision(1),
        &support::head_text(0, "eva", &rows),
        &TableParts::new(),
    );
    assert_eq!(refusal_error_kinds(&outcome).len(), 130);
    let refusal = store.last_refusal().expect("the refusal is recorded");
    assert_eq!((refusal.errors.len(), refusal.dropped_errors), (100, 30));
}

/// Guards against a head that becomes active with the parts of another publication.
#[test]
fn parts_must_match_their_digest() {
    let part = format!(
        "{{\"rows\":[{},{}]}}",
        support::BACKEND_ROW,
        support::CLASS_ROW
    );
    let key = part_key(&part);
    let head = format!(r#"{{"based_on":0,"editor":"ana","parts":["{key}"]}}"#);
    let mut store = TableStore::new();
    let missing = ApplyOutcome::MissingParts(vec![key.clone()]);
    assert_eq!(
        store.apply(TableRevision(1), &head, &TableParts::new()),
        missing
    );
    let changed = TableParts::from([(key.clone(), part.replace("read\"", "write\"").into())]);
    assert_eq!(store.apply(TableRevision(1), &head, &changed), missing);
    let matching = TableParts::from([
        (key, part.into()),
        ("table/part/other".to_owned(), "".into()),
    ]);
    assert_eq!(
        store.apply(TableRevision(1), &head, &matching),
        ApplyOutcome::Accepted
    );
    assert_eq!(store.source().map(|source| source.parts.len()), Some(1));
    assert_eq!(store.last_refusal(), None);
}

/// Guards against fetching all parts again after a change of one row.
#[test]
fn unchanged_parts_are_shared_between_revisions() {
    let backends = format!("{{\"rows\":[{}]}}", support::BACKEND_ROW);
    let classes = format!("{{\"rows\":[{}]}}", support::CLASS_ROW);
    let changed = classes.replace("/policies/", "/handbook/");
    let [first, second, third] = [&backends, &classes, &changed].map(|text| part_key(text));
    let head = |based_on: u64, key: &str| {
        format!(r#"{{"based_on":{based_on},"editor":"ana","parts":["{first}","{key}"]}}"#)
    };
    let mut store = TableStore::new();
    let parts = TableParts::from([
        (first.clone(), backends.into()),
        (second.clone(), classes.into()),
    ]);
    store.apply(TableRevision(1), &head(0, &second), &parts);
    let change = head(1, &third);
    let outcome = store.apply(TableRevision(2), &change, &TableParts::new());
    assert_eq!(outcome, ApplyOutcome::MissingParts(vec![third.clone()]));
    let fetched = TableParts::from([(third, changed.as_str().into())]);
    assert_eq!(
        store.apply(TableRevision(2), &change, &fetched),
        ApplyOutcome::Accepted
    );
    assert_eq!(store.source().map(|source| source.parts.len()), Some(2));
    let table = store.table().expect("a table is active");
    assert_eq!(table.route("GET", "/policies/7"), None);
    let row = explain(table, "GET", "/handbook/7").expect("a row matches");
    let backend = explain_backend(table, "reading-01").expect("the row is present");
    assert_eq!(
        (row.value_key, backend.value_key),
        (part_key(&changed), first)
    );
}

/// Guards against a publication from a peer that is accepted without checks, or whose texts cannot
/// be sent to a further peer.
#[test]
fn publication_from_peer_is_checked() {
    let mut first = TableStore::new();
    first.apply(TableRevision(7), &valid_head(6, "ana"), &TableParts::new());
    let source = first.source().expect("a table is active").clone();
    let mut second = TableStore::new();
    assert_eq!(second.apply_from_peer(&source), ApplyOutcome::Accepted);
    assert_eq!(second.source(), Some(&source));
    let mut wrong_revision = (*source).clone();
    wrong_revision.revision = TableRevision(9);
    assert_eq!(
        refusal_error_kinds(&second.apply_from_peer(&wrong_revision)),
        [TableErrorKind::BasedOn]
    );
    assert_eq!(second.revision(), TableRevision(7));
    assert_eq!(second.last_refusal(), None);
}
