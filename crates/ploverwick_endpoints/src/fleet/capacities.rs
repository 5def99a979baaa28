//! What the fleet learns of the speed and the memory of its endpoints.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;

use super::{Fleet, Member};
use crate::Load;
use crate::capacity::{
    Capacity, EndpointKey, EndpointObservations, Figure, INITIAL, Observations, slowness,
};

/// The memory fill up to which an endpoint costs no more. The rest absorbs what is sent there before the load of
/// this request is known.
const NEARLY_FULL_MEMORY: f64 = 0.9;
/// The cost of each whole memory above [`NEARLY_FULL_MEMORY`]. A preempted request is read anew, and its stream
/// pauses until there is room: a full memory costs as much as half a full batch too many.
const MEMORY_OVERFLOW_COST: f64 = 4_000.0;

impl Fleet {
    /// Returns the learned speed of an endpoint; `None` if it is not listed.
    pub fn capacity(&self, id: &str) -> Option<Capacity> {
        self.members.get(id).map(|member| member.pace.capacity())
    }

    /// Returns the number of endpoints of a failure domain whose speed is known from observations there.
    pub fn count_known_capacities(&self, domain: &str) -> usize {
        let members = self.members.values();
        let in_domain = members.filter(|member| *member.entry.domain == *domain);
        in_domain.filter(|m| m.pace.is_known()).count()
    }

    /// Records the time that an endpoint took to read `tokens` prompt tokens, including those of other requests that
    /// were queued before, and to take `steps` steps.
    ///
    /// The time of requests that waited for a slot says nothing and must not be recorded.
    pub fn record_reading(&mut self, id: &str, tokens: u32, steps: u32, taken: Duration) {
        if let Some(member) = self.members.get_mut(id) {
            member.pace.record_reading(tokens, steps, taken);
        }
    }

    /// Records what this instance observed at an endpoint.
    pub fn record_observations(&mut self, id: &str, observed: Observations) {
        if let Some(member) = self.members.get_mut(id) {
            member.pace.record_own(observed);
        }
    }

    /// Records what another instance observed. The placer of the endpoints' failure domain receives this.
    pub fn record_peer_observations(&mut self, observed: &[EndpointObservations]) {
        for observed in observed {
            if let Some(member) = self.by_key(observed.endpoint) {
                member.pace.record(observed.observations);
            }
        }
    }

    /// Records figures from a placer.
    pub fn record_figures(&mut self, figures: &[Figure]) {
        for figure in figures {
            if let Some(member) = self.by_key(figure.endpoint) {
                member.pace.record_told(figure.capacity());
            }
        }
    }

    fn by_key(&mut self, key: EndpointKey) -> Option<&mut Member> {
        self.members.get_mut(self.keys.get(&key)?)
    }

    /// Reduces the weight of earlier observations for the time since the last call, and updates what is assumed of
    /// endpoints of which little is known.
    pub fn tick_capacities(&mut self, now: Moment) {
        let elapsed = now.since(self.capacities_ticked_at.unwrap_or(now));
        self.capacities_ticked_at = Some(now);
        let priors = self.typical_capacities();
        for member in self.members.values_mut() {
            let prior = priors.get(&member.entry.service);
            member.pace.tick(elapsed, prior.copied().unwrap_or(INITIAL));
        }
    }

    /// Returns the median speed of the known endpoints of each service.
    fn typical_capacities(&self) -> HashMap<Arc<str>, Capacity> {
        let mut known: HashMap<&Arc<str>, (Vec<f64>, Vec<f64>)> = HashMap::new();
        for member in self.members.values() {
            let (reads, steps) = known.entry(&member.entry.service).or_default();
            let (read, step) = member.pace.known();
            reads.extend(read);
            steps.extend(step);
        }
        let medians = known.into_iter().map(|(service, (reads, steps))| {
            let mut typical = INITIAL;
            if let Some(step_ms) = median(steps) {
                typical.step_ms = step_ms;
            }
            let read_ms = median(reads).unwrap_or(INITIAL.read_ms);
            typical.read_ms = read_ms * slowness(typical);
            (Arc::clone(service), typical)
        });
        medians.collect()
    }

    /// Removes and returns up to `max` observations of this instance at endpoints of a failure domain, for its
    /// placer: those that hold the most. The others are sent later, with what is added to them.
    pub fn take_observations(&mut self, domain: &str, max: usize) -> Vec<EndpointObservations> {
        let members = self.members.values_mut();
        let in_domain = members.filter(|member| *member.entry.domain == *domain);
        let mut pending: Vec<&mut Member> = in_domain
            .filter(|member| !member.pace.pending().is_empty())
            .collect();
        pending.sort_by(|a, b| {
            let amount = |member: &Member| member.pace.pending().amount();
            amount(b).cmp(&amount(a)).then(a.entry.id.cmp(&b.entry.id))
        });
        let taken = pending.into_iter().take(max);
        let taken = taken.map(|member| EndpointObservations {
            endpoint: member.pace.key(),
            observations: member.pace.take_pending(),
        });
        taken.collect()
    }

    /// Returns the speeds of endpoints of a failure domain that this instance, its placer, should send to all: up to
    /// `changed` that differ from what was sent, the largest change first, and up to `refreshed` of the others, the
    /// one that was sent the longest ago first.
    pub fn next_figures(
        &mut self,
        domain: &str,
        changed: usize,
        refreshed: usize,
    ) -> Vec<(Arc<str>, Figure)> {
        let members = self.members.values_mut();
        let members = members.filter(|member| *member.entry.domain == *domain);
        let (mut different, mut same): (Vec<_>, Vec<_>) = members
            .filter(|member| member.pace.is_known())
            .partition(|member| member.pace.change().is_some());
        different.sort_by(|a, b| {
            let change = |member: &Member| member.pace.change().unwrap_or(1.0);
            let order = change(b).total_cmp(&change(a));
            order.then(a.entry.id.cmp(&b.entry.id))
        });
        same.sort_by(|a, b| {
            let age = |member: &Member| member.pace.sent_age();
            age(b).cmp(&age(a)).then(a.entry.id.cmp(&b.entry.id))
        });
        let chosen = different.into_iter().take(changed);
        let chosen = chosen.chain(same.into_iter().take(refreshed));
        let figures =
            chosen.map(|member| (Arc::clone(&member.entry.id), member.pace.send_figure()));
        figures.collect()
    }

    /// Sets the memory of the endpoints of each service, in tokens. Services without an entry have none declared.
    pub fn set_token_capacities(&mut self, capacities: HashMap<Arc<str>, u64>) {
        self.token_capacities = capacities;
    }

    /// Records the tokens that a request is expected to hold at an endpoint until it ends.
    pub fn record_held(&mut self, id: &str, tokens: u32) {
        if let Some(member) = self.members.get_mut(id) {
            member.own.held_tokens = member.own.held_tokens.saturating_add(tokens);
        }
    }

    /// Records that a request which held tokens ended at an endpoint.
    pub fn record_released(&mut self, id: &str, tokens: u32) {
        if let Some(member) = self.members.get_mut(id) {
            member.own.held_tokens = member.own.held_tokens.saturating_sub(tokens);
        }
    }

    /// Returns the ratio of the tokens that the running requests of an endpoint are expected to hold to its memory;
    /// `None` if its service declares no memory. Above 1, the endpoint preempts requests.
    pub fn memory_fill(&self, id: &str, now: Moment) -> Option<f64> {
        let member = self.members.get(id)?;
        self.memory_fill_of(member, self.load(id, now))
    }

    /// Returns the highest memory fill of the endpoints of a failure domain; `None` if none declares its memory.
    pub fn max_memory_fill(&self, domain: &str, now: Moment) -> Option<f64> {
        let members = self.members.values();
        let in_domain = members.filter(|member| *member.entry.domain == *domain);
        let fills = in_domain.filter_map(|m| self.memory_fill_of(m, self.load(&m.entry.id, now)));
        fills.max_by(f64::total_cmp)
    }

    fn memory_fill_of(&self, member: &Member, load: Load) -> Option<f64> {
        let capacity = *self.token_capacities.get(&member.entry.service)?;
        // Requests that wait for a slot hold nothing yet.
        let slots = f64::from(member.entry.slots.max(1));
        let running_share = (slots / f64::from(load.requests.max(1))).min(1.0);
        let held = f64::from(load.held_tokens) * running_share;
        (capacity > 0).then(|| held / capacity as f64)
    }

    /// Returns the cost of sending a prompt to an endpoint whose memory may overflow.
    pub(super) fn memory_cost(&self, member: &Member, prompt: u32, now: Moment) -> f64 {
        if !self.token_capacities.contains_key(&member.entry.service) {
            return 0.0;
        }
        let mut load = self.load(&member.entry.id, now);
        load.requests += 1;
        load.held_tokens = load.held_tokens.saturating_add(prompt);
        let fill = self.memory_fill_of(member, load).unwrap_or(0.0);
        MEMORY_OVERFLOW_COST * (fill - NEARLY_FULL_MEMORY).max(0.0)
    }
}

/// Returns the median, or the lower of two.
fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len().checked_sub(1)? / 2).copied()
}
