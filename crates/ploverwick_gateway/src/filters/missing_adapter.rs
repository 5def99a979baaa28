//! Requests the load of an adapter that no available endpoint holds.

use std::sync::Arc;
use std::time::Duration;

use ploverwick_adapters::{Copy, Domain, Key, Need, Request};
use ploverwick_endpoints::service_rate;
use ploverwick_names::Moment;

use super::admitted_request::AdmittedRequest;
use crate::controllers::load_requests;
use crate::shared::Shared;
use crate::state::State;

/// The weight of a request of the most urgent priority, 0. That of each further priority is half as great.
const MAX_WEIGHT: u32 = 8;

/// Requests the load of an adapter in the failure domain chosen for it. Returns how long the load is expected to
/// take if it is not running yet.
pub(super) fn request_load(
    shared: &Arc<Shared>,
    request: &AdmittedRequest,
    copy: &Copy,
) -> Option<Duration> {
    let domain = choose_domain(shared, request, copy)?;
    let is_coming = is_coming(shared, request, copy);
    let load = load_request(request, copy, need(shared, request, copy));
    load_requests::request_load(shared, &domain, load, request.build.get().copied());
    if is_coming {
        return None;
    }
    let now = shared.now();
    let state = shared.state();
    state.expected_load_wait(&domain, &shared.settings, now)
}

/// Returns whether an endpoint of the service has memory for an adapter.
pub(super) fn fits(shared: &Shared, request: &AdmittedRequest, key: &Key) -> bool {
    let config = shared.state().config.clone();
    let service = config.as_ref().and_then(|c| c.service(&request.service));
    let Some(engine) = service.and_then(|service| service.engine.as_ref()) else {
        return true;
    };
    let model = engine.model(&key.model);
    model.is_none_or(|model| engine.fits_adapter(model))
}

/// Returns the message that asks for a load on behalf of a request.
pub(super) fn load_request(request: &AdmittedRequest, copy: &Copy, need: Need) -> Request {
    Request {
        copy: copy.clone(),
        need,
        weight: (MAX_WEIGHT >> request.terms.priority).max(1),
    }
}

/// Returns whether an adapter is being loaded or was placed recently, at an endpoint that may serve the request.
pub(super) fn is_coming(shared: &Shared, request: &AdmittedRequest, copy: &Copy) -> bool {
    let now = shared.now();
    loading_on(&shared.state(), request, copy, now).is_some()
}

/// Returns the endpoint that is loading an adapter or is about to. If only one build may serve the request, this is
/// a ready endpoint of that build: while a build is being replaced, its endpoints drain one after the other.
fn loading_on<'a>(
    state: &'a State,
    request: &AdmittedRequest,
    copy: &Copy,
    now: Moment,
) -> Option<&'a Arc<str>> {
    let Some(build) = request.build.get() else {
        return state.directory.loading_on(copy, now);
    };
    let may_serve = |id: &str| state.fleet.is_ready(id) && state.fleet.runs(id, *build);
    state.directory.loading_among(copy, now, may_serve)
}

/// Returns why a request needs the load: if an endpoint that holds the adapter is available, the request has tried
/// it already.
fn need(shared: &Shared, request: &AdmittedRequest, copy: &Copy) -> Need {
    let now = shared.now();
    let state = shared.state();
    let holders = state.directory.holders(&copy.key, copy.version);
    let is_available = |id: &Arc<str>| {
        state.fleet.is_ready(id)
            && !state.fleet.is_ejected(id, now)
            && request.accepts_build_at(id, &state.fleet)
    };
    if holders.iter().any(is_available) {
        Need::Another
    } else {
        Need::Any
    }
}

/// Chooses the failure domain that loads an adapter; `None` if no domain can load it.
fn choose_domain(shared: &Shared, request: &AdmittedRequest, copy: &Copy) -> Option<Arc<str>> {
    let now = shared.now();
    let state = shared.state();
    // Once an adapter is placed, all requests for it go to the same placer, so that it is loaded once.
    if let Some(endpoint) = loading_on(&state, request, copy, now)
        && let Some(entry) = state.fleet.entry(endpoint)
        && !state.fleet.is_ejected(endpoint, now)
        && state
            .waiting_in(&entry.domain, &shared.settings, now)
            .is_some()
    {
        return Some(Arc::clone(&entry.domain));
    }
    let build = request.build.get().copied();
    let capacities = service_rate::domain_capacities(&state.fleet, &request.service, build, now);
    let capacity_of = |name: &str| capacities.get(name).copied().unwrap_or(1.0);
    let names = shared.settings.domains.iter();
    let domains: Vec<Domain<'_>> = names
        .filter_map(|name| {
            let waiting = state.waiting_in(name, &shared.settings, now)?;
            let endpoints = state.fleet.count_usable(&request.service, name, build, now);
            Some(Domain {
                name,
                endpoints,
                capacity: capacity_of(name),
                waiting,
            })
        })
        .collect();
    let previous = state.directory.previous_holders(copy).iter();
    let previous = previous.filter(|endpoint| request.accepts_build_at(endpoint, &state.fleet));
    let previous = previous.filter_map(|endpoint| state.fleet.entry(endpoint));
    let mut cached_in: Vec<&str> = previous.map(|entry| &*entry.domain).collect();
    // Prefer this instance's own failure domain among those that have the adapter cached.
    cached_in.sort_by_key(|domain| **domain != *shared.settings.domain);
    let chosen = ploverwick_adapters::choose_domain(&copy.key.to_string(), &domains, &cached_in)?;
    Some(Arc::from(chosen.name))
}
