//! Tests the timeout after which a request is sent to another endpoint.

use std::time::Duration;

use googletest::prelude::*;
use ploverwick_endpoints::{answer_timeout, brittle_answer_timeout};

const OBJECTIVE: Duration = Duration::from_millis(800);

fn timeout(ms: u64) -> Duration {
    answer_timeout(OBJECTIVE, Duration::from_millis(ms))
}

/// Guards against a timeout while an endpoint is still reading a long prompt. With a timeout of one
/// objective, prompts of 9,000 tokens were read again on another endpoint, which caused half of the late
/// answers on a day with little load.
#[googletest::test]
fn long_prompts_extend_timeout() {
    expect_that!(timeout(600), eq(Duration::from_millis(1_800)));
    expect_that!(timeout(5_000), eq(OBJECTIVE * 3));
}

#[googletest::test]
fn idle_endpoint_must_meet_objective() {
    expect_that!(timeout(20), eq(OBJECTIVE));
    let shortest = answer_timeout(Duration::ZERO, Duration::ZERO);
    expect_that!(shortest, gt(Duration::ZERO));
}

/// Guards against slots of brittle endpoints that are left while their requests run.
#[googletest::test]
fn brittle_endpoint_is_awaited_longer() {
    expect_that!(brittle_answer_timeout(OBJECTIVE), eq(OBJECTIVE * 3));
    expect_that!(brittle_answer_timeout(Duration::ZERO), gt(Duration::ZERO));
}
