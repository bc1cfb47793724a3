//! Lookup of the class row that applies to a request.

use std::collections;
use std::fmt::Write;

use toucanledge_core::{ClassId, TableRevision};
use toucanledge_table::{PublishedTable, TableSource, part_key};

use crate::support;

fn class_row(name: &str, method: &str, path: &str) -> String {
    format!(
        r#"{{"class":"{name}","method":"{method}","path":"{path}","pool":"reading","repeat":"repeatable"}}"#
    )
}

/// Guards against choosing a row whose prefix is not the longest that matches.
#[test]
fn longest_prefix_wins() {
    let rows = [
        class_row("root", "*", "/"),
        class_row("policies", "GET", "/policies/"),
        class_row("reports", "*", "/policies/reports/"),
        class_row("policy-a", "GET", "/policies/a"),
        class_row("post-root", "POST", "/"),
    ];
    let mut texts = vec![support::BACKEND_ROW];
    texts.extend(rows.iter().map(String::as_str));
    let table = support::read_table(&texts).expect("the table is valid");
    let cases = [
        ("GET", "/policies/7", "policies"),
        ("GET", "/policies/reports/7", "reports"),
        ("GET", "/policies/abc?x=/policies/reports/", "policy-a"),
        ("GET", "/policies", "root"),
        ("POST", "/policies/7", "post-root"),
        ("POST", "/policies/reports/7", "reports"),
        ("PUT", "/zzz", "root"),
    ];
    for (method, path, expected) in cases {
        let row = table.route(method, path).expect("a row matches");
        assert_eq!(row.class, expected, "{method} {path}");
        assert_eq!(table.class(ClassId::of(expected)), Some(row));
    }
    assert_eq!(table.route("GET", "relative"), None);
}

/// Guards against wrong or slow lookups at the table size that is expected in two years.
#[test]
fn large_table_finds_every_route() {
    const ROUTES: usize = 120_000;
    const ROWS_PER_PART: usize = 6_000;
    let mut source = TableSource {
        revision: TableRevision(1),
        ..TableSource::default()
    };
    let mut keys = Vec::new();
    for part in 0..ROUTES / ROWS_PER_PART {
        let mut rows = String::from("{\"rows\":[");
        for index in part * ROWS_PER_PART..(part + 1) * ROWS_PER_PART {
            let row = class_row(
                &format!("c{index}"),
                "GET",
                &format!("/s{}/r{index}/", index / 50),
            );
            write!(rows, "{row},").expect("text grows");
        }
        rows.truncate(rows.len() - 1);
        rows.push_str("]}");
        let key = part_key(&rows);
        keys.push(format!("\"{key}\""));
        source.parts.insert(key, rows.into());
    }
    source.head = format!(
        r#"{{"based_on":0,"editor":"ana","rows":[{}],"parts":[{}]}}"#,
        support::BACKEND_ROW,
        keys.join(",")
    );
    let table = PublishedTable::read(&source).expect("the table is valid");
    let found: collections::HashSet<&str> = (0..ROUTES)
        .filter_map(|index| table.route("GET", &format!("/s{}/r{index}/x", index / 50)))
        .map(|row| row.class.as_str())
        .collect();
    assert_eq!(found.len(), ROUTES);
    assert_eq!(table.route("GET", "/s0/r999999/"), None);
}
