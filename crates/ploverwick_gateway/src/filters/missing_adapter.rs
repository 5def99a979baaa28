//! Requests the load of an adapter that no available endpoint holds.

use std::sync::Arc;

use ploverwick_adapters::{Copy, Domain, Need};
use ploverwick_endpoints::service_rate;

use super::admitted_request::AdmittedRequest;
use crate::controllers::load_requests;
use crate::shared::Shared;

/// Requests the load of an adapter in the failure domain chosen for it.
pub(super) fn request_load(shared: &Arc<Shared>, request: &AdmittedRequest, copy: &Copy) {
    let Some(domain) = choose_domain(shared, request, copy) else {
        return;
    };
    // Endpoints that hold the adapter cannot be used: they are ejected or were tried already.
    let holders = shared.state().directory.holders(&copy.key, copy.version);
    let need = if holders.is_empty() {
        Need::Any
    } else {
        Need::Another
    };
    load_requests::request_load(shared, &domain, copy, need);
}

/// Chooses the failure domain that loads an adapter; `None` if it is being loaded already or no domain can load
/// it.
fn choose_domain(shared: &Shared, request: &AdmittedRequest, copy: &Copy) -> Option<Arc<str>> {
    let now = shared.now();
    let state = shared.state();
    if state.directory.loading_on(copy, now).is_some() {
        return None;
    }
    let capacities = service_rate::domain_capacities(&state.fleet, &request.service, now);
    let capacity_of = |name: &str| capacities.get(name).copied().unwrap_or(1.0);
    let names = shared.settings.domains.iter();
    let domains: Vec<Domain<'_>> = names
        .filter_map(|name| {
            let waiting = state.waiting_in(name, &shared.settings, now)?;
            let endpoints = state.fleet.count_usable(&request.service, name, now);
            Some(Domain {
                name,
                endpoints,
                capacity: capacity_of(name),
                waiting,
            })
        })
        .collect();
    let previous = state.directory.previous_holders(copy).iter();
    let previous = previous.filter_map(|endpoint| state.fleet.entry(endpoint));
    let mut cached_in: Vec<&str> = previous.map(|entry| &*entry.domain).collect();
    // Prefer this instance's own failure domain among those that have the adapter cached.
    cached_in.sort_by_key(|domain| **domain != *shared.settings.domain);
    let chosen = ploverwick_adapters::choose_domain(&copy.key.to_string(), &domains, &cached_in)?;
    Some(Arc::from(chosen.name))
}
