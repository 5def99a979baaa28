//! The places for adapters at one endpoint, and the next order to it.
//!
//! The shelf never lets more adapters be held or on their way than there are places, whatever
//! becomes of an order that got no answer: each order names the number of accepted orders at
//! which it holds. What an endpoint has at a number is settled, so that of all orders at one number,
//! also of earlier placers, at most one takes a place, and an order is safe for good if there is
//! room for it at the number that it names. At a number that is only taken for granted there may
//! be an adapter more than is known, and room is kept for that one too.

mod outcome;
mod plan;

use std::collections::{HashMap, VecDeque};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;

use crate::{Copy, Op, Order};

/// How long an endpoint's report may lag behind, with some room.
const REPORT_LAG: Duration = Duration::from_millis(260);
/// The pause between looks; a look costs little more than the message.
const LOOK: Duration = Duration::from_millis(18);
/// How long an instance's word that it uses an adapter counts. Instances repeat it every 150 ms, so that
/// four lost messages in a row do not free an adapter, and a lost last word does not hold one for good.
const USE_AGE: Duration = Duration::from_millis(700);
/// Orders and reports in a row without an answer after which an endpoint counts as silent. Where some
/// answers are lost a few in a row are chance; an endpoint that crashed answers none.
const SILENT: u32 = 4;

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Send this order and pass its answer to [`Shelf::answered`].
    Send(Order),
    /// Ask the endpoint for its report and pass it to [`Shelf::report`].
    Report,
    /// Nothing before this moment.
    Wait(Moment),
    /// Nothing until something changes.
    Idle,
}

/// What changed at the endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// This adapter is on its way to it.
    Coming(Copy),
    /// It holds this adapter from now on.
    Loaded(Copy),
    /// It does not hold this adapter any more.
    Unloaded(Copy),
    /// What it holds was learned anew.
    Learned(Vec<Copy>),
    /// It holds a base model from now on.
    BaseLoaded(Arc<str>),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Held,
    Coming { look_at: Moment, ordered: Moment },
    Leaving { look_at: Moment },
}

/// What one instance said of its requests that use an adapter.
#[derive(Debug, Clone, Copy)]
struct User {
    instance: IpAddr,
    requests: u32,
    at: Moment,
}

#[derive(Debug, Clone)]
struct Place {
    state: State,
    /// When it was loaded or last said to be in use.
    used: Moment,
    /// Some instance has said that it uses it.
    was_used: bool,
    /// Only a report told of it: an unload that was accepted before may wait for its runs, or they
    /// ended since. Another unload of it is then obeyed without being counted.
    may_leave: bool,
    users: Vec<User>,
}

impl Place {
    fn new(state: State, now: Moment) -> Self {
        Self {
            state,
            used: now,
            was_used: false,
            may_leave: false,
            users: Vec::new(),
        }
    }

    /// Counts the requests that use it, as far as instances said so lately.
    fn in_use(&self, now: Moment) -> u32 {
        let fresh = self.users.iter().filter(|u| now.since(u.at) < USE_AGE);
        fresh.map(|user| user.requests).sum()
    }
}

#[derive(Debug, Clone)]
struct Wish {
    copy: Copy,
    at: Moment,
    /// How often it was asked for: the more requests wait for it, the more often.
    asks: u32,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Base {
    Held,
    Coming { look_at: Moment },
    Missing,
}

/// The places for adapters at one endpoint.
#[derive(Debug)]
pub struct Shelf {
    capacity: usize,
    /// The number of accepted orders; `None` until a report tells.
    orders: Option<u64>,
    report_at: Moment,
    models: HashMap<Arc<str>, Base>,
    places: HashMap<Copy, Place>,
    wishes: VecDeque<Wish>,
    /// An order of this shelf without an answer may still strike. Those of earlier placers need no place
    /// more: they hold at numbers at which there was room for them.
    may_strike: bool,
    last_order: Option<Moment>,
    /// An order without an answer. It is sent again as it was: as it names the number of accepted
    /// orders, only one of the two can be carried out.
    unanswered: Option<Order>,
    /// An adapter whose load was taken for accepted because its repeat was refused. Until a report
    /// tells, another order may have been accepted instead, so that an adapter may be there unknown,
    /// or none, so that the number of accepted orders is lower.
    assumed: Option<Copy>,
    /// Since the last report a load was accepted. An endpoint takes none while an unload waits.
    none_leaves: bool,
    /// Unloads that were refused since an order was last obeyed.
    refused_unloads: u32,
    /// Orders and reports without an answer since the last one that had one.
    unheard: u32,
    /// When an order or a report had no answer last.
    unheard_at: Option<Moment>,
}

impl Shelf {
    /// Makes a shelf of which nothing is known yet.
    pub fn new(capacity: usize, now: Moment) -> Self {
        Self {
            capacity,
            orders: None,
            report_at: now,
            models: HashMap::new(),
            places: HashMap::new(),
            wishes: VecDeque::new(),
            may_strike: false,
            last_order: None,
            unanswered: None,
            assumed: None,
            none_leaves: false,
            refused_unloads: 0,
            unheard: 0,
            unheard_at: None,
        }
    }

    /// Returns whether a report has told what the endpoint holds.
    pub fn is_known(&self) -> bool {
        self.orders.is_some()
    }

    /// Returns whether the endpoint answered nothing lately: what is on its way there may never
    /// arrive, and nothing should be placed there while others answer.
    pub fn is_silent(&self) -> bool {
        self.unheard >= SILENT
    }

    /// Returns whether the endpoint holds an adapter.
    pub fn holds(&self, copy: &Copy) -> bool {
        self.places
            .get(copy)
            .is_some_and(|place| place.state == State::Held)
    }

    /// Returns whether an adapter is on its way, or wished for.
    pub fn expects(&self, copy: &Copy) -> bool {
        let is_coming = self
            .places
            .get(copy)
            .is_some_and(|place| matches!(place.state, State::Coming { .. }));
        is_coming || self.wishes.iter().any(|wish| wish.copy == *copy)
    }

    /// Returns whether the endpoint has any version of an adapter.
    pub fn has_any(&self, key: &crate::Key) -> bool {
        self.places.keys().any(|copy| copy.key == *key)
    }

    /// Returns whether the endpoint holds a base model.
    pub fn has_base(&self, model: &str) -> bool {
        self.models.get(model) == Some(&Base::Held)
    }

    /// Returns whether the endpoint holds no base model and none is on its way.
    pub fn is_empty(&self) -> bool {
        self.is_known() && self.models.values().all(|base| *base == Base::Missing)
    }

    /// Returns whether an order loads a base model that is not on its way yet.
    pub fn begins_base(&self, order: &Order) -> bool {
        let is_coming = matches!(self.models.get(&order.model), Some(Base::Coming { .. }));
        order.adapter.is_none() && order.op == Op::Load && !is_coming
    }

    /// Returns when the load that an order looks at was ordered; `None` if answers were lost since, as
    /// it may then have been complete for longer than it seems.
    pub fn load_began(&self, order: &Order) -> Option<Moment> {
        let (adapter, version) = order.adapter.clone()?;
        match self
            .places
            .get(&Copy::of(&order.model, adapter, version))?
            .state
        {
            State::Coming { ordered, .. } => {
                let is_clean = self.unheard_at.is_none_or(|at| at < ordered);
                is_clean.then_some(ordered)
            }
            State::Held | State::Leaving { .. } => None,
        }
    }

    /// Counts the adapters on their way.
    pub fn coming(&self) -> usize {
        self.places
            .values()
            .filter(|place| matches!(place.state, State::Coming { .. }))
            .count()
    }

    /// Returns whether a wish could be met soon: a place is free or held by an unused adapter.
    pub fn has_room(&self, now: Moment) -> bool {
        self.is_known() && (self.taken() < self.capacity || self.victim(now).is_some())
    }

    /// Counts the wishes.
    pub fn waiting(&self) -> usize {
        self.wishes.len()
    }

    /// Counts the wishes and the adapters on their way.
    pub fn backlog(&self) -> usize {
        self.wishes.len() + self.coming()
    }

    /// Lists the adapters that the endpoint holds.
    pub fn held(&self) -> Vec<Copy> {
        let held = self.places.iter().filter(|(_, p)| p.state == State::Held);
        held.map(|(copy, _)| copy.clone()).collect()
    }

    /// Wishes for an adapter; those wished for most often come first.
    pub fn wish(&mut self, copy: Copy, now: Moment) {
        if let Some(place) = self.places.get_mut(&copy) {
            place.used = now;
            return;
        }
        match self.wishes.iter_mut().find(|wish| wish.copy == copy) {
            Some(wish) => {
                wish.at = now;
                wish.asks += 1;
            }
            None => self.wishes.push_back(Wish {
                copy,
                at: now,
                asks: 1,
            }),
        }
    }

    /// Wishes for a base model.
    pub fn wish_base(&mut self, model: Arc<str>) {
        self.models.entry(model).or_insert(Base::Missing);
    }

    /// Takes in how many requests of one instance use an adapter.
    pub fn used(&mut self, copy: &Copy, instance: IpAddr, requests: u32, now: Moment) {
        let Some(place) = self.places.get_mut(copy) else {
            return;
        };
        if requests > 0 {
            place.used = now;
            place.was_used = true;
        }
        place.users.retain(|user| user.instance != instance);
        if requests > 0 {
            place.users.push(User {
                instance,
                requests,
                at: now,
            });
        }
    }
}
