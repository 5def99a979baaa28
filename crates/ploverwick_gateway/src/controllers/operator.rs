//! Follows what the operator writes: the configuration and declared adapter versions.

use std::sync::Arc;
use std::time::Duration;

use ploverwick_platform::store::Record;
use ploverwick_platform::{CONFIG_KEY, OPERATOR, config, version};

use super::feed::{self, Feed, News};
use crate::shared::Shared;

/// How long a read waits for a record, near the longest that the store allows: each return is a
/// call. A silent connection breaks by itself, and peers that have a newer configuration tell.
const WAIT: Duration = Duration::from_secs(28);

/// Follows the operator's topic for as long as the process runs.
pub(crate) async fn follow(shared: Arc<Shared>) {
    let feed = Feed {
        topic: OPERATOR,
        what: "operator topic",
        wait: WAIT,
        pause: Duration::ZERO,
        hint: Some(&shared.newer_config),
        is_told: feed::never,
    };
    feed::follow(&shared, feed, |news| match news {
        News::Whole(records) => take(&shared, records, "whole"),
        News::Next(records) => take(&shared, records, "next"),
        News::Away => {}
    })
    .await;
}

fn take(shared: &Arc<Shared>, records: &[Record], learned: &'static str) {
    for record in records {
        let Some(value) = &record.value else {
            continue;
        };
        if record.key == CONFIG_KEY {
            take_config(shared, value);
        } else {
            take_version(shared, record, value, learned);
        }
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
    state.config = Some(config);
    drop(state);
    shared.orders.notify_waiters();
}

fn take_version(shared: &Arc<Shared>, record: &Record, value: &[u8], learned: &'static str) {
    let key = &record.key;
    let copy = match version::decode(key, value) {
        Ok(Some(copy)) => copy,
        Ok(None) => return,
        Err(error) => {
            spdlog::error!("version_malformed key={} cause=\"{}\"", key, error);
            return;
        }
    };
    let now = shared.now();
    let mut state = shared.state();
    if !state.directory.declare(copy.key.clone(), copy.version, now) {
        return;
    }
    let held_older = state.directory.older(&copy.key, copy.version);
    drop(state);
    spdlog::info!(
        "version_declared adapter={} version={} older_held={:?} learned={} offset={} at={}",
        copy.key,
        copy.version,
        held_older,
        learned,
        record.offset,
        now.0
    );
    // What is in use is loaded before the next request asks for it.
    if held_older.is_some() {
        super::demand::renew(shared, &copy);
    }
}
