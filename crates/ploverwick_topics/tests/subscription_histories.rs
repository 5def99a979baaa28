//! Histories of kills, freezes, cuts from the store and lost messages: nobody that can hear is deaf for
//! longer than a bound, and calls grow with the failure domains and not with the instances.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use googletest::prelude::*;
use ploverwick_names::Moment;
use ploverwick_topics::{Candidate, Fit, Peer, Position, Reading, Role, Step, Subscription, role};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

/// One step of the simulated time.
const TICK: u64 = 10;
/// How long a history lasts.
const END: u64 = 60_000;
/// The pause between statuses, and how many peers of the own domain get one.
const STATUS: u64 = 150;
const STATUS_PEERS: usize = 8;
/// The first instance of a domain tells the others where the topic ends, so often.
const FAR: u64 = 600;
/// A peer that is silent for longer is not counted.
const HEARD: u64 = 2_500;
/// A call whose answer does not come fails after this.
const SILENT: u64 = 3_000;
/// A waiting read comes back after this.
const WAIT: u64 = 28_000;
/// How late an instance may hear that runs and reaches the store: a configuration has 4 s there.
const BOUND: u64 = 4_000;

#[derive(Clone, Copy)]
enum Call {
    All,
    On {
        from: Position,
        waits: bool,
        until: u64,
    },
}

enum Mail {
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
    /// The write times of the records that it has read or was told of.
    known_records: BTreeSet<u64>,
    reading: Reading,
    heard: BTreeMap<usize, (u64, Reading)>,
    call: Option<(Call, u64)>,
    retry_at: u64,
    runs_from: u64,
    frozen_until: u64,
    cut_until: u64,
    /// Since when it runs without a pause and reaches the store.
    sound_since: u64,
}

/// One in twelve has more of a processor than the others.
fn candidate(instance: &Instance) -> Candidate<'_> {
    let is_large = instance.name.ends_with('7');
    Candidate {
        capacity: if is_large { 500 } else { 120 },
        name: &instance.name,
    }
}

struct World {
    now: u64,
    random: StdRng,
    instances: Vec<Instance>,
    /// When each record was written.
    records: Vec<u64>,
    /// The number of times the store has been restored.
    era: u64,
    /// Whether the store reports its era; if not, positions differ by offset only.
    reports_era: bool,
    /// Whether the store is restored at every `RESTORE_INTERVAL`.
    has_restores: bool,
    mail: VecDeque<(u64, usize, Mail)>,
    calls: u64,
    loss: f64,
    late: u64,
}

impl World {
    fn new(domains: usize, each: usize, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let instances = (0..domains * each)
            .map(|n| Instance {
                name: format!("i{n:03}"),
                domain: n % domains,
                subscription: Subscription::new(random.random_range(0.0..1.0), Moment(0)),
                known_records: BTreeSet::new(),
                reading: Reading::Rests,
                heard: BTreeMap::new(),
                call: None,
                retry_at: 0,
                runs_from: 0,
                frozen_until: 0,
                cut_until: 0,
                sound_since: 0,
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
            mail: VecDeque::new(),
            calls: 0,
            loss: 0.02,
            late: 0,
        }
    }

    fn end(&self) -> Position {
        Position {
            era: if self.reports_era { self.era } else { 0 },
            offset: self.records.len() as u64,
        }
    }

    fn send(&mut self, to: usize, mail: Mail) {
        if !self.random.random_bool(self.loss) {
            let at = self.now + self.random.random_range(1..30);
            self.mail.push_back((at, to, mail));
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
        let waiting = std::mem::take(&mut self.mail);
        for (at, to, mail) in waiting {
            let instance = &mut self.instances[to];
            if at > now || instance.frozen_until > now {
                self.mail.push_back((at, to, mail));
                continue;
            }
            if instance.runs_from > now {
                continue;
            }
            match mail {
                Mail::Status { from, end, reading } => {
                    instance.heard.insert(from, (now, reading));
                    instance.subscription.observe_end(end, Moment(now));
                }
                Mail::End(end) => instance.subscription.observe_end(end, Moment(now)),
                Mail::Records {
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
        let heard = instance.heard.iter();
        let heard = heard.filter(|(_, (at, _))| self.now - at <= HEARD);
        let peers = heard.map(|(peer, (_, reading))| Peer {
            candidate: candidate(&self.instances[*peer]),
            reading: *reading,
        });
        role(candidate(instance), peers)
    }

    /// Begins or ends the call of an instance.
    fn run(&mut self, own: usize) {
        let now = self.now;
        if self.instances[own].runs_from > now || self.instances[own].frozen_until > now {
            return;
        }
        let is_cut = self.instances[own].cut_until > now;
        if let Some((call, asked)) = self.instances[own].call {
            return self.answer(own, call, asked, is_cut);
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
            Step::ReadAll => Call::All,
            Step::ReadOn { from, waits } => {
                let until = if waits { now + WAIT } else { now };
                Call::On { from, waits, until }
            }
        };
        self.calls += 1;
        let instance = &mut self.instances[own];
        instance.subscription.start_read(Moment(now));
        if matches!(call, Call::On { waits: true, .. }) {
            instance.reading = Reading::Reads;
        }
        instance.call = Some((call, now));
    }

    fn answer(&mut self, own: usize, call: Call, asked: u64, is_cut: bool) {
        let (now, end) = (self.now, self.end());
        let instance = &mut self.instances[own];
        if is_cut {
            // A cut that lasts is noticed; one that ends before holds the answer up.
            if now >= asked + SILENT && now + SILENT <= instance.cut_until + SILENT {
                instance.call = None;
                instance.reading = Reading::Fails;
                instance.subscription.record_failure();
                instance.retry_at = now + 300;
            }
            return;
        }
        match call {
            Call::All => {
                instance.known_records.extend(&self.records);
                instance.subscription.finish_read(end);
                instance.call = None;
            }
            Call::On { from, .. } if from.era < end.era || from > end => {
                instance.subscription.reset();
                instance.call = None;
            }
            Call::On { from, waits, until } => {
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
                            Mail::Records {
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

    fn statuses(&mut self, own: usize) {
        let now = self.now;
        let instance = &self.instances[own];
        if instance.runs_from > now || instance.frozen_until > now {
            return;
        }
        let (domain, reading) = (instance.domain, instance.reading);
        let Some(end) = instance.subscription.next() else {
            return;
        };
        if now.is_multiple_of(STATUS) {
            let mut peers = self.peers(own);
            if peers.len() > STATUS_PEERS {
                let turn = (now / STATUS) as usize * STATUS_PEERS % peers.len();
                peers.rotate_left(turn);
                peers.truncate(STATUS_PEERS);
            }
            for peer in peers {
                self.send(
                    peer,
                    Mail::Status {
                        from: own,
                        end,
                        reading,
                    },
                );
            }
        }
        // The first of a domain by name stands for its placer.
        let places = self.peers(own).iter().all(|peer| *peer > own);
        if places && now.is_multiple_of(FAR) {
            for peer in 0..self.instances.len() {
                if self.instances[peer].domain != domain {
                    self.send(peer, Mail::End(end));
                }
            }
        }
    }

    fn strike(&mut self) {
        let now = self.now;
        let own = self.random.random_range(0..self.instances.len());
        let lasts = self.random.random_range(500..8_000);
        let kind = self.random.random_range(0..3);
        let chance = self.random.random_range(0.0..1.0);
        let instance = &mut self.instances[own];
        match kind {
            0 => {
                instance.runs_from = now + lasts;
                instance.subscription = Subscription::new(chance, Moment(now + lasts));
                instance.known_records.clear();
                instance.heard.clear();
                instance.call = None;
                instance.reading = Reading::Rests;
            }
            1 => instance.frozen_until = now + lasts,
            _ => instance.cut_until = now + lasts,
        }
        instance.sound_since = instance.sound_since.max(now + lasts);
    }

    /// Looks who is deaf.
    fn judge(&mut self) {
        for instance in &self.instances {
            let since = instance.sound_since;
            let missing = self.records.iter();
            let missing = missing.filter(|written| !instance.known_records.contains(written));
            for written in missing {
                let late = self.now.saturating_sub((*written).max(since));
                self.late = self.late.max(late);
            }
        }
    }

    /// Restores the store from a copy that lacks the newest one to four records.
    fn restore(&mut self) {
        let lost = self.random.random_range(1..=4);
        let kept = self.records.len().saturating_sub(lost);
        self.records.truncate(kept);
        self.era += 1;
    }

    fn play(&mut self, strikes: f64, each_ms: u64) {
        while self.now < END {
            self.now += TICK;
            if self.has_restores && self.now.is_multiple_of(RESTORE_INTERVAL) {
                self.restore();
            }
            if self.now.is_multiple_of(each_ms) {
                self.records.push(self.now);
            }
            if self.random.random_bool(strikes) {
                self.strike();
            }
            self.deliver();
            for own in 0..self.instances.len() {
                self.run(own);
                self.statuses(own);
            }
            self.judge();
        }
    }
}

/// The time between two restores of the store.
const RESTORE_INTERVAL: u64 = 9_000;

/// One trouble in two seconds, each of up to eight.
const STRIKES: f64 = TICK as f64 / 2_000.0;

#[gtest]
fn nobody_is_deaf() {
    for seed in 0..8 {
        let mut world = World::new(3, 12, seed);
        world.play(STRIKES, 1_700);
        expect_that!(world.late, le(BOUND), "seed {seed}");
    }
}

/// Without trouble, calls follow the domains: the readers' reads of each record, the start of each
/// instance, and what lost messages cost.
#[gtest]
fn calls_follow_domains() {
    let calls = |each: usize| {
        let mut world = World::new(3, each, 7);
        world.play(0.0, 2_000);
        let starts = world.instances.len() as u64;
        (world.calls - starts, world.late)
    };
    let (few, _) = calls(4);
    let (many, late) = calls(40);
    // 30 records, 6 readers; 2 of 100 messages are lost on the way from each of two readers.
    expect_that!(few, le(6 * 32 + 6));
    expect_that!(many, le(6 * 32 + 30));
    expect_that!(late, le(1_000));
}

/// All readers of a domain are cut off from the store at once, and the others hear in time.
#[gtest]
fn readers_cut_off() {
    for seed in 0..6 {
        let mut world = World::new(3, 12, seed);
        for own in 0..6 {
            world.instances[own].cut_until = 40_000;
            world.instances[own].sound_since = 40_000;
        }
        // They started before.
        for instance in &mut world.instances {
            instance.subscription.finish_read(0.into());
        }
        world.play(0.0, 1_700);
        expect_that!(world.late, le(BOUND), "seed {seed}");
    }
}

/// While the store is away for all, few ask, whatever the size.
#[gtest]
fn outage_is_quiet() {
    let calls = |each: usize| {
        let mut world = World::new(3, each, 3);
        for instance in &mut world.instances {
            instance.subscription.finish_read(0.into());
            instance.cut_until = END;
            instance.sound_since = END;
        }
        world.play(0.0, 5_000);
        world.calls
    };
    // Four of each domain try again and again; the others look now and then.
    let often = END / (SILENT + 300) + 1;
    let seldom = END / (9_600 + SILENT) + 4;
    expect_that!(calls(4), le(3 * 4 * often));
    expect_that!(calls(30), le(3 * (4 * often + 26 * seldom)));
}

/// Guards against instances that miss records whose offsets were already assigned before a restore.
#[gtest]
fn restores_are_heard() {
    for seed in 0..8 {
        let mut world = World::new(3, 12, seed);
        world.has_restores = true;
        world.play(STRIKES, 1_700);
        expect_that!(world.late, le(BOUND), "seed {seed}");
    }
}

/// Checks that `restores_are_heard` would detect instances that compare offsets alone.
#[gtest]
fn era_is_needed() {
    let late = (0..8).map(|seed| {
        let mut world = World::new(3, 12, seed);
        world.has_restores = true;
        world.reports_era = false;
        world.play(STRIKES, 1_700);
        world.late
    });
    expect_that!(late.max(), some(gt(BOUND)));
}
