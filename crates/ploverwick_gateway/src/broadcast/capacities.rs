//! Messages about the learned speed of endpoints.
//!
//! Each round has room for a fixed number of endpoints, so that what is sent does not grow with the fleet. A larger
//! fleet learns more slowly at endpoints that change little.

use std::net::IpAddr;

use ploverwick_endpoints::{MAX_CHANGED_FIGURES, MAX_OBSERVED_ENDPOINTS, REFRESHED_FIGURES};
use ploverwick_names::Moment;

use super::{domain_peers, remote_relays};
use crate::messages::Message;
use crate::metrics;
use crate::shared::Shared;
use crate::state::State;

/// Adds the messages of a round: what this instance observed, to the placers of the endpoints' failure domains, and,
/// if it is a placer itself, the figures of its failure domain to all instances.
pub(super) fn push_messages(
    shared: &Shared,
    state: &mut State,
    now: Moment,
    messages: &mut Vec<(Message, Vec<IpAddr>)>,
) {
    let own_domain = &shared.settings.domain;
    let is_placer = state.placer_lease.token(now).is_some();
    let mut room = MAX_OBSERVED_ENDPOINTS;
    for domain in &shared.settings.domains {
        if is_placer && domain == own_domain {
            // Its own observations are among those that it adds up.
            state.fleet.take_observations(domain, usize::MAX);
            continue;
        }
        let Some(placer) = state.placer_of(domain, now) else {
            continue;
        };
        let observed = state.fleet.take_observations(domain, room);
        room -= observed.len();
        if !observed.is_empty() {
            messages.push((Message::Observations(observed), vec![placer]));
        }
    }
    if is_placer {
        push_figures(shared, state, now, messages);
    }
}

fn push_figures(
    shared: &Shared,
    state: &mut State,
    now: Moment,
    messages: &mut Vec<(Message, Vec<IpAddr>)>,
) {
    let domain = &shared.settings.domain;
    let chosen = state
        .fleet
        .next_figures(domain, MAX_CHANGED_FIGURES, REFRESHED_FIGURES);
    metrics::known_capacities(state.fleet.count_known_capacities(domain));
    if let Some(fill) = state.fleet.max_memory_fill(domain, now) {
        metrics::max_memory_fill(fill);
    }
    if chosen.is_empty() {
        return;
    }
    for (endpoint, figure) in &chosen {
        if shared.log_limiter.allow(now) {
            let capacity = figure.capacity();
            spdlog::info!(
                "endpoint_capacity endpoint={} read_ms={:.4} step_ms={:.2}",
                endpoint,
                capacity.read_ms,
                capacity.step_ms
            );
        }
    }
    let mut to = domain_peers(shared, state);
    to.extend(remote_relays(shared, state, now));
    let figures = chosen.into_iter().map(|(_, figure)| figure);
    messages.push((Message::Figures(figures.collect()), to));
}
