//! Decides how long a stream that has begun waits for its endpoint, and when it may be sent to another one.
//!
//! An endpoint may pause because it preempted the request, and go on later. It is therefore kept until another one
//! takes over.

use std::time::Duration;

/// The fraction of the client's event timeout for which a stream may pause before another endpoint is sought. That
/// endpoint needs the rest to read the prompt.
const MAX_PAUSE_RATIO: f64 = 0.5;
/// The number of sends that did not run after which a stream is not sent again.
const MAX_REFUSALS: u32 = 4;
/// The backoff after the first send that did not run. Each further one doubles it.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(25);

/// The next step of a stream without an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Waits for the endpoint for at most this long.
    Wait(Duration),
    /// Seeks another endpoint for at most this long, and waits for the present one in the meantime, if there is
    /// one.
    Seek(Duration),
    /// Breaks the stream off.
    Fail,
}

/// The sends of a stream that has begun.
#[derive(Debug, Clone)]
pub struct Resumption {
    /// How long the client waits for an event before it disconnects.
    event_timeout: Option<Duration>,
    /// The number of sends that may run.
    max_runs: u32,
    /// The number of sends that may have run.
    runs: u32,
    /// The number of sends that certainly did not run.
    refusals: u32,
    is_forbidden: bool,
}

impl Resumption {
    /// Creates the state of a stream after `runs` sends that may have run.
    pub fn new(event_timeout: Option<Duration>, max_runs: u32, runs: u32) -> Self {
        Self {
            event_timeout,
            max_runs,
            runs,
            refusals: 0,
            is_forbidden: false,
        }
    }

    /// Returns the number of sends that may have run.
    pub fn runs(&self) -> u32 {
        self.runs
    }

    /// Records a send that may have run.
    pub fn record_run(&mut self) {
        self.runs += 1;
    }

    /// Records a send that did not run, and returns the time until the next one.
    pub fn record_refusal(&mut self) -> Duration {
        let backoff = REFUSAL_BACKOFF * 2_u32.saturating_pow(self.refusals);
        self.refusals += 1;
        backoff
    }

    /// Prevents further sends.
    pub fn forbid(&mut self) {
        self.is_forbidden = true;
    }

    /// Returns the next step.
    ///
    /// `has_source` is whether an endpoint is still answering, `silence` the time since the last event, and
    /// `remaining` the time until the request's deadline.
    pub fn next_step(&self, has_source: bool, silence: Duration, remaining: Duration) -> Step {
        if remaining.is_zero() {
            return Step::Fail;
        }
        if !has_source {
            return if self.may_send() {
                Step::Seek(remaining)
            } else {
                Step::Fail
            };
        }
        let Some(event_timeout) = self.event_timeout.filter(|_| self.may_send()) else {
            return Step::Wait(remaining);
        };
        let max_pause = event_timeout.mul_f64(MAX_PAUSE_RATIO);
        if silence < max_pause {
            Step::Wait(remaining.min(max_pause.saturating_sub(silence)))
        } else if silence < event_timeout {
            Step::Seek(remaining.min(event_timeout.saturating_sub(silence)))
        } else {
            Step::Wait(remaining)
        }
    }

    fn may_send(&self) -> bool {
        !self.is_forbidden && self.runs < self.max_runs && self.refusals < MAX_REFUSALS
    }
}
