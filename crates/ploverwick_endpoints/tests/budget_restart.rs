//! The bound on repeats holds over the fleet whatever starts, stops and joins meanwhile.
//!
//! Seen: 493 repeats in ten seconds where 464 were allowed, after five of six instances had been killed;
//! two rolling restarts sufficed. It came about while a third of all requests were refused by their
//! endpoints, so that every instance spent what it had. The cause: a budget lived in the memory of one
//! process. A process that ended forgot what it had spent, and the next one began with a whole part of
//! the fixed allowance (37 of 78 repeats too many) and earned repeats from its own requests while
//! those that its predecessor had spent in advance were still in the window (41 of 78). The log lines of
//! each repeat proved it: 338 granted by first lives, 128 by second ones, by processes that all knew of
//! six instances.

use std::time::Duration;

use googletest::prelude::*;
use ploverwick_endpoints::{Budget, InstanceCount, RetryPolicy};
use ploverwick_names::Moment;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

const RATE: RetryPolicy = RetryPolicy {
    ratio: 0.2,
    allowance: 52.0,
    window: Duration::from_secs(10),
};
/// Milliseconds between two steps of the play.
const STEP: u64 = 10;
/// Requests in a step over the fleet, and how many of them want a repeat.
const REQUESTS: usize = 2;
const WANTED: usize = 2;
/// How long a process is gone before the next one serves.
const GONE_MS: u64 = 600;

/// One process of an instance; `None` while there is none.
struct Life {
    budget: Budget,
    instance_count: InstanceCount,
}

/// What happens to an instance.
#[derive(Clone, Copy)]
enum Event {
    /// Its process ends at once; another follows.
    Kill(usize),
    /// It stops in order, so that the others no longer list it; another process follows.
    Stop(usize),
    /// It is new.
    Join(usize),
}

/// Instances that take turns in serving, and what they did.
struct Fleet {
    lives: Vec<Option<Life>>,
    back_at: Vec<Option<u64>>,
    is_listed: Vec<bool>,
    requests: Vec<u64>,
    repeats: Vec<u64>,
}

impl Fleet {
    fn new(instances: usize) -> Self {
        let mut fleet = Self {
            lives: Vec::new(),
            back_at: Vec::new(),
            is_listed: Vec::new(),
            requests: Vec::new(),
            repeats: Vec::new(),
        };
        for _ in 0..instances {
            fleet.add();
        }
        fleet.hear(0);
        fleet
    }

    fn add(&mut self) {
        self.lives.push(Some(Life {
            budget: Budget::default(),
            instance_count: InstanceCount::default(),
        }));
        self.back_at.push(None);
        self.is_listed.push(true);
    }

    /// All processes hear how many instances are listed.
    fn hear(&mut self, at: u64) {
        let listed = self.is_listed.iter().filter(|listed| **listed).count();
        for life in self.lives.iter_mut().flatten() {
            life.instance_count.record(listed, RATE, Moment(at));
        }
    }

    fn happen(&mut self, event: Event, at: u64) {
        match event {
            Event::Kill(index) => {
                self.lives[index] = None;
                self.back_at[index] = Some(at + GONE_MS);
            }
            Event::Stop(index) => {
                self.lives[index] = None;
                self.is_listed[index] = false;
                self.back_at[index] = Some(at + GONE_MS);
            }
            Event::Join(count) => (0..count).for_each(|_| self.add()),
        }
        self.hear(at);
    }

    fn come_back(&mut self, at: u64) {
        for index in 0..self.lives.len() {
            if self.back_at[index].is_some_and(|back| back <= at) {
                self.back_at[index] = None;
                self.is_listed[index] = true;
                self.lives[index] = Some(Life {
                    budget: Budget::default(),
                    instance_count: InstanceCount::default(),
                });
                self.hear(at);
            }
        }
    }

    /// Serves the requests of a step at those that run; each wants `wanted` repeats.
    fn serve(&mut self, wanted: usize, at: u64) {
        let now = Moment(at);
        let mut running: Vec<&mut Life> = self.lives.iter_mut().flatten().collect();
        let count = running.len();
        if count == 0 {
            return;
        }
        for number in 0..REQUESTS {
            let turn = usize::try_from(at / STEP).expect("a play is short") * REQUESTS + number;
            let life = &mut *running[turn % count];
            life.budget.record_request(now);
            self.requests.push(at);
            for _ in 0..wanted {
                let balance = life.budget.try_retry(RATE, &life.instance_count, now);
                if balance.allows_retry() {
                    self.repeats.push(at);
                }
            }
        }
    }

    /// Plays events; from `trouble_at` on repeats are wanted.
    fn play(&mut self, events: &[(u64, Event)], trouble_at: u64, end: u64) {
        let mut events = events.iter().peekable();
        for at in (0..end).step_by(usize::try_from(STEP).expect("a step is short")) {
            self.come_back(at);
            while let Some((_, event)) = events.next_if(|(when, _)| *when <= at) {
                self.happen(*event, at);
            }
            let wanted = if at < trouble_at { 0 } else { WANTED };
            self.serve(wanted, at);
        }
    }

    /// Returns the most by which repeats exceed the bound in any window.
    fn excess(&self) -> f64 {
        let window = u64::try_from(RATE.window.as_millis()).expect("a window is short");
        let count = |list: &[u64], from: u64| {
            let begin = list.partition_point(|at| *at < from);
            let end = list.partition_point(|at| *at < from + window);
            (end - begin) as f64
        };
        let last = self.requests.last().copied().unwrap_or_default();
        let starts = (0..=last.saturating_sub(window)).step_by(50);
        let excess = starts.map(|from| {
            let allowed = RATE.ratio * count(&self.requests, from) + RATE.allowance;
            count(&self.repeats, from) - allowed
        });
        excess.fold(f64::MIN, f64::max)
    }
}

#[googletest::test]
fn kills_keep_bound() {
    let mut fleet = Fleet::new(6);
    let kills = [15_000, 20_000, 25_000, 30_000];
    let events: Vec<_> = kills
        .into_iter()
        .flat_map(|at| (0..5).map(move |index| (at, Event::Kill(index))))
        .collect();
    fleet.play(&events, 12_000, 45_000);
    expect_that!(fleet.excess(), le(0.0));
}

#[googletest::test]
fn rolling_restart_keeps_bound() {
    let mut fleet = Fleet::new(6);
    let stops = (0..12_usize).map(|turn| (14_000 + 2_000 * turn as u64 / 2, Event::Stop(turn % 6)));
    let events: Vec<_> = stops.collect();
    fleet.play(&events, 12_000, 45_000);
    expect_that!(fleet.excess(), le(0.0));
}

#[googletest::test]
fn newcomers_keep_bound() {
    let mut fleet = Fleet::new(6);
    fleet.play(&[(18_000, Event::Join(6))], 12_000, 45_000);
    expect_that!(fleet.excess(), le(0.0));
}

/// Any series of kills, stops and joins, drawn from fixed seeds.
#[googletest::test]
fn any_series_keeps_bound() {
    for seed in 0..40 {
        let mut random = StdRng::seed_from_u64(seed);
        let instances = random.random_range(2..9);
        let mut fleet = Fleet::new(instances);
        let mut events = Vec::new();
        for _ in 0..random.random_range(1..30) {
            let at = random.random_range(5_000..40_000);
            let index = random.random_range(0..instances);
            let event = match random.random_range(0..9) {
                0..5 => Event::Kill(index),
                5..8 => Event::Stop(index),
                _ => Event::Join(1),
            };
            events.push((at, event));
        }
        events.sort_by_key(|(at, _)| *at);
        fleet.play(&events, 12_000, 50_000);
        expect_that!(fleet.excess(), le(0.0), "seed {seed}");
    }
}

/// Where nothing starts, nearly all that the bound allows is granted.
#[googletest::test]
fn calm_fleet_spends_share() {
    let mut fleet = Fleet::new(6);
    fleet.play(&[], 12_000, 45_000);
    let in_window = fleet
        .repeats
        .iter()
        .filter(|at| (25_000..35_000).contains(*at));
    let allowed = RATE.ratio * 2_000.0 + RATE.allowance;
    expect_that!(in_window.count() as f64, ge(0.8 * allowed));
    expect_that!(fleet.excess(), le(0.0));
}
