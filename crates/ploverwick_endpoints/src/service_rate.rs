//! The share of work that an endpoint gets by its speed.

use std::collections::HashMap;
use std::sync::Arc;

use ploverwick_names::Moment;

use crate::{Fleet, State};

/// The limit on how much more or less than a typical endpoint one gets.
const MAX_RATIO: f64 = 4.0;

/// Returns the typical time to read one prompt token, in milliseconds: the median.
pub fn typical_read_ms(mut all: Vec<f64>) -> Option<f64> {
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied()
}

/// Returns the share of an endpoint that reads a prompt token in `read_ms`, relative to a typical one.
///
/// It is a power of two, so that estimates that vary a little, or differ between instances, give the same share.
pub fn share(read_ms: f64, typical_read_ms: f64) -> f64 {
    let ratio = typical_read_ms / read_ms;
    if !ratio.is_finite() {
        return 1.0;
    }
    ratio
        .clamp(1.0 / MAX_RATIO, MAX_RATIO)
        .log2()
        .round()
        .exp2()
}

/// Returns the sum of the shares of the usable endpoints of a service in each failure domain.
pub fn domain_shares(fleet: &Fleet, service: &str, now: Moment) -> HashMap<Arc<str>, f64> {
    let usable = fleet.entries().filter(|entry| {
        let is_ready = entry.state == State::Ready && !fleet.is_ejected(&entry.id, now);
        *entry.service == *service && is_ready
    });
    let usable: Vec<(&Arc<str>, f64)> = usable
        .filter_map(|entry| Some((&entry.domain, fleet.capacity(&entry.id)?.read_ms)))
        .collect();
    let mut shares: HashMap<Arc<str>, f64> = HashMap::new();
    let Some(typical) = typical_read_ms(usable.iter().map(|(_, read_ms)| *read_ms).collect())
    else {
        return shares;
    };
    for (domain, read_ms) in usable {
        *shares.entry(Arc::clone(domain)).or_default() += share(read_ms, typical);
    }
    shares
}
