//! The share of work by learned speed.

use googletest::prelude::*;
use ploverwick_endpoints::service_rate::{adapter_share, speed, typical_read_ms};

const TYPICAL: f64 = 0.024;

/// Guards against homes of adapters that move with each new estimate.
#[googletest::test]
fn small_changes_keep_the_share() {
    for read_ms in [0.021, 0.024, 0.028] {
        expect_that!(speed(read_ms, TYPICAL), eq(1.0));
    }
}

#[googletest::test]
fn slow_spell_lowers_the_share_until_it_ends() {
    let share = |read_ms| adapter_share(read_ms, TYPICAL);
    expect_that!(share(TYPICAL), eq(1.0));
    expect_that!(share(2.5 * TYPICAL), all![ge(0.12), le(0.13)]);
    expect_that!(share(TYPICAL), eq(1.0));
}

/// Guards against endpoints that get nothing, or all, because a figure is missing or absurd.
#[googletest::test]
fn absurd_figures_are_bounded() {
    expect_that!(speed(0.0, TYPICAL), eq(1.0));
    expect_that!(speed(f64::NAN, TYPICAL), eq(1.0));
    expect_that!(adapter_share(100.0, TYPICAL), gt(0.0));
    expect_that!(typical_read_ms(Vec::new()), none());
}
