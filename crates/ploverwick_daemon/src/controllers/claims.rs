//! Decides which request may run under a key: asks the scribe of the key's partition, and is the
//! scribe of some partitions itself.

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

use crate::chain::Keyed;
use crate::listing;
use crate::lock::lock;
use crate::node::Node;
use crate::scribes::Asked;

/// The pause after a failed read.
const PAUSE: Duration = Duration::from_millis(100);
/// How often a scribe looks at its batch and its waiting claims.
const TICK: Duration = Duration::from_millis(5);
/// How often giving a claim back is tried, and the first pause between tries.
const FORFEIT_TRIES: u32 = 6;
const FORFEIT_PAUSE: Duration = Duration::from_millis(200);

fn stream(partition: u32) -> String {
    format!("claims-{partition}")
}

/// Claims a key for a request of this entry.
pub(crate) async fn claim(node: &Arc<Node>, request: &Request, keyed: Keyed) -> Outcome {
    let timeout = node.settings.claims.timeout();
    let asking = ask(node, request, keyed, false);
    let answered = tokio::time::timeout(timeout, asking).await;
    let outcome = answered.unwrap_or(Outcome::Unconfirmed);
    if outcome == Outcome::Unconfirmed {
        node.scribes.give_up(request);
    }
    metrics::counter!("ploverwick_claims", "outcome" => name(&outcome)).increment(1);
    outcome
}

fn name(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Won => "won",
        Outcome::Lost(_) => "lost",
        Outcome::Expired => "expired",
        Outcome::Unconfirmed => "unconfirmed",
    }
}

/// Says whether a request of this life gave its claim up, so that it never ran and never will.
pub(crate) fn was_given_up(node: &Node, request: &Request) -> bool {
    node.scribes.gave_up(request)
}

/// Gives a claim back for a request that did not run and never will.
pub(crate) fn forfeit(node: &Arc<Node>, request: &Request, keyed: Keyed) {
    node.scribes.give_up(request);
    let node = Arc::clone(node);
    let request = request.clone();
    // The caller has its verdict; this may take as long as the log is out.
    tokio::spawn(async move {
        let mut pause = FORFEIT_PAUSE;
        for _ in 0..FORFEIT_TRIES {
            let asking = ask(&node, &request, keyed, true);
            let timeout = node.settings.claims.timeout();
            if tokio::time::timeout(timeout, asking).await == Ok(Outcome::Won) {
                return;
            }
            tokio::time::sleep(pause).await;
            pause *= 2;
        }
    });
}

async fn ask(node: &Arc<Node>, request: &Request, keyed: Keyed, forfeit: bool) -> Outcome {
    let partition = keyed.key.partition(node.settings.claims.partitions);
    let ask = ClaimAsk {
        partition,
        key: keyed.key.as_bytes().to_vec().into(),
        instance: node.life.instance.to_string(),
        incarnation: node.life.incarnation.0,
        request: request.to_string(),
        forfeit,
        made_ms: keyed.made_ms,
    };
    let Some(scribe) = scribe_of(node, partition) else {
        return Outcome::Unconfirmed;
    };
    if scribe == node.life.instance {
        return decide(node, &ask).await;
    }
    let address = lock(&node.members).address(&scribe);
    let Some(address) = address else {
        return Outcome::Unconfirmed;
    };
    let Ok(mut link) = node.links.get(address).await else {
        return Outcome::Unconfirmed;
    };
    match link.claim(ask).await {
        Ok(answer) => from_wire(&answer.into_inner()),
        Err(_) => {
            node.links.forget(address);
            Outcome::Unconfirmed
        }
    }
}

/// Returns the instance that should be the scribe of a partition. Any instance may be: the choice
/// only saves appends.
fn scribe_of(node: &Node, partition: u32) -> Option<Instance> {
    let able = lock(&node.members).eligible();
    listing::chosen(&stream(partition), &able)
}

/// Decides a claim as the scribe of its partition.
pub(crate) async fn decide(node: &Arc<Node>, ask: &ClaimAsk) -> Outcome {
    let Some(read) = read_ask(ask) else {
        return Outcome::Unconfirmed;
    };
    let task = task(node, ask.partition);
    let (answer, answered) = oneshot::channel();
    let asked = Asked { ask: read, answer };
    if task.send(asked).await.is_err() {
        return Outcome::Unconfirmed;
    }
    answered.await.unwrap_or(Outcome::Unconfirmed)
}

fn read_ask(ask: &ClaimAsk) -> Option<ClaimRequest> {
    let life = Life {
        instance: Instance::new(&ask.instance).ok()?,
        incarnation: Incarnation(ask.incarnation),
    };
    Some(ClaimRequest {
        record: Record {
            key: Key::from_bytes(&ask.key).ok()?,
            request: Request::new(&ask.request).ok()?,
            life,
            forfeit: ask.forfeit,
        },
        made_ms: ask.made_ms,
    })
}

fn task(node: &Arc<Node>, partition: u32) -> mpsc::Sender<Asked> {
    let (sender, asks) = node.scribes.open(partition);
    if let Some(asks) = asks {
        tokio::spawn(run(Arc::clone(node), partition, asks));
    }
    sender
}

/// The scribe of one partition: reads the stream, gathers claims, answers them.
async fn run(node: Arc<Node>, partition: u32, mut asks: mpsc::Receiver<Asked>) {
    let claims = &node.settings.claims;
    let mut scribe = Scribe::new(Config {
        batch_interval: claims.batch(),
        window: claims.window(),
        timeout: claims.timeout(),
    });
    let mut waiting = HashMap::new();
    let (batches, mut read) = mpsc::channel(1);
    let reader = read_stream(Arc::clone(&node), partition, batches);
    let reader = tokio::spawn(reader);
    let (results, mut appended) = mpsc::channel(1);
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            asked = asks.recv() => {
                let Some(Asked { ask, answer }) = asked else { break };
                waiting.insert(ask.record.request.clone(), answer);
                let answered = scribe.submit(ask, now_millis(), node.now());
                reply(&mut waiting, answered);
            }
            batch = read.recv() => {
                let Some(batch) = batch else { break };
                reply(&mut waiting, apply(&mut scribe, &batch));
            }
            result = appended.recv() => match result {
                Some((records, Err(fault))) if CallError::had_no_effect(&fault) => {
                    scribe.not_appended(records);
                }
                _ => scribe.appended(),
            },
            _ = ticks.tick() => reply(&mut waiting, scribe.tick(now_millis(), node.now())),
        }
        if let Some(records) = scribe.batch(node.now()) {
            let node = Arc::clone(&node);
            let results = results.clone();
            tokio::spawn(async move {
                let texts = records
                    .iter()
                    .map(|record| serde_json::to_string(record).unwrap_or_default());
                let result = node.log.append(&stream(partition), texts.collect()).await;
                let _ = results.send((records, result)).await;
            });
        }
    }
    reader.abort();
}

fn apply(scribe: &mut Scribe, batch: &Batch) -> Vec<Answer> {
    let mut answers = Vec::new();
    for record in &batch.records {
        let Ok(parsed) = serde_json::from_str::<Record>(&record.text) else {
            spdlog::error!("claims record {} cannot be read", record.offset);
            continue;
        };
        answers.extend(scribe.apply(record.offset, record.at_ms, &parsed));
    }
    if batch.reaches_end() {
        scribe.caught_up();
    }
    answers
}

fn reply(
    waiting: &mut HashMap<Request, oneshot::Sender<Outcome>>,
    answers: impl IntoIterator<Item = Answer>,
) {
    for answer in answers {
        if let Some(sender) = waiting.remove(&answer.request) {
            // The asker may have given up.
            let _ = sender.send(answer.outcome);
        }
    }
}

async fn read_stream(node: Arc<Node>, partition: u32, batches: mpsc::Sender<Batch>) {
    let stream = stream(partition);
    let wait = node.settings.table.poll();
    let mut next = ploverwick_names::Offset(1);
    loop {
        match node.log.read(&stream, next, wait).await {
            Ok(batch) => {
                next = next.max(batch.start);
                if let Some(last) = batch.records.last() {
                    next = ploverwick_names::Offset(last.offset.0 + 1);
                }
                if batches.send(batch).await.is_err() {
                    return;
                }
            }
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
    }
}

/// Makes the message of a decision.
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
