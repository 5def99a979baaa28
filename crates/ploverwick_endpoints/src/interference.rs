//! What a prompt does to the streams that run at an endpoint.
//!
//! An endpoint reads prompts between the generation steps of its streams, so each prompt lengthens the pauses
//! between their events. A stream whose pause exceeds the longest one allowed is late.

use std::time::Duration;

use crate::{Capacity, Load};

/// The cost of the generation time of an answer, as a fraction of that time: while it runs, the stream may meet
/// pauses and takes a slot from others.
const GENERATION_FACTOR: f64 = 0.05;

/// What a stream of events needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pacing {
    /// The longest pause between events that is still in time; not zero.
    pub max_pause: Duration,
    /// The number of generated tokens in one event.
    pub event_tokens: u32,
    /// The expected number of generated tokens.
    pub answer_tokens: u32,
}

impl Pacing {
    /// Returns the pause that is expected at an endpoint while a prompt is read, as a multiple of the longest
    /// one allowed.
    pub fn pause_ratio(&self, capacity: Capacity, load: Load, prompt: u32) -> f64 {
        let pause = capacity.expected_pause(load, prompt, self.event_tokens);
        pause.as_secs_f64() / self.max_pause.as_secs_f64()
    }

    /// Returns the cost of adding a prompt to the load of an endpoint, in milliseconds of waiting.
    ///
    /// It is the longest pause allowed for each stream that becomes late, the new one included. The risk grows
    /// with the square of the pause, because the known load is out of date and the speed of an endpoint varies:
    /// the closer a pause is to the limit, the more likely does a further prompt exceed it.
    pub(crate) fn cost(&self, capacity: Capacity, load: Load, prompt: u32) -> f64 {
        let running = f64::from(load.requests);
        let risk_before = self.pause_ratio(capacity, load, 0).powi(2);
        let risk_after = self.pause_ratio(capacity, load, prompt).powi(2);
        let late = (running + 1.0) * risk_after - running * risk_before;
        let generation_ms = f64::from(self.answer_tokens) * capacity.step_ms;
        late * self.max_pause.as_secs_f64() * 1_000.0 + GENERATION_FACTOR * generation_ms
    }
}
