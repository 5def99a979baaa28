//! How long an answer is awaited before another endpoint is asked.

use std::time::Duration;

use googletest::prelude::*;
use ploverwick_endpoints::answer_timeout;

const OBJECTIVE: Duration = Duration::from_millis(800);

fn expecting(ms: u64) -> Duration {
    answer_timeout(OBJECTIVE, Duration::from_millis(ms))
}

/// Half of the late answers of a quiet day were sends given up after one objective while the endpoint
/// read prompts of 9,000 tokens, each of which was then read once more elsewhere.
#[googletest::test]
fn reading_is_awaited() {
    expect_that!(expecting(600), eq(Duration::from_millis(1_800)));
    expect_that!(expecting(5_000), eq(OBJECTIVE * 3));
}

#[googletest::test]
fn idle_must_answer() {
    expect_that!(expecting(20), eq(OBJECTIVE));
    let soon = answer_timeout(Duration::ZERO, Duration::ZERO);
    expect_that!(soon, gt(Duration::ZERO));
}
