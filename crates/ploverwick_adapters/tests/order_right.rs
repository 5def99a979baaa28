//! The right to give orders: leases, tokens, and turns.

use std::time::Duration;

use googletest::prelude::*;
use ploverwick_adapters::{Grant, Tenure, Terms};
use ploverwick_names::Moment;

const TERMS: Terms = Terms {
    lease: Duration::from_millis(2_500),
    turn: Duration::from_secs(3),
    fenced: true,
    extension: Duration::ZERO,
    calm: Duration::from_secs(1),
};

#[googletest::test]
fn lease_counts_from_asking() {
    let mut tenure = Tenure::new(TERMS, false, Moment(0));
    tenure.granted(Grant::Held(4), Moment(1_000), Moment(2_000));
    expect_that!(tenure.token(Moment(3_499)), some(eq(4)));
    expect_that!(tenure.token(Moment(3_500)), none());
}

#[googletest::test]
fn paused_holder_stops() {
    let mut tenure = Tenure::new(TERMS, false, Moment(0));
    tenure.granted(Grant::Held(4), Moment(0), Moment(3));
    // The process stood still; nothing but the clock tells it.
    expect_that!(tenure.token(Moment(60_000)), none());
}

#[googletest::test]
fn return_waits_a_turn() {
    let mut tenure = Tenure::new(TERMS, false, Moment(0));
    tenure.granted(Grant::Held(4), Moment(0), Moment(3));
    tenure.granted(Grant::Elsewhere, Moment(700), Moment(703));
    tenure.granted(Grant::Held(6), Moment(1_400), Moment(1_403));
    tenure.granted(Grant::Held(6), Moment(2_100), Moment(2_103));
    expect_that!(tenure.token(Moment(2_200)), none());
    tenure.granted(Grant::Held(6), Moment(2_800), Moment(2_803));
    tenure.granted(Grant::Held(6), Moment(3_500), Moment(3_503));
    expect_that!(tenure.token(Moment(3_703)), some(eq(6)));
}

#[googletest::test]
fn fenced_token_is_dead() {
    let mut tenure = Tenure::new(TERMS, false, Moment(0));
    tenure.granted(Grant::Held(4), Moment(0), Moment(3));
    tenure.fenced(4, Moment(10));
    tenure.granted(Grant::Held(4), Moment(700), Moment(703));
    expect_that!(tenure.token(Moment(704)), none());
    expect_that!(tenure.is_held(Moment(704)), eq(false));
}

#[googletest::test]
fn successor_waits_unfenced() {
    let terms = Terms {
        fenced: false,
        ..TERMS
    };
    let mut tenure = Tenure::new(terms, false, Moment(0));
    tenure.granted(Grant::Held(4), Moment(0), Moment(3));
    expect_that!(tenure.token(Moment(2_000)), none());
    for at in (700..3_500).step_by(700) {
        tenure.granted(Grant::Held(4), Moment(at), Moment(at + 3));
    }
    expect_that!(tenure.token(Moment(3_003)), some(eq(4)));
}

#[googletest::test]
fn restart_waits_a_turn() {
    let mut tenure = Tenure::new(TERMS, true, Moment(0));
    tenure.granted(Grant::Held(9), Moment(0), Moment(3));
    expect_that!(tenure.token(Moment(100)), none());
}

/// Found by scale-1: after a kill of all instances a token had moved on, and nobody placed adapters
/// in two of three failure domains for three seconds.
#[googletest::test]
fn calm_restart_goes_on() {
    let terms = Terms {
        calm: TERMS.turn,
        ..TERMS
    };
    let mut tenure = Tenure::new(terms, true, Moment(0));
    tenure.granted(Grant::Held(9), Moment(0), Moment(3));
    expect_that!(tenure.token(Moment(100)), some(eq(9)));
}

#[googletest::test]
fn unfenced_restart_waits() {
    let terms = Terms {
        calm: TERMS.turn,
        fenced: false,
        ..TERMS
    };
    let mut tenure = Tenure::new(terms, true, Moment(0));
    tenure.granted(Grant::Held(9), Moment(0), Moment(3));
    expect_that!(tenure.token(Moment(100)), none());
}

#[googletest::test]
fn restart_under_same_token() {
    let mut tenure = Tenure::new(TERMS, true, Moment(0));
    tenure.recall(9);
    tenure.granted(Grant::Held(9), Moment(0), Moment(3));
    expect_that!(tenure.token(Moment(4)), some(eq(9)));
}

#[googletest::test]
fn restart_under_later_token() {
    let mut tenure = Tenure::new(TERMS, true, Moment(0));
    tenure.recall(9);
    tenure.granted(Grant::Held(11), Moment(0), Moment(3));
    expect_that!(tenure.token(Moment(4)), none());
}

#[googletest::test]
fn recalled_counts_once() {
    let mut tenure = Tenure::new(TERMS, true, Moment(0));
    tenure.recall(9);
    tenure.granted(Grant::Held(9), Moment(0), Moment(3));
    tenure.lose(Moment(100));
    tenure.granted(Grant::Held(9), Moment(700), Moment(703));
    expect_that!(tenure.token(Moment(704)), none());
}

const EXTENDED: Terms = Terms {
    extension: Duration::from_secs(6),
    ..TERMS
};

#[googletest::test]
fn silent_store_extends() {
    let mut tenure = Tenure::new(EXTENDED, false, Moment(0));
    tenure.granted(Grant::Held(4), Moment(0), Moment(3));
    expect_that!(tenure.token(Moment(8_000)), some(eq(4)));
    expect_that!(tenure.token(Moment(8_500)), none());
    // The same token after the outage: nobody else had the right.
    tenure.granted(Grant::Held(4), Moment(8_000), Moment(8_003));
    expect_that!(tenure.token(Moment(8_004)), some(eq(4)));
}

#[googletest::test]
fn extension_ends_by_word() {
    let mut tenure = Tenure::new(EXTENDED, false, Moment(0));
    tenure.granted(Grant::Held(4), Moment(0), Moment(3));
    tenure.granted(Grant::Elsewhere, Moment(5_000), Moment(5_003));
    expect_that!(tenure.token(Moment(5_004)), none());
    tenure.granted(Grant::Held(7), Moment(5_700), Moment(5_703));
    expect_that!(tenure.token(Moment(5_704)), none());
}

#[googletest::test]
fn later_token_after_lapse_waits() {
    let mut tenure = Tenure::new(EXTENDED, false, Moment(0));
    tenure.granted(Grant::Held(4), Moment(0), Moment(3));
    // Another one may have had the right between the lapse and this answer.
    tenure.granted(Grant::Held(6), Moment(5_000), Moment(5_003));
    expect_that!(tenure.token(Moment(5_004)), none());
}

#[googletest::test]
fn unfenced_is_not_extended() {
    let terms = Terms {
        fenced: false,
        ..EXTENDED
    };
    let mut tenure = Tenure::new(terms, false, Moment(0));
    for at in (0..4_200).step_by(700) {
        tenure.granted(Grant::Held(4), Moment(at), Moment(at + 3));
    }
    expect_that!(tenure.token(Moment(3_600)), some(eq(4)));
    expect_that!(tenure.token(Moment(6_100)), none());
}

#[googletest::test]
fn orderly_restart_goes_on() {
    let mut tenure = Tenure::new(TERMS, true, Moment(0));
    tenure.no_earlier_life();
    tenure.granted(Grant::Held(9), Moment(0), Moment(3));
    expect_that!(tenure.token(Moment(4)), some(eq(9)));
}
