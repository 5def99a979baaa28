//! Tests of the pauses that queued prompts cause in running streams.

use std::time::Duration;

use googletest::prelude::*;
use ploverwick_endpoints::{Capacity, Load};

const CAPACITY: Capacity = Capacity {
    read_ms: 0.05,
    step_ms: 8.0,
};

/// Guards against an estimate that leaves out the prompts that are already queued.
#[googletest::test]
fn prompts_pause_streams() {
    let idle = CAPACITY.expected_pause(Load::default(), 0, 7);
    expect_that!(idle, eq(Duration::from_millis(56)));
    let queued = Load {
        requests: 3,
        unread_tokens: 4_000,
        held_tokens: 0,
    };
    let paused = CAPACITY.expected_pause(queued, 1_000, 7);
    expect_that!(paused, eq(Duration::from_millis(56 + 250)));
    let reading = CAPACITY.reading_time(queued, 1_000);
    expect_that!(reading, eq(Duration::from_millis(250)));
}
