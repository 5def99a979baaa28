//! Determines whether an endpoint crashed when a connection to it broke under a request.
//!
//! A broken connection alone proves nothing: connections are reset, links fail, answers are lost, and
//! endpoints that leave close theirs. If nothing listens at the address a moment later, for this instance and for
//! another one, the endpoint's process has ended.

use std::sync::Arc;
use std::time::Duration;

use ploverwick_endpoints::{Entry, Links, State};
use ploverwick_quarantine::prompt::Part;
use ploverwick_quarantine::{Diagnosis, Finding, Suspect};
use tokio::time::Instant;

use super::{quarantine, reachability, relays};
use crate::metrics;
use crate::pool::ConnectError;
use crate::shared::Shared;

/// The delays before each probe of the address. A process that ends closes its sockets one after the other,
/// and one that ends slowly (because it writes a core dump) keeps listening meanwhile.
const PROBE_PAUSES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(100),
    Duration::from_secs(1),
];
/// The delay after which an endpoint is probed that ended an answer by closing its connection.
const UNFRAMED_PAUSE: Duration = Duration::from_millis(100);
/// How long to watch the list of endpoints if the endpoint's machine does not answer. An endpoint is removed
/// from it after three missed heartbeats of about 1.2 s each, and the list is read every 850 ms.
const LIST_TIMEOUT: Duration = Duration::from_secs(6);
/// How often the list is checked in that time.
const LIST_POLL: Duration = Duration::from_millis(200);
/// How long the diagnosis of an incarnation is kept for requests that are found broken later.
const RETENTION: Duration = Duration::from_secs(10);

/// Handles a connection to an endpoint that broke under a request.
pub(crate) fn handle_broken_connection(
    shared: &Arc<Shared>,
    endpoint: &Arc<str>,
    suspect: Suspect,
) {
    let mut state = shared.state();
    // A draining endpoint closes its connections when the drain time is over.
    let entry = state.fleet.entry(endpoint);
    let Some(entry) = entry.filter(|entry| entry.state == State::Ready).cloned() else {
        return;
    };
    let finding = state.broken_connections.record(endpoint, suspect);
    drop(state);
    match finding {
        Finding::New => drop(tokio::spawn(resolve(Arc::clone(shared), entry))),
        Finding::Crashed(suspect) => quarantine::record_crash(shared, endpoint, &[suspect]),
        Finding::Pending | Finding::NotCrashed => {}
    }
}

/// Handles an answer that ended with its connection, as it also does when the endpoint crashes between two events. It is a
/// success if the endpoint still accepts connections a moment later.
pub(crate) fn handle_unframed_success(
    shared: &Arc<Shared>,
    endpoint: &Entry,
    parts: &Arc<[Part]>,
    id: &str,
) {
    let (shared, endpoint) = (Arc::clone(shared), endpoint.clone());
    let (parts, id) = (Arc::clone(parts), id.to_owned());
    tokio::spawn(async move {
        tokio::time::sleep(UNFRAMED_PAUSE).await;
        if reachability::dial(&shared, &endpoint).await.is_ok() {
            quarantine::handle_prompt_success(&shared, &parts, &id);
        }
    });
}

/// Diagnoses what happened to an endpoint, and counts a crash against the requests that it ran.
async fn resolve(shared: Arc<Shared>, entry: Entry) {
    let started_at = Instant::now();
    let refusals = shared.state().refusals.count(&entry.id, shared.now());
    let diagnosis = diagnose(&shared, &entry).await;
    // Other instances may have notified this one of refusals in the meantime.
    let refusals = refusals.max(shared.state().refusals.count(&entry.id, shared.now()));
    let diagnosis = diagnosis.after_refusals(refusals);
    let suspects = shared
        .state()
        .broken_connections
        .resolve(&entry.id, diagnosis);
    metrics::broken(diagnosis, suspects.len());
    spdlog::info!(
        "endpoint_broke endpoint={} service={} diagnosis={} requests={} refusals={} ms={}",
        entry.id,
        entry.service,
        diagnosis.name(),
        suspects.len(),
        refusals,
        started_at.elapsed().as_millis()
    );
    if diagnosis.is_crash() {
        quarantine::record_crash(&shared, &entry.id, &suspects);
    }
    tokio::time::sleep(RETENTION).await;
    shared.state().broken_connections.remove(&entry.id);
}

async fn diagnose(shared: &Shared, entry: &Entry) -> Diagnosis {
    let mut is_listening = false;
    let mut was_refused = false;
    for pause in PROBE_PAUSES {
        tokio::time::sleep(pause).await;
        match reachability::dial(shared, entry).await {
            Err(ConnectError::Refused(_)) => {
                let observed = relays::ask_other(shared, entry).await;
                let are_links_up = shared.state().reachability.links(&entry.service) == Links::Up;
                let diagnosis = observed.diagnose_refusal(are_links_up, was_refused);
                if let Some(diagnosis) = diagnosis {
                    return diagnosis;
                }
                was_refused = true;
            }
            Ok(_) => is_listening = true,
            Err(_) => {}
        }
    }
    if is_listening {
        return Diagnosis::Listens;
    }
    let deadline = Instant::now() + LIST_TIMEOUT;
    while Instant::now() < deadline {
        let listed = shared.state().fleet.entry(&entry.id).map(|e| e.state);
        match listed {
            None => return Diagnosis::Delisted,
            Some(State::Draining) => return Diagnosis::Leaves,
            Some(State::Ready) => tokio::time::sleep(LIST_POLL).await,
        }
    }
    Diagnosis::Silent
}
