//! Rows, cells and their errors.

use toucanledge_core::PoolId;
use toucanledge_table::{PublishedTable, RepeatRule, TableColumn, TableErrorKind, TableHead};

use crate::support;

/// Guards against default values that differ from the documented ones.
#[test]
fn defaults_match_documentation() {
    let table = support::read_table(&[support::BACKEND_ROW, support::CLASS_ROW])
        .expect("the table is valid");
    let backend = table.backend("reading-01").expect("the row is present");
    assert_eq!((backend.slots, backend.connections), (4, 330));
    let class = table.classes().next().expect("the table has one class");
    assert_eq!(&*class.method, "*");
    assert_eq!((class.deadline_ms, class.queue_ms), (2000, 200));
    assert_eq!(
        (class.rate_limit, class.retry_percent, class.window_s),
        (0, 10, 0)
    );
    assert_eq!(class.repeat, RepeatRule::Repeatable);
    assert!((class.floor - 0.7).abs() < f64::EPSILON);
    assert!((class.slot_share - 1.0).abs() < f64::EPSILON);
    assert!(class.defaults.contains(TableColumn::Floor));
    assert!(!class.defaults.contains(TableColumn::Path));
}

/// Guards against accepting values outside of a column's range.
#[test]
fn every_range_is_checked() {
    let cells = [
        ("backend", "weight", "0"),
        ("backend", "weight", "-1"),
        ("backend", "weight", "1e999"),
        ("backend", "slots", "0"),
        ("backend", "slots", "1025"),
        ("backend", "slots", "1.5"),
        ("backend", "connections", "0"),
        ("backend", "connections", "65536"),
        ("class", "method", "\"get\""),
        ("class", "weight", "null"),
        ("class", "deadline_ms", "0"),
        ("class", "deadline_ms", "86400001"),
        ("class", "queue_ms", "-1"),
        ("class", "rate_limit", "0.5"),
        ("class", "slot_share", "0"),
        ("class", "slot_share", "1.01"),
        ("class", "retry_percent", "101"),
        ("class", "floor", "1.01"),
        ("class", "floor", "-0.1"),
        ("class", "window_s", "86401"),
        ("class", "window_s", "\"120\""),
    ];
    for (kind, column, value) in cells {
        let add_cell = |row: &str| row.replacen('{', &format!("{{\"{column}\":{value},"), 1);
        let rows = match kind {
            "backend" => [
                add_cell(support::BACKEND_ROW),
                support::CLASS_ROW.to_owned(),
            ],
            _ => [
                support::BACKEND_ROW.to_owned(),
                add_cell(support::CLASS_ROW),
            ],
        };
        let errors = support::read_errors(&[&rows[0], &rows[1]]);
        assert_eq!(errors.len(), 1, "{column} {value}: {errors:?}");
        let (found, _, _, name) = &errors[0];
        assert_eq!(
            (found, name.as_str()),
            (&TableErrorKind::BadValue, column),
            "{value}"
        );
    }
}

/// Guards against refusing the bounds of a range.
#[test]
fn bounds_are_accepted() {
    let backend = r#"{"backend":"b","pool":"p","weight":0.001,"slots":1024,"connections":65535}"#;
    let class = r#"{"class":"c","path":"/","pool":"p","repeat":"keyed","deadline_ms":86400000,
        "queue_ms":0,"slot_share":1,"floor":1,"window_s":86400,"retry_percent":100}"#;
    let table = support::read_table(&[backend, class]).expect("the table is valid");
    assert_eq!(table.max_window_ms(), 86_400_000);
}

/// Guards against reporting only the first error, or errors with wrong positions.
#[test]
fn all_errors_name_row_column_and_line() {
    let rows = [
        "// The comment of this row spans\n/* two\nlines. */ {\"backend\":\"reading-01\",\"pool\":\"reading\",\"slots\":0}",
        r#"{"backend":"reading-01","pool":"reading","region":1,"weight":2,"weight":3}"#,
        r#"{"class":"ack","path":"policies","pool":"reeding","repeat":"keyed"}"#,
        r#"{"class":"pay","path":"/pay","pool":"reading","repeat":"repeatable","window_s":9}"#,
        r#"{"class":"pay2","path":"/pay","pool":"reading","repeat":"sometimes"}"#,
        r#"{"pool":"reading"}"#,
        "7",
    ];
    let errors = support::read_table(&rows).expect_err("the rows have errors");
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against accepting pools without backend servers, duplicate names or duplicate routes.
#[test]
fn errors_across_rows_are_found() {
    let other = r#"{"class":"other","path":"/policies/","pool":"empty","repeat":"repeatable"}"#;
    let errors = support::read_errors(&[
        support::BACKEND_ROW,
        support::CLASS_ROW,
        support::BACKEND_ROW,
        other,
    ]);
    let kinds: Vec<TableErrorKind> = errors.iter().map(|error| error.0).collect();
    let expected = [
        TableErrorKind::DuplicateRow,
        TableErrorKind::DuplicateRoute,
        TableErrorKind::EmptyPool,
    ];
    assert_eq!(kinds, expected);
}

/// Guards against syntax errors and errors of the head that lack the right line.
#[test]
fn malformed_texts_have_error_positions() {
    let cases = [
        (
            "{\n\"based_on\":1,\n\"editor\":\"\",\"rows\":[]}",
            3,
            TableErrorKind::BadValue,
        ),
        (
            "{\"based_on\":1,\"editor\":\"a\",\n\"row\":[]}",
            2,
            TableErrorKind::BadValue,
        ),
        ("{\"based_on\":1,\n/* open", 2, TableErrorKind::Syntax),
        ("{\"based_on\":1,\n / 2}", 2, TableErrorKind::Syntax),
        (
            "{\"based_on\":1,\n\"editor\":\"a\",}",
            2,
            TableErrorKind::Syntax,
        ),
        (
            "{\"based_on\":1,\"editor\":\"a\"} \n x",
            2,
            TableErrorKind::Syntax,
        ),
        (
            "{\"based_on\":1,\n\"editor\":\"a\",\n\"rows\":[]}",
            3,
            TableErrorKind::NoClass,
        ),
        (
            "{\"based_on\":1,\"editor\":\"a\",\n\"parts\":[\"table/part/1\"]}",
            2,
            TableErrorKind::BadPartKey,
        ),
    ];
    for (text, line, kind) in cases {
        let errors = PublishedTable::read(&support::source(text.to_owned())).expect_err(text);
        assert_eq!(
            (errors[0].line, errors[0].kind),
            (line, kind),
            "{text}: {}",
            errors[0]
        );
    }
    let long = " ".repeat(1_000_001);
    let errors = TableHead::read(&long).expect_err("the head is too long");
    assert_eq!(errors[0].kind, TableErrorKind::TooLarge);
}

/// Guards against a pool floor that is lower than the floor of one of its classes.
#[test]
fn pool_floor_is_highest_of_its_classes() {
    let low = support::CLASS_ROW.replace('}', ",\"floor\":0.5}");
    let high = r#"{"class":"ack","path":"/ack","pool":"reading","repeat":"keyed","window_s":120,
        "floor":0.8}"#;
    let table =
        support::read_table(&[support::BACKEND_ROW, &low, high]).expect("the table is valid");
    assert!((table.pool_floor(PoolId::of("reading")) - 0.8).abs() < f64::EPSILON);
    assert!(table.pool_floor(PoolId::of("unknown")).abs() < f64::EPSILON);
    assert_eq!(table.max_window_ms(), 120_000);
}
