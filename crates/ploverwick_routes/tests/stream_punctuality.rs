//! Whether a stream is late, by its start or by a pause.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use ploverwick_routes::{EventTimes, Kind, Punctuality, Route};

fn route(max_pause: Option<Duration>) -> Route {
    Route {
        name: Arc::from("chat"),
        host: Arc::from("a.example"),
        prefix: Arc::from("/x/"),
        kind: Kind::Stream { resumable: false },
        timeout: Duration::from_secs(10),
        objective: Duration::from_millis(500),
        event_timeout: None,
        max_pause,
        max_attempts: 1,
        priority: 0,
        needs_key: false,
        shares: Vec::new(),
    }
}

fn times(events_ms: &[u64]) -> EventTimes {
    let mut times = EventTimes::default();
    for ms in events_ms {
        times.record(1, Duration::from_millis(*ms));
    }
    times
}

/// Guards against measuring a stream by its first event alone.
#[googletest::test]
fn pause_makes_stream_late() {
    let route = route(Some(Duration::from_millis(300)));
    let punctuality = |events_ms: &[u64]| times(events_ms).punctuality(&route);
    expect_that!(punctuality(&[400, 700, 900]), eq(Punctuality::InTime));
    expect_that!(punctuality(&[400, 701, 900]), eq(Punctuality::LatePause));
    expect_that!(punctuality(&[501, 900]), eq(Punctuality::LateStart));
    expect_that!(punctuality(&[]), eq(Punctuality::LateStart));
    let times = times(&[400, 700, 710]);
    expect_that!(times.longest_pause, eq(Duration::from_millis(300)));
    expect_that!(times.first_event, some(eq(Duration::from_millis(400))));
    expect_that!(times.events, eq(3));
}

/// Guards against a slow client whose stream counts as late by a pause.
#[googletest::test]
fn stall_of_client_is_no_pause() {
    let mut times = times(&[400, 500]);
    times.record_stall(Duration::from_secs(2));
    times.record(1, Duration::from_millis(2_600));
    expect_that!(times.longest_pause, eq(Duration::from_millis(100)));
}

/// Guards against counting pauses where the operator declares none.
#[googletest::test]
fn undeclared_pause_is_unlimited() {
    let punctuality = times(&[400, 9_000]).punctuality(&route(None));
    expect_that!(punctuality, eq(Punctuality::InTime));
}
