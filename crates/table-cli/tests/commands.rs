//! Output of the commands.

use crate::support;

const NEW_HEAD: &str = "new.jsonc";

/// Guards against printing only the first error, or positions that are not in the files.
#[test]
fn check_prints_every_error() {
    insta::assert_snapshot!(support::run(&["check", "bad.jsonc", "old.jsonc"]));
}

/// Guards against refusing a valid table, or a wrong summary of it.
#[test]
fn check_summarizes_valid_tables() {
    let text = support::run(&["check", "--part", "part.jsonc", "old.jsonc", NEW_HEAD]);
    insta::assert_snapshot!(text);
}

/// Guards against treating a table with a missing part or file as valid.
#[test]
fn missing_parts_and_files_are_named() {
    let missing_part = support::run(&["check", NEW_HEAD]);
    let missing_file = support::run(&["check", "none.jsonc"]);
    insta::assert_snapshot!(format!("{missing_part}\n{missing_file}"));
}

/// Guards against missing differences.
#[test]
fn diff_prints_rows_and_cells() {
    let text = support::run(&["diff", "--part", "part.jsonc", "old.jsonc", NEW_HEAD]);
    insta::assert_snapshot!(text);
}

/// Guards against an explanation without the row, its file and its line.
#[test]
fn explain_names_the_row() {
    let command = ["explain", "--part", "part.jsonc", NEW_HEAD];
    let request = [&command[..], &["--method", "GET", "--path", "/policies/7"]].concat();
    let backend = [&command[..], &["--backend", "reading-02"]].concat();
    let unknown = [&command[..], &["--method", "GET", "--path", "/"]].concat();
    let texts: Vec<String> = [request, backend, unknown]
        .iter()
        .map(|arguments| support::run(arguments))
        .collect();
    insta::assert_snapshot!(texts.join("\n"));
}

/// Guards against a key that differs from the one by which a published head lists the part.
#[test]
fn key_matches_published_head() {
    let head = include_str!("tables/new.jsonc");
    let text = support::run(&["key", "part.jsonc"]);
    let key = text
        .split_whitespace()
        .find(|word| word.starts_with("table/part/"));
    let key = key.expect("a key is printed");
    assert!(head.contains(key), "the head does not list {key}");
}
