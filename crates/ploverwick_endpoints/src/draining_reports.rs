//! Tracks endpoints whose answers to this instance reported that they are leaving.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;

/// The time of the latest answer in which each endpoint reported that it is leaving.
#[derive(Debug, Default)]
pub struct DrainingReports {
    last_reported: HashMap<Arc<str>, Moment>,
}

impl DrainingReports {
    /// Records that an endpoint reported at `now` that it is leaving.
    pub fn record(&mut self, endpoint: &Arc<str>, now: Moment) {
        self.last_reported.insert(Arc::clone(endpoint), now);
    }

    /// Returns the endpoints whose latest report is at most `max_age` old.
    pub fn recent(&self, max_age: Duration, now: Moment) -> Vec<Arc<str>> {
        let reports = self.last_reported.iter();
        let recent = reports.filter(|(_, at)| now.since(**at) <= max_age);
        recent.map(|(endpoint, _)| Arc::clone(endpoint)).collect()
    }

    /// Removes an endpoint that is no longer listed.
    pub fn remove(&mut self, endpoint: &str) {
        self.last_reported.remove(endpoint);
    }
}
