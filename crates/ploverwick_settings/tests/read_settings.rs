//! Reading settings: valid files, defaults and findings.

use googletest::prelude::*;
use ploverwick_codes::diagnostic::Rule;
use ploverwick_settings::{EXAMPLE, read};
use proptest::prelude::*;

#[gtest]
fn reads_example() {
    let settings = read(EXAMPLE).expect("the example is valid");
    expect_that!(settings.instance.name.as_str(), eq("entry-1"));
    expect_that!(settings.services.len(), eq(1));
}

#[gtest]
fn defaults_match_example() {
    let bare: String = EXAMPLE
        .split_inclusive('\n')
        .take_while(|line| !line.starts_with("[store]"))
        .collect();
    let (bare, example) = (read(&bare), read(EXAMPLE));
    let (bare, example) = (bare.expect("it is valid"), example.expect("it is valid"));
    expect_that!(
        format!("{:?}", bare.limits),
        eq(&format!("{:?}", example.limits))
    );
    expect_that!(
        format!("{:?}", bare.ownership),
        eq(&format!("{:?}", example.ownership))
    );
    expect_that!(
        format!("{:?}", bare.claims),
        eq(&format!("{:?}", example.claims))
    );
    expect_that!(
        format!("{:?}", bare.membership),
        eq(&format!("{:?}", example.membership))
    );
    expect_that!(
        format!("{:?}", bare.requests),
        eq(&format!("{:?}", example.requests))
    );
}

#[gtest]
fn reports_missing_key() {
    let findings = read("[instance]\nname = \"a\"\n").expect_err("keys are missing");
    expect_that!(findings[0].rule, eq(Rule::KeyMissing));
}

#[gtest]
fn debug_output_omits_token() {
    let settings = read(EXAMPLE).expect("the example is valid");
    expect_that!(
        format!("{settings:?}"),
        not(contains_substring("replace-me"))
    );
}

proptest! {
    #[test]
    fn rejects_random_text(text in "(\\[|\\]|=|\"|\n|[a-z_.0-9 ]){0,80}") {
        prop_assert!(read(&text).is_err());
    }

    #[test]
    fn edited_example_does_not_panic(at in 0..EXAMPLE.len(), with in "[\\[\\]=\"a-z0-9 \n]") {
        let mut text = EXAMPLE.to_owned();
        if text.is_char_boundary(at) && text.is_char_boundary(at + 1) {
            text.replace_range(at..=at, &with);
        }
        // The result may be settings or findings, but must not be a panic.
        drop(read(&text));
    }
}
