//! A limit that an endpoint in need names, and which instances send to it.

use std::time::Duration;

use ploverwick_names::Moment;
use ploverwick_placement::{even, rank};
use serde::{Deserialize, Serialize};

/// The thousandths in a request.
const THOUSAND: f64 = 1_000.0;

/// The least that an instance which sends to a limited endpoint may send, in thousandths of a request a
/// second. Each of them may have one request at hand beside its pace, so that they are few: what they have
/// together is what the endpoint takes in two seconds, however many instances there are.
const LEAST_PACE: u32 = 500;

/// The longest pause between two sends to a limited endpoint: only its answers say that it takes more again.
pub(crate) const LONGEST_PAUSE: Duration = Duration::from_secs(10);

/// How much longer than the one before it an instance that stands by waits: an answer is heard of by then.
const STEP: Duration = Duration::from_secs(1);

/// The silence after which an instance of another failure domain tries an endpoint: none of its own domain
/// runs, or none is asked for what it has.
const OUTSIDERS_SILENCE: Duration = Duration::from_mins(2);

/// How many requests a second an endpoint takes from all instances together, in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit(u32);

impl Limit {
    /// Makes a limit of so many requests a second. Below zero is zero; above 4 million is no limit that
    /// anything reaches, and counts as that many.
    pub fn per_second(rate: f64) -> Self {
        Self((rate * THOUSAND) as u32)
    }

    /// Returns how many instances may send to the endpoint.
    pub fn senders(self) -> usize {
        self.0.div_ceil(LEAST_PACE).max(1) as usize
    }

    /// Returns the pause between two sends of one of `senders` instances.
    fn pause(self, senders: usize) -> Duration {
        let seconds = senders as f64 * THOUSAND / f64::from(self.0.max(1));
        Duration::from_secs_f64(seconds).min(LONGEST_PAUSE)
    }
}

impl std::fmt::Display for Limit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", f64::from(self.0) / THOUSAND)
    }
}

/// What an instance may send to a limited endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// A request after each such pause.
    Sends {
        /// The pause, at least.
        pause: Duration,
    },
    /// Nothing, as other instances do, unless none of them is heard to get an answer for so long.
    StandsBy {
        /// The silence. Those that stand by have different ones, so that not all try at once.
        silence: Duration,
    },
}

impl Part {
    /// What an instance has that is not among those that may send.
    pub const NONE: Self = Self::StandsBy {
        silence: OUTSIDERS_SILENCE,
    };

    /// Returns the part that the instance `own` has of an endpoint's limit.
    ///
    /// `instances` are those that may send to the endpoint, `own` among them or not. All that know the same
    /// ones come to the same parts without a message, and who starts again has its part again, with nothing
    /// of it spent in advance.
    pub fn of(limit: Limit, endpoint: &str, own: &str, instances: &[&str]) -> Self {
        let senders = limit.senders().min(instances.len());
        let ranked = rank(endpoint, &even(instances.iter().copied()), instances.len());
        let place = ranked.iter().position(|index| instances[*index] == own);
        match place {
            Some(place) if place < senders => Self::Sends {
                pause: limit.pause(senders),
            },
            Some(place) => {
                let later = u32::try_from(place - senders).unwrap_or(u32::MAX);
                let silence = LONGEST_PAUSE.saturating_add(STEP.saturating_mul(later));
                Self::StandsBy {
                    silence: silence.min(OUTSIDERS_SILENCE),
                }
            }
            None => Self::NONE,
        }
    }

    /// Returns from when on the next request may go: `sent` is when the last one did, `heard` when an
    /// answer anywhere last named the limit.
    pub(crate) fn next(self, sent: Moment, heard: Moment) -> Moment {
        match self {
            Self::Sends { pause } => sent + pause,
            Self::StandsBy { silence } => sent.max(heard) + silence,
        }
    }
}
