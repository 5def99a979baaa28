//! Decides whether a request asks for another copy of its adapter.

use std::sync::Arc;
use std::time::Duration;

use ploverwick_adapters::Need;
use ploverwick_endpoints::Pacing;
use ploverwick_names::Moment;

use super::admitted_request::AdmittedRequest;
use crate::metrics;
use crate::shared::Shared;
use crate::state::State;

/// The time a request may wait for queued prompts of others at the best endpoint that holds its adapter, as a
/// multiple of its latency objective, before the adapter is loaded at another endpoint too. Below 1 the request
/// would still meet its objective, and another copy takes a slot from another adapter.
const MAX_QUEUE_RATIO: f64 = 1.5;
/// The fill of the best endpoint that holds an adapter above which the adapter is loaded at another one too.
const BUSY_FILL: f64 = 0.85;
/// The expected pause of streams at the best endpoint that holds an adapter, as a fraction of the longest one
/// allowed, above which another copy would relieve it. Prompts that arrive at the same time add to it.
const CONGESTED_PAUSE_RATIO: f64 = 0.4;

/// Returns why the adapter of a request should be loaded at another endpoint, if it should. `endpoint` is the best
/// one that holds it.
pub(super) fn another_copy(
    shared: &Shared,
    state: &State,
    request: &AdmittedRequest,
    pacing: Option<Pacing>,
    endpoint: &Arc<str>,
    now: Moment,
) -> Option<Need> {
    let fleet = &state.fleet;
    let fill = fleet.fill(endpoint, now).unwrap_or(0.0);
    let queue_wait = fleet.expected_wait(endpoint, 0, now).unwrap_or_default();
    if fill > BUSY_FILL || queue_wait > max_queue_wait(request) {
        return Some(Need::Another);
    }
    let load = fleet.load(endpoint, now);
    let prompt = request.info.prompt_tokens;
    let pause_ratio = pacing?.pause_ratio(fleet.capacity(endpoint)?, load, prompt);
    if pause_ratio <= CONGESTED_PAUSE_RATIO {
        return None;
    }
    metrics::relief_request();
    if shared.log_limiter.allow(now) {
        spdlog::info!(
            "endpoint_congested id={} endpoint={} prompt={} pause_ratio={:.2}",
            request.info.id,
            endpoint,
            prompt,
            pause_ratio
        );
    }
    Some(Need::Relief)
}

fn max_queue_wait(request: &AdmittedRequest) -> Duration {
    request.route.objective.mul_f64(MAX_QUEUE_RATIO)
}
