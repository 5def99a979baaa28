//! Keeps refusals at brittle endpoints rare: they crash if they have to turn many requests away.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_endpoints::{Brittleness, Entry, Evidence};

use crate::broadcast;
use crate::messages::EndpointPause;
use crate::metrics;
use crate::shared::Shared;

/// Handles the answer of an endpoint that is brittle if `max_refusals` is stated; `is_refusal` is whether it turned the
/// request `id` away.
pub(crate) fn handle_answer(
    shared: &Shared,
    entry: &Entry,
    id: &str,
    max_refusals: Option<u32>,
    is_refusal: bool,
) {
    let Some(max_refusals) = max_refusals else {
        return;
    };
    let now = shared.now();
    let is_new = shared.state().brittleness.record(&entry.service, now);
    if is_new {
        spdlog::info!(
            "service_brittle service={} endpoint={} max_refusals={}",
            entry.service,
            entry.id,
            max_refusals
        );
    }
    if !is_refusal {
        return;
    }
    let pause = Brittleness::pause(max_refusals);
    if record_pause(shared, &entry.id, pause, &format_args!("answer id={id}")) {
        let pause = EndpointPause::new(Arc::clone(&entry.id), pause);
        broadcast::send_pauses(shared, vec![pause]);
    }
}

/// Records that an endpoint turned the request `id` away, and why it was sent there.
pub(crate) fn handle_refusal(shared: &Shared, endpoint: &Arc<str>, id: &str, evidence: &Evidence) {
    let now = shared.now();
    let mut state = shared.state();
    state.refusals.record(endpoint, now);
    let recent = state.refusals.count(endpoint, now);
    drop(state);
    let cause = evidence.cause().name();
    metrics::endpoint_refusal(cause);
    if shared.log_limiter.allow(now) {
        spdlog::info!(
            "endpoint_refusal id={} endpoint={} cause={} slots={} own={} known={} age_ms={} since_pause_ms={} earlier_sends={} recent={}",
            id,
            endpoint,
            cause,
            evidence.slots,
            evidence.own,
            evidence.known,
            format_ms(evidence.age),
            format_ms(evidence.since_pause),
            evidence.earlier_sends,
            recent
        );
    }
}

fn format_ms(duration: Option<Duration>) -> String {
    duration.map_or_else(
        || "-".to_owned(),
        |duration| duration.as_millis().to_string(),
    )
}

/// Handles a message from another instance about endpoints that turned requests away.
pub(crate) fn handle_message(shared: &Shared, pauses: &[EndpointPause], from: IpAddr) {
    for pause in pauses {
        let source = format_args!("instance from={from}");
        let now = shared.now();
        shared.state().refusals.record(&pause.endpoint, now);
        record_pause(shared, &pause.endpoint, pause.duration(), &source);
    }
}

/// Records a pause; returns whether the endpoint was not pausing.
fn record_pause(
    shared: &Shared,
    endpoint: &Arc<str>,
    pause: Duration,
    source: &dyn std::fmt::Display,
) -> bool {
    let now = shared.now();
    let mut state = shared.state();
    // The endpoint may have been removed from the list before its answer arrived.
    let is_new = state.fleet.entry(endpoint).is_some() && state.pauses.record(endpoint, pause, now);
    drop(state);
    if is_new {
        metrics::endpoint_paused();
        if shared.log_limiter.allow(now) {
            spdlog::info!(
                "endpoint_paused endpoint={} ms={} by={}",
                endpoint,
                pause.as_millis(),
                source
            );
        }
    }
    is_new
}
