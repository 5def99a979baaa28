//! Tests that the bound on retries holds over all instances while instances start, stop and join.
//!
//! Used budget is only kept in memory. A new process could therefore use a full share of the fixed allowance
//! again, and earn retries while those that its predecessor had used in advance were still in the window.
//! With a third of all requests refused, killing five of six instances led to 493 retries in ten seconds
//! where 464 were allowed; two rolling restarts had the same effect. Of 78 excess retries, 37 came from the
//! allowance and 41 from the earned part. First processes granted 338 retries and second ones 128, all of
//! them with a count of six instances.

use std::time::Duration;

use googletest::prelude::*;
use ploverwick_endpoints::{Budget, InstanceCount, RetryPolicy};
use ploverwick_names::Moment;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

const POLICY: RetryPolicy = RetryPolicy {
    ratio: 0.2,
    allowance: 52.0,
    window: Duration::from_secs(10),
};
/// The time step of the simulation.
const STEP_MS: u64 = 10;
/// Requests per step over all instances, and retries that each request attempts.
const REQUESTS_PER_STEP: usize = 2;
const RETRIES_PER_REQUEST: usize = 2;
/// The time between the end of a process and the start of the next one.
const DOWNTIME_MS: u64 = 600;

/// The state of one process of an instance.
struct Process {
    budget: Budget,
    instance_count: InstanceCount,
}

/// An event that affects instances.
#[derive(Clone, Copy)]
enum Event {
    /// The process is killed, and the instance restarts.
    Kill(usize),
    /// The instance shuts down gracefully, which removes it from the list, and restarts.
    Stop(usize),
    /// This number of new instances join.
    Join(usize),
}

/// Simulated instances that serve requests in turn, and the times of their requests and retries.
struct Fleet {
    processes: Vec<Option<Process>>,
    restart_at: Vec<Option<u64>>,
    is_listed: Vec<bool>,
    requests: Vec<u64>,
    retries: Vec<u64>,
}

impl Fleet {
    fn new(instances: usize) -> Self {
        let mut fleet = Self {
            processes: Vec::new(),
            restart_at: Vec::new(),
            is_listed: Vec::new(),
            requests: Vec::new(),
            retries: Vec::new(),
        };
        for _ in 0..instances {
            fleet.add();
        }
        fleet.record_instance_count(0);
        fleet
    }

    fn add(&mut self) {
        self.processes.push(Some(Process {
            budget: Budget::default(),
            instance_count: InstanceCount::default(),
        }));
        self.restart_at.push(None);
        self.is_listed.push(true);
    }

    /// Records the number of listed instances on all processes.
    fn record_instance_count(&mut self, at: u64) {
        let listed = self.is_listed.iter().filter(|listed| **listed).count();
        for process in self.processes.iter_mut().flatten() {
            process.instance_count.record(listed, POLICY, Moment(at));
        }
    }

    fn apply(&mut self, event: Event, at: u64) {
        match event {
            Event::Kill(index) => {
                self.processes[index] = None;
                self.restart_at[index] = Some(at + DOWNTIME_MS);
            }
            Event::Stop(index) => {
                self.processes[index] = None;
                self.is_listed[index] = false;
                self.restart_at[index] = Some(at + DOWNTIME_MS);
            }
            Event::Join(count) => (0..count).for_each(|_| self.add()),
        }
        self.record_instance_count(at);
    }

    fn restart_due(&mut self, at: u64) {
        for index in 0..self.processes.len() {
            if self.restart_at[index].is_some_and(|due| due <= at) {
                self.restart_at[index] = None;
                self.is_listed[index] = true;
                self.processes[index] = Some(Process {
                    budget: Budget::default(),
                    instance_count: InstanceCount::default(),
                });
                self.record_instance_count(at);
            }
        }
    }

    /// Serves the requests of one step on the running instances. Each request attempts `retries_wanted` retries.
    fn serve(&mut self, retries_wanted: usize, at: u64) {
        let now = Moment(at);
        let mut running: Vec<&mut Process> = self.processes.iter_mut().flatten().collect();
        let count = running.len();
        if count == 0 {
            return;
        }
        for number in 0..REQUESTS_PER_STEP {
            let turn = usize::try_from(at / STEP_MS).expect("a simulation is short")
                * REQUESTS_PER_STEP
                + number;
            let process = &mut *running[turn % count];
            process.budget.record_request(POLICY, now);
            self.requests.push(at);
            for _ in 0..retries_wanted {
                let balance = process
                    .budget
                    .try_retry(POLICY, &process.instance_count, now);
                if balance.allows_retry() {
                    self.retries.push(at);
                }
            }
        }
    }

    /// Runs the simulation with the given events. Requests attempt retries from `failures_from` on.
    fn run(&mut self, events: &[(u64, Event)], failures_from: u64, end: u64) {
        let mut events = events.iter().peekable();
        for at in (0..end).step_by(usize::try_from(STEP_MS).expect("a step is short")) {
            self.restart_due(at);
            while let Some((_, event)) = events.next_if(|(when, _)| *when <= at) {
                self.apply(*event, at);
            }
            let retries_wanted = if at < failures_from {
                0
            } else {
                RETRIES_PER_REQUEST
            };
            self.serve(retries_wanted, at);
        }
    }

    /// Returns the largest amount by which retries exceed the bound in any window.
    fn excess(&self) -> f64 {
        let window = u64::try_from(POLICY.window.as_millis()).expect("a window is short");
        let count = |list: &[u64], from: u64| {
            let begin = list.partition_point(|at| *at < from);
            let end = list.partition_point(|at| *at < from + window);
            (end - begin) as f64
        };
        let last = self.requests.last().copied().unwrap_or_default();
        let starts = (0..=last.saturating_sub(window)).step_by(50);
        let excess = starts.map(|from| {
            let allowed = POLICY.ratio * count(&self.requests, from) + POLICY.allowance;
            count(&self.retries, from) - allowed
        });
        excess.fold(f64::MIN, f64::max)
    }
}

#[googletest::test]
fn kills_stay_within_bound() {
    let mut fleet = Fleet::new(6);
    let kills = [15_000, 20_000, 25_000, 30_000];
    let events: Vec<_> = kills
        .into_iter()
        .flat_map(|at| (0..5).map(move |index| (at, Event::Kill(index))))
        .collect();
    fleet.run(&events, 12_000, 45_000);
    expect_that!(fleet.excess(), le(0.0));
}

#[googletest::test]
fn rolling_restart_stays_within_bound() {
    let mut fleet = Fleet::new(6);
    let stops = (0..12_usize).map(|turn| (14_000 + 2_000 * turn as u64 / 2, Event::Stop(turn % 6)));
    let events: Vec<_> = stops.collect();
    fleet.run(&events, 12_000, 45_000);
    expect_that!(fleet.excess(), le(0.0));
}

#[googletest::test]
fn joins_stay_within_bound() {
    let mut fleet = Fleet::new(6);
    fleet.run(&[(18_000, Event::Join(6))], 12_000, 45_000);
    expect_that!(fleet.excess(), le(0.0));
}

/// Tests random kills, stops and joins from fixed seeds.
#[googletest::test]
fn random_events_stay_within_bound() {
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
        fleet.run(&events, 12_000, 50_000);
        expect_that!(fleet.excess(), le(0.0), "seed {seed}");
    }
}

/// Guards against a budget that is much stricter than the bound when no instance restarts.
#[googletest::test]
fn undisturbed_fleet_uses_most_of_bound() {
    let mut fleet = Fleet::new(6);
    fleet.run(&[], 12_000, 45_000);
    let in_window = fleet
        .retries
        .iter()
        .filter(|at| (25_000..35_000).contains(*at));
    let allowed = POLICY.ratio * 2_000.0 + POLICY.allowance;
    expect_that!(in_window.count() as f64, ge(0.8 * allowed));
    expect_that!(fleet.excess(), le(0.0));
}
