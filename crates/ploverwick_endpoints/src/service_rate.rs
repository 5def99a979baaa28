//! The share of work that endpoints and failure domains get by their speed.

use std::collections::HashMap;
use std::sync::Arc;

use ploverwick_names::Moment;

use crate::{Build, Capacity, Fleet, State};

/// The limit on how much faster or slower than a typical endpoint one counts.
const MAX_RATIO: f64 = 4.0;
/// The number of steps in which the speed doubles.
const STEPS_PER_DOUBLING: f64 = 2.0;

/// Returns the typical speed of endpoints: the median of each figure.
pub fn typical(all: &[Capacity]) -> Option<Capacity> {
    Some(Capacity {
        read_ms: median(all.iter().map(|capacity| capacity.read_ms).collect())?,
        step_ms: median(all.iter().map(|capacity| capacity.step_ms).collect())?,
    })
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

/// Returns the speed of an endpoint relative to a typical one: the geometric mean of how fast it reads and generates.
///
/// It is rounded to a few steps, so that estimates that vary a little, or differ between instances, are equal.
pub fn speed(capacity: Capacity, typical: Capacity) -> f64 {
    let read_ratio = typical.read_ms / capacity.read_ms;
    let step_ratio = typical.step_ms / capacity.step_ms;
    let ratio = (read_ratio * step_ratio).sqrt();
    if !ratio.is_finite() {
        return 1.0;
    }
    let steps = ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO).log2() * STEPS_PER_DOUBLING;
    (steps.round() / STEPS_PER_DOUBLING).exp2()
}

/// Returns the share of the adapters that an endpoint gets, relative to a typical one.
///
/// It is the square of the speed: at a slow endpoint, prompts pause the streams for longer, and the streams also run
/// for longer and meet more prompts.
pub fn adapter_share(capacity: Capacity, typical: Capacity) -> f64 {
    speed(capacity, typical).powi(2)
}

/// Returns the capacity of the usable endpoints of a service in each failure domain, in typical endpoints; only of
/// those that run the build if one is given.
pub fn domain_capacities(
    fleet: &Fleet,
    service: &str,
    build: Option<Build>,
    now: Moment,
) -> HashMap<Arc<str>, f64> {
    let usable = fleet.entries().filter(|entry| {
        let is_ready = entry.state == State::Ready && !fleet.is_ejected(&entry.id, now);
        let may_serve = build.is_none_or(|build| fleet.runs(&entry.id, build));
        *entry.service == *service && is_ready && may_serve
    });
    let usable: Vec<(&Arc<str>, Capacity)> = usable
        .filter_map(|entry| Some((&entry.domain, fleet.capacity(&entry.id)?)))
        .collect();
    let all: Vec<Capacity> = usable.iter().map(|(_, capacity)| *capacity).collect();
    let mut capacities: HashMap<Arc<str>, f64> = HashMap::new();
    let Some(typical) = typical(&all) else {
        return capacities;
    };
    for (domain, capacity) in usable {
        *capacities.entry(Arc::clone(domain)).or_default() += speed(capacity, typical);
    }
    capacities
}
