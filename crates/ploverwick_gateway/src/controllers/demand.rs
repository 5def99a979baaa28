//! Takes in demands for adapters and has them loaded where this instance places them.

use std::sync::Arc;

use ploverwick_adapters::{Copy, Need, Target};
use ploverwick_endpoints::State as EndpointState;

use crate::shared::Shared;
use crate::tell;

/// Asks for an adapter at the endpoints of a failure domain. Returns whether there was anybody to ask.
pub(crate) fn ask(shared: &Arc<Shared>, domain: &str, copy: &Copy, need: Need) -> bool {
    let now = shared.now();
    let state = shared.state();
    let is_own = *domain == *shared.settings.domain && state.placer_lease.is_held(now);
    let placer = state.placer_of(domain, now);
    drop(state);
    if is_own {
        take(shared, copy, need);
        return true;
    }
    if let Some(ip) = placer {
        tell::need(shared, ip, copy, need);
    }
    placer.is_some()
}

/// Takes in a demand, if this instance places adapters.
pub(crate) fn take(shared: &Arc<Shared>, copy: &Copy, need: Need) {
    let now = shared.now();
    let mut state = shared.state();
    if !state.placer_lease.is_held(now) {
        return;
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
    // An adapter at an endpoint that is left out serves nobody.
    if targets
        .iter()
        .any(|target| !fleet.is_ejected(&target.endpoint, now))
    {
        targets.retain(|target| !fleet.is_ejected(&target.endpoint, now));
    }
    // One that names a limit is in need, and takes a few requests a second whatever it holds.
    let has_limit = |target: &Target| state.limits.get(&target.endpoint).is_some();
    if !targets.iter().all(has_limit) {
        targets.retain(|target| !has_limit(target));
    }
    // A pausing endpoint gets no orders until its pause ends, so it is a candidate only if all are pausing.
    let is_pausing = |target: &Target| state.pauses.wait(&target.endpoint, now).is_some();
    if !targets.iter().all(is_pausing) {
        targets.retain(|target| !is_pausing(target));
    }
    let past = state.directory.previous_holders(copy).to_vec();
    let chosen = state.placer.place(copy, &targets, need, &past, now);
    drop(state);
    if let Some(endpoint) = chosen {
        spdlog::info!(
            "adapter_placed adapter={} version={} endpoint={} need={:?} past={}",
            copy.key,
            copy.version,
            endpoint,
            need,
            past.contains(&endpoint)
        );
        shared.orders_changed.notify_waiters();
    }
}

/// Has a newly declared version loaded if an older one is held in this failure domain.
pub(crate) fn renew(shared: &Arc<Shared>, copy: &Copy) {
    let now = shared.now();
    let state = shared.state();
    if !state.placer_lease.is_held(now) {
        return;
    }
    let mut endpoints = state.placer.endpoints();
    let is_held_here = endpoints.any(|(_, slots)| slots.has_any_version(&copy.key));
    drop(endpoints);
    drop(state);
    if is_held_here {
        take(shared, copy, Need::Any);
    }
}
