//! Tests when a stream that breaks off is attributed to its client.

use std::time::Duration;

use googletest::prelude::*;
use ploverwick_endpoints::Backpressure;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against an endpoint that is blamed for cutting off a stream that its client did not read.
#[googletest::test]
fn unread_stream_is_attributed_to_client() {
    let mut backpressure = Backpressure::default();
    backpressure.record_stall(ms(2_000));
    // What the endpoint sent before it cut the stream off is still there.
    for _ in 0..100 {
        backpressure.record_wait(ms(1));
        backpressure.record_stall(ms(1));
    }
    expect_that!(backpressure.explains_break(), eq(true));
}

/// Guards against a stream that trickles to its client in many short stalls.
#[googletest::test]
fn short_stalls_add_up() {
    let mut backpressure = Backpressure::default();
    for _ in 0..30 {
        backpressure.record_wait(ms(2));
        backpressure.record_stall(ms(50));
    }
    expect_that!(backpressure.explains_break(), eq(true));
}

/// Guards against a crash that is attributed to a client because it was slow earlier in the stream.
#[googletest::test]
fn earlier_stall_is_forgotten() {
    let mut backpressure = Backpressure::default();
    backpressure.record_stall(ms(5_000));
    for _ in 0..7 {
        backpressure.record_wait(ms(40));
        backpressure.record_stall(ms(0));
    }
    expect_that!(backpressure.explains_break(), eq(false));
}

/// Guards against a long stall that counts less because the endpoint was waited for just before.
#[googletest::test]
fn wait_before_stall_does_not_count() {
    let mut backpressure = Backpressure::default();
    backpressure.record_wait(ms(240));
    backpressure.record_stall(ms(2_000));
    backpressure.record_wait(ms(20));
    expect_that!(backpressure.explains_break(), eq(true));
}

#[googletest::test]
fn endpoint_is_blamed_without_stall() {
    let mut backpressure = Backpressure::default();
    backpressure.record_stall(ms(900));
    expect_that!(backpressure.explains_break(), eq(false));
}
