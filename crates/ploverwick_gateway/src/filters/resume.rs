//! Seeks another endpoint for a stream whose endpoint paused or broke off.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::admitted_request::AdmittedRequest;
use super::quarantine;
use super::select::{self, Target};
use crate::metrics;
use crate::shared::Shared;

/// How often another endpoint is sought while none is available or the budget has no retry left.
const SEEK_INTERVAL: Duration = Duration::from_millis(100);

/// The result of seeking an endpoint.
#[derive(Debug)]
pub(super) enum Found {
    /// An endpoint. The send is charged to the retry budget.
    Target(Box<Target>),
    /// No endpoint was available in time.
    Nothing,
    /// The request must not be sent again, for this reason.
    Forbidden(String),
}

/// Seeks an endpoint outside `excluded` and a retry in the budget from `begin` until `end`.
pub(super) async fn seek(
    shared: &Arc<Shared>,
    request: &AdmittedRequest,
    excluded: &[Arc<str>],
    begin: Instant,
    end: Instant,
) -> Found {
    tokio::time::sleep_until(begin.min(end)).await;
    while Instant::now() < end {
        if !quarantine::may_retry(shared, request) {
            return Found::Forbidden("endpoints crashed under it".to_owned());
        }
        if is_build_exhausted(shared, request, excluded) {
            return Found::Forbidden(
                "no other endpoint runs the software version that began it".to_owned(),
            );
        }
        let selected = select::run_until(shared, request, excluded, end).await;
        // A crash may have been recorded while the adapter was loaded.
        if let Some(refusal) = quarantine::refusal(shared, request) {
            return Found::Forbidden(refusal.detail);
        }
        if let Ok(target) = selected
            && shared.may_retry(&request.info.id, &request.service)
        {
            return Found::Target(Box::new(target));
        }
        tokio::time::sleep_until(end.min(Instant::now() + SEEK_INTERVAL)).await;
    }
    Found::Nothing
}

/// Returns whether no endpoint outside `excluded` can continue the stream. While a single build serves, further endpoints of
/// it may still be listed; one that is being replaced gets no more.
fn is_build_exhausted(shared: &Shared, request: &AdmittedRequest, excluded: &[Arc<str>]) -> bool {
    let Some(build) = request.build.get() else {
        return false;
    };
    let (service, now) = (&request.service, shared.now());
    let state = shared.state();
    let is_single = state.serving(service, now).single() == Some(*build);
    !is_single && !state.fleet.has_ready(service, *build, excluded)
}

/// Why a stream was interrupted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Cause {
    /// No event arrived for a while.
    Pause,
    /// The connection to the endpoint broke.
    Break(String),
}

impl std::fmt::Display for Cause {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Pause => f.write_str("the stream paused"),
            Self::Break(error) => f.write_str(error),
        }
    }
}

/// An interruption of a stream. It is counted when it is dropped.
#[derive(Debug)]
pub(super) struct Interruption {
    pub(super) cause: Cause,
    end: &'static str,
}

impl Interruption {
    pub(super) fn new(cause: Cause) -> Self {
        let end = "unresolved";
        Self { cause, end }
    }

    /// Ends the interruption because the endpoint continued.
    pub(super) fn end_kept(mut self) {
        self.end = "kept";
    }

    /// Ends the interruption because another endpoint continued.
    pub(super) fn end_resumed(mut self) {
        self.end = "resumed";
    }
}

impl Drop for Interruption {
    fn drop(&mut self) {
        let cause = match self.cause {
            Cause::Pause => "pause",
            Cause::Break(_) => "break",
        };
        metrics::stream_interruption(cause, self.end);
    }
}
