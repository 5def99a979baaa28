//! Tests for the pauses that endpoints request in their answers.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use ploverwick_endpoints::Pauses;
use ploverwick_names::Moment;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against pauses that end too early or never.
#[googletest::test]
fn pause_ends() {
    let mut pauses = Pauses::default();
    let endpoint: Arc<str> = Arc::from("i-a");
    expect_that!(
        pauses.record(&endpoint, 3 * SECOND, Moment(1_000)),
        eq(true)
    );
    expect_that!(
        pauses.wait("i-a", Moment(3_999)),
        some(eq(Duration::from_millis(1)))
    );
    expect_that!(pauses.closed(Moment(3_999)).count(), eq(1));
    expect_that!(pauses.wait("i-a", Moment(4_000)), none());
    expect_that!(pauses.closed(Moment(4_000)).count(), eq(0));
    expect_that!(pauses.wait("i-b", Moment(1_000)), none());
}

/// Guards against a later refusal with a shorter pause that shortens the current one.
#[googletest::test]
fn refusal_does_not_shorten_pause() {
    let mut pauses = Pauses::default();
    let endpoint: Arc<str> = Arc::from("i-a");
    pauses.record(&endpoint, 3 * SECOND, Moment(1_000));
    expect_that!(pauses.record(&endpoint, SECOND, Moment(1_500)), eq(false));
    expect_that!(
        pauses.wait("i-a", Moment(1_500)),
        some(eq(Duration::from_millis(2_500)))
    );
    pauses.record(&endpoint, 3 * SECOND, Moment(2_000));
    expect_that!(pauses.wait("i-a", Moment(2_000)), some(eq(3 * SECOND)));
}
