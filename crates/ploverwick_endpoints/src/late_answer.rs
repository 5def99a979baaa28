//! Decides whether an endpoint whose answer is late is given up for another one.
//!
//! Giving it up discards what it has read of the prompt, so another endpoint must be certain first.

use std::time::Duration;

/// What to do about a late answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LateAnswer {
    /// Sends the request to the other endpoint.
    Replace,
    /// Keeps waiting, since no other endpoint is available.
    NoOther,
    /// Keeps waiting, since the other endpoint would not answer before the client disconnects.
    NoTime,
    /// Keeps waiting, since the retry budget has no retry left.
    NoBudget,
}

impl LateAnswer {
    /// Decides about a late answer.
    ///
    /// `expected` is the time until the other endpoint is expected to answer, if there is one, and `remaining` the
    /// time until the client disconnects. `try_retry` charges the retry budget, and is called only if nothing else
    /// prevents the replacement.
    pub fn decide(
        expected: Option<Duration>,
        remaining: Duration,
        try_retry: impl FnOnce() -> bool,
    ) -> Self {
        match expected {
            None => Self::NoOther,
            Some(expected) if expected >= remaining => Self::NoTime,
            Some(_) if try_retry() => Self::Replace,
            Some(_) => Self::NoBudget,
        }
    }

    /// Returns the decision's name, as used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Replace => "replaced",
            Self::NoOther => "no_other",
            Self::NoTime => "no_time",
            Self::NoBudget => "no_budget",
        }
    }
}
