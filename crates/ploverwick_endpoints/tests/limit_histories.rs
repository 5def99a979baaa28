//! Limits that endpoints name, before fleets of three sizes.

mod limited_fleet;

use googletest::prelude::*;
use limited_fleet::{Fleet, Seen, Series, Way};

/// The instances, failure domains and endpoints of a deployment.
type Size = (usize, usize, usize);
const SMALL: Size = (6, 3, 18);
const MEDIUM: Size = (74, 5, 90);
const LARGE: Size = (330, 4, 200);

/// Makes a series in which some endpoints name limits and nothing else happens.
fn calm((instances, domains, endpoints): Size) -> Series {
    Series {
        instances,
        domains,
        endpoints,
        limited: 0.15,
        limits: (0.5, 6.0),
        kills: 0,
        length: 36_000,
    }
}

/// Makes a series in which half of the instances are killed, each at some moment.
fn kills(size: Size) -> Series {
    Series {
        kills: size.0 / 2,
        ..calm(size)
    }
}

fn play(way: Way, series: &Series, seed: u64) -> Seen {
    Fleet::new(way, series.clone(), seed).run()
}

#[test]
fn windows_hold() {
    for seed in 0..6 {
        for series in [calm(SMALL), kills(SMALL)] {
            for limited in [0.15, 1.0] {
                let series = Series { limited, ..series };
                let seen = play(Way::Few, &series, seed);
                assert_that!(seen.fullest, le(1.0), "seed {seed}, {series:?}");
            }
        }
    }
}

#[test]
fn large_fleets_hold() {
    for series in [calm(MEDIUM), kills(MEDIUM)] {
        let seen = play(Way::Few, &series, 1);
        assert_that!(seen.fullest, le(1.0), "{series:?}");
    }
}

/// Where all endpoints of a service are in need, what their limits allow is used.
#[test]
fn limits_are_used() {
    let series = Series {
        limited: 1.0,
        ..calm(SMALL)
    };
    assert_that!(play(Way::Few, &series, 1).used, ge(0.8));
}

#[test]
fn lifted_is_heard() {
    let seen = play(Way::Few, &calm(SMALL), 2);
    assert_that!(seen.regained, ge(0.7));
}

/// The judge notices instances that keep to no limit.
#[test]
fn keeping_is_needed() {
    let seen = play(Way::Ignored, &calm(SMALL), 1);
    assert_that!(seen.fullest, gt(1.0));
}

/// Even parts of all leave most of a limit unused where instances are many, and refuse where all are in need.
#[test]
fn few_use_more() {
    let series = Series {
        limited: 1.0,
        ..calm(MEDIUM)
    };
    let few = play(Way::Few, &series, 1);
    let even = play(Way::Even, &series, 1);
    assert_that!(few.used, gt(even.used));
    assert_that!(few.refused, lt(even.refused));
}

/// Prints what each way does; with `LIMIT_SIZES=all` at all sizes, which takes a minute.
#[test]
fn ways_compare() {
    let all = std::env::var("LIMIT_SIZES").is_ok_and(|sizes| sizes == "all");
    let sizes = [SMALL, MEDIUM, LARGE];
    for size in &sizes[..if all { 3 } else { 1 }] {
        for way in [Way::Ignored, Way::Even, Way::Few] {
            for series in [calm(*size), kills(*size)] {
                for limited in [0.15, 1.0] {
                    let series = Series { limited, ..series };
                    let seen = play(way, &series, 1);
                    let Series { kills, .. } = series;
                    println!("{size:?} {way:?} limited={limited} kills={kills} {seen:.2?}");
                }
            }
        }
    }
}
