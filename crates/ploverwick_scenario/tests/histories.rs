//! Randomly generated histories violate no invariant, and disabling any single mechanism leads to a
//! detected violation.

use googletest::prelude::*;
use ploverwick_scenario::explore::{self, Exploration};
use ploverwick_scenario::{claims, owners, table};
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestRunner};

const CASES: u32 = 400;
const STEPS: u64 = 200;
/// The number of histories within which disabling a mechanism must lead to a violation.
const MAX_HISTORIES: u64 = 3000;

fn assert_no_violations(explore: impl Fn(u64) -> Exploration) {
    let config = Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    };
    let outcome = TestRunner::new(config).run(&proptest::num::u64::ANY, |seed| {
        let exploration = explore(seed);
        if exploration.violations.is_empty() {
            return Ok(());
        }
        let events = exploration.events.join("\n");
        Err(TestCaseError::fail(format!("seed {seed}\n{events}")))
    });
    if let Err(failure) = outcome {
        panic!("{failure}");
    }
}

fn finds_violation(explore: impl Fn(u64) -> Exploration) -> bool {
    (1..=MAX_HISTORIES).any(|seed| !explore(seed).violations.is_empty())
}

#[test]
fn ownership_invariants_hold() {
    assert_no_violations(|seed| explore::owners(seed, STEPS, owners::Disabled::Nothing));
}

#[test]
fn claim_invariants_hold() {
    assert_no_violations(|seed| explore::claims(seed, STEPS, claims::Disabled::Nothing));
}

#[test]
fn table_invariants_hold() {
    assert_no_violations(|seed| explore::table(seed, STEPS, table::Disabled::Nothing));
}

#[gtest]
fn disabled_fencing_is_detected() {
    expect_true!(finds_violation(|seed| explore::owners(
        seed,
        STEPS,
        owners::Disabled::Fence
    )));
}

#[gtest]
fn missing_unload_intents_are_detected() {
    expect_true!(finds_violation(|seed| explore::owners(
        seed,
        STEPS,
        owners::Disabled::Intent
    )));
}

#[gtest]
fn ignored_unload_intents_are_detected() {
    expect_true!(finds_violation(|seed| explore::owners(
        seed,
        STEPS,
        owners::Disabled::Doubt
    )));
}

#[gtest]
fn unload_before_settling_is_detected() {
    expect_true!(finds_violation(|seed| explore::owners(
        seed,
        STEPS,
        owners::Disabled::Settle
    )));
}

#[gtest]
fn run_without_claim_is_detected() {
    expect_true!(finds_violation(|seed| explore::claims(
        seed,
        STEPS,
        claims::Disabled::Claim
    )));
}

#[gtest]
fn claim_without_read_back_is_detected() {
    expect_true!(finds_violation(|seed| explore::claims(
        seed,
        STEPS,
        claims::Disabled::ReadBack
    )));
}

#[gtest]
fn key_forfeited_after_run_is_detected() {
    expect_true!(finds_violation(|seed| explore::claims(
        seed,
        STEPS,
        claims::Disabled::KeepAfterRun
    )));
}

#[gtest]
fn ignored_gap_is_detected() {
    expect_true!(finds_violation(|seed| explore::table(
        seed,
        STEPS,
        table::Disabled::Gap
    )));
}
