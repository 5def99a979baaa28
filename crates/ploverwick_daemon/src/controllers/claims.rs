//! Claims of idempotency keys: sends claims to the scribe of the key's partition, and runs the
//! scribes of the partitions assigned to this daemon.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_claims::Key;
use ploverwick_claims::partition::{Holder, Record};
use ploverwick_claims::scribe::{Answer, ClaimRequest, Config, Outcome, Scribe};
use ploverwick_names::{Incarnation, Instance, Life, Request};
use ploverwick_ports::client::CallError;
use ploverwick_ports::log::Batch;
use ploverwick_timeline::clock::now_millis;
use ploverwick_wire::claim_answer::Outcome as WireOutcome;
use ploverwick_wire::{ClaimAnswer, ClaimAsk};
use tokio::sync::{mpsc, oneshot};
use tokio::time::MissedTickBehavior;

use crate::chain::IdempotencyKey;
use crate::listing;
use crate::lock::lock;
use crate::node::Node;
use crate::scribes::PendingClaim;

/// The delay before a failed read of a stream is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// How often a scribe checks whether a batch is due and whether pending claims have timed out.
const TICK_INTERVAL: Duration = Duration::from_millis(5);
/// The maximum number of attempts to forfeit a claim.
const FORFEIT_ATTEMPTS: u32 = 6;
/// The delay after the first failed attempt to forfeit a claim. It doubles with each attempt.
const FORFEIT_RETRY_DELAY: Duration = Duration::from_millis(200);

fn stream_name(partition: u32) -> String {
    format!("claims-{partition}")
}

/// Claims a key for a request that this daemon has received.
pub(crate) async fn claim(
    node: &Arc<Node>,
    request: &Request,
    idempotency_key: IdempotencyKey,
) -> Outcome {
    let timeout = node.settings.claims.timeout();
    let call = request_claim(node, request, idempotency_key, false);
    let answered = tokio::time::timeout(timeout, call).await;
    let outcome = answered.unwrap_or(Outcome::Unconfirmed);
    if outcome == Outcome::Unconfirmed {
        node.scribes.abandon(request);
    }
    metrics::counter!("ploverwick_claims", "outcome" => outcome_label(&outcome)).increment(1);
    outcome
}

fn outcome_label(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Won => "won",
        Outcome::Lost(_) => "lost",
        Outcome::Expired => "expired",
        Outcome::Unconfirmed => "unconfirmed",
    }
}

/// Returns whether a request of this process has abandoned its claim. Such a request has not run
/// and never will.
pub(crate) fn was_abandoned(node: &Node, request: &Request) -> bool {
    node.scribes.is_abandoned(request)
}

/// Forfeits the claim of a request that did not run and never will.
pub(crate) fn forfeit(node: &Arc<Node>, request: &Request, idempotency_key: IdempotencyKey) {
    node.scribes.abandon(request);
    let node = Arc::clone(node);
    let request = request.clone();
    // Runs in the background, because retries during an outage of the log would delay the caller.
    tokio::spawn(async move {
        let mut delay = FORFEIT_RETRY_DELAY;
        for _ in 0..FORFEIT_ATTEMPTS {
            let call = request_claim(&node, &request, idempotency_key, true);
            let timeout = node.settings.claims.timeout();
            if tokio::time::timeout(timeout, call).await == Ok(Outcome::Won) {
                return;
            }
            tokio::time::sleep(delay).await;
            delay *= 2;
        }
    });
}

async fn request_claim(
    node: &Arc<Node>,
    request: &Request,
    idempotency_key: IdempotencyKey,
    forfeit: bool,
) -> Outcome {
    let partition = idempotency_key
        .key
        .partition(node.settings.claims.partitions);
    let message = ClaimAsk {
        partition,
        key: idempotency_key.key.as_bytes().to_vec().into(),
        instance: node.life.instance.to_string(),
        incarnation: node.life.incarnation.0,
        request: request.to_string(),
        forfeit,
        made_ms: idempotency_key.made_ms,
    };
    let Some(scribe) = scribe_of(node, partition) else {
        return Outcome::Unconfirmed;
    };
    if scribe == node.life.instance {
        return decide(node, &message).await;
    }
    let address = lock(&node.members).address(&scribe);
    let Some(address) = address else {
        return Outcome::Unconfirmed;
    };
    let Ok(mut peer) = node.peer_connections.get(address).await else {
        return Outcome::Unconfirmed;
    };
    match peer.claim(message).await {
        Ok(answer) => from_wire(&answer.into_inner()),
        Err(_) => {
            node.peer_connections.remove(address);
            Outcome::Unconfirmed
        }
    }
}

/// Returns the preferred scribe of a partition. Any instance could be the scribe; preferring one
/// avoids redundant appends.
fn scribe_of(node: &Node, partition: u32) -> Option<Instance> {
    let eligible = lock(&node.members).eligible();
    listing::choose_instance(&stream_name(partition), &eligible)
}

/// Submits a claim to the scribe of its partition on this daemon and waits for the outcome.
pub(crate) async fn decide(node: &Arc<Node>, message: &ClaimAsk) -> Outcome {
    let Some(claim) = decode_claim(message) else {
        return Outcome::Unconfirmed;
    };
    let task = scribe_task(node, message.partition);
    let (reply, outcome) = oneshot::channel();
    let pending = PendingClaim { claim, reply };
    if task.send(pending).await.is_err() {
        return Outcome::Unconfirmed;
    }
    outcome.await.unwrap_or(Outcome::Unconfirmed)
}

fn decode_claim(message: &ClaimAsk) -> Option<ClaimRequest> {
    let life = Life {
        instance: Instance::new(&message.instance).ok()?,
        incarnation: Incarnation(message.incarnation),
    };
    Some(ClaimRequest {
        record: Record {
            key: Key::from_bytes(&message.key).ok()?,
            request: Request::new(&message.request).ok()?,
            life,
            forfeit: message.forfeit,
        },
        made_ms: message.made_ms,
    })
}

/// Returns the channel to the scribe task of a partition, and starts the task if it is not running.
fn scribe_task(node: &Arc<Node>, partition: u32) -> mpsc::Sender<PendingClaim> {
    let (sender, receiver) = node.scribes.open(partition);
    if let Some(receiver) = receiver {
        tokio::spawn(run(Arc::clone(node), partition, receiver));
    }
    sender
}

/// Runs the scribe of one partition: reads its stream, batches claims and answers them.
async fn run(node: Arc<Node>, partition: u32, mut receiver: mpsc::Receiver<PendingClaim>) {
    let claims = &node.settings.claims;
    let mut scribe = Scribe::new(Config {
        batch_interval: claims.batch(),
        window: claims.window(),
        timeout: claims.timeout(),
    });
    let mut replies = HashMap::new();
    let (batch_sender, mut batch_receiver) = mpsc::channel(1);
    let reader = read_stream(Arc::clone(&node), partition, batch_sender);
    let reader = tokio::spawn(reader);
    let (result_sender, mut result_receiver) = mpsc::channel(1);
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            pending = receiver.recv() => {
                let Some(PendingClaim { claim, reply }) = pending else { break };
                replies.insert(claim.record.request.clone(), reply);
                let answered = scribe.submit(claim, now_millis(), node.now());
                send_replies(&mut replies, answered);
            }
            batch = batch_receiver.recv() => {
                let Some(batch) = batch else { break };
                send_replies(&mut replies, apply(&mut scribe, &batch));
            }
            result = result_receiver.recv() => match result {
                Some((records, Err(error))) if CallError::had_no_effect(&error) => {
                    scribe.not_appended(records);
                }
                _ => scribe.appended(),
            },
            _ = ticks.tick() => send_replies(&mut replies, scribe.tick(now_millis(), node.now())),
        }
        if let Some(records) = scribe.batch(node.now()) {
            let node = Arc::clone(&node);
            let result_sender = result_sender.clone();
            tokio::spawn(async move {
                let texts = records
                    .iter()
                    .map(|record| serde_json::to_string(record).unwrap_or_default());
                let result = node
                    .log
                    .append(&stream_name(partition), texts.collect())
                    .await;
                let _ = result_sender.send((records, result)).await;
            });
        }
    }
    reader.abort();
}

fn apply(scribe: &mut Scribe, batch: &Batch) -> Vec<Answer> {
    let mut answers = Vec::new();
    for record in &batch.records {
        let Ok(parsed) = serde_json::from_str::<Record>(&record.text) else {
            spdlog::error!("claims record {} cannot be decoded", record.offset);
            continue;
        };
        answers.extend(scribe.apply(record.offset, record.at_ms, &parsed));
    }
    if batch.reaches_end() {
        scribe.caught_up();
    }
    answers
}

fn send_replies(
    replies: &mut HashMap<Request, oneshot::Sender<Outcome>>,
    answers: impl IntoIterator<Item = Answer>,
) {
    for answer in answers {
        if let Some(sender) = replies.remove(&answer.request) {
            // The receiver may have timed out.
            let _ = sender.send(answer.outcome);
        }
    }
}

async fn read_stream(node: Arc<Node>, partition: u32, batch_sender: mpsc::Sender<Batch>) {
    let stream_name = stream_name(partition);
    let wait = node.settings.table.poll();
    let mut next = ploverwick_names::Offset(1);
    loop {
        match node.log.read(&stream_name, next, wait).await {
            Ok(batch) => {
                next = next.max(batch.start);
                if let Some(last) = batch.records.last() {
                    next = ploverwick_names::Offset(last.offset.0 + 1);
                }
                if batch_sender.send(batch).await.is_err() {
                    return;
                }
            }
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Converts an outcome to the message sent to a peer.
pub(crate) fn to_wire(outcome: Outcome) -> ClaimAnswer {
    let plain = |outcome: WireOutcome| ClaimAnswer {
        outcome: outcome.into(),
        ..ClaimAnswer::default()
    };
    match outcome {
        Outcome::Won => plain(WireOutcome::Won),
        Outcome::Expired => plain(WireOutcome::Expired),
        Outcome::Unconfirmed => plain(WireOutcome::Unconfirmed),
        Outcome::Lost(holder) => ClaimAnswer {
            outcome: WireOutcome::Lost.into(),
            instance: holder.life.instance.to_string(),
            incarnation: holder.life.incarnation.0,
            request: holder.request.to_string(),
        },
    }
}

fn from_wire(answer: &ClaimAnswer) -> Outcome {
    match answer.outcome() {
        WireOutcome::Won => Outcome::Won,
        WireOutcome::Expired => Outcome::Expired,
        WireOutcome::Unconfirmed => Outcome::Unconfirmed,
        WireOutcome::Lost => {
            let holder = Instance::new(&answer.instance)
                .ok()
                .zip(Request::new(&answer.request).ok());
            let Some((instance, request)) = holder else {
                return Outcome::Unconfirmed;
            };
            let incarnation = Incarnation(answer.incarnation);
            let life = Life {
                instance,
                incarnation,
            };
            Outcome::Lost(Holder { request, life })
        }
    }
}
