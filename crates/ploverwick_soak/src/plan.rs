//! The disruptions of a run, drawn from a seed.

use std::time::Duration;

use ploverwick_platform_standin::faulty::{Fault, Kind};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

/// How long the disruptions of a run are drawn for, and its size.
#[derive(Debug, Clone, Copy)]
pub struct Scope {
    /// The seed.
    pub seed: u64,
    /// How long clients send requests.
    pub traffic: Duration,
    /// The number of gateways.
    pub gateways: usize,
    /// The number of endpoints.
    pub endpoints: usize,
}

/// A process of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// The gateway with this index.
    Gateway(usize),
    /// The endpoint with this index.
    Endpoint(usize),
}

/// A disruption.
#[derive(Debug, Clone, PartialEq)]
pub enum Disruption {
    /// The process is stopped by a signal and continued after this time.
    Pause(Target, Duration),
    /// The process is killed and started again after this time.
    Kill(Target, Duration),
    /// The gateway gets the signal to end, and is started again once it has.
    Restart(usize),
    /// The answers of the endpoint have faults for this time.
    Faults(usize, Vec<Fault>, Duration),
    /// The operator publishes the next version of the configuration.
    Configure,
    /// The store refuses all calls for this time.
    StoreOutage(Duration),
}

/// Disruptions with the time from the start of the traffic, in order.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Plan(pub Vec<(Duration, Disruption)>);

/// The longest time between two disruptions of a kind.
const MAX_GAP_MS: u64 = 2_500;
const PAUSES_MS: std::ops::Range<u64> = 50..1_500;
const DOWN_MS: std::ops::Range<u64> = 100..2_000;
const FAULTS_MS: std::ops::Range<u64> = 1_000..6_000;

impl Plan {
    /// Draws a plan. Series of pauses, ends and faults run beside each other, so that they overlap.
    pub fn draw(scope: Scope) -> Self {
        let mut random = SmallRng::seed_from_u64(scope.seed);
        let mut plan = Self::default();
        plan.draw_series(scope, &mut random, draw_pause);
        plan.draw_series(scope, &mut random, draw_end);
        plan.draw_series(scope, &mut random, draw_platform_change);
        for endpoint in 0..scope.endpoints {
            plan.draw_series(scope, &mut random, |_, random| {
                draw_faults(endpoint, random)
            });
        }
        plan.0.sort_by_key(|(at, _)| *at);
        plan
    }

    /// Draws a plan in which each endpoint has the given faults all the time.
    pub fn of_faults(scope: Scope, faults: &[Fault]) -> Self {
        let of_endpoint = |endpoint| Disruption::Faults(endpoint, faults.to_vec(), scope.traffic);
        let disruptions =
            (0..scope.endpoints).map(|endpoint| (Duration::ZERO, of_endpoint(endpoint)));
        Self(disruptions.collect())
    }

    fn draw_series(
        &mut self,
        scope: Scope,
        random: &mut SmallRng,
        mut draw: impl FnMut(Scope, &mut SmallRng) -> Disruption,
    ) {
        let mut at = Duration::ZERO;
        loop {
            at += Duration::from_millis(random.random_range(0..MAX_GAP_MS));
            if at >= scope.traffic {
                return;
            }
            self.0.push((at, draw(scope, random)));
        }
    }
}

fn draw_target(scope: Scope, random: &mut SmallRng) -> Target {
    if random.random() {
        Target::Gateway(random.random_range(0..scope.gateways))
    } else {
        Target::Endpoint(random.random_range(0..scope.endpoints))
    }
}

fn draw_pause(scope: Scope, random: &mut SmallRng) -> Disruption {
    let duration = Duration::from_millis(random.random_range(PAUSES_MS));
    Disruption::Pause(draw_target(scope, random), duration)
}

fn draw_end(scope: Scope, random: &mut SmallRng) -> Disruption {
    let down = Duration::from_millis(random.random_range(DOWN_MS));
    match draw_target(scope, random) {
        Target::Gateway(gateway) if random.random() => Disruption::Restart(gateway),
        target => Disruption::Kill(target, down),
    }
}

fn draw_platform_change(_: Scope, random: &mut SmallRng) -> Disruption {
    if random.random() {
        Disruption::Configure
    } else {
        Disruption::StoreOutage(Duration::from_millis(random.random_range(DOWN_MS)))
    }
}

fn draw_faults(endpoint: usize, random: &mut SmallRng) -> Disruption {
    let duration = Duration::from_millis(random.random_range(FAULTS_MS));
    let count = random.random_range(1..=3);
    let kinds = Kind::ALL.sample(random, count);
    let faults = kinds.map(|kind| Fault {
        kind: *kind,
        share: 0.5 * weight(*kind),
    });
    Disruption::Faults(endpoint, faults.collect(), duration)
}

/// Returns the weight of a kind: refusals are frequent on busy endpoints, broken answers are not.
fn weight(kind: Kind) -> f64 {
    match kind {
        Kind::Refusal | Kind::SecondAnswer | Kind::UnnamedSecondAnswer => 0.8,
        Kind::UnnamedRefusal | Kind::ForeignRefusal | Kind::EarlyAnswer => 0.3,
        Kind::Contradiction | Kind::Truncation | Kind::Garbage | Kind::Reset => 0.1,
    }
}
