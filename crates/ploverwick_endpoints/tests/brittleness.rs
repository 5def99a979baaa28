//! Which services are brittle, and how long their endpoints pause after a refusal.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use ploverwick_endpoints::Brittleness;
use ploverwick_names::Moment;

#[gtest]
fn service_stays_brittle_while_answers_say_so() {
    let mut brittleness = Brittleness::default();
    let service: Arc<str> = Arc::from("lm");
    expect_that!(brittleness.record(&service, Moment(0)), eq(true));
    expect_that!(brittleness.record(&service, Moment(9_000)), eq(false));
    expect_that!(brittleness.is_brittle("lm", Moment(18_999)), eq(true));
    expect_that!(brittleness.is_brittle("lm", Moment(19_000)), eq(false));
    expect_that!(brittleness.is_brittle("app", Moment(0)), eq(false));
}

/// Twice the pauses of a second allow no more refusals than the endpoint bears.
#[gtest]
fn pauses_keep_within_refusals() {
    for max_refusals in 0..200 {
        let pause = Brittleness::pause(max_refusals);
        expect_that!(pause, le(Duration::from_secs(1)));
        let refusals = 1.0 / pause.as_secs_f64();
        expect_that!(2.0 * refusals, le(f64::from(max_refusals.max(2)) + 1e-3));
    }
}
