//! Finds the endpoints that a request may run on, and their owners.

use std::net::SocketAddr;

use ploverwick_names::{Endpoint, Life, Model, Variant};
use ploverwick_placement::{even, rank};
use ploverwick_ports::roster::EndpointEntry;

use crate::listing;
use crate::lock::lock;
use crate::node::Node;

/// An endpoint and the daemon to ask for it.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    /// The endpoint.
    pub(crate) endpoint: Endpoint,
    /// Its owner.
    pub(crate) owner: Life,
    /// Where the owner's peers reach it; `None` if this daemon is the owner.
    pub(crate) address: Option<SocketAddr>,
}

/// Lists the endpoints for a model, best first, whose owners are known and present.
///
/// The order is the same on every daemon, so an adapter's requests meet where it is loaded.
pub(crate) fn targets(node: &Node, model: &Model, variant: &Variant, count: usize) -> Vec<Target> {
    let listing = node.listing.borrow().clone();
    let entries: Vec<&EndpointEntry> = listing::serving(&listing, model.base.as_str()).collect();
    let candidates = even(entries.iter().map(|entry| entry.name.as_str()));
    let order = rank(&variant.to_string(), &candidates, candidates.len());
    order
        .into_iter()
        .filter_map(|index| target(node, &entries[index].name))
        .take(count)
        .collect()
}

/// Finds an endpoint's owner, if it is known and present.
pub(crate) fn target(node: &Node, endpoint: &Endpoint) -> Option<Target> {
    let owner = lock(&node.holds).owner(endpoint)?.clone();
    if owner == node.life {
        return Some(Target {
            endpoint: endpoint.clone(),
            owner,
            address: None,
        });
    }
    let members = lock(&node.members);
    if !members.is_present(&owner) {
        return None;
    }
    let address = members.address(&owner.instance)?;
    Some(Target {
        endpoint: endpoint.clone(),
        owner,
        address: Some(address),
    })
}
