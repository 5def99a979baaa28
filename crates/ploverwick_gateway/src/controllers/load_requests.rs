//! Handles requests to load adapters, and places the adapters if this instance is the placer.

use std::sync::Arc;

use ploverwick_adapters::{Copy, Declined, Event, Need, Request, Target};
use ploverwick_endpoints::State as EndpointState;

use crate::broadcast;
use crate::metrics;
use crate::shared::Shared;

/// Requests the load of an adapter in a failure domain. Returns whether the domain has a placer to ask.
pub(crate) fn request_load(shared: &Arc<Shared>, domain: &str, request: Request) -> bool {
    let now = shared.now();
    let state = shared.state();
    let is_own_placer = *domain == *shared.settings.domain && state.placer_lease.is_held(now);
    let placer = state.placer_of(domain, now);
    drop(state);
    if is_own_placer {
        place_adapter(shared, &request);
        return true;
    }
    if let Some(ip) = placer {
        broadcast::send_load_request(shared, ip, request);
    }
    placer.is_some()
}

/// Places an adapter that is needed, if this instance is the placer. Returns an endpoint that already holds it.
pub(crate) fn place_adapter(shared: &Arc<Shared>, request: &Request) -> Option<Arc<str>> {
    let Request { copy, need, .. } = request;
    let now = shared.now();
    let mut state = shared.state();
    if !state.placer_lease.is_held(now) {
        return None;
    }
    let domain = &shared.settings.domain;
    let fleet = &state.fleet;
    let mut targets: Vec<Target> = fleet
        .entries()
        .filter(|entry| entry.domain == *domain && entry.state == EndpointState::Ready)
        .map(|entry| Target {
            endpoint: Arc::clone(&entry.id),
            wait: fleet.expected_wait(&entry.id, 0, now).unwrap_or_default(),
        })
        .collect();
    // An adapter at an ejected endpoint serves no requests.
    if targets
        .iter()
        .any(|target| !fleet.is_ejected(&target.endpoint, now))
    {
        targets.retain(|target| !fleet.is_ejected(&target.endpoint, now));
    }
    // An endpoint with a limit is overloaded and accepts a few requests per second, whatever adapters it
    // holds.
    let has_limit = |target: &Target| state.limits.get(&target.endpoint).is_some();
    if !targets.iter().all(has_limit) {
        targets.retain(|target| !has_limit(target));
    }
    // A pausing endpoint gets no orders until its pause ends, so it is a candidate only if all are pausing.
    let is_pausing = |target: &Target| state.pauses.wait(&target.endpoint, now).is_some();
    if !targets.iter().all(is_pausing) {
        targets.retain(|target| !is_pausing(target));
    }
    let previous_holders = state.directory.previous_holders(copy).to_vec();
    let chosen = state
        .placer
        .place(request, &targets, &previous_holders, now);
    let is_news = chosen
        .as_ref()
        .is_ok_and(|endpoint| state.directory.mark_loading(endpoint, copy.clone(), now));
    drop(state);
    if *need == Need::Another {
        metrics::adapter_copy(copy_outcome(&chosen));
    }
    match chosen {
        Ok(endpoint) => {
            spdlog::info!(
                "adapter_placed adapter={} version={} endpoint={} need={:?} past={}",
                copy.key,
                copy.version,
                endpoint,
                need,
                previous_holders.contains(&endpoint)
            );
            shared.orders_changed.notify_waiters();
            // Instances that need it now ask for it here, not in another failure domain.
            if is_news {
                broadcast::send_event(shared, &endpoint, &Event::Loading(copy.clone()));
            }
        }
        Err(Declined::NoRoom) => {
            spdlog::debug!("copy_refused adapter={} version={}", copy.key, copy.version);
        }
        Err(Declined::Held(holder)) => return Some(holder),
        Err(Declined::Expected | Declined::NoEndpoint) => {}
    }
    None
}

fn copy_outcome(chosen: &Result<Arc<str>, Declined>) -> &'static str {
    match chosen {
        Ok(_) => "granted",
        Err(Declined::Held(_) | Declined::Expected) => "expected",
        Err(Declined::NoRoom) => "no_room",
        Err(Declined::NoEndpoint) => "no_endpoint",
    }
}

/// Loads a newly declared version if an endpoint of this failure domain holds any version of the adapter.
pub(crate) fn handle_new_version(shared: &Arc<Shared>, copy: &Copy) {
    let now = shared.now();
    let state = shared.state();
    if !state.placer_lease.is_held(now) {
        return;
    }
    let mut endpoints = state.placer.endpoints();
    let is_held_locally = endpoints.any(|(_, slots)| slots.has_any_version(&copy.key));
    drop(endpoints);
    drop(state);
    if is_held_locally {
        place_adapter(shared, &Request::new(copy.clone(), Need::Any));
    }
}
