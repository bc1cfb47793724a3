//! Output of differences and explanations.

use toucanledge_table::{diff, explain, explain_backend};

use crate::support;

/// Guards against missing, wrong or unreadable differences.
#[test]
fn diff_names_rows_and_cells() {
    let old = support::read_table(&[support::BACKEND_ROW, support::CLASS_ROW])
        .expect("the table is valid");
    let same = support::read_table(&[
        r#"{"backend":"reading-01","pool":"reading","slots":4}"#,
        support::CLASS_ROW,
    ])
    .expect("the table is valid");
    assert!(diff(&old, &same).is_empty());
    let new = support::read_table(&[
        r#"{"backend":"reading-01","pool":"reading","weight":0.5}"#,
        r#"{"backend":"reading-02","pool":"reading"}"#,
        r#"{"class":"ack","path":"/policies/","pool":"reading","repeat":"keyed","window_s":120}"#,
    ])
    .expect("the table is valid");
    insta::assert_snapshot!(diff(&old, &new).to_string());
}

/// Guards against explanations without the row, its values or their sources.
#[test]
fn explanations_name_every_value() {
    let class = support::CLASS_ROW.replace('}', ",\"floor\":0.8,\"deadline_ms\":900}");
    let table = support::read_table(&[support::BACKEND_ROW, &class]).expect("the table is valid");
    let route = explain(&table, "GET", "/policies/7").expect("a row matches");
    let backend = explain_backend(&table, "reading-01").expect("the row is present");
    insta::assert_snapshot!(format!("{route}\n{backend}"));
    assert_eq!(explain(&table, "GET", "/other"), None);
    assert_eq!(explain_backend(&table, "reading-02"), None);
}
