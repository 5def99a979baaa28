//! The speed of an endpoint, as learned from its answers.
//!
//! Each instance observes how long its requests take, and sends what it observed to the placer of the endpoint's
//! failure domain. The placer adds up the observations of all instances and sends the resulting figures to all. An
//! instance without a placer relies on its own observations.

mod log_byte;
mod observations;
mod pace;
mod rate;
mod step_meter;

use std::time::Duration;

use crate::Load;

pub use log_byte::LogByte;
pub use observations::{EndpointKey, EndpointObservations, Figure, Observations};
pub(crate) use pace::{Pace, slowness};
pub use step_meter::StepMeter;

/// The maximum number of endpoints in a round of messages whose observations an instance sends to placers, of about
/// 13 bytes each.
pub const MAX_OBSERVED_ENDPOINTS: usize = 7;
/// The maximum number of changed figures that a placer sends in a round, of 6 bytes each.
pub const MAX_CHANGED_FIGURES: usize = 5;
/// The number of unchanged figures that a placer sends again in a round. Messages may be lost, and instances that
/// have just started know none.
pub const REFRESHED_FIGURES: usize = 2;

/// The speed that is assumed before any endpoint of a service has answered. It is within a factor of two of what a
/// 70-billion-parameter model reaches on one current accelerator.
pub(crate) const INITIAL: Capacity = Capacity {
    read_ms: 0.03,
    step_ms: 6.0,
};

/// The speed of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    /// The time to read one prompt token, in milliseconds.
    pub read_ms: f64,
    /// The time of one generation step in which no prompt is read, in milliseconds.
    pub step_ms: f64,
}

impl Capacity {
    /// Returns the time until all queued prompts and another one of `prompt` tokens have been read.
    pub fn reading_time(&self, load: Load, prompt: u32) -> Duration {
        let tokens = load.unread_tokens.saturating_add(prompt);
        Duration::from_secs_f64(f64::from(tokens) * self.read_ms / 1_000.0)
    }

    /// Returns the longest pause between two events of a running stream while all queued prompts and another one
    /// of `prompt` tokens are read. An event holds `event_tokens` tokens.
    pub fn expected_pause(&self, load: Load, prompt: u32, event_tokens: u32) -> Duration {
        let steps = Duration::from_secs_f64(f64::from(event_tokens) * self.step_ms / 1_000.0);
        steps + self.reading_time(load, prompt)
    }
}
