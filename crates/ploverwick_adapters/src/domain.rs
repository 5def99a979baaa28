//! Chooses the failure domain that loads an adapter which no endpoint can serve yet.
//!
//! All instances compute the same choice from the messages that they receive, so that an adapter is
//! loaded once and not in every failure domain. The domain that held it last is preferred, as it
//! loads there ten times as fast and without using the weight store; otherwise the choice follows a
//! hash weighted by the capacity of each domain. A domain in which many adapters wait
//! for a slot is passed over: a load requested there and, when that takes too long, in another
//! domain too occupies two slots and loads from the weight store twice.

use ploverwick_placement::{Candidate, rank};

/// The number of waiting adapters per endpoint by which a domain may exceed the least loaded one
/// before it is passed over. An endpoint with nine slots frees one every 200 ms when all are in
/// use, so this is a wait of 0.3 s, about as long as a load.
const MAX_EXTRA_WAITING: f64 = 1.5;
/// The same limit for a domain that has the adapter cached: a load there takes a tenth of the time
/// and does not use the weight store.
const MAX_EXTRA_WAITING_CACHED: f64 = 3.0;

/// A failure domain in which adapters can be loaded.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Domain<'a> {
    /// The domain's name.
    pub name: &'a str,
    /// The number of its endpoints that may serve the request.
    pub endpoints: usize,
    /// The capacity of these endpoints, in those of typical speed; greater than 0 if there are any.
    pub capacity: f64,
    /// The number of adapters that wait there for a slot.
    pub waiting: u32,
}

impl Domain<'_> {
    /// Returns the number of waiting adapters per endpoint.
    fn pressure(&self) -> f64 {
        f64::from(self.waiting) / self.endpoints.max(1) as f64
    }
}

/// Chooses the domain that loads an adapter; `None` if none has an endpoint for it.
///
/// `cached_in` names the domains that held the adapter, most recent first.
pub fn choose_domain<'a>(
    key: &str,
    domains: &[Domain<'a>],
    cached_in: &[&str],
) -> Option<Domain<'a>> {
    let usable = domains.iter().filter(|domain| domain.endpoints > 0);
    let usable: Vec<Domain<'a>> = usable.copied().collect();
    let candidates: Vec<Candidate<'_>> = usable.iter().map(candidate).collect();
    let order = rank(key, &candidates, usable.len());
    let by_hash: Vec<Domain<'a>> = order.into_iter().map(|index| usable[index]).collect();
    let least = usable.iter().map(Domain::pressure).min_by(f64::total_cmp)?;
    let cached = cached_in.iter();
    let mut cached = cached.filter_map(|name| usable.iter().find(|domain| domain.name == *name));
    if let Some(domain) =
        cached.find(|domain| domain.pressure() <= least + MAX_EXTRA_WAITING_CACHED)
    {
        return Some(*domain);
    }
    let mut by_hash = by_hash.into_iter();
    by_hash.find(|domain| domain.pressure() <= least + MAX_EXTRA_WAITING)
}

fn candidate<'a>(domain: &Domain<'a>) -> Candidate<'a> {
    Candidate {
        name: domain.name,
        weight: domain.capacity,
    }
}
