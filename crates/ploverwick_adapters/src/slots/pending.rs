//! The loads that wait at an endpoint.

use std::time::Duration;

use ploverwick_names::Moment;

use super::{MAX_CONCURRENT_LOADS, Slots};
use crate::{Copy, Need, Permit};

/// How long a requested load stays pending. Requests that still wait ask again every 70 ms, so that
/// four lost messages in a row do not drop the load, and an adapter that is no longer needed is not
/// loaded.
pub(super) const PENDING_TTL: Duration = Duration::from_millis(350);

/// An adapter that an endpoint should load.
#[derive(Debug, Clone)]
pub struct Wanted {
    /// The adapter.
    pub copy: Copy,
    /// Why it is needed.
    pub need: Need,
    /// Whether the endpoint is expected to have it cached.
    pub is_cached: bool,
    /// How urgent the request for it is: how many requests of the lowest priority it stands for.
    pub weight: u32,
}

impl Wanted {
    /// Returns the permit that the load needs.
    pub(super) fn permit(&self) -> Permit {
        match self.need {
            _ if self.is_cached => Permit::Cached,
            Need::Any => Permit::First,
            Need::Another | Need::Relief => Permit::All,
        }
    }
}

#[derive(Debug, Clone)]
pub(super) struct PendingLoad {
    pub(super) wanted: Wanted,
    pub(super) at: Moment,
    /// The sum of the weights with which the load was requested. Requests that wait ask again, so it
    /// grows with their number.
    pub(super) weight: u32,
}

impl Slots {
    /// Requests that an adapter of which there is no copy be loaded.
    pub fn request_load(&mut self, copy: Copy, now: Moment) {
        let wanted = Wanted {
            copy,
            need: Need::Any,
            is_cached: false,
            weight: 1,
        };
        self.request(wanted, now);
    }

    /// Requests that an adapter be loaded; those with the greatest weight are loaded first.
    pub fn request(&mut self, wanted: Wanted, now: Moment) {
        if let Some(slot) = self.by_copy.get_mut(&wanted.copy) {
            slot.last_used = now;
            return;
        }
        let mut pending = self.pending.iter_mut();
        match pending.find(|load| load.wanted.copy == wanted.copy) {
            Some(load) => {
                load.at = now;
                load.weight = load.weight.saturating_add(wanted.weight);
                if wanted.need == Need::Any {
                    load.wanted.need = Need::Any;
                }
            }
            None => self.pending.push_back(PendingLoad {
                weight: wanted.weight,
                wanted,
                at: now,
            }),
        }
    }

    /// Returns the numbers of pending loads from the weight store of first copies and of further
    /// copies.
    pub fn pending_store_loads(&self) -> (usize, usize) {
        let of = |permit| {
            let pending = self.pending.iter();
            pending.filter(move |load| load.wanted.permit() == permit)
        };
        (of(Permit::First).count(), of(Permit::All).count())
    }

    /// Returns the weight of the pending first copy that would be loaded next; `None` if there is none
    /// or it cannot start now.
    pub fn next_first_copy(&self, now: Moment) -> Option<u32> {
        let can_load = self.is_known()
            && !self.is_unresponsive()
            && self.unanswered.is_none()
            && self.loading() < MAX_CONCURRENT_LOADS
            && self.has_room(now);
        let pending = self.pending.iter().filter(|load| {
            load.wanted.permit() == Permit::First && now.since(load.at) < PENDING_TTL
        });
        pending.map(|load| load.weight).max().filter(|_| can_load)
    }

    /// Removes a pending load.
    pub(super) fn take_pending(&mut self, copy: &Copy) -> Option<Wanted> {
        let mut pending = self.pending.iter();
        let index = pending.position(|load| load.wanted.copy == *copy)?;
        self.pending.remove(index).map(|load| load.wanted)
    }
}
