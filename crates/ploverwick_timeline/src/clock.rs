//! A hybrid logical clock.
//!
//! A stamp holds milliseconds since the Unix epoch and a counter. Each process moves its clock
//! past every stamp that reaches it, so that an effect is always stamped after its cause, even if
//! the two instances' clocks disagree. Source: Kulkarni et al., "Logical Physical Clocks", 2014.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

const COUNTER_BITS: u32 = 16;

/// A point on the hybrid clock: milliseconds in the upper 48 bits, a counter in the lower 16.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Stamp(pub u64);

impl Stamp {
    /// Makes a stamp of milliseconds since the Unix epoch.
    pub fn from_millis(millis: u64) -> Self {
        Self(millis << COUNTER_BITS)
    }

    /// Returns the milliseconds since the Unix epoch.
    pub fn millis(self) -> u64 {
        self.0 >> COUNTER_BITS
    }
}

/// The clock of one process.
#[derive(Debug, Default)]
pub struct Clock {
    last: AtomicU64,
}

impl Clock {
    /// Stamps an event of this process.
    pub fn tick(&self) -> Stamp {
        self.advance(Stamp(0))
    }

    /// Moves the clock past a stamp that came with a message, and stamps its arrival.
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

/// Returns milliseconds since the Unix epoch.
pub fn now_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |span| {
        u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
    })
}
