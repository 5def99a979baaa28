//! Follows the list of endpoints.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use ploverwick_endpoints::{Absences, Entry, Heartbeat, Heartbeats, State as EndpointState};
use ploverwick_platform::store::{Error, Record};
use ploverwick_platform::{ROSTER_TOPIC, roster};
use ploverwick_topics::Position;

use super::feed::{self, Feed, News};
use super::{starting, until_back};
use crate::handover::{SnapshotRequest, SnapshotResponse};
use crate::logging::Outage;
use crate::shared::Shared;
use crate::state::State;
use crate::tell;

/// The pause between reads. Each heartbeat of an endpoint is a record, so that a read that waits
/// for the next one would return at once; a leave must be seen well within the drain time.
const PAUSE: Duration = Duration::from_millis(850);

/// The records before the list that are read with it for each endpoint on it, so that a heartbeat which
/// came after its endpoint left is told from one that is new: each writes one in about 1.2 s.
const PAST: u64 = 4;

#[derive(Debug)]
struct Follower {
    shared: Arc<Shared>,
    absences: Absences,
    /// The lines that were told to the peers of this failure domain.
    told: HashMap<Arc<str>, Entry>,
    /// The newest heartbeat of each endpoint by the platform's name for it: an older one may arrive after
    /// it, also when its endpoint has left.
    heartbeats: Heartbeats,
}

/// How often the list is looked at again of which a peer tells.
const LOOK: Duration = Duration::from_millis(200);
/// How long a peer's word on the list counts. With a read's pause and this one a leave is known
/// within the drain time also if that peer falls silent.
const TOLD: Duration = Duration::from_millis(1_200);
/// How much longer each next instance by name waits before it reads itself: the first that can read
/// tells the others.
const TURN: Duration = Duration::from_millis(40);
/// The most turns that are waited for, so that a leave is known within the drain time all the same.
const MOST_TURNS: usize = 6;

/// Returns whether a peer of this failure domain tells what the list holds. One reader for each
/// domain spares the store the others' calls; it is the placer, or whoever can read while that one
/// cannot.
fn is_told(shared: &Shared) -> bool {
    let now = shared.now();
    let state = shared.state();
    if state.placer_lease.is_held(now) {
        return false;
    }
    let turns = state.rank(&shared.settings, now).min(MOST_TURNS);
    let limit = TOLD + TURN * u32::try_from(turns).unwrap_or_default();
    state
        .roster_confirmed_at
        .is_some_and(|at| now.since(at) < limit)
}

/// Follows the list for as long as the process runs.
pub(crate) async fn follow(shared: Arc<Shared>) {
    let mut follower = Follower {
        shared: Arc::clone(&shared),
        absences: Absences::default(),
        told: HashMap::new(),
        heartbeats: Heartbeats::default(),
    };
    let feed = Feed {
        topic: ROSTER_TOPIC,
        what: "endpoint list",
        wait: Duration::ZERO,
        pause: PAUSE,
        hint: None,
        past: PAST,
    };
    ask_peers(&shared).await;
    let mut outage = Outage::new(feed.what);
    let mut next: Option<Position> = None;
    loop {
        if is_told(&shared) {
            // Whatever comes meanwhile is read anew as a whole.
            next = None;
            tokio::time::sleep(LOOK).await;
            continue;
        }
        let mut take = |news: News<'_>| follower.hear(news);
        match feed::read(&shared, &feed, next, feed.wait, &mut take).await {
            Ok(end) => {
                next = Some(end);
                outage.record_success();
                shared.store_unavailable.send_replace(false);
                tokio::time::sleep(feed.pause).await;
            }
            Err(Error::Expired) => {
                spdlog::info!("history_lost topic={}", feed.topic);
                next = None;
            }
            Err(Error::Restored) => {
                spdlog::info!(
                    "history_restored topic={} era={}",
                    feed.topic,
                    shared.store.era()
                );
                // The restored list may lack endpoints that are still running; they write their entries again.
                follower.absences.record_store_failure();
                next = None;
            }
            Err(error) => {
                outage.record_failure(&error);
                follower.absences.record_store_failure();
                shared.store_unavailable.send_replace(true);
                if shared.state().has_roster {
                    until_back(&shared).await;
                } else {
                    ask_peers(&shared).await;
                }
            }
        }
    }
}

impl Follower {
    fn hear(&mut self, news: News<'_>) {
        let now = self.shared.now();
        match news {
            News::Asking | News::Told { .. } | News::ToldWhole { .. } => return,
            News::Away => return self.absences.record_store_failure(),
            News::Past { records } => return self.recall(records),
            News::Whole { records } => {
                self.absences.record_store_read(now);
                self.replace(records);
            }
            News::Next { records, .. } => {
                self.absences.record_store_read(now);
                self.take(records);
            }
        }
        self.settle();
        self.tell();
    }

    /// Takes in the heartbeats before those that stand on the list, so that a late one is told apart.
    fn recall(&mut self, records: &[Record]) {
        for record in records {
            let Some(value) = &record.value else {
                self.heartbeats.record_departure(&record.key);
                continue;
            };
            // What cannot be read is logged when the list itself is taken in.
            if let Ok(entry) = roster::decode_entry(&record.key, value) {
                let instance = Arc::from(&*record.key);
                self.heartbeats.record(&instance, heartbeat(&entry), true);
            }
        }
    }

    fn replace(&mut self, records: &[Record]) {
        self.take(records);
        let listed: HashSet<&str> = records.iter().map(|record| &*record.key).collect();
        let state = self.shared.state();
        let known = state.fleet.entries().map(|entry| Arc::clone(&entry.id));
        let absent = known.filter(|id| !listed.contains(roster::platform_id(id)));
        let absent: Vec<Arc<str>> = absent.collect();
        drop(state);
        for id in absent {
            self.heartbeats.record_departure(roster::platform_id(&id));
            self.miss(&id);
        }
        spdlog::info!("endpoints_read count={}", listed.len());
        self.shared.state().has_roster = true;
    }

    fn take(&mut self, records: &[Record]) {
        for record in records {
            match &record.value {
                Some(value) => self.put(&record.key, value),
                None => self.leave(&record.key),
            }
        }
        self.shared.orders_changed.notify_waiters();
        self.shared.placement_changed.notify_waiters();
    }

    fn put(&mut self, instance: &str, value: &[u8]) {
        let entry = match roster::decode_entry(instance, value) {
            Ok(entry) => entry,
            Err(error) => return self.pass_over(instance, &error),
        };
        let instance = Arc::from(instance);
        let is_listed = self.shared.state().fleet.entry(&entry.id).is_some();
        if !self
            .heartbeats
            .record(&instance, heartbeat(&entry), is_listed)
        {
            spdlog::info!("heartbeat_old endpoint={} beat={}", entry.id, entry.beat);
            return;
        }
        self.absences.record_listed(&entry.id);
        for earlier in lives(&self.shared, &instance) {
            if earlier != entry.id {
                self.absences.record_listed(&earlier);
                remove(&self.shared, &earlier);
            }
        }
        let now = self.shared.now();
        let copies = roster::copies(&entry.held);
        let mut state = self.shared.state();
        state.directory.apply_listing(&entry.id, copies, now);
        drop(state);
        put(&self.shared, entry);
    }

    /// Logs another writer's entry, which names no endpoint; what is known of the others holds.
    fn pass_over(&self, instance: &str, error: &roster::Error) {
        if self.shared.log_limiter.allow(self.shared.now()) {
            spdlog::warn!(
                "endpoint_malformed endpoint={} cause=\"{}\"",
                instance,
                error
            );
        }
    }

    fn leave(&mut self, instance: &str) {
        self.heartbeats.record_departure(instance);
        for id in lives(&self.shared, instance) {
            self.miss(&id);
        }
    }

    /// Tells the peers of this failure domain what changed; the digest shows them whether they have
    /// all of it.
    fn tell(&mut self) {
        let state = self.shared.state();
        let lines = state.fleet.entries().map(brief);
        let lines: HashMap<Arc<str>, Entry> = lines.map(|e| (Arc::clone(&e.id), e)).collect();
        let digest = state.fleet.digest();
        drop(state);
        let changed = lines.values().filter(|e| self.told.get(&e.id) != Some(*e));
        let changed: Vec<Entry> = changed.cloned().collect();
        let gone = self.told.keys().filter(|id| !lines.contains_key(*id));
        let gone: Vec<Arc<str>> = gone.cloned().collect();
        self.told = lines;
        tell::list(&self.shared, changed, gone, digest);
    }

    /// An endpoint is missing: it is gone, or the store has forgotten it in an outage.
    fn miss(&mut self, id: &Arc<str>) {
        let now = self.shared.now();
        if self.absences.record_missing(id, now) {
            remove(&self.shared, id);
        }
    }

    fn settle(&mut self) {
        let now = self.shared.now();
        for id in self.absences.remove_expired(now) {
            remove(&self.shared, &id);
        }
    }
}

/// Takes in what the reader of this failure domain tells; its word counts if the lists agree then.
pub(crate) fn told(shared: &Shared, changed: Vec<Entry>, gone: &[Arc<str>], digest: u64) {
    for entry in changed {
        put(shared, entry);
    }
    for id in gone {
        remove(shared, id);
    }
    let now = shared.now();
    let mut state = shared.state();
    // A list that was never read, or a lost message, is mended by a read of one's own.
    if state.has_roster && state.fleet.digest() == digest {
        state.roster_confirmed_at = Some(now);
    }
    drop(state);
    shared.orders_changed.notify_waiters();
    shared.placement_changed.notify_waiters();
}

/// Asks peers for the list; one that the store is to be asked for comes a moment later.
async fn ask_peers(shared: &Shared) {
    match starting::ask(shared, SnapshotRequest::List).await {
        Some(SnapshotResponse::List(entries)) => take_whole(shared, entries),
        Some(SnapshotResponse::Topic(_) | SnapshotResponse::NotReady) => {}
        None => tokio::time::sleep(LOOK).await,
    }
}

/// Takes in the list as a peer has it.
fn take_whole(shared: &Shared, entries: Vec<Entry>) {
    let now = shared.now();
    for entry in entries {
        let copies = roster::copies(&entry.held);
        shared
            .state()
            .directory
            .apply_listing(&entry.id, copies, now);
        put(shared, entry);
    }
    let mut state = shared.state();
    state.has_roster = true;
    state.roster_confirmed_at = Some(now);
    drop(state);
    shared.orders_changed.notify_waiters();
    shared.placement_changed.notify_waiters();
}

/// Returns a line without the adapters, of which placers tell by themselves.
fn brief(entry: &Entry) -> Entry {
    let mut entry = entry.clone();
    for held in &mut entry.held {
        held.adapters.clear();
    }
    entry.beat = 0;
    entry
}

/// Lists the lives of an endpoint that are known; one, but for a moment after it started again.
fn lives(shared: &Shared, instance: &str) -> Vec<Arc<str>> {
    shared.state().incarnations.of(instance).to_vec()
}

fn heartbeat(entry: &Entry) -> Heartbeat {
    Heartbeat {
        born: entry.born,
        number: entry.beat,
    }
}

fn put(shared: &Shared, entry: Entry) {
    let mut state = shared.state();
    if is_over(&state, &entry) {
        return;
    }
    let id = Arc::clone(&entry.id);
    let before = state.fleet.entry(&id).map(|entry| entry.state);
    state.incarnations.add(&id);
    state.fleet.put(entry);
    let entry = state.fleet.entry(&id).expect("the entry was just added");
    // A list that is read as a whole is told by its length: one line each takes a start's processor.
    if before != Some(entry.state) && state.has_roster {
        spdlog::info!(
            "endpoint_listed endpoint={} service={} address={} domain={} state={:?}",
            entry.id,
            entry.service,
            entry.address,
            entry.domain,
            entry.state
        );
    }
    if entry.state == EndpointState::Draining {
        state.placer.remove(&id);
    }
}

/// Returns whether a later life of an endpoint is known: a peer's late word may be of an earlier one.
fn is_over(state: &State, entry: &Entry) -> bool {
    let lives = state.incarnations.of(roster::platform_id(&entry.id)).iter();
    let mut lives = lives.filter_map(|id| state.fleet.entry(id));
    lives.any(|other| other.born > entry.born)
}

fn remove(shared: &Shared, id: &Arc<str>) {
    let mut state = shared.state();
    if !state.fleet.remove(id) {
        return;
    }
    state.limits.remove(id);
    state.pauses.remove(id);
    state.departures.remove(id);
    state.incarnations.remove(id);
    state.directory.remove(id);
    state.placer.remove(id);
    drop(state);
    shared.pool.remove(id);
    spdlog::info!("endpoint_gone endpoint={}", id);
}
