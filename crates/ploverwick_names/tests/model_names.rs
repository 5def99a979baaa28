//! Parses names and model references.

use googletest::prelude::*;
use ploverwick_names::{Adapter, MAX_NAME_BYTES, Model, NameError};
use proptest::prelude::*;

#[gtest]
fn full_reference_parses() {
    let model: Model = "llama:fr-grade@v3".parse().expect("it is a model");
    expect_that!(model.base.as_str(), eq("llama"));
    expect_that!(model.adapter.as_str(), eq("fr-grade"));
    expect_that!(
        model.version.map(|version| version.to_string()),
        some(eq("v3"))
    );
}

#[gtest]
fn invalid_names_are_rejected() {
    expect_that!(Adapter::new(""), err(eq(&NameError::Empty)));
    expect_that!(Adapter::new("a/b"), err(eq(&NameError::BadChar('/'))));
    expect_that!(Adapter::new(&"a".repeat(MAX_NAME_BYTES)), ok(anything()));
    expect_that!(
        Adapter::new(&"a".repeat(MAX_NAME_BYTES + 1)),
        err(anything())
    );
}

proptest! {
    #[test]
    fn parsing_never_panics(text in ".{0,200}") {
        // A reference that parses is displayed unchanged.
        if let Ok(model) = text.parse::<Model>() {
            prop_assert_eq!(model.to_string(), text);
        }
    }
}
