//! What is told of requests that endpoints ended under.

use std::collections::HashSet;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_quarantine::{Case, Fingerprint, PARTS};

use super::{hubs, near};
use crate::mail::Message;
use crate::shared::Shared;

/// How long news is gathered. Where many endpoints end at once, an instance of a large fleet would send
/// a message for each of them to each peer, at a time when requests need its processor.
const GATHER: Duration = Duration::from_millis(20);
/// After what time cases that one more crash would prove, and those that are proved, are told once more: a
/// message may be lost, and digests are compared only every other second.
const AGAIN: Duration = Duration::from_millis(150);
/// Cases in one message, of some 55 bytes each.
const CHUNK: usize = 20;

/// Tells all instances what changed, for as long as the process runs.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        shared.case_news.added().await;
        tokio::time::sleep(GATHER).await;
        let weighty = tell(&shared, &shared.case_news.take());
        if !weighty.is_empty() {
            tokio::spawn(again(Arc::clone(&shared), weighty));
        }
    }
}

async fn again(shared: Arc<Shared>, news: HashSet<Fingerprint>) {
    tokio::time::sleep(AGAIN).await;
    tell(&shared, &news);
}

/// Tells all instances what is held against some requests; returns those that are to be told again.
fn tell(shared: &Shared, news: &HashSet<Fingerprint>) -> HashSet<Fingerprint> {
    let now = shared.now();
    let state = shared.state();
    let cases = news.iter().map(|news| state.quarantine.case(news, now));
    let cases: Vec<Case> = cases.collect();
    let mut to = near(shared, &state);
    to.extend(hubs(shared, &state, now));
    drop(state);
    send(shared, &cases, &to);
    let weighty = cases.iter().filter(|case| case.is_weighty());
    weighty.map(|case| case.fingerprint).collect()
}

fn send(shared: &Shared, cases: &[Case], to: &[IpAddr]) {
    for part in cases.chunks(CHUNK) {
        shared.mail.send(&Message::Cases(part.to_vec()), to);
    }
}

/// Tells the instance at `ip` what is held here against requests and differs from what it holds, and asks
/// for the reverse if it asked itself.
pub(crate) fn compare(shared: &Shared, ip: IpAddr, digests: &[u64; PARTS], asks: bool) {
    let now = shared.now();
    let state = shared.state();
    let own = state.quarantine.digests();
    let differing = state.quarantine.differing(digests, now);
    drop(state);
    send(shared, &differing, &[ip]);
    if asks && own != *digests {
        let message = Message::CaseDigests {
            digests: own,
            asks: false,
        };
        shared.mail.send(&message, &[ip]);
    }
}
