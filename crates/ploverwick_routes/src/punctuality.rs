//! Whether the events of a stream came in time.

use std::time::Duration;

use crate::Route;

/// How the events of a stream met the objectives of its route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Punctuality {
    /// The first event came after the latency objective, or never.
    LateStart,
    /// A pause between two events was longer than the route's longest pause.
    LatePause,
    /// The stream met both objectives.
    InTime,
}

impl Punctuality {
    /// Returns the name, as used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::LateStart => "late_start",
            Self::LatePause => "late_pause",
            Self::InTime => "in_time",
        }
    }
}

/// The times of the events of one stream, relative to the arrival of its request.
#[derive(Debug, Clone, Copy, Default)]
pub struct EventTimes {
    last: Duration,
    /// The number of events.
    pub events: usize,
    /// The time of the first event.
    pub first_event: Option<Duration>,
    /// The longest time between two events.
    pub longest_pause: Duration,
}

impl EventTimes {
    /// Records events that arrived together, at a time since the arrival of the request.
    pub fn record(&mut self, events: usize, at: Duration) {
        if self.first_event.is_none() {
            self.first_event = Some(at);
        } else {
            self.longest_pause = self.longest_pause.max(at.saturating_sub(self.last));
        }
        self.last = at;
        self.events += events;
    }

    /// Records that the client did not take the next bytes for a while, which is no pause of the stream.
    pub fn record_stall(&mut self, stall: Duration) {
        self.last += stall;
    }

    /// Returns how the events so far met the objectives of a route.
    pub fn punctuality(&self, route: &Route) -> Punctuality {
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
