//! Simulates fleets whose instances exchange proofs of freshness while keys are revoked: no key works for longer
//! than the bound after its revocation, and few requests are refused for lack of a proof.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use googletest::prelude::*;
use ploverwick_names::Moment;
use ploverwick_topics::freshness::{Action, Freshness, Proof};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The time within which a revoked key must stop working.
const REVOCATION_BOUND_MS: u64 = 5_000;
/// The share of the bound for which a proof is trusted.
const TRUSTED_SHARE: f64 = 0.97;
const DOMAINS: usize = 3;
/// The maximum share of requests that are refused for lack of a proof in a fleet without faults.
const MAX_REFUSED_SHARE: f64 = 0.001;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request for a proof arrives at an instance.
    Asked {
        to: usize,
        from: usize,
        incarnation: u64,
        at: u64,
    },
    /// An answer arrives at the instance that asked.
    Answered {
        to: usize,
        incarnation: u64,
        at: u64,
        end: u64,
        age: u64,
    },
    /// The store answers a read; `at` is the start of the read on the reader's clock.
    Read {
        to: usize,
        incarnation: u64,
        at: u64,
        end: u64,
        is_proof: bool,
    },
    /// A peer relays a record.
    Relayed { to: usize, end: u64 },
}

#[derive(Debug, Default)]
struct Instance {
    freshness: Freshness,
    next: u64,
    started_at: u64,
    incarnation: u64,
    down_until: u64,
    frozen_until: u64,
    partitioned_until: u64,
    /// Since when it has known that records are missing.
    behind_since: Option<u64>,
}

/// The state of the simulated store.
#[derive(Debug, Clone, Copy, Default)]
struct Store {
    is_down: bool,
    /// The latency of an answer.
    latency_ms: u64,
    /// The share of answers that are lost.
    loss: f64,
}

/// Injects a fault.
type Fault = fn(&mut Fleet);

struct Fleet {
    now: u64,
    random: StdRng,
    instances: Vec<Instance>,
    store: Store,
    /// When each key was revoked; record `n` revokes key `n`.
    revoked: Vec<u64>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sent: u64,
    loss: f64,
    requests: u64,
    refused: u64,
    reads: u64,
    violations: u64,
}

impl Fleet {
    fn new(size: usize, seed: u64) -> Self {
        Self {
            now: 0,
            random: StdRng::seed_from_u64(seed),
            instances: (0..size).map(|_| Instance::default()).collect(),
            store: Store {
                latency_ms: 4,
                ..Store::default()
            },
            revoked: Vec::new(),
            events: BinaryHeap::new(),
            sent: 0,
            loss: 0.002,
            requests: 0,
            refused: 0,
            reads: 0,
            violations: 0,
        }
    }

    fn is_up(&self, index: usize) -> bool {
        let instance = &self.instances[index];
        instance.down_until <= self.now && instance.frozen_until <= self.now
    }

    fn kill(&mut self, index: usize, duration_ms: u64) {
        let back = self.now + duration_ms;
        let incarnation = self.instances[index].incarnation + 1;
        self.instances[index] = Instance {
            started_at: back,
            down_until: back,
            incarnation,
            ..Instance::default()
        };
    }

    /// Revokes a key. Readers receive the record first and relay it to the others; some messages are lost.
    fn revoke(&mut self) {
        self.revoked.push(self.now);
        let end = self.revoked.len() as u64;
        for to in 0..self.instances.len() {
            let is_reader = to < DOMAINS * 2;
            let is_lost = self.random.random::<f64>() < 0.1;
            let reaches = self.instances[to].partitioned_until <= self.now && !self.store.is_down;
            if reaches && !is_lost {
                let delay = if is_reader {
                    self.store.latency_ms
                } else {
                    self.store.latency_ms + 3
                };
                self.schedule(delay, Event::Relayed { to, end });
            }
        }
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.sent += 1;
        self.events
            .push(Reverse((self.now + delay, self.sent, event)));
    }

    fn run(&mut self, duration_ms: u64) {
        let until = self.now + duration_ms;
        while self.now < until {
            self.now += 5;
            self.deliver();
            for index in 0..self.instances.len() {
                if self.is_up(index) {
                    self.step(index);
                    self.send_request(index);
                }
            }
        }
    }

    /// Sends a request with each recently revoked key.
    fn send_request(&mut self, index: usize) {
        if self.random.random::<f64>() > 0.05 {
            return;
        }
        let instance = &self.instances[index];
        let now = Moment(self.now - instance.started_at);
        let bound = Duration::from_millis(REVOCATION_BOUND_MS).mul_f64(TRUSTED_SHARE);
        let is_fresh = instance.freshness.age(now).is_some_and(|age| age < bound);
        self.requests += 1;
        if !is_fresh {
            self.refused += 1;
            return;
        }
        let unknown = self.revoked.iter().skip(instance.next as usize);
        if unknown
            .into_iter()
            .any(|at| self.now - at > REVOCATION_BOUND_MS)
        {
            self.violations += 1;
        }
    }

    fn step(&mut self, index: usize) {
        let now = Moment(self.now - self.instances[index].started_at);
        let rank = index / DOMAINS;
        let bound = Duration::from_millis(REVOCATION_BOUND_MS);
        match self.instances[index]
            .freshness
            .next_action(rank, bound, now)
        {
            Action::Idle { .. } => {}
            Action::ReadStore => {
                self.instances[index].freshness.record_read(now);
                self.read(index, true);
            }
            action @ (Action::AskDomain | Action::AskAllDomains) => {
                self.instances[index].freshness.record_ask(now);
                for to in 0..DOMAINS * 2 {
                    let is_near = to % DOMAINS == index % DOMAINS;
                    if to != index && (is_near || action == Action::AskAllDomains) {
                        self.ask(index, to, now.0);
                    }
                }
            }
        }
        self.catch_up(index);
    }

    /// Reads missing records after a delay.
    fn catch_up(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        if instance
            .behind_since
            .is_some_and(|since| self.now >= since + 500)
        {
            instance.behind_since = Some(self.now);
            self.read(index, false);
        }
    }

    fn read(&mut self, index: usize, is_proof: bool) {
        self.reads += 1;
        let instance = &self.instances[index];
        let is_lost = self.random.random::<f64>() < self.store.loss;
        if self.store.is_down || is_lost || instance.partitioned_until > self.now {
            return;
        }
        let event = Event::Read {
            to: index,
            incarnation: instance.incarnation,
            at: self.now - instance.started_at,
            // The read finds every record acknowledged by now; later ones may or may not be found.
            end: self.revoked.len() as u64,
            is_proof,
        };
        self.schedule(self.store.latency_ms, event);
    }

    fn ask(&mut self, from: usize, to: usize, at: u64) {
        let incarnation = self.instances[from].incarnation;
        let event = Event::Asked {
            to,
            from,
            incarnation,
            at,
        };
        self.send(from, to, event);
    }

    fn send(&mut self, from: usize, to: usize, event: Event) {
        let is_partitioned = [from, to]
            .iter()
            .any(|n| self.instances[*n].partitioned_until > self.now);
        if !is_partitioned && self.random.random::<f64>() >= self.loss {
            let delay = self.random.random_range(1..5);
            self.schedule(delay, event);
        }
    }

    fn deliver(&mut self) {
        while self
            .events
            .peek()
            .is_some_and(|Reverse((at, ..))| *at <= self.now)
        {
            let Some(Reverse((_, _, event))) = self.events.pop() else {
                return;
            };
            let (Event::Asked { to, .. }
            | Event::Answered { to, .. }
            | Event::Read { to, .. }
            | Event::Relayed { to, .. }) = event;
            let frozen_until = self.instances[to].frozen_until;
            if frozen_until > self.now {
                // The event waits in the socket buffer of the frozen instance.
                self.schedule(frozen_until - self.now, event);
            } else if self.instances[to].down_until <= self.now {
                self.handle(event);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Asked {
                to,
                from,
                incarnation,
                at,
            } => {
                let instance = &self.instances[to];
                let now = Moment(self.now - instance.started_at);
                if let Some(proven) = instance.freshness.proof() {
                    let age = proven.age(now).as_millis() as u64;
                    let end = proven.end.offset;
                    let answer = Event::Answered {
                        to: from,
                        incarnation,
                        at,
                        end,
                        age,
                    };
                    self.send(to, from, answer);
                }
            }
            Event::Answered {
                to,
                incarnation,
                at,
                end,
                age,
            } => {
                let instance = &mut self.instances[to];
                if instance.incarnation == incarnation {
                    let age = Duration::from_millis(age);
                    instance
                        .freshness
                        .add_proof(Proof::with_age(end.into(), Moment(at), age));
                    instance.observe_end(end, self.now);
                }
            }
            Event::Read {
                to,
                incarnation,
                at,
                end,
                is_proof,
            } => {
                let instance = &mut self.instances[to];
                if instance.incarnation != incarnation {
                    return;
                }
                instance.freshness.record_answer();
                instance
                    .freshness
                    .add_proof(Proof::new(end.into(), Moment(at)));
                if is_proof && instance.next < end {
                    instance.observe_end(end, self.now);
                } else {
                    instance.advance(end);
                }
            }
            Event::Relayed { to, end } => {
                let instance = &mut self.instances[to];
                if instance.next + 1 == end {
                    instance.advance(end);
                } else {
                    instance.observe_end(end, self.now);
                }
            }
        }
    }

    fn refused_share(&self) -> f64 {
        self.refused as f64 / self.requests as f64
    }

    fn reset_counts(&mut self) {
        (self.requests, self.refused) = (0, 0);
    }
}

impl Instance {
    fn advance(&mut self, end: u64) {
        self.next = self.next.max(end);
        self.behind_since = None;
        self.freshness.advance(self.next.into());
    }

    fn observe_end(&mut self, end: u64, now: u64) {
        if self.next < end {
            self.behind_since.get_or_insert(now);
        }
    }
}

fn warmed_up_fleet(size: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(size, seed);
    fleet.run(2_000);
    fleet.reset_counts();
    fleet
}

/// Without faults almost no request is refused, and calls grow only with the failure domains.
#[gtest]
fn healthy_fleet_refuses_few() {
    for size in [6, 74, 330] {
        let mut fleet = warmed_up_fleet(size, 1);
        let before = fleet.reads;
        for _ in 0..6 {
            fleet.revoke();
            fleet.run(1_500);
        }
        expect_that!(fleet.refused_share(), lt(MAX_REFUSED_SHARE), "{size}");
        expect_that!(fleet.violations, eq(0));
        let missed = fleet.instances.len() as u64;
        // One read a second per domain, and a tenth of the instances read each record that they missed.
        expect_that!(
            fleet.reads - before,
            lt(9 * DOMAINS as u64 * 2 + missed),
            "{size}"
        );
    }
}

/// Reports the share of refused requests by cause; run with `--nocapture` to see the table.
#[gtest]
fn refusals_by_cause() {
    let causes: [(&str, Fault); 6] = [
        ("quiet", |_| {}),
        ("slow store", |fleet| fleet.store.latency_ms = 240),
        ("a third of answers lost", |fleet| fleet.store.loss = 0.35),
        ("outage of 5 s", |fleet| fleet.store.is_down = true),
        ("a sixth cut off", |fleet| {
            let until = fleet.now + 5_500;
            for instance in fleet.instances.iter_mut().step_by(6) {
                instance.partitioned_until = until;
            }
        }),
        ("all killed", |fleet| {
            (0..fleet.instances.len()).for_each(|index| fleet.kill(index, 1_000));
        }),
    ];
    for (cause, inject) in causes {
        let mut fleet = warmed_up_fleet(74, 2);
        inject(&mut fleet);
        for _ in 0..5 {
            fleet.revoke();
            fleet.run(1_000);
        }
        fleet.store = Store {
            latency_ms: 4,
            ..Store::default()
        };
        fleet.run(4_000);
        println!(
            "{cause}: {:.4} refused of {}",
            fleet.refused_share(),
            fleet.requests
        );
        expect_that!(fleet.violations, eq(0), "{cause}");
    }
}

/// Under any sequence of overlapping faults, no key works for longer than the bound after its revocation.
#[gtest]
fn revocation_bound_holds() {
    for seed in 0..30 {
        let size = [6, 20, 74][seed as usize % 3];
        let mut random = StdRng::seed_from_u64(seed);
        let mut fleet = warmed_up_fleet(size, seed);
        for _ in 0..14 {
            let many = random.random_range(1..=size);
            let duration_ms = random.random_range(200..7_000);
            match random.random_range(0..7) {
                0 => (0..size).for_each(|index| fleet.kill(index, 1_000)),
                1 => (0..many).for_each(|index| fleet.kill(index, duration_ms)),
                2 => (0..many)
                    .for_each(|n| fleet.instances[n].frozen_until = fleet.now + duration_ms),
                3 => (0..many)
                    .for_each(|n| fleet.instances[n].partitioned_until = fleet.now + duration_ms),
                4 => fleet.store.is_down = !fleet.store.is_down,
                5 => fleet.store.latency_ms = random.random_range(4..900),
                _ => fleet.store.loss = random.random_range(0.0..0.6),
            }
            fleet.loss = random.random_range(0.0..0.3);
            fleet.revoke();
            fleet.run(random.random_range(100..3_000));
        }
        expect_that!(fleet.violations, eq(0), "seed {seed}");
    }
}
