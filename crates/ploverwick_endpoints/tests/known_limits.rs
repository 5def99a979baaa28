//! What one instance knows of an endpoint's limit, from answers and from others.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use ploverwick_endpoints::{Change, Limit, LimitUpdate, Limits, Share};
use ploverwick_names::Moment;

const NOW: Moment = Moment(60_000);
const PAUSE: Duration = Duration::from_millis(500);

fn endpoint() -> Arc<str> {
    Arc::from("i-a")
}

fn limit() -> Limit {
    Limit::per_second(2.0)
}

/// Limits of which one was named by an answer, with a part of it here.
fn named() -> Limits {
    let mut limits = Limits::default();
    let change = limits.record_answer(&endpoint(), Some(limit()), NOW, NOW);
    assert_that!(change, eq(Change::Set(limit())));
    limits.assign("i-a", Share::Sender { interval: PAUSE }, NOW);
    limits
}

/// The answer to a request that was sent before the limit was heard of may have been made before it, too.
#[gtest]
fn older_answer_lifts_nothing() {
    let mut limits = named();
    let later = NOW + PAUSE;
    let change = limits.record_answer(&endpoint(), None, NOW, later);
    expect_that!(change, eq(Change::Unchanged));
    let change = limits.record_answer(&endpoint(), None, later, later + PAUSE);
    expect_that!(change, eq(Change::Lifted));
}

/// News that is older than what is known changes nothing, whichever way it came.
#[gtest]
fn older_news_is_dropped() {
    let mut limits = named();
    let told = |limit, age_ms| LimitUpdate {
        endpoint: endpoint(),
        limit,
        age_ms,
    };
    let now = NOW + PAUSE;
    let change = limits.apply_update(&told(None, 800), now);
    expect_that!(change, eq(Change::Unchanged));
    let change = limits.apply_update(&told(None, 100), now);
    expect_that!(change, eq(Change::Lifted));
    let change = limits.apply_update(&told(Some(limit()), 300), now);
    expect_that!(change, eq(Change::Unchanged));
}

/// A part begins with a pause, and each send is followed by one.
#[gtest]
fn sends_are_spaced() {
    let mut limits = named();
    expect_that!(limits.wait("i-a", NOW), some(eq(PAUSE)));
    let next = NOW + PAUSE;
    expect_that!(limits.wait("i-a", next), none());
    expect_that!(limits.record_send("i-a", next), eq(true));
    expect_that!(limits.wait("i-a", next), some(eq(PAUSE)));
}

/// The last answer of an endpoint may come after it was taken off the list.
#[gtest]
fn ended_is_forgotten() {
    let mut limits = named();
    limits.remove("i-a");
    limits.record_answer(&endpoint(), Some(limit()), NOW, NOW);
    limits.sweep(|_| true, NOW);
    expect_that!(limits.active_count(), eq(1));
    limits.sweep(|_| false, NOW);
    expect_that!(limits.active_count(), eq(0));
}
