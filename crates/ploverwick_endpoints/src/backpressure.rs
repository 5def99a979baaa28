//! Decides whether an endpoint cut a stream off because the client did not read it.
//!
//! While a client does not read its stream, the instance does not read the answer of the endpoint either, which cuts an
//! answer off that remains unread for some seconds. That is no failure of the endpoint, and another endpoint would have to
//! cut it off as well.

use std::time::Duration;

/// How long the client must have held the stream up. Endpoints keep an unread answer for longer.
const MIN_STALL: Duration = Duration::from_secs(1);
/// How long the endpoint must have been waited for to show that it had caught up with the client. It exceeds the time that
/// it takes to read what the socket buffers hold.
const CATCH_UP: Duration = Duration::from_millis(250);

/// How long a client held its stream up.
#[derive(Debug, Clone, Default)]
pub struct Backpressure {
    /// The time for which the client did not take the next bytes, since the endpoint was last waited for.
    stalled: Duration,
    /// The time for which the endpoint was waited for since then.
    waited: Duration,
}

impl Backpressure {
    /// Records that the client took the next bytes only after `stall`.
    pub fn record_stall(&mut self, stall: Duration) {
        self.stalled += stall;
        self.waited = self.waited.saturating_sub(stall);
    }

    /// Records that the endpoint was waited for.
    pub fn record_wait(&mut self, wait: Duration) {
        self.waited += wait;
        if self.waited >= CATCH_UP {
            *self = Self::default();
        }
    }

    /// Returns whether the client explains that the stream breaks off now.
    pub fn explains_break(&self) -> bool {
        self.stalled >= MIN_STALL
    }
}
