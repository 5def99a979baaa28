//! Follows the operator's topic: the configuration and declared adapter versions.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_adapters::Since;
use ploverwick_platform::store::Record;
use ploverwick_platform::{CONFIG_KEY, OPERATOR_TOPIC, config, version};
use ploverwick_routes::{Config, Organisations};

use super::feed::{Feed, Update};
use super::topic;
use crate::metrics;
use crate::shared::Shared;
use crate::topics::Topic;

/// The timeout of a long poll, close to the maximum that the store allows, because each return costs a call.
/// A connection that goes silent is detected separately, and peers that have read further report the end of
/// the topic.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(28);

/// Follows the operator's topic for as long as the process runs.
pub(crate) async fn follow(shared: Arc<Shared>) {
    let feed = Feed {
        topic: OPERATOR_TOPIC,
        description: "operator topic",
        wait: LONG_POLL_TIMEOUT,
        delay: Duration::ZERO,
        history_per_key: 0,
        reported_end: Some(&shared.inboxes.of(Topic::Operator).end),
    };
    topic::follow(&shared, Topic::Operator, feed, |update| {
        handle_update(&shared, update);
    })
    .await;
}

fn handle_update(shared: &Arc<Shared>, update: Update<'_>) {
    let now = shared.now();
    let mut state = shared.state();
    // A read may return records that an earlier one missed, so that only its last record is as recent as the
    // read.
    let earlier = state.watermark.unread();
    let (records, last) = match update {
        Update::History { .. } => return,
        Update::PeerSnapshot { records } => {
            drop(state);
            for record in records {
                apply_record(shared, record, Since::LongAgo);
            }
            return;
        }
        Update::PeerRecords { records, ages } => {
            drop(state);
            return apply_peer_records(shared, records, ages);
        }
        Update::ReadStarted => return state.watermark.begin_read(now),
        Update::ReadFailed => return state.watermark.fail_read(),
        Update::Snapshot { records } => (records, state.watermark.finish_full_read()),
        Update::Records {
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
        apply_record(shared, record, since);
    }
}

/// Applies records that a peer read, each with its maximum age.
fn apply_peer_records(shared: &Arc<Shared>, records: &[Record], ages: &[Option<Duration>]) {
    for (record, age) in records.iter().zip(ages) {
        let since = shared.state().watermark.apply_relayed(*age);
        apply_record(shared, record, since);
    }
}

fn apply_record(shared: &Arc<Shared>, record: &Record, since: Since) {
    let Some(value) = &record.value else {
        return;
    };
    if record.key == CONFIG_KEY {
        apply_config(shared, value);
    } else {
        apply_version(shared, record, value, since);
    }
}

fn apply_config(shared: &Shared, value: &[u8]) {
    let config = match config::decode(value) {
        Ok(config) => Arc::new(config),
        Err(error) => {
            spdlog::error!("config_malformed cause=\"{}\"", error);
            return;
        }
    };
    let mut state = shared.state();
    let known = state.config.as_ref().map(|config| config.version);
    // The configuration version never decreases while the process runs.
    if known.is_some_and(|known| known >= config.version) {
        return;
    }
    spdlog::info!(
        "config_in_force version={} before={:?}",
        config.version,
        known
    );
    let errors = config
        .organisations()
        .map_or(&[][..], Organisations::errors);
    for error in errors {
        spdlog::error!("organisation_malformed cause=\"{}\"", error);
    }
    log_oversized_models(&config);
    state.fleet.set_token_capacities(token_capacities(&config));
    state.config = Some(Arc::clone(&config));
    drop(state);
    export_quotas(&config);
    shared.orders_changed.notify_waiters();
}

/// Logs the models of which an endpoint cannot hold an adapter.
fn log_oversized_models(config: &Config) {
    for service in config.services() {
        let Some(engine) = &service.engine else {
            continue;
        };
        for model in &engine.models {
            if !engine.fits_adapter(model) {
                spdlog::error!(
                    "model_too_large service={} model={} weights_kb={} adapter_kb={} memory_kb={}",
                    service.name,
                    model.name,
                    model.weights_kb,
                    model.adapter_kb,
                    engine.memory_kb.unwrap_or_default()
                );
            }
        }
    }
}

/// Returns the declared memory of the endpoints of each service, in tokens.
fn token_capacities(config: &Config) -> HashMap<Arc<str>, u64> {
    let services = config.services();
    let capacities = services.filter_map(|service| {
        let capacity = service.engine.as_ref()?.token_capacity;
        (capacity > 0).then(|| (Arc::clone(&service.name), capacity))
    });
    capacities.collect()
}

fn export_quotas(config: &Config) {
    let organisations = config.organisations().into_iter();
    for organisation in organisations.flat_map(Organisations::iter) {
        if let Some(quota) = &organisation.quota {
            metrics::quota(&organisation.name, quota.rate, quota.burst);
        }
    }
}

fn apply_version(shared: &Arc<Shared>, record: &Record, value: &[u8], since: Since) {
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
    // Requests that were sent for an older version are subject to the staleness bound from now on.
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
    // Load an adapter that is in use before the next request asks for it.
    if held_older.is_some() {
        super::load_requests::handle_new_version(shared, &copy);
    }
}
