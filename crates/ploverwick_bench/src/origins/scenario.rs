//! One stream that a client takes up again, with its fleet.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::Duration;

use ploverwick_endpoints::build_history::SETTLE_TIME;
use ploverwick_endpoints::lookup::{Reply, Step, Verdict};
use ploverwick_endpoints::origins::{self, Attempt};
use ploverwick_endpoints::{Build, BuildHistory, Lookup, Origins, Serving};
use ploverwick_names::Moment;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::{DOMAIN_COUNT, LIFETIME, Message, SERVICE, Way, build, rank};

/// The number of other instances up to which the gateway asks all of them.
const MAX_ALL_ASKED: usize = 8;
const DOWNTIME: Duration = Duration::from_secs(1);
/// The longest time until an instance learns of a new build.
const MAX_LIST_DELAY_MS: u64 = 2_000;
/// The time from the moment at which an instance learns of a build until those that start read of it in the store.
const REGISTRATION_DELAY: Duration = Duration::from_secs(2);
/// When the new build is listed; the origins of streams that began before it expire later.
const LISTED_AT: Moment = Moment(60_000);
/// For how long after that streams begin: until all instances use the new build.
const BEGINNING_MS: u64 = 8_000;

/// What the instances know of builds while the streams run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    OneBuild,
    /// Instances learn of the second build one by one.
    Beginning,
    /// The same, and each instance avoids the build until it has settled.
    Settled,
    TwoBuilds,
}

/// The instances that are lost just after a stream began.
#[derive(Debug, Clone, Copy)]
pub(super) enum Loss {
    None,
    /// The instance at which the stream began.
    Origin,
    Third,
    /// The failure domain of that instance.
    Domain,
    NineTenths,
    All,
}

#[derive(Debug, Default)]
pub(super) struct Tally {
    pub(super) known: usize,
    pub(super) refused: usize,
    pub(super) wrong: usize,
    pub(super) lookup_messages: usize,
    pub(super) lookup_bytes: usize,
}

/// One stream, what the instances knew when it began, and which of them were lost.
#[derive(Debug)]
pub(super) struct Scenario {
    attempt: Attempt,
    build: Build,
    began_at: Moment,
    lost_at: Moment,
    taken_up_at: Moment,
    origin: usize,
    successor: usize,
    is_lost: Vec<bool>,
    /// When each instance learns of the second build.
    learns_at: Vec<Option<Moment>>,
    ranked: Vec<usize>,
    message_seed: u64,
    batch_delay: Duration,
}

impl Scenario {
    pub(super) fn new(
        seed: u64,
        names: &[(String, String)],
        phase: Phase,
        loss: Loss,
        batch_delay: Duration,
    ) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let count = names.len();
        let learns_at: Vec<_> = (0..count)
            .map(|_| match phase {
                Phase::OneBuild => None,
                Phase::TwoBuilds => Some(Moment(0)),
                Phase::Beginning | Phase::Settled => Some(Moment(
                    LISTED_AT.0 + random.random_range(0..=MAX_LIST_DELAY_MS),
                )),
            })
            .collect();
        let began_at = Moment(LISTED_AT.0 + random.random_range(0..BEGINNING_MS));
        let origin = random.random_range(0..count);
        let is_new = random.random_bool(0.5);
        let avoided_for = match phase {
            Phase::Settled => SETTLE_TIME,
            Phase::OneBuild | Phase::Beginning | Phase::TwoBuilds => Duration::ZERO,
        };
        let is_used = learns_at[origin].is_some_and(|at| at + avoided_for <= began_at);
        let lost_at = Moment(began_at.0 + random.random_range(0..20));
        let taken_up_at = Moment(lost_at.0 + random.random_range(20..=2_000));
        let is_lost: Vec<bool> = (0..count)
            .map(|number| match loss {
                Loss::None => false,
                Loss::Origin => number == origin,
                Loss::Third => random.random_bool(1.0 / 3.0),
                Loss::Domain => number % DOMAIN_COUNT == origin % DOMAIN_COUNT,
                Loss::NineTenths => random.random_bool(0.9),
                Loss::All => true,
            })
            .collect();
        let is_back = taken_up_at >= lost_at + DOWNTIME;
        let living: Vec<usize> = (0..count).filter(|n| is_back || !is_lost[*n]).collect();
        // Where all are lost, the client waits until they are back.
        let (taken_up_at, successor) = if living.is_empty() {
            (lost_at + DOWNTIME, random.random_range(0..count))
        } else {
            (taken_up_at, living[random.random_range(0..living.len())])
        };
        let attempt = Attempt::of(&format!("{seed:032x}"));
        Self {
            attempt,
            build: build(is_new && is_used),
            began_at,
            lost_at,
            taken_up_at,
            origin,
            successor,
            is_lost,
            learns_at,
            ranked: rank(attempt, names),
            message_seed: random.random(),
            batch_delay,
        }
    }

    fn is_down(&self, number: usize, at: Moment) -> bool {
        self.is_lost[number] && at >= self.lost_at && at < self.lost_at + DOWNTIME
    }

    /// Returns what an instance knows of the builds; one that came back has read the list anew.
    fn history(&self, number: usize, now: Moment) -> BuildHistory {
        let restarted_at = self.lost_at + DOWNTIME;
        let is_restarted = self.is_lost[number] && now >= restarted_at;
        let mut history = if is_restarted {
            BuildHistory::new(false, restarted_at)
        } else {
            BuildHistory::new(true, Moment(0))
        };
        let service = Arc::from(SERVICE);
        history.add(&service, build(false), None);
        let learns_at = self.learns_at[number].filter(|at| is_restarted || *at <= now);
        if learns_at.is_some() {
            history.add(&service, build(true), None);
        }
        history
    }

    /// Returns what an instance knows of the builds, with what the store records.
    fn serving(&self, number: usize, now: Moment) -> Serving {
        let history = self.history(number, now);
        let listed_at = self.learns_at.iter().flatten().min();
        let registered_at = listed_at.map(|at| *at + REGISTRATION_DELAY);
        let has_both = registered_at.is_some_and(|at| at <= now);
        let registered = [build(false), build(has_both)];
        history.serving(SERVICE, Some(&registered), now)
    }

    /// Returns the instances that are sent the origin, or asked for it, by `number`.
    fn partners(&self, way: Way, number: usize) -> Vec<usize> {
        let all = || (0..self.is_lost.len()).collect();
        let partners: Vec<usize> = match way {
            Way::OwnOnly => Vec::new(),
            Way::AskAll | Way::AllHold => all(),
            Way::Holders(count) => self.ranked.iter().copied().take(count).collect(),
        };
        partners.into_iter().filter(|n| *n != number).collect()
    }

    /// Returns the instances that hold the origin when it is taken up.
    fn kept(&self, way: Way, message_loss: f64, random: &mut SmallRng) -> HashMap<usize, Origins> {
        let mut kept: HashMap<usize, Origins> = HashMap::new();
        let expires = self.began_at + LIFETIME;
        let mut keep = |number: usize, at: Moment| {
            let is_forgotten = self.is_lost[number] && at < self.lost_at + DOWNTIME;
            if !is_forgotten && at <= self.taken_up_at {
                let origins = kept.entry(number).or_default();
                origins.insert(self.attempt, self.build, expires, at);
            }
        };
        keep(self.origin, self.began_at);
        let queued_at = if self.serving(self.origin, self.began_at).is_mixed() {
            Some(self.began_at)
        } else {
            self.learns_at[self.origin]
        };
        // The first origin of a batch waits for the whole delay, and most batches hold one.
        let Some(sent_at) = queued_at.map(|at| at + self.batch_delay) else {
            return kept;
        };
        if way == Way::AskAll || self.is_lost[self.origin] && sent_at >= self.lost_at {
            return kept;
        }
        for number in self.partners(way, self.origin) {
            if !random.random_bool(message_loss) {
                keep(number, sent_at + Duration::from_millis(1));
            }
        }
        kept
    }

    pub(super) fn run(&self, way: Way, message_loss: f64, tally: &mut Tally) {
        let mut random = SmallRng::seed_from_u64(self.message_seed);
        let kept = self.kept(way, message_loss, &mut random);
        let mut now = self.taken_up_at;
        let find = |number: usize| kept.get(&number)?.get(self.attempt, self.taken_up_at);
        if find(self.successor).is_some() {
            tally.known += 1;
            return;
        }
        let asked = self.asked(way);
        let own = self.serving(self.successor, now);
        let mut lookup = Lookup::new(own, asked.len(), now);
        let query = Message::Query(u64::MAX / 2, Arc::from(SERVICE), Some(self.attempt));
        let mut ask = |lookup: &mut Lookup, now: Moment| {
            tally.lookup_messages += asked.len();
            tally.lookup_bytes += asked.len() * query.wire_bytes();
            for number in &asked {
                if random.random_bool(message_loss) || self.is_down(*number, now) {
                    continue;
                }
                let reply = match find(*number) {
                    Some(build) => Reply::Began(build),
                    None => Reply::Unknown(self.serving(*number, now)),
                };
                tally.lookup_messages += 1;
                tally.lookup_bytes += Message::Reply(u64::MAX / 2, reply).wire_bytes();
                if !random.random_bool(message_loss) {
                    lookup.record_reply(ip(*number), reply);
                }
            }
        };
        ask(&mut lookup, now);
        let verdict = loop {
            match lookup.next_step(now) {
                Step::Decided(verdict) => break verdict,
                Step::AskAgain => ask(&mut lookup, now),
                Step::Wait(until) => now = until,
            }
        };
        match verdict {
            Verdict::Began(build) | Verdict::Inferred(build) if build == self.build => {
                tally.known += 1;
            }
            Verdict::Began(_) | Verdict::Inferred(_) => tally.wrong += 1,
            Verdict::Unknown => tally.refused += 1,
        }
    }

    fn asked(&self, way: Way) -> Vec<usize> {
        let is_small = self.is_lost.len() - 1 <= MAX_ALL_ASKED;
        match way {
            Way::Holders(origins::MAX_HOLDERS) | Way::AllHold if is_small => {
                self.partners(Way::AskAll, self.successor)
            }
            Way::AllHold => self.partners(Way::Holders(origins::MAX_HOLDERS), self.successor),
            Way::OwnOnly | Way::AskAll | Way::Holders(_) => self.partners(way, self.successor),
        }
    }
}

fn ip(number: usize) -> IpAddr {
    let number = u32::try_from(number).expect("fleets are small");
    IpAddr::V4(Ipv4Addr::from(0x0a00_0001 + number))
}
