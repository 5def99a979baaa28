//! Takes in the limits that endpoints in need name in their answers.

use std::sync::Arc;

use ploverwick_endpoints::{Change, Limit};
use ploverwick_platform::answer;

use crate::metrics;
use crate::shared::Shared;

/// Takes in what the head of an answer to the request `id` says of its endpoint's limit.
pub(crate) fn answered(shared: &Shared, endpoint: &Arc<str>, id: &str, said: answer::Limit) {
    let limit = match said {
        answer::Limit::Unnamed => None,
        answer::Limit::Named(rate) => Some(Limit::per_second(rate)),
        answer::Limit::Malformed => {
            if shared.lines.allow(shared.now()) {
                spdlog::warn!("endpoint_limit_malformed endpoint={} id={}", endpoint, id);
            }
            return;
        }
    };
    let mut state = shared.state();
    let change = state.limits.answered(endpoint, limit);
    let in_force = state.limits.len();
    drop(state);
    let limit = match change {
        Change::Unchanged => return,
        Change::Named(limit) => limit.to_string(),
        Change::Lifted => "-".to_owned(),
    };
    metrics::endpoint_limits(in_force);
    spdlog::info!(
        "endpoint_limit endpoint={} limit={} by=answer id={}",
        endpoint,
        limit,
        id
    );
}
