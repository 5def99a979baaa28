//! A version is judged from the first newer one, and as early as an instance cannot rule out.
//!
//! Seen: requests began on an adapter's first version long after its second one was in force. How it came
//! about: a third version was declared, or an instance started and read the second one again. Cause: only
//! the newest declaration was remembered, with the moment at which it was read. Proof: the tests of
//! `replaced_versions` in the gateway, which run both.

use std::time::Duration;

use googletest::prelude::*;
use ploverwick_adapters::{Horizon, Lineage, Since};
use ploverwick_names::Moment;

/// How often a process that is not held up says that it runs.
const STEP: Duration = Duration::from_millis(150);

fn at(moment: u64) -> Since {
    Since::NotBefore(Moment(moment))
}

/// Lets a process run from one moment to another.
fn run(horizon: &mut Horizon, from: u64, to: u64) {
    let mut now = Moment(from);
    while now < Moment(to) {
        horizon.run(now);
        now = now + STEP;
    }
}

/// Makes the horizon of a process that read a whole topic at 1,000 and waits for more since 1,010.
fn waiting() -> Horizon {
    let mut horizon = Horizon::default();
    horizon.ask(Moment(1_000));
    expect_that!(horizon.whole(), eq(Since::LongAgo));
    horizon.ask(Moment(1_010));
    horizon
}

#[googletest::test]
fn first_newer_counts() {
    let mut lineage = Lineage::default();
    expect_that!(lineage.newest(), eq(1));
    expect_that!(lineage.replaced(1), none());
    expect_that!(lineage.declare(2, at(6_000)), eq(true));
    expect_that!(lineage.declare(3, at(13_000)), eq(true));
    expect_that!(lineage.replaced(1), some(eq(at(6_000))));
    expect_that!(lineage.replaced(2), some(eq(at(13_000))));
    expect_that!(lineage.replaced(3), none());
    // An older declaration that is read again changes nothing.
    expect_that!(lineage.declare(2, at(20_000)), eq(false));
    expect_that!(lineage.replaced(1), some(eq(at(6_000))));
}

#[googletest::test]
fn unproved_is_long_ago() {
    let mut lineage = Lineage::default();
    lineage.declare(4, Since::LongAgo);
    expect_that!(lineage.newest(), eq(4));
    expect_that!(lineage.replaced(3), some(eq(Since::LongAgo)));
    lineage.declare(6, at(9_000));
    expect_that!(lineage.replaced(3), some(eq(Since::LongAgo)));
    expect_that!(lineage.replaced(4), some(eq(at(9_000))));
    // What is newer cannot have been declared before what is older.
    lineage.declare(7, at(8_000));
    expect_that!(lineage.replaced(6), some(eq(at(9_000))));
}

/// However many versions are declared, none that was replaced comes back or is judged later than by the
/// first newer one.
#[googletest::test]
fn many_never_return() {
    let mut lineage = Lineage::default();
    for version in 2..500 {
        lineage.declare(version, at(version * 10));
        for older in 1..version {
            let first_newer = at((older + 1) * 10);
            expect_that!(lineage.replaced(older), some(le(first_newer)));
        }
        expect_that!(lineage.replaced(version - 1), some(eq(at(version * 10))));
    }
    // Few are remembered one by one.
    expect_that!(lineage.replaced(490), some(eq(Since::LongAgo)));
}

/// What came while a read was waiting is as fresh as the process's steps are short.
#[googletest::test]
fn waiting_read_is_fresh() {
    let mut horizon = waiting();
    run(&mut horizon, 1_010, 9_000);
    let since = horizon.next(Moment(9_000));
    expect_that!(since, ge(Since::NotBefore(Moment(9_000) - STEP * 2)));
    expect_that!(since, le(at(9_000)));
    // The read after it finds what came between the two.
    horizon.ask(Moment(9_001));
    expect_that!(horizon.next(Moment(9_005)), eq(since));
}

/// A read that is back soon may have found its records there; connecting for it may have taken a second.
#[googletest::test]
fn soon_back_proves_less() {
    let mut horizon = waiting();
    run(&mut horizon, 1_010, 2_000);
    expect_that!(horizon.next(Moment(2_000)), eq(at(1_000)));
}

/// Nothing after the last read that came back is proved once one failed.
#[googletest::test]
fn outage_proves_nothing() {
    let mut horizon = waiting();
    run(&mut horizon, 1_010, 21_000);
    horizon.fail();
    for retry in [21_150, 21_450, 22_050] {
        horizon.ask(Moment(retry));
        run(&mut horizon, retry, retry + 150);
        horizon.fail();
    }
    horizon.ask(Moment(23_000));
    run(&mut horizon, 23_000, 25_000);
    expect_that!(horizon.next(Moment(25_000)), eq(at(1_000)));
    // The next one goes on from there.
    horizon.ask(Moment(25_000));
    run(&mut horizon, 25_000, 30_000);
    expect_that!(horizon.next(Moment(30_000)), gt(at(29_500)));
}

/// A whole topic that is read anew proves what was not in it when it was read before.
#[googletest::test]
fn whole_again_counts_from_before() {
    let mut horizon = waiting();
    run(&mut horizon, 1_010, 5_000);
    let seen = horizon.next(Moment(5_000));
    horizon.ask(Moment(5_001));
    horizon.fail();
    horizon.ask(Moment(8_000));
    expect_that!(horizon.whole(), eq(seen));
    expect_that!(seen, gt(at(4_500)));
}

/// What came while the process was held up is as old as the halt, whichever the process does first after
/// it: look at the clock, or at what came.
#[googletest::test]
fn halt_ages_what_came() {
    for looks_first in [true, false] {
        let mut horizon = waiting();
        run(&mut horizon, 1_010, 4_000);
        if looks_first {
            horizon.run(Moment(7_000));
        }
        let since = horizon.next(Moment(7_010));
        expect_that!(since, le(at(4_000)));
        expect_that!(since, gt(at(3_500)));
        // What is read next may have come during the halt too.
        horizon.ask(Moment(7_011));
        expect_that!(horizon.next(Moment(7_015)), eq(since));
        horizon.ask(Moment(7_016));
        run(&mut horizon, 7_016, 9_000);
        expect_that!(horizon.next(Moment(9_000)), gt(at(8_500)));
    }
}

/// Whatever a process meets, a record never counts as later than it came.
#[googletest::test]
fn never_later_than_it_came() {
    let mut random = 0x9e37_79b9_7f4a_7c15_u64;
    let mut draw = |below: u64| {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        random % below
    };
    for _ in 0..2_000 {
        let mut horizon = Horizon::default();
        let mut now = 100;
        // The moment since which records came that were not read yet, if there are any.
        let mut unread: Option<u64> = Some(0);
        let mut is_first = true;
        for _ in 0..12 {
            horizon.ask(Moment(now));
            let asked = now;
            let came = asked + draw(9_000);
            match draw(4) {
                // It fails after a while, with or without a record meanwhile.
                0 => {
                    let failed = asked + draw(6_000);
                    run(&mut horizon, asked, failed);
                    horizon.fail();
                    if draw(2) == 0 {
                        unread.get_or_insert(asked + draw(failed - asked + 1));
                    }
                    now = failed + draw(2_000);
                    run(&mut horizon, failed, now);
                }
                // It comes back with what was there, after up to the longest time to connect.
                1 if unread.is_some() || is_first => {
                    now = asked + draw(1_000);
                    run(&mut horizon, asked, now);
                    let since = if is_first {
                        horizon.whole()
                    } else {
                        horizon.next(Moment(now))
                    };
                    let oldest = unread.take().unwrap_or(asked);
                    expect_that!(since, le(at(oldest)));
                    is_first = false;
                }
                // It waits until something comes; the process may be held up around that.
                _ if !is_first && unread.is_none() => {
                    let halts = draw(2) == 0;
                    let back = if halts { came + draw(4_000) } else { came };
                    run(&mut horizon, asked, came);
                    if draw(2) == 0 {
                        horizon.run(Moment(back));
                    }
                    now = back;
                    let since = horizon.next(Moment(now));
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
