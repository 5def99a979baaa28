//! What endpoints have under way, and how fast they read prompts.

use std::ops::Add;
use std::time::Duration;

/// What is under way at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Load {
    /// The requests.
    pub requests: u32,
    /// The tokens of prompts that no answer has begun for.
    pub reading: u32,
}

impl Add for Load {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            reading: self.reading.saturating_add(other.reading),
        }
    }
}

impl Load {
    /// Returns what is left without a part of it.
    pub(crate) fn less(self, part: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(part.requests),
            reading: self.reading.saturating_sub(part.reading),
        }
    }

    /// Returns the greater of two views, count by count.
    pub(crate) fn max(self, other: Self) -> Self {
        Self {
            requests: self.requests.max(other.requests),
            reading: self.reading.max(other.reading),
        }
    }
}

/// Milliseconds for a prompt token before any endpoint has answered: what a 70-billion-parameter model
/// takes on one current accelerator, to a factor of two. The first answers replace it.
const FIRST_PACE: f64 = 0.03;
/// Prompt tokens below which the time of an answer says little of reading: steps and the network
/// take as long.
const FEWEST_TOKENS: u32 = 2_000;
/// Weight of a new answer in the moving average: some eight answers count, a second of a busy endpoint.
const PACE_WEIGHT: f64 = 0.12;

/// How long an endpoint takes for a token of a prompt, learned from its answers.
///
/// It is the time to the first event over all tokens that were to be read before it, so that it
/// contains what the endpoint generates meanwhile, and what it kept of prompts.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Pace {
    ms_per_token: Option<f64>,
}

impl Pace {
    /// Takes in the time to the first event of an answer before which `tokens` were to be read.
    pub(crate) fn answered(&mut self, tokens: u32, taken: Duration) {
        if tokens < FEWEST_TOKENS {
            return;
        }
        let sample = taken.as_secs_f64() * 1_000.0 / f64::from(tokens);
        let average = self.ms_per_token.unwrap_or(sample);
        self.ms_per_token = Some(average + PACE_WEIGHT * (sample - average));
    }

    /// Returns the milliseconds for a token.
    pub(crate) fn ms_per_token(self) -> f64 {
        self.ms_per_token.unwrap_or(FIRST_PACE)
    }
}
