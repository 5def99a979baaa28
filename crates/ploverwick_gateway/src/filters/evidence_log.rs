//! Logs what proves that requests have not run.

use http::StatusCode;
use ploverwick_platform::answer;

use super::admitted_request::AdmittedRequest;
use crate::metrics;
use crate::shared::Shared;

/// Logs what was seen of a request that may run only once, when it ends with `status`, if that or a further send rests on proof
/// that it had not run.
///
/// The line has a limit of its own, as it is needed most under a load at which lines about other requests are dropped.
pub(super) fn log(shared: &Shared, request: &AdmittedRequest, status: StatusCode) {
    let evidence = request.lock_evidence();
    let is_promise = answer::is_promise(status);
    let rests_on_proof = evidence.has_proof() || (is_promise && evidence.has_ended());
    if !rests_on_proof || request.route.kind.may_retry() {
        return;
    }
    metrics::refused_request(if is_promise { "promise" } else { "other" });
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
