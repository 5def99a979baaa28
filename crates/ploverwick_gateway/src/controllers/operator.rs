//! Follows what the operator writes: the configuration and declared adapter versions.

use std::sync::Arc;
use std::time::Duration;

use ploverwick_adapters::Since;
use ploverwick_platform::store::Record;
use ploverwick_platform::{CONFIG_KEY, OPERATOR_TOPIC, config, version};
use ploverwick_routes::{Config, Organisations};

use super::feed::{Feed, News};
use super::topic;
use crate::metrics;
use crate::shared::Shared;
use crate::topics::Topic;

/// How long a read waits for a record, near the longest that the store allows: each return is a
/// call. A silent connection breaks by itself, and peers that have read further tell.
const WAIT: Duration = Duration::from_secs(28);

/// Follows the operator's topic for as long as the process runs.
pub(crate) async fn follow(shared: Arc<Shared>) {
    let feed = Feed {
        topic: OPERATOR_TOPIC,
        what: "operator topic",
        wait: WAIT,
        pause: Duration::ZERO,
        past: 0,
        hint: Some(&shared.inboxes.of(Topic::Operator).end),
    };
    topic::follow(&shared, Topic::Operator, feed, |news| take(&shared, news)).await;
}

fn take(shared: &Arc<Shared>, news: News<'_>) {
    let now = shared.now();
    let mut state = shared.state();
    // A read may bring what another one missed, so that only its last record is as new as the read.
    let earlier = state.watermark.unread();
    let (records, last) = match news {
        News::Past { .. } => return,
        News::ToldWhole { records } => {
            drop(state);
            for record in records {
                take_record(shared, record, Since::LongAgo);
            }
            return;
        }
        News::Told { records, ages } => {
            drop(state);
            return take_told(shared, records, ages);
        }
        News::Asking => return state.watermark.begin_read(now),
        News::Away => return state.watermark.fail_read(),
        News::Whole { records } => (records, state.watermark.finish_full_read()),
        News::Next {
            records, was_woken, ..
        } => {
            if !was_woken && !records.is_empty() {
                state.watermark.fail_read();
            }
            (records, state.watermark.finish_tail_read(now))
        }
    };
    drop(state);
    for (index, record) in records.iter().enumerate() {
        let is_last = index + 1 == records.len();
        let since = if is_last { last } else { earlier };
        take_record(shared, record, since);
    }
}

/// Takes in what a peer read, each record as old as it can be.
fn take_told(shared: &Arc<Shared>, records: &[Record], ages: &[Option<Duration>]) {
    for (record, age) in records.iter().zip(ages) {
        let since = shared.state().watermark.apply_relayed(*age);
        take_record(shared, record, since);
    }
}

fn take_record(shared: &Arc<Shared>, record: &Record, since: Since) {
    let Some(value) = &record.value else {
        return;
    };
    if record.key == CONFIG_KEY {
        take_config(shared, value);
    } else {
        take_version(shared, record, value, since);
    }
}

fn take_config(shared: &Shared, value: &[u8]) {
    let config = match config::decode(value) {
        Ok(config) => Arc::new(config),
        Err(error) => {
            spdlog::error!("config_malformed cause=\"{}\"", error);
            return;
        }
    };
    let mut state = shared.state();
    let known = state.config.as_ref().map(|config| config.version);
    // A configuration never goes back while the process runs.
    if known.is_some_and(|known| known >= config.version) {
        return;
    }
    spdlog::info!(
        "config_in_force version={} before={:?}",
        config.version,
        known
    );
    let faults = config
        .organisations()
        .map_or(&[][..], Organisations::errors);
    for fault in faults {
        spdlog::error!("organisation_malformed cause=\"{}\"", fault);
    }
    state.config = Some(Arc::clone(&config));
    drop(state);
    show_quotas(&config);
    shared.orders_changed.notify_waiters();
}

fn show_quotas(config: &Config) {
    let organisations = config.organisations().into_iter();
    for organisation in organisations.flat_map(Organisations::iter) {
        if let Some(quota) = &organisation.quota {
            metrics::quota(&organisation.name, quota.rate, quota.burst);
        }
    }
}

fn take_version(shared: &Arc<Shared>, record: &Record, value: &[u8], since: Since) {
    let copy = match version::decode(&record.key, value) {
        Ok(Some(copy)) => copy,
        Ok(None) => return,
        Err(error) => {
            spdlog::error!("version_malformed key={} cause=\"{}\"", record.key, error);
            return;
        }
    };
    let now = shared.now();
    let mut state = shared.state();
    if !state.directory.declare(copy.clone(), since) {
        return;
    }
    let held_older = state.directory.newest_held_below(&copy.key, copy.version);
    drop(state);
    // Requests that were sent for an older version are held to the bound from now on.
    shared.version_declared.notify_waiters();
    spdlog::info!(
        "version_declared adapter={} version={} older_held={:?} offset={} at={} since={:?}",
        copy.key,
        copy.version,
        held_older,
        record.offset,
        now.0,
        since
    );
    // What is in use is loaded before the next request asks for it.
    if held_older.is_some() {
        super::demand::renew(shared, &copy);
    }
}
