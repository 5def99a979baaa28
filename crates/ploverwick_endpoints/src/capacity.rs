//! The speed of an endpoint, as learned from its answers.

use std::time::Duration;

use crate::Load;

/// The time of a generation step that is assumed before any was measured, in milliseconds.
const INITIAL_STEP_MS: f64 = 6.0;

/// The speed of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    /// The time to read one prompt token, in milliseconds.
    pub read_ms: f64,
    /// The time of one generation step in which no prompt is read, in milliseconds.
    pub step_ms: f64,
}

impl Capacity {
    /// Creates the capacity of an endpoint whose generation steps were not measured.
    pub(crate) fn with_read_ms(read_ms: f64) -> Self {
        Self {
            read_ms,
            step_ms: INITIAL_STEP_MS,
        }
    }

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
