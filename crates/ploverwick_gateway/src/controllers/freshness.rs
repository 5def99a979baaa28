//! Keeps a proof that the configuration at hand was the newest a short while ago.
//!
//! Only where keys must stop to work within a bound at every instance. The first instances of a failure
//! domain read the store, which costs a call each; the others ask them, which costs a datagram each way.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;
use ploverwick_platform::OPERATOR_TOPIC;
use ploverwick_topics::freshness::{Action, Proof};
use ploverwick_topics::{Position, Reading};

use crate::messages::{Message, QueryId};
use crate::metrics;
use crate::shared::Shared;
use crate::state::{PEER_TIMEOUT, State};
use crate::topics::Topic;

/// How often an instance looks whether there is anything to prove.
const IDLE: Duration = Duration::from_millis(250);
/// The part of the bound for which an answer of the store is awaited. On bad days it takes 240 ms, and
/// where answers are lost another read is better than a wait.
const ANSWER: f64 = 0.16;
/// The most peers that are asked at once.
const MOST_ASKED: usize = 6;

/// Keeps the proof for as long as the process runs.
pub(crate) async fn keep(shared: Arc<Shared>) {
    let Some(bound) = shared.settings.revocation else {
        return;
    };
    loop {
        if !is_needed(&shared) {
            tokio::time::sleep(IDLE).await;
            continue;
        }
        let now = shared.now();
        let (need, age) = {
            let state = shared.state();
            let rank = state.rank(&shared.settings, now);
            (
                state.freshness.next_action(rank, bound, now),
                state.freshness.age(now),
            )
        };
        metrics::configuration_age(age);
        match need {
            Action::Idle { until } => {
                let until = shared.clock.instant(until.min(now + IDLE));
                tokio::time::sleep_until(until).await;
            }
            Action::AskDomain => ask(&shared, false, now),
            Action::AskAllDomains => ask(&shared, true, now),
            Action::ReadStore => read(&shared, bound, now).await,
        }
    }
}

/// Returns whether requests need keys, or may: a start that waits for its configuration first would refuse
/// requests for as long as a proof takes then.
fn is_needed(shared: &Shared) -> bool {
    let state = shared.state();
    let config = state.config.as_ref();
    config.is_none_or(|config| config.organisations().is_some())
}

/// Asks peers that read the store for a proof.
fn ask(shared: &Shared, of_all_domains: bool, now: Moment) {
    let mut state = shared.state();
    state.freshness.record_ask(now);
    let to = readers(shared, &state, of_all_domains, now);
    drop(state);
    let query_id = shared.query_id(now);
    shared
        .peer_socket
        .send(&Message::ProofRequest { query_id }, &to);
}

/// Lists peers that read the operator's topic, those with more of a processor first; of this failure domain
/// the first one alone.
fn readers(shared: &Shared, state: &State, of_all_domains: bool, now: Moment) -> Vec<IpAddr> {
    let peers = state.peers.iter().filter(|(_, peer)| {
        let is_heard = peer
            .last_seen
            .is_some_and(|at| now.since(at) <= PEER_TIMEOUT);
        let reads = peer.read_states.of(Topic::Operator).reading == Reading::Reads;
        let is_near = peer.domain == shared.settings.domain;
        is_heard && reads && (is_near || of_all_domains)
    });
    let mut peers: Vec<_> = peers
        .map(|(name, peer)| (peer.candidate(name), peer.ip))
        .collect();
    peers.sort_by(|(a, _), (b, _)| b.precedes(*a).cmp(&a.precedes(*b)));
    let most = if of_all_domains { MOST_ASKED } else { 1 };
    peers.into_iter().take(most).map(|(_, ip)| ip).collect()
}

/// Reads where the operator's topic ends.
async fn read(shared: &Shared, bound: Duration, now: Moment) {
    let from = {
        let mut state = shared.state();
        state.freshness.record_read(now);
        state.read_states.of(Topic::Operator).end
    };
    let reading = shared.store.read(OPERATOR_TOPIC, from, Duration::ZERO);
    let end = match tokio::time::timeout(bound.mul_f64(ANSWER), reading).await {
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
    // Whoever is behind reads on.
    shared.inboxes.of(Topic::Operator).observe_end(end);
}

/// Answers a peer's question.
pub(crate) fn answer(shared: &Shared, to: IpAddr, query_id: QueryId) {
    let now = shared.now();
    let Some(proven) = shared.state().freshness.proof() else {
        return;
    };
    let age = proven.age(now).as_millis();
    let answer = Message::Proof {
        query_id,
        end: proven.end,
        age_ms: u64::try_from(age).unwrap_or(u64::MAX),
    };
    shared.peer_socket.send(&answer, &[to]);
}

/// Takes in a peer's answer. The peer worked out the age after it was asked, so that its proof is no older
/// than the age counted from the question.
pub(crate) fn hear(shared: &Shared, query_id: QueryId, end: Position, age: Duration) {
    if !shared.is_own_query(query_id) {
        return;
    }
    let statement = Proof::with_age(end, query_id.sent_at, age);
    shared.state().freshness.add_proof(statement);
    shared.inboxes.of(Topic::Operator).observe_end(end);
}
