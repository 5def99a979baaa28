//! Selects the endpoints for a request and finds their owners.

use std::net::SocketAddr;

use ploverwick_names::{Endpoint, Life, Model, Variant};
use ploverwick_placement::{equally_weighted, rank};
use ploverwick_ports::roster::EndpointEntry;

use crate::listing;
use crate::lock::lock;
use crate::node::Node;

/// An endpoint and its owner.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    pub(crate) endpoint: Endpoint,
    pub(crate) owner: Life,
    /// The owner's address for peers; `None` if this daemon is the owner.
    pub(crate) address: Option<SocketAddr>,
}

/// Returns the endpoints for a model whose owners are known and present, in the order of preference.
///
/// The order is the same on every daemon, so that requests for an adapter go to the endpoints where
/// it is loaded.
pub(crate) fn targets(node: &Node, model: &Model, variant: &Variant, count: usize) -> Vec<Target> {
    let listing = node.listing.borrow().clone();
    let entries: Vec<&EndpointEntry> = listing::serving(&listing, model.base.as_str()).collect();
    let candidates = equally_weighted(entries.iter().map(|entry| entry.name.as_str()));
    let order = rank(&variant.to_string(), &candidates, candidates.len());
    order
        .into_iter()
        .filter_map(|index| target(node, &entries[index].name))
        .take(count)
        .collect()
}

/// Returns an endpoint with its owner, if the owner is known and present.
pub(crate) fn target(node: &Node, endpoint: &Endpoint) -> Option<Target> {
    let owner = lock(&node.ownership).owner(endpoint)?.clone();
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
