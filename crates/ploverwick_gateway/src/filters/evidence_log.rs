//! Logs what proves that requests have not run.

use http::StatusCode;
use ploverwick_platform::answer;

use super::admitted_request::AdmittedRequest;
use crate::metrics;
use crate::shared::Shared;

/// Logs what was seen of a request that may run only once and was refused at least once, when it ends with `status`.
///
/// The line has a limit of its own, as it is needed most under a load at which lines about other requests are dropped.
pub(super) fn log(shared: &Shared, request: &AdmittedRequest, status: StatusCode) {
    let evidence = request.lock_evidence();
    if evidence.refusals() == 0 || request.route.kind.may_retry() {
        return;
    }
    let ending = if answer::is_promise(status) {
        "promise"
    } else {
        "other"
    };
    metrics::refused_request(ending);
    if shared.evidence_limiter.allow(shared.now()) {
        spdlog::info!(
            "not_run_evidence id={} route={} status={} sends=\"{}\"",
            request.info.id,
            request.route.name,
            status.as_u16(),
            evidence
        );
    }
}
