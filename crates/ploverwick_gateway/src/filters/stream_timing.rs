//! Measures the start and the pauses of a stream that is forwarded to a client.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::admitted_request::AdmittedRequest;
use crate::metrics;
use crate::shared::Shared;

/// How the events of a stream met the objectives of its route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Punctuality {
    /// The first event came after the latency objective, or never.
    LateStart,
    /// A pause between two events was longer than the route's longest pause.
    LatePause,
    InTime,
}

impl Punctuality {
    /// Returns the name, as used in logs and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::LateStart => "late_start",
            Self::LatePause => "late_pause",
            Self::InTime => "in_time",
        }
    }
}

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ending {
    /// The endpoint completed the stream.
    Complete,
    /// The stream broke and was not resumed.
    Broken,
    /// The client disconnected before the end.
    Abandoned,
}

impl Ending {
    fn name(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Broken => "broken",
            Self::Abandoned => "abandoned",
        }
    }
}

/// The times of the events of one stream. It is logged and counted when dropped.
#[derive(Debug)]
pub(crate) struct StreamTiming {
    shared: Arc<Shared>,
    request: Arc<AdmittedRequest>,
    /// The endpoint of the last event.
    endpoint: Arc<str>,
    events: usize,
    first_event: Option<Duration>,
    last_event_at: Option<Instant>,
    longest_pause: Duration,
    ending: Ending,
}

impl StreamTiming {
    pub(crate) fn start(
        shared: &Arc<Shared>,
        request: &Arc<AdmittedRequest>,
        endpoint: &Arc<str>,
    ) -> Self {
        Self {
            shared: Arc::clone(shared),
            request: Arc::clone(request),
            endpoint: Arc::clone(endpoint),
            events: 0,
            first_event: None,
            last_event_at: None,
            longest_pause: Duration::ZERO,
            ending: Ending::Abandoned,
        }
    }

    /// Records bytes from an endpoint; returns whether an event ends in them.
    pub(crate) fn record_bytes(&mut self, endpoint: &Arc<str>, bytes: &[u8], now: Instant) -> bool {
        let events = count_event_ends(bytes);
        if events == 0 {
            return false;
        }
        if !Arc::ptr_eq(&self.endpoint, endpoint) {
            self.endpoint = Arc::clone(endpoint);
        }
        self.events += events;
        match self.last_event_at.replace(now) {
            Some(last) => self.longest_pause = self.longest_pause.max(now - last),
            None => self.first_event = Some(now - self.request.received),
        }
        true
    }

    /// Sets how the stream ended. If it is never set, the client disconnected: [`Ending::Abandoned`].
    pub(crate) fn set_ending(&mut self, ending: Ending) {
        self.ending = ending;
    }

    fn punctuality(&self) -> Punctuality {
        let route = &self.request.route;
        match self.first_event {
            Some(taken) if taken <= route.objective => {}
            Some(_) | None => return Punctuality::LateStart,
        }
        if route.max_pause.is_some_and(|max| self.longest_pause > max) {
            return Punctuality::LatePause;
        }
        Punctuality::InTime
    }
}

impl Drop for StreamTiming {
    fn drop(&mut self) {
        let punctuality = self.punctuality().name();
        metrics::stream(punctuality, self.ending.name(), self.longest_pause);
        if self.shared.log_limiter.allow(self.shared.now()) {
            let route = &self.request.route;
            let max_pause = route.max_pause.map(|max| max.as_millis());
            spdlog::info!(
                "stream_ended id={} route={} endpoint={} ending={} timing={} events={} first_ms={} objective_ms={} pause_ms={} max_pause_ms={}",
                self.request.info.id,
                route.name,
                self.endpoint,
                self.ending.name(),
                punctuality,
                self.events,
                format_optional(self.first_event.map(|taken| taken.as_millis())),
                route.objective.as_millis(),
                self.longest_pause.as_millis(),
                format_optional(max_pause)
            );
        }
    }
}

fn format_optional(ms: Option<u128>) -> String {
    ms.map_or_else(|| "-".to_owned(), |ms| ms.to_string())
}

/// Returns the number of events that end in `bytes`. An empty line ends an event.
fn count_event_ends(bytes: &[u8]) -> usize {
    let starts = 0..bytes.len();
    let ends = starts.filter(|at| {
        let rest = &bytes[*at..];
        rest.starts_with(b"\n\n") || rest.starts_with(b"\n\r\n")
    });
    ends.count()
}
