//! Divides the weight store's capacity between the placers of all failure domains.
//!
//! Each placer learns with its own [`Window`](crate::Window) how many loads it may run at once.
//! Placers tell each other their windows and the loads that they would run, and a placer with more
//! loads than its window permits uses what the others leave unused. The windows together stay what
//! the store was seen to bear, so lending needs no agreement: a placer whose demand rises uses its
//! whole window at once, and what others borrowed ends with the loads that they run.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;
use serde::{Deserialize, Serialize};

/// How long a placer's statement of its demand is valid. Placers repeat it every 600 ms to other
/// failure domains, so one may be lost.
const DEMAND_TTL: Duration = Duration::from_millis(1_300);

/// The loads from the weight store of one placer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The number of loads that its window permits.
    pub window: u16,
    /// The number of running loads.
    pub in_flight: u16,
    /// The number of loads that wait to start.
    pub waiting: u16,
    /// How long a load takes while the store is not overloaded, in milliseconds; 0 if unknown.
    pub load_ms: u16,
}

impl Demand {
    fn wanted(self) -> u32 {
        u32::from(self.in_flight) + u32::from(self.waiting)
    }

    /// Returns how much of the window is unused.
    fn spare(self) -> u32 {
        u32::from(self.window).saturating_sub(self.wanted())
    }

    /// Returns how many loads exceed the window.
    fn excess(self) -> u32 {
        self.wanted().saturating_sub(u32::from(self.window))
    }

    /// Returns how long a load that is requested now takes to complete after all that wait;
    /// `None` before the first load from the store.
    pub fn expected_wait(self) -> Option<Duration> {
        let load_time = Duration::from_millis(self.load_ms.into());
        let rounds = 1.0 + f64::from(self.waiting) / f64::from(self.window.max(1));
        (self.load_ms > 0).then(|| load_time.mul_f64(rounds))
    }
}

/// What the placers of other failure domains last stated.
#[derive(Debug, Default)]
pub struct Budget {
    others: HashMap<Arc<str>, (Demand, Moment)>,
}

impl Budget {
    /// Records the demand of another failure domain's placer.
    pub fn record_demand(&mut self, domain: &Arc<str>, demand: Demand, now: Moment) {
        self.others.insert(Arc::clone(domain), (demand, now));
    }

    /// Returns whether other placers have more loads than their windows permit.
    pub fn is_exceeded(&self, now: Moment) -> bool {
        self.fresh(now).any(|demand| demand.excess() > 0)
    }

    /// Returns the mean window of the other placers; `None` if none is known.
    pub fn mean_window(&self, now: Moment) -> Option<f64> {
        let windows: Vec<f64> = self.fresh(now).map(|demand| demand.window.into()).collect();
        (!windows.is_empty()).then(|| windows.iter().sum::<f64>() / windows.len() as f64)
    }

    /// Returns the number of loads that this placer, whose demand is `own`, may run at once.
    pub fn limit(&self, own: Demand, now: Moment) -> usize {
        let (spare, excess) = self.fresh(now).fold((0, 0), |(spare, excess), demand| {
            (spare + demand.spare(), excess + demand.excess())
        });
        let own_excess = own.excess();
        let borrowed = spare * own_excess / (excess + own_excess).max(1);
        usize::from(own.window) + borrowed.min(own_excess) as usize
    }

    fn fresh(&self, now: Moment) -> impl Iterator<Item = Demand> {
        let others = self.others.values();
        let fresh = others.filter(move |(_, at)| now.since(*at) < DEMAND_TTL);
        fresh.map(|(demand, _)| *demand)
    }
}
