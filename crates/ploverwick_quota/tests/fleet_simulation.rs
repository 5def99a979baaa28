//! Simulated fleets with killed, frozen and isolated instances and lost messages. No window may exceed the quota by
//! more than the allowance, and few requests within the quota may be refused.

mod fleet;

use fleet::{Fleet, Organisation, Sharing};
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The fraction of the tokens within the quotas that may be refused while there are no failures.
const MAX_WRONG_REFUSAL_RATIO: f64 = 0.001;

/// Returns sixteen organisations of uneven size that use 0.55 of their quotas.
fn organisations() -> Vec<Organisation> {
    let sizes = (1..=16).map(|rank| 300_000.0 / f64::from(rank).powf(0.8));
    let organisations = sizes.enumerate().map(|(number, tokens)| {
        let tokens = tokens.max(29_000.0);
        Organisation::new(&format!("o{number}"), tokens, 0.55)
    });
    organisations.collect()
}

fn warmed_up(size: usize, sharing: Sharing, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(size, organisations(), sharing, seed);
    fleet.run(9_000);
    fleet.reset_stats();
    fleet
}

fn wrong_refusal_ratio(fleet: &Fleet) -> f64 {
    fleet.stats.wrongly_refused_tokens / fleet.stats.within_quota_tokens
}

/// Without failures and with usage well below the quotas, fleets of all sizes refuse almost nothing.
#[gtest]
fn normal_load_is_not_refused() {
    for size in [6, 74, 330] {
        let mut fleet = warmed_up(size, Sharing::Pooled, 1);
        fleet.run(6_000);
        expect_that!(
            wrong_refusal_ratio(&fleet),
            lt(MAX_WRONG_REFUSAL_RATIO),
            "{size}: {:?}",
            fleet.stats
        );
        expect_that!(fleet.stats.max_window_fill, lt(1.0));
    }
}

/// An organisation that uses a single instance has its whole quota there.
#[gtest]
fn single_instance_has_whole_quota() {
    let mut organisations = organisations();
    organisations[15].reachable_instances = Some(1);
    let mut fleet = Fleet::new(74, organisations, Sharing::Pooled, 2);
    fleet.run(3_000);
    fleet.reset_stats();
    fleet.run(6_000);
    expect_that!(
        wrong_refusal_ratio(&fleet),
        lt(MAX_WRONG_REFUSAL_RATIO),
        "{:?}",
        fleet.stats
    );
}

/// An organisation at six times its usual load does not exceed its quota, and afterwards almost nothing is refused.
#[gtest]
fn burst_is_limited_to_quota() {
    let mut fleet = warmed_up(74, Sharing::Pooled, 3);
    fleet.organisation(2).rate *= 6.0;
    fleet.run(10_000);
    expect_that!(fleet.stats.max_window_fill, lt(1.0), "{:?}", fleet.stats);
    fleet.organisation(2).rate /= 6.0;
    // Wait until the burst has left the window.
    fleet.run(fleet::WINDOW_MS);
    fleet.reset_stats();
    fleet.run(4_000);
    expect_that!(
        wrong_refusal_ratio(&fleet),
        lt(MAX_WRONG_REFUSAL_RATIO),
        "{:?}",
        fleet.stats
    );
}

/// Injects a random failure.
fn inject_failure(fleet: &mut Fleet, size: usize, random: &mut StdRng) {
    let affected = (size as f64 * random.random_range(0.05..0.5)).ceil() as usize;
    match random.random_range(0..6) {
        0 => (0..size).for_each(|index| fleet.kill(index, 1_000)),
        1 => (0..affected).for_each(|index| fleet.kill(index, 2_000)),
        2 => (0..affected).for_each(|index| fleet.isolate(index, 3_000)),
        3 => (0..3).for_each(|index| fleet.freeze(index, 2_500)),
        4 => fleet.set_loss_rate(0.1),
        _ => {
            let first = fleet.random_index(size);
            (0..affected).for_each(|number| fleet.isolate((first + number) % size, 2_000));
        }
    }
}

/// No window exceeds the allowance when failures coincide with a load of up to eight times the usual.
#[gtest]
fn failures_stay_within_quota() {
    for seed in 0..24 {
        let size = [6, 20, 74][seed as usize % 3];
        let mut random = StdRng::seed_from_u64(seed);
        let mut fleet = warmed_up(size, Sharing::Pooled, seed);
        for organisation in 0..16 {
            fleet.organisation(organisation).rate *= random.random_range(1.0..8.0);
        }
        for _ in 0..8 {
            inject_failure(&mut fleet, size, &mut random);
            fleet.run(random.random_range(300..2_500));
            fleet.set_loss_rate(0.001);
        }
        expect_that!(
            fleet.stats.max_window_fill,
            lt(1.0),
            "seed {seed}, {size} instances: {:?}",
            fleet.stats
        );
    }
}

/// A pool refuses no more within the quotas than equal shares do, at the usual load and with one organisation at six
/// times its usual load. Prints a table with `--nocapture`.
#[gtest]
fn pool_refuses_less_than_even_shares() {
    for size in [6, 74, 330] {
        for burst in [1.0, 6.0] {
            let [pooled, even] = [Sharing::Pooled, Sharing::Even].map(|sharing| {
                let mut fleet = warmed_up(size, sharing, 4);
                fleet.organisation(3).rate *= burst;
                fleet.run(4_000);
                let stats = &fleet.stats;
                println!(
                    "{size:4} {sharing:?} burst {burst}: refused wrongly {:.4} of the tokens; fullest window {:.2}; \
                     {:.1} messages and {:.0} bytes a second and instance",
                    wrong_refusal_ratio(&fleet),
                    stats.max_window_fill,
                    stats.messages as f64 / 4.0 / size as f64,
                    stats.bytes as f64 / 4.0 / size as f64,
                );
                wrong_refusal_ratio(&fleet)
            });
            expect_that!(pooled, le(even), "{size} instances, {burst}");
        }
    }
}
