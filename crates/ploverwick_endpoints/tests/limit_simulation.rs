//! Simulates endpoint limits with fleets of three sizes.

mod limited_fleet;

use googletest::prelude::*;
use limited_fleet::{Fleet, Results, Scenario, Strategy};

/// The number of instances, failure domains and endpoints of a deployment.
type Size = (usize, usize, usize);
const SMALL: Size = (6, 3, 18);
const MEDIUM: Size = (74, 5, 90);
const LARGE: Size = (330, 4, 200);

/// Returns a scenario in which some endpoints set limits and no instance is killed.
fn without_kills((instances, domains, endpoints): Size) -> Scenario {
    Scenario {
        instances,
        domains,
        endpoints,
        limited: 0.15,
        limits: (0.5, 6.0),
        kills: 0,
        length_ms: 36_000,
    }
}

/// Returns a scenario with half as many kills as instances, at random times.
fn with_kills(size: Size) -> Scenario {
    Scenario {
        kills: size.0 / 2,
        ..without_kills(size)
    }
}

fn run(strategy: Strategy, scenario: &Scenario, seed: u64) -> Results {
    Fleet::new(strategy, scenario.clone(), seed).run()
}

#[test]
fn limits_hold_in_every_window() {
    for seed in 0..6 {
        for scenario in [without_kills(SMALL), with_kills(SMALL)] {
            for limited in [0.15, 1.0] {
                let scenario = Scenario {
                    limited,
                    ..scenario
                };
                let results = run(Strategy::Few, &scenario, seed);
                assert_that!(
                    results.max_window_fill,
                    le(1.0),
                    "seed {seed}, {scenario:?}"
                );
            }
        }
    }
}

#[test]
fn limits_hold_in_large_fleet() {
    for scenario in [without_kills(MEDIUM), with_kills(MEDIUM)] {
        let results = run(Strategy::Few, &scenario, 1);
        assert_that!(results.max_window_fill, le(1.0), "{scenario:?}");
    }
}

/// Guards against unused capacity when all endpoints of a service set limits.
#[test]
fn limits_are_mostly_used() {
    let scenario = Scenario {
        limited: 1.0,
        ..without_kills(SMALL)
    };
    assert_that!(run(Strategy::Few, &scenario, 1).utilisation, ge(0.8));
}

#[test]
fn requests_resume_after_limit_is_lifted() {
    let results = run(Strategy::Few, &without_kills(SMALL), 2);
    assert_that!(results.recovery, ge(0.7));
}

/// Checks that the simulation detects instances that ignore limits.
#[test]
fn ignored_limits_are_exceeded() {
    let results = run(Strategy::Ignored, &without_kills(SMALL), 1);
    assert_that!(results.max_window_fill, gt(1.0));
}

/// Equal shares for all instances leave most of a limit unused in a large fleet, and lead to more refusals when all
/// endpoints set limits.
#[test]
fn few_senders_use_more_than_equal_shares() {
    let scenario = Scenario {
        limited: 1.0,
        ..without_kills(MEDIUM)
    };
    let few = run(Strategy::Few, &scenario, 1);
    let even = run(Strategy::Even, &scenario, 1);
    assert_that!(few.utilisation, gt(even.utilisation));
    assert_that!(few.refused, lt(even.refused));
}

/// Prints the results of each strategy. With `LIMIT_SIZES=all`, this covers all sizes and takes a minute.
#[test]
fn print_strategy_comparison() {
    let all = std::env::var("LIMIT_SIZES").is_ok_and(|sizes| sizes == "all");
    let sizes = [SMALL, MEDIUM, LARGE];
    for size in &sizes[..if all { 3 } else { 1 }] {
        for strategy in [Strategy::Ignored, Strategy::Even, Strategy::Few] {
            for scenario in [without_kills(*size), with_kills(*size)] {
                for limited in [0.15, 1.0] {
                    let scenario = Scenario {
                        limited,
                        ..scenario
                    };
                    let results = run(strategy, &scenario, 1);
                    let Scenario { kills, .. } = scenario;
                    println!("{size:?} {strategy:?} limited={limited} kills={kills} {results:.2?}");
                }
            }
        }
    }
}
