//! Messages about requests and parts of prompts that crash endpoints.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_quarantine::{DIGEST_BUCKETS, Evidence, Ledger};

use super::{domain_peers, remote_relays};
use crate::messages::{Comparison, Message};
use crate::quarantine_updates::Subjects;
use crate::shared::Shared;
use crate::state::State;

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

async fn resend(shared: Arc<Shared>, subjects: Subjects) {
    tokio::time::sleep(RESEND_DELAY).await;
    broadcast_entries(&shared, &subjects);
}

/// Sends the entries of some subjects to all instances; returns those to send again.
fn broadcast_entries(shared: &Shared, subjects: &Subjects) -> Subjects {
    let now = shared.now();
    let state = shared.state();
    let requests = subjects.requests.iter();
    let requests: Vec<_> = requests
        .map(|fingerprint| state.quarantine.entry(fingerprint, now))
        .collect();
    let parts = subjects.parts.iter();
    let parts: Vec<_> = parts
        .map(|part| state.prompt_quarantine.entry(part, now))
        .collect();
    let mut to = domain_peers(shared, &state);
    to.extend(remote_relays(shared, &state, now));
    drop(state);
    send(shared, &requests, &to, Message::QuarantineEntries);
    send(shared, &parts, &to, Message::PromptEntries);
    let requests = requests.iter().filter(|entry| entry.is_near_threshold());
    let parts = parts.iter().filter(|entry| entry.is_near_threshold());
    Subjects {
        requests: requests.map(|entry| entry.fingerprint).collect(),
        parts: parts.map(|entry| entry.part).collect(),
    }
}

fn send<E: Evidence>(
    shared: &Shared,
    entries: &[E],
    to: &[IpAddr],
    message: impl Fn(Vec<E>) -> Message,
) {
    for part in entries.chunks(MAX_ENTRIES_PER_MESSAGE) {
        shared.peer_socket.send(&message(part.to_vec()), to);
    }
}

/// Returns the messages that ask peers to compare what they track with what this instance tracks.
pub(super) fn digests(state: &State) -> impl Iterator<Item = Message> + use<> {
    let requests = (!state.quarantine.is_empty())
        .then(|| Message::QuarantineDigests(comparison(state.quarantine.digests(), true)));
    let parts = (!state.prompt_quarantine.is_empty())
        .then(|| Message::PromptDigests(comparison(state.prompt_quarantine.digests(), true)));
    requests.into_iter().chain(parts)
}

fn comparison(digests: [u64; DIGEST_BUCKETS], wants_reply: bool) -> Comparison {
    Comparison {
        digests,
        wants_reply,
    }
}

/// Sends the instance at `ip` the entries that differ from its own, and, if it asked for a comparison, this
/// instance's digests, so that it sends its differing entries in return.
pub(crate) fn handle_digests(shared: &Shared, ip: IpAddr, theirs: &Comparison) {
    let (differing, reply) = compare(shared, theirs, |state| &state.quarantine);
    send(shared, &differing, &[ip], Message::QuarantineEntries);
    if let Some(reply) = reply {
        let message = Message::QuarantineDigests(reply);
        shared.peer_socket.send(&message, &[ip]);
    }
}

/// Like [`handle_digests`], for parts of prompts.
pub(crate) fn handle_prompt_digests(shared: &Shared, ip: IpAddr, theirs: &Comparison) {
    let (differing, reply) = compare(shared, theirs, |state| &state.prompt_quarantine);
    send(shared, &differing, &[ip], Message::PromptEntries);
    if let Some(reply) = reply {
        let message = Message::PromptDigests(reply);
        shared.peer_socket.send(&message, &[ip]);
    }
}

/// Returns the entries that differ from those of another instance, and this instance's digests if the other one needs them.
fn compare<E: Evidence>(
    shared: &Shared,
    theirs: &Comparison,
    ledger: impl Fn(&State) -> &Ledger<E>,
) -> (Vec<E>, Option<Comparison>) {
    let now = shared.now();
    let state = shared.state();
    let ledger = ledger(&state);
    let own = ledger.digests();
    let needs_reply = theirs.wants_reply && own != theirs.digests;
    let reply = needs_reply.then(|| comparison(own, false));
    (ledger.differing(&theirs.digests, now), reply)
}
