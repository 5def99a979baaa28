//! Tracks the builds that the platform's store records for each service.
//!
//! The record outlasts all instances. Streams begin at a build once it is registered, and a build is deleted only long after
//! it left the list of endpoints. So the registered builds of a service are all at which a stream that its client may still take
//! up can have begun, which an instance that has just started cannot know from the list.
//!
//! A build is marked as retired before it is deleted. An instance that lists it again may not have read of the mark yet; the
//! one that deletes it waits until all others have, and lists the build itself if any of them does.
//!
//! A restored store may lack the newest registrations. Each names the era of the store in which it was written, and those of a
//! service count only if they are all of the present era. An instance that has read the list without a gap for long enough
//! registers the builds of a service anew, all of them in one call.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;
use serde::{Deserialize, Serialize};

use crate::build_history::SETTLE_TIME;
use crate::{Build, BuildHistory};

/// How long a build is marked as retired before it is deleted. By then each instance that reads the store has read of it.
pub const DELETION_DELAY: Duration = Duration::from_secs(10);

/// The state of a registered build.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Streams may begin at it.
    Serving,
    /// It left the list of endpoints, and is deleted unless it returns.
    Retired,
}

/// A registration in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Registration {
    /// The state.
    pub state: State,
    /// The era of the store in which it was written.
    pub era: u64,
}

impl Registration {
    /// A registration that cannot be read. It belongs to no era, so that it proves nothing.
    pub const UNKNOWN: Self = Self {
        state: State::Serving,
        era: u64::MAX,
    };
}

/// The place of a record in the store: the era in which it was read, and its offset. Later records have higher places.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The era of the store.
    pub era: u64,
    /// The offset in the topic.
    pub offset: u64,
}

#[derive(Debug, Clone, Copy)]
struct Registered {
    registration: Registration,
    place: Place,
    read_at: Moment,
}

/// A change of the builds of a service that an instance writes to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The builds to write; `None` deletes one.
    pub builds: Vec<(Build, Option<State>)>,
    /// Whether the change must not be made if the store has changed since it was read.
    pub is_conditional: bool,
}

/// What an instance knows of the list of endpoints when it plans a change.
#[derive(Debug, Clone, Copy)]
pub struct Knowledge<'a> {
    /// The builds that are or were listed.
    pub history: &'a BuildHistory,
    /// Whether the list is current.
    pub is_current: bool,
}

/// The builds that the store records for each service, as far as this instance has read them.
#[derive(Debug, Default)]
pub struct BuildRegistry {
    /// The era of the store when it was last read.
    era: u64,
    /// When the last read from the store began that covered all registrations.
    confirmed_at: Option<Moment>,
    services: HashMap<Arc<str>, HashMap<Build, Registered>>,
}

impl BuildRegistry {
    /// Records a registration, or its deletion, unless a later one of the same build is known.
    pub fn apply(
        &mut self,
        service: &Arc<str>,
        build: Build,
        registration: Option<Registration>,
        place: Place,
        now: Moment,
    ) {
        self.era = self.era.max(place.era);
        let builds = self.services.entry(Arc::clone(service)).or_default();
        if builds.get(&build).is_some_and(|known| known.place >= place) {
            return;
        }
        match registration {
            Some(registration) => {
                let registered = Registered {
                    registration,
                    place,
                    read_at: now,
                };
                builds.insert(build, registered);
            }
            None => drop(builds.remove(&build)),
        }
        if builds.is_empty() {
            self.services.remove(service);
        }
    }

    /// Records that a read, which began at `started_at`, brought all registrations up to a place. Those that it did not bring
    /// were deleted.
    pub fn confirm(
        &mut self,
        listed: &HashSet<(Arc<str>, Build)>,
        up_to: Place,
        started_at: Moment,
    ) {
        self.era = self.era.max(up_to.era);
        self.confirmed_at = self.confirmed_at.max(Some(started_at));
        self.services.retain(|service, builds| {
            builds.retain(|build, known| {
                known.place >= up_to || listed.contains(&(Arc::clone(service), *build))
            });
            !builds.is_empty()
        });
    }

    /// Returns whether all registrations are known of the builds at which streams began before `until`.
    pub fn covers(&self, until: Moment) -> bool {
        // A build is not used before it has been listed for that long.
        let covered = self.confirmed_at.map(|at| at + SETTLE_TIME);
        covered.is_some_and(|covered| covered >= until)
    }

    /// Returns all builds at which streams of a service may have begun before `until`; `None` if they are not known for certain.
    pub fn proven(&self, service: &str, until: Moment) -> Option<Vec<Build>> {
        let builds = self.valid(service)?;
        self.covers(until).then(|| builds.keys().copied().collect())
    }

    /// Returns the builds among some at which streams had better not begin yet, since an instance that starts later would not
    /// know of them.
    pub fn unregistered(&self, service: &str, builds: impl Iterator<Item = Build>) -> Vec<Build> {
        let Some(known) = self.valid(service) else {
            return Vec::new();
        };
        let is_serving = |build: &Build| {
            let known = known.get(build);
            known.is_some_and(|known| known.registration.state == State::Serving)
        };
        builds.filter(|build| !is_serving(build)).collect()
    }

    /// Returns the builds of a service if all are registered in the present era of the store.
    fn valid(&self, service: &str) -> Option<&HashMap<Build, Registered>> {
        let builds = self.services.get(service)?;
        let mut all = builds.values();
        all.all(|known| known.registration.era == self.era)
            .then_some(builds)
    }

    /// Returns the change that is due for a service.
    pub fn plan(&self, service: &str, list: Knowledge<'_>, now: Moment) -> Option<Change> {
        let is_certain = list.is_current && list.history.is_complete(now);
        let Some(known) = self.valid(service) else {
            if !is_certain {
                return None;
            }
            return self.renewal(service, list.history, now);
        };
        let listed = list.history.listed(service);
        let missing = self.unregistered(service, listed);
        if !missing.is_empty() {
            let builds = missing.into_iter();
            return Some(Change {
                builds: builds.map(|build| (build, Some(State::Serving))).collect(),
                is_conditional: false,
            });
        }
        if !is_certain {
            return None;
        }
        let remembered: Vec<Build> = list.history.remembered(service, now).collect();
        let mut builds = Vec::new();
        for (build, known) in known {
            if remembered.contains(build) {
                continue;
            }
            match known.registration.state {
                State::Serving => builds.push((*build, Some(State::Retired))),
                State::Retired if now.since(known.read_at) >= DELETION_DELAY => {
                    builds.push((*build, None));
                }
                State::Retired => {}
            }
        }
        (!builds.is_empty()).then_some(Change {
            builds,
            is_conditional: true,
        })
    }

    /// Returns the change that registers all builds that an instance remembers, and deletes the others.
    fn renewal(&self, service: &str, history: &BuildHistory, now: Moment) -> Option<Change> {
        let remembered: Vec<Build> = history.remembered(service, now).collect();
        if remembered.is_empty() {
            return None;
        }
        let known = self.services.get(service).into_iter().flatten();
        let gone = known.map(|(build, _)| *build);
        let gone = gone.filter(|build| !remembered.contains(build));
        let gone = gone.map(|build| (build, None));
        let serving = remembered
            .iter()
            .map(|build| (*build, Some(State::Serving)));
        Some(Change {
            builds: serving.chain(gone).collect(),
            is_conditional: true,
        })
    }
}
