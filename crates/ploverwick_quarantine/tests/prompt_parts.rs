//! Identity of the parts of prompts, and what requests at a crashed endpoint had in common.

use std::sync::Arc;

use googletest::prelude::*;
use ploverwick_quarantine::prompt::{Caller, InvalidPart, Knowledge, Part, Tally};
use ploverwick_quarantine::{Fingerprint, Suspect};

fn suspect(id: &str, parts: &[&str]) -> Suspect {
    Suspect {
        fingerprint: Fingerprint::of([id.as_bytes()]),
        parts: parts.iter().map(|part| Part::of(part)).collect(),
        known: Knowledge::default(),
        caller: Caller::of([]),
        id: Arc::from(id),
        route: Arc::from("/live/"),
        adapter: Arc::default(),
    }
}

/// Clients may write the same number in different ways.
#[gtest]
fn spelling_does_not_matter() {
    expect_that!(Part::of("00AB"), eq(Part::of("ab")));
    expect_that!(Part::of("ab"), not(eq(Part::of("abc"))));
    expect_that!(Part::of("00AB").to_string(), eq("ab"));
    expect_that!("+1".parse::<Part>(), err(eq(&InvalidPart)));
    expect_that!("".parse::<Part>(), err(eq(&InvalidPart)));
}

/// Identifiers that are no number, or too long for one, are distinguished too.
#[gtest]
fn unusual_identifiers_differ() {
    let long = "1".repeat(33);
    let longer = "1".repeat(34);
    expect_that!(Part::of(&long), not(eq(Part::of(&longer))));
    expect_that!(Part::of("x"), not(eq(Part::of("y"))));
    expect_that!(Part::of("x"), eq(Part::of("x")));
}

/// The part that all requests contain comes first; a part that one request names twice counts once.
#[gtest]
fn common_parts_come_first() {
    let suspects = [
        suspect("1", &["a", "f"]),
        suspect("2", &["b", "f", "b"]),
        suspect("3", &[]),
    ];
    let tally = Tally::of(&suspects);
    expect_that!(tally.to_string(), eq("f:2,a:1,b:1"));
    expect_that!(Tally::of(&[]).to_string(), eq("-"));
}

/// A prompt of many parts does not write a line without bound.
#[gtest]
fn rare_parts_are_left_out() {
    let ids: Vec<String> = (1..=20).map(|number| format!("{number:x}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let tally = Tally::of(&[suspect("1", &ids)]);
    expect_that!(tally.to_string(), eq("1:1,2:1,3:1,4:1,5:1,6:1,7:1,8:1,+12"));
}
