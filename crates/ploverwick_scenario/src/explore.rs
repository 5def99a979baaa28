//! Generated histories: random steps and faults, with the promises checked after each.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};

use crate::{claims, owners, table};

const ADAPTERS: [&str; 4] = ["a", "b", "c", "d"];
const DAEMONS: usize = 3;
const KEYS: [&str; 3] = ["k1", "k2", "k3"];

/// What a history came to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Explored {
    /// The steps taken.
    pub steps: u64,
    /// The faults among them.
    pub faults: u64,
    /// The promises broken.
    pub violations: Vec<String>,
    /// The events, if a promise was broken.
    pub events: Vec<String>,
}

impl Explored {
    fn finish(&mut self, violations: &[String], events: Vec<String>) {
        if !violations.is_empty() {
            self.violations = violations.to_vec();
            self.events = events;
        }
    }
}

/// Explores a history of ownership.
pub fn owners(seed: u64, steps: u64, off: owners::Off) -> Explored {
    let mut random = StdRng::seed_from_u64(seed);
    let mut world = owners::World::new(owners::Plan {
        daemons: DAEMONS,
        checks_tokens: random.random(),
        slots: random.random_range(1..=2),
        off,
    });
    let mut explored = Explored::default();
    let mut requests = 0_u64;
    for _ in 0..steps {
        explored.steps += 1;
        let fault = random.random_bool(0.25);
        if fault {
            explored.faults += 1;
            owners_fault(&mut world, &mut random);
        } else {
            owners_step(&mut world, &mut random, &mut requests);
        }
        if !world.violations().is_empty() {
            break;
        }
    }
    let events = world.take_events();
    explored.finish(world.violations(), events);
    explored
}

fn owners_step(world: &mut owners::World, random: &mut impl Rng, requests: &mut u64) {
    match random.random_range(0..24) {
        0..=7 => {
            let owners = world.owners();
            if !owners.is_empty() {
                *requests += 1;
                let owner = owners[random.random_range(0..owners.len())];
                let adapter = ADAPTERS[random.random_range(0..ADAPTERS.len())];
                world.submit(owner, &format!("r{requests}"), adapter);
            }
        }
        8..=12 => {
            let running = world.running();
            if !running.is_empty() {
                let request = running[random.random_range(0..running.len())].clone();
                world.finish(request.as_str());
            }
        }
        13 => world.want(random.random_range(0..DAEMONS)),
        14..=16 => world.turn(random.random_range(0..DAEMONS)),
        _ => world.tick([1, 1, 5, 20, 200, 1100, 2500][random.random_range(0..7)]),
    }
}

fn owners_fault(world: &mut owners::World, random: &mut impl Rng) {
    let daemon = random.random_range(0..DAEMONS);
    let on = random.random_bool(0.4);
    match random.random_range(0..16) {
        0..=1 => world.set_paused(daemon, on),
        2..=4 => world.set_held(daemon, on),
        5 => stall_owner(world, random),
        6 => recover(world, daemon),
        7..=8 => world.set_cut(daemon, on),
        9 => world.set_deaf(daemon, random.random_bool(0.2)),
        10 => world.set_log_out(random.random_bool(0.1)),
        11 => world.lose_appends(1),
        12..=13 => world.set_silent(daemon, on),
        14 if random.random_bool(0.5) => world.kill(daemon),
        15 if random.random_bool(0.3) => world.restart_engine(),
        _ => world.deliver_dead(),
    }
}

/// Stalls an owner: what it sends stays on its way, peers count it as gone, and another daemon is
/// to take over.
fn stall_owner(world: &mut owners::World, random: &mut impl Rng) {
    let owners = world.owners();
    if owners.is_empty() {
        return;
    }
    let owner = owners[random.random_range(0..owners.len())];
    world.set_held(owner, true);
    world.set_silent(owner, true);
    world.want((owner + 1) % DAEMONS);
}

/// Lets a daemon be heard again, and what it sent arrive.
fn recover(world: &mut owners::World, daemon: usize) {
    world.set_held(daemon, false);
    world.set_silent(daemon, false);
}

/// Explores a history of claims.
pub fn claims(seed: u64, steps: u64, off: claims::Off) -> Explored {
    const SCRIBES: usize = 3;
    let mut random = StdRng::seed_from_u64(seed);
    let mut world = claims::World::new(SCRIBES, off);
    let mut explored = Explored::default();
    let mut requests = 0_u64;
    for _ in 0..steps {
        explored.steps += 1;
        let scribe = random.random_range(0..SCRIBES);
        match random.random_range(0..12) {
            0..=2 => {
                requests += 1;
                let key = KEYS[random.random_range(0..KEYS.len())];
                let entry = random.random_range(1..=4);
                world.ask(entry, &format!("r{requests}"), key, scribe, Duration::ZERO);
            }
            3..=5 => world.append(scribe, fate(&mut random, &mut explored)),
            6..=8 => world.read(scribe, random.random_range(1..=5)),
            9 => world.tick([5, 30, 2500][random.random_range(0..3)]),
            10 if requests > 0 => {
                let request = random.random_range(1..=requests);
                world.forfeit(&format!("r{request}"), scribe);
            }
            _ => {
                explored.faults += 1;
                if random.random() {
                    world.restart_scribe(scribe);
                } else {
                    world.kill_entry(random.random_range(1..=4));
                }
            }
        }
        if !world.violations().is_empty() {
            break;
        }
    }
    let events = world.take_events();
    explored.finish(world.violations(), events);
    explored
}

fn fate(random: &mut impl Rng, explored: &mut Explored) -> claims::Fate {
    let fate = match random.random_range(0..10) {
        0 => claims::Fate::AnswerLost,
        1 => claims::Fate::Refused,
        2 => claims::Fate::Vanished,
        _ => return claims::Fate::Confirmed,
    };
    explored.faults += 1;
    fate
}

/// Explores a history of the table.
pub fn table(seed: u64, steps: u64, off: table::Off) -> Explored {
    const READERS: usize = 4;
    let mut random = StdRng::seed_from_u64(seed);
    let mut world = table::World::new(READERS, off);
    let mut explored = Explored::default();
    let mut newest = 0;
    for _ in 0..steps {
        explored.steps += 1;
        let reader = random.random_range(0..READERS);
        match random.random_range(0..12) {
            0..=3 => {
                let row = ADAPTERS[random.random_range(0..ADAPTERS.len())];
                let base = random.random_range(0..=newest);
                newest = world.publish(base, row, random.random_range(1..100));
            }
            4..=7 => world.read(reader, random.random_range(1..=6)),
            8 => {
                world.snapshot(reader);
            }
            9 => world.fetch(reader, random.random_range(0..READERS)),
            10 => {
                explored.faults += 1;
                world.restart(reader);
            }
            _ => {
                explored.faults += 1;
                world.forget(random.random_range(1..=newest.max(1)));
            }
        }
        if !world.violations().is_empty() {
            break;
        }
    }
    let events = world.take_events();
    explored.finish(world.violations(), events);
    explored
}
