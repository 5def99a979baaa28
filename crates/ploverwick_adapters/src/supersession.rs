//! Until when a request may begin on a version that a newer one has replaced.
//!
//! A request begins when its endpoint makes the first token, which may be long after it was sent. So two
//! moments count: until when an older version is chosen, and until when a send to it is awaited.

use std::time::Duration;

use ploverwick_names::Moment;

use crate::Since;

/// How long before the bound an older version is no longer chosen: the time to begin at an endpoint
/// that reads other prompts first is mostly below a second.
const CHOICE_MARGIN: Duration = Duration::from_millis(1_500);
/// How long before the bound a request that has not begun is taken back: instances hear of a version
/// some 100 ms after it was declared, and an endpoint drops a request some ms after its connection.
const BEGIN_MARGIN: Duration = Duration::from_millis(600);

/// How many times the expected time a request may take to begin on an older version. Of 2,524 answers of
/// crowded endpoints, 38 took over 300 ms more than three times what was expected.
const SLACK: u32 = 3;

/// The platform's bound on the use of older versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Supersession {
    /// The time after a declaration within which requests may still begin on an older version.
    pub bound: Duration,
}

impl Supersession {
    /// Returns whether a version may be chosen though there has been a newer one since `since`.
    pub fn may_choose(self, since: Since, now: Moment) -> bool {
        match since {
            Since::LongAgo => false,
            Since::NotBefore(at) => now.since(at) < self.bound.saturating_sub(CHOICE_MARGIN),
        }
    }

    /// Returns whether a request that is sent now on a version that was replaced is expected to begin in
    /// time by itself: an instance that loses its power cannot take it back.
    pub fn leaves_time(self, since: Since, expected: Duration, now: Moment) -> bool {
        now + expected * SLACK < self.begin_by(Some(since), now)
    }

    /// Returns by when a request that is sent now must have begun. `since` is since when there
    /// has been a newer version than the one it is sent for; `None` if there is none, as one may be
    /// declared at once.
    pub fn begin_by(self, since: Option<Since>, now: Moment) -> Moment {
        let span = self.bound.saturating_sub(BEGIN_MARGIN);
        match since {
            Some(Since::LongAgo) => now,
            Some(Since::NotBefore(at)) => at + span,
            None => now + span,
        }
    }
}
