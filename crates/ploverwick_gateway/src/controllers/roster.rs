//! Follows the list of endpoints.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_endpoints::{Absence, State as EndpointState};
use ploverwick_platform::store::Record;
use ploverwick_platform::{ROSTER, roster};

use super::feed::{self, Feed, News};
use crate::shared::Shared;

/// The pause between reads. Each heartbeat of an endpoint is a record, so that a read that waits
/// for the next one would return at once; a leave must be seen well within the drain time.
const PAUSE: Duration = Duration::from_millis(850);

#[derive(Debug)]
struct Follower {
    shared: Arc<Shared>,
    absence: Absence,
}

/// Follows the list for as long as the process runs.
pub(crate) async fn follow(shared: Arc<Shared>) {
    let mut follower = Follower {
        shared: Arc::clone(&shared),
        absence: Absence::default(),
    };
    let feed = Feed {
        topic: ROSTER,
        what: "endpoint list",
        wait: Duration::ZERO,
        pause: PAUSE,
        hint: None,
    };
    feed::follow(&shared, feed, |news| {
        let now = follower.shared.now();
        match news {
            News::Away => {
                follower.absence.store_away();
                return;
            }
            News::Whole(records) => {
                follower.absence.store_read(now);
                follower.replace(records);
            }
            News::Next(records) => {
                follower.absence.store_read(now);
                follower.take(records);
            }
        }
        follower.settle();
    })
    .await;
}

impl Follower {
    fn replace(&mut self, records: &[Record]) {
        self.take(records);
        let listed: HashSet<&str> = records.iter().map(|record| &*record.key).collect();
        let state = self.shared.state();
        let known = state.fleet.entries().map(|entry| Arc::clone(&entry.id));
        let absent: Vec<Arc<str>> = known.filter(|id| !listed.contains(&**id)).collect();
        drop(state);
        for id in absent {
            self.miss(&id);
        }
        self.shared.state().has_roster = true;
    }

    fn take(&mut self, records: &[Record]) {
        for record in records {
            match &record.value {
                Some(value) => self.put(&record.key, value),
                None => self.miss(&Arc::from(&*record.key)),
            }
        }
        self.shared.orders.notify_waiters();
        self.shared.placed.notify_waiters();
    }

    fn put(&mut self, id: &str, value: &[u8]) {
        let entry = match roster::entry(id, value) {
            Ok(entry) => entry,
            Err(error) => {
                spdlog::warn!("endpoint_malformed endpoint={} cause=\"{}\"", id, error);
                return;
            }
        };
        self.absence.seen(&entry.id);
        let now = self.shared.now();
        let mut state = self.shared.state();
        let before = state.fleet.entry(id).map(|entry| entry.state);
        if before != Some(entry.state) {
            spdlog::info!(
                "endpoint_listed endpoint={} service={} address={} domain={} state={:?}",
                id,
                entry.service,
                entry.address,
                entry.domain,
                entry.state
            );
        }
        let copies = roster::copies(&entry.held);
        state.directory.listed(&entry.id, copies, now);
        if entry.state == EndpointState::Draining {
            state.placer.remove(id);
        }
        state.fleet.put(entry);
    }

    /// An endpoint is missing: it is gone, or the store has forgotten it in an outage.
    fn miss(&mut self, id: &Arc<str>) {
        let now = self.shared.now();
        if self.absence.miss(id, now) {
            self.remove(id);
        }
    }

    fn settle(&mut self) {
        let now = self.shared.now();
        for id in self.absence.due(now) {
            self.remove(&id);
        }
    }

    fn remove(&self, id: &Arc<str>) {
        let mut state = self.shared.state();
        if !state.fleet.remove(id) {
            return;
        }
        state.directory.remove(id);
        state.placer.remove(id);
        drop(state);
        self.shared.pool.remove(id);
        spdlog::info!("endpoint_gone endpoint={}", id);
    }
}
