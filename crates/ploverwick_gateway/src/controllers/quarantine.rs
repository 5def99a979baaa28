//! Keeps what all instances know of requests that crash endpoints.
//!
//! A crash is told to all at once, as the next attempt may come to any of them. What is refused is written to
//! the store too, for instances that start when no other one runs, and for operators.

use std::sync::Arc;
use std::time::Duration;

use ploverwick_platform::QUARANTINE_TOPIC;
use ploverwick_platform::quarantine::{decode, encode};
use ploverwick_platform::store::Record;
use ploverwick_quarantine::{Change, Crash, Entry, Fingerprint, Suspect};

use super::feed::{Feed, News};
use super::{Backoff, topic};
use crate::metrics;
use crate::quarantine::unix_ms;
use crate::shared::Shared;
use crate::topics::Topic;

/// How long a read waits for a record, near the longest that the store allows: each return is a call.
const WAIT: Duration = Duration::from_secs(28);

/// Takes in that an endpoint crashed while it ran these requests.
pub(super) fn record_crash(shared: &Arc<Shared>, life: &Arc<str>, suspects: &[Suspect]) {
    let crash = Crash::of(life);
    let now = shared.now();
    for suspect in suspects {
        let (change, entry) =
            shared
                .state()
                .quarantine
                .record_crash(suspect.fingerprint, crash, now);
        spdlog::info!(
            "crash_recorded fingerprint={} id={} endpoint={} crashes={} change={:?}",
            suspect.fingerprint,
            suspect.id,
            life,
            entry.crashes.len(),
            change
        );
        if change == Change::Refused {
            count(shared);
            publish(shared, &entry);
        }
        if change != Change::Unchanged {
            shared.quarantine_updates.add(suspect.fingerprint);
        }
    }
}

/// Takes in that a request succeeded.
pub(crate) fn reset(shared: &Arc<Shared>, fingerprint: &Fingerprint, id: &str) {
    let now = shared.now();
    let cleared = shared.state().quarantine.reset(fingerprint, now);
    let Some((change, entry)) = cleared else {
        return;
    };
    spdlog::info!(
        "crashes_reset fingerprint={} id={} change={:?}",
        fingerprint,
        id,
        change
    );
    if change == Change::Released {
        count(shared);
        publish(shared, &entry);
    }
    shared.quarantine_updates.add(*fingerprint);
}

/// Takes in what another instance tells, or the store; `source` says who, for the log.
pub(crate) fn hear(shared: &Arc<Shared>, entries: &[Entry], source: &dyn std::fmt::Display) {
    let now = shared.now();
    for entry in entries {
        let mut state = shared.state();
        let change = state.quarantine.merge(entry, now);
        let is_observed_locally = state.quarantine.is_observed_locally(&entry.fingerprint);
        let entry = state.quarantine.entry(&entry.fingerprint, now);
        drop(state);
        match change {
            Change::Unchanged | Change::Updated => continue,
            Change::Refused | Change::Released => {}
        }
        spdlog::info!(
            "quarantine_told fingerprint={} change={:?} crashes={} by={}",
            entry.fingerprint,
            change,
            entry.crashes.len(),
            source
        );
        count(shared);
        // Those that saw a crash write it down; a repeat changes nothing.
        if change == Change::Refused && is_observed_locally {
            publish(shared, &entry);
        }
    }
}

/// Drops what has lapsed.
pub(crate) fn sweep(shared: &Shared) {
    let now = shared.now();
    let lapsed = shared.state().quarantine.remove_expired(now);
    for fingerprint in &lapsed {
        spdlog::info!("quarantine_lapsed fingerprint={}", fingerprint);
    }
    if !lapsed.is_empty() {
        count(shared);
    }
}

fn count(shared: &Shared) {
    metrics::quarantined(shared.state().quarantine.refused());
}

/// Writes an entry to the store, again while the store is away.
fn publish(shared: &Arc<Shared>, entry: &Entry) {
    let shared = Arc::clone(shared);
    let (key, value) = encode(entry, unix_ms());
    tokio::spawn(async move {
        let mut backoff = Backoff::new();
        while let Err(error) = shared.store.put(QUARANTINE_TOPIC, &key, Some(&value)).await {
            spdlog::warn!(
                "quarantine_unwritten fingerprint={} cause=\"{}\"",
                key,
                error
            );
            backoff.pause(&shared).await;
        }
    });
}

/// Follows the topic for as long as the process runs.
pub(crate) async fn follow(shared: Arc<Shared>) {
    let feed = Feed {
        topic: QUARANTINE_TOPIC,
        what: "quarantine topic",
        wait: WAIT,
        pause: Duration::ZERO,
        past: 0,
        hint: Some(&shared.inboxes.of(Topic::Quarantine).end),
    };
    topic::follow(&shared, Topic::Quarantine, feed, |news| match news {
        News::Whole { records }
        | News::ToldWhole { records }
        | News::Next { records, .. }
        | News::Told { records, .. } => read(&shared, records),
        News::Asking | News::Away | News::Past { .. } => {}
    })
    .await;
}

fn read(shared: &Arc<Shared>, records: &[Record]) {
    let now_ms = unix_ms();
    let mut entries = Vec::new();
    for record in records {
        match decode(record, now_ms) {
            Ok(entry) => entries.extend(entry),
            Err(error) => {
                spdlog::warn!(
                    "quarantine_malformed key={} cause=\"{}\"",
                    record.key,
                    error
                );
            }
        }
    }
    hear(shared, &entries, &"store");
}
