//! Waits for the answer to a send, and seeks another endpoint once it is late.

use std::sync::Arc;
use std::time::Duration;

use ploverwick_endpoints::LateAnswer;
use tokio::time::Instant;

use super::admitted_request::AdmittedRequest;
use super::quarantine;
use super::select::{self, Target};
use crate::controllers::ejections;
use crate::metrics;
use crate::shared::Shared;

/// How often another endpoint is sought while an answer is late.
const SEEK_INTERVAL: Duration = Duration::from_millis(100);

/// How long the answer to a send is awaited.
#[derive(Debug)]
pub(crate) struct AnswerWait<'a> {
    /// When the answer is no longer awaited in any case.
    end: Instant,
    seek: Option<Seek<'a>>,
    replacement: Option<Target>,
}

/// The search for another endpoint.
#[derive(Debug)]
struct Seek<'a> {
    shared: &'a Arc<Shared>,
    request: &'a AdmittedRequest,
    /// The endpoints that were tried, the present one last.
    tried: Vec<Arc<str>>,
    /// When the answer is late, or another endpoint is sought again.
    at: Instant,
    last_decision: Option<LateAnswer>,
}

impl<'a> AnswerWait<'a> {
    /// Waits until `end`.
    pub(crate) fn until(end: Instant) -> Self {
        Self {
            end,
            seek: None,
            replacement: None,
        }
    }

    /// Seeks another endpoint from `late` on.
    pub(crate) fn replaceable_from(
        mut self,
        late: Instant,
        shared: &'a Arc<Shared>,
        request: &'a AdmittedRequest,
        tried: Vec<Arc<str>>,
    ) -> Self {
        self.seek = Some(Seek {
            shared,
            request,
            tried,
            at: late,
            last_decision: None,
        });
        self
    }

    /// Returns the target that replaces the endpoint. The send is charged to the retry budget.
    pub(crate) fn into_replacement(self) -> Option<Target> {
        self.replacement
    }

    /// Returns when to check next whether the answer is still awaited.
    pub(crate) fn check_at(&self) -> Instant {
        let seek_at = self.seek.as_ref().map(|seek| seek.at);
        seek_at.map_or(self.end, |at| at.min(self.end))
    }

    /// Returns whether the answer is no longer awaited.
    pub(crate) fn is_over(&mut self) -> bool {
        let now = Instant::now();
        if now >= self.end {
            return true;
        }
        if let Some(seek) = &mut self.seek
            && now >= seek.at
        {
            seek.at = now + SEEK_INTERVAL;
            self.replacement = seek.run();
        }
        self.replacement.is_some()
    }

    /// Returns whether the lateness of the answer was recorded as a failure of the endpoint.
    pub(crate) fn is_late(&self) -> bool {
        let seek = self.seek.as_ref();
        seek.is_some_and(|seek| seek.last_decision.is_some())
    }
}

impl Seek<'_> {
    fn run(&mut self) -> Option<Target> {
        let (shared, request) = (self.shared, self.request);
        if self.last_decision.is_none()
            && let Some(endpoint) = self.tried.last()
        {
            let now = shared.now();
            let is_ejected = shared.state().fleet.record_failure(endpoint, now);
            if is_ejected {
                ejections::report(shared, endpoint, "late");
            }
        }
        let may_retry = quarantine::may_retry(shared, request);
        let target = may_retry
            .then(|| select::try_select(shared, request, &self.tried))
            .flatten();
        let expected = target.as_ref().map(|target| target.expected_wait);
        let disconnects = request.first_event_deadline.min(request.deadline);
        let remaining = disconnects.saturating_duration_since(Instant::now());
        let decision = LateAnswer::decide(expected, remaining, || {
            shared.may_retry(&request.info.id, &request.service)
        });
        if self.last_decision != Some(decision) {
            self.log(decision, remaining);
        }
        self.last_decision = Some(decision);
        target.filter(|_| decision == LateAnswer::Replace)
    }

    fn log(&self, decision: LateAnswer, remaining: Duration) {
        metrics::late_answer(decision.name());
        if self.shared.log_limiter.allow(self.shared.now()) {
            spdlog::info!(
                "answer_late id={} route={} endpoints={:?} decision={} left_ms={} ms={}",
                self.request.info.id,
                self.request.route.name,
                self.tried,
                decision.name(),
                remaining.as_millis(),
                self.request.received.elapsed().as_millis()
            );
        }
    }
}
