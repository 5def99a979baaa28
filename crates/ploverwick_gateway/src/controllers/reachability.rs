//! Opens connections to endpoints and records whether that succeeds.

use ploverwick_endpoints::Entry;

use crate::metrics;
use crate::pool::{self, ConnectError, Connection};
use crate::shared::Shared;

/// Opens a connection to an endpoint.
///
/// # Errors
/// Fails if the endpoint refuses it or does not answer in time.
pub(crate) async fn connect(shared: &Shared, entry: &Entry) -> Result<Connection, ConnectError> {
    let result = pool::connect(shared.settings.ip, entry.address).await;
    match &result {
        Ok(_) => handle_opened(shared, entry),
        Err(error) => handle_failure(shared, entry, error),
    }
    result
}

fn handle_opened(shared: &Shared, entry: &Entry) {
    metrics::endpoint_connection("opened");
    let was_unreachable = shared.state().reachability.record_opened(&entry.id);
    if was_unreachable {
        spdlog::info!("endpoint_reachable endpoint={}", entry.id);
    }
}

/// Logs the first failure after a success, with what tells a fault of this instance's links from one of the endpoint.
fn handle_failure(shared: &Shared, entry: &Entry, error: &ConnectError) {
    metrics::endpoint_connection(error.name());
    let now = shared.now();
    let mut state = shared.state();
    let was_reachable = state.reachability.record_unreachable(&entry.id);
    let unreachable = state.reachability.unreachable_count();
    let listed = state.fleet.entries().count();
    let answer_age = state.reachability.answer_age(now);
    drop(state);
    if was_reachable {
        spdlog::info!(
            "endpoint_unreachable endpoint={} service={} cause={} unreachable={} listed={} answer_age_ms={:?}",
            entry.id,
            entry.service,
            error.name(),
            unreachable,
            listed,
            answer_age.map(|age| age.as_millis())
        );
    }
}

/// Records that an endpoint sent an answer.
pub(crate) fn handle_answer(shared: &Shared) {
    let now = shared.now();
    shared.state().reachability.record_answer(now);
}

/// Updates the gauges, and forgets endpoints that are no longer listed.
pub(crate) fn update_gauges(shared: &Shared) {
    let now = shared.now();
    let mut state = shared.state();
    let state = &mut *state;
    let fleet = &state.fleet;
    state
        .reachability
        .retain(|endpoint| fleet.entry(endpoint).is_some());
    let listed = fleet.entries().count();
    let unreachable = state.reachability.unreachable_count();
    let answer_age = state.reachability.answer_age(now);
    metrics::endpoints(listed, unreachable, answer_age);
}
