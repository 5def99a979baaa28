//! Handles requests to load adapters, and places the adapters if this instance is the placer.

use std::sync::Arc;

use ploverwick_adapters::{Copy, Declined, Event, Need, Request, Target};
use ploverwick_endpoints::{Build, Capacity, Entry, Fleet, State as EndpointState, service_rate};
use ploverwick_names::Moment;

use crate::broadcast;
use crate::metrics;
use crate::shared::Shared;
use crate::state::State;

/// The length of the prompt by whose pause endpoints are compared, in tokens.
const COMPARED_PROMPT_TOKENS: u32 = 1_000;

/// Requests the load of an adapter in a failure domain, at an endpoint of the build if one is given. Returns whether
/// the domain has a placer to ask.
pub(crate) fn request_load(
    shared: &Arc<Shared>,
    domain: &str,
    request: Request,
    build: Option<Build>,
) -> bool {
    let now = shared.now();
    let state = shared.state();
    let is_own_placer = *domain == *shared.settings.domain && state.placer_lease.is_held(now);
    let placer = state.placer_of(domain, now);
    drop(state);
    if is_own_placer {
        place_adapter(shared, &request, build);
        return true;
    }
    if let Some(ip) = placer {
        broadcast::send_load_request(shared, ip, request, build);
    }
    placer.is_some()
}

/// Places an adapter that is needed, if this instance is the placer. Returns an endpoint that already holds it. Only
/// endpoints of the build count if one is given.
pub(crate) fn place_adapter(
    shared: &Arc<Shared>,
    request: &Request,
    build: Option<Build>,
) -> Option<Arc<str>> {
    let Request { copy, need, .. } = request;
    let now = shared.now();
    let mut state = shared.state();
    if !state.placer_lease.is_held(now) {
        return None;
    }
    let domain = &shared.settings.domain;
    let fleet = &state.fleet;
    let entries = fleet.entries();
    let entries = entries.filter(|e| e.domain == *domain && e.state == EndpointState::Ready);
    let entries = entries.filter(|e| build.is_none_or(|build| fleet.runs(&e.id, build)));
    let mut targets: Vec<Target> = entries.map(|entry| target(&state, entry, now)).collect();
    assign_shares(fleet, &mut targets);
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
    if matches!(need, Need::Another | Need::Relief) {
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
        Err(Declined::Expected | Declined::Uncongested | Declined::NoEndpoint) => {}
    }
    None
}

fn copy_outcome(chosen: &Result<Arc<str>, Declined>) -> &'static str {
    match chosen {
        Ok(_) => "granted",
        Err(Declined::Held(_) | Declined::Expected) => "expected",
        Err(Declined::NoRoom) => "no_room",
        Err(Declined::Uncongested) => "uncongested",
        Err(Declined::NoEndpoint) => "no_endpoint",
    }
}

fn target(state: &State, entry: &Entry, now: Moment) -> Target {
    let load = state.fleet.load(&entry.id, now);
    let engine = state
        .config
        .as_ref()
        .and_then(|config| config.service(&entry.service)?.engine.as_ref());
    let event_tokens = engine.map_or(1, |engine| engine.event_tokens);
    let capacity = state.fleet.capacity(&entry.id);
    let pause = capacity.map(|c| c.expected_pause(load, COMPARED_PROMPT_TOKENS, event_tokens));
    Target {
        endpoint: Arc::clone(&entry.id),
        pause: pause.unwrap_or_default(),
        share: 1.0,
    }
}

/// Sets the share of each endpoint by its speed.
fn assign_shares(fleet: &Fleet, targets: &mut [Target]) {
    let capacity = |target: &Target| fleet.capacity(&target.endpoint);
    let all: Vec<Capacity> = targets.iter().filter_map(capacity).collect();
    let Some(typical) = service_rate::typical(&all) else {
        return;
    };
    for target in targets {
        if let Some(capacity) = capacity(target) {
            target.share = service_rate::adapter_share(capacity, typical);
        }
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
        place_adapter(shared, &Request::new(copy.clone(), Need::Any), None);
    }
}
