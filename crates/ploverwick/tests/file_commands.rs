//! Commands that work on files, and the error messages for wrong usage.

mod common;

use common::{Output, ploverwick};
use googletest::prelude::*;

fn render(output: &Output) -> String {
    format!("exit {}\n{}{}", output.status, output.out, output.err)
}

#[test]
fn invalid_table() {
    insta::assert_snapshot!(render(&ploverwick(&["table", "check", "bad-table.csv"])));
}

#[test]
fn undeclared_group() {
    insta::assert_snapshot!(render(&ploverwick(&["table", "check", "orphan-table.csv"])));
}

#[test]
fn valid_table() {
    insta::assert_snapshot!(render(&ploverwick(&["table", "check", "good-table.csv"])));
}

#[test]
fn table_diff() {
    let output = ploverwick(&["table", "diff", "good-table.csv", "edited-table.csv"]);
    insta::assert_snapshot!(render(&output));
}

#[test]
fn invalid_settings() {
    insta::assert_snapshot!(render(&ploverwick(&[
        "settings",
        "check",
        "bad-settings.toml"
    ])));
}

#[test]
fn example_settings_are_valid() {
    let example = ploverwick(&["settings", "example"]);
    assert_that!(example.status, eq(0));
    let file = std::env::temp_dir().join(format!("ploverwick-example-{}", std::process::id()));
    std::fs::write(&file, &example.out).expect("write the example");
    let checked = ploverwick(&["settings", "check", &file.to_string_lossy()]);
    let _ = std::fs::remove_file(&file);
    assert_that!(checked.status, eq(0), "{}", checked.err);
}

#[test]
fn missing_file() {
    let serve = ploverwick(&["serve", "--settings", "nowhere.toml"]);
    assert_that!(serve.status, eq(2));
    assert_that!(serve.err, contains_substring("S006 FileUnreadable"));
    let table = ploverwick(&["table", "check", "nowhere.csv"]);
    assert_that!(table.status, eq(2));
    assert_that!(table.err, contains_substring("nowhere.csv"));
}

#[test]
fn flag_typo() {
    insta::assert_snapshot!(render(&ploverwick(&["serve", "--setings", "x.toml"])));
}

#[test]
fn missing_command() {
    let output = ploverwick(&[]);
    assert_that!(output.status, eq(2));
    assert_that!(output.err, contains_substring("--help"));
}

#[test]
fn help_lists_commands() {
    let output = ploverwick(&["--help"]);
    assert_that!(output.status, eq(0));
    for command in ["serve", "settings", "table", "status", "timeline", "demo"] {
        assert_that!(output.out, contains_substring(command));
    }
}

#[test]
fn missing_roster_address() {
    let output = ploverwick(&["status"]);
    assert_that!(output.status, eq(2));
    assert_that!(
        output.err,
        contains_substring("give --settings FILE or --roster ADDRESS")
    );
}

#[test]
fn unreachable_roster() {
    let output = ploverwick(&["status", "--roster", "127.0.0.1:1"]);
    assert_that!(output.status, eq(2));
    assert_that!(output.err, contains_substring("cannot reach 127.0.0.1:1"));
}
