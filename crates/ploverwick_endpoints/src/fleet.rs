//! The endpoints as one instance sees them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;
use ploverwick_placement::{Candidate, score};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::load::{Load, Pace};
use crate::reports::{Reports, Told};
use crate::{Entry, Health, Outcome, State, reports};

/// The cost of a choice, comparable to milliseconds of waiting.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Cost(pub f64);

/// Cost of a full batch against an empty one: a step grows little with the batch.
const FILL: f64 = 30.0;
/// Above this fill an endpoint is nearly full and the cost rises steeply.
const NEARLY_FULL: f64 = 0.8;
/// Cost of each batch's worth of requests above that.
const CROWDED: f64 = 400.0;
/// Cost of a refusal for want of room a moment ago.
const REFUSED: f64 = 300.0;
/// Cost of leaving the failure domain, without the bytes: a round trip there, and that what is known of
/// its loads is half a second old, in which an endpoint gets two or three requests.
const AWAY: f64 = 12.0;
/// Cost of each kilobyte that leaves the failure domain: the milliseconds that it takes on a link of
/// 20 Mbit/s, the size of an instance's own where they are small.
const AWAY_KB: f64 = 0.4;
/// How many times the median latency an endpoint may take before it costs.
const SLOW: f64 = 1.6;
/// The most that slowness costs.
const SLOWEST: f64 = 400.0;
/// Cost that spreads equal choices over requests, by a hash of key and endpoint.
const SPREAD: f64 = 2.0;

/// How far costs within the failure domain are moved by chance for each other instance there. What is
/// known of the others' requests is some 100 ms old, so that all would choose the same endpoint until
/// they hear of it; one instance adds about half a request to an endpoint meanwhile.
const CROWD: f64 = 1.2;

/// Cost to the requests under way of a millisecond of reading one more prompt, for each of them.
const DISTURBING: f64 = 0.01;

/// What a request wants of an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// The service.
    pub service: &'a str,
    /// The failure domain that the request is in.
    pub domain: &'a str,
    /// What requests that profit from the same endpoint share.
    pub key: &'a str,
    /// The request's identifier, by which instances choose apart.
    pub id: &'a str,
    /// The other instances of the failure domain, which choose at the same time.
    pub peers: usize,
    /// The bytes that would leave the failure domain.
    pub bytes: usize,
    /// The tokens of its prompt.
    pub prompt: u32,
    /// The endpoints that it must not go to.
    pub except: &'a [Arc<str>],
}

#[derive(Debug)]
struct Member {
    entry: Entry,
    /// What this instance has under way there.
    own: Load,
    pace: Pace,
    health: Health,
}

impl Member {
    /// Returns whether the list and the request itself allow that it goes there.
    fn takes(&self, query: &Query<'_>) -> bool {
        let is_ready = self.entry.state == State::Ready;
        let is_of_service = &*self.entry.service == query.service;
        is_ready && is_of_service && !query.except.contains(&self.entry.id)
    }
}

/// The endpoints that may take a request as far as their failures say.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Allowed {
    /// Those that are not left out for their failures.
    Sound,
    /// All, as each is left out.
    All,
}

impl Allowed {
    fn allows(self, member: &Member, now: Moment) -> bool {
        self == Self::All || !member.health.is_out(now)
    }
}

/// The endpoints that are listed, with load and health.
#[derive(Debug, Default)]
pub struct Fleet {
    members: HashMap<Arc<str>, Member>,
    reports: Reports,
    /// What all instances have under way at an endpoint, as its placer told it at a moment.
    totals: HashMap<Arc<str>, (Load, Moment)>,
    /// The sum of the hashes of all lines, modulo 2^64. It is asked for with each message about the list, and
    /// a hash over all lines would take 3 ms for 3,000 endpoints.
    digest: u64,
}

impl Fleet {
    /// Adds an endpoint or takes in its new line of the list.
    ///
    /// One that leaves does not come back in the same life, whatever a late message says.
    pub fn put(&mut self, mut entry: Entry) {
        match self.members.get_mut(&entry.id) {
            Some(member) => {
                if member.entry.state == State::Draining {
                    entry.state = State::Draining;
                }
                let before = std::mem::replace(&mut member.entry, entry);
                self.digest = self.digest.wrapping_sub(hash(&before));
                self.digest = self.digest.wrapping_add(hash(&member.entry));
            }
            None => {
                self.digest = self.digest.wrapping_add(hash(&entry));
                let member = Member {
                    entry,
                    own: Load::default(),
                    pace: Pace::default(),
                    health: Health::default(),
                };
                self.members.insert(Arc::clone(&member.entry.id), member);
            }
        }
    }

    /// Marks an endpoint as draining, regardless of the state in its list entry. Returns `false` if it is already
    /// draining or is not listed.
    pub fn drain(&mut self, id: &str) -> bool {
        let Some(member) = self.members.get_mut(id) else {
            return false;
        };
        if member.entry.state == State::Draining {
            return false;
        }
        self.digest = self.digest.wrapping_sub(hash(&member.entry));
        member.entry.state = State::Draining;
        self.digest = self.digest.wrapping_add(hash(&member.entry));
        true
    }

    /// Takes an endpoint off the list; `false` if it was not on it.
    pub fn remove(&mut self, id: &str) -> bool {
        self.totals.remove(id);
        let removed = self.members.remove(id);
        if let Some(member) = &removed {
            self.digest = self.digest.wrapping_sub(hash(&member.entry));
        }
        removed.is_some()
    }

    /// Returns an endpoint's line of the list.
    pub fn entry(&self, id: &str) -> Option<&Entry> {
        self.members.get(id).map(|member| &member.entry)
    }

    /// Iterates over the lines of the list, in no order.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.members.values().map(|member| &member.entry)
    }

    /// Returns a digest of the list: who is on it, where, and whether it takes requests.
    ///
    /// Instances compare it: the sum, modulo 2^64, of XXH3 with 64 bits over each line is part of their
    /// protocol.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns whether an endpoint may get new requests.
    pub fn is_ready(&self, id: &str) -> bool {
        self.entry(id).is_some_and(|e| e.state == State::Ready)
    }

    /// Returns whether an endpoint is left out now for its failures.
    pub fn is_out(&self, id: &str, now: Moment) -> bool {
        let member = self.members.get(id);
        member.is_some_and(|member| member.health.is_out(now))
    }

    /// Counts the endpoints of a service in a failure domain that may get new requests.
    pub fn usable(&self, service: &str, domain: &str, now: Moment) -> usize {
        let there = self.members.values();
        let there = there.filter(|m| *m.entry.service == *service && *m.entry.domain == *domain);
        let ready = there.filter(|m| m.entry.state == State::Ready && !m.health.is_out(now));
        ready.count()
    }

    /// Counts a request that is sent to an endpoint, with the tokens of its prompt.
    pub fn sent(&mut self, id: &str, prompt: u32) {
        if let Some(member) = self.members.get_mut(id) {
            member.own.requests += 1;
            member.own.reading += prompt;
            member.health.sent();
        }
    }

    /// Takes in that an endpoint has read a prompt, or that its request ended before.
    pub fn read(&mut self, id: &str, prompt: u32) {
        if let Some(member) = self.members.get_mut(id) {
            member.own.reading = member.own.reading.saturating_sub(prompt);
        }
    }

    /// Counts a request that ended at an endpoint.
    pub fn ended(&mut self, id: &str, outcome: Outcome, now: Moment) {
        if let Some(member) = self.members.get_mut(id) {
            member.own.requests = member.own.requests.saturating_sub(1);
            member.health.record(outcome, now);
        }
    }

    /// Counts a failure that is not the end of a request, such as a refused connection.
    pub fn failed(&mut self, id: &str, now: Moment) {
        if let Some(member) = self.members.get_mut(id) {
            member.health.record(Outcome::Broken, now);
        }
    }

    /// Takes in how long the first byte of an answer took, before which `tokens` of prompts were to
    /// be read, those of other requests included.
    pub fn latency(&mut self, id: &str, tokens: u32, taken: Duration) {
        if let Some(member) = self.members.get_mut(id) {
            member.pace.answered(tokens, taken);
            member.health.latency(taken);
        }
    }

    /// Takes in what a peer has under way.
    pub fn report(&mut self, peer: Arc<str>, loads: HashMap<Arc<str>, Load>, now: Moment) {
        self.reports.add(peer, Told { at: now, loads }, now);
    }

    /// Takes in what all instances have under way at an endpoint, as its placer sums it.
    pub fn total(&mut self, endpoint: Arc<str>, load: Load, now: Moment) {
        self.totals.insert(endpoint, (load, now));
    }

    /// Lists what this instance itself has under way.
    pub fn own_loads(&self) -> Vec<(Arc<str>, Load)> {
        let busy = self.members.values().filter(|m| m.own.requests > 0);
        busy.map(|m| (Arc::clone(&m.entry.id), m.own)).collect()
    }

    /// Returns what is under way at an endpoint, as far as known.
    ///
    /// What instances told directly is younger, what a placer sums is more complete.
    pub fn load(&self, id: &str, now: Moment) -> Load {
        let total = self.totals.get(id);
        let total = total.filter(|(_, at)| now.since(*at) <= reports::AGE);
        let total = total.map_or_else(Load::default, |(load, _)| *load);
        self.heard_load(id, now).max(total)
    }

    /// Returns what this instance and those that tell it directly have under way at an endpoint.
    pub fn heard_load(&self, id: &str, now: Moment) -> Load {
        let own = self.members.get(id).map_or_else(Load::default, |m| m.own);
        own + self.reports.load(id, now)
    }

    /// Returns how long the first event of an answer will take at an endpoint: the prompts that are to
    /// be read before it and its own, at the pace that the endpoint showed.
    pub fn wait(&self, id: &str, prompt: u32, now: Moment) -> Option<Duration> {
        let member = self.members.get(id)?;
        let ms = self.expected_ms(member, prompt, now);
        Some(Duration::from_secs_f64(ms / 1_000.0))
    }

    fn expected_ms(&self, member: &Member, prompt: u32, now: Moment) -> f64 {
        let ahead = self.load(&member.entry.id, now).reading;
        f64::from(ahead.saturating_add(prompt)) * member.pace.ms_per_token()
    }

    /// Returns how full an endpoint is; 1 is as many requests as it works on at once.
    pub fn fill(&self, id: &str, now: Moment) -> Option<f64> {
        let slots = self.members.get(id)?.entry.slots;
        Some(f64::from(self.load(id, now).requests) / f64::from(slots.max(1)))
    }

    /// Ranks the endpoints that may take a request, cheapest first.
    ///
    /// Endpoints that are left out for their failures come only if there are no others.
    pub fn rank(&self, query: &Query<'_>, now: Moment) -> Vec<(Cost, Arc<str>)> {
        let allowed = self.allowed(query, now);
        let takes = |member: &&Member| member.takes(query) && allowed.allows(member, now);
        let members = self.members.values().filter(takes);
        self.ranked(query, members, now)
    }

    /// Returns the cheapest of some endpoints that may take a request, as [`Self::rank`] ranks them.
    ///
    /// An adapter has a few holders among some thousand endpoints, and whoever waits for one looks each time
    /// that any is loaded: what this takes does not grow with the endpoints.
    pub fn best<'a>(
        &self,
        query: &Query<'_>,
        among: impl Iterator<Item = &'a Arc<str>>,
        now: Moment,
    ) -> Option<(Cost, Arc<str>)> {
        let members = among.filter_map(|id| self.members.get(id));
        let members: Vec<&Member> = members.filter(|member| member.takes(query)).collect();
        let sound = members.iter().filter(|member| !member.health.is_out(now));
        let mut ranked = self.ranked(query, sound.copied(), now);
        if ranked.is_empty() && !members.is_empty() && self.allowed(query, now) == Allowed::All {
            ranked = self.ranked(query, members.into_iter(), now);
        }
        ranked.into_iter().next()
    }

    /// Returns which endpoints a request may go to as far as their failures say.
    fn allowed(&self, query: &Query<'_>, now: Moment) -> Allowed {
        let mut members = self.members.values();
        if members.any(|member| member.takes(query) && !member.health.is_out(now)) {
            Allowed::Sound
        } else {
            Allowed::All
        }
    }

    fn ranked<'a>(
        &self,
        query: &Query<'_>,
        members: impl Iterator<Item = &'a Member>,
        now: Moment,
    ) -> Vec<(Cost, Arc<str>)> {
        // Only what reads no prompt is compared by its latency.
        let reads = query.prompt > 0;
        let median = (!reads)
            .then(|| self.median_latency(query.service))
            .flatten();
        let costs = members.map(|m| (self.cost(m, query, median, now), Arc::clone(&m.entry.id)));
        let mut ranked: Vec<(Cost, Arc<str>)> = costs.collect();
        ranked.sort_by(|a, b| a.0.0.total_cmp(&b.0.0).then_with(|| a.1.cmp(&b.1)));
        ranked
    }

    fn cost(&self, member: &Member, query: &Query<'_>, median: Option<f64>, now: Moment) -> Cost {
        let entry = &member.entry;
        let next = f64::from(self.load(&entry.id, now).requests + 1);
        let fill = next / f64::from(entry.slots.max(1));
        let mut cost = FILL * fill + CROWDED * (fill - NEARLY_FULL).max(0.0);
        if &*entry.domain == query.domain {
            cost += CROWD * query.peers as f64 * chance(query.id, &entry.id);
        } else {
            cost += AWAY + AWAY_KB * query.bytes as f64 / 1_024.0;
        }
        cost += self.expected_ms(member, query.prompt, now);
        let own_ms = f64::from(query.prompt) * member.pace.ms_per_token();
        cost += DISTURBING * own_ms * (next - 1.0);
        if member.health.is_full(now) {
            cost += REFUSED;
        }
        // Where prompts are read, the pace says how slow an endpoint is.
        if query.prompt == 0
            && let (Some(median), Some(latency)) = (median, member.health.latency_ms())
        {
            cost += (latency - SLOW * median).clamp(0.0, SLOWEST);
        }
        let candidate = Candidate {
            name: &entry.id,
            weight: 1.0,
        };
        // The score lies above 0 and is mostly below 3; its inverse spreads equal costs.
        cost += SPREAD / (1.0 + score(query.key, &candidate));
        Cost(cost)
    }

    fn median_latency(&self, service: &str) -> Option<f64> {
        let of_service = self.members.values();
        let of_service = of_service.filter(|m| &*m.entry.service == service);
        let mut known: Vec<f64> = of_service.filter_map(|m| m.health.latency_ms()).collect();
        if known.len() < 3 {
            return None;
        }
        known.sort_by(f64::total_cmp);
        Some(known[known.len() / 2])
    }
}

/// Hashes a line of the list.
fn hash(entry: &Entry) -> u64 {
    let Entry {
        id,
        service,
        address,
        state,
        ..
    } = entry;
    xxh3_64(format!("{id} {service} {address} {state:?}").as_bytes())
}

/// Returns a number from -0.5 to 0.5 that differs by request and endpoint.
fn chance(id: &str, endpoint: &str) -> f64 {
    let hash = xxh3_64_with_seed(endpoint.as_bytes(), xxh3_64(id.as_bytes()));
    hash as f64 / u64::MAX as f64 - 0.5
}
