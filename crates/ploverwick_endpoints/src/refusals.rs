//! Requests that endpoints turned away for want of room: why they were sent, and how many there were lately.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;

/// How long a refusal counts. An endpoint that crashes because of its refusals does so within a second of the first; the rest is
/// the time until its connections are found to be broken.
pub const WINDOW: Duration = Duration::from_millis(1_500);
/// The most refusals kept for an endpoint.
const MAX_KEPT: usize = 64;
/// How long after the end of a pause a request counts as sent because of it. In this time, instances learn of each other's
/// requests.
const PAUSE_END_EFFECT: Duration = Duration::from_millis(200);

/// What an instance knew of an endpoint when it sent a request to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    /// The requests that the endpoint runs at once, as listed.
    pub slots: u32,
    /// The requests of this instance in progress there, without this one.
    pub own: u32,
    /// The requests of all instances in progress there, without this one, as far as they were known.
    pub known: u32,
    /// The age of the oldest load of a peer in `known`; `None` if no peer's load was known.
    pub age: Option<Duration>,
    /// The time since the end of the endpoint's last pause; `None` if that is long ago.
    pub since_pause: Option<Duration>,
    /// How many times the request was sent before.
    pub earlier_sends: u32,
}

/// Why a request was sent to an endpoint that had no room for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The requests of this instance alone filled the endpoint.
    OwnRequests,
    /// The endpoint was known to be full.
    KnownFull,
    /// The request was sent again after another endpoint had refused it or failed.
    Repeat,
    /// The endpoint's pause had just ended, for all instances at the same time.
    PauseEnd,
    /// No peer's load was known.
    NothingKnown,
    /// The known loads left room, but were outdated, or the endpoint has fewer slots than listed.
    LateLoads,
}

impl Cause {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::OwnRequests => "own_requests",
            Self::KnownFull => "known_full",
            Self::Repeat => "repeat",
            Self::PauseEnd => "pause_end",
            Self::NothingKnown => "nothing_known",
            Self::LateLoads => "late_loads",
        }
    }
}

impl Evidence {
    /// Returns why the request was sent although the endpoint had no room.
    pub fn cause(&self) -> Cause {
        if self.own >= self.slots {
            Cause::OwnRequests
        } else if self.known >= self.slots {
            Cause::KnownFull
        } else if self.earlier_sends > 0 {
            Cause::Repeat
        } else if self
            .since_pause
            .is_some_and(|since| since < PAUSE_END_EFFECT)
        {
            Cause::PauseEnd
        } else if self.age.is_none() {
            Cause::NothingKnown
        } else {
            Cause::LateLoads
        }
    }
}

/// The recent refusals of each endpoint, of all instances as far as they are known.
#[derive(Debug, Default)]
pub struct Refusals {
    recent: HashMap<Arc<str>, VecDeque<Moment>>,
}

impl Refusals {
    /// Records that an endpoint turned a request away.
    pub fn record(&mut self, endpoint: &Arc<str>, now: Moment) {
        self.recent.retain(|_, refusals| {
            let last = refusals.back();
            last.is_some_and(|last| now.since(*last) < WINDOW)
        });
        let refusals = self.recent.entry(Arc::clone(endpoint)).or_default();
        if refusals.len() == MAX_KEPT {
            refusals.pop_front();
        }
        refusals.push_back(now);
    }

    /// Returns how many requests an endpoint turned away lately.
    pub fn count(&self, endpoint: &str, now: Moment) -> usize {
        let refusals = self.recent.get(endpoint).into_iter().flatten();
        refusals.filter(|at| now.since(**at) < WINDOW).count()
    }
}
