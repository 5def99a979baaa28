//! Load of endpoints.

use std::ops::Add;

/// The load of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Load {
    /// The number of requests in progress.
    pub requests: u32,
    /// The prompt tokens of requests whose answers have not started.
    pub unread_tokens: u32,
    /// The tokens that the requests in progress are expected to hold: their prompts and answers.
    pub held_tokens: u32,
}

impl Add for Load {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            unread_tokens: self.unread_tokens.saturating_add(other.unread_tokens),
            held_tokens: self.held_tokens.saturating_add(other.held_tokens),
        }
    }
}

impl Load {
    /// Subtracts `part` from each count, down to zero.
    pub(crate) fn saturating_sub(self, part: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(part.requests),
            unread_tokens: self.unread_tokens.saturating_sub(part.unread_tokens),
            held_tokens: self.held_tokens.saturating_sub(part.held_tokens),
        }
    }

    /// Returns the maximum of each count.
    pub(crate) fn max(self, other: Self) -> Self {
        Self {
            requests: self.requests.max(other.requests),
            unread_tokens: self.unread_tokens.max(other.unread_tokens),
            held_tokens: self.held_tokens.max(other.held_tokens),
        }
    }
}
