//! Keeps what all instances know of requests that end endpoints.
//!
//! A crash is told to all at once, as the next attempt may come to any of them. What is proved is written to
//! the store too, for those that start when nobody else runs, and for operators.

use std::sync::Arc;
use std::time::Duration;

use ploverwick_platform::QUARANTINE;
use ploverwick_platform::quarantine::{decode, encode};
use ploverwick_platform::store::Record;
use ploverwick_quarantine::{Case, Change, Crash, Fingerprint, Suspect};

use super::feed::{Feed, News};
use super::{Backoff, topic};
use crate::metrics;
use crate::quarantine::unix_ms;
use crate::shared::Shared;
use crate::topics::Topic;

/// How long a read waits for a record, near the longest that the store allows: each return is a call.
const WAIT: Duration = Duration::from_secs(28);

/// Takes in that an endpoint ended while it ran these requests.
pub(super) fn blame(shared: &Arc<Shared>, life: &Arc<str>, suspects: &[Suspect]) {
    let crash = Crash::of(life);
    let now = shared.now();
    for suspect in suspects {
        let (change, case) = shared
            .state()
            .quarantine
            .blame(suspect.fingerprint, crash, now);
        spdlog::info!(
            "request_blamed fingerprint={} id={} endpoint={} crashes={} change={:?}",
            suspect.fingerprint,
            suspect.id,
            life,
            case.crashes.len(),
            change
        );
        if change == Change::Refused {
            count(shared);
            publish(shared, &case);
        }
        if change != Change::Known {
            shared.case_news.add(suspect.fingerprint);
        }
    }
}

/// Takes in that a request came to a good end.
pub(crate) fn clear(shared: &Arc<Shared>, fingerprint: &Fingerprint, id: &str) {
    let now = shared.now();
    let cleared = shared.state().quarantine.clear(fingerprint, now);
    let Some((change, case)) = cleared else {
        return;
    };
    spdlog::info!(
        "request_cleared fingerprint={} id={} change={:?}",
        fingerprint,
        id,
        change
    );
    if change == Change::Released {
        count(shared);
        publish(shared, &case);
    }
    shared.case_news.add(*fingerprint);
}

/// Takes in what another instance tells, or the store; `source` says who, for the log.
pub(crate) fn hear(shared: &Arc<Shared>, cases: &[Case], source: &dyn std::fmt::Display) {
    let now = shared.now();
    for case in cases {
        let mut state = shared.state();
        let change = state.quarantine.take(case, now);
        let is_witness = state.quarantine.is_witness(&case.fingerprint);
        let case = state.quarantine.case(&case.fingerprint, now);
        drop(state);
        match change {
            Change::Known | Change::Noted => continue,
            Change::Refused | Change::Released => {}
        }
        spdlog::info!(
            "quarantine_told fingerprint={} change={:?} crashes={} by={}",
            case.fingerprint,
            change,
            case.crashes.len(),
            source
        );
        count(shared);
        // Those that saw a crash write down what the crashes prove together; a repeat changes nothing.
        if change == Change::Refused && is_witness {
            publish(shared, &case);
        }
    }
}

/// Drops what has lapsed.
pub(crate) fn sweep(shared: &Shared) {
    let now = shared.now();
    let lapsed = shared.state().quarantine.sweep(now);
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

/// Writes a case to the store, again while the store is away.
fn publish(shared: &Arc<Shared>, case: &Case) {
    let shared = Arc::clone(shared);
    let (key, value) = encode(case, unix_ms());
    tokio::spawn(async move {
        let mut backoff = Backoff::new();
        while let Err(error) = shared.store.put(QUARANTINE, &key, Some(&value)).await {
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
        topic: QUARANTINE,
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
    let mut cases = Vec::new();
    for record in records {
        match decode(record, now_ms) {
            Ok(case) => cases.extend(case),
            Err(error) => {
                spdlog::warn!(
                    "quarantine_malformed key={} cause=\"{}\"",
                    record.key,
                    error
                );
            }
        }
    }
    hear(shared, &cases, &"store");
}
