//! A hybrid logical clock.
//!
//! A [`Stamp`] combines milliseconds since the Unix epoch with a counter. Each process advances its
//! clock past every stamp it receives, so an effect always has a later stamp than its cause, even
//! if the system clocks of the two instances disagree. See Kulkarni et al., "Logical Physical
//! Clocks", 2014.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

const COUNTER_BITS: u32 = 16;

/// A hybrid logical clock timestamp: milliseconds in the upper 48 bits, a counter in the lower 16.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Stamp(pub u64);

impl Stamp {
    /// Creates a stamp from milliseconds since the Unix epoch.
    pub fn from_millis(millis: u64) -> Self {
        Self(millis << COUNTER_BITS)
    }

    /// Returns the milliseconds since the Unix epoch.
    pub fn millis(self) -> u64 {
        self.0 >> COUNTER_BITS
    }
}

/// The hybrid logical clock of one process.
#[derive(Debug, Default)]
pub struct Clock {
    last: AtomicU64,
}

impl Clock {
    /// Returns the stamp for a local event.
    pub fn tick(&self) -> Stamp {
        self.advance(Stamp(0))
    }

    /// Advances the clock past the stamp of a received message and returns the stamp of its
    /// arrival.
    pub fn observe(&self, seen: Stamp) -> Stamp {
        self.advance(seen)
    }

    fn advance(&self, seen: Stamp) -> Stamp {
        let wall = Stamp::from_millis(now_millis()).0;
        let next = |last: u64| wall.max(last + 1).max(seen.0 + 1);
        let updated = self
            .last
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |last| Some(next(last)));
        // The closure never returns `None`, so both arms hold the value before the update.
        let (Ok(before) | Err(before)) = updated;
        Stamp(next(before))
    }
}

/// Returns the current system time in milliseconds since the Unix epoch.
pub fn now_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |span| {
        u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
    })
}
