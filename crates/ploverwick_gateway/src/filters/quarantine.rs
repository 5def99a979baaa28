//! Refuses requests that crash the endpoints that run them.

use std::sync::Arc;

use ploverwick_codes::Code;
use ploverwick_endpoints::Entry;
use ploverwick_platform::answer::Framing;
use ploverwick_quarantine::Status;
use ploverwick_quarantine::prompt::{Knowledge, Part, Verdict};

use super::admitted_request::AdmittedRequest;
use super::reply::Reply;
use crate::controllers::{crashes, quarantine};
use crate::metrics;
use crate::shared::Shared;

/// Returns the refusal of a request that crashed too many endpoints, or that shares a part of its prompt with requests
/// that did; `None` if it may be sent.
///
/// The reply has no `Retry-After`, since the same request is refused as long as clients keep sending it.
pub(super) fn refusal(shared: &Shared, request: &AdmittedRequest) -> Option<Reply> {
    if status(shared, request) == Status::Refused {
        metrics::fatal_refused("request");
        let fingerprint = request.fingerprint();
        log_refusal(shared, request, &format!("fingerprint={fingerprint}"));
        let detail = format!("Its fingerprint is {fingerprint}.");
        return Some(Reply::new(Code::CrashesEndpoints, detail));
    }
    let Verdict::Refused(part) = verdict(shared, request) else {
        return None;
    };
    metrics::fatal_refused("part");
    log_refusal(shared, request, &format!("part={part}"));
    let detail = format!("Part {part} of its prompt is the cause.");
    Some(Reply::new(Code::CrashesEndpoints, detail))
}

/// Returns whether a request may not be sent because of the crashes recorded for it or for a part of its prompt.
pub(super) fn is_refused(shared: &Shared, request: &AdmittedRequest) -> bool {
    let statuses = [status(shared, request), verdict(shared, request).status()];
    statuses.contains(&Status::Refused)
}

fn log_refusal(shared: &Shared, request: &AdmittedRequest, cause: &str) {
    if shared.log_limiter.allow(shared.now()) {
        spdlog::info!(
            "request_refused id={} {} route={} service={}",
            request.info.id,
            cause,
            request.route.name,
            request.service
        );
    }
}

/// Returns whether the crashes recorded for a request and for the parts of its prompt permit sending it to another
/// endpoint.
pub(super) fn may_retry(shared: &Shared, request: &AdmittedRequest) -> bool {
    status(shared, request).may_retry() && verdict(shared, request).status().may_retry()
}

/// Returns what is known of the parts of a request's prompt.
pub(super) fn known(shared: &Shared, request: &AdmittedRequest) -> Knowledge {
    let now = shared.now();
    let state = shared.state();
    if state.prompt_quarantine.is_empty() {
        return Knowledge::default();
    }
    state.prompt_quarantine.known(request.prompt_parts(), now)
}

/// Clears the crashes recorded for a request and for the parts of its prompt after a complete, successful answer.
pub(super) fn handle_success(
    shared: &Arc<Shared>,
    request: &AdmittedRequest,
    endpoint: &Entry,
    framing: Framing,
) {
    if status(shared, request) != Status::Clear {
        quarantine::handle_success(shared, &request.fingerprint(), &request.info.id);
    }
    if verdict(shared, request) == Verdict::Clear {
        return;
    }
    let (parts, id) = (request.prompt_parts(), &request.info.id);
    match framing {
        Framing::Length | Framing::Chunks => quarantine::handle_prompt_success(shared, parts, id),
        Framing::Close => crashes::handle_unframed_success(shared, endpoint, parts, id),
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

fn verdict(shared: &Shared, request: &AdmittedRequest) -> Verdict {
    let now = shared.now();
    let state = shared.state();
    let quarantine = &state.prompt_quarantine;
    if quarantine.is_empty() {
        return Verdict::Clear;
    }
    let parts: &[Part] = request.prompt_parts();
    let is_clear = |part: &Part| quarantine.status(part, now) == Status::Clear;
    if parts.iter().all(is_clear) {
        return Verdict::Clear;
    }
    quarantine.verdict(parts, request.prompt_caller(), now)
}
