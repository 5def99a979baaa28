//! A version counts as replaced from the first newer declaration, at the earliest time that an
//! instance cannot rule out.
//!
//! Failure: requests started on an adapter's first version long after its second one was in force,
//! when a third version was declared or an instance started and read the second declaration again.
//! Only the newest declaration was kept, with the time at which it was read. The
//! `replaced_versions` tests of the gateway cover both cases.

use std::time::Duration;

use googletest::prelude::*;
use ploverwick_adapters::{Since, VersionHistory, Watermark};
use ploverwick_names::Moment;

/// The interval between ticks of a process that is not paused.
const TICK_INTERVAL: Duration = Duration::from_millis(150);

fn at(moment: u64) -> Since {
    Since::NotBefore(Moment(moment))
}

/// Ticks a process from one moment to another.
fn run(watermark: &mut Watermark, from: u64, to: u64) {
    let mut now = Moment(from);
    while now < Moment(to) {
        watermark.tick(now);
        now = now + TICK_INTERVAL;
    }
}

/// Creates the watermark of a process that read a whole topic at 1,000 and has waited for more
/// since 1,010.
fn waiting_reader() -> Watermark {
    let mut watermark = Watermark::default();
    watermark.begin_read(Moment(1_000));
    expect_that!(watermark.finish_full_read(), eq(Since::LongAgo));
    watermark.begin_read(Moment(1_010));
    watermark
}

#[googletest::test]
fn replaced_since_first_newer_version() {
    let mut history = VersionHistory::default();
    expect_that!(history.newest(), eq(1));
    expect_that!(history.replaced_since(1), none());
    expect_that!(history.declare(2, at(6_000)), eq(true));
    expect_that!(history.declare(3, at(13_000)), eq(true));
    expect_that!(history.replaced_since(1), some(eq(at(6_000))));
    expect_that!(history.replaced_since(2), some(eq(at(13_000))));
    expect_that!(history.replaced_since(3), none());
    // Reading an older declaration again changes nothing.
    expect_that!(history.declare(2, at(20_000)), eq(false));
    expect_that!(history.replaced_since(1), some(eq(at(6_000))));
}

#[googletest::test]
fn unknown_age_counts_as_long_ago() {
    let mut history = VersionHistory::default();
    history.declare(4, Since::LongAgo);
    expect_that!(history.newest(), eq(4));
    expect_that!(history.replaced_since(3), some(eq(Since::LongAgo)));
    history.declare(6, at(9_000));
    expect_that!(history.replaced_since(3), some(eq(Since::LongAgo)));
    expect_that!(history.replaced_since(4), some(eq(at(9_000))));
    // A newer version cannot have been declared before an older one.
    history.declare(7, at(8_000));
    expect_that!(history.replaced_since(6), some(eq(at(9_000))));
}

/// However many versions are declared, no replaced version becomes current again or counts as
/// replaced later than the first newer one was declared.
#[googletest::test]
fn older_versions_stay_replaced() {
    let mut history = VersionHistory::default();
    for version in 2..500 {
        history.declare(version, at(version * 10));
        for older in 1..version {
            let first_newer = at((older + 1) * 10);
            expect_that!(history.replaced_since(older), some(le(first_newer)));
        }
        expect_that!(
            history.replaced_since(version - 1),
            some(eq(at(version * 10)))
        );
    }
    // Only a few declarations are kept individually.
    expect_that!(history.replaced_since(490), some(eq(Since::LongAgo)));
}

/// The age of records that arrive during a waiting read is known to within the tick interval.
#[googletest::test]
fn long_poll_bounds_age_by_tick() {
    let mut watermark = waiting_reader();
    run(&mut watermark, 1_010, 9_000);
    let since = watermark.finish_tail_read(Moment(9_000));
    expect_that!(
        since,
        ge(Since::NotBefore(Moment(9_000) - TICK_INTERVAL * 2))
    );
    expect_that!(since, le(at(9_000)));
    // The next read returns records that arrived between the two.
    watermark.begin_read(Moment(9_001));
    expect_that!(watermark.finish_tail_read(Moment(9_005)), eq(since));
}

/// A read that returns soon may have found its records already there, as connecting can take a
/// second.
#[googletest::test]
fn immediate_read_uses_previous_watermark() {
    let mut watermark = waiting_reader();
    run(&mut watermark, 1_010, 2_000);
    expect_that!(watermark.finish_tail_read(Moment(2_000)), eq(at(1_000)));
}

/// A failed read proves nothing about the time since the last successful one.
#[googletest::test]
fn failed_reads_keep_watermark() {
    let mut watermark = waiting_reader();
    run(&mut watermark, 1_010, 21_000);
    watermark.fail_read();
    for retry in [21_150, 21_450, 22_050] {
        watermark.begin_read(Moment(retry));
        run(&mut watermark, retry, retry + 150);
        watermark.fail_read();
    }
    watermark.begin_read(Moment(23_000));
    run(&mut watermark, 23_000, 25_000);
    expect_that!(watermark.finish_tail_read(Moment(25_000)), eq(at(1_000)));
    // The next read continues from there.
    watermark.begin_read(Moment(25_000));
    run(&mut watermark, 25_000, 30_000);
    expect_that!(watermark.finish_tail_read(Moment(30_000)), gt(at(29_500)));
}

/// Reading the whole topic again proves that new records were not there at the previous read.
#[googletest::test]
fn full_reread_uses_previous_watermark() {
    let mut watermark = waiting_reader();
    run(&mut watermark, 1_010, 5_000);
    let seen = watermark.finish_tail_read(Moment(5_000));
    watermark.begin_read(Moment(5_001));
    watermark.fail_read();
    watermark.begin_read(Moment(8_000));
    expect_that!(watermark.finish_full_read(), eq(seen));
    expect_that!(seen, gt(at(4_500)));
}

/// Records that arrive during a process pause count as old as the pause, whether the process ticks
/// or processes records first after it.
#[googletest::test]
fn process_pause_ages_records() {
    for looks_first in [true, false] {
        let mut watermark = waiting_reader();
        run(&mut watermark, 1_010, 4_000);
        if looks_first {
            watermark.tick(Moment(7_000));
        }
        let since = watermark.finish_tail_read(Moment(7_010));
        expect_that!(since, le(at(4_000)));
        expect_that!(since, gt(at(3_500)));
        // Records of the next read may also have arrived during the pause.
        watermark.begin_read(Moment(7_011));
        expect_that!(watermark.finish_tail_read(Moment(7_015)), eq(since));
        watermark.begin_read(Moment(7_016));
        run(&mut watermark, 7_016, 9_000);
        expect_that!(watermark.finish_tail_read(Moment(9_000)), gt(at(8_500)));
    }
}

/// In random histories, a record never counts as newer than its arrival.
#[googletest::test]
fn never_newer_than_arrival() {
    let mut random = 0x9e37_79b9_7f4a_7c15_u64;
    let mut draw = |below: u64| {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        random % below
    };
    for _ in 0..2_000 {
        let mut watermark = Watermark::default();
        let mut now = 100;
        // When the oldest unread record arrived, if there is one.
        let mut unread: Option<u64> = Some(0);
        let mut is_first = true;
        for _ in 0..12 {
            watermark.begin_read(Moment(now));
            let asked = now;
            let came = asked + draw(9_000);
            match draw(4) {
                // The read fails after a while, with or without a record arriving meanwhile.
                0 => {
                    let failed = asked + draw(6_000);
                    run(&mut watermark, asked, failed);
                    watermark.fail_read();
                    if draw(2) == 0 {
                        unread.get_or_insert(asked + draw(failed - asked + 1));
                    }
                    now = failed + draw(2_000);
                    run(&mut watermark, failed, now);
                }
                // The read returns existing records, after at most the longest time to connect.
                1 if unread.is_some() || is_first => {
                    now = asked + draw(1_000);
                    run(&mut watermark, asked, now);
                    let since = if is_first {
                        watermark.finish_full_read()
                    } else {
                        watermark.finish_tail_read(Moment(now))
                    };
                    let oldest = unread.take().unwrap_or(asked);
                    expect_that!(since, le(at(oldest)));
                    is_first = false;
                }
                // The read waits for a record; the process may be paused around its arrival.
                _ if !is_first && unread.is_none() => {
                    let halts = draw(2) == 0;
                    let back = if halts { came + draw(4_000) } else { came };
                    run(&mut watermark, asked, came);
                    if draw(2) == 0 {
                        watermark.tick(Moment(back));
                    }
                    now = back;
                    let since = watermark.finish_tail_read(Moment(now));
                    expect_that!(since, le(at(came)));
                    if halts && draw(2) == 0 {
                        unread = Some(came);
                    }
                }
                _ => now += draw(300),
            }
        }
    }
}
