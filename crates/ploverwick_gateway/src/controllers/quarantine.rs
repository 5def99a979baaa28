//! Tracks the requests and the parts of prompts that crash endpoints, in agreement with all instances.
//!
//! A crash is broadcast at once, because any instance may receive the next attempt. What is refused is also
//! written to the store, for instances that start while no other one runs, and for operators.

use std::sync::Arc;
use std::time::Duration;

use ploverwick_platform::QUARANTINE_TOPIC;
use ploverwick_platform::quarantine::{Stored, decode, encode};
use ploverwick_platform::store::Record;
use ploverwick_quarantine::prompt::{self, Part, Tally};
use ploverwick_quarantine::{Change, Crash, Entry, Fingerprint, Suspect};

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
            handle_refusal(shared);
            publish(shared, &Stored::Request(entry));
        }
        if change != Change::Unchanged {
            shared.quarantine_updates.add(suspect.fingerprint);
        }
        for part in suspect.parts.iter() {
            record_prompt_crash(shared, suspect, *part, crash);
        }
    }
}

/// Records that an endpoint crashed while it ran a request that shares a part of its prompt.
fn record_prompt_crash(shared: &Arc<Shared>, suspect: &Suspect, part: Part, crash: Crash) {
    let now = shared.now();
    let (change, entry) = shared.state().prompt_quarantine.record_crash(
        part,
        &suspect.known,
        crash,
        suspect.caller,
        now,
    );
    if change == Change::Unchanged {
        return;
    }
    shared.quarantine_updates.add_part(part);
    // The first round is in `crash_parts`. It is common, as each crash has bystanders.
    if entry.is_near_threshold() {
        log_part(shared, &entry, suspect, change);
    }
    if entry.is_refused() {
        // A further crash may concern more callers, or be one that no other part explains.
        handle_refusal(shared);
        publish(shared, &Stored::Part(entry));
    }
}

fn log_part(shared: &Shared, entry: &prompt::Entry, suspect: &Suspect, change: Change) {
    let now = shared.now();
    let state = shared.state();
    let explanation = state
        .prompt_quarantine
        .explanation(&entry.part, &[entry.part], now);
    spdlog::info!(
        "part_suspected part={} id={} route={} adapter={} round={} crashes={} callers={} change={:?} explained_by={}",
        entry.part,
        suspect.id,
        suspect.route,
        suspect.adapter,
        entry.round(),
        entry.crashes.len(),
        entry.callers(),
        change,
        explanation.map_or_else(|| "-".to_owned(), |part| part.to_string())
    );
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
        publish(shared, &Stored::Request(entry));
    }
    shared.quarantine_updates.add(*fingerprint);
}

/// Handles the success of a request, which clears the crashes counted against the parts of its prompt.
pub(crate) fn handle_prompt_success(shared: &Arc<Shared>, parts: &[Part], id: &str) {
    let now = shared.now();
    for part in parts {
        let mut state = shared.state();
        let before = state.prompt_quarantine.entry(part, now);
        let cleared = state.prompt_quarantine.reset(part, now);
        drop(state);
        let Some((change, entry)) = cleared else {
            continue;
        };
        metrics::part_cleared();
        if before.is_near_threshold() {
            spdlog::info!(
                "part_cleared part={} id={} round={} change={:?}",
                part,
                id,
                before.round(),
                change
            );
        }
        if change == Change::Released {
            update_metric(shared);
            publish(shared, &Stored::Part(entry));
        }
        shared.quarantine_updates.add_part(*part);
    }
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
        handle_refusal(shared);
        // Instances that observed a crash write the entry to the store. Writing it more than once has no
        // effect.
        if change == Change::Refused && is_observed_locally {
            publish(shared, &Stored::Request(entry));
        }
    }
}

/// Like [`apply_entries`], for parts of prompts.
pub(crate) fn apply_prompt_entries(
    shared: &Arc<Shared>,
    entries: &[prompt::Entry],
    source: &dyn std::fmt::Display,
) {
    let now = shared.now();
    for entry in entries {
        let mut state = shared.state();
        let change = state.prompt_quarantine.merge(entry, now);
        let is_observed_locally = state.prompt_quarantine.is_observed_locally(&entry.part);
        let entry = state.prompt_quarantine.entry(&entry.part, now);
        drop(state);
        let is_relevant = match change {
            Change::Unchanged => false,
            Change::Updated => entry.is_refused(),
            Change::Refused | Change::Released => true,
        };
        if !is_relevant {
            continue;
        }
        spdlog::info!(
            "part_told part={} change={:?} round={} crashes={} callers={} by={}",
            entry.part,
            change,
            entry.round(),
            entry.crashes.len(),
            entry.callers(),
            source
        );
        handle_refusal(shared);
        if change == Change::Refused && is_observed_locally {
            publish(shared, &Stored::Part(entry));
        }
    }
}

/// Removes expired entries.
pub(crate) fn remove_expired(shared: &Shared) {
    let now = shared.now();
    let mut state = shared.state();
    let requests = state.quarantine.remove_expired(now);
    let parts = state.prompt_quarantine.remove_expired(now);
    drop(state);
    for fingerprint in &requests {
        spdlog::info!("quarantine_lapsed fingerprint={}", fingerprint);
    }
    for part in &parts {
        spdlog::info!("quarantine_lapsed part={}", part);
    }
    update_metric(shared);
}

/// Handles a change of what is refused.
fn handle_refusal(shared: &Shared) {
    update_metric(shared);
    shared.refusal_added.notify_waiters();
}

fn update_metric(shared: &Shared) {
    let now = shared.now();
    let state = shared.state();
    let parts = state.prompt_quarantine.refused(now);
    metrics::quarantined(state.quarantine.refused(now), parts);
}

/// Writes an entry to the store in the background, and retries while the store is unavailable.
fn publish(shared: &Arc<Shared>, entry: &Stored) {
    let shared = Arc::clone(shared);
    let (key, value) = encode(entry, unix_ms());
    tokio::spawn(async move {
        let mut backoff = Backoff::new();
        while let Err(error) = shared.store.put(QUARANTINE_TOPIC, &key, Some(&value)).await {
            spdlog::warn!("quarantine_unwritten key={} cause=\"{}\"", key, error);
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
    let mut requests = Vec::new();
    let mut parts = Vec::new();
    for record in records {
        match decode(record, now_ms) {
            Ok(Some(Stored::Request(entry))) => requests.push(entry),
            Ok(Some(Stored::Part(entry))) => parts.push(entry),
            Ok(None) => {}
            Err(error) => {
                spdlog::warn!(
                    "quarantine_malformed key={} cause=\"{}\"",
                    record.key,
                    error
                );
            }
        }
    }
    apply_entries(shared, &requests, &"store");
    apply_prompt_entries(shared, &parts, &"store");
}
