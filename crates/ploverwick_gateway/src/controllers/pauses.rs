//! Records the pauses that endpoints request in the `Retry-After` header of 503 responses to this instance.

use std::sync::Arc;
use std::time::Duration;

use ploverwick_platform::answer::RetryAfter;

use crate::metrics;
use crate::shared::Shared;

/// Handles the `Retry-After` header of an endpoint's answer to the request `id`.
pub(crate) fn handle_answer(
    shared: &Shared,
    endpoint: &Arc<str>,
    id: &str,
    retry_after: RetryAfter,
) {
    let pause = match retry_after {
        RetryAfter::Unnamed | RetryAfter::Named(Duration::ZERO) => return,
        RetryAfter::Named(pause) => pause,
        RetryAfter::Malformed => {
            if shared.log_limiter.allow(shared.now()) {
                spdlog::warn!("retry_after_malformed endpoint={} id={}", endpoint, id);
            }
            return;
        }
    };
    let now = shared.now();
    let mut state = shared.state();
    // The endpoint may have been removed from the list before its answer arrived.
    if state.fleet.entry(endpoint).is_none() {
        return;
    }
    let is_new = state.pauses.record(endpoint, pause, now);
    drop(state);
    if is_new {
        metrics::endpoint_paused();
        spdlog::info!(
            "endpoint_paused endpoint={} ms={} id={}",
            endpoint,
            pause.as_millis(),
            id
        );
    }
}
