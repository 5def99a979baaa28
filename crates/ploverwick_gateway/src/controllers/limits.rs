//! Tracks the rate limits that overloaded endpoints set in their answers.
//!
//! An answer reaches one instance but applies to all, so that changes are broadcast at once. A periodic
//! broadcast every other second makes up for lost messages and informs instances that have just started.

use std::net::IpAddr;
use std::sync::Arc;

use ploverwick_endpoints::{Change, Limit, LimitUpdate, Share};
use ploverwick_names::Moment;
use ploverwick_platform::answer::{self, Head};

use crate::broadcast;
use crate::metrics;
use crate::shared::Shared;
use crate::state::{InstanceListState, State};
/// Handles the limit in the head of an endpoint's answer to the request `id`, which was sent at `sent_at`.
pub(crate) fn handle_answer(
    shared: &Shared,
    endpoint: &Arc<str>,
    id: &str,
    head: &Head,
    sent_at: Moment,
) {
    let is_authentic = head.is_authentic();
    let limit = match head.limit {
        // An answer that may not come from the endpoint itself does not lift a limit.
        answer::Limit::Absent if !is_authentic => return,
        answer::Limit::Absent => None,
        answer::Limit::Rate(rate) => Some(Limit::per_second(rate)),
        answer::Limit::Malformed => {
            if shared.log_limiter.allow(shared.now()) {
                spdlog::warn!("endpoint_limit_malformed endpoint={} id={}", endpoint, id);
            }
            return;
        }
    };
    let now = shared.now();
    let mut state = shared.state();
    let change = state.limits.record_answer(endpoint, limit, sent_at, now);
    if change == Change::Unchanged {
        return;
    }
    let update = state.limits.update(endpoint, now);
    assign_share(shared, &mut state, endpoint, now);
    drop(state);
    log_change(endpoint, change, &format_args!("answer id={id}"));
    if let Some(update) = update {
        broadcast::send_limit(shared, update);
    }
}

/// Handles limits from another instance.
pub(crate) fn handle_updates(shared: &Shared, updates: &[LimitUpdate], from: IpAddr) {
    let now = shared.now();
    let mut state = shared.state();
    let mut changes = Vec::new();
    for update in updates {
        // A limit of an endpoint that is not on the list would never be removed.
        if state.fleet.entry(&update.endpoint).is_none() {
            continue;
        }
        let change = state.limits.apply_update(update, now);
        if change != Change::Unchanged {
            assign_share(shared, &mut state, &update.endpoint, now);
            changes.push((&update.endpoint, change));
        }
    }
    if changes.is_empty() {
        return;
    }
    drop(state);
    for (endpoint, change) in changes {
        log_change(endpoint, change, &format_args!("instance from={from}"));
    }
    // A request that waits for the adapter elsewhere may be served where a limit was lifted.
    shared.placement_changed.notify_waiters();
}

/// Assigns this instance its share of the limit of one endpoint.
fn assign_share(shared: &Shared, state: &mut State, endpoint: &str, now: Moment) {
    if let Some(limit) = state.limits.get(endpoint) {
        let share = own_share(shared, state, endpoint, limit, now);
        state.limits.assign(endpoint, share, now);
    }
    metrics::endpoint_limits(state.limits.active_count());
}

/// Assigns this instance its share of each limit, based on the instances that are currently alive.
pub(crate) fn assign_shares(shared: &Shared, state: &mut State, now: Moment) {
    let fleet = &state.fleet;
    let is_listed = |endpoint: &str| fleet.entry(endpoint).is_some();
    state.limits.sweep(is_listed, now);
    let limited = state.limits.limited();
    let assignments = limited.map(|(endpoint, limit)| {
        let share = own_share(shared, state, endpoint, limit, now);
        (Arc::clone(endpoint), share)
    });
    let assignments: Vec<(Arc<str>, Share)> = assignments.collect();
    for (endpoint, share) in assignments {
        state.limits.assign(&endpoint, share, now);
    }
}

fn own_share(shared: &Shared, state: &State, endpoint: &str, limit: Limit, now: Moment) -> Share {
    // Without the list of instances, this instance must not assume that it is the only one.
    if state.instance_list == InstanceListState::Unread {
        return Share::NONE;
    }
    let Some(entry) = state.fleet.entry(endpoint) else {
        return Share::NONE;
    };
    let senders = state.senders(&entry.domain, &shared.settings, now);
    Share::of(limit, endpoint, &shared.settings.instance, &senders)
}

fn log_change(endpoint: &str, change: Change, by: &dyn std::fmt::Display) {
    let limit = match change {
        Change::Unchanged => return,
        Change::Set(limit) => limit.to_string(),
        Change::Lifted => "-".to_owned(),
    };
    spdlog::info!(
        "endpoint_limit endpoint={} limit={} by={}",
        endpoint,
        limit,
        by
    );
}
