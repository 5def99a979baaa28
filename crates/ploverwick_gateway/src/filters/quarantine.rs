//! Keeps requests that end what runs them from endpoints.

use std::sync::Arc;

use ploverwick_codes::Code;
use ploverwick_quarantine::Standing;

use super::reply::Reply;
use super::task::Task;
use crate::controllers::quarantine;
use crate::metrics;
use crate::shared::Shared;

/// Returns the refusal of a request under which too many endpoints ended.
///
/// It names no time to come back: the same request is refused for as long as it is asked.
pub(super) fn refusal(shared: &Shared, task: &Task) -> Option<Reply> {
    if standing(shared, task) != Standing::Refused {
        return None;
    }
    metrics::fatal_refused();
    let fingerprint = task.fingerprint();
    if shared.lines.allow(shared.now()) {
        spdlog::info!(
            "request_refused id={} fingerprint={} route={} service={}",
            task.call.id,
            fingerprint,
            task.route.name,
            task.service
        );
    }
    let detail = format!("Its fingerprint is {fingerprint}.");
    Some(Reply::new(Code::EndsEndpoints, detail))
}

/// Returns whether a request may go to a second endpoint as far as those that ended under it say.
pub(super) fn may_repeat(shared: &Shared, task: &Task) -> bool {
    standing(shared, task).may_repeat()
}

/// Takes in that a request was answered with success to the end.
pub(super) fn ended_well(shared: &Arc<Shared>, task: &Task) {
    if standing(shared, task) != Standing::Clear {
        quarantine::clear(shared, &task.fingerprint(), &task.call.id);
    }
}

fn standing(shared: &Shared, task: &Task) -> Standing {
    let now = shared.now();
    let state = shared.state();
    // Most of the time nothing is held against any request, and none needs its fingerprint.
    if state.quarantine.is_empty() {
        return Standing::Clear;
    }
    state.quarantine.standing(&task.fingerprint(), now)
}
