//! The share of work that endpoints and failure domains get by their speed.

use std::collections::HashMap;
use std::sync::Arc;

use ploverwick_names::Moment;

use crate::{Fleet, State};

/// The limit on how much faster or slower than a typical endpoint one counts.
const MAX_RATIO: f64 = 4.0;
/// The number of steps in which the speed doubles.
const STEPS_PER_DOUBLING: f64 = 2.0;

/// Returns the typical time to read one prompt token, in milliseconds: the median.
pub fn typical_read_ms(mut all: Vec<f64>) -> Option<f64> {
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied()
}

/// Returns the speed of an endpoint that reads a prompt token in `read_ms`, relative to a typical one.
///
/// It is rounded to a few steps, so that estimates that vary a little, or differ between instances, are equal.
pub fn speed(read_ms: f64, typical_read_ms: f64) -> f64 {
    let ratio = typical_read_ms / read_ms;
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
pub fn adapter_share(read_ms: f64, typical_read_ms: f64) -> f64 {
    speed(read_ms, typical_read_ms).powi(2)
}

/// Returns the capacity of the usable endpoints of a service in each failure domain, in typical endpoints.
pub fn domain_capacities(fleet: &Fleet, service: &str, now: Moment) -> HashMap<Arc<str>, f64> {
    let usable = fleet.entries().filter(|entry| {
        let is_ready = entry.state == State::Ready && !fleet.is_ejected(&entry.id, now);
        *entry.service == *service && is_ready
    });
    let usable: Vec<(&Arc<str>, f64)> = usable
        .filter_map(|entry| Some((&entry.domain, fleet.capacity(&entry.id)?.read_ms)))
        .collect();
    let mut capacities: HashMap<Arc<str>, f64> = HashMap::new();
    let Some(typical) = typical_read_ms(usable.iter().map(|(_, read_ms)| *read_ms).collect())
    else {
        return capacities;
    };
    for (domain, read_ms) in usable {
        *capacities.entry(Arc::clone(domain)).or_default() += speed(read_ms, typical);
    }
    capacities
}
