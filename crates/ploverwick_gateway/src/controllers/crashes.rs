//! Proves whether an endpoint ended under the requests whose connections to it broke.
//!
//! A broken connection alone proves nothing: connections are reset, links cut, answers lost, and endpoints
//! that leave close theirs. Where nobody listens any more a moment later, the endpoint's process has ended.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_endpoints::{Entry, State};
use ploverwick_quarantine::{Finding, Proof, Suspect};
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::quarantine;
use crate::metrics;
use crate::shared::Shared;

/// The pauses before each look whether somebody listens. A process that ends closes its sockets one after
/// the other, and one that is slow to end (it writes its memory out) keeps listening meanwhile.
const LOOKS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(100),
    Duration::from_secs(1),
];
/// How long an answer to a look is awaited; an endpoint in reach answers within milliseconds.
const LOOK: Duration = Duration::from_millis(300);
/// How long the list is awaited if the endpoint's machine does not answer: it drops an endpoint after three
/// heartbeats, of some 1.2 s each, and is read every 850 ms.
const LISTED: Duration = Duration::from_secs(6);
/// How often the list is looked at meanwhile.
const LIST_LOOK: Duration = Duration::from_millis(200);
/// How long what was proved of a life is kept for requests that are found broken later.
const KEPT: Duration = Duration::from_secs(10);

/// Takes in that the connection to an endpoint broke under a request.
pub(crate) fn broke(shared: &Arc<Shared>, endpoint: &Arc<str>, suspect: Suspect) {
    let mut state = shared.state();
    // One that leaves closes its connections when its time is up.
    let entry = state.fleet.entry(endpoint);
    let Some(entry) = entry.filter(|entry| entry.state == State::Ready).cloned() else {
        return;
    };
    let finding = state.breaks.broke(endpoint, suspect);
    drop(state);
    match finding {
        Finding::New => drop(tokio::spawn(settle(Arc::clone(shared), entry))),
        Finding::Crashed(suspect) => quarantine::blame(shared, endpoint, &[suspect]),
        Finding::Pending | Finding::Spared => {}
    }
}

/// Proves what became of an endpoint, and blames the requests that it ended under.
async fn settle(shared: Arc<Shared>, entry: Entry) {
    let begun = Instant::now();
    let proof = prove(&shared, &entry).await;
    let suspects = shared.state().breaks.proved(&entry.id, proof);
    metrics::broken(proof, suspects.len());
    spdlog::info!(
        "endpoint_broke endpoint={} service={} proof={} requests={} ms={}",
        entry.id,
        entry.service,
        proof.name(),
        suspects.len(),
        begun.elapsed().as_millis()
    );
    if proof.is_crash() {
        quarantine::blame(&shared, &entry.id, &suspects);
    }
    tokio::time::sleep(KEPT).await;
    shared.state().breaks.forget(&entry.id);
}

async fn prove(shared: &Shared, entry: &Entry) -> Proof {
    let mut listens = false;
    for pause in LOOKS {
        tokio::time::sleep(pause).await;
        match look(entry.address).await {
            Look::Refused => return Proof::Refuses,
            Look::Taken => listens = true,
            Look::Unanswered => {}
        }
    }
    if listens {
        return Proof::Listens;
    }
    let until = Instant::now() + LISTED;
    while Instant::now() < until {
        let listed = shared.state().fleet.entry(&entry.id).map(|e| e.state);
        match listed {
            None => return Proof::Delisted,
            Some(State::Draining) => return Proof::Leaves,
            Some(State::Ready) => tokio::time::sleep(LIST_LOOK).await,
        }
    }
    Proof::Silent
}

/// How a look at an address ended.
enum Look {
    Refused,
    Taken,
    Unanswered,
}

async fn look(address: SocketAddr) -> Look {
    match tokio::time::timeout(LOOK, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Look::Taken,
        Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => Look::Refused,
        Ok(Err(_)) | Err(_) => Look::Unanswered,
    }
}
