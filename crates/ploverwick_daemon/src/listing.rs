//! Queries on the platform's list of instances and endpoints.

use std::collections::BTreeMap;

use ploverwick_members::ListEntry;
use ploverwick_names::{Endpoint, Instance};
use ploverwick_placement::{choose, equally_weighted};
use ploverwick_ports::roster::{EndpointEntry, Listing, Serves, State};

/// Returns the endpoints of a base model that accept new work.
pub(crate) fn serving<'a>(
    listing: &'a Listing,
    base: &'a str,
) -> impl Iterator<Item = &'a EndpointEntry> {
    let wanted = move |serves: &Serves| matches!(serves, Serves::Model(model) if model == base);
    live(listing).filter(move |entry| wanted(&entry.serves))
}

/// Returns the endpoints of a plain service that accept new work.
pub(crate) fn service<'a>(
    listing: &'a Listing,
    name: &'a str,
) -> impl Iterator<Item = &'a EndpointEntry> {
    let wanted = move |serves: &Serves| matches!(serves, Serves::Service(known) if known == name);
    live(listing).filter(move |entry| wanted(&entry.serves))
}

fn live(listing: &Listing) -> impl Iterator<Item = &EndpointEntry> {
    let endpoints = listing.endpoints.iter();
    endpoints.filter(|entry| entry.state == State::Live)
}

/// Returns the listed instances in the form that membership expects.
pub(crate) fn instances(listing: &Listing) -> BTreeMap<Instance, ListEntry> {
    let entries = listing.instances.iter();
    let listed = entries.map(|entry| {
        let listed = ListEntry {
            address: entry.peers,
            leaving: entry.state == State::Leaving,
        };
        (entry.name.clone(), listed)
    });
    listed.collect()
}

/// Determines which instance should own each model endpoint. Leaving endpoints are included, because
/// their running requests still need an owner.
pub(crate) fn desired_owners(
    listing: &Listing,
    eligible: &[Instance],
) -> BTreeMap<Endpoint, Instance> {
    let candidates = equally_weighted(eligible.iter().map(Instance::as_str));
    let models = listing
        .endpoints
        .iter()
        .filter(|entry| matches!(entry.serves, Serves::Model(_)));
    models
        .filter_map(|entry| {
            let index = choose(entry.name.as_str(), &candidates)?;
            Some((entry.name.clone(), eligible[index].clone()))
        })
        .collect()
}

/// Chooses one of the instances for a task that any of them can perform, by the hash of `key`.
pub(crate) fn choose_instance(key: &str, eligible: &[Instance]) -> Option<Instance> {
    let candidates = equally_weighted(eligible.iter().map(Instance::as_str));
    let index = choose(key, &candidates)?;
    eligible.get(index).cloned()
}
