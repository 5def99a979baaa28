//! Which instances share what an endpoint accepts.

use std::time::Duration;

use googletest::prelude::*;
use ploverwick_endpoints::sharers::{Peer, select};

const INTERVAL: Duration = Duration::from_millis(150);

fn peer(name: &str, silence_ms: u64) -> Peer<'_> {
    Peer {
        name,
        silence: Duration::from_millis(silence_ms),
    }
}

#[gtest]
fn silent_instances_have_no_share() {
    let listed = [peer("a", 100), peer("b", 2_500), peer("c", 2_501)];
    expect_that!(select(&listed, INTERVAL), elements_are![eq(&"a"), eq(&"b")]);
}

/// Guards against an instance that is cut off from all others and takes over their shares.
#[gtest]
fn cut_off_instance_takes_over_nothing() {
    let listed = [peer("a", 100), peer("b", 6_000), peer("c", 6_000)];
    expect_that!(select(&listed, INTERVAL), len(eq(3)));
    let listed = [peer("a", 100), peer("b", 10_001), peer("c", 10_001)];
    expect_that!(select(&listed, INTERVAL), elements_are![eq(&"a")]);
}

/// Guards against shares that move back and forth because instances of a large failure domain send to each other rarely.
#[gtest]
fn rare_messages_are_no_silence() {
    let listed = [peer("a", 7_000), peer("b", 7_000)];
    let interval = Duration::from_secs(2);
    expect_that!(select(&listed, interval), len(eq(2)));
}
