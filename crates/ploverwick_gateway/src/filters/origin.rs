//! Finds the build that began a stream which a client takes up again. Only that build may continue it.

use std::sync::Arc;

use ploverwick_codes::Code;
use ploverwick_endpoints::Build;
use ploverwick_endpoints::lookup::Verdict;
use ploverwick_endpoints::origins::Attempt;
use ploverwick_platform::request::FirstAttempt;

use super::admitted_request::AdmittedRequest;
use super::reply::Reply;
use crate::controllers::origins;
use crate::metrics;
use crate::shared::Shared;

/// Fixes the build for a request that takes a stream up again, and the attempt under which the origin of its stream is
/// recorded.
///
/// # Errors
/// Refuses the request if it names the stream's first attempt in a malformed way, or if several builds serve and nobody
/// knows which of them began the stream.
pub(super) async fn run(shared: &Arc<Shared>, request: &mut AdmittedRequest) -> Result<(), Reply> {
    let kind = request.route.kind;
    if !kind.is_stream() || !kind.may_retry() {
        return Ok(());
    }
    if !request.info.is_resumption {
        let id = &request.info.id;
        request.origin_attempt = (!id.is_empty()).then(|| Attempt::of(id));
        return Ok(());
    }
    let attempt = match &request.info.first_attempt {
        FirstAttempt::Named(id) => Some(Attempt::of(id)),
        FirstAttempt::Unnamed => None,
        FirstAttempt::Malformed => {
            let detail = "The attempt that began the stream must be named once.";
            return Err(Reply::new(Code::HeaderMalformed, detail));
        }
    };
    let verdict = origins::look_up(shared, request.scope(), attempt).await;
    log(shared, request, verdict);
    match verdict {
        Verdict::Began(build) => {
            request.origin_attempt = attempt;
            continue_at(shared, request, build);
        }
        Verdict::Inferred(build) => continue_at(shared, request, build),
        Verdict::Unknown => return Err(Reply::new(Code::StreamOriginUnknown, "")),
    }
    Ok(())
}

/// Restricts a request to a build, and to its service if the route shares its requests among several.
fn continue_at(shared: &Shared, request: &mut AdmittedRequest, build: Build) {
    request.build.get_or_init(|| build);
    let mut services = request.route.services();
    let state = shared.state();
    let service = services.find(|service| state.fleet.has_ready(service, build, &[]));
    if let Some(service) = service {
        request.service = Arc::clone(service);
    }
}

fn log(shared: &Shared, request: &AdmittedRequest, verdict: Verdict) {
    let (outcome, build) = match verdict {
        Verdict::Began(build) => ("known", build.to_string()),
        Verdict::Inferred(build) => ("inferred", build.to_string()),
        Verdict::Unknown => ("unknown", "-".to_owned()),
    };
    metrics::stream_origin(outcome);
    if shared.log_limiter.allow(shared.now()) {
        spdlog::info!(
            "stream_origin id={} resumes={:?} service={} outcome={} build={} ms={}",
            request.info.id,
            request.info.first_attempt,
            request.service,
            outcome,
            build,
            request.received.elapsed().as_millis()
        );
    }
}
