//! The load window converges to the weight store's capacity, whatever it is.

use std::time::Duration;

use googletest::prelude::*;
use ploverwick_adapters::Window;
use ploverwick_names::Moment;

/// The duration of a load at full speed.
const FULL_SPEED_MS: u64 = 254;

/// Simulates a store that serves `at_once` loads at full speed and slows down in proportion beyond,
/// under more demand than it can serve; returns the number of loads running at the end.
fn simulate(at_once: usize, windows: usize) -> usize {
    let mut all = vec![(Window::default(), Vec::<(Moment, Moment)>::new()); windows];
    for ms in 0..20_000 {
        let now = Moment(ms);
        for (window, loads) in &mut all {
            let due: Vec<_> = loads.extract_if(.., |(_, ends)| *ends <= now).collect();
            let mut in_flight = loads.len() + due.len();
            for (began, _) in due {
                window.record_load(began, now, in_flight, window.size());
                in_flight -= 1;
            }
        }
        let mut total: usize = all.iter().map(|(_, loads)| loads.len()).sum();
        for (window, loads) in &mut all {
            while loads.len() < window.size() {
                total += 1;
                let slower = (total as f64 / at_once as f64).max(1.0);
                let takes = (FULL_SPEED_MS as f64 * slower) as u64;
                loads.push((now, now + Duration::from_millis(takes)));
            }
        }
    }
    all.iter().map(|(_, loads)| loads.len()).sum()
}

#[googletest::test]
fn converges_to_store_capacity() {
    for (at_once, windows) in [(24, 3), (32, 3), (88, 3), (88, 4)] {
        let found = simulate(at_once, windows);
        expect_that!(found, ge(at_once * 7 / 10));
        expect_that!(found, le(at_once * 16 / 10));
    }
}

/// A failure domain may use the whole store while the others have nothing to load.
#[googletest::test]
fn single_domain_uses_full_capacity() {
    expect_that!(simulate(32, 1), ge(24));
}

#[googletest::test]
fn cached_loads_ignored() {
    let mut window = Window::default();
    let before = window.size();
    for at in 0..100 {
        window.record_load(Moment(at * 100), Moment(at * 100 + 25), 50, 3);
    }
    expect_that!(window.size(), eq(before));
}

#[googletest::test]
fn unfilled_window_keeps_size() {
    let mut window = Window::default();
    let before = window.size();
    for at in 0..100 {
        window.record_load(Moment(at * 300), Moment(at * 300 + FULL_SPEED_MS), 1, 3);
    }
    expect_that!(window.size(), eq(before));
}
