//! Messages about requests that crash endpoints.

use std::collections::HashSet;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_quarantine::{DIGEST_BUCKETS, Entry, Fingerprint};

use super::{domain_peers, remote_relays};
use crate::messages::Message;
use crate::shared::Shared;

/// How long changes are collected into one message. If many endpoints crash at once, an instance of a large
/// fleet would otherwise send one message per crash to each peer, at a time when requests need the processor.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// The delay after which entries are sent once more if they are refused or would be after one more crash. A
/// message may be lost, and digests are compared only every other second.
const RESEND_DELAY: Duration = Duration::from_millis(150);
/// The maximum number of entries in one message, of about 55 bytes each.
const MAX_ENTRIES_PER_MESSAGE: usize = 20;

/// Sends changed entries to all instances, for as long as the process runs.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        shared.quarantine_updates.added().await;
        tokio::time::sleep(BATCH_DELAY).await;
        let urgent = broadcast_entries(&shared, &shared.quarantine_updates.take());
        if !urgent.is_empty() {
            tokio::spawn(resend(Arc::clone(&shared), urgent));
        }
    }
}

async fn resend(shared: Arc<Shared>, fingerprints: HashSet<Fingerprint>) {
    tokio::time::sleep(RESEND_DELAY).await;
    broadcast_entries(&shared, &fingerprints);
}

/// Sends the entries of some requests to all instances; returns the fingerprints of those to send again.
fn broadcast_entries(shared: &Shared, fingerprints: &HashSet<Fingerprint>) -> HashSet<Fingerprint> {
    let now = shared.now();
    let state = shared.state();
    let entries = fingerprints
        .iter()
        .map(|fingerprint| state.quarantine.entry(fingerprint, now));
    let entries: Vec<Entry> = entries.collect();
    let mut to = domain_peers(shared, &state);
    to.extend(remote_relays(shared, &state, now));
    drop(state);
    send(shared, &entries, &to);
    let urgent = entries.iter().filter(|entry| entry.is_near_threshold());
    urgent.map(|entry| entry.fingerprint).collect()
}

fn send(shared: &Shared, entries: &[Entry], to: &[IpAddr]) {
    for part in entries.chunks(MAX_ENTRIES_PER_MESSAGE) {
        shared
            .peer_socket
            .send(&Message::QuarantineEntries(part.to_vec()), to);
    }
}

/// Sends the instance at `ip` the entries that differ from its own, and, if it asked for a comparison, this
/// instance's digests, so that it sends its differing entries in return.
pub(crate) fn handle_digests(
    shared: &Shared,
    ip: IpAddr,
    digests: &[u64; DIGEST_BUCKETS],
    wants_reply: bool,
) {
    let now = shared.now();
    let state = shared.state();
    let own = state.quarantine.digests();
    let differing = state.quarantine.differing(digests, now);
    drop(state);
    send(shared, &differing, &[ip]);
    if wants_reply && own != *digests {
        let message = Message::QuarantineDigests {
            digests: own,
            wants_reply: false,
        };
        shared.peer_socket.send(&message, &[ip]);
    }
}
