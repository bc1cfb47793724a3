//! Property tests with generated texts and publications.

use std::collections;
use std::sync;

use proptest::prelude::*;
use toucanledge_core::TableRevision;
use toucanledge_table::{
    ApplyOutcome, PublishedTable, TableHead, TableParts, TableSource, TableStore, diff, explain,
    part_key,
};

use crate::support;

const EXAMPLE: &str = include_str!("../../../examples/manualia/table.jsonc");
const EDITORS: [&str; 3] = ["ana", "bea", "eva"];

/// A publication that a gateway may read from the platform.
#[derive(Clone, Debug)]
struct Publication {
    revision: u64,
    head: String,
    parts: TableParts,
}

/// A valid table in which a range of characters is replaced.
fn mutated_table() -> impl Strategy<Value = String> {
    let length = EXAMPLE.chars().count();
    (0..length, 0_usize..40, "[\\PC\n{}\\[\\]\",:/*0-9.eE-]{0,8}").prop_map(
        |(start, removed, inserted)| {
            let before = EXAMPLE.chars().take(start);
            let after = EXAMPLE.chars().skip(start + removed);
            before.chain(inserted.chars()).chain(after).collect()
        },
    )
}

/// A publication with or without parts, which may be invalid or have a wrong `based_on`.
fn publication(revision: u64) -> impl Strategy<Value = Publication> {
    let based_on = prop_oneof![3 => Just(revision - 1), 2 => 0..12_u64];
    let kind = prop_oneof![4 => Just(0), 2 => Just(1), 1 => Just(2)];
    (based_on, 0..EDITORS.len(), 1..5_u32, kind).prop_map(move |(based_on, editor, slots, kind)| {
        let backend = format!(r#"{{"backend":"reading-01","pool":"reading","slots":{slots}}}"#);
        let editor = EDITORS[editor];
        let mut parts = TableParts::new();
        let head = match kind {
            0 => support::head_text(based_on, editor, &[&backend, support::CLASS_ROW]),
            1 => {
                let part = format!("{{\"rows\":[{backend},{}]}}", support::CLASS_ROW);
                let key = part_key(&part);
                parts.insert(key.clone(), part.into());
                format!(r#"{{"based_on":{based_on},"editor":"{editor}","parts":["{key}"]}}"#)
            }
            _ => support::head_text(based_on, editor, &[&backend]),
        };
        Publication {
            revision,
            head,
            parts,
        }
    })
}

/// The publications of one platform, one for each revision from 1.
fn publications() -> impl Strategy<Value = Vec<Publication>> {
    (1..12).map(publication).collect::<Vec<_>>()
}

/// State of the parts on the platform when a gateway reads them.
#[derive(Clone, Copy, Debug)]
enum PartState {
    Published,
    Missing,
    Overwritten,
}

/// Publications that one gateway reads, by index, in any order and repeatedly.
fn deliveries() -> impl Strategy<Value = Vec<(usize, PartState)>> {
    let state = prop_oneof![
        4 => Just(PartState::Published),
        1 => Just(PartState::Missing),
        1 => Just(PartState::Overwritten),
    ];
    prop::collection::vec((0..11_usize, state), 0..24)
}

fn parts_in_state(state: PartState, parts: &TableParts) -> TableParts {
    let overwrite = |(key, text): (&String, &sync::Arc<str>)| {
        (key.clone(), text.replace("read", "write").into())
    };
    match state {
        PartState::Published => parts.clone(),
        PartState::Missing => TableParts::new(),
        PartState::Overwritten => parts.iter().map(overwrite).collect(),
    }
}

/// Applies the publications that a gateway reads; returns its store and the source of every
/// accepted publication.
fn apply_all(
    publications: &[Publication],
    deliveries: &[(usize, PartState)],
) -> (TableStore, Vec<TableSource>) {
    let mut store = TableStore::new();
    let mut accepted = Vec::new();
    for (index, state) in deliveries {
        let publication = &publications[*index];
        let before = store.revision();
        let parts = parts_in_state(*state, &publication.parts);
        let outcome = store.apply(
            TableRevision(publication.revision),
            &publication.head,
            &parts,
        );
        assert!(store.revision() >= before, "the revision decreased");
        let is_newer = store.revision() > before;
        assert_eq!(is_newer, outcome == ApplyOutcome::Accepted);
        if is_newer {
            assert!(
                equals_uncached_read(&store),
                "the active table has rows of another publication"
            );
            accepted.extend(store.source().map(|source| (**source).clone()));
        }
    }
    (store, accepted)
}

/// Returns whether the active table equals one that is read from its source without a cache.
fn equals_uncached_read(store: &TableStore) -> bool {
    let fresh = store
        .source()
        .and_then(|source| PublishedTable::read(source).ok());
    match (fresh, store.table()) {
        (Some(fresh), Some(table)) => diff(&fresh, table).is_empty(),
        _ => false,
    }
}

fn have_same_rows(left: &TableStore, right: &TableStore) -> bool {
    match (left.table(), right.table()) {
        (Some(left), Some(right)) => diff(left, right).is_empty(),
        (left, right) => left.is_none() && right.is_none(),
    }
}

proptest! {
    /// Guards against a panic on any text that the platform may return.
    #[test]
    fn arbitrary_text_never_panics(head in "\\PC{0,200}", part in "[\\PC\n]{0,200}") {
        let mut source = support::source(head);
        let _ = PublishedTable::read(&source);
        let key = part_key(&part);
        source.head = format!(r#"{{"based_on":1,"editor":"a","rows":[{part}],"parts":["{key}"]}}"#);
        source.parts.insert(key, part.into());
        let _ = PublishedTable::read(&source);
    }

    /// Guards against a panic or an error without a position for a table with a small mistake.
    #[test]
    fn mutated_tables_never_panic(head in mutated_table(), path in "/[a-z/?]{0,20}") {
        match PublishedTable::read(&support::source(head.clone())) {
            Ok(table) => drop(explain(&table, "GET", &path)),
            Err(errors) => {
                prop_assert!(!errors.is_empty(), "refused without an error");
                let lines = u32::try_from(head.split('\n').count());
                let lines = lines.expect("the line count fits into 32 bits");
                for error in errors {
                    prop_assert!((1..=lines).contains(&error.line), "no such line: {error}");
                    prop_assert!(error.text_column >= 1, "no such column: {error}");
                }
            }
        }
    }

    /// Guards against an active table that goes back to an older revision, differs between gateways
    /// or combines the edits of two editors.
    #[test]
    fn gateways_agree_for_any_deliveries(
        publications in publications(),
        deliveries_by_gateway in prop::collection::vec(deliveries(), 2..5),
    ) {
        let mut source_by_revision = collections::HashMap::new();
        let mut revision_by_base = collections::HashMap::new();
        let mut stores = Vec::new();
        for deliveries in &deliveries_by_gateway {
            let (store, accepted) = apply_all(&publications, deliveries);
            for source in accepted {
                let head = TableHead::read(&source.head).expect("the head was accepted");
                let base = head.based_on;
                let revision = *revision_by_base.entry(base).or_insert(source.revision);
                prop_assert_eq!(revision, source.revision);
                let first = source_by_revision.entry(revision).or_insert_with(|| source.clone());
                prop_assert_eq!(&*first, &source);
            }
            stores.push(store);
        }
        let sources: Vec<_> = stores.iter().filter_map(|store| store.source().cloned()).collect();
        for store in &mut stores {
            for source in &sources {
                let before = store.revision();
                store.apply_from_peer(source);
                prop_assert_eq!(store.revision(), before.max(source.revision));
            }
        }
        for pair in stores.windows(2) {
            prop_assert_eq!(pair[0].source(), pair[1].source());
            prop_assert!(have_same_rows(&pair[0], &pair[1]));
        }
    }

    /// Guards against a lookup whose result differs from a scan of all rows.
    #[test]
    fn lookup_equals_linear_scan(
        routes in prop::collection::btree_set(("(GET|\\*)", "/[ab/]{0,5}"), 1..20),
        method in "(GET|PUT)",
        path in "/[ab/]{0,8}",
    ) {
        let mut rows = vec![support::BACKEND_ROW.to_owned()];
        for (index, (method, path)) in routes.iter().enumerate() {
            rows.push(format!(
                r#"{{"class":"c{index}","method":"{method}","path":"{path}","pool":"reading","repeat":"repeatable"}}"#
            ));
        }
        let texts: Vec<&str> = rows.iter().map(String::as_str).collect();
        let table = support::read_table(&texts).expect("the table is valid");
        let matches = table.classes().filter(|row| {
            (*row.method == method || *row.method == *"*") && path.starts_with(&row.path)
        });
        let expected = matches.max_by_key(|row| (row.path.len(), *row.method == method));
        prop_assert_eq!(table.route(&method, &path), expected);
    }
}
