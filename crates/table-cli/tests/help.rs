//! Help texts.

use crate::support;

/// Guards against commands or options without a help text.
#[test]
fn every_command_is_explained() {
    let texts: Vec<String> = [
        &["--help"][..],
        &["check", "--help"],
        &["explain", "--help"],
    ]
    .into_iter()
    .map(support::run)
    .collect();
    insta::assert_snapshot!(texts.join("\n"));
}

/// Guards against printing a version other than that of the package.
#[test]
fn version_matches_package() {
    assert!(support::run(&["--version"]).contains(env!("CARGO_PKG_VERSION")));
}
