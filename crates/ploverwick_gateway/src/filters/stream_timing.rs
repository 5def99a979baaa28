//! Measures the start and the pauses of a stream that is forwarded to a client.

use std::sync::Arc;
use std::time::Duration;

use ploverwick_platform::answer::Framing;
use ploverwick_routes::EventTimes;
use tokio::time::Instant;

use super::admitted_request::AdmittedRequest;
use super::source::Source;
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
    /// The client did not read the stream before it was cut off.
    Unread,
}

impl Ending {
    fn name(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Broken => "broken",
            Self::Abandoned => "abandoned",
            Self::Unread => "unread",
        }
    }
}

/// Where the answer of an endpoint ended.
#[derive(Debug, Clone, Copy)]
struct End {
    framing: Framing,
    is_inside_event: bool,
}

impl End {
    fn position(self) -> &'static str {
        if self.is_inside_event {
            "inside_event"
        } else {
            "after_event"
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
    /// Where the last answer of an endpoint ended; `None` if none did.
    end: Option<End>,
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
            end: None,
        }
    }

    /// Records events that arrived from an endpoint.
    pub(crate) fn record_events(&mut self, endpoint: &Arc<str>, events: usize, now: Instant) {
        if !Arc::ptr_eq(&self.endpoint, endpoint) {
            self.endpoint = Arc::clone(endpoint);
        }
        self.times.record(events, now - self.request.received);
    }

    /// Records that the client did not take the next bytes for a while.
    pub(crate) fn record_stall(&mut self, stall: Duration) {
        self.times.record_stall(stall);
    }

    /// Records where the answer of an endpoint ended, and how it was framed.
    pub(super) fn record_end(&mut self, source: &Source) {
        self.end = Some(End {
            framing: source.head.framing,
            is_inside_event: source.is_inside_event(),
        });
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
        let framing = self.end.map_or("-", |end| end.framing.name());
        let position = self.end.map_or("-", End::position);
        if let Some(end) = self.end {
            metrics::stream_end(end.framing.name(), end.position());
        }
        if self.shared.log_limiter.allow(self.shared.now()) {
            spdlog::info!(
                "stream_ended id={} route={} endpoint={} ending={} framing={} position={} timing={} events={} first_ms={} objective_ms={} pause_ms={} max_pause_ms={}",
                self.request.info.id,
                route.name,
                self.endpoint,
                self.ending.name(),
                framing,
                position,
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
