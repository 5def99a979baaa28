//! Marks endpoints as draining when their answers report that they are leaving.
//!
//! The list of endpoints shows a departure only after the endpoint has written it to the store and this instance has
//! read it from there. An answer reports it immediately, but only to one instance, which notifies the others.

use std::net::IpAddr;
use std::sync::Arc;

use ploverwick_endpoints::State as EndpointState;

use crate::broadcast;
use crate::metrics;
use crate::shared::Shared;

/// Handles the state that an endpoint reported in an answer; `source` identifies the answer in the log.
pub(crate) fn handle_answer(
    shared: &Shared,
    endpoint: &Arc<str>,
    reported: EndpointState,
    source: &dyn std::fmt::Display,
) {
    if reported == EndpointState::Ready {
        return;
    }
    let now = shared.now();
    let mut state = shared.state();
    // The endpoint may have been removed from the list before its answer arrived.
    if state.fleet.entry(endpoint).is_none() {
        return;
    }
    state.draining_reports.record(endpoint, now);
    drop(state);
    if drain(shared, endpoint, source) {
        broadcast::send_draining(shared, vec![Arc::clone(endpoint)]);
    }
}

/// Handles a message from another instance about endpoints that are leaving.
pub(crate) fn handle_message(shared: &Shared, endpoints: &[Arc<str>], from: IpAddr) {
    for endpoint in endpoints {
        drain(shared, endpoint, &format_args!("instance from={from}"));
    }
}

/// Stops sending requests and orders to an endpoint. Returns `false` if it is already draining or is not listed.
fn drain(shared: &Shared, endpoint: &Arc<str>, source: &dyn std::fmt::Display) -> bool {
    let mut state = shared.state();
    if !state.fleet.drain(endpoint) {
        return false;
    }
    state.placer.remove(endpoint);
    drop(state);
    metrics::endpoint_draining();
    spdlog::info!("endpoint_draining endpoint={} by={}", endpoint, source);
    shared.orders_changed.notify_waiters();
    true
}
