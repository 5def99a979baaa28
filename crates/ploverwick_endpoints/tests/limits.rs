//! Tests the limit of an endpoint as known to one instance, from answers and from updates of other instances.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use ploverwick_endpoints::{Change, Limit, LimitUpdate, Limits, Share};
use ploverwick_names::Moment;

const NOW: Moment = Moment(60_000);
const INTERVAL: Duration = Duration::from_millis(500);

fn endpoint() -> Arc<str> {
    Arc::from("i-a")
}

fn limit() -> Limit {
    Limit::per_second(2.0)
}

/// Returns limits with one endpoint, whose limit came from an answer and of which this instance has a share.
fn limits_with_share() -> Limits {
    let mut limits = Limits::default();
    let change = limits.record_answer(&endpoint(), Some(limit()), NOW, NOW);
    assert_that!(change, eq(Change::Set(limit())));
    limits.assign("i-a", Share::Sender { interval: INTERVAL }, NOW);
    limits
}

/// Guards against lifting a limit on the answer to a request that was sent before the limit was known. That
/// answer may be older than the limit.
#[gtest]
fn answer_to_earlier_request_does_not_lift_limit() {
    let mut limits = limits_with_share();
    let later = NOW + INTERVAL;
    let change = limits.record_answer(&endpoint(), None, NOW, later);
    expect_that!(change, eq(Change::Unchanged));
    let change = limits.record_answer(&endpoint(), None, later, later + INTERVAL);
    expect_that!(change, eq(Change::Lifted));
}

/// Guards against outdated updates that set or lift a limit.
#[gtest]
fn outdated_update_is_ignored() {
    let mut limits = limits_with_share();
    let update = |limit, age_ms| LimitUpdate {
        endpoint: endpoint(),
        limit,
        age_ms,
    };
    let now = NOW + INTERVAL;
    let change = limits.apply_update(&update(None, 800), now);
    expect_that!(change, eq(Change::Unchanged));
    let change = limits.apply_update(&update(None, 100), now);
    expect_that!(change, eq(Change::Lifted));
    let change = limits.apply_update(&update(Some(limit()), 300), now);
    expect_that!(change, eq(Change::Unchanged));
}

/// Tests that a new sender waits for one interval, and again after each send.
#[gtest]
fn sends_are_spaced() {
    let mut limits = limits_with_share();
    expect_that!(limits.wait("i-a", NOW), some(eq(INTERVAL)));
    let next = NOW + INTERVAL;
    expect_that!(limits.wait("i-a", next), none());
    expect_that!(limits.record_send("i-a", next), eq(true));
    expect_that!(limits.wait("i-a", next), some(eq(INTERVAL)));
}

/// Guards against a limit that is kept forever because the last answer arrived after the endpoint was removed.
#[gtest]
fn removed_endpoint_is_swept() {
    let mut limits = limits_with_share();
    limits.remove("i-a");
    limits.record_answer(&endpoint(), Some(limit()), NOW, NOW);
    limits.sweep(|_| true, NOW);
    expect_that!(limits.active_count(), eq(1));
    limits.sweep(|_| false, NOW);
    expect_that!(limits.active_count(), eq(0));
}
