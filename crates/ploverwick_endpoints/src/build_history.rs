//! Tracks which builds of each service serve, or lately did.
//!
//! While only one build served for as long as any stream may last, that build began every stream of the service.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;
use serde::{Deserialize, Serialize};

use crate::Build;

/// How long a build that is no longer listed is remembered. A client may take a stream up again until its own time
/// limit, which must be shorter.
pub const RETENTION: Duration = Duration::from_secs(30);

/// The age up to which the list of endpoints counts as current: two intervals between reads and the time of a slow one. A
/// build that an instance does not know may serve by then.
pub const MAX_LIST_AGE: Duration = Duration::from_secs(2);
/// The longest time for which an instance that reads the list confirms it to others, from the start of the read to their
/// receipt.
pub const MAX_CONFIRMATION_DELAY: Duration = Duration::from_millis(1_600);
/// How long after it was listed a build is avoided for new streams. By then each instance either knows the build or counts its
/// own list as out of date, so that none takes an older build for the only one.
pub const SETTLE_TIME: Duration = MAX_LIST_AGE.saturating_add(MAX_CONFIRMATION_DELAY);

/// What an instance knows of the builds of a service that serve, or did within [`RETENTION`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Serving {
    /// No endpoint of the service is or was listed.
    Nothing,
    /// One build, and no other one over the whole retention.
    Only(Build),
    /// One build as far as the instance knows, but it started, or could not read the list for a while, within the retention, and
    /// the store's record does not prove that no other one served.
    Unconfirmed(Build),
    /// One build in a list that is out of date. Others may serve by now.
    Outdated(Build),
    /// Two or more builds.
    Several,
}

impl Serving {
    /// Returns what is certain if the list of endpoints is out of date.
    #[must_use]
    pub fn outdated(self) -> Self {
        match self {
            Self::Only(build) | Self::Unconfirmed(build) => Self::Outdated(build),
            Self::Nothing | Self::Outdated(_) | Self::Several => self,
        }
    }

    /// Returns whether streams may have begun at different builds, so that other instances must know where each one began.
    pub fn is_mixed(self) -> bool {
        matches!(
            self,
            Self::Several | Self::Unconfirmed(_) | Self::Outdated(_)
        )
    }

    /// Combines what is known of two services; the order does not matter.
    #[must_use]
    pub fn across(self, other: Self) -> Self {
        match (self, other) {
            (Self::Nothing, known) | (known, Self::Nothing) => known,
            (a, b) if a.single().is_none() || a.single() != b.single() => Self::Several,
            (Self::Outdated(build), _) | (_, Self::Outdated(build)) => Self::Outdated(build),
            (Self::Unconfirmed(build), _) | (_, Self::Unconfirmed(build)) => {
                Self::Unconfirmed(build)
            }
            (only, _) => only,
        }
    }

    /// Combines what is known of a service from two sources; the order does not matter.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        match (self, other) {
            (Self::Nothing, known) | (known, Self::Nothing) => known,
            (a, b) if a.single().is_none() || a.single() != b.single() => Self::Several,
            (Self::Only(build), _) | (_, Self::Only(build)) => Self::Only(build),
            (Self::Unconfirmed(build), _) | (_, Self::Unconfirmed(build)) => {
                Self::Unconfirmed(build)
            }
            (outdated, _) => outdated,
        }
    }

    /// Returns the only build that is known.
    pub fn single(self) -> Option<Build> {
        match self {
            Self::Only(build) | Self::Unconfirmed(build) | Self::Outdated(build) => Some(build),
            Self::Nothing | Self::Several => None,
        }
    }
}

/// One build in the endpoint list.
#[derive(Debug)]
struct Listing {
    build: Build,
    /// The number of its endpoints that are listed.
    endpoints: usize,
    /// Until when other instances may not know the build.
    settles_at: Moment,
    /// When its last endpoint left the list; only of use without endpoints.
    left_at: Moment,
}

impl Listing {
    fn is_remembered(&self, now: Moment) -> bool {
        self.endpoints > 0 || now.since(self.left_at) < RETENTION
    }
}

/// The builds of each service that are listed, or were within [`RETENTION`].
#[derive(Debug)]
pub struct BuildHistory {
    /// From when on the history covers the whole retention.
    complete_at: Moment,
    /// Since when the list has been read without a gap.
    unbroken_since: Moment,
    services: HashMap<Arc<str>, Vec<Listing>>,
}

impl BuildHistory {
    /// Creates an empty history of a process that starts to read the endpoint list.
    ///
    /// `is_first_start` is whether no stream can be older than the process.
    pub fn new(is_first_start: bool, now: Moment) -> Self {
        let complete_at = if is_first_start { now } else { now + RETENTION };
        Self {
            complete_at,
            unbroken_since: now,
            services: HashMap::new(),
        }
    }

    /// Records that the endpoint list was read for the first time.
    pub fn record_first_read(&mut self, at: Moment) {
        self.unbroken_since = at;
    }

    /// Records that the endpoint list could not be read for a while: a build may have come and left meanwhile.
    pub fn record_gap(&mut self, now: Moment) {
        self.unbroken_since = now;
        self.complete_at = now + RETENTION;
    }

    /// Returns since when the list has been read without a gap.
    pub fn unbroken_since(&self) -> Moment {
        self.unbroken_since
    }

    /// Records that a build was listed lately, and may not be any more.
    pub fn record_earlier(&mut self, service: &Arc<str>, build: Build, now: Moment) {
        self.add(service, build, None);
        self.remove(service, build, now);
    }

    /// Records that one more endpoint of a build is listed, `since` this moment at the earliest; `None` if it may have been
    /// listed for long, as in the first list that is read.
    pub fn add(&mut self, service: &Arc<str>, build: Build, since: Option<Moment>) {
        let settles_at = since.map_or(Moment::default(), |since| since + SETTLE_TIME);
        let listings = self.services.entry(Arc::clone(service)).or_default();
        match listings.iter_mut().find(|listing| listing.build == build) {
            Some(listing) => {
                // An endpoint that starts again replaces its entry, so that the build never leaves the list.
                let was_replaced = since == Some(listing.left_at);
                if listing.endpoints == 0 && !was_replaced {
                    listing.settles_at = settles_at;
                }
                listing.endpoints += 1;
            }
            None => listings.push(Listing {
                build,
                endpoints: 1,
                settles_at,
                left_at: Moment::default(),
            }),
        }
    }

    /// Records that one endpoint of a build is no longer listed. Without a listed one, it does nothing.
    pub fn remove(&mut self, service: &str, build: Build, now: Moment) {
        let listings = self.services.get_mut(service).into_iter().flatten();
        let mut listed = listings.filter(|listing| listing.build == build && listing.endpoints > 0);
        let Some(listing) = listed.next() else {
            return;
        };
        listing.endpoints -= 1;
        if listing.endpoints == 0 {
            listing.left_at = now;
            self.remove_expired(now);
        }
    }

    fn remove_expired(&mut self, now: Moment) {
        self.services.retain(|_, listings| {
            listings.retain(|listing| listing.is_remembered(now));
            !listings.is_empty()
        });
    }

    /// Returns whether the history covers the whole retention.
    pub fn is_complete(&self, now: Moment) -> bool {
        now >= self.complete_at
    }

    /// Returns what is known of the builds of a service.
    ///
    /// `earlier` are all builds at which streams may have begun before the list was read without a gap; `None` if they are not
    /// known.
    pub fn serving(&self, service: &str, earlier: Option<&[Build]>, now: Moment) -> Serving {
        let is_complete = self.is_complete(now);
        let earlier = earlier.filter(|_| !is_complete);
        let others = earlier.unwrap_or_default().iter().copied();
        let builds: HashSet<Build> = self.remembered(service, now).chain(others).collect();
        let mut builds = builds.into_iter();
        match (builds.next(), builds.next()) {
            (None, _) => Serving::Nothing,
            (Some(_), Some(_)) => Serving::Several,
            (Some(only), None) if is_complete || earlier.is_some() => Serving::Only(only),
            (Some(only), None) => Serving::Unconfirmed(only),
        }
    }

    /// Returns the builds of a service that are listed, or were within [`RETENTION`].
    pub fn remembered(&self, service: &str, now: Moment) -> impl Iterator<Item = Build> {
        let listings = self.services.get(service).into_iter().flatten();
        let remembered = listings.filter(move |listing| listing.is_remembered(now));
        remembered.map(|listing| listing.build)
    }

    /// Returns the builds of a service that are listed.
    pub fn listed(&self, service: &str) -> impl Iterator<Item = Build> {
        let listings = self.services.get(service).into_iter().flatten();
        let listed = listings.filter(|listing| listing.endpoints > 0);
        listed.map(|listing| listing.build)
    }

    /// Returns the builds of a service that other instances may not know yet.
    pub fn unsettled(&self, service: &str, now: Moment) -> Vec<Build> {
        let listings = self.services.get(service).into_iter().flatten();
        let unsettled = listings.filter(|listing| now < listing.settles_at);
        unsettled.map(|listing| listing.build).collect()
    }

    /// Returns the number of services that are remembered.
    pub fn service_count(&self) -> usize {
        self.services.len()
    }
}
