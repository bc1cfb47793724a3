//! Loading of any `serde` type.

use serde::Deserialize;
use toucanledge_settings::{SettingsError, load, parse};

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Outer {
    #[serde(default)]
    list: Vec<Inner>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Inner {
    port: u16,
}

fn error_text(text: &str) -> String {
    let report = parse::<Outer>("a.jsonc", text).expect_err("the text has an error");
    report.current_context().to_string()
}

/// Guards against an error that names the wrong line, column or field after comments.
#[test]
fn errors_name_line_column_and_field() {
    let texts = [
        "{\n/* two\nlines */ \"list\": [{\"port\": 1}, // é\n {\"port\": 70000}]}",
        "{\n\"list\": [{\"port\": \"1\"}]}",
        "{\"list\": [{\"prot\": 1}]}",
        "{\"list\": [{}]}",
        "{\"list\": [],\n}",
        "{} x",
        "",
        "{\n  \"list\": \"open",
        "{\n  / 1}",
    ];
    let errors: Vec<String> = texts.into_iter().map(error_text).collect();
    insta::assert_snapshot!(errors.join("\n"));
}

/// Guards against comment removal that changes a value.
#[test]
fn removing_comments_keeps_strings() {
    let text = "// first\n[\"http://a/*b*/\", /* x */ \"c\"] // last";
    let list: Vec<String> = parse("a.jsonc", text).expect("the text is valid");
    assert_eq!(list, ["http://a/*b*/", "c"]);
    let outer: Outer =
        parse("a.jsonc", "{\"list\": [{\"port\": /* b */ 7}]}").expect("the text is valid");
    assert_eq!(outer.list[0].port, 7);
}

/// Guards against an error that does not name the missing file.
#[test]
fn missing_file_is_named() {
    let report = load::<Outer>("no/such/file.jsonc").expect_err("the file does not exist");
    assert!(matches!(
        report.current_context(),
        SettingsError::Unreadable(_)
    ));
    assert!(report.to_string().contains("no/such/file.jsonc"));
}
