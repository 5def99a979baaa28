//! However often the processes that share a limit start anew, they admit no more than if each had
//! lived on.
//!
//! Seen: a bound over the whole system was passed when instances were restarted. How it came about: what
//! a process spent is kept in its memory. Cause: its successor began with a full bucket, a second's
//! worth of its share. Proof: with buckets that begin full, a limit of 600 requests in ten seconds
//! admits 825 if each of six instances starts anew every three seconds, and 1,140 if all do each second.

use googletest::prelude::*;
use ploverwick_limits::{PriorUse, RateLimiter, Sharers};
use ploverwick_names::Moment;
use ploverwick_table::{Column, Subject};

/// Requests a second over all instances.
const LIMIT: f64 = 60.0;
const INSTANCES: usize = 6;
/// Milliseconds between two requests to an instance: 16 times its share.
const PACE: usize = 10;
/// Milliseconds that are played.
const PLAYED: usize = 12_000;

fn column() -> Column {
    "limit".parse().expect("a column's header")
}

fn take(rates: &mut RateLimiter, limit: f64, age: usize) -> bool {
    let now = Moment(age as u64);
    let sharers = Sharers::Known {
        count: INSTANCES,
        since: Moment(0),
    };
    let taken = rates.take_shared(&Subject::All, &column(), limit, sharers, now);
    taken.is_ok()
}

/// Plays steady demand on all instances, each of which starts anew when `starts` says so, and returns
/// when requests were admitted.
fn play(starts: impl Fn(usize, usize) -> bool) -> Vec<usize> {
    play_paused(starts, |_| false)
}

/// Plays demand that pauses when `pauses` says so.
fn play_paused(
    starts: impl Fn(usize, usize) -> bool,
    pauses: impl Fn(usize) -> bool,
) -> Vec<usize> {
    let mut lives: Vec<(usize, RateLimiter)> = Vec::new();
    lives.resize_with(INSTANCES, || (0, RateLimiter::new(PriorUse::None)));
    let mut admitted = Vec::new();
    for at in (0..PLAYED).step_by(PACE) {
        for (number, life) in lives.iter_mut().enumerate() {
            if starts(number, at) {
                *life = (at, RateLimiter::new(PriorUse::Unknown));
            }
            if !pauses(at) && take(&mut life.1, LIMIT, at - life.0) {
                admitted.push(at);
            }
        }
    }
    admitted
}

/// Returns the most requests that were admitted in a window beyond the limit.
fn beyond(admitted: &[usize], window: usize) -> f64 {
    let starts = (0..PLAYED - window).step_by(100);
    let counts = starts.map(|start| {
        let within = admitted
            .iter()
            .filter(|at| (start..start + window).contains(*at));
        within.count() as f64 - LIMIT * window as f64 / 1_000.0
    });
    counts.fold(f64::MIN, f64::max)
}

#[googletest::test]
fn rolling_starts() {
    let admitted = play(|number, at| at > 0 && at % 3_000 == number * 500);
    for window in [1_000, 5_000, 10_000] {
        expect_that!(beyond(&admitted, window), le(INSTANCES as f64));
    }
}

#[googletest::test]
fn starts_at_once() {
    let admitted = play(|_, at| at > 0 && at % 1_000 == 0);
    for window in [1_000, 5_000, 10_000] {
        expect_that!(beyond(&admitted, window), le(INSTANCES as f64));
    }
}

/// Returns the next number of a fixed series.
fn draw(seed: &mut u64) -> u64 {
    *seed = seed
        .wrapping_mul(6_364_136_223_846_793_005)
        .wrapping_add(1_442_695_040_888_963_407);
    *seed >> 33
}

/// Drawn series of starts and of demand that pauses, in which buckets fill: beyond the limit comes a
/// second's worth that was saved up and one request an instance.
#[googletest::test]
fn drawn_series() {
    for first in 0..200_u64 {
        let mut seed = first;
        let rarity = 1 + draw(&mut seed) % 400;
        let starts: Vec<bool> = (0..INSTANCES * PLAYED / PACE)
            .map(|_| draw(&mut seed).is_multiple_of(rarity))
            .collect();
        let pauses: Vec<bool> = (0..=PLAYED / 500)
            .map(|_| draw(&mut seed).is_multiple_of(2))
            .collect();
        let admitted = play_paused(
            |number, at| starts[at / PACE * INSTANCES + number],
            |at| pauses[at / 500],
        );
        for window in [1_000, 5_000, 10_000] {
            expect_that!(beyond(&admitted, window), le(LIMIT + INSTANCES as f64));
        }
    }
}

/// What the mend costs: after a start the saved burst is missing, the rate is not.
#[googletest::test]
fn rate_is_kept() {
    let admitted = play(|_, at| at == 3_000);
    let after = admitted.iter().filter(|at| (3_000..8_000).contains(*at));
    expect_that!(after.count(), ge(290));
}

/// A first use finds a whole burst if the process has lived the filling time.
#[googletest::test]
fn first_use_is_whole() {
    let mut rates = RateLimiter::new(PriorUse::Unknown);
    let burst = (0..100).filter(|_| take(&mut rates, LIMIT, 1_000)).count();
    expect_that!(burst, eq(10));
}

/// A share below one a second waits for its first request as long as for any other.
#[googletest::test]
fn small_share_waits() {
    let mut rates = RateLimiter::new(PriorUse::Unknown);
    // A tenth of a request a second.
    let limit = 0.1 * INSTANCES as f64;
    expect_that!(take(&mut rates, limit, 9_900), is_false());
    expect_that!(take(&mut rates, limit, 10_010), is_true());
    // Nothing was spent before a first start.
    let mut rates = RateLimiter::new(PriorUse::None);
    expect_that!(take(&mut rates, limit, 10), is_true());
    expect_that!(take(&mut rates, limit, 20), is_false());
}

/// An instance that others did not count has nothing for that time, however long it has run.
#[googletest::test]
fn newcomer_begins_empty() {
    let mut rates = RateLimiter::new(PriorUse::Unknown);
    let sharers = Sharers::Known {
        count: INSTANCES,
        since: Moment(8_000),
    };
    let mut take = |at| {
        rates
            .take_shared(&Subject::All, &column(), LIMIT, sharers, Moment(at))
            .is_ok()
    };
    expect_that!(take(8_050), is_false());
    expect_that!(take(8_110), is_true());
    expect_that!(take(8_150), is_false());
}

#[googletest::test]
fn unknown_sharers_wait() {
    let mut rates = RateLimiter::new(PriorUse::None);
    let now = Moment(60_000);
    let taken = rates.take_shared(&Subject::All, &column(), LIMIT, Sharers::Unknown, now);
    expect_that!(taken, err(anything()));
}

#[googletest::test]
fn change_keeps_spent() {
    let mut rates = RateLimiter::new(PriorUse::Unknown);
    while take(&mut rates, LIMIT, 20_000) {}
    rates.remove_full(Moment(20_000));
    expect_that!(take(&mut rates, LIMIT, 20_000), is_false());
    // Full again after a second, so that nothing has to be remembered.
    rates.remove_full(Moment(21_000));
    expect_that!(rates.is_empty(), is_true());
}
