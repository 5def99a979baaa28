//! Proves whether an endpoint crashed under the requests whose connections to it broke.
//!
//! A broken connection alone proves nothing: connections are reset, links cut, answers lost, and endpoints
//! that leave close theirs. Where nobody listens any more a moment later, the endpoint's process has ended.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_endpoints::{Entry, State};
use ploverwick_quarantine::{Diagnosis, Finding, Suspect};
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::quarantine;
use crate::metrics;
use crate::shared::Shared;

/// The pauses before each look whether somebody listens. A process that ends closes its sockets one after
/// the other, and one that is slow to end (it writes its memory out) keeps listening meanwhile.
const PROBE_PAUSES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(100),
    Duration::from_secs(1),
];
/// How long an answer to a look is awaited; an endpoint in reach answers within milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// How long the list is awaited if the endpoint's machine does not answer: it drops an endpoint after three
/// heartbeats, of some 1.2 s each, and is read every 850 ms.
const LIST_TIMEOUT: Duration = Duration::from_secs(6);
/// How often the list is looked at meanwhile.
const LIST_POLL: Duration = Duration::from_millis(200);
/// How long the diagnosis of a life is kept for requests that are found broken later.
const RETENTION: Duration = Duration::from_secs(10);

/// Takes in that the connection to an endpoint broke under a request.
pub(crate) fn broke(shared: &Arc<Shared>, endpoint: &Arc<str>, suspect: Suspect) {
    let mut state = shared.state();
    // One that leaves closes its connections when its time is up.
    let entry = state.fleet.entry(endpoint);
    let Some(entry) = entry.filter(|entry| entry.state == State::Ready).cloned() else {
        return;
    };
    let finding = state.broken_connections.record(endpoint, suspect);
    drop(state);
    match finding {
        Finding::New => drop(tokio::spawn(settle(Arc::clone(shared), entry))),
        Finding::Crashed(suspect) => quarantine::record_crash(shared, endpoint, &[suspect]),
        Finding::Pending | Finding::NotCrashed => {}
    }
}

/// Finds out what became of an endpoint, and counts a crash against the requests that it ran.
async fn settle(shared: Arc<Shared>, entry: Entry) {
    let begun = Instant::now();
    let diagnosis = diagnose(&shared, &entry).await;
    let suspects = shared
        .state()
        .broken_connections
        .resolve(&entry.id, diagnosis);
    metrics::broken(diagnosis, suspects.len());
    spdlog::info!(
        "endpoint_broke endpoint={} service={} diagnosis={} requests={} ms={}",
        entry.id,
        entry.service,
        diagnosis.name(),
        suspects.len(),
        begun.elapsed().as_millis()
    );
    if diagnosis.is_crash() {
        quarantine::record_crash(&shared, &entry.id, &suspects);
    }
    tokio::time::sleep(RETENTION).await;
    shared.state().broken_connections.remove(&entry.id);
}

async fn diagnose(shared: &Shared, entry: &Entry) -> Diagnosis {
    let mut listens = false;
    for pause in PROBE_PAUSES {
        tokio::time::sleep(pause).await;
        match probe(entry.address).await {
            Probe::Refused => return Diagnosis::Refuses,
            Probe::Taken => listens = true,
            Probe::Unanswered => {}
        }
    }
    if listens {
        return Diagnosis::Listens;
    }
    let until = Instant::now() + LIST_TIMEOUT;
    while Instant::now() < until {
        let listed = shared.state().fleet.entry(&entry.id).map(|e| e.state);
        match listed {
            None => return Diagnosis::Delisted,
            Some(State::Draining) => return Diagnosis::Leaves,
            Some(State::Ready) => tokio::time::sleep(LIST_POLL).await,
        }
    }
    Diagnosis::Silent
}

/// How a look at an address ended.
enum Probe {
    Refused,
    Taken,
    Unanswered,
}

async fn probe(address: SocketAddr) -> Probe {
    match tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Probe::Taken,
        Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => Probe::Refused,
        Ok(Err(_)) | Err(_) => Probe::Unanswered,
    }
}
