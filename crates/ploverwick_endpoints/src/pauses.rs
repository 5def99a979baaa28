//! Tracks the pauses of endpoints.
//!
//! A pause that an endpoint requested applies only to the instance that got the answer, so other instances are not notified. One
//! after a refusal by a brittle endpoint applies to all instances.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;

/// How long the end of a pause is remembered.
const RETENTION: Duration = Duration::from_secs(1);

/// The time at which the pause of each endpoint ends.
#[derive(Debug, Default)]
pub struct Pauses {
    until: HashMap<Arc<str>, Moment>,
}

impl Pauses {
    /// Records that an endpoint pauses from `now` on. Returns whether it was not already pausing.
    ///
    /// A later answer never shortens a pause, because answers may arrive out of order.
    pub fn record(&mut self, endpoint: &Arc<str>, pause: Duration, now: Moment) -> bool {
        self.until.retain(|_, until| *until + RETENTION > now);
        let until = now + pause;
        let previous = self.until.get(endpoint).copied();
        let previous = previous.filter(|previous| *previous > now);
        let until = previous.map_or(until, |previous| previous.max(until));
        self.until.insert(Arc::clone(endpoint), until);
        previous.is_none()
    }

    /// Returns the time since the endpoint's pause ended; `None` if it is pausing, or if that is long ago.
    pub fn since_end(&self, endpoint: &str, now: Moment) -> Option<Duration> {
        let until = *self.until.get(endpoint)?;
        (until <= now).then(|| now.since(until))
    }

    /// Returns the time left until the endpoint's pause ends; `None` if it is not pausing.
    pub fn wait(&self, endpoint: &str, now: Moment) -> Option<Duration> {
        let until = *self.until.get(endpoint)?;
        (until > now).then(|| until.since(now))
    }

    /// Returns the endpoints that are pausing.
    pub fn closed(&self, now: Moment) -> impl Iterator<Item = &Arc<str>> {
        let closed = self.until.iter().filter(move |(_, until)| **until > now);
        closed.map(|(endpoint, _)| endpoint)
    }

    /// Returns whether no pauses are stored. Pauses that have ended may still be stored.
    pub fn is_empty(&self) -> bool {
        self.until.is_empty()
    }

    /// Removes an endpoint that is no longer listed.
    pub fn remove(&mut self, endpoint: &str) {
        self.until.remove(endpoint);
    }
}
