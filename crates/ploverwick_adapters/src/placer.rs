//! Chooses the endpoint of a failure domain that loads an adapter.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;
use ploverwick_placement::{Candidate, equally_weighted, rank, score};
use serde::{Deserialize, Serialize};

use crate::{Answer, Copy, Event, Order, Slots, Window};

/// The number of endpoints, by hash, among which an adapter is placed. It is small so that the
/// adapter returns to an endpoint that has it cached, even after all instances were restarted.
const PREFERRED_ENDPOINTS: usize = 4;
// Costs and bonuses of an endpoint, in tenths of a second until it can serve the adapter.

/// The cost of each load running at the endpoint, which delays the next order.
const LOADING_COST: f64 = 0.15;
/// The cost of each adapter waiting there for a slot: of nine slots in use for two seconds each,
/// one becomes free every 0.2 s.
const WAITING_COST: f64 = 2.0;
/// The weight of the hash of adapter and endpoint, a value between 0 and 3. It decides between
/// equal endpoints, so that an adapter returns to its previous endpoint even when no instance
/// remembers it.
const HASH_WEIGHT: f64 = 0.3;
/// The cost of each second of queued prompts.
const PROMPT_WAIT_COST: f64 = 10.0;
/// The cost of an endpoint where every slot is in use: a request must finish first.
const NO_ROOM_COST: f64 = 6.0;
/// The bonus of an endpoint that has the adapter cached: it loads 0.23 s faster, and the weight
/// store is left to adapters that are available only there.
const CACHED_BONUS: f64 = 12.0;

/// Why an adapter is requested.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Need {
    /// No endpoint that holds the adapter is available to a request.
    Any,
    /// A request cannot use the endpoints that hold the adapter.
    Another,
}

/// An endpoint at which an adapter may be placed.
#[derive(Debug, Clone)]
pub struct Target {
    /// The endpoint's name.
    pub endpoint: Arc<str>,
    /// How long a request would wait there for queued prompts of other requests.
    pub wait: Duration,
}

/// Places adapters at the endpoints of one failure domain.
#[derive(Debug, Default)]
pub struct Placer {
    endpoints: HashMap<Arc<str>, Slots>,
    window: Window,
}

impl Placer {
    /// Adds an endpoint, unless it is already known.
    pub fn add(&mut self, endpoint: &Arc<str>, capacity: usize, now: Moment) {
        self.endpoints
            .entry(Arc::clone(endpoint))
            .or_insert_with(|| Slots::new(capacity, now));
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, endpoint: &str) {
        self.endpoints.remove(endpoint);
    }

    /// Removes all endpoints.
    pub fn clear(&mut self) {
        self.endpoints.clear();
    }

    /// Returns an endpoint's slots.
    pub fn slots(&mut self, endpoint: &str) -> Option<&mut Slots> {
        self.endpoints.get_mut(endpoint)
    }

    /// Iterates over endpoints and their slots in arbitrary order.
    pub fn endpoints(&self) -> impl Iterator<Item = (&Arc<str>, &Slots)> {
        self.endpoints.iter()
    }

    /// Returns whether another load may start. Loads at unresponsive endpoints, which may have
    /// crashed, do not count.
    pub fn may_load(&self) -> bool {
        self.loading() < self.window.size()
    }

    /// Applies an endpoint's answer to an order.
    pub fn handle_answer(
        &mut self,
        endpoint: &str,
        order: &Order,
        answer: Answer,
        now: Moment,
    ) -> Option<Event> {
        let in_flight = self.loading();
        let limit = self.window.size();
        let slots = self.endpoints.get_mut(endpoint)?;
        let load_started = slots.load_started(order);
        let event = slots.handle_answer(order, answer, now);
        if let (Some(started), Some(Event::Loaded(_))) = (load_started, &event) {
            self.window.record_load(started, now, in_flight, limit);
        }
        event
    }

    /// Returns the number of running loads and the limit on them.
    pub fn loads_in_flight(&self) -> (usize, usize) {
        (self.loading(), self.window.size())
    }

    fn loading(&self) -> usize {
        let answering = self
            .endpoints
            .values()
            .filter(|slots| !slots.is_unresponsive());
        answering.map(Slots::loading).sum()
    }

    /// Returns the number of adapters that wait for a slot or for their load to start.
    pub fn waiting(&self) -> usize {
        self.endpoints.values().map(Slots::waiting).sum()
    }

    /// Places a requested adapter and returns the endpoint that is to load it.
    ///
    /// `targets` are the endpoints that may serve it. Returns `None` if one of them already holds
    /// or expects it, or if none can load it.
    pub fn place(
        &mut self,
        copy: &Copy,
        targets: &[Target],
        need: Need,
        previous_holders: &[Arc<str>],
        now: Moment,
    ) -> Option<Arc<str>> {
        let slots_of = |target: &Target| &self.endpoints[&target.endpoint];
        let has_slots = |target: &&Target| self.endpoints.contains_key(&target.endpoint);
        // Loads do not complete at an unresponsive endpoint. If all are unresponsive, this
        // instance's own connection may be at fault.
        let is_responsive = |target: &Target| !slots_of(target).is_unresponsive();
        let is_any_responsive = targets.iter().filter(has_slots).any(is_responsive);
        let known =
            |target: &&Target| has_slots(target) && (!is_any_responsive || is_responsive(target));
        let holding = targets
            .iter()
            .filter(known)
            .filter(|target| slots_of(target).holds(copy));
        let mut expecting = targets
            .iter()
            .filter(known)
            .filter(|target| slots_of(target).expects(copy));
        let first = expecting.next();
        // As many copies may be loading as are held: the number of copies of a busy adapter
        // doubles.
        let max_expected = match need {
            Need::Any => 1,
            Need::Another => holding.count().max(1),
        };
        if let Some(target) = first
            && expecting.count() + 1 >= max_expected
        {
            let endpoint = Arc::clone(&target.endpoint);
            // Keeps the pending load from expiring while it is requested.
            self.slots(&endpoint)?.request_load(copy.clone(), now);
            return None;
        }
        if need == Need::Any
            && targets
                .iter()
                .filter(known)
                .any(|target| slots_of(target).holds(copy))
        {
            return None;
        }
        let key = copy.key.to_string();
        let has_it =
            |target: &Target| slots_of(target).holds(copy) || slots_of(target).expects(copy);
        let can_load =
            |target: &&Target| slots_of(target).has_base(&copy.key.model) && !has_it(target);
        let targets: Vec<&Target> = targets.iter().filter(known).filter(can_load).collect();
        let names = targets.iter().map(|target| &*target.endpoint);
        let preferred = rank(&key, &equally_weighted(names), PREFERRED_ENDPOINTS);
        let best = targets
            .iter()
            .enumerate()
            .filter(|(index, target)| {
                preferred.contains(index) || previous_holders.contains(&target.endpoint)
            })
            .map(|(_, target)| *target)
            .max_by(|a, b| {
                let a = rating(a, slots_of(a), copy, &key, previous_holders, now);
                let b = rating(b, slots_of(b), copy, &key, previous_holders, now);
                a.total_cmp(&b)
            })?;
        let endpoint = Arc::clone(&best.endpoint);
        self.slots(&endpoint)?.request_load(copy.clone(), now);
        Some(endpoint)
    }
}

fn rating(
    target: &Target,
    slots: &Slots,
    copy: &Copy,
    key: &str,
    previous_holders: &[Arc<str>],
    now: Moment,
) -> f64 {
    let candidate = Candidate {
        name: &target.endpoint,
        weight: 1.0,
    };
    let mut rating = HASH_WEIGHT * score(key, &candidate).min(3.0);
    rating -= LOADING_COST * slots.loading() as f64;
    rating -= WAITING_COST * slots.waiting() as f64;
    rating -= PROMPT_WAIT_COST * target.wait.as_secs_f64();
    if !slots.has_room(now) {
        rating -= NO_ROOM_COST;
    }
    // Replacing another version would wait for the requests that use it.
    if slots.has_any_version(&copy.key) {
        rating -= NO_ROOM_COST / 2.0;
    }
    if previous_holders.contains(&target.endpoint) {
        rating += CACHED_BONUS;
    }
    rating
}
