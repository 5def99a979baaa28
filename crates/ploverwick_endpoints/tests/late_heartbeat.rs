//! A heartbeat counts by the life that it is of and by its number in it, not by when it arrives.

use std::sync::Arc;

use googletest::prelude::*;
use ploverwick_endpoints::{Heartbeat, Heartbeats};

fn beat(born: u64, number: u64) -> Heartbeat {
    Heartbeat { born, number }
}

#[gtest]
fn late_after_leave() {
    let mut heartbeats = Heartbeats::default();
    let id: Arc<str> = Arc::from("i-a");
    expect_true!(heartbeats.record(&id, beat(0, 5), false));
    heartbeats.record_departure("i-a");
    expect_false!(heartbeats.record(&id, beat(0, 4), false));
    expect_false!(heartbeats.record(&id, beat(0, 5), false));
    expect_true!(heartbeats.record(&id, beat(0, 6), false));
}

#[gtest]
fn older_one_lists() {
    let mut heartbeats = Heartbeats::default();
    let id: Arc<str> = Arc::from("i-a");
    expect_true!(heartbeats.record(&id, beat(0, 5), false));
    expect_false!(heartbeats.record(&id, beat(0, 4), true));
    expect_true!(heartbeats.record(&id, beat(0, 4), false));
}

#[gtest]
fn second_life_counts_anew() {
    let mut heartbeats = Heartbeats::default();
    let id: Arc<str> = Arc::from("i-a");
    expect_true!(heartbeats.record(&id, beat(100, 9), false));
    expect_true!(heartbeats.record(&id, beat(200, 1), true));
    expect_false!(heartbeats.record(&id, beat(100, 10), true));
    expect_false!(heartbeats.record(&id, beat(100, 10), false));
    heartbeats.record_departure("i-a");
    expect_false!(heartbeats.record(&id, beat(100, 11), false));
    expect_true!(heartbeats.record(&id, beat(300, 1), false));
}
