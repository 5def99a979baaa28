//! The commands that work on files, and the mistakes of a new user.

mod common;

use common::{Ended, ploverwick};
use googletest::prelude::*;

fn shown(ended: &Ended) -> String {
    format!("exit {}\n{}{}", ended.status, ended.out, ended.err)
}

#[test]
fn bad_table() {
    insta::assert_snapshot!(shown(&ploverwick(&["table", "check", "bad-table.csv"])));
}

#[test]
fn orphan_table() {
    insta::assert_snapshot!(shown(&ploverwick(&["table", "check", "orphan-table.csv"])));
}

#[test]
fn good_table() {
    insta::assert_snapshot!(shown(&ploverwick(&["table", "check", "good-table.csv"])));
}

#[test]
fn table_diff() {
    let ended = ploverwick(&["table", "diff", "good-table.csv", "edited-table.csv"]);
    insta::assert_snapshot!(shown(&ended));
}

#[test]
fn bad_settings() {
    insta::assert_snapshot!(shown(&ploverwick(&[
        "settings",
        "check",
        "bad-settings.toml"
    ])));
}

#[test]
fn example_settings() {
    let example = ploverwick(&["settings", "example"]);
    assert_that!(example.status, eq(0));
    let file = std::env::temp_dir().join(format!("ploverwick-example-{}", std::process::id()));
    std::fs::write(&file, &example.out).expect("the example is written");
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
    insta::assert_snapshot!(shown(&ploverwick(&["serve", "--setings", "x.toml"])));
}

#[test]
fn no_command() {
    let ended = ploverwick(&[]);
    assert_that!(ended.status, eq(2));
    assert_that!(ended.err, contains_substring("--help"));
}

#[test]
fn help_lists_commands() {
    let ended = ploverwick(&["--help"]);
    assert_that!(ended.status, eq(0));
    for command in ["serve", "settings", "table", "status", "timeline", "demo"] {
        assert_that!(ended.out, contains_substring(command));
    }
}

#[test]
fn no_address() {
    let ended = ploverwick(&["status"]);
    assert_that!(ended.status, eq(2));
    assert_that!(
        ended.err,
        contains_substring("give --settings FILE or --roster ADDRESS")
    );
}

#[test]
fn nobody_there() {
    let ended = ploverwick(&["status", "--roster", "127.0.0.1:1"]);
    assert_that!(ended.status, eq(2));
    assert_that!(ended.err, contains_substring("cannot reach 127.0.0.1:1"));
}
