//! One route: which requests it takes and how they may be handled.

use std::sync::Arc;
use std::time::Duration;

/// Says what may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once for each attempt of the client.
    NonIdempotent,
    /// The answer is a stream of events; it runs at most once unless it is resumable.
    Stream {
        /// A stream that broke off may go on at another endpoint.
        resumable: bool,
    },
}

impl Kind {
    /// Returns whether a request that may have run may be sent again from its start.
    pub fn may_repeat(self) -> bool {
        match self {
            Self::Idempotent | Self::Stream { resumable: true } => true,
            Self::NonIdempotent | Self::Stream { resumable: false } => false,
        }
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service's share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Share {
    /// The service.
    pub service: Arc<str>,
    /// Its weight relative to the other shares, 0 or more.
    pub weight: f64,
}

/// A route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The route's name, for logs.
    pub name: Arc<str>,
    /// The host it belongs to, in lower case and without a port.
    pub host: Arc<str>,
    /// The start of the paths that it takes; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: Kind,
    /// The longest time that a request is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer has its full value.
    pub objective: Duration,
    /// How long a client waits for the next event of a stream, the first one included, before it
    /// leaves; `None` if it waits to the end.
    pub silence: Option<Duration>,
    /// The most endpoints that one attempt of a client may run on, 1 or more.
    pub max_attempts: u32,
    /// The rank; 0 is the most urgent.
    pub priority: u8,
    /// Whether a request needs the key of an organisation, where the configuration has organisations.
    pub needs_key: bool,
    /// The services that take the requests; never empty.
    pub shares: Vec<Share>,
}

impl Route {
    /// Chooses the service for a request.
    ///
    /// `fraction` is a number in [0, 1) that differs from request to request.
    pub fn service(&self, fraction: f64) -> Option<&Arc<str>> {
        let total: f64 = self.shares.iter().map(|share| share.weight).sum();
        let mut left = fraction * total;
        for share in &self.shares {
            if left < share.weight {
                return Some(&share.service);
            }
            left -= share.weight;
        }
        self.shares.last().map(|share| &share.service)
    }
}
