//! The services whose endpoints crash if they have to turn many requests away.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;

/// How long a service counts as brittle after an answer that said so. Its endpoints say so in all their answers.
const TTL: Duration = Duration::from_secs(10);
/// The longest pause between two requests that an endpoint turns away.
const MAX_PAUSE: Duration = Duration::from_secs(1);
/// The part of the refusals that instances use, as a divisor. Requests that are under way when the first is refused may be
/// refused as well.
const REFUSAL_RESERVE: u32 = 2;

/// The services whose endpoints are brittle.
#[derive(Debug, Default)]
pub struct Brittleness {
    heard: HashMap<Arc<str>, Moment>,
}

impl Brittleness {
    /// Records that an endpoint of a service said that it is brittle; returns whether that is new.
    pub fn record(&mut self, service: &Arc<str>, now: Moment) -> bool {
        let is_new = !self.is_brittle(service, now);
        self.heard.insert(Arc::clone(service), now);
        is_new
    }

    /// Returns whether the endpoints of a service are brittle, so that no request should have to wait at one.
    pub fn is_brittle(&self, service: &str, now: Moment) -> bool {
        let heard = self.heard.get(service);
        heard.is_some_and(|heard| now.since(*heard) < TTL)
    }

    /// Returns how long an endpoint that turned a request away gets none from any instance, if it crashes when it turns more
    /// than `max_refusals` away in a second.
    pub fn pause(max_refusals: u32) -> Duration {
        (MAX_PAUSE * REFUSAL_RESERVE / max_refusals.max(1)).min(MAX_PAUSE)
    }
}
