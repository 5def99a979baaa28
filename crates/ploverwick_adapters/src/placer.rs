//! Chooses the endpoint of a failure domain that loads an adapter.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;
use ploverwick_placement::{Candidate, rank, score};
use serde::{Deserialize, Serialize};

use crate::congestion::Congestion;
use crate::{Answer, Budget, Capacity, Copy, Demand, Event, Order, Permit, Slots, Wanted, Window};

/// The number of endpoints, by hash, among which an adapter is placed. It is small so that the
/// adapter returns to an endpoint that has it cached, even after all instances were restarted.
const PREFERRED_ENDPOINTS: usize = 4;
/// How long the plan of loads that may start is valid. Endpoints with pending loads ask for it every
/// 18 ms.
const PLAN_INTERVAL: Duration = Duration::from_millis(10);
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
/// The cost of each second that the streams pause for a further prompt, including the time to read
/// those that are queued.
const PAUSE_COST: f64 = 10.0;
/// The cost of an endpoint where every slot is in use: a request must finish first.
const NO_ROOM_COST: f64 = 6.0;
/// The bonus of an endpoint that has the adapter cached: it loads 0.23 s faster, and the weight
/// store is left to adapters that are available only there.
const CACHED_BONUS: f64 = 12.0;
/// The pause at an endpoint that gets a copy to relieve others, as a fraction of the shortest pause
/// at those. With less difference, the copy would help nobody.
const RELIEF_PAUSE_RATIO: f64 = 0.6;

/// Why an adapter is requested.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Need {
    /// No endpoint that holds the adapter is available to a request.
    Any,
    /// A request cannot use the endpoints that hold the adapter.
    Another,
    /// A request uses an endpoint that holds the adapter, but is likely to pause the streams there for too long.
    Relief,
}

/// A request to have an adapter loaded.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Request {
    /// The adapter.
    pub copy: Copy,
    /// Why it is requested.
    pub need: Need,
    /// How urgent it is: the number of requests of the lowest priority that it stands for.
    pub weight: u32,
}

impl Request {
    /// Creates a request of the lowest priority.
    pub fn new(copy: Copy, need: Need) -> Self {
        let weight = 1;
        Self { copy, need, weight }
    }
}

/// Why an adapter is not placed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Declined {
    /// An endpoint already holds it.
    Held(Arc<str>),
    /// An endpoint is about to load it.
    Expected,
    /// It would be a further copy, and adapters without any need the weight store.
    NoRoom,
    /// It would relieve endpoints that are congested for a moment only.
    Uncongested,
    /// No endpoint can load it.
    NoEndpoint,
}

/// An endpoint at which an adapter may be placed.
#[derive(Debug, Clone)]
pub struct Target {
    /// The endpoint's name.
    pub endpoint: Arc<str>,
    /// The pause that a further prompt would cause in the streams there, after those that are queued.
    pub pause: Duration,
    /// The endpoint's share of the adapters relative to the others, by its speed; must be greater than 0.
    pub share: f64,
}

impl Target {
    fn candidate(&self) -> Candidate<'_> {
        Candidate {
            name: &self.endpoint,
            weight: self.share,
        }
    }
}

/// The loads that may start, computed at intervals because all endpoints take part.
#[derive(Debug, Default)]
struct Plan {
    computed_at: Option<Moment>,
    /// The number of loads that may start.
    room: usize,
    /// The endpoints with a first copy to load and its weight, the greatest first.
    first_copies: Vec<(u32, Arc<str>)>,
}

/// Places adapters at the endpoints of one failure domain.
#[derive(Debug, Default)]
pub struct Placer {
    endpoints: HashMap<Arc<str>, Slots>,
    window: Window,
    congestion: Congestion,
    budget: Budget,
    plan: Plan,
}

impl Placer {
    /// Adds an endpoint, or changes the capacity of one that is known.
    pub fn add(&mut self, endpoint: &Arc<str>, capacity: impl Into<Capacity>, now: Moment) {
        let capacity = capacity.into();
        match self.endpoints.get_mut(endpoint) {
            Some(slots) => slots.set_capacity(&capacity, now),
            None => {
                let slots = Slots::new(capacity, now);
                self.endpoints.insert(Arc::clone(endpoint), slots);
            }
        }
        self.window.start_for(self.endpoints.len());
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, endpoint: &str) {
        self.endpoints.remove(endpoint);
    }

    /// Removes all endpoints, because another placer decided on them or will decide. The load
    /// window starts anew at the size that other placers have learned.
    pub fn clear(&mut self, now: Moment) {
        self.endpoints.clear();
        self.window.restart(self.budget.mean_window(now));
    }

    /// Records the demand of another failure domain's placer.
    pub fn record_demand(&mut self, domain: &Arc<str>, demand: Demand, now: Moment) {
        self.budget.record_demand(domain, demand, now);
    }

    /// Returns this placer's demand for loads from the weight store.
    pub fn demand(&self, now: Moment) -> Demand {
        let pending = self.responsive().map(Slots::pending_store_loads);
        let waiting = pending.map(|(first, further)| first + further).sum();
        let load_time = self.window.load_time().unwrap_or_default();
        let narrow = |count: usize| u16::try_from(count).unwrap_or(u16::MAX);
        Demand {
            window: narrow(self.window.size()),
            in_flight: narrow(self.store_loads(now)),
            waiting: narrow(waiting),
            load_ms: u16::try_from(load_time.as_millis()).unwrap_or(u16::MAX),
        }
    }

    /// Returns the number of loads from the weight store that may run at once.
    pub fn load_limit(&self, now: Moment) -> usize {
        self.budget.limit(self.demand(now), now)
    }

    /// Returns which loads may start at an endpoint. Loads at unresponsive endpoints, which may
    /// have crashed, do not count.
    pub fn permit(&mut self, endpoint: &str, now: Moment) -> Permit {
        let slots = self.endpoints.get(endpoint);
        if slots.is_none_or(|slots| slots.waiting() == 0) {
            return Permit::Cached;
        }
        let computed_at = self.plan.computed_at;
        if computed_at.is_none_or(|at| now.since(at) >= PLAN_INTERVAL) {
            self.plan = self.make_plan(now);
        }
        let plan = &self.plan;
        let mut first_copies = plan.first_copies.iter();
        match first_copies.position(|(_, id)| **id == *endpoint) {
            _ if plan.room == 0 => Permit::Cached,
            Some(position) if position < plan.room => Permit::First,
            Some(_) => Permit::Cached,
            None if plan.first_copies.len() < plan.room => Permit::All,
            None => Permit::First,
        }
    }

    fn make_plan(&self, now: Moment) -> Plan {
        let first_copies = self.endpoints.iter().filter_map(|(id, slots)| {
            let weight = slots.next_first_copy(now)?;
            Some((weight, Arc::clone(id)))
        });
        let mut first_copies: Vec<(u32, Arc<str>)> = first_copies.collect();
        first_copies.sort_unstable_by(|a, b| b.cmp(a));
        Plan {
            computed_at: Some(now),
            room: self.load_limit(now).saturating_sub(self.store_loads(now)),
            first_copies,
        }
    }

    /// Returns an endpoint's slots.
    pub fn slots(&mut self, endpoint: &str) -> Option<&mut Slots> {
        self.endpoints.get_mut(endpoint)
    }

    /// Iterates over endpoints and their slots in arbitrary order.
    pub fn endpoints(&self) -> impl Iterator<Item = (&Arc<str>, &Slots)> {
        self.endpoints.iter()
    }

    /// Applies an endpoint's answer to an order.
    pub fn handle_answer(
        &mut self,
        endpoint: &str,
        order: &Order,
        answer: Answer,
        now: Moment,
    ) -> Option<Event> {
        let slots = self.endpoints.get_mut(endpoint)?;
        let load_started = slots.load_started(order);
        let event = slots.handle_answer(order, answer, now);
        if let (Some(started), Some(Event::Loaded(_))) = (load_started, &event) {
            let in_flight = self.store_loads(now) + 1;
            let limit = self.load_limit(now);
            self.window.record_load(started, now, in_flight, limit);
        }
        match &event {
            Some(Event::Loading(_)) => self.plan.room = self.plan.room.saturating_sub(1),
            Some(Event::Loaded(_)) => self.plan.computed_at = None,
            _ => {}
        }
        event
    }

    fn store_loads(&self, now: Moment) -> usize {
        self.responsive().map(|slots| slots.store_loads(now)).sum()
    }

    /// Returns whether a further copy may be loaded from the weight store: no adapter without a
    /// copy waits for the store, here or in another failure domain.
    fn has_room_for_copy(&self, now: Moment) -> bool {
        let mut demand = self.demand(now);
        demand.waiting = demand.waiting.saturating_add(1);
        let wanted = usize::from(demand.in_flight) + usize::from(demand.waiting);
        wanted <= self.budget.limit(demand, now) && !self.budget.is_exceeded(now)
    }

    fn responsive(&self) -> impl Iterator<Item = &Slots> {
        let slots = self.endpoints.values();
        slots.filter(|slots| !slots.is_unresponsive())
    }

    /// Returns the number of adapters that wait for a slot or for their load to start.
    pub fn waiting(&self) -> usize {
        self.endpoints.values().map(Slots::waiting).sum()
    }

    /// Places a requested adapter and returns the endpoint that is to load it.
    ///
    /// `targets` are the endpoints that may serve it.
    ///
    /// # Errors
    /// Returns why the adapter is not placed.
    pub fn place(
        &mut self,
        request: &Request,
        targets: &[Target],
        previous_holders: &[Arc<str>],
        now: Moment,
    ) -> Result<Arc<str>, Declined> {
        let Request { copy, need, .. } = request;
        if *need == Need::Relief && !self.congestion.record(copy, now) {
            return Err(Declined::Uncongested);
        }
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
        let max_expected = match *need {
            Need::Any => 1,
            Need::Another | Need::Relief => holding.clone().count().max(1),
        };
        if let Some(target) = first
            && expecting.count() + 1 >= max_expected
        {
            let endpoint = Arc::clone(&target.endpoint);
            let wanted = wanted(request, &endpoint, previous_holders);
            // Keeps the pending load from expiring while it is requested.
            self.request(&endpoint, wanted, now);
            return Err(Declined::Expected);
        }
        if *need == Need::Any
            && let Some(target) = targets
                .iter()
                .filter(known)
                .find(|target| slots_of(target).holds(copy))
        {
            return Err(Declined::Held(Arc::clone(&target.endpoint)));
        }
        let max_pause = holding
            .map(|target| target.pause.mul_f64(RELIEF_PAUSE_RATIO))
            .min()
            .unwrap_or(Duration::MAX);
        let relieves = |target: &Target| {
            let slots = slots_of(target);
            target.pause <= max_pause && slots.has_room(now) && slots.waiting() == 0
        };
        let needs_cached = *need != Need::Any && !self.has_room_for_copy(now);
        let is_permitted =
            |target: &&Target| !needs_cached || previous_holders.contains(&target.endpoint);
        let key = copy.key.to_string();
        let has_it =
            |target: &Target| slots_of(target).holds(copy) || slots_of(target).expects(copy);
        let can_load = |target: &&Target| {
            slots_of(target).has_base(&copy.key.model)
                && !has_it(target)
                && (*need != Need::Relief || relieves(target))
        };
        let targets = targets.iter().filter(known).filter(can_load);
        let targets: Vec<&Target> = targets.filter(is_permitted).collect();
        let candidates: Vec<Candidate<'_>> = targets.iter().map(|t| t.candidate()).collect();
        let preferred = rank(&key, &candidates, PREFERRED_ENDPOINTS);
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
            });
        let Some(best) = best else {
            return Err(if needs_cached {
                Declined::NoRoom
            } else {
                Declined::NoEndpoint
            });
        };
        let endpoint = Arc::clone(&best.endpoint);
        let wanted = wanted(request, &endpoint, previous_holders);
        self.request(&endpoint, wanted, now);
        Ok(endpoint)
    }

    fn request(&mut self, endpoint: &str, wanted: Wanted, now: Moment) {
        if let Some(slots) = self.endpoints.get_mut(endpoint) {
            slots.request(wanted, now);
        }
    }
}

fn wanted(request: &Request, endpoint: &Arc<str>, previous_holders: &[Arc<str>]) -> Wanted {
    Wanted {
        copy: request.copy.clone(),
        need: request.need,
        is_cached: previous_holders.contains(endpoint),
        weight: request.weight,
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
    let mut rating = HASH_WEIGHT * score(key, &target.candidate()).min(3.0);
    rating -= LOADING_COST * slots.loading() as f64;
    rating -= WAITING_COST * slots.waiting() as f64;
    rating -= PAUSE_COST * target.pause.as_secs_f64();
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
