//! Identity of requests, and the formats of the identifiers that processes exchange.

use googletest::prelude::*;
use ploverwick_quarantine::{Crash, Fingerprint};

fn of(parts: &[&str]) -> Fingerprint {
    Fingerprint::of(parts.iter().map(|part| part.as_bytes()))
}

/// The formats must not change, because instances of different builds compare the identifiers and operators store them.
#[gtest]
fn format_is_stable() {
    let fingerprint = of(&["POST", "a.example", "/live/", "body"]);
    let text = "8dee78ecb58668d5c27f54d3ab7e4c81";
    expect_that!(fingerprint.to_string(), eq(text));
    let parsed = text.parse::<Fingerprint>();
    expect_that!(parsed, ok(eq(&fingerprint)));
    expect_that!(Crash::of("i-1").to_string(), eq("c5c0a85ae4fc3529"));
}

/// Moving a byte from one part to the next changes the fingerprint.
#[gtest]
fn part_boundaries_matter() {
    let parts = [["ab", "c"], ["a", "bc"], ["abc", ""], ["", "abc"]];
    for (at, one) in parts.iter().enumerate() {
        for other in &parts[at + 1..] {
            expect_that!(of(one), not(eq(of(other))));
        }
    }
    expect_that!(of(&["ab"]), not(eq(of(&["ab", ""]))));
}

#[gtest]
fn long_bodies_differ() {
    let body = "x".repeat(100_000);
    let spaced = format!("{body} ");
    expect_that!(of(&[&body]), not(eq(of(&[&spaced]))));
    expect_that!(of(&[&body]), eq(of(&[&body])));
}

#[gtest]
fn invalid_texts_are_rejected() {
    for text in [
        "",
        "12",
        "g",
        &"0".repeat(31),
        &"0".repeat(33),
        "+0000000000000000000000000000001",
    ] {
        expect_that!(text.parse::<Fingerprint>(), err(anything()));
    }
}
