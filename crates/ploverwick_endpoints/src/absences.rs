//! Decides when an endpoint that is missing from the list is treated as removed.
//!
//! An endpoint that leaves without notice is removed from the list and must stop receiving requests
//! shortly afterwards. During a store outage, the entries of healthy endpoints may expire; these
//! endpoints register again soon after the store recovers. An endpoint that is missing from the first
//! read after an outage is therefore given time to return, and one that is missing from a later read is
//! removed immediately.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;

/// How long a missing endpoint has to return after the store recovers. Endpoints take about two seconds
/// to return, and requests to an endpoint must stop within two seconds after it leaves, so this must stay
/// below two seconds.
const RETURN_TIMEOUT: Duration = Duration::from_millis(1_700);

/// The endpoints that are missing from the list and may return.
#[derive(Debug, Default)]
pub struct Absences {
    is_store_unavailable: bool,
    recovered_at: Option<Moment>,
    missing: HashMap<Arc<str>, Moment>,
}

impl Absences {
    /// Records that reading the store failed.
    pub fn record_store_failure(&mut self) {
        self.is_store_unavailable = true;
    }

    /// Records that the store was read. Must be called before the entries of that read are applied.
    pub fn record_store_read(&mut self, now: Moment) {
        self.recovered_at = std::mem::take(&mut self.is_store_unavailable).then_some(now);
    }

    /// Records that an endpoint is missing from the list. Returns whether it must be removed immediately.
    pub fn record_missing(&mut self, endpoint: &Arc<str>, now: Moment) -> bool {
        if self.recovered_at.is_none() {
            self.missing.remove(endpoint);
            return true;
        }
        let until = now + RETURN_TIMEOUT;
        self.missing.entry(Arc::clone(endpoint)).or_insert(until);
        false
    }

    /// Records that an endpoint is listed.
    pub fn record_listed(&mut self, endpoint: &str) {
        self.missing.remove(endpoint);
    }

    /// Removes and returns the endpoints that did not return in time.
    pub fn remove_expired(&mut self, now: Moment) -> Vec<Arc<str>> {
        let expired = self.missing.extract_if(|_, until| *until <= now);
        expired.map(|(endpoint, _)| endpoint).collect()
    }
}
