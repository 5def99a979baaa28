//! Tests that heartbeats are ordered by process start time and sequence number rather than by arrival.

use std::sync::Arc;

use googletest::prelude::*;
use ploverwick_endpoints::{Heartbeat, Heartbeats};

fn heartbeat(born: u64, number: u64) -> Heartbeat {
    Heartbeat { born, number }
}

#[gtest]
fn late_heartbeat_after_departure_is_ignored() {
    let mut heartbeats = Heartbeats::default();
    let id: Arc<str> = Arc::from("i-a");
    expect_true!(heartbeats.record(&id, heartbeat(0, 5), false));
    heartbeats.record_departure("i-a");
    expect_false!(heartbeats.record(&id, heartbeat(0, 4), false));
    expect_false!(heartbeats.record(&id, heartbeat(0, 5), false));
    expect_true!(heartbeats.record(&id, heartbeat(0, 6), false));
}

#[gtest]
fn older_heartbeat_lists_unlisted_endpoint() {
    let mut heartbeats = Heartbeats::default();
    let id: Arc<str> = Arc::from("i-a");
    expect_true!(heartbeats.record(&id, heartbeat(0, 5), false));
    expect_false!(heartbeats.record(&id, heartbeat(0, 4), true));
    expect_true!(heartbeats.record(&id, heartbeat(0, 4), false));
}

#[gtest]
fn restart_resets_heartbeat_numbers() {
    let mut heartbeats = Heartbeats::default();
    let id: Arc<str> = Arc::from("i-a");
    expect_true!(heartbeats.record(&id, heartbeat(100, 9), false));
    expect_true!(heartbeats.record(&id, heartbeat(200, 1), true));
    expect_false!(heartbeats.record(&id, heartbeat(100, 10), true));
    expect_false!(heartbeats.record(&id, heartbeat(100, 10), false));
    heartbeats.record_departure("i-a");
    expect_false!(heartbeats.record(&id, heartbeat(100, 11), false));
    expect_true!(heartbeats.record(&id, heartbeat(300, 1), false));
}
