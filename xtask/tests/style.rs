//! Rules of the house-style check, each with a text that passes and one that fails.
//!
//! Guards against a rule that accepts everything, or that rejects valid text.

use xtask::style;
use xtask::style::Files;

fn files(all: &[(&str, &str)]) -> Files {
    all.iter().map(|(file, text)| ((*file).to_owned(), (*text).to_owned())).collect()
}

#[test]
fn imports_must_be_one_per_line_in_three_groups() {
    assert_eq!(
        style::imports("a.rs", "use std::fmt;\n\nuse eyre::Result;\n\nuse crate::a::B;\n"),
        []
    );
    assert_eq!(style::imports("a.rs", "use std::{fmt, io};\n").len(), 1);
    assert_eq!(style::imports("a.rs", "use eyre::Result;\nuse std::fmt;\n").len(), 1);
    assert_eq!(style::imports("a.rs", "use std::fmt;\nuse eyre::Result;\n").len(), 1);
}

#[test]
fn synonyms_of_the_four_prescribed_terms_are_rejected() {
    assert_eq!(style::words("a.rs", "// the data centre of an account\nlet horizon = 1;\n"), []);
    assert_eq!(style::words("a.rs", "/// The zone.\nlet customer_id = 1;\n").len(), 2);
}

#[test]
fn files_longer_than_600_lines_are_rejected() {
    assert_eq!(style::length("a.rs", &"x\n".repeat(600)), []);
    assert_eq!(style::length("a.rs", &"x\n".repeat(601)).len(), 1);
}

#[test]
fn no_dynamic_dispatch_on_the_request_path() {
    let path = "crates/core/src/dispatch.rs";
    assert_eq!(style::dynamic(path, "// no dyn here\nlet dynamic = 1;\n"), []);
    assert_eq!(style::dynamic(path, "fn f(a: &dyn Clock) {}\n").len(), 1);
    assert_eq!(style::dynamic("crates/core/src/config.rs", "fn f(a: &dyn Clock) {}\n"), []);
}

#[test]
fn numeric_fields_carry_their_unit() {
    let field = |name: &str| format!("  \"{name}\": {{ \"type\": \"integer\" }},\n");
    assert_eq!(style::units("a.json", &field("deadline_ms")), []);
    assert_eq!(style::units("a.json", &field("deadline")).len(), 1);
}

#[test]
fn links_to_missing_pages_are_rejected() {
    let tree = files(&[("docs/A.md", ""), ("README.md", "")]);
    assert_eq!(style::links("docs/B.md", "[a](A.md#x) [r](../README.md)", &tree), []);
    assert_eq!(style::links("docs/B.md", "[c](C.md)", &tree).len(), 1);
}

#[test]
fn named_tests_exist() {
    let tree = files(&[("crates/a/tests/b.rs", "fn it_holds() {}")]);
    let page = "docs/GUARANTEES.md";
    assert_eq!(style::named_tests(page, "`crates/a/tests/b.rs`: `it_holds`", &tree), []);
    assert_eq!(style::named_tests(page, "`crates/a/tests/b.rs`: `it_does_not`", &tree).len(), 1);
    assert_eq!(style::named_tests(page, "`crates/a/tests/c.rs`: `it_holds`", &tree).len(), 1);
}

#[test]
fn platform_words_outside_the_platform_and_deploy_folders_are_rejected() {
    let tree = files(&[("platform/words.txt", "queerKey\nodd-call\n")]);
    let line = "let path = \"/odd-call\";\n";
    assert_eq!(style::platform_words("crates/a/src/b.rs", line, &tree).len(), 1);
    assert_eq!(style::platform_words("examples/a.ini", "queerKey = 1\n", &tree).len(), 1);
    assert_eq!(style::platform_words("platform/src/b.rs", line, &tree), []);
    assert_eq!(style::platform_words("deploy/a.ini", "queerKey = 1\n", &tree), []);
    assert_eq!(style::platform_words("crates/a/src/b.rs", "let plain_key = 1;\n", &tree), []);
}
