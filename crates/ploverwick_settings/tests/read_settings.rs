//! Settings are read whole, or with every finding.

use googletest::prelude::*;
use ploverwick_codes::diagnostic::Rule;
use ploverwick_settings::{EXAMPLE, read};
use proptest::prelude::*;

#[gtest]
fn example_reads() {
    let settings = read(EXAMPLE).expect("the example is good");
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
    let (bare, example) = (bare.expect("it is good"), example.expect("it is good"));
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
fn missing_key() {
    let findings = read("[instance]\nname = \"a\"\n").expect_err("keys are missing");
    expect_that!(findings[0].rule, eq(Rule::KeyMissing));
}

#[gtest]
fn token_not_shown() {
    let settings = read(EXAMPLE).expect("the example is good");
    expect_that!(
        format!("{settings:?}"),
        not(contains_substring("replace-me"))
    );
}

proptest! {
    #[test]
    fn never_panics(text in "(\\[|\\]|=|\"|\n|[a-z_.0-9 ]){0,80}") {
        prop_assert!(read(&text).is_err());
    }

    #[test]
    fn broken_example(at in 0..EXAMPLE.len(), with in "[\\[\\]=\"a-z0-9 \n]") {
        let mut text = EXAMPLE.to_owned();
        if text.is_char_boundary(at) && text.is_char_boundary(at + 1) {
            text.replace_range(at..=at, &with);
        }
        // Good or not, the answer comes without a panic.
        drop(read(&text));
    }
}
