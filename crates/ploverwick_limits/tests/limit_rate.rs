//! Tests that a limit admits exactly its rate and returns when to retry.

use std::time::Duration;

use googletest::prelude::*;
use ploverwick_limits::{Bucket, RateLimiter};
use ploverwick_names::Moment;
use ploverwick_table::{Column, Subject};

fn column() -> Column {
    "limit".parse().expect("a column's header")
}

#[googletest::test]
fn rate_is_admitted() {
    let mut rates = RateLimiter::default();
    let take = |rates: &mut RateLimiter, at| rates.take(&Subject::All, &column(), 5.0, Moment(at));
    let admitted = (0..10_000_u64)
        .step_by(10)
        .filter(|at| take(&mut rates, *at).is_ok());
    // Five per second for ten seconds, plus the initial burst.
    expect_that!(admitted.count(), all!(ge(50), le(56)));
}

#[googletest::test]
fn error_contains_time_until_next_token() {
    let mut rates = RateLimiter::default();
    expect_that!(
        rates.take(&Subject::All, &column(), 1.0, Moment(0)),
        ok(anything())
    );
    let wait = rates.take(&Subject::All, &column(), 1.0, Moment(400));
    expect_that!(wait, err(le(Duration::from_millis(601))));
    expect_that!(
        rates.take(&Subject::All, &column(), 1.0, Moment(1_001)),
        ok(anything())
    );
}

#[googletest::test]
fn zero_rate_admits_nothing() {
    let mut rates = RateLimiter::default();
    let taken = rates.take(&Subject::All, &column(), 0.0, Moment(5_000));
    expect_that!(taken, err(anything()));
}

#[googletest::test]
fn bucket_holds_at_most_burst() {
    let mut bucket = Bucket::new(0.0, Moment(0));
    bucket.refill(10.0, 3.0, Moment(60_000));
    expect_that!(bucket.whole_tokens(), eq(3));
}
