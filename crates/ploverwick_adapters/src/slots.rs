//! Tracks the adapter slots of one endpoint and decides on the next order to it.
//!
//! The adapters held and loading never exceed the endpoint's capacity, whatever becomes of orders
//! without an answer. Each order carries the number of accepted orders at which it is valid, and
//! the endpoint's contents at a given number are fixed. So of all orders valid at one number,
//! including those of earlier placers, at most one occupies a slot, and an order is safe however
//! late it arrives if there was room for it at its number. Where the number is only assumed, the
//! endpoint may hold one adapter more than is known, and a slot is kept free for it.

mod answers;
mod pending;
mod plan;

use std::collections::{HashMap, VecDeque};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;

use crate::{Capacity, Copy, Op, Order};

use pending::PendingLoad;
pub use pending::Wanted;

/// How far an endpoint's report may lag behind its state, with some margin.
const REPORT_LAG: Duration = Duration::from_millis(260);
/// How often a pending order is polled for completion, by sending it again. A poll costs little
/// more than the message.
const POLL_INTERVAL: Duration = Duration::from_millis(18);
/// How long after a load order an adapter that the endpoint has cached may still be loading.
const CACHED_LOAD_TIMEOUT: Duration = Duration::from_millis(40);
/// The number of loads that the platform allows an endpoint to run at once.
const MAX_CONCURRENT_LOADS: usize = 4;
/// How long an instance's statement that it uses an adapter is valid. Instances send it again every
/// 150 ms, so that four lost messages in a row do not free an adapter, and a lost final message
/// does not block its slot forever.
const USE_TTL: Duration = Duration::from_millis(700);
/// The number of consecutive orders and report requests without an answer after which an endpoint
/// counts as unresponsive. On a lossy network a few in a row occur by chance; an endpoint that
/// crashed answers none.
const MAX_MISSED_ANSWERS: u32 = 4;

/// The next step to take with an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Send this order and pass its answer to [`Slots::handle_answer`].
    Send(Order),
    /// Request the endpoint's report and pass it to [`Slots::handle_report`].
    Report,
    /// Do nothing before this moment.
    Wait(Moment),
    /// Do nothing until the state changes.
    Idle,
}

/// A change in what an endpoint holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The endpoint is loading this adapter.
    Loading(Copy),
    /// The endpoint now holds this adapter.
    Loaded(Copy),
    /// The endpoint no longer holds this adapter.
    Unloaded(Copy),
    /// A report listed all adapters that the endpoint holds.
    Reported(Vec<Copy>),
    /// The endpoint now holds this base model.
    BaseLoaded(Arc<str>),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SlotState {
    Held,
    Loading {
        poll_at: Moment,
        ordered_at: Moment,
        /// Whether the endpoint is expected to have the adapter cached.
        is_cached: bool,
    },
    Unloading {
        poll_at: Moment,
    },
}

/// The number of requests of one instance that use an adapter, as it last stated.
#[derive(Debug, Clone, Copy)]
struct User {
    instance: IpAddr,
    requests: u32,
    at: Moment,
}

#[derive(Debug, Clone)]
struct Slot {
    state: SlotState,
    /// When the adapter was loaded or last stated to be in use.
    last_used: Moment,
    /// Whether any instance has used the adapter.
    was_used: bool,
    /// Whether the adapter is known only from a report. An unload accepted earlier may still be
    /// waiting for the running requests, or may have completed since; another unload then succeeds
    /// without raising the number of accepted orders.
    may_be_unloading: bool,
    users: Vec<User>,
}

impl Slot {
    fn new(state: SlotState, now: Moment) -> Self {
        Self {
            state,
            last_used: now,
            was_used: false,
            may_be_unloading: false,
            users: Vec::new(),
        }
    }

    /// Returns whether the adapter is being loaded from the weight store. A load that takes longer
    /// than one from the cache uses the store, whatever was expected.
    fn uses_store(&self, now: Moment) -> bool {
        match self.state {
            SlotState::Loading {
                ordered_at,
                is_cached,
                ..
            } => !is_cached || now.since(ordered_at) >= CACHED_LOAD_TIMEOUT,
            SlotState::Held | SlotState::Unloading { .. } => false,
        }
    }

    /// Returns the number of requests that use the adapter, ignoring expired statements.
    fn in_use(&self, now: Moment) -> u32 {
        let fresh = self.users.iter().filter(|u| now.since(u.at) < USE_TTL);
        fresh.map(|user| user.requests).sum()
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum BaseState {
    Held,
    Loading { poll_at: Moment },
    Missing,
}

/// The adapter slots of one endpoint.
#[derive(Debug)]
pub struct Slots {
    capacity: Capacity,
    /// The number of accepted orders; `None` until a report provides it.
    orders: Option<u64>,
    report_at: Moment,
    models: HashMap<Arc<str>, BaseState>,
    by_copy: HashMap<Copy, Slot>,
    pending: VecDeque<PendingLoad>,
    /// Whether an unanswered order sent from here may still be carried out. Those of earlier
    /// placers need no extra slot: they are valid only at numbers at which there was room for them.
    may_still_apply: bool,
    last_order: Option<Moment>,
    /// An order without an answer. It is resent unchanged: as it carries the number of accepted
    /// orders, only one of the two can be carried out.
    unanswered: Option<Order>,
    /// An adapter whose load is assumed to be accepted because its retry was refused. Until the
    /// next report, another order may have been accepted instead, so that the endpoint may hold an
    /// unknown adapter, or none, so that the number of accepted orders is lower than assumed.
    assumed: Option<Copy>,
    /// Whether a load was accepted since the last report, which proves that no unload is pending:
    /// an endpoint accepts no load while an unload waits.
    no_unload_pending: bool,
    /// The number of unloads refused since an order last succeeded.
    refused_unloads: u32,
    /// The number of consecutive orders and report requests without an answer.
    missed_answers: u32,
    /// When an order or report request last went unanswered.
    last_missed: Option<Moment>,
}

impl Slots {
    /// Creates the slots of an endpoint whose contents are unknown.
    pub fn new(capacity: impl Into<Capacity>, now: Moment) -> Self {
        Self {
            capacity: capacity.into(),
            orders: None,
            report_at: now,
            models: HashMap::new(),
            by_copy: HashMap::new(),
            pending: VecDeque::new(),
            may_still_apply: false,
            last_order: None,
            unanswered: None,
            assumed: None,
            no_unload_pending: false,
            refused_unloads: 0,
            missed_answers: 0,
            last_missed: None,
        }
    }

    /// Changes the capacity. An order without an answer is not sent again, as there may be no room for it any more.
    pub fn set_capacity(&mut self, capacity: &Capacity, now: Moment) {
        if self.capacity == *capacity {
            return;
        }
        self.capacity = capacity.clone();
        if self.unanswered.is_some() {
            self.require_report(now + REPORT_LAG);
        }
    }

    /// Returns whether the endpoint's contents are known from a report.
    pub fn is_known(&self) -> bool {
        self.orders.is_some()
    }

    /// Returns whether the endpoint has stopped answering. Its loads may never complete, and
    /// nothing should be placed there while other endpoints answer.
    pub fn is_unresponsive(&self) -> bool {
        self.missed_answers >= MAX_MISSED_ANSWERS
    }

    /// Returns whether the endpoint holds an adapter.
    pub fn holds(&self, copy: &Copy) -> bool {
        self.by_copy
            .get(copy)
            .is_some_and(|slot| slot.state == SlotState::Held)
    }

    /// Returns whether an adapter is being loaded or waits to be loaded.
    pub fn expects(&self, copy: &Copy) -> bool {
        let is_loading = self
            .by_copy
            .get(copy)
            .is_some_and(|slot| matches!(slot.state, SlotState::Loading { .. }));
        is_loading || self.pending.iter().any(|load| load.wanted.copy == *copy)
    }

    /// Returns whether any version of an adapter has a slot at the endpoint.
    pub fn has_any_version(&self, key: &crate::Key) -> bool {
        self.by_copy.keys().any(|copy| copy.key == *key)
    }

    /// Returns whether the endpoint holds a base model.
    pub fn has_base(&self, model: &str) -> bool {
        self.models.get(model) == Some(&BaseState::Held)
    }

    /// Returns whether the endpoint neither holds nor loads a base model.
    pub fn is_empty(&self) -> bool {
        self.is_known() && self.models.values().all(|base| *base == BaseState::Missing)
    }

    /// Returns whether an order starts loading a base model, rather than polling a load in
    /// progress.
    pub fn starts_base_load(&self, order: &Order) -> bool {
        let is_loading = matches!(
            self.models.get(&order.model),
            Some(BaseState::Loading { .. })
        );
        order.adapter.is_none() && order.op == Op::Load && !is_loading
    }

    /// Returns when the load polled by an order was ordered; `None` if answers were lost since, as
    /// the load may then have completed earlier than observed.
    pub fn load_started(&self, order: &Order) -> Option<Moment> {
        let (adapter, version) = order.adapter.clone()?;
        match self
            .by_copy
            .get(&Copy::of(&order.model, adapter, version))?
            .state
        {
            SlotState::Loading { ordered_at, .. } => {
                let is_clean = self.last_missed.is_none_or(|at| at < ordered_at);
                is_clean.then_some(ordered_at)
            }
            SlotState::Held | SlotState::Unloading { .. } => None,
        }
    }

    /// Returns the number of adapters being loaded.
    pub fn loading(&self) -> usize {
        self.by_copy
            .values()
            .filter(|slot| matches!(slot.state, SlotState::Loading { .. }))
            .count()
    }

    /// Returns the number of running loads that use the weight store.
    pub fn store_loads(&self, now: Moment) -> usize {
        let slots = self.by_copy.values();
        slots.filter(|slot| slot.uses_store(now)).count()
    }

    /// Returns whether a pending load could start soon: a slot is free or its adapter is unused.
    pub fn has_room(&self, now: Moment) -> bool {
        let max_adapter_kb = self.capacity.max_adapter_kb();
        self.is_known() && (self.fits(max_adapter_kb) || self.victim(now).is_some())
    }

    /// Returns the number of adapters waiting to be loaded.
    pub fn waiting(&self) -> usize {
        self.pending.len()
    }

    /// Returns the number of adapters being loaded or waiting to be.
    pub fn backlog(&self) -> usize {
        self.pending.len() + self.loading()
    }

    /// Returns the adapters that the endpoint holds.
    pub fn held(&self) -> Vec<Copy> {
        let held = self
            .by_copy
            .iter()
            .filter(|(_, slot)| slot.state == SlotState::Held);
        held.map(|(copy, _)| copy.clone()).collect()
    }

    /// Requests that a base model be loaded.
    pub fn request_base(&mut self, model: Arc<str>) {
        self.models.entry(model).or_insert(BaseState::Missing);
    }

    /// Records how many requests of one instance use an adapter.
    pub fn record_use(&mut self, copy: &Copy, instance: IpAddr, requests: u32, now: Moment) {
        let Some(slot) = self.by_copy.get_mut(copy) else {
            return;
        };
        if requests > 0 {
            slot.last_used = now;
            slot.was_used = true;
        }
        slot.users.retain(|user| user.instance != instance);
        if requests > 0 {
            slot.users.push(User {
                instance,
                requests,
                at: now,
            });
        }
    }
}
