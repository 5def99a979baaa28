//! Registers this instance in the list of instances and follows the list.

use std::collections::HashSet;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_platform::INSTANCE_TOPIC;
use ploverwick_platform::store::Record;
use serde::{Deserialize, Serialize};

use super::feed::{Feed, Update};
use super::{Backoff, build_registry, topic};
use crate::shared::Shared;
use crate::state::{InstanceListState, PEER_TIMEOUT, Peer};
use crate::topics::{ReadStates, Topic};

/// The timeout of a long poll. Instances come and go rarely, and peers that are not on the list yet become
/// known through their messages.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(28);

/// The delay after each read. At a start, all instances register within a second or two, and each
/// registration would otherwise cost every instance a call.
const READ_INTERVAL: Duration = Duration::from_millis(1_500);

/// The prefix of the keys that hold the last placer of each failure domain. Instance names never contain the
/// slash.
const PLACER_KEY_PREFIX: &str = "placer/";

/// How long an instance waits before it reads the list when the whole system starts for the first time. All
/// instances register within about 300 ms, so that one read then suffices.
const FIRST_START_DELAY: Duration = Duration::from_millis(400);

#[derive(Debug, Serialize, Deserialize)]
struct Registration {
    ip: IpAddr,
    domain: Arc<str>,
    /// Its share of the processor, in thousandths of a core.
    #[serde(default)]
    capacity: u32,
    /// The fencing token under which it last placed adapters.
    #[serde(default)]
    token: Option<u64>,
}

/// Registers this instance, and retries while the store is unavailable.
pub(crate) async fn register(shared: Arc<Shared>, token: Option<u64>) {
    let settings = &shared.settings;
    let registration = Registration {
        ip: settings.ip.into(),
        domain: Arc::clone(&settings.domain),
        capacity: settings.capacity,
        token,
    };
    let registration = serde_json::to_vec(&registration).expect("a registration is serializable");
    let mut backoff = Backoff::new();
    // Repeating a write that succeeded without an answer has no effect.
    while let Err(error) = shared
        .store
        .put(INSTANCE_TOPIC, &settings.instance, Some(&registration))
        .await
    {
        spdlog::warn!("not_listed cause=\"{}\"", error);
        backoff.pause(&shared).await;
    }
}

/// Reads what was recorded before this process started: the builds that served, and the fencing token that an earlier process of
/// this instance stored, before it is overwritten. Returns the token if this instance needs one.
///
/// Retries until the store answers, because the lease cannot be acquired without the store either.
pub(crate) async fn read_earlier_records(shared: &Shared) -> Option<u64> {
    let mut backoff = Backoff::new();
    let (started_at, snapshot) = loop {
        let started_at = shared.now();
        match shared.store.newest(INSTANCE_TOPIC).await {
            Ok(snapshot) => break (started_at, snapshot),
            Err(error) => {
                spdlog::info!("recall_fails cause=\"{}\"", error);
                backoff.pause(shared).await;
            }
        }
    };
    build_registry::apply_snapshot(shared, &snapshot.records, started_at);
    if !shared.persists_token {
        return None;
    }
    let mut records = snapshot.records.iter();
    let Some(own) = records.find(|record| record.key == *shared.settings.instance) else {
        // An earlier process that shut down cleanly removed its registration one lease duration after its
        // last order.
        shared.state().placer_lease.confirm_no_recent_orders();
        return None;
    };
    let value = own.value.as_ref()?;
    let token = serde_json::from_slice::<Registration>(value).ok()?.token?;
    spdlog::info!("recalled token={}", token);
    shared.state().placer_lease.set_previous_token(token);
    Some(token)
}

/// Removes this instance from the list, if the store answers.
pub(crate) async fn deregister(shared: &Shared) {
    let name = &shared.settings.instance;
    if let Err(error) = shared.store.put(INSTANCE_TOPIC, name, None).await {
        spdlog::warn!("still_listed cause=\"{}\"", error);
    }
}

/// Follows the list for as long as the process runs.
pub(crate) async fn follow(shared: Arc<Shared>) {
    if shared.settings.first_start {
        tokio::time::sleep(FIRST_START_DELAY).await;
    }
    let feed = Feed {
        topic: INSTANCE_TOPIC,
        description: "instance list",
        wait: LONG_POLL_TIMEOUT,
        delay: READ_INTERVAL,
        history_per_key: 0,
        reported_end: Some(&shared.inboxes.of(Topic::Instances).end),
    };
    let mut era = 0;
    let mut read_started_at = shared.now();
    topic::follow(&shared, Topic::Instances, feed, |update| match update {
        Update::Snapshot { records } | Update::PeerSnapshot { records } => {
            let previous_era = std::mem::replace(&mut era, shared.store.era());
            apply_snapshot(&shared, records, previous_era != era);
            if matches!(update, Update::Snapshot { .. }) {
                build_registry::confirm(&shared, records, read_started_at);
            }
        }
        Update::Records { records, .. } | Update::PeerRecords { records, .. } => {
            apply_records(&shared, records);
        }
        Update::ReadStarted => read_started_at = shared.now(),
        Update::ReadFailed | Update::History { .. } => {}
    })
    .await;
}

/// Replaces the listed peers. After a restore of the store, the list may lack running instances until they
/// register again, so peers that sent a message recently are kept.
fn apply_snapshot(shared: &Arc<Shared>, records: &[Record], was_restored: bool) {
    let listed: HashSet<&str> = records.iter().map(|record| &*record.key).collect();
    let now = shared.now();
    let mut state = shared.state();
    state.peers.retain(|name, peer| {
        let is_alive = peer
            .last_seen
            .is_some_and(|at| now.since(at) <= PEER_TIMEOUT);
        listed.contains(&**name) || (was_restored && is_alive)
    });
    let is_unlisted = state.instance_list == InstanceListState::Listed
        && !listed.contains(&*shared.settings.instance);
    drop(state);
    if is_unlisted {
        reregister(shared);
    }
    apply_records(shared, records);
    spdlog::info!("instances_read count={}", listed.len());
    let mut state = shared.state();
    if state.instance_list == InstanceListState::Unread {
        state.instance_list = InstanceListState::Read;
    }
}

fn apply_records(shared: &Arc<Shared>, records: &[Record]) {
    for record in records {
        if record.key.starts_with(PLACER_KEY_PREFIX) {
            apply_placer(shared, record);
            continue;
        }
        if build_registry::owns(record) {
            build_registry::apply_record(shared, record);
            continue;
        }
        match &record.value {
            Some(_) if record.key == *shared.settings.instance => {
                shared.state().instance_list = InstanceListState::Listed;
            }
            None if record.key == *shared.settings.instance => reregister(shared),
            Some(value) => apply_registration(shared, &record.key, value),
            None => {
                let now = shared.now();
                let mut state = shared.state();
                state.remove_peer(&record.key, &shared.settings, now);
                drop(state);
                shared.relayed_pool.remove_relay(&record.key);
                spdlog::info!("instance_left instance={}", record.key);
            }
        }
    }
    shared.count_instances(&mut shared.state());
}

/// Applies which instance last placed the adapters of a failure domain.
fn apply_placer(shared: &Shared, record: &Record) {
    if record.key != placer_key(&shared.settings.domain) {
        return;
    }
    let name = record.value.as_deref().unwrap_or_default();
    let is_own = name == shared.settings.instance.as_bytes();
    shared.state().was_placer = is_own;
}

fn placer_key(domain: &str) -> String {
    format!("{PLACER_KEY_PREFIX}{domain}")
}

/// Records this instance as the placer of its failure domain, for its own next process. The platform
/// keeps the lease for its last holder, and no other instance can acquire it before it expires.
pub(crate) async fn record_placer(shared: Arc<Shared>) {
    let settings = &shared.settings;
    let key = placer_key(&settings.domain);
    let name = settings.instance.as_bytes();
    if let Err(error) = shared.store.put(INSTANCE_TOPIC, &key, Some(name)).await {
        spdlog::warn!("placer_unnamed cause=\"{}\"", error);
    }
}

/// Registers this instance again after its registration was removed, for example by a delayed call of an
/// earlier process, or was lost in a restore of the store.
fn reregister(shared: &Arc<Shared>) {
    if shared.is_stopping() {
        return;
    }
    spdlog::info!("line_lost instance={}", shared.settings.instance);
    let token = shared.state().placer_lease.token(shared.now());
    tokio::spawn(register(Arc::clone(shared), token));
}

fn apply_registration(shared: &Shared, name: &str, value: &[u8]) {
    let registration = match serde_json::from_slice::<Registration>(value) {
        Ok(registration) => registration,
        Err(error) => {
            spdlog::warn!("instance_malformed key={} cause=\"{}\"", name, error);
            return;
        }
    };
    let mut state = shared.state();
    // A snapshot is logged as a count only, because one line per entry would slow down the start.
    if state.instance_list != InstanceListState::Unread && !state.peers.contains_key(name) {
        spdlog::info!("instance_listed instance={} ip={}", name, registration.ip);
    }
    let peer = state.peers.entry(Arc::from(name));
    let peer = peer.or_insert_with(|| Peer {
        ip: registration.ip,
        domain: Arc::clone(&registration.domain),
        capacity: registration.capacity,
        last_seen: None,
        placer_token: None,
        waiting: 0,
        demand: None,
        read_states: ReadStates::default(),
    });
    peer.ip = registration.ip;
    peer.domain = registration.domain;
    peer.capacity = registration.capacity;
}
