//! Follows the list of endpoints in the store.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_endpoints::list_updates::{self, Entries};
use ploverwick_endpoints::{
    Absences, Build, Entry, Heartbeat, Heartbeats, Serving, State as EndpointState,
};
use ploverwick_names::Moment;
use ploverwick_platform::store::{Error, Record};
use ploverwick_platform::{ENDPOINT_TOPIC, endpoint_list};
use ploverwick_topics::Position;

use super::feed::{self, Feed, Update};
use super::{bootstrap, wait_for_store};
use crate::broadcast;
use crate::logging::Outage;
use crate::shared::Shared;
use crate::snapshots::{SnapshotRequest, SnapshotResponse};
use crate::state::State;
/// The interval between reads. Each heartbeat of an endpoint is a record, so that a long poll would return at
/// once. A departure must be noticed well within the drain time.
const READ_INTERVAL: Duration = Duration::from_millis(850);

/// The longest read that confirms the list to others, so that they receive the confirmation within
/// [`MAX_CONFIRMATION_DELAY`](ploverwick_endpoints::build_history::MAX_CONFIRMATION_DELAY). The store answers later only in an outage.
const MAX_READ_TIME: Duration = Duration::from_millis(1_500);

/// The number of records to read before the snapshot, for each endpoint in it. They distinguish a heartbeat
/// that arrives after its endpoint has left from a new one. Each endpoint writes one record about every 1.2 s.
const HISTORY_PER_ENDPOINT: u64 = 4;

#[derive(Debug)]
struct Subscriber {
    shared: Arc<Shared>,
    absences: Absences,
    updates: list_updates::Sender,
    /// The newest heartbeat of each endpoint, by its platform ID. An older one may arrive later, even after
    /// its endpoint has left.
    heartbeats: Heartbeats,
    /// When the last read started.
    read_at: Moment,
}

/// How often an instance whose peer reads the list rechecks whether it still does, and the delay before a
/// failed request to peers is retried.
const RECHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How long a list that a peer confirmed counts as current. Together with the read interval and the recheck
/// interval, a departure is noticed within the drain time even if that peer goes silent.
const PEER_LIST_VALIDITY: Duration = Duration::from_millis(1_200);
/// The additional delay per rank before an instance reads the list itself, so that the first one that can
/// read it sends it to the others.
const READ_DELAY_PER_RANK: Duration = Duration::from_millis(40);
/// The maximum rank for that delay, so that a departure is still noticed within the drain time.
const MAX_DELAYED_RANKS: usize = 6;

/// Returns whether a peer of this failure domain reads the list and sends it to this instance. One reader per
/// domain saves calls to the store: the placer, or another instance if the placer cannot read.
fn is_peer_reading(shared: &Shared) -> bool {
    let now = shared.now();
    let state = shared.state();
    if state.placer_lease.is_held(now) {
        return false;
    }
    let rank = state.rank(&shared.settings, now).min(MAX_DELAYED_RANKS);
    let validity =
        PEER_LIST_VALIDITY + READ_DELAY_PER_RANK * u32::try_from(rank).unwrap_or_default();
    state
        .endpoint_list_confirmed_at
        .is_some_and(|at| now.since(at) < validity)
}

/// Follows the list for as long as the process runs.
pub(crate) async fn follow(shared: Arc<Shared>) {
    let mut subscriber = Subscriber {
        shared: Arc::clone(&shared),
        absences: Absences::default(),
        updates: list_updates::Sender::default(),
        heartbeats: Heartbeats::default(),
        read_at: shared.now(),
    };
    let feed = Feed {
        topic: ENDPOINT_TOPIC,
        description: "endpoint list",
        wait: Duration::ZERO,
        delay: READ_INTERVAL,
        reported_end: None,
        history_per_key: HISTORY_PER_ENDPOINT,
    };
    ask_peers(&shared).await;
    let mut outage = Outage::new(feed.description);
    let mut next: Option<Position> = None;
    loop {
        if is_peer_reading(&shared) {
            // Records may be missed in the meantime, so the next read starts from a snapshot.
            next = None;
            tokio::time::sleep(RECHECK_INTERVAL).await;
            continue;
        }
        if next.is_none() {
            subscriber.start_reading();
        }
        let mut handler = |update: Update<'_>| subscriber.handle_update(update);
        match feed::read(&shared, &feed, next, feed.wait, &mut handler).await {
            Ok(progress) => {
                next = Some(progress.next);
                // The store truncates long responses; the records that are missing may be of other endpoints.
                if progress.next >= progress.end {
                    subscriber.record_current();
                    subscriber.send_changes();
                }
                outage.record_success();
                shared.store_unavailable.send_replace(false);
                tokio::time::sleep(feed.delay).await;
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
                subscriber.absences.record_store_failure();
                next = None;
            }
            Err(error) => {
                outage.record_failure(&error);
                subscriber.absences.record_store_failure();
                shared.store_unavailable.send_replace(true);
                if shared.state().has_endpoint_list {
                    wait_for_store(&shared).await;
                } else {
                    ask_peers(&shared).await;
                }
            }
        }
    }
}

impl Subscriber {
    fn handle_update(&mut self, update: Update<'_>) {
        let now = self.shared.now();
        match update {
            Update::ReadStarted => {
                self.read_at = now;
                return;
            }
            Update::PeerRecords { .. } | Update::PeerSnapshot { .. } => return,
            Update::ReadFailed => return self.absences.record_store_failure(),
            Update::History { records } => return self.apply_history(records),
            Update::Snapshot { records } => {
                self.absences.record_store_read(now);
                self.apply_snapshot(records);
            }
            Update::Records { records, .. } => {
                self.absences.record_store_read(now);
                self.apply_records(records);
            }
        }
        self.remove_expired();
    }

    /// Records that the list was current when the read started, which reached the end of the topic.
    fn record_current(&self) {
        let now = self.shared.now();
        let mut state = self.shared.state();
        state.record_current_endpoint_list(self.read_at, now);
    }

    /// Starts to read for the peers of this failure domain.
    fn start_reading(&mut self) {
        let state = self.shared.state();
        let known = state.has_endpoint_list.then(|| entries(&state));
        self.updates.start(known);
    }

    /// Records the heartbeats before those on the list, to recognise late ones.
    fn apply_history(&mut self, records: &[Record]) {
        for record in records {
            let Some(value) = &record.value else {
                self.heartbeats.record_departure(&record.key);
                continue;
            };
            // Malformed entries are logged when the list itself is applied.
            if let Ok(entry) = endpoint_list::decode_entry(&record.key, value) {
                let platform_id = Arc::from(&*record.key);
                self.heartbeats
                    .record(&platform_id, heartbeat(&entry), true);
                let now = self.shared.now();
                let mut state = self.shared.state();
                state
                    .builds
                    .record_earlier(&entry.service, entry.build(), now);
            }
        }
    }

    fn apply_snapshot(&mut self, records: &[Record]) {
        self.apply_records(records);
        let listed: HashSet<&str> = records.iter().map(|record| &*record.key).collect();
        let state = self.shared.state();
        let known = state.fleet.entries().map(|entry| Arc::clone(&entry.id));
        let absent = known.filter(|id| !listed.contains(endpoint_list::platform_id(id)));
        let absent: Vec<Arc<str>> = absent.collect();
        drop(state);
        for id in absent {
            self.heartbeats
                .record_departure(endpoint_list::platform_id(&id));
            self.handle_missing(&id);
        }
        spdlog::info!("endpoints_read count={}", listed.len());
        self.shared.state().has_endpoint_list = true;
    }

    fn apply_records(&mut self, records: &[Record]) {
        for record in records {
            match &record.value {
                Some(value) => self.apply_entry(&record.key, value),
                None => self.handle_departure(&record.key),
            }
        }
        self.shared.orders_changed.notify_waiters();
        self.shared.placement_changed.notify_waiters();
    }

    fn apply_entry(&mut self, platform_id: &str, value: &[u8]) {
        let now = self.shared.now();
        let entry = match endpoint_list::decode_entry(platform_id, value) {
            Ok(entry) => entry,
            Err(error) => return self.log_malformed(platform_id, &error),
        };
        let platform_id = Arc::from(platform_id);
        let is_listed = self.shared.state().fleet.entry(&entry.id).is_some();
        if !self
            .heartbeats
            .record(&platform_id, heartbeat(&entry), is_listed)
        {
            spdlog::info!("heartbeat_old endpoint={} beat={}", entry.id, entry.beat);
            return;
        }
        self.absences.record_listed(&entry.id);
        for earlier in incarnations(&self.shared, &platform_id) {
            if earlier != entry.id {
                self.absences.record_listed(&earlier);
                remove(&self.shared, &earlier, now);
            }
        }
        let copies = endpoint_list::copies(&entry.held);
        let mut state = self.shared.state();
        state.directory.apply_list_entry(&entry.id, copies, now);
        drop(state);
        put(&self.shared, entry, now);
    }

    /// Logs a malformed entry of another writer. The other entries remain valid.
    fn log_malformed(&self, platform_id: &str, error: &endpoint_list::Error) {
        if self.shared.log_limiter.allow(self.shared.now()) {
            spdlog::warn!(
                "endpoint_malformed endpoint={} cause=\"{}\"",
                platform_id,
                error
            );
        }
    }

    fn handle_departure(&mut self, platform_id: &str) {
        self.heartbeats.record_departure(platform_id);
        for id in incarnations(&self.shared, platform_id) {
            self.handle_missing(&id);
        }
    }

    /// Sends the changes since the last call to the peers of this failure domain. The digest shows them
    /// whether their list is complete. After a read that took too long to confirm anything, they are left to the next one.
    fn send_changes(&mut self) {
        if self.shared.now().since(self.read_at) > MAX_READ_TIME {
            return;
        }
        let state = self.shared.state();
        let entries = entries(&state);
        let digest = state.fleet.digest();
        drop(state);
        let list_updates::Update { changed, removed } = self.updates.update(entries);
        broadcast::send_endpoint_list_update(&self.shared, changed, removed, digest);
    }

    /// Handles an endpoint that is not on the list: it has left, or the store lost its entry in an outage.
    fn handle_missing(&mut self, id: &Arc<str>) {
        let now = self.shared.now();
        if self.absences.record_missing(id, now) {
            remove(&self.shared, id, now);
        }
    }

    fn remove_expired(&mut self) {
        let now = self.shared.now();
        for id in self.absences.remove_expired(now) {
            remove(&self.shared, &id, now);
        }
    }
}

/// Handles list changes from the reader of this failure domain. They count as current only if the digests of
/// the lists match.
pub(crate) fn handle_peer_update(
    shared: &Shared,
    changed: Vec<Entry>,
    removed: &[Arc<str>],
    digest: u64,
) {
    let now = shared.now();
    for entry in changed {
        put(shared, entry, now);
    }
    for id in removed {
        remove(shared, id, now);
    }
    let mut state = shared.state();
    // If the list was never read or a message was lost, this instance reads the list itself.
    if state.has_endpoint_list && state.fleet.digest() == digest {
        state.endpoint_list_confirmed_at = Some(now);
        state.record_current_endpoint_list(now, now);
    }
    drop(state);
    shared.orders_changed.notify_waiters();
    shared.placement_changed.notify_waiters();
}

/// Asks peers for the list. If none can answer, waits before the caller continues with the store.
async fn ask_peers(shared: &Shared) {
    match bootstrap::fetch(shared, SnapshotRequest::List).await {
        Some(SnapshotResponse::List(entries)) => apply_peer_list(shared, entries),
        Some(SnapshotResponse::Topic(_) | SnapshotResponse::NotReady) => {}
        None => tokio::time::sleep(RECHECK_INTERVAL).await,
    }
}

/// Applies the list of a peer.
fn apply_peer_list(shared: &Shared, entries: Vec<Entry>) {
    let now = shared.now();
    for entry in entries {
        let copies = endpoint_list::copies(&entry.held);
        shared
            .state()
            .directory
            .apply_list_entry(&entry.id, copies, now);
        put(shared, entry, now);
    }
    let mut state = shared.state();
    state.has_endpoint_list = true;
    // The peer's list may be out of date, so it does not count as current.
    state.endpoint_list_confirmed_at = Some(now);
    drop(state);
    shared.orders_changed.notify_waiters();
    shared.placement_changed.notify_waiters();
}

/// Returns all entries of the list in the form in which they are sent to peers.
fn entries(state: &State) -> Entries {
    let entries = state.fleet.entries().map(without_adapters);
    entries
        .map(|entry| (Arc::clone(&entry.id), entry))
        .collect()
}

/// Returns an entry without its adapters, whose changes placers broadcast themselves, and without its
/// heartbeat number.
fn without_adapters(entry: &Entry) -> Entry {
    let mut entry = entry.clone();
    for held in &mut entry.held {
        held.adapters.clear();
    }
    entry.beat = 0;
    entry
}

/// Returns the known incarnations of an endpoint: one, except shortly after a restart.
fn incarnations(shared: &Shared, platform_id: &str) -> Vec<Arc<str>> {
    shared.state().incarnations.of(platform_id).to_vec()
}

fn heartbeat(entry: &Entry) -> Heartbeat {
    Heartbeat {
        born: entry.born,
        number: entry.beat,
    }
}

fn put(shared: &Shared, entry: Entry, now: Moment) {
    let mut state = shared.state();
    if is_superseded(&state, &entry) {
        return;
    }
    let id = Arc::clone(&entry.id);
    let listed = state.fleet.entry(&id);
    let before = listed.map(|entry| entry.state);
    let change = (listed.map(ServiceBuild::of), Some(ServiceBuild::of(&entry)));
    if record_build(&mut state, change, now) {
        shared.build_added.notify_one();
    }
    state.incarnations.add(&id);
    state.fleet.put(entry);
    let entry = state.fleet.entry(&id).expect("the entry was just added");
    // A snapshot is logged as a count only, because one line per entry would slow down the start.
    if before != Some(entry.state) && state.has_endpoint_list {
        spdlog::info!(
            "endpoint_listed endpoint={} service={} software={} address={} domain={} state={:?}",
            entry.id,
            entry.service,
            entry.software,
            entry.address,
            entry.domain,
            entry.state
        );
    }
    if entry.state == EndpointState::Draining {
        state.placer.remove(&id);
    }
}

/// The service and the build of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ServiceBuild {
    service: Arc<str>,
    build: Build,
}

impl ServiceBuild {
    fn of(entry: &Entry) -> Self {
        Self {
            service: Arc::clone(&entry.service),
            build: entry.build(),
        }
    }
}

/// Records how an endpoint changed in the history of builds: what it was before, and what it is now. Returns whether its
/// service now has several builds and had not before.
fn record_build(
    state: &mut State,
    change: (Option<ServiceBuild>, Option<ServiceBuild>),
    now: Moment,
) -> bool {
    let (before, after) = change;
    if before == after {
        return false;
    }
    let is_several = |state: &State| {
        let service = after.as_ref().map(|after| &after.service);
        service.is_some_and(|service| state.serving(service, now) == Serving::Several)
    };
    let was_several = is_several(state);
    if let Some(before) = &before {
        state.builds.remove(&before.service, before.build, now);
    }
    if let Some(after) = &after {
        let since = state.has_endpoint_list.then_some(now);
        state.builds.add(&after.service, after.build, since);
    }
    !was_several && is_several(state)
}

/// Returns whether a later incarnation of the endpoint is known, because a delayed message of a peer may be
/// about an earlier one.
fn is_superseded(state: &State, entry: &Entry) -> bool {
    let incarnations = state
        .incarnations
        .of(endpoint_list::platform_id(&entry.id))
        .iter();
    let mut incarnations = incarnations.filter_map(|id| state.fleet.entry(id));
    incarnations.any(|other| other.born > entry.born)
}

fn remove(shared: &Shared, id: &Arc<str>, now: Moment) {
    let mut state = shared.state();
    let listed = state.fleet.entry(id).map(ServiceBuild::of);
    if !state.fleet.remove(id) {
        return;
    }
    record_build(&mut state, (listed, None), now);
    state.limits.remove(id);
    state.pauses.remove(id);
    state.draining_reports.remove(id);
    state.incarnations.remove(id);
    state.directory.remove(id);
    state.placer.remove(id);
    drop(state);
    shared.pool.remove(id);
    spdlog::info!("endpoint_gone endpoint={}", id);
}
