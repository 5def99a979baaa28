//! The endpoints that are loading adapters or are about to, as announced by their placers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;

use crate::Copy;

/// How long to wait for an adapter that is being loaded before requesting it elsewhere.
const LOADING_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The age from which the placement of an adapter is announced again, so that other instances know
/// of it until the load completes.
const ANNOUNCEMENT_AGE: Duration = Duration::from_millis(600);

#[derive(Debug)]
struct Announcement {
    endpoint: Arc<str>,
    at: Moment,
    /// Whether no other load of the adapter was announced or completed since.
    is_current: bool,
}

impl Announcement {
    fn is_valid(&self, now: Moment) -> bool {
        now.since(self.at) < LOADING_TIMEOUT
    }
}

/// The announced loads of each adapter, the latest last.
#[derive(Debug, Default)]
pub(crate) struct Announcements(HashMap<Copy, Vec<Announcement>>);

impl Announcements {
    /// Records that an endpoint is loading an adapter or is about to. Returns whether other
    /// instances should be notified.
    pub(crate) fn add(&mut self, endpoint: &Arc<str>, copy: Copy, now: Moment) -> bool {
        let current = self.current(&copy);
        if current.is_some_and(|a| a.endpoint == *endpoint && now.since(a.at) < ANNOUNCEMENT_AGE) {
            return false;
        }
        self.remove_expired(now);
        let of_copy = self.0.entry(copy).or_default();
        supersede(of_copy, endpoint);
        of_copy.push(Announcement {
            endpoint: Arc::clone(endpoint),
            at: now,
            is_current: true,
        });
        true
    }

    /// Records that an endpoint has loaded an adapter.
    pub(crate) fn complete(&mut self, endpoint: &str, copy: &Copy) {
        let Some(of_copy) = self.0.get_mut(copy) else {
            return;
        };
        supersede(of_copy, endpoint);
        if of_copy.is_empty() {
            self.0.remove(copy);
        }
    }

    /// Returns the endpoint that is loading an adapter or is about to, if no other one has loaded
    /// it since.
    pub(crate) fn loading_on(&self, copy: &Copy, now: Moment) -> Option<&Arc<str>> {
        let current = self.current(copy)?;
        current.is_valid(now).then_some(&current.endpoint)
    }

    /// Returns the endpoint with the latest load of an adapter among the accepted ones.
    pub(crate) fn loading_among(
        &self,
        copy: &Copy,
        now: Moment,
        accepts: impl Fn(&str) -> bool,
    ) -> Option<&Arc<str>> {
        let of_copy = self.0.get(copy)?.iter().rev();
        let mut valid = of_copy.filter(|announcement| announcement.is_valid(now));
        let latest = valid.find(|announcement| accepts(&announcement.endpoint))?;
        Some(&latest.endpoint)
    }

    /// Returns the current announcement of an adapter, which is the latest one.
    fn current(&self, copy: &Copy) -> Option<&Announcement> {
        let latest = self.0.get(copy)?.last()?;
        latest.is_current.then_some(latest)
    }

    fn remove_expired(&mut self, now: Moment) {
        self.0.retain(|_, of_copy| {
            of_copy.retain(|announcement| announcement.is_valid(now));
            !of_copy.is_empty()
        });
    }
}

/// Removes the announcement of an endpoint; those of others are no longer current.
fn supersede(of_copy: &mut Vec<Announcement>, endpoint: &str) {
    of_copy.retain(|announcement| *announcement.endpoint != *endpoint);
    for announcement in of_copy {
        announcement.is_current = false;
    }
}
