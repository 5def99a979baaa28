//! Request rate limits that endpoints set, and how instances divide them.

use std::time::Duration;

use ploverwick_names::Moment;
use ploverwick_placement::{equally_weighted, rank};
use serde::{Deserialize, Serialize};

const MILLIREQUESTS_PER_REQUEST: f64 = 1_000.0;

/// The lowest rate of a sender to a limited endpoint, in thousandths of a request per second. Each sender
/// may have one request beyond its rate; this value limits those to the number of requests that the endpoint
/// takes in two seconds, regardless of the number of instances.
const MIN_SENDER_RATE: u32 = 500;

/// The longest interval between two sends to a limited endpoint. Only its answers show that the limit has been
/// raised or lifted.
pub(crate) const MAX_SEND_INTERVAL: Duration = Duration::from_secs(10);

/// How much longer each standby instance waits than the one ranked before it. Within this time, instances
/// learn of an answer that another one received.
const STANDBY_STEP: Duration = Duration::from_secs(1);

/// The silence after which an instance of another failure domain sends to an endpoint: no instance of the
/// endpoint's own domain is running, or none gets requests for its models.
const REMOTE_STANDBY_SILENCE: Duration = Duration::from_mins(2);

/// The request rate that an endpoint accepts from all instances together, in thousandths of a request per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit(u32);

impl Limit {
    /// Creates a limit from a rate in requests per second. Negative rates become zero, and rates above about
    /// 4 million, which no endpoint reaches, are capped.
    pub fn per_second(rate: f64) -> Self {
        Self((rate * MILLIREQUESTS_PER_REQUEST) as u32)
    }

    /// Returns the maximum number of instances that may send to the endpoint.
    pub fn senders(self) -> usize {
        self.0.div_ceil(MIN_SENDER_RATE).max(1) as usize
    }

    /// Returns the interval between two sends of each of `senders` instances.
    fn interval(self, senders: usize) -> Duration {
        let seconds = senders as f64 * MILLIREQUESTS_PER_REQUEST / f64::from(self.0.max(1));
        Duration::from_secs_f64(seconds).min(MAX_SEND_INTERVAL)
    }
}

impl std::fmt::Display for Limit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", f64::from(self.0) / MILLIREQUESTS_PER_REQUEST)
    }
}

/// An instance's share of an endpoint's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Share {
    /// The instance may send at a fixed interval.
    Sender {
        /// The minimum time between two requests.
        interval: Duration,
    },
    /// Other instances send to the endpoint; this one may only send after none of them has reported an answer
    /// for some time.
    Standby {
        /// How long to wait without a reported answer. It differs between standby instances, so that they do
        /// not all send at once.
        silence: Duration,
    },
}

impl Share {
    /// The share of an instance that is not among the candidates.
    pub const NONE: Self = Self::Standby {
        silence: REMOTE_STANDBY_SILENCE,
    };

    /// Returns the share of the instance `own` in an endpoint's limit.
    ///
    /// `instances` are the candidates that may send to the endpoint; `own` need not be one of them. Instances
    /// with the same candidates compute the same shares without exchanging messages. An instance that restarts
    /// gets the same share again and has not spent any of it in advance.
    pub fn of(limit: Limit, endpoint: &str, own: &str, instances: &[&str]) -> Self {
        let senders = limit.senders().min(instances.len());
        let ranked = rank(
            endpoint,
            &equally_weighted(instances.iter().copied()),
            instances.len(),
        );
        let rank_index = ranked.iter().position(|index| instances[*index] == own);
        match rank_index {
            Some(rank_index) if rank_index < senders => Self::Sender {
                interval: limit.interval(senders),
            },
            Some(rank_index) => {
                let standby_index = u32::try_from(rank_index - senders).unwrap_or(u32::MAX);
                let silence =
                    MAX_SEND_INTERVAL.saturating_add(STANDBY_STEP.saturating_mul(standby_index));
                Self::Standby {
                    silence: silence.min(REMOTE_STANDBY_SILENCE),
                }
            }
            None => Self::NONE,
        }
    }

    /// Returns the earliest time of the next request. `last_sent` is the time of the last request, and
    /// `updated_at` the time at which any instance last received an answer about the limit.
    pub(crate) fn next_send(self, last_sent: Moment, updated_at: Moment) -> Moment {
        match self {
            Self::Sender { interval } => last_sent + interval,
            Self::Standby { silence } => last_sent.max(updated_at) + silence,
        }
    }
}
