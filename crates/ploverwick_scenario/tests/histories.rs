//! Generated histories break no promise, and each mechanism that is switched off is noticed.

use googletest::prelude::*;
use ploverwick_scenario::explore::{self, Explored};
use ploverwick_scenario::{claims, owners, table};
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestRunner};

const CASES: u32 = 400;
const STEPS: u64 = 200;
/// How many histories a switched-off mechanism may survive.
const HISTORIES: u64 = 3000;

fn holds(explore: impl Fn(u64) -> Explored) {
    let config = Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    };
    let outcome = TestRunner::new(config).run(&proptest::num::u64::ANY, |seed| {
        let explored = explore(seed);
        if explored.violations.is_empty() {
            return Ok(());
        }
        let events = explored.events.join("\n");
        Err(TestCaseError::fail(format!("seed {seed}\n{events}")))
    });
    if let Err(failure) = outcome {
        panic!("{failure}");
    }
}

fn is_noticed(explore: impl Fn(u64) -> Explored) -> bool {
    (1..=HISTORIES).any(|seed| !explore(seed).violations.is_empty())
}

#[test]
fn owners_hold() {
    holds(|seed| explore::owners(seed, STEPS, owners::Off::Nothing));
}

#[test]
fn claims_hold() {
    holds(|seed| explore::claims(seed, STEPS, claims::Off::Nothing));
}

#[test]
fn tables_hold() {
    holds(|seed| explore::table(seed, STEPS, table::Off::Nothing));
}

#[gtest]
fn fence_needed() {
    expect_true!(is_noticed(|seed| explore::owners(
        seed,
        STEPS,
        owners::Off::Fence
    )));
}

#[gtest]
fn intent_needed() {
    expect_true!(is_noticed(|seed| explore::owners(
        seed,
        STEPS,
        owners::Off::Intent
    )));
}

#[gtest]
fn doubt_needed() {
    expect_true!(is_noticed(|seed| explore::owners(
        seed,
        STEPS,
        owners::Off::Doubt
    )));
}

#[gtest]
fn settling_needed() {
    expect_true!(is_noticed(|seed| explore::owners(
        seed,
        STEPS,
        owners::Off::Settle
    )));
}

#[gtest]
fn claim_needed() {
    expect_true!(is_noticed(|seed| explore::claims(
        seed,
        STEPS,
        claims::Off::Claim
    )));
}

#[gtest]
fn read_back_needed() {
    expect_true!(is_noticed(|seed| explore::claims(
        seed,
        STEPS,
        claims::Off::ReadBack
    )));
}

#[gtest]
fn keeping_needed() {
    expect_true!(is_noticed(|seed| explore::claims(
        seed,
        STEPS,
        claims::Off::KeepAfterRun
    )));
}

#[gtest]
fn gap_needed() {
    expect_true!(is_noticed(|seed| explore::table(
        seed,
        STEPS,
        table::Off::Gap
    )));
}
