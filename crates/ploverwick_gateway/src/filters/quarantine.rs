//! Keeps requests that crash what runs them from endpoints.

use std::sync::Arc;

use ploverwick_codes::Code;
use ploverwick_quarantine::Status;

use super::reply::Reply;
use super::task::Task;
use crate::controllers::quarantine;
use crate::metrics;
use crate::shared::Shared;

/// Returns the refusal of a request under which too many endpoints crashed.
///
/// It names no time to come back: the same request is refused for as long as it is asked.
pub(super) fn refusal(shared: &Shared, task: &Task) -> Option<Reply> {
    if status(shared, task) != Status::Refused {
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
    Some(Reply::new(Code::CrashesEndpoints, detail))
}

/// Returns whether a request may go to a second endpoint as far as those that ended under it say.
pub(super) fn may_repeat(shared: &Shared, task: &Task) -> bool {
    status(shared, task).may_repeat()
}

/// Takes in that a request was answered with success to the end.
pub(super) fn ended_well(shared: &Arc<Shared>, task: &Task) {
    if status(shared, task) != Status::Clear {
        quarantine::handle_success(shared, &task.fingerprint(), &task.call.id);
    }
}

fn status(shared: &Shared, task: &Task) -> Status {
    let now = shared.now();
    let state = shared.state();
    // Most of the time nothing is counted against any request, and none needs its fingerprint.
    if state.quarantine.is_empty() {
        return Status::Clear;
    }
    state.quarantine.status(&task.fingerprint(), now)
}
