//! Measures the start and the pauses of a stream that is forwarded to a client.

use std::sync::Arc;
use std::time::Duration;

use ploverwick_routes::EventTimes;
use tokio::time::Instant;

use super::admitted_request::AdmittedRequest;
use crate::metrics;
use crate::shared::Shared;

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
    times: EventTimes,
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
            times: EventTimes::default(),
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
        self.times.record(events, now - self.request.received);
        true
    }

    /// Sets how the stream ended. If it is never set, the client disconnected: [`Ending::Abandoned`].
    pub(crate) fn set_ending(&mut self, ending: Ending) {
        self.ending = ending;
    }
}

impl Drop for StreamTiming {
    fn drop(&mut self) {
        let EventTimes {
            events,
            first_event,
            longest_pause,
            ..
        } = self.times;
        let route = &self.request.route;
        let punctuality = self.times.punctuality(route).name();
        metrics::stream(punctuality, self.ending.name(), longest_pause);
        if self.shared.log_limiter.allow(self.shared.now()) {
            spdlog::info!(
                "stream_ended id={} route={} endpoint={} ending={} timing={} events={} first_ms={} objective_ms={} pause_ms={} max_pause_ms={}",
                self.request.info.id,
                route.name,
                self.endpoint,
                self.ending.name(),
                punctuality,
                events,
                format_optional(first_event),
                route.objective.as_millis(),
                longest_pause.as_millis(),
                format_optional(route.max_pause)
            );
        }
    }
}

fn format_optional(time: Option<Duration>) -> String {
    time.map_or_else(|| "-".to_owned(), |time| time.as_millis().to_string())
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
