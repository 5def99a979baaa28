//! Refuses requests that crash the endpoints that run them.

use std::sync::Arc;

use ploverwick_codes::Code;
use ploverwick_quarantine::Status;

use super::admitted_request::AdmittedRequest;
use super::reply::Reply;
use crate::controllers::quarantine;
use crate::metrics;
use crate::shared::Shared;

/// Returns the refusal of a request that crashed too many endpoints; `None` if it may be sent.
///
/// The reply has no `Retry-After`, since the same request is refused as long as clients keep sending it.
pub(super) fn refusal(shared: &Shared, request: &AdmittedRequest) -> Option<Reply> {
    if status(shared, request) != Status::Refused {
        return None;
    }
    metrics::fatal_refused();
    let fingerprint = request.fingerprint();
    if shared.log_limiter.allow(shared.now()) {
        spdlog::info!(
            "request_refused id={} fingerprint={} route={} service={}",
            request.info.id,
            fingerprint,
            request.route.name,
            request.service
        );
    }
    let detail = format!("Its fingerprint is {fingerprint}.");
    Some(Reply::new(Code::CrashesEndpoints, detail))
}

/// Returns whether the crashes recorded for a request permit sending it to another endpoint.
pub(super) fn may_retry(shared: &Shared, request: &AdmittedRequest) -> bool {
    status(shared, request).may_retry()
}

/// Clears the crashes recorded for a request after a complete, successful answer.
pub(super) fn handle_success(shared: &Arc<Shared>, request: &AdmittedRequest) {
    if status(shared, request) != Status::Clear {
        quarantine::handle_success(shared, &request.fingerprint(), &request.info.id);
    }
}

fn status(shared: &Shared, request: &AdmittedRequest) -> Status {
    let now = shared.now();
    let state = shared.state();
    // Usually no crashes are recorded, so that the fingerprint need not be computed.
    if state.quarantine.is_empty() {
        return Status::Clear;
    }
    state.quarantine.status(&request.fingerprint(), now)
}
