//! Keeps the limits that endpoints in need name in their answers.
//!
//! An answer reaches one instance and binds all, so that what it says anew is told to all at once. What is
//! told again every other second makes up for lost messages and for instances that have just started.

use std::net::IpAddr;
use std::sync::Arc;

use ploverwick_endpoints::{Change, Limit, LimitUpdate, Share};
use ploverwick_names::Moment;
use ploverwick_platform::answer::{self, Head, Statement};

use crate::metrics;
use crate::shared::Shared;
use crate::state::{InstanceListState, State};
use crate::tell;

/// Takes in what the head of the answer to the request `id`, which was sent at a moment, says of its
/// endpoint's limit.
pub(crate) fn answered(shared: &Shared, endpoint: &Arc<str>, id: &str, head: &Head, sent: Moment) {
    let is_its_own = head.is_signed || head.statement != Statement::Nothing;
    let limit = match head.limit {
        // An answer that is not proven to be the endpoint's lifts nothing.
        answer::Limit::Absent if !is_its_own => return,
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
    let change = state.limits.record_answer(endpoint, limit, sent, now);
    if change == Change::Unchanged {
        return;
    }
    let told = state.limits.update(endpoint, now);
    take_effect(shared, &mut state, endpoint, now);
    drop(state);
    log(endpoint, change, &format_args!("answer id={id}"));
    if let Some(told) = told {
        tell::limit(shared, told);
    }
}

/// Takes in what another instance tells.
pub(crate) fn told(shared: &Shared, list: &[LimitUpdate], from: IpAddr) {
    let now = shared.now();
    let mut state = shared.state();
    let mut changes = Vec::new();
    for told in list {
        // News of an endpoint that is not listed, or not any more, would be kept for ever.
        if state.fleet.entry(&told.endpoint).is_none() {
            continue;
        }
        let change = state.limits.apply_update(told, now);
        if change != Change::Unchanged {
            take_effect(shared, &mut state, &told.endpoint, now);
            changes.push((&told.endpoint, change));
        }
    }
    if changes.is_empty() {
        return;
    }
    drop(state);
    for (endpoint, change) in changes {
        log(endpoint, change, &format_args!("instance from={from}"));
    }
    // Who waits for a copy elsewhere may be served where a limit was lifted.
    shared.placement_changed.notify_waiters();
}

/// Gives this instance its part of the limit of one endpoint.
fn take_effect(shared: &Shared, state: &mut State, endpoint: &str, now: Moment) {
    if let Some(limit) = state.limits.get(endpoint) {
        let part = part(shared, state, endpoint, limit, now);
        state.limits.assign(endpoint, part, now);
    }
    metrics::endpoint_limits(state.limits.active_count());
}

/// Gives this instance its part of each limit, by the instances that it hears now.
pub(crate) fn assign(shared: &Shared, state: &mut State, now: Moment) {
    let fleet = &state.fleet;
    let is_listed = |endpoint: &str| fleet.entry(endpoint).is_some();
    state.limits.sweep(is_listed, now);
    let limited = state.limits.limited();
    let parts = limited.map(|(endpoint, limit)| {
        let part = part(shared, state, endpoint, limit, now);
        (Arc::clone(endpoint), part)
    });
    let parts: Vec<(Arc<str>, Share)> = parts.collect();
    for (endpoint, part) in parts {
        state.limits.assign(&endpoint, part, now);
    }
}

fn part(shared: &Shared, state: &State, endpoint: &str, limit: Limit, now: Moment) -> Share {
    // Who does not know the others must not take itself for the only one.
    if state.instance_list == InstanceListState::Unread {
        return Share::NONE;
    }
    let Some(entry) = state.fleet.entry(endpoint) else {
        return Share::NONE;
    };
    let senders = state.senders(&entry.domain, &shared.settings, now);
    Share::of(limit, endpoint, &shared.settings.instance, &senders)
}

fn log(endpoint: &str, change: Change, by: &dyn std::fmt::Display) {
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
