//! Tracks the requests that crash endpoints, in agreement with all instances.
//!
//! A crash is broadcast at once, because any instance may receive the next attempt. Refused requests are also
//! written to the store, for instances that start while no other one runs, and for operators.

use std::sync::Arc;
use std::time::Duration;

use ploverwick_platform::QUARANTINE_TOPIC;
use ploverwick_platform::quarantine::{decode, encode};
use ploverwick_platform::store::Record;
use ploverwick_quarantine::{Change, Crash, Entry, Fingerprint, Suspect, Tally};

use super::feed::{Feed, Update};
use super::{Backoff, topic};
use crate::metrics;
use crate::quarantine::unix_ms;
use crate::shared::Shared;
use crate::topics::Topic;

/// The timeout of a long poll, close to the maximum that the store allows, because each return costs a call.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(28);

/// Records that an endpoint crashed while it ran these requests.
pub(super) fn record_crash(shared: &Arc<Shared>, endpoint: &Arc<str>, suspects: &[Suspect]) {
    let crash = Crash::of(endpoint);
    let now = shared.now();
    spdlog::info!(
        "crash_parts endpoint={} requests={} parts={}",
        endpoint,
        suspects.len(),
        Tally::of(suspects)
    );
    for suspect in suspects {
        let (change, entry) =
            shared
                .state()
                .quarantine
                .record_crash(suspect.fingerprint, crash, now);
        spdlog::info!(
            "crash_recorded fingerprint={} id={} route={} adapter={} parts={} endpoint={} crashes={} change={:?}",
            suspect.fingerprint,
            suspect.id,
            suspect.route,
            suspect.adapter,
            Tally::of(std::slice::from_ref(suspect)),
            endpoint,
            entry.crashes.len(),
            change
        );
        if change == Change::Refused {
            update_metric(shared);
            publish(shared, &entry);
        }
        if change != Change::Unchanged {
            shared.quarantine_updates.add(suspect.fingerprint);
        }
    }
}

/// Handles the success of a request, which clears the crashes counted against it.
pub(crate) fn handle_success(shared: &Arc<Shared>, fingerprint: &Fingerprint, id: &str) {
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
        update_metric(shared);
        publish(shared, &entry);
    }
    shared.quarantine_updates.add(*fingerprint);
}

/// Applies entries from another instance or from the store; `source` identifies the sender in the log.
pub(crate) fn apply_entries(
    shared: &Arc<Shared>,
    entries: &[Entry],
    source: &dyn std::fmt::Display,
) {
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
        update_metric(shared);
        // Instances that observed a crash write the entry to the store. Writing it more than once has no
        // effect.
        if change == Change::Refused && is_observed_locally {
            publish(shared, &entry);
        }
    }
}

/// Removes expired entries.
pub(crate) fn remove_expired(shared: &Shared) {
    let now = shared.now();
    let expired = shared.state().quarantine.remove_expired(now);
    for fingerprint in &expired {
        spdlog::info!("quarantine_lapsed fingerprint={}", fingerprint);
    }
    if !expired.is_empty() {
        update_metric(shared);
    }
}

fn update_metric(shared: &Shared) {
    metrics::quarantined(shared.state().quarantine.refused());
}

/// Writes an entry to the store in the background, and retries while the store is unavailable.
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
        description: "quarantine topic",
        wait: LONG_POLL_TIMEOUT,
        delay: Duration::ZERO,
        history_per_key: 0,
        reported_end: Some(&shared.inboxes.of(Topic::Quarantine).end),
    };
    topic::follow(&shared, Topic::Quarantine, feed, |update| match update {
        Update::Snapshot { records }
        | Update::PeerSnapshot { records }
        | Update::Records { records, .. }
        | Update::PeerRecords { records, .. } => handle_records(&shared, records),
        Update::ReadStarted | Update::ReadFailed | Update::History { .. } => {}
    })
    .await;
}

fn handle_records(shared: &Arc<Shared>, records: &[Record]) {
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
    apply_entries(shared, &entries, &"store");
}
