//! Maintains a proof that the known configuration was the newest a short while ago.
//!
//! This is needed only if revoked keys must stop working at every instance within a bound. The highest-ranked
//! instances of a failure domain read the store, at the cost of a call each. The others ask them, at the cost
//! of a datagram in each direction.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;
use ploverwick_platform::OPERATOR_TOPIC;
use ploverwick_topics::freshness::{Action, Proof};
use ploverwick_topics::{Position, Reading};

use crate::messages::{CorrelationId, Message};
use crate::metrics;
use crate::shared::Shared;
use crate::state::{PEER_TIMEOUT, State};
use crate::topics::Topic;

/// How often to check whether a proof is needed.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The timeout of a read, as a share of the bound. A slow answer takes 240 ms, and if answers are lost,
/// another read is better than a longer wait.
const READ_TIMEOUT_SHARE: f64 = 0.16;
/// The maximum number of peers to ask at once.
const MAX_PEERS_ASKED: usize = 6;

/// Maintains the proof for as long as the process runs.
pub(crate) async fn run(shared: Arc<Shared>) {
    let Some(bound) = shared.settings.revocation else {
        return;
    };
    loop {
        if !is_needed(&shared) {
            tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
            continue;
        }
        let now = shared.now();
        let (action, age) = {
            let state = shared.state();
            let rank = state.rank(&shared.settings, now);
            (
                state.freshness.next_action(rank, bound, now),
                state.freshness.age(now),
            )
        };
        metrics::configuration_age(age);
        match action {
            Action::Idle { until } => {
                let until = shared.clock.instant(until.min(now + IDLE_CHECK_INTERVAL));
                tokio::time::sleep_until(until).await;
            }
            Action::AskDomain => ask_peers(&shared, false, now),
            Action::AskAllDomains => ask_peers(&shared, true, now),
            Action::ReadStore => read_end(&shared, bound, now).await,
        }
    }
}

/// Returns whether requests need keys, or may need them because the configuration is not known yet. Waiting
/// for the configuration first would refuse requests until a proof is obtained.
fn is_needed(shared: &Shared) -> bool {
    let state = shared.state();
    let config = state.config.as_ref();
    config.is_none_or(|config| config.organisations().is_some())
}

/// Asks peers that read the store for a proof.
fn ask_peers(shared: &Shared, of_all_domains: bool, now: Moment) {
    let mut state = shared.state();
    state.freshness.record_ask(now);
    let to = readers(shared, &state, of_all_domains, now);
    drop(state);
    let correlation_id = shared.correlation_id(now);
    shared
        .peer_socket
        .send(&Message::ProofRequest { correlation_id }, &to);
}

/// Returns peers that read the operator's topic, highest rank first; only one if this failure domain alone is
/// asked.
fn readers(shared: &Shared, state: &State, of_all_domains: bool, now: Moment) -> Vec<IpAddr> {
    let peers = state.peers.iter().filter(|(_, peer)| {
        let is_alive = peer
            .last_seen
            .is_some_and(|at| now.since(at) <= PEER_TIMEOUT);
        let reads = peer.read_states.of(Topic::Operator).reading == Reading::Reads;
        let is_local = peer.domain == shared.settings.domain;
        is_alive && reads && (is_local || of_all_domains)
    });
    let mut peers: Vec<_> = peers
        .map(|(name, peer)| (peer.candidate(name), peer.ip))
        .collect();
    peers.sort_by(|(a, _), (b, _)| b.precedes(*a).cmp(&a.precedes(*b)));
    let max_peers = if of_all_domains { MAX_PEERS_ASKED } else { 1 };
    peers
        .into_iter()
        .take(max_peers)
        .map(|(_, ip)| ip)
        .collect()
}

/// Reads the end of the operator's topic from the store.
async fn read_end(shared: &Shared, bound: Duration, now: Moment) {
    let from = {
        let mut state = shared.state();
        state.freshness.record_read(now);
        state.read_states.of(Topic::Operator).end
    };
    let read = shared.store.read(OPERATOR_TOPIC, from, Duration::ZERO);
    let end = match tokio::time::timeout(bound.mul_f64(READ_TIMEOUT_SHARE), read).await {
        Ok(Ok(batch)) => batch.end,
        Ok(Err(error)) => {
            spdlog::debug!("proof_failed cause=\"{}\"", error);
            return;
        }
        Err(_) => {
            spdlog::debug!("proof_failed cause=\"no answer in time\"");
            return;
        }
    };
    let mut state = shared.state();
    state.freshness.record_answer();
    state.freshness.add_proof(Proof::new(end, now));
    drop(state);
    // The subscription then reads records that are missing.
    shared.inboxes.of(Topic::Operator).observe_end(end);
}

/// Answers a peer's request for a proof.
pub(crate) fn handle_proof_request(shared: &Shared, to: IpAddr, correlation_id: CorrelationId) {
    let now = shared.now();
    let Some(proof) = shared.state().freshness.proof() else {
        return;
    };
    let age = proof.age(now).as_millis();
    let answer = Message::Proof {
        correlation_id,
        end: proof.end,
        age_ms: u64::try_from(age).unwrap_or(u64::MAX),
    };
    shared.peer_socket.send(&answer, &[to]);
}

/// Handles a peer's proof. The peer computed the age after it received the request, so the proof is no older
/// than that age counted from when the request was sent.
pub(crate) fn handle_proof(
    shared: &Shared,
    correlation_id: CorrelationId,
    end: Position,
    age: Duration,
) {
    if !shared.is_own_correlation_id(correlation_id) {
        return;
    }
    let proof = Proof::with_age(end, correlation_id.sent_at, age);
    shared.state().freshness.add_proof(proof);
    shared.inboxes.of(Topic::Operator).observe_end(end);
}
