//! What is told of requests that endpoints crashed under.

use std::collections::HashSet;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_quarantine::{DIGEST_BUCKETS, Entry, Fingerprint};

use super::{hubs, near};
use crate::messages::Message;
use crate::shared::Shared;

/// How long news is gathered. Where many endpoints crash at once, an instance of a large fleet would send
/// a message for each of them to each peer, at a time when requests need its processor.
const GATHER: Duration = Duration::from_millis(20);
/// After what time entries that one more crash would refuse, and those that are refused, are told once more: a
/// message may be lost, and digests are compared only every other second.
const AGAIN: Duration = Duration::from_millis(150);
/// Entries in one message, of some 55 bytes each.
const CHUNK: usize = 20;

/// Tells all instances what changed, for as long as the process runs.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        shared.quarantine_updates.added().await;
        tokio::time::sleep(GATHER).await;
        let urgent = tell(&shared, &shared.quarantine_updates.take());
        if !urgent.is_empty() {
            tokio::spawn(again(Arc::clone(&shared), urgent));
        }
    }
}

async fn again(shared: Arc<Shared>, news: HashSet<Fingerprint>) {
    tokio::time::sleep(AGAIN).await;
    tell(&shared, &news);
}

/// Tells all instances what is counted against some requests; returns those that are to be told again.
fn tell(shared: &Shared, news: &HashSet<Fingerprint>) -> HashSet<Fingerprint> {
    let now = shared.now();
    let state = shared.state();
    let entries = news.iter().map(|news| state.quarantine.entry(news, now));
    let entries: Vec<Entry> = entries.collect();
    let mut to = near(shared, &state);
    to.extend(hubs(shared, &state, now));
    drop(state);
    send(shared, &entries, &to);
    let urgent = entries.iter().filter(|entry| entry.is_near_threshold());
    urgent.map(|entry| entry.fingerprint).collect()
}

fn send(shared: &Shared, entries: &[Entry], to: &[IpAddr]) {
    for part in entries.chunks(CHUNK) {
        shared
            .peer_socket
            .send(&Message::QuarantineEntries(part.to_vec()), to);
    }
}

/// Tells the instance at `ip` the entries that differ from its own, and asks for the reverse if it asked
/// itself.
pub(crate) fn compare(shared: &Shared, ip: IpAddr, digests: &[u64; DIGEST_BUCKETS], asks: bool) {
    let now = shared.now();
    let state = shared.state();
    let own = state.quarantine.digests();
    let differing = state.quarantine.differing(digests, now);
    drop(state);
    send(shared, &differing, &[ip]);
    if asks && own != *digests {
        let message = Message::QuarantineDigests {
            digests: own,
            wants_reply: false,
        };
        shared.peer_socket.send(&message, &[ip]);
    }
}
