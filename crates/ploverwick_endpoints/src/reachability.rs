//! Whether this instance's links to endpoints are down, from the outcomes of its own connections.
//!
//! An instance that does not reach an endpoint cannot tell by itself whether its link or the endpoint failed. It can if
//! another instance reaches the endpoint at the same time: the endpoint is then used through a relay until a direct probe
//! succeeds.
//!
//! Something between an instance and an endpoint may accept connections and then close them, which costs the request that
//! was sent. After one that was closed so, the endpoint is checked before the next request is sent. A sound endpoint that
//! closed a single connection passes the check and is not relayed.
//!
//! If several endpoints of a service fail and none answers, the links to all of them are suspected, so that not each request
//! finds out anew. Probes on new connections refute the suspicion or leave it standing, and it is confirmed like a single
//! link. Open connections may live on while new ones are refused, so an answer on an earlier connection refutes nothing.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;

use crate::Entry;

/// The number of endpoints that must fail before the links are suspected. One may be ill, or its machine down.
const MIN_FAILED_ENDPOINTS: usize = 2;
/// How long after a refuted suspicion no other one arises, so that probes stay rare while several endpoints are down.
const REFUTED_TTL: Duration = Duration::from_secs(1);
/// How long an endpoint that a relay did not reach either is not tried through one again.
const DOWN_TTL: Duration = Duration::from_secs(1);

/// What an instance believes of its links to the endpoints of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Links {
    /// They work, but for single ones.
    #[default]
    Up,
    /// Several endpoints fail, and it is not known whether the links or the endpoints are the cause.
    Suspected,
    /// Another instance reached an endpoint that this one does not reach.
    Down,
}

impl Links {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Up => "up",
            Self::Suspected => "suspected",
            Self::Down => "down",
        }
    }
}

/// What connections to the endpoints of one service have shown.
#[derive(Debug, Default)]
struct Evidence {
    links: Links,
    /// The endpoints to which new connections failed since one last brought an answer from any of the service.
    failed: HashSet<Arc<str>>,
    /// The endpoints that left requests unanswered since any of the service last answered.
    silent: HashSet<Arc<str>>,
    /// When any endpoint of the service last answered.
    last_answer: Option<Moment>,
    refuted_at: Option<Moment>,
}

impl Evidence {
    fn record_answer(&mut self, now: Moment) {
        self.last_answer = Some(now);
        self.silent.clear();
    }

    /// Suspects the links if enough of the listed endpoints have failed.
    fn suspect_if_enough(&mut self, failed: usize, listed: usize, now: Moment) {
        if failed >= MIN_FAILED_ENDPOINTS.min(listed.max(1)) {
            self.suspect(now);
        }
    }

    fn suspect(&mut self, now: Moment) {
        let is_recently_refuted = self
            .refuted_at
            .is_some_and(|at| now.since(at) < REFUTED_TTL);
        if self.links == Links::Up && !is_recently_refuted {
            self.links = Links::Suspected;
        }
    }
}

/// What this instance's connections to endpoints have shown.
#[derive(Debug, Default)]
pub struct Reachability {
    /// By service.
    evidence: HashMap<Arc<str>, Evidence>,
    /// The endpoints to which the last new connection failed.
    unreachable: HashSet<Arc<str>>,
    /// Those of them whose last new connection was opened, and closed before any answer.
    closed: HashSet<Arc<str>>,
    /// The endpoints that only other instances reach.
    detoured: HashSet<Arc<str>>,
    /// When a relay failed to reach an endpoint.
    down: HashMap<Arc<str>, Moment>,
}

impl Reachability {
    /// Returns what this instance believes of its links to the endpoints of a service.
    pub fn links(&self, service: &str) -> Links {
        self.evidence
            .get(service)
            .map_or(Links::Up, |evidence| evidence.links)
    }

    /// Returns whether connections to an endpoint are opened through a relay.
    pub fn needs_relay(&self, entry: &Entry) -> bool {
        self.detoured.contains(&entry.id) || self.links(&entry.service) != Links::Up
    }

    /// Returns whether only other instances are known to reach an endpoint.
    pub fn is_detoured(&self, entry: &Entry) -> bool {
        self.detoured.contains(&entry.id) || self.links(&entry.service) == Links::Down
    }

    /// Returns whether an endpoint is to be checked before a request is sent to it directly.
    pub fn needs_check(&self, entry: &Entry) -> bool {
        self.closed.contains(&entry.id) && !self.needs_relay(entry)
    }

    /// Returns whether a relay may be tried for an endpoint that this instance does not reach.
    pub fn may_try_relay(&self, endpoint: &str, now: Moment) -> bool {
        let failed_at = self.down.get(endpoint);
        failed_at.is_none_or(|at| now.since(*at) >= DOWN_TTL)
    }

    /// Records that another instance reached an endpoint while this one did not. Returns whether this was not known.
    pub fn record_detour(&mut self, endpoint: &Arc<str>) -> bool {
        self.down.remove(endpoint);
        self.detoured.insert(Arc::clone(endpoint))
    }

    /// Records that a relay did not reach an endpoint either.
    pub fn record_down(&mut self, endpoint: &Arc<str>, now: Moment) {
        self.down.insert(Arc::clone(endpoint), now);
    }

    /// Records the first answer on a new connection, which shows that the link works. Returns whether the endpoint was
    /// unreachable before.
    pub fn record_first_answer(&mut self, entry: &Entry, now: Moment) -> bool {
        let evidence = self.evidence.entry(Arc::clone(&entry.service)).or_default();
        evidence.record_answer(now);
        evidence.failed.clear();
        if evidence.links != Links::Up {
            evidence.links = Links::Up;
            evidence.refuted_at = Some(now);
        }
        self.detoured.remove(&entry.id);
        self.closed.remove(&entry.id);
        self.unreachable.remove(&entry.id)
    }

    /// Records an answer on a connection that had brought one before.
    pub fn record_answer(&mut self, entry: &Entry, now: Moment) {
        let evidence = self.evidence.entry(Arc::clone(&entry.service)).or_default();
        evidence.record_answer(now);
    }

    /// Records that a new connection to an endpoint was opened, and closed before any answer. `listed` is the number of
    /// listed endpoints of its service. Returns whether the endpoint was reachable before.
    pub fn record_closed(&mut self, entry: &Entry, listed: usize, now: Moment) -> bool {
        let was_reachable = self.record_failure(entry, listed, now);
        self.closed.insert(Arc::clone(&entry.id));
        was_reachable
    }

    /// Records that a new connection to an endpoint was not opened, or brought no answer in time. `listed` is the number of
    /// listed endpoints of its service. Returns whether the endpoint was reachable before.
    pub fn record_failure(&mut self, entry: &Entry, listed: usize, now: Moment) -> bool {
        // A single link that is known to be down says nothing of the others.
        if !self.detoured.contains(&entry.id) {
            let evidence = self.evidence.entry(Arc::clone(&entry.service)).or_default();
            evidence.failed.insert(Arc::clone(&entry.id));
            evidence.suspect_if_enough(evidence.failed.len(), listed, now);
        }
        self.closed.remove(&entry.id);
        self.unreachable.insert(Arc::clone(&entry.id))
    }

    /// Records that a request sent at `sent_at` on an open connection is still unanswered, which counts if no endpoint of
    /// the service has answered any request since.
    pub fn record_silence(&mut self, entry: &Entry, sent_at: Moment, listed: usize, now: Moment) {
        let evidence = self.evidence.entry(Arc::clone(&entry.service)).or_default();
        if evidence.last_answer.is_some_and(|at| at >= sent_at) {
            return;
        }
        evidence.silent.insert(Arc::clone(&entry.id));
        evidence.suspect_if_enough(evidence.silent.len(), listed, now);
    }

    /// Records that a check found an endpoint that only other instances reach. The links to the others of its service are
    /// then suspected, so that each does not cost a request.
    pub fn record_failed_check(&mut self, entry: &Entry, now: Moment) {
        let evidence = self.evidence.entry(Arc::clone(&entry.service)).or_default();
        evidence.suspect(now);
    }

    /// Records that another instance reached an endpoint of a service right before a probe of this one failed to, which
    /// confirms a suspicion.
    pub fn confirm(&mut self, service: &str) {
        if let Some(evidence) = self.evidence.get_mut(service)
            && evidence.links == Links::Suspected
        {
            evidence.links = Links::Down;
        }
    }

    /// Forgets the endpoints that are not listed.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.unreachable.retain(|endpoint| is_listed(endpoint));
        self.closed.retain(|endpoint| is_listed(endpoint));
        self.detoured.retain(|endpoint| is_listed(endpoint));
        self.down.retain(|endpoint, _| is_listed(endpoint));
        for evidence in self.evidence.values_mut() {
            evidence.failed.retain(|endpoint| is_listed(endpoint));
            evidence.silent.retain(|endpoint| is_listed(endpoint));
        }
    }

    /// Returns whether the last new connection to an endpoint failed.
    pub fn is_unreachable(&self, endpoint: &str) -> bool {
        self.unreachable.contains(endpoint)
    }

    /// Returns the number of endpoints to which the last new connection failed.
    pub fn unreachable_count(&self) -> usize {
        self.unreachable.len()
    }

    /// Returns the number of single endpoints that only other instances reach.
    pub fn detoured_count(&self) -> usize {
        self.detoured.len()
    }

    /// Returns the number of services to whose endpoints the links are down.
    pub fn down_count(&self) -> usize {
        let evidence = self.evidence.values();
        evidence
            .filter(|evidence| evidence.links == Links::Down)
            .count()
    }

    /// Returns the time since any endpoint answered; `None` if none ever has.
    pub fn answer_age(&self, now: Moment) -> Option<Duration> {
        let answers = self.evidence.values();
        let last = answers.filter_map(|evidence| evidence.last_answer).max();
        last.map(|at| now.since(at))
    }
}
