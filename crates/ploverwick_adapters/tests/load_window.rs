//! The window on loads finds what the weight store serves at full speed, whatever that is.

use std::time::Duration;

use googletest::prelude::*;
use ploverwick_adapters::Window;
use ploverwick_names::Moment;

/// The time of a load at full speed.
const USUAL: u64 = 254;

/// Plays a store that serves `at_once` loads at full speed and slows down in proportion beyond,
/// before more demand than it can meet; returns the loads under way at the end.
fn play(at_once: usize, windows: usize) -> usize {
    let mut all = vec![(Window::default(), Vec::<(Moment, Moment)>::new()); windows];
    for ms in 0..20_000 {
        let now = Moment(ms);
        for (window, loads) in &mut all {
            let due: Vec<_> = loads.extract_if(.., |(_, ends)| *ends <= now).collect();
            let mut under_way = loads.len() + due.len();
            for (began, _) in due {
                window.loaded(began, now, under_way);
                under_way -= 1;
            }
        }
        let mut total: usize = all.iter().map(|(_, loads)| loads.len()).sum();
        for (window, loads) in &mut all {
            while loads.len() < window.size() {
                total += 1;
                let slower = (total as f64 / at_once as f64).max(1.0);
                let takes = (USUAL as f64 * slower) as u64;
                loads.push((now, now + Duration::from_millis(takes)));
            }
        }
    }
    all.iter().map(|(_, loads)| loads.len()).sum()
}

#[googletest::test]
fn finds_small_and_large() {
    for (at_once, windows) in [(24, 3), (32, 3), (88, 3), (88, 4)] {
        let found = play(at_once, windows);
        expect_that!(found, ge(at_once * 7 / 10));
        expect_that!(found, le(at_once * 16 / 10));
    }
}

/// Where the others have nothing to load, one failure domain may use all that the store serves.
#[googletest::test]
fn one_domain_takes_all() {
    expect_that!(play(32, 1), ge(24));
}

#[googletest::test]
fn own_memory_says_nothing() {
    let mut window = Window::default();
    let before = window.size();
    for at in 0..100 {
        window.loaded(Moment(at * 100), Moment(at * 100 + 25), 50);
    }
    expect_that!(window.size(), eq(before));
}

#[googletest::test]
fn idle_window_stays() {
    let mut window = Window::default();
    let before = window.size();
    for at in 0..100 {
        window.loaded(Moment(at * 300), Moment(at * 300 + USUAL), 1);
    }
    expect_that!(window.size(), eq(before));
}
