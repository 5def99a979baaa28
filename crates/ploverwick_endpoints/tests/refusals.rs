//! Tests for the diagnosis of requests that endpoints turned away.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use ploverwick_endpoints::refusals::{Cause, Evidence, WINDOW};
use ploverwick_endpoints::{Pauses, Refusals};
use ploverwick_names::Moment;

/// Late loads that left room.
const LATE: Evidence = Evidence {
    slots: 4,
    own: 1,
    known: 3,
    age: Some(Duration::from_millis(140)),
    since_pause: None,
    earlier_sends: 0,
};

/// Guards against refusals that on-call puts down to the wrong cause.
#[googletest::test]
fn causes_are_told_apart() {
    let own = Evidence {
        own: 4,
        known: 5,
        ..LATE
    };
    let full = Evidence { known: 4, ..LATE };
    let repeat = Evidence {
        earlier_sends: 1,
        since_pause: Some(Duration::ZERO),
        ..LATE
    };
    let pause_end = Evidence {
        since_pause: Some(Duration::from_millis(44)),
        ..LATE
    };
    let nothing = Evidence { age: None, ..LATE };
    expect_that!(LATE.cause(), eq(Cause::LateLoads));
    expect_that!(own.cause(), eq(Cause::OwnRequests));
    expect_that!(full.cause(), eq(Cause::KnownFull));
    expect_that!(repeat.cause(), eq(Cause::Repeat));
    expect_that!(pause_end.cause(), eq(Cause::PauseEnd));
    expect_that!(nothing.cause(), eq(Cause::NothingKnown));
}

/// Guards against a pause whose end is forgotten before the requests that it held back are sent.
#[googletest::test]
fn pause_end_is_remembered() {
    let mut pauses = Pauses::default();
    let endpoint: Arc<str> = Arc::from("i-a");
    pauses.record(&endpoint, Duration::from_millis(500), Moment(1_000));
    expect_that!(pauses.since_end("i-a", Moment(1_499)), none());
    let other: Arc<str> = Arc::from("i-b");
    pauses.record(&other, Duration::from_millis(500), Moment(1_540));
    expect_that!(
        pauses.since_end("i-a", Moment(1_544)),
        some(eq(Duration::from_millis(44)))
    );
    expect_that!(
        pauses.record(&endpoint, Duration::from_millis(500), Moment(1_550)),
        eq(true)
    );
}

/// Guards against refusals that count for ever, or that take memory without bound.
#[googletest::test]
fn refusals_expire() {
    let mut refusals = Refusals::default();
    let endpoint: Arc<str> = Arc::from("i-a");
    for _ in 0..1_000 {
        refusals.record(&endpoint, Moment(1_000));
    }
    let end = Moment(1_000) + WINDOW;
    expect_that!(refusals.count("i-a", Moment(1_001)), eq(64));
    expect_that!(refusals.count("i-a", end), eq(0));
    expect_that!(refusals.count("i-b", Moment(1_001)), eq(0));
}
