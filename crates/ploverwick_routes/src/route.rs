//! A route: which requests it matches and how they are handled.

use std::sync::Arc;
use std::time::Duration;

/// Whether and how a request may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once per attempt of the client.
    NonIdempotent,
    /// The response is a stream of events; the request runs at most once unless the stream is resumable.
    Stream {
        /// Whether an interrupted stream may be resumed at another endpoint.
        resumable: bool,
    },
}

impl Kind {
    /// Returns whether a request that may have run may be retried from its start.
    pub fn may_retry(self) -> bool {
        match self {
            Self::Idempotent | Self::Stream { resumable: true } => true,
            Self::NonIdempotent | Self::Stream { resumable: false } => false,
        }
    }

    /// Returns whether the response is a stream that clients may take up again.
    pub fn is_resumable(self) -> bool {
        matches!(self, Self::Stream { resumable: true })
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service's share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Share {
    /// The name of the service.
    pub service: Arc<str>,
    /// Its weight relative to the other shares, 0 or more.
    pub weight: f64,
}

/// A route from a host and path prefix to services.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The route's name, for logs.
    pub name: Arc<str>,
    /// The host that it matches, in lower case and without a port.
    pub host: Arc<str>,
    /// The prefix of the paths that it matches; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether and how its requests may be retried.
    pub kind: Kind,
    /// The maximum time from the arrival of a request to the end of its response. A client may set a shorter one.
    pub timeout: Duration,
    /// The latency objective: a response within this time has its full value to the client.
    pub objective: Duration,
    /// How long a client waits for each event of a stream, including the first, before it disconnects;
    /// `None` if it waits indefinitely.
    pub event_timeout: Option<Duration>,
    /// The longest pause between two events of a stream with which it still meets its objective; `None` if the
    /// operator declares none.
    pub max_pause: Option<Duration>,
    /// The maximum number of endpoints that one attempt of a client may run on, 1 or more.
    pub max_attempts: u32,
    /// The priority of its requests; 0 is the most urgent.
    pub priority: u8,
    /// Whether a request needs the key of an organisation, if the configuration has organisations.
    pub needs_key: bool,
    /// The services that share the requests; never empty.
    pub shares: Vec<Share>,
}

impl Route {
    /// Iterates over the services that share its requests.
    pub fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        self.shares.iter().map(|share| &share.service)
    }

    /// Chooses the service for a request.
    ///
    /// `fraction` is in [0, 1) and should be evenly distributed over the requests.
    pub fn service(&self, fraction: f64) -> Option<&Arc<str>> {
        let total: f64 = self.shares.iter().map(|share| share.weight).sum();
        let mut remaining = fraction * total;
        for share in &self.shares {
            if remaining < share.weight {
                return Some(&share.service);
            }
            remaining -= share.weight;
        }
        self.shares.last().map(|share| &share.service)
    }
}
