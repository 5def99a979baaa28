//! When an endpoint that is missing from the list counts as gone.
//!
//! An endpoint that leaves without a word is taken off the list and must get no requests soon
//! after. While the store is away endpoints may lapse that are well; those are back soon after its
//! return. So what is missing at the first read after an outage is waited for, and what is taken
//! off later is gone at once.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;

/// How long after the store's return a missing endpoint may still come back: it takes about two
/// seconds, and its requests must end two seconds after a leave, so that the wait ends before.
const BACK: Duration = Duration::from_millis(1_700);

/// The endpoints that are missing and may come back.
#[derive(Debug, Default)]
pub struct Absence {
    is_away: bool,
    returned: Option<Moment>,
    missing: HashMap<Arc<str>, Moment>,
}

impl Absence {
    /// Takes in that the store cannot be read.
    pub fn store_away(&mut self) {
        self.is_away = true;
    }

    /// Takes in that the store was read; call it before what was read is taken in.
    pub fn store_read(&mut self, now: Moment) {
        self.returned = std::mem::take(&mut self.is_away).then_some(now);
    }

    /// Takes in that an endpoint is missing; returns whether it is gone.
    pub fn miss(&mut self, endpoint: &Arc<str>, now: Moment) -> bool {
        if self.returned.is_none() {
            self.missing.remove(endpoint);
            return true;
        }
        let until = now + BACK;
        self.missing.entry(Arc::clone(endpoint)).or_insert(until);
        false
    }

    /// Takes in that an endpoint is listed.
    pub fn seen(&mut self, endpoint: &str) {
        self.missing.remove(endpoint);
    }

    /// Returns the endpoints that were waited for in vain.
    pub fn due(&mut self, now: Moment) -> Vec<Arc<str>> {
        let due = self.missing.extract_if(|_, until| *until <= now);
        due.map(|(endpoint, _)| endpoint).collect()
    }
}
