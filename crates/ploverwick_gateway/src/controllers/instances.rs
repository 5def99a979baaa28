//! Lists this instance for the others and follows their list.

use std::collections::HashSet;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_platform::INSTANCE_TOPIC;
use ploverwick_platform::store::Record;
use serde::{Deserialize, Serialize};

use super::feed::{Feed, News};
use super::{Backoff, topic};
use crate::shared::Shared;
use crate::state::{InstanceListState, PEER_TIMEOUT, Peer};
use crate::topics::{ReadStates, Topic};

/// How long a read waits for a record; instances come and go rarely, and peers that are not listed
/// yet make themselves known by their messages.
const WAIT: Duration = Duration::from_secs(28);

/// The pause after each read: at a start all instances list themselves within a second or two, and
/// each line would be a call of every instance.
const PAUSE: Duration = Duration::from_millis(1_500);

/// What the keys begin with under which the last placer of each failure domain stands; no instance's name
/// has the character.
const PLACER: &str = "placer/";

/// How long an instance waits to read the list when the whole system starts for the first time: all list
/// themselves within some 300 ms, and a list that is read then need not be read again.
const FIRST_START: Duration = Duration::from_millis(400);

#[derive(Debug, Serialize, Deserialize)]
struct Line {
    ip: IpAddr,
    domain: Arc<str>,
    /// The part of a processor that it has, in thousandths of a core.
    #[serde(default)]
    capacity: u32,
    /// The fencing token under which it last placed adapters.
    #[serde(default)]
    token: Option<u64>,
}

/// Lists this instance, again if the store is away.
pub(crate) async fn enlist(shared: Arc<Shared>, token: Option<u64>) {
    let settings = &shared.settings;
    let line = Line {
        ip: settings.ip.into(),
        domain: Arc::clone(&settings.domain),
        capacity: settings.capacity,
        token,
    };
    let line = serde_json::to_vec(&line).expect("a line is plain data");
    let mut backoff = Backoff::new();
    // A repeat of a write that was done all the same changes nothing.
    while let Err(error) = shared
        .store
        .put(INSTANCE_TOPIC, &settings.instance, Some(&line))
        .await
    {
        spdlog::warn!("not_listed cause=\"{}\"", error);
        backoff.pause(&shared).await;
    }
}

/// Recalls the token that an earlier life of this instance wrote, before anything is written over
/// it; asks until the store answers, without which no right can be had either.
pub(crate) async fn recall(shared: &Shared) -> Option<u64> {
    let mut backoff = Backoff::new();
    let snapshot = loop {
        match shared.store.newest(INSTANCE_TOPIC).await {
            Ok(snapshot) => break snapshot,
            Err(error) => {
                spdlog::info!("recall_fails cause=\"{}\"", error);
                backoff.pause(shared).await;
            }
        }
    };
    let mut records = snapshot.records.iter();
    let Some(own) = records.find(|record| record.key == *shared.settings.instance) else {
        // An earlier life that ended in order took its line away a turn after its last order.
        shared.state().placer_lease.confirm_no_recent_orders();
        return None;
    };
    let value = own.value.as_ref()?;
    let token = serde_json::from_slice::<Line>(value).ok()?.token?;
    spdlog::info!("recalled token={}", token);
    shared.state().placer_lease.set_previous_token(token);
    Some(token)
}

/// Takes this instance off the list, if the store answers.
pub(crate) async fn retire(shared: &Shared) {
    let name = &shared.settings.instance;
    if let Err(error) = shared.store.put(INSTANCE_TOPIC, name, None).await {
        spdlog::warn!("still_listed cause=\"{}\"", error);
    }
}

/// Follows the list for as long as the process runs.
pub(crate) async fn follow(shared: Arc<Shared>) {
    if shared.settings.first_start {
        tokio::time::sleep(FIRST_START).await;
    }
    let feed = Feed {
        topic: INSTANCE_TOPIC,
        what: "instance list",
        wait: WAIT,
        pause: PAUSE,
        past: 0,
        hint: Some(&shared.inboxes.of(Topic::Instances).end),
    };
    let mut era = 0;
    topic::follow(&shared, Topic::Instances, feed, |news| match news {
        News::Whole { records } | News::ToldWhole { records } => {
            let previous_era = std::mem::replace(&mut era, shared.store.era());
            replace(&shared, records, previous_era != era);
        }
        News::Next { records, .. } | News::Told { records, .. } => take(&shared, records),
        News::Asking | News::Away | News::Past { .. } => {}
    })
    .await;
}

/// Replaces the listed peers. After a restore of the store, the list may lack running instances until they list
/// themselves again, so peers that were heard recently are kept.
fn replace(shared: &Arc<Shared>, records: &[Record], is_restored: bool) {
    let listed: HashSet<&str> = records.iter().map(|record| &*record.key).collect();
    let now = shared.now();
    let mut state = shared.state();
    state.peers.retain(|name, peer| {
        let is_heard = peer
            .last_seen
            .is_some_and(|at| now.since(at) <= PEER_TIMEOUT);
        listed.contains(&**name) || (is_restored && is_heard)
    });
    let is_unlisted = state.instance_list == InstanceListState::Listed
        && !listed.contains(&*shared.settings.instance);
    drop(state);
    if is_unlisted {
        list_again(shared);
    }
    take(shared, records);
    spdlog::info!("instances_read count={}", listed.len());
    let mut state = shared.state();
    if state.instance_list == InstanceListState::Unread {
        state.instance_list = InstanceListState::Read;
    }
}

fn take(shared: &Arc<Shared>, records: &[Record]) {
    for record in records {
        if record.key.starts_with(PLACER) {
            take_placer(shared, record);
            continue;
        }
        match &record.value {
            Some(_) if record.key == *shared.settings.instance => {
                shared.state().instance_list = InstanceListState::Listed;
            }
            None if record.key == *shared.settings.instance => list_again(shared),
            Some(value) => take_line(shared, &record.key, value),
            None => {
                let now = shared.now();
                let mut state = shared.state();
                state.remove_peer(&record.key, &shared.settings, now);
                drop(state);
                spdlog::info!("instance_left instance={}", record.key);
            }
        }
    }
    shared.count_instances(&mut shared.state());
}

/// Takes in who placed the adapters of a failure domain last.
fn take_placer(shared: &Shared, record: &Record) {
    if record.key != placer_key(&shared.settings.domain) {
        return;
    }
    let name = record.value.as_deref().unwrap_or_default();
    let is_own = name == shared.settings.instance.as_bytes();
    shared.state().was_placer = is_own;
}

fn placer_key(domain: &str) -> String {
    format!("{PLACER}{domain}")
}

/// Writes down that this instance places the adapters of its failure domain, for its own next life: the
/// platform keeps the right for whoever had it, and no other one gets it before that lapses.
pub(crate) async fn name_placer(shared: Arc<Shared>) {
    let settings = &shared.settings;
    let key = placer_key(&settings.domain);
    let name = settings.instance.as_bytes();
    if let Err(error) = shared.store.put(INSTANCE_TOPIC, &key, Some(name)).await {
        spdlog::warn!("placer_unnamed cause=\"{}\"", error);
    }
}

/// Lists this instance again after its line was taken away, as an earlier life's last call may do late, or was
/// lost in a restore of the store.
fn list_again(shared: &Arc<Shared>) {
    if shared.is_stopping() {
        return;
    }
    spdlog::info!("line_lost instance={}", shared.settings.instance);
    let token = shared.state().placer_lease.token(shared.now());
    tokio::spawn(enlist(Arc::clone(shared), token));
}

fn take_line(shared: &Shared, name: &str, value: &[u8]) {
    let line = match serde_json::from_slice::<Line>(value) {
        Ok(line) => line,
        Err(error) => {
            spdlog::warn!("instance_malformed key={} cause=\"{}\"", name, error);
            return;
        }
    };
    let mut state = shared.state();
    // A list that is read as a whole is told by its length: one line each takes a start's processor.
    if state.instance_list != InstanceListState::Unread && !state.peers.contains_key(name) {
        spdlog::info!("instance_listed instance={} ip={}", name, line.ip);
    }
    let peer = state.peers.entry(Arc::from(name));
    let peer = peer.or_insert_with(|| Peer {
        ip: line.ip,
        domain: Arc::clone(&line.domain),
        capacity: line.capacity,
        last_seen: None,
        placer_token: None,
        waiting: 0,
        read_states: ReadStates::default(),
    });
    peer.ip = line.ip;
    peer.domain = line.domain;
    peer.capacity = line.capacity;
}
