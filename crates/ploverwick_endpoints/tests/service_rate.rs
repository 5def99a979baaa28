//! The share of work by learned speed.

use googletest::prelude::*;
use ploverwick_endpoints::Capacity;
use ploverwick_endpoints::service_rate::{adapter_share, speed, typical};

const TYPICAL: Capacity = Capacity {
    read_ms: 0.024,
    step_ms: 4.0,
};

/// Returns the capacity of an endpoint that takes `ratio` times as long as a typical one.
fn slowed(ratio: f64) -> Capacity {
    Capacity {
        read_ms: TYPICAL.read_ms * ratio,
        step_ms: TYPICAL.step_ms * ratio,
    }
}

/// Guards against homes of adapters that move with each new estimate.
#[googletest::test]
fn small_changes_keep_the_share() {
    for ratio in [0.87, 1.0, 1.15] {
        expect_that!(speed(slowed(ratio), TYPICAL), eq(1.0));
    }
}

#[googletest::test]
fn slow_spell_lowers_the_share_until_it_ends() {
    let share = |ratio| adapter_share(slowed(ratio), TYPICAL);
    expect_that!(share(1.0), eq(1.0));
    expect_that!(share(2.5), all![ge(0.12), le(0.13)]);
    expect_that!(share(1.0), eq(1.0));
}

/// Guards against endpoints that get nothing, or all, because a figure is missing or absurd.
#[googletest::test]
fn absurd_figures_are_bounded() {
    expect_that!(speed(slowed(0.0), TYPICAL), eq(1.0));
    expect_that!(speed(slowed(f64::NAN), TYPICAL), eq(1.0));
    expect_that!(adapter_share(slowed(1e6), TYPICAL), gt(0.0));
    expect_that!(typical(&[]), none());
}
