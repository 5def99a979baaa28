//! Randomized exploration: generates histories of random steps and faults from a seed and checks
//! the invariants after each step.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};

use crate::{claims, owners, table};

const ADAPTERS: [&str; 4] = ["a", "b", "c", "d"];
const DAEMONS: usize = 3;
const KEYS: [&str; 3] = ["k1", "k2", "k3"];

/// The result of exploring one history.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Exploration {
    /// The number of steps taken.
    pub steps: u64,
    /// The number of steps that injected a fault.
    pub faults: u64,
    /// The invariant violations.
    pub violations: Vec<String>,
    /// The events of the history, if an invariant was violated.
    pub events: Vec<String>,
}

impl Exploration {
    fn finish(&mut self, violations: &[String], events: Vec<String>) {
        if !violations.is_empty() {
            self.violations = violations.to_vec();
            self.events = events;
        }
    }
}

/// Explores one history of the ownership simulation.
pub fn owners(seed: u64, steps: u64, disabled: owners::Disabled) -> Exploration {
    let mut random = StdRng::seed_from_u64(seed);
    let mut simulation = owners::Simulation::new(owners::Setup {
        daemons: DAEMONS,
        checks_tokens: random.random(),
        slots: random.random_range(1..=2),
        disabled,
    });
    let mut exploration = Exploration::default();
    let mut requests = 0_u64;
    for _ in 0..steps {
        exploration.steps += 1;
        let fault = random.random_bool(0.25);
        if fault {
            exploration.faults += 1;
            owners_fault(&mut simulation, &mut random);
        } else {
            owners_step(&mut simulation, &mut random, &mut requests);
        }
        if !simulation.violations().is_empty() {
            break;
        }
    }
    let events = simulation.take_events();
    exploration.finish(simulation.violations(), events);
    exploration
}

fn owners_step(simulation: &mut owners::Simulation, random: &mut impl Rng, requests: &mut u64) {
    match random.random_range(0..24) {
        0..=7 => {
            let owners = simulation.owners();
            if !owners.is_empty() {
                *requests += 1;
                let owner = owners[random.random_range(0..owners.len())];
                let adapter = ADAPTERS[random.random_range(0..ADAPTERS.len())];
                simulation.submit(owner, &format!("r{requests}"), adapter);
            }
        }
        8..=12 => {
            let running = simulation.running();
            if !running.is_empty() {
                let request = running[random.random_range(0..running.len())].clone();
                simulation.finish(request.as_str());
            }
        }
        13 => simulation.set_desired_owner(random.random_range(0..DAEMONS)),
        14..=16 => simulation.turn(random.random_range(0..DAEMONS)),
        _ => simulation.tick([1, 1, 5, 20, 200, 1100, 2500][random.random_range(0..7)]),
    }
}

fn owners_fault(simulation: &mut owners::Simulation, random: &mut impl Rng) {
    let daemon = random.random_range(0..DAEMONS);
    let on = random.random_bool(0.4);
    match random.random_range(0..16) {
        0..=1 => simulation.set_paused(daemon, on),
        2..=4 => simulation.set_held(daemon, on),
        5 => stall_owner(simulation, random),
        6 => recover(simulation, daemon),
        7..=8 => simulation.set_log_partitioned(daemon, on),
        9 => simulation.set_responses_lost(daemon, random.random_bool(0.2)),
        10 => simulation.set_log_unavailable(random.random_bool(0.1)),
        11 => simulation.lose_appends(1),
        12..=13 => simulation.set_silent(daemon, on),
        14 if random.random_bool(0.5) => simulation.kill(daemon),
        15 if random.random_bool(0.3) => simulation.restart_engine(),
        _ => simulation.deliver_killed(),
    }
}

/// Stalls an owner: its messages are held back, its peers consider it dead, and another daemon
/// becomes the desired owner.
fn stall_owner(simulation: &mut owners::Simulation, random: &mut impl Rng) {
    let owners = simulation.owners();
    if owners.is_empty() {
        return;
    }
    let owner = owners[random.random_range(0..owners.len())];
    simulation.set_held(owner, true);
    simulation.set_silent(owner, true);
    simulation.set_desired_owner((owner + 1) % DAEMONS);
}

/// Ends a stall: the daemon is alive to its peers again, and its messages are delivered.
fn recover(simulation: &mut owners::Simulation, daemon: usize) {
    simulation.set_held(daemon, false);
    simulation.set_silent(daemon, false);
}

/// Explores one history of the claims simulation.
pub fn claims(seed: u64, steps: u64, disabled: claims::Disabled) -> Exploration {
    const SCRIBES: usize = 3;
    let mut random = StdRng::seed_from_u64(seed);
    let mut simulation = claims::Simulation::new(SCRIBES, disabled);
    let mut exploration = Exploration::default();
    let mut requests = 0_u64;
    for _ in 0..steps {
        exploration.steps += 1;
        let scribe = random.random_range(0..SCRIBES);
        match random.random_range(0..12) {
            0..=2 => {
                requests += 1;
                let key = KEYS[random.random_range(0..KEYS.len())];
                let entry = random.random_range(1..=4);
                simulation.ask(entry, &format!("r{requests}"), key, scribe, Duration::ZERO);
            }
            3..=5 => simulation.append(scribe, append_outcome(&mut random, &mut exploration)),
            6..=8 => simulation.read(scribe, random.random_range(1..=5)),
            9 => simulation.tick([5, 30, 2500][random.random_range(0..3)]),
            10 if requests > 0 => {
                let request = random.random_range(1..=requests);
                simulation.forfeit(&format!("r{request}"), scribe);
            }
            _ => {
                exploration.faults += 1;
                if random.random() {
                    simulation.restart_scribe(scribe);
                } else {
                    simulation.kill_entry(random.random_range(1..=4));
                }
            }
        }
        if !simulation.violations().is_empty() {
            break;
        }
    }
    let events = simulation.take_events();
    exploration.finish(simulation.violations(), events);
    exploration
}

fn append_outcome(random: &mut impl Rng, exploration: &mut Exploration) -> claims::AppendOutcome {
    let append_outcome = match random.random_range(0..10) {
        0 => claims::AppendOutcome::AnswerLost,
        1 => claims::AppendOutcome::Refused,
        2 => claims::AppendOutcome::Vanished,
        _ => return claims::AppendOutcome::Confirmed,
    };
    exploration.faults += 1;
    append_outcome
}

/// Explores one history of the table simulation.
pub fn table(seed: u64, steps: u64, disabled: table::Disabled) -> Exploration {
    const READERS: usize = 4;
    let mut random = StdRng::seed_from_u64(seed);
    let mut simulation = table::Simulation::new(READERS, disabled);
    let mut exploration = Exploration::default();
    let mut newest = 0;
    for _ in 0..steps {
        exploration.steps += 1;
        let reader = random.random_range(0..READERS);
        match random.random_range(0..12) {
            0..=3 => {
                let row = ADAPTERS[random.random_range(0..ADAPTERS.len())];
                let base = random.random_range(0..=newest);
                newest = simulation.publish(base, row, random.random_range(1..100));
            }
            4..=7 => simulation.read(reader, random.random_range(1..=6)),
            8 => {
                simulation.snapshot(reader);
            }
            9 => simulation.fetch(reader, random.random_range(0..READERS)),
            10 => {
                exploration.faults += 1;
                simulation.restart(reader);
            }
            _ => {
                exploration.faults += 1;
                simulation.forget(random.random_range(1..=newest.max(1)));
            }
        }
        if !simulation.violations().is_empty() {
            break;
        }
    }
    let events = simulation.take_events();
    exploration.finish(simulation.violations(), events);
    exploration
}
