//! Simulates kills, freezes, partitions from the store and lost messages: every healthy instance receives each
//! record within a bound, and calls grow with the failure domains and not with the instances.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use googletest::prelude::*;
use ploverwick_names::Moment;
use ploverwick_topics::{Candidate, Fit, Peer, Position, Reading, Role, Step, Subscription, role};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

/// The step of the simulated time in milliseconds.
const TICK: u64 = 10;
/// The duration of a simulation.
const DURATION_MS: u64 = 60_000;
/// The interval between status messages.
const STATUS_INTERVAL_MS: u64 = 150;
/// The number of peers of the same domain that receive a status message.
const STATUS_PEERS: usize = 8;
/// The interval at which the first instance of a domain reports the end of the topic to other domains.
const END_REPORT_INTERVAL_MS: u64 = 600;
/// A peer that has sent no status for longer is ignored.
const PEER_TIMEOUT_MS: u64 = 2_500;
/// The time after which an unanswered call fails.
const CALL_TIMEOUT_MS: u64 = 3_000;
/// The time after which a long poll returns without records.
const LONG_POLL_MS: u64 = 28_000;
/// The bound on the delay of a record at a running instance that reaches the store: a configuration must arrive
/// within 4 s.
const MAX_DELAY_MS: u64 = 4_000;

#[derive(Clone, Copy)]
enum Call {
    ReadAll,
    ReadOn {
        from: Position,
        waits: bool,
        until: u64,
    },
}

enum Message {
    Status {
        from: usize,
        end: Position,
        reading: Reading,
    },
    Records {
        from: Position,
        next: Position,
        /// The write time of each record.
        written: Vec<u64>,
    },
    End(Position),
}

struct Instance {
    name: String,
    domain: usize,
    subscription: Subscription,
    /// The write times of the records that it has read or received.
    known_records: BTreeSet<u64>,
    reading: Reading,
    last_heard: BTreeMap<usize, (u64, Reading)>,
    call: Option<(Call, u64)>,
    retry_at: u64,
    down_until: u64,
    frozen_until: u64,
    partitioned_until: u64,
    /// Since when it has been running without interruption and reaching the store.
    healthy_since: u64,
}

/// Instances whose name ends in 7, one in ten to twelve, have more CPU capacity than the others.
fn candidate(instance: &Instance) -> Candidate<'_> {
    let is_large = instance.name.ends_with('7');
    Candidate {
        capacity: if is_large { 500 } else { 120 },
        name: &instance.name,
    }
}

struct Simulation {
    now: u64,
    random: StdRng,
    instances: Vec<Instance>,
    /// When each record was written.
    records: Vec<u64>,
    /// The number of times the store has been restored from a copy.
    era: u64,
    /// Whether the store reports its era; if not, positions differ by offset only.
    reports_era: bool,
    /// Whether the store is restored at every `RESTORE_INTERVAL_MS`.
    has_restores: bool,
    messages: VecDeque<(u64, usize, Message)>,
    calls: u64,
    loss_rate: f64,
    max_delay: u64,
}

impl Simulation {
    fn new(domains: usize, per_domain: usize, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let instances = (0..domains * per_domain)
            .map(|n| Instance {
                name: format!("i{n:03}"),
                domain: n % domains,
                subscription: Subscription::new(random.random_range(0.0..1.0), Moment(0)),
                known_records: BTreeSet::new(),
                reading: Reading::Rests,
                last_heard: BTreeMap::new(),
                call: None,
                retry_at: 0,
                down_until: 0,
                frozen_until: 0,
                partitioned_until: 0,
                healthy_since: 0,
            })
            .collect();
        Self {
            now: 0,
            random,
            instances,
            records: Vec::new(),
            era: 0,
            reports_era: true,
            has_restores: false,
            messages: VecDeque::new(),
            calls: 0,
            loss_rate: 0.02,
            max_delay: 0,
        }
    }

    fn end(&self) -> Position {
        Position {
            era: if self.reports_era { self.era } else { 0 },
            offset: self.records.len() as u64,
        }
    }

    fn send(&mut self, to: usize, message: Message) {
        if !self.random.random_bool(self.loss_rate) {
            let at = self.now + self.random.random_range(1..30);
            self.messages.push_back((at, to, message));
        }
    }

    fn peers(&self, own: usize) -> Vec<usize> {
        let domain = self.instances[own].domain;
        let all = 0..self.instances.len();
        all.filter(|n| *n != own && self.instances[*n].domain == domain)
            .collect()
    }

    fn deliver(&mut self) {
        let now = self.now;
        let waiting = std::mem::take(&mut self.messages);
        for (at, to, message) in waiting {
            let instance = &mut self.instances[to];
            if at > now || instance.frozen_until > now {
                self.messages.push_back((at, to, message));
                continue;
            }
            if instance.down_until > now {
                continue;
            }
            match message {
                Message::Status { from, end, reading } => {
                    instance.last_heard.insert(from, (now, reading));
                    instance.subscription.observe_end(end, Moment(now));
                }
                Message::End(end) => instance.subscription.observe_end(end, Moment(now)),
                Message::Records {
                    from,
                    next,
                    written,
                } => {
                    let fit = instance.subscription.receive(from, next, Moment(now));
                    if fit == Fit::Next {
                        instance.known_records.extend(written);
                    }
                    assert!(fit != Fit::Next || instance.subscription.next() == Some(next));
                }
            }
        }
    }

    fn role(&self, own: usize) -> Role {
        let instance = &self.instances[own];
        let last_heard = instance.last_heard.iter();
        let last_heard = last_heard.filter(|(_, (at, _))| self.now - at <= PEER_TIMEOUT_MS);
        let peers = last_heard.map(|(peer, (_, reading))| Peer {
            candidate: candidate(&self.instances[*peer]),
            reading: *reading,
        });
        role(candidate(instance), peers)
    }

    /// Starts or finishes a call of an instance.
    fn step_call(&mut self, own: usize) {
        let now = self.now;
        if self.instances[own].down_until > now || self.instances[own].frozen_until > now {
            return;
        }
        let is_partitioned = self.instances[own].partitioned_until > now;
        if let Some((call, called_at)) = self.instances[own].call {
            return self.answer(own, call, called_at, is_partitioned);
        }
        if self.instances[own].retry_at > now {
            return;
        }
        let role = self.role(own);
        let call = match self.instances[own].subscription.step(role, Moment(now)) {
            Step::Idle { .. } => {
                if role != Role::Reader {
                    self.instances[own].reading = Reading::Rests;
                }
                return;
            }
            Step::ReadAll => Call::ReadAll,
            Step::ReadOn { from, waits } => {
                let until = if waits { now + LONG_POLL_MS } else { now };
                Call::ReadOn { from, waits, until }
            }
        };
        self.calls += 1;
        let instance = &mut self.instances[own];
        instance.subscription.start_read(Moment(now));
        if matches!(call, Call::ReadOn { waits: true, .. }) {
            instance.reading = Reading::Reads;
        }
        instance.call = Some((call, now));
    }

    fn answer(&mut self, own: usize, call: Call, called_at: u64, is_partitioned: bool) {
        let (now, end) = (self.now, self.end());
        let instance = &mut self.instances[own];
        if is_partitioned {
            // A long partition makes the call time out; a shorter one only delays the answer.
            if now >= called_at + CALL_TIMEOUT_MS
                && now + CALL_TIMEOUT_MS <= instance.partitioned_until + CALL_TIMEOUT_MS
            {
                instance.call = None;
                instance.reading = Reading::Fails;
                instance.subscription.record_failure();
                instance.retry_at = now + 300;
            }
            return;
        }
        match call {
            Call::ReadAll => {
                instance.known_records.extend(&self.records);
                instance.subscription.finish_read(end);
                instance.call = None;
            }
            Call::ReadOn { from, .. } if from.era < end.era || from > end => {
                instance.subscription.reset();
                instance.call = None;
            }
            Call::ReadOn { from, waits, until } => {
                if end == from && now < until {
                    return;
                }
                let written = self.records[from.offset as usize..].to_vec();
                instance.known_records.extend(&written);
                instance.subscription.finish_read(end);
                instance.call = None;
                instance.reading = if waits {
                    Reading::Reads
                } else {
                    Reading::Rests
                };
                if waits && end > from {
                    for peer in self.peers(own) {
                        let written = written.clone();
                        let next = end;
                        self.send(
                            peer,
                            Message::Records {
                                from,
                                next,
                                written,
                            },
                        );
                    }
                }
            }
        }
    }

    fn send_statuses(&mut self, own: usize) {
        let now = self.now;
        let instance = &self.instances[own];
        if instance.down_until > now || instance.frozen_until > now {
            return;
        }
        let (domain, reading) = (instance.domain, instance.reading);
        let Some(end) = instance.subscription.next() else {
            return;
        };
        if now.is_multiple_of(STATUS_INTERVAL_MS) {
            let mut peers = self.peers(own);
            if peers.len() > STATUS_PEERS {
                let turn = (now / STATUS_INTERVAL_MS) as usize * STATUS_PEERS % peers.len();
                peers.rotate_left(turn);
                peers.truncate(STATUS_PEERS);
            }
            for peer in peers {
                self.send(
                    peer,
                    Message::Status {
                        from: own,
                        end,
                        reading,
                    },
                );
            }
        }
        // The first instance of a domain by name stands in for its placer.
        let is_placer = self.peers(own).iter().all(|peer| *peer > own);
        if is_placer && now.is_multiple_of(END_REPORT_INTERVAL_MS) {
            for peer in 0..self.instances.len() {
                if self.instances[peer].domain != domain {
                    self.send(peer, Message::End(end));
                }
            }
        }
    }

    fn inject_fault(&mut self) {
        let now = self.now;
        let own = self.random.random_range(0..self.instances.len());
        let duration = self.random.random_range(500..8_000);
        let kind = self.random.random_range(0..3);
        let jitter = self.random.random_range(0.0..1.0);
        let instance = &mut self.instances[own];
        match kind {
            0 => {
                instance.down_until = now + duration;
                instance.subscription = Subscription::new(jitter, Moment(now + duration));
                instance.known_records.clear();
                instance.last_heard.clear();
                instance.call = None;
                instance.reading = Reading::Rests;
            }
            1 => instance.frozen_until = now + duration,
            _ => instance.partitioned_until = now + duration,
        }
        instance.healthy_since = instance.healthy_since.max(now + duration);
    }

    /// Updates the maximum delay with the records that healthy instances are missing.
    fn measure_delay(&mut self) {
        for instance in &self.instances {
            let since = instance.healthy_since;
            let missing = self.records.iter();
            let missing = missing.filter(|written| !instance.known_records.contains(written));
            for written in missing {
                let delay = self.now.saturating_sub((*written).max(since));
                self.max_delay = self.max_delay.max(delay);
            }
        }
    }

    /// Restores the store from a backup that lacks the newest one to four records.
    fn restore(&mut self) {
        let lost = self.random.random_range(1..=4);
        let kept = self.records.len().saturating_sub(lost);
        self.records.truncate(kept);
        self.era += 1;
    }

    fn run(&mut self, faults_per_tick: f64, record_interval_ms: u64) {
        while self.now < DURATION_MS {
            self.now += TICK;
            if self.has_restores && self.now.is_multiple_of(RESTORE_INTERVAL_MS) {
                self.restore();
            }
            if self.now.is_multiple_of(record_interval_ms) {
                self.records.push(self.now);
            }
            if self.random.random_bool(faults_per_tick) {
                self.inject_fault();
            }
            self.deliver();
            for own in 0..self.instances.len() {
                self.step_call(own);
                self.send_statuses(own);
            }
            self.measure_delay();
        }
    }
}

/// The time between two restores of the store.
const RESTORE_INTERVAL_MS: u64 = 9_000;

/// One fault every two seconds on average, each lasting up to eight seconds.
const FAULTS_PER_TICK: f64 = TICK as f64 / 2_000.0;

#[gtest]
fn records_arrive_within_bound() {
    for seed in 0..8 {
        let mut simulation = Simulation::new(3, 12, seed);
        simulation.run(FAULTS_PER_TICK, 1_700);
        expect_that!(simulation.max_delay, le(MAX_DELAY_MS), "seed {seed}");
    }
}

/// Without faults, the number of calls depends on the domains: each reader reads each record, each instance
/// reads once at its start, and lost messages cause further reads.
#[gtest]
fn calls_grow_with_domains() {
    let calls = |per_domain: usize| {
        let mut simulation = Simulation::new(3, per_domain, 7);
        simulation.run(0.0, 2_000);
        let starts = simulation.instances.len() as u64;
        (simulation.calls - starts, simulation.max_delay)
    };
    let (calls_with_4, _) = calls(4);
    let (calls_with_40, max_delay) = calls(40);
    // 6 readers, two per domain, read 30 records. The 2 of 100 messages that are lost cause further reads.
    expect_that!(calls_with_4, le(6 * 32 + 6));
    expect_that!(calls_with_40, le(6 * 32 + 30));
    expect_that!(max_delay, le(1_000));
}

/// All readers of a domain lose the store at once, and the other instances still receive records in time.
#[gtest]
fn partitioned_readers_delay_nobody() {
    for seed in 0..6 {
        let mut simulation = Simulation::new(3, 12, seed);
        for own in 0..6 {
            simulation.instances[own].partitioned_until = 40_000;
            simulation.instances[own].healthy_since = 40_000;
        }
        // The instances have already started.
        for instance in &mut simulation.instances {
            instance.subscription.finish_read(0.into());
        }
        simulation.run(0.0, 1_700);
        expect_that!(simulation.max_delay, le(MAX_DELAY_MS), "seed {seed}");
    }
}

/// During an outage of the store only a few instances per domain keep calling it, whatever the fleet size.
#[gtest]
fn outage_limits_calls() {
    let calls = |per_domain: usize| {
        let mut simulation = Simulation::new(3, per_domain, 3);
        for instance in &mut simulation.instances {
            instance.subscription.finish_read(0.into());
            instance.partitioned_until = DURATION_MS;
            instance.healthy_since = DURATION_MS;
        }
        simulation.run(0.0, 5_000);
        simulation.calls
    };
    // Four instances of each domain retry often; the others read only at the fallback interval.
    let often = DURATION_MS / (CALL_TIMEOUT_MS + 300) + 1;
    let seldom = DURATION_MS / (9_600 + CALL_TIMEOUT_MS) + 4;
    expect_that!(calls(4), le(3 * 4 * often));
    expect_that!(calls(30), le(3 * (4 * often + 26 * seldom)));
}

/// Guards against instances that miss the records written after a restore, whose offsets were already assigned before
/// it.
#[gtest]
fn records_arrive_after_restores() {
    for seed in 0..8 {
        let mut simulation = Simulation::new(3, 12, seed);
        simulation.has_restores = true;
        simulation.run(FAULTS_PER_TICK, 1_700);
        expect_that!(simulation.max_delay, le(MAX_DELAY_MS), "seed {seed}");
    }
}

/// Checks that `records_arrive_after_restores` would detect instances that compare offsets alone.
#[gtest]
fn offsets_alone_miss_records() {
    let max_delay = (0..8).map(|seed| {
        let mut simulation = Simulation::new(3, 12, seed);
        simulation.has_restores = true;
        simulation.reports_era = false;
        simulation.run(FAULTS_PER_TICK, 1_700);
        simulation.max_delay
    });
    expect_that!(max_delay.max(), some(gt(MAX_DELAY_MS)));
}
