//! The listed endpoints with their load and health, and the selection among them.

mod capacities;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;
use ploverwick_placement::{Candidate, score};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::capacity::{EndpointKey, Pace};
use crate::interference::Pacing;
use crate::load::Load;
use crate::peer_loads::{PeerLoad, PeerLoads};
use crate::{Build, Entry, Health, Numbering, Outcome, State, totals};

/// The cost of sending a request to an endpoint, comparable to milliseconds of latency.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Cost(pub f64);

/// The cost of a full batch compared to an empty one. It is low because the duration of a generation step
/// grows little with the batch size.
const FILL_COST: f64 = 30.0;
/// The fill above which the cost rises steeply.
const NEARLY_FULL_FILL: f64 = 0.8;
/// The cost of each full batch of requests above [`NEARLY_FULL_FILL`].
const OVERLOAD_COST: f64 = 400.0;
/// The cost of an endpoint that recently refused a request at capacity.
const REFUSAL_COST: f64 = 300.0;
/// The cost of sending to another failure domain, excluding the bytes. It covers the round trip and the age of
/// the known loads there: they are half a second old, in which an endpoint gets two or three requests.
const REMOTE_COST: f64 = 12.0;
/// The cost of each kilobyte sent to another failure domain: the milliseconds that it takes on a link of
/// 20 Mbit/s, which is the bandwidth of a small instance.
const REMOTE_COST_PER_KB: f64 = 0.4;
/// The ratio to the median latency above which latency adds cost.
const SLOW_RATIO: f64 = 1.6;
/// The maximum cost of high latency.
const MAX_LATENCY_COST: f64 = 400.0;
/// The maximum cost added by a hash of key and endpoint, which spreads requests over endpoints of equal cost.
const TIE_BREAK_COST: f64 = 2.0;

/// The range of pseudo-random jitter added to costs within the failure domain, for each other instance there.
/// The known loads of other instances are about 100 ms old, so without jitter all instances would select the
/// same endpoint in the meantime. Each instance adds about half a request to an endpoint during that time.
const JITTER_COST_PER_PEER: f64 = 1.2;

/// The cost to each request in progress per millisecond spent reading the new prompt, if no pause is too long
/// for it.
const INTERFERENCE_FACTOR: f64 = 0.01;

/// The range of pseudo-random jitter of the cost to running streams, as a fraction of that cost.
const INTERFERENCE_JITTER: f64 = 1.0;

/// The parameters of an endpoint selection.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// The service to send to.
    pub service: &'a str,
    /// The failure domain that the request is sent from.
    pub domain: &'a str,
    /// A key shared by requests that benefit from going to the same endpoint.
    pub key: &'a str,
    /// The identifier of the request, which seeds the jitter.
    pub id: &'a str,
    /// The number of other instances in the failure domain that select endpoints concurrently.
    pub peers: usize,
    /// The number of bytes that would be sent to another failure domain.
    pub bytes: usize,
    /// The number of prompt tokens.
    pub prompt: u32,
    /// What the answer needs if it is a stream whose pauses must not be too long.
    pub pacing: Option<Pacing>,
    /// The only build that may serve the request; `None` if any may.
    pub build: Option<Build>,
    /// The builds that are avoided while an endpoint of another build has room for the request.
    pub avoided_builds: &'a [Build],
    /// The ratio of requests to slots at which an endpoint has no room for the request.
    pub max_fill: f64,
    /// The endpoints to exclude.
    pub except: &'a [Arc<str>],
}

#[derive(Debug)]
struct Member {
    entry: Entry,
    /// The build of the entry, kept because selections compare it and hashing takes longer.
    build: Build,
    /// The load of this instance's own requests.
    own: Load,
    pace: Pace,
    health: Health,
}

impl Member {
    /// Returns whether the endpoint is ready, belongs to the service, runs a build that may serve the request and is
    /// not excluded.
    fn accepts(&self, query: &Query<'_>) -> bool {
        let is_ready = self.entry.state == State::Ready;
        let is_of_service = &*self.entry.service == query.service;
        is_ready
            && is_of_service
            && self.is_of(query.build)
            && !query.except.contains(&self.entry.id)
    }

    /// Returns whether the endpoint runs the build, if one is given.
    fn is_of(&self, build: Option<Build>) -> bool {
        build.is_none_or(|build| build == self.build)
    }
}

/// Which endpoints are eligible with regard to their health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Eligibility {
    /// The endpoints that are not ejected.
    Healthy,
    /// All endpoints, because each of them is ejected.
    All,
}

impl Eligibility {
    fn allows(self, member: &Member, now: Moment) -> bool {
        self == Self::All || !member.health.is_ejected(now)
    }
}

/// The listed endpoints with their load and health.
#[derive(Debug, Default)]
pub struct Fleet {
    members: HashMap<Arc<str>, Member>,
    peer_loads: PeerLoads,
    /// The load of all instances at each endpoint as summed by its placer, and when the sum was received.
    totals: HashMap<Arc<str>, (Load, Moment)>,
    /// The identifiers of the endpoints by the keys that stand for them in messages.
    keys: HashMap<EndpointKey, Arc<str>>,
    capacities_ticked_at: Option<Moment>,
    /// The memory of the endpoints of each service, in tokens.
    token_capacities: HashMap<Arc<str>, u64>,
    /// The sum of the hashes of all list entries, modulo 2^64. It is updated incrementally because each message
    /// about the list needs it, and hashing 3,000 entries takes 3 ms.
    digest: u64,
    /// The numbered endpoints of each failure domain, computed when needed and dropped when one joins or leaves.
    numberings: HashMap<Arc<str>, Numbering>,
}

impl Fleet {
    /// Adds an endpoint or replaces its list entry.
    ///
    /// A draining endpoint never becomes ready again under the same identifier, even if a delayed message says so.
    pub fn put(&mut self, mut entry: Entry) {
        match self.members.get_mut(&entry.id) {
            Some(member) => {
                if member.entry.state == State::Draining {
                    entry.state = State::Draining;
                }
                if member.entry.born != entry.born && entry.born != 0 {
                    member.pace = Pace::new(&entry.id);
                }
                let before = std::mem::replace(&mut member.entry, entry);
                member.build = member.entry.build();
                if before.domain != member.entry.domain {
                    self.numberings.clear();
                }
                self.digest = self.digest.wrapping_sub(entry_hash(&before));
                self.digest = self.digest.wrapping_add(entry_hash(&member.entry));
            }
            None => {
                self.digest = self.digest.wrapping_add(entry_hash(&entry));
                self.numberings.remove(&entry.domain);
                let member = Member {
                    own: Load::default(),
                    pace: Pace::new(&entry.id),
                    health: Health::default(),
                    build: entry.build(),
                    entry,
                };
                let id = Arc::clone(&member.entry.id);
                self.keys.entry(member.pace.key()).or_insert(id);
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
        self.digest = self.digest.wrapping_sub(entry_hash(&member.entry));
        member.entry.state = State::Draining;
        self.digest = self.digest.wrapping_add(entry_hash(&member.entry));
        true
    }

    /// Removes an endpoint. Returns `false` if it was not listed.
    pub fn remove(&mut self, id: &str) -> bool {
        self.totals.remove(id);
        let removed = self.members.remove(id);
        if let Some(member) = &removed {
            self.numberings.remove(&member.entry.domain);
            self.digest = self.digest.wrapping_sub(entry_hash(&member.entry));
            let key = member.pace.key();
            if self.keys.get(&key).is_some_and(|listed| **listed == *id) {
                self.keys.remove(&key);
            }
        }
        removed.is_some()
    }

    /// Returns the list entry of an endpoint.
    pub fn entry(&self, id: &str) -> Option<&Entry> {
        self.members.get(id).map(|member| &member.entry)
    }

    /// Iterates over the list entries in arbitrary order.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.members.values().map(|member| &member.entry)
    }

    /// Returns a digest of the identifier, service, address, software and state of each list entry.
    ///
    /// Instances compare their digests, so the algorithm is part of the protocol between them: the sum of the
    /// 64-bit XXH3 hashes of all entries, modulo 2^64.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the numbering of the endpoints of a failure domain.
    pub fn numbering(&mut self, domain: &Arc<str>) -> &Numbering {
        let members = &self.members;
        self.numberings
            .entry(Arc::clone(domain))
            .or_insert_with(|| {
                let in_domain = members.values().map(|member| &member.entry);
                let in_domain = in_domain.filter(|entry| entry.domain == *domain);
                Numbering::of(in_domain.map(|entry| Arc::clone(&entry.id)))
            })
    }

    /// Returns whether an endpoint is listed as ready.
    pub fn is_ready(&self, id: &str) -> bool {
        self.entry(id).is_some_and(|e| e.state == State::Ready)
    }

    /// Returns whether an endpoint is ejected because of failures.
    pub fn is_ejected(&self, id: &str, now: Moment) -> bool {
        let member = self.members.get(id);
        member.is_some_and(|member| member.health.is_ejected(now))
    }

    /// Returns whether an endpoint is listed and runs a build.
    pub fn runs(&self, id: &str, build: Build) -> bool {
        let member = self.members.get(id);
        member.is_some_and(|member| member.build == build)
    }

    /// Returns whether an endpoint of a service that runs a build is listed as ready, ejected or not. Those in `except` do not
    /// count.
    pub fn has_ready(&self, service: &str, build: Build, except: &[Arc<str>]) -> bool {
        let mut of_build = self.members.values().filter(|m| m.build == build);
        of_build.any(|m| {
            let entry = &m.entry;
            entry.state == State::Ready && *entry.service == *service && !except.contains(&entry.id)
        })
    }

    /// Returns the number of endpoints of a service in a failure domain that are ready and not ejected, and run the
    /// build if one is given.
    pub fn count_usable(
        &self,
        service: &str,
        domain: &str,
        build: Option<Build>,
        now: Moment,
    ) -> usize {
        let in_domain = self.members.values();
        let in_domain =
            in_domain.filter(|m| *m.entry.service == *service && *m.entry.domain == *domain);
        let ready =
            in_domain.filter(|m| m.entry.state == State::Ready && !m.health.is_ejected(now));
        ready.filter(|m| m.is_of(build)).count()
    }

    /// Records that a request with `prompt` tokens was sent to an endpoint.
    pub fn record_sent(&mut self, id: &str, prompt: u32) {
        if let Some(member) = self.members.get_mut(id) {
            member.own.requests += 1;
            member.own.unread_tokens += prompt;
            member.health.record_sent();
        }
    }

    /// Records that an endpoint finished reading a prompt, or that the request ended before.
    pub fn record_prompt_read(&mut self, id: &str, prompt: u32) {
        if let Some(member) = self.members.get_mut(id) {
            member.own.unread_tokens = member.own.unread_tokens.saturating_sub(prompt);
        }
    }

    /// Records that a request ended at an endpoint. Returns whether the endpoint is ejected because of it.
    pub fn record_ended(&mut self, id: &str, outcome: Outcome, now: Moment) -> bool {
        let Some(member) = self.members.get_mut(id) else {
            return false;
        };
        member.own.requests = member.own.requests.saturating_sub(1);
        member.health.record(outcome, now)
    }

    /// Forgets the failures of an endpoint, which turned out to be those of the link to it, and readmits it.
    pub fn forget_failures(&mut self, id: &str) {
        if let Some(member) = self.members.get_mut(id) {
            member.health.forget_failures();
        }
    }

    /// Forgets the failures of the endpoints of a service and readmits them.
    pub fn forget_failures_of(&mut self, service: &str) {
        for member in self.members.values_mut() {
            if *member.entry.service == *service {
                member.health.forget_failures();
            }
        }
    }

    /// Records a failure that does not end a request, such as a late answer. Returns whether the endpoint is ejected because of it.
    pub fn record_failure(&mut self, id: &str, now: Moment) -> bool {
        let member = self.members.get_mut(id);
        member.is_some_and(|member| member.health.record(Outcome::Broken, now))
    }

    /// Records the time to the first byte of an answer.
    pub fn record_latency(&mut self, id: &str, taken: Duration) {
        if let Some(member) = self.members.get_mut(id) {
            member.health.record_latency(taken);
        }
    }

    /// Records the loads of a peer.
    pub fn record_peer_loads(
        &mut self,
        peer: Arc<str>,
        loads: HashMap<Arc<str>, Load>,
        now: Moment,
    ) {
        self.peer_loads.add(peer, PeerLoad { at: now, loads }, now);
    }

    /// Records the load of all instances at endpoints, as summed by their placer.
    pub fn record_totals(&mut self, message: &totals::Message, now: Moment) {
        let loads = message.loads(self.numbering(&message.domain));
        for (endpoint, load) in loads {
            self.totals.insert(endpoint, (load, now));
        }
    }

    /// Returns the load of this instance's own requests at each endpoint that has any.
    pub fn own_loads(&self) -> Vec<(Arc<str>, Load)> {
        let busy = self.members.values().filter(|m| m.own.requests > 0);
        busy.map(|m| (Arc::clone(&m.entry.id), m.own)).collect()
    }

    /// Returns the known load of an endpoint.
    ///
    /// This is the maximum of the load received directly from peers, which is more recent, and of the total from the
    /// placer, which is more complete.
    pub fn load(&self, id: &str, now: Moment) -> Load {
        let total = self.totals.get(id);
        let total = total.filter(|(_, at)| now.since(*at) <= totals::MAX_AGE);
        let total = total.map_or_else(Load::default, |(load, _)| *load);
        self.direct_load(id, now).max(total)
    }

    /// Returns the load of this instance's own requests at an endpoint.
    pub fn own_load(&self, id: &str) -> Load {
        self.members.get(id).map_or_else(Load::default, |m| m.own)
    }

    /// Returns the load of this instance and of the peers that send theirs to it directly.
    pub fn direct_load(&self, id: &str, now: Moment) -> Load {
        self.own_load(id) + self.peer_loads.load(id, now)
    }

    /// Returns the age of the oldest load of a peer; `None` if none is known.
    pub fn peer_load_age(&self, now: Moment) -> Option<Duration> {
        self.peer_loads.age(now)
    }

    /// Returns the expected time to the first event of an answer: the time to read the queued prompts and the
    /// request's own, at the measured speed of the endpoint.
    pub fn expected_wait(&self, id: &str, prompt: u32, now: Moment) -> Option<Duration> {
        let member = self.members.get(id)?;
        let ms = self.expected_ms(member, prompt, now);
        Some(Duration::from_secs_f64(ms / 1_000.0))
    }

    fn expected_ms(&self, member: &Member, prompt: u32, now: Moment) -> f64 {
        let ahead = self.load(&member.entry.id, now).unread_tokens;
        f64::from(ahead.saturating_add(prompt)) * member.pace.ms_per_token()
    }

    /// Returns the ratio of requests to slots of an endpoint; 1 means that all slots are in use.
    pub fn fill(&self, id: &str, now: Moment) -> Option<f64> {
        let slots = self.members.get(id)?.entry.slots;
        Some(f64::from(self.load(id, now).requests) / f64::from(slots.max(1)))
    }

    /// Ranks the eligible endpoints for a request, cheapest first. If builds are avoided, the endpoints of other builds that
    /// have room come before all others.
    ///
    /// Ejected endpoints are eligible only if there are no others that the query accepts.
    pub fn rank(&self, query: &Query<'_>, now: Moment) -> Vec<(Cost, Arc<str>)> {
        let eligibility = self.eligibility(query, now);
        let is_eligible =
            |member: &&Member| member.accepts(query) && eligibility.allows(member, now);
        let members = self.members.values().filter(is_eligible);
        self.ranked(query, members, now)
    }

    /// Returns the cheapest eligible endpoint among some candidates, by the ranking of [`Self::rank`].
    ///
    /// An adapter is loaded on a few of several thousand endpoints, and requests that wait for one call this each
    /// time any adapter is loaded. The cost must therefore not grow with the total number of endpoints.
    pub fn best<'a>(
        &self,
        query: &Query<'_>,
        among: impl Iterator<Item = &'a Arc<str>>,
        now: Moment,
    ) -> Option<(Cost, Arc<str>)> {
        let members = among.filter_map(|id| self.members.get(id));
        let members: Vec<&Member> = members.filter(|member| member.accepts(query)).collect();
        let healthy = members
            .iter()
            .filter(|member| !member.health.is_ejected(now));
        let mut ranked = self.ranked(query, healthy.copied(), now);
        if ranked.is_empty()
            && !members.is_empty()
            && self.eligibility(query, now) == Eligibility::All
        {
            ranked = self.ranked(query, members.into_iter(), now);
        }
        ranked.into_iter().next()
    }

    /// Returns which endpoints are eligible for a request with regard to their health.
    fn eligibility(&self, query: &Query<'_>, now: Moment) -> Eligibility {
        let mut members = self.members.values();
        if members.any(|member| member.accepts(query) && !member.health.is_ejected(now)) {
            Eligibility::Healthy
        } else {
            Eligibility::All
        }
    }

    fn ranked<'a>(
        &self,
        query: &Query<'_>,
        members: impl Iterator<Item = &'a Member>,
        now: Moment,
    ) -> Vec<(Cost, Arc<str>)> {
        // Latencies are comparable only between requests without a prompt.
        let has_prompt = query.prompt > 0;
        let median = (!has_prompt)
            .then(|| self.median_latency(query.service))
            .flatten();
        let costs = members.map(|m| {
            let comes_last = self.comes_last(m, query, now);
            let cost = self.cost(m, query, median, now);
            (comes_last, cost, Arc::clone(&m.entry.id))
        });
        let mut ranked: Vec<(bool, Cost, Arc<str>)> = costs.collect();
        ranked.sort_by(|a, b| {
            let by_cost = a.1.0.total_cmp(&b.1.0);
            a.0.cmp(&b.0).then(by_cost).then_with(|| a.2.cmp(&b.2))
        });
        let ranked = ranked.into_iter();
        ranked.map(|(_, cost, id)| (cost, id)).collect()
    }

    /// Returns whether an endpoint ranks behind those of builds that are not avoided. The full ones do, too: a request had better
    /// run at an avoided build than not at all.
    fn comes_last(&self, member: &Member, query: &Query<'_>, now: Moment) -> bool {
        if query.avoided_builds.is_empty() {
            return false;
        }
        let fill = self.fill(&member.entry.id, now);
        let has_room =
            fill.is_some_and(|fill| fill < query.max_fill) && !member.health.is_full(now);
        !has_room || query.avoided_builds.contains(&member.build)
    }

    fn cost(&self, member: &Member, query: &Query<'_>, median: Option<f64>, now: Moment) -> Cost {
        let entry = &member.entry;
        let load = self.load(&entry.id, now);
        let next = f64::from(load.requests + 1);
        let fill = next / f64::from(entry.slots.max(1));
        let mut cost = FILL_COST * fill + OVERLOAD_COST * (fill - NEARLY_FULL_FILL).max(0.0);
        if &*entry.domain == query.domain {
            cost += JITTER_COST_PER_PEER * query.peers as f64 * jitter(query.id, &entry.id);
        } else {
            cost += REMOTE_COST + REMOTE_COST_PER_KB * query.bytes as f64 / 1_024.0;
        }
        cost += self.expected_ms(member, query.prompt, now);
        cost += interference(member, query, load);
        cost += self.memory_cost(member, query.prompt, now);
        if member.health.is_full(now) {
            cost += REFUSAL_COST;
        }
        // For requests with a prompt, the expected time already covers slow endpoints.
        if query.prompt == 0
            && let (Some(median), Some(latency)) = (median, member.health.latency_ms())
        {
            cost += (latency - SLOW_RATIO * median).clamp(0.0, MAX_LATENCY_COST);
        }
        let candidate = Candidate {
            name: &entry.id,
            weight: 1.0,
        };
        // Scores are above 0 and mostly below 3, so the inverse varies enough to break ties.
        cost += TIE_BREAK_COST / (1.0 + score(query.key, &candidate));
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

/// Returns the cost to the streams at an endpoint, with a jitter that spreads the concurrent choices of instances
/// that know the same loads.
fn interference(member: &Member, query: &Query<'_>, load: Load) -> f64 {
    let capacity = member.pace.capacity();
    let Some(pacing) = &query.pacing else {
        let own_ms = f64::from(query.prompt) * capacity.read_ms;
        return INTERFERENCE_FACTOR * own_ms * f64::from(load.requests);
    };
    let factor = 1.0 + INTERFERENCE_JITTER * jitter(query.id, &member.entry.id);
    factor * pacing.cost(capacity, load, query.prompt)
}

/// Returns the hash of a list entry.
fn entry_hash(entry: &Entry) -> u64 {
    let Entry {
        id,
        service,
        address,
        software,
        state,
        ..
    } = entry;
    xxh3_64(format!("{id} {service} {address} {software} {state:?}").as_bytes())
}

/// Returns a pseudo-random number between -0.5 and 0.5 that is determined by the request and the endpoint.
fn jitter(id: &str, endpoint: &str) -> f64 {
    let hash = xxh3_64_with_seed(endpoint.as_bytes(), xxh3_64(id.as_bytes()));
    hash as f64 / u64::MAX as f64 - 0.5
}
