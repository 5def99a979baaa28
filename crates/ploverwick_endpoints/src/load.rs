//! Load of endpoints and the speed at which they read prompts.

use std::ops::Add;
use std::time::Duration;

/// The load of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Load {
    /// The number of requests in progress.
    pub requests: u32,
    /// The prompt tokens of requests whose answers have not started.
    pub unread_tokens: u32,
}

impl Add for Load {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            unread_tokens: self.unread_tokens.saturating_add(other.unread_tokens),
        }
    }
}

impl Load {
    /// Subtracts `part` from each count, down to zero.
    pub(crate) fn saturating_sub(self, part: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(part.requests),
            unread_tokens: self.unread_tokens.saturating_sub(part.unread_tokens),
        }
    }

    /// Returns the maximum of each count.
    pub(crate) fn max(self, other: Self) -> Self {
        Self {
            requests: self.requests.max(other.requests),
            unread_tokens: self.unread_tokens.max(other.unread_tokens),
        }
    }
}

/// The assumed time per prompt token before an endpoint has answered. This is within a factor of two of what a
/// 70-billion-parameter model takes on one current accelerator. The first answer replaces it.
const INITIAL_MS_PER_TOKEN: f64 = 0.03;
/// Answers for fewer prompt tokens are not used as samples, because generation steps and the network take as
/// long as reading the prompt.
const MIN_SAMPLE_TOKENS: u32 = 2_000;
/// The weight of a new sample in the moving average, which covers about eight answers: one second on a busy
/// endpoint.
const SAMPLE_WEIGHT: f64 = 0.12;

/// The time that an endpoint takes per prompt token, measured from its answers.
///
/// A sample is the time to the first event divided by all prompt tokens that were to be read before it. It
/// therefore includes the effects of concurrent generation and of cached prompts.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PromptPace {
    ms_per_token: Option<f64>,
}

impl PromptPace {
    /// Records the time to the first event of an answer before which `tokens` prompt tokens were to be read.
    pub(crate) fn record_answer(&mut self, tokens: u32, taken: Duration) {
        if tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        let sample = taken.as_secs_f64() * 1_000.0 / f64::from(tokens);
        let average = self.ms_per_token.unwrap_or(sample);
        self.ms_per_token = Some(average + SAMPLE_WEIGHT * (sample - average));
    }

    /// Returns the estimated milliseconds per prompt token.
    pub(crate) fn ms_per_token(self) -> f64 {
        self.ms_per_token.unwrap_or(INITIAL_MS_PER_TOKEN)
    }
}
