//! Whole fleets that prove the age of what they know to each other, while keys are taken away: no key works
//! for longer than its bound, and few requests are refused for want of a proof.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use googletest::prelude::*;
use ploverwick_names::Moment;
use ploverwick_topics::freshness::{Action, Freshness, Proof};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The bound on keys that are taken away, in ms.
const BOUND: u64 = 5_000;
/// The part of it for which a proof counts.
const TRUSTED: f64 = 0.97;
const DOMAINS: usize = 3;
/// The part of requests that may be refused for want of a proof where nothing fails.
const REFUSED: f64 = 0.001;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A question reaches an instance.
    Asked {
        to: usize,
        from: usize,
        life: u64,
        at: u64,
    },
    /// An answer reaches the asker.
    Answered {
        to: usize,
        life: u64,
        at: u64,
        end: u64,
        age: u64,
    },
    /// The store answers a read that was asked for at a moment of the reader's clock.
    Read {
        to: usize,
        life: u64,
        at: u64,
        end: u64,
        is_proof: bool,
    },
    /// A peer tells a record.
    Told { to: usize, end: u64 },
}

#[derive(Debug, Default)]
struct Instance {
    freshness: Freshness,
    next: u64,
    began: u64,
    life: u64,
    down_until: u64,
    frozen_until: u64,
    cut_until: u64,
    /// Since when it knows that it is behind.
    behind: Option<u64>,
}

/// What fails at the store.
#[derive(Debug, Clone, Copy, Default)]
struct Store {
    away: bool,
    /// How long an answer takes, in ms.
    takes: u64,
    /// The part of answers that are lost.
    loses: f64,
}

/// Lets something fail.
type Fault = fn(&mut Fleet);

struct Fleet {
    now: u64,
    random: StdRng,
    instances: Vec<Instance>,
    store: Store,
    /// The moments at which keys were taken away; key `n` by record `n`.
    revoked: Vec<u64>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sent: u64,
    loss: f64,
    asked: u64,
    refused: u64,
    reads: u64,
    broken: u64,
}

impl Fleet {
    fn new(size: usize, seed: u64) -> Self {
        Self {
            now: 0,
            random: StdRng::seed_from_u64(seed),
            instances: (0..size).map(|_| Instance::default()).collect(),
            store: Store {
                takes: 4,
                ..Store::default()
            },
            revoked: Vec::new(),
            events: BinaryHeap::new(),
            sent: 0,
            loss: 0.002,
            asked: 0,
            refused: 0,
            reads: 0,
            broken: 0,
        }
    }

    fn is_up(&self, index: usize) -> bool {
        let instance = &self.instances[index];
        instance.down_until <= self.now && instance.frozen_until <= self.now
    }

    fn kill(&mut self, index: usize, for_ms: u64) {
        let back = self.now + for_ms;
        let life = self.instances[index].life + 1;
        self.instances[index] = Instance {
            began: back,
            down_until: back,
            life,
            ..Instance::default()
        };
    }

    /// Takes a key away; those who read hear at once, and tell the others, mostly.
    fn revoke(&mut self) {
        self.revoked.push(self.now);
        let end = self.revoked.len() as u64;
        for to in 0..self.instances.len() {
            let is_reader = to < DOMAINS * 2;
            let is_lost = self.random.random::<f64>() < 0.1;
            let reaches = self.instances[to].cut_until <= self.now && !self.store.away;
            if reaches && !is_lost {
                let delay = if is_reader {
                    self.store.takes
                } else {
                    self.store.takes + 3
                };
                self.after(delay, Event::Told { to, end });
            }
        }
    }

    fn after(&mut self, delay: u64, event: Event) {
        self.sent += 1;
        self.events
            .push(Reverse((self.now + delay, self.sent, event)));
    }

    fn run(&mut self, for_ms: u64) {
        let until = self.now + for_ms;
        while self.now < until {
            self.now += 5;
            self.deliver();
            for index in 0..self.instances.len() {
                if self.is_up(index) {
                    self.step(index);
                    self.request(index);
                }
            }
        }
    }

    /// A client sends a request with each key that was taken away lately.
    fn request(&mut self, index: usize) {
        if self.random.random::<f64>() > 0.05 {
            return;
        }
        let instance = &self.instances[index];
        let now = Moment(self.now - instance.began);
        let bound = Duration::from_millis(BOUND).mul_f64(TRUSTED);
        let is_fresh = instance.freshness.age(now).is_some_and(|age| age < bound);
        self.asked += 1;
        if !is_fresh {
            self.refused += 1;
            return;
        }
        let unknown = self.revoked.iter().skip(instance.next as usize);
        if unknown.into_iter().any(|at| self.now - at > BOUND) {
            self.broken += 1;
        }
    }

    fn step(&mut self, index: usize) {
        let now = Moment(self.now - self.instances[index].began);
        let rank = index / DOMAINS;
        let bound = Duration::from_millis(BOUND);
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

    /// Reads what it knows that it missed, some time later.
    fn catch_up(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        if instance.behind.is_some_and(|since| self.now >= since + 500) {
            instance.behind = Some(self.now);
            self.read(index, false);
        }
    }

    fn read(&mut self, index: usize, is_proof: bool) {
        self.reads += 1;
        let instance = &self.instances[index];
        let is_lost = self.random.random::<f64>() < self.store.loses;
        if self.store.away || is_lost || instance.cut_until > self.now {
            return;
        }
        let event = Event::Read {
            to: index,
            life: instance.life,
            at: self.now - instance.began,
            // Whatever was acknowledged by now is found, and what comes while it is under way may be.
            end: self.revoked.len() as u64,
            is_proof,
        };
        self.after(self.store.takes, event);
    }

    fn ask(&mut self, from: usize, to: usize, at: u64) {
        let life = self.instances[from].life;
        let event = Event::Asked { to, from, life, at };
        self.send(from, to, event);
    }

    fn send(&mut self, from: usize, to: usize, event: Event) {
        let is_cut = [from, to]
            .iter()
            .any(|n| self.instances[*n].cut_until > self.now);
        if !is_cut && self.random.random::<f64>() >= self.loss {
            let delay = self.random.random_range(1..5);
            self.after(delay, event);
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
            | Event::Told { to, .. }) = event;
            let frozen_until = self.instances[to].frozen_until;
            if frozen_until > self.now {
                // It waits in the socket.
                self.after(frozen_until - self.now, event);
            } else if self.instances[to].down_until <= self.now {
                self.take(event);
            }
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Asked { to, from, life, at } => {
                let instance = &self.instances[to];
                let now = Moment(self.now - instance.began);
                if let Some(proven) = instance.freshness.proof() {
                    let age = proven.age(now).as_millis() as u64;
                    let end = proven.end.offset;
                    let answer = Event::Answered {
                        to: from,
                        life,
                        at,
                        end,
                        age,
                    };
                    self.send(to, from, answer);
                }
            }
            Event::Answered {
                to,
                life,
                at,
                end,
                age,
            } => {
                let instance = &mut self.instances[to];
                if instance.life == life {
                    let age = Duration::from_millis(age);
                    instance
                        .freshness
                        .add_proof(Proof::with_age(end.into(), Moment(at), age));
                    instance.hear_end(end, self.now);
                }
            }
            Event::Read {
                to,
                life,
                at,
                end,
                is_proof,
            } => {
                let instance = &mut self.instances[to];
                if instance.life != life {
                    return;
                }
                instance.freshness.record_answer();
                instance
                    .freshness
                    .add_proof(Proof::new(end.into(), Moment(at)));
                if is_proof && instance.next < end {
                    instance.hear_end(end, self.now);
                } else {
                    instance.know(end);
                }
            }
            Event::Told { to, end } => {
                let instance = &mut self.instances[to];
                if instance.next + 1 == end {
                    instance.know(end);
                } else {
                    instance.hear_end(end, self.now);
                }
            }
        }
    }

    fn refused_share(&self) -> f64 {
        self.refused as f64 / self.asked as f64
    }

    fn count_anew(&mut self) {
        (self.asked, self.refused) = (0, 0);
    }
}

impl Instance {
    fn know(&mut self, end: u64) {
        self.next = self.next.max(end);
        self.behind = None;
        self.freshness.advance(self.next.into());
    }

    fn hear_end(&mut self, end: u64, now: u64) {
        if self.next < end {
            self.behind.get_or_insert(now);
        }
    }
}

fn settled(size: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(size, seed);
    fleet.run(2_000);
    fleet.count_anew();
    fleet
}

/// Where nothing fails nearly nothing is refused, and the calls grow with the failure domains alone.
#[gtest]
fn calm_refuses_little() {
    for size in [6, 74, 330] {
        let mut fleet = settled(size, 1);
        let before = fleet.reads;
        for _ in 0..6 {
            fleet.revoke();
            fleet.run(1_500);
        }
        expect_that!(fleet.refused_share(), lt(REFUSED), "{size}");
        expect_that!(fleet.broken, eq(0));
        let missed = fleet.instances.len() as u64;
        // One a second in each domain, and a tenth of the instances read each record that they missed.
        expect_that!(
            fleet.reads - before,
            lt(9 * DOMAINS as u64 * 2 + missed),
            "{size}"
        );
    }
}

/// What is refused for want of a proof, by cause; prints the table with `--nocapture`.
#[gtest]
fn refusals_by_cause() {
    let causes: [(&str, Fault); 6] = [
        ("quiet", |_| {}),
        ("slow store", |fleet| fleet.store.takes = 240),
        ("a third of answers lost", |fleet| fleet.store.loses = 0.35),
        ("outage of 5 s", |fleet| fleet.store.away = true),
        ("a sixth cut off", |fleet| {
            let until = fleet.now + 5_500;
            for instance in fleet.instances.iter_mut().step_by(6) {
                instance.cut_until = until;
            }
        }),
        ("all killed", |fleet| {
            (0..fleet.instances.len()).for_each(|index| fleet.kill(index, 1_000));
        }),
    ];
    for (cause, fails) in causes {
        let mut fleet = settled(74, 2);
        fails(&mut fleet);
        for _ in 0..5 {
            fleet.revoke();
            fleet.run(1_000);
        }
        fleet.store = Store {
            takes: 4,
            ..Store::default()
        };
        fleet.run(4_000);
        println!(
            "{cause}: {:.4} refused of {}",
            fleet.refused_share(),
            fleet.asked
        );
        expect_that!(fleet.broken, eq(0), "{cause}");
    }
}

/// Whatever fails, in series and overlapping, no key works for longer than its bound.
#[gtest]
fn bound_holds() {
    for seed in 0..30 {
        let size = [6, 20, 74][seed as usize % 3];
        let mut random = StdRng::seed_from_u64(seed);
        let mut fleet = settled(size, seed);
        for _ in 0..14 {
            let many = random.random_range(1..=size);
            let for_ms = random.random_range(200..7_000);
            match random.random_range(0..7) {
                0 => (0..size).for_each(|index| fleet.kill(index, 1_000)),
                1 => (0..many).for_each(|index| fleet.kill(index, for_ms)),
                2 => (0..many).for_each(|n| fleet.instances[n].frozen_until = fleet.now + for_ms),
                3 => (0..many).for_each(|n| fleet.instances[n].cut_until = fleet.now + for_ms),
                4 => fleet.store.away = !fleet.store.away,
                5 => fleet.store.takes = random.random_range(4..900),
                _ => fleet.store.loses = random.random_range(0.0..0.6),
            }
            fleet.loss = random.random_range(0.0..0.3);
            fleet.revoke();
            fleet.run(random.random_range(100..3_000));
        }
        expect_that!(fleet.broken, eq(0), "seed {seed}");
    }
}
