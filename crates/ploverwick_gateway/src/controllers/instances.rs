//! Lists this instance for the others and follows their list.

use std::collections::HashSet;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_platform::INSTANCES;
use ploverwick_platform::store::Record;
use serde::{Deserialize, Serialize};

use super::feed::{Feed, News};
use super::{Backoff, topic};
use crate::shared::{Listing, Peer, Shared};
use crate::topics::{Stands, Topic};

/// How long a read waits for a record; instances come and go rarely, and peers that are not listed
/// yet make themselves known by their messages.
const WAIT: Duration = Duration::from_secs(28);

/// The pause after each read: at a start all instances list themselves within a second or two, and
/// each line would be a call of every instance.
const PAUSE: Duration = Duration::from_millis(1_500);

/// How long an instance waits to read the list when the whole system starts for the first time: all list
/// themselves within some 300 ms, and a list that is read then need not be read again.
const FIRST_START: Duration = Duration::from_millis(400);

#[derive(Debug, Serialize, Deserialize)]
struct Line {
    ip: IpAddr,
    domain: Arc<str>,
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
        token,
    };
    let line = serde_json::to_vec(&line).expect("a line is plain data");
    let mut backoff = Backoff::new();
    // A repeat of a write that was done all the same changes nothing.
    while let Err(error) = shared
        .store
        .put(INSTANCES, &settings.instance, Some(&line))
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
        match shared.store.newest(INSTANCES).await {
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
        shared.state().tenure.no_earlier_life();
        return None;
    };
    let value = own.value.as_ref()?;
    let token = serde_json::from_slice::<Line>(value).ok()?.token?;
    spdlog::info!("recalled token={}", token);
    shared.state().tenure.recall(token);
    Some(token)
}

/// Takes this instance off the list, if the store answers.
pub(crate) async fn retire(shared: &Shared) {
    let name = &shared.settings.instance;
    if let Err(error) = shared.store.put(INSTANCES, name, None).await {
        spdlog::warn!("still_listed cause=\"{}\"", error);
    }
}

/// Follows the list for as long as the process runs.
pub(crate) async fn follow(shared: Arc<Shared>) {
    if shared.settings.first_start {
        tokio::time::sleep(FIRST_START).await;
    }
    let feed = Feed {
        topic: INSTANCES,
        what: "instance list",
        wait: WAIT,
        pause: PAUSE,
        past: 0,
        hint: Some(&shared.inboxes.of(Topic::Instances).end),
    };
    topic::follow(&shared, Topic::Instances, feed, |news| match news {
        News::Whole { records } | News::ToldWhole { records } => replace(&shared, records),
        News::Next { records, .. } | News::Told { records, .. } => take(&shared, records),
        News::Asking | News::Away | News::Past { .. } => {}
    })
    .await;
}

fn replace(shared: &Arc<Shared>, records: &[Record]) {
    let listed: HashSet<&str> = records.iter().map(|record| &*record.key).collect();
    let mut state = shared.state();
    state.peers.retain(|name, _| listed.contains(&**name));
    if state.listing == Listing::Unread {
        state.listing = Listing::Read;
    }
    drop(state);
    take(shared, records);
}

fn take(shared: &Arc<Shared>, records: &[Record]) {
    for record in records {
        match &record.value {
            Some(_) if record.key == *shared.settings.instance => {
                shared.state().listing = Listing::Listed;
            }
            None if record.key == *shared.settings.instance => list_again(shared),
            Some(value) => take_line(shared, &record.key, value),
            None => {
                shared.state().peers.remove(&*record.key);
                spdlog::info!("instance_left instance={}", record.key);
            }
        }
    }
    shared.count_instances(&mut shared.state());
}

/// Lists this instance again after its line was taken away, as an earlier life's last call may do late.
fn list_again(shared: &Arc<Shared>) {
    if shared.is_stopping() {
        return;
    }
    spdlog::info!("line_lost instance={}", shared.settings.instance);
    let token = shared.state().tenure.token(shared.now());
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
    spdlog::info!("instance_listed instance={} ip={}", name, line.ip);
    let mut state = shared.state();
    let peer = state.peers.entry(Arc::from(name));
    let peer = peer.or_insert_with(|| Peer {
        ip: line.ip,
        domain: Arc::clone(&line.domain),
        heard: None,
        places: None,
        waiting: 0,
        stands: Stands::default(),
    });
    peer.ip = line.ip;
    peer.domain = line.domain;
}
