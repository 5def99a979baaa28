//! Tests when a stream that paused or broke is sent to another endpoint.

use std::time::Duration;

use googletest::prelude::*;
use ploverwick_endpoints::{Resumption, Step};

const EVENT_TIMEOUT: Duration = Duration::from_secs(2);
const REMAINING: Duration = Duration::from_secs(9);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn stream(max_runs: u32) -> Resumption {
    Resumption::new(Some(EVENT_TIMEOUT), max_runs, 1)
}

#[googletest::test]
fn paused_endpoint_is_kept() {
    let stream = stream(2);
    let step = |silence| stream.next_step(true, ms(silence), REMAINING);
    expect_that!(step(0), eq(Step::Wait(ms(1_000))));
    expect_that!(step(1_200), eq(Step::Seek(ms(800))));
    // An endpoint found now could not answer before the client disconnects.
    expect_that!(step(2_000), eq(Step::Wait(REMAINING)));
}

#[googletest::test]
fn endpoint_is_kept_if_no_other_may_run() {
    let mut spent = stream(2);
    spent.record_run();
    let mut forbidden = stream(2);
    forbidden.forbid();
    for stream in [stream(1), spent, forbidden] {
        let step = stream.next_step(true, ms(1_200), REMAINING);
        expect_that!(step, eq(Step::Wait(REMAINING)));
        expect_that!(stream.next_step(false, ms(0), REMAINING), eq(Step::Fail));
    }
}

/// Guards against a stream that broke off after an endpoint refused it, though it had run only once.
#[googletest::test]
fn refusals_are_no_runs() {
    let mut stream = stream(2);
    let backoffs = [(); 3].map(|()| stream.record_refusal());
    expect_that!(backoffs, eq([ms(25), ms(50), ms(100)]));
    let step = stream.next_step(false, ms(200), REMAINING);
    expect_that!(step, eq(Step::Seek(REMAINING)));
    stream.record_refusal();
    let step = stream.next_step(false, ms(400), REMAINING);
    expect_that!(step, eq(Step::Fail));
}

#[googletest::test]
fn deadline_ends_stream() {
    let step = |silence| stream(2).next_step(true, ms(silence), ms(300));
    expect_that!(step(1_900), eq(Step::Seek(ms(100))));
    expect_that!(step(0), eq(Step::Wait(ms(300))));
    expect_that!(
        stream(2).next_step(true, ms(0), Duration::ZERO),
        eq(Step::Fail)
    );
}
