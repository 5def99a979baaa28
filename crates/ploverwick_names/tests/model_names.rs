//! Names and models as callers write them.

use googletest::prelude::*;
use ploverwick_names::{Adapter, MAX_LEN, Model, NameError};
use proptest::prelude::*;

#[gtest]
fn whole_model() {
    let model: Model = "llama:fr-grade@v3".parse().expect("it is a model");
    expect_that!(model.base.as_str(), eq("llama"));
    expect_that!(model.adapter.as_str(), eq("fr-grade"));
    expect_that!(
        model.version.map(|version| version.to_string()),
        some(eq("v3"))
    );
}

#[gtest]
fn bad_names() {
    expect_that!(Adapter::new(""), err(eq(&NameError::Empty)));
    expect_that!(Adapter::new("a/b"), err(eq(&NameError::BadChar('/'))));
    expect_that!(Adapter::new(&"a".repeat(MAX_LEN)), ok(anything()));
    expect_that!(Adapter::new(&"a".repeat(MAX_LEN + 1)), err(anything()));
}

proptest! {
    #[test]
    fn never_panics(text in ".{0,200}") {
        // What parses is written back as it was read.
        if let Ok(model) = text.parse::<Model>() {
            prop_assert_eq!(model.to_string(), text);
        }
    }
}
