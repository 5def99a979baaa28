//! Requests with an idempotency key, which run once and whose repeats receive the same response.
//!
//! The response is cached on the instance that received the first request. A repeat on the same
//! instance reads it from the cache; on another instance the claim in the log shows which instance
//! holds it. A non-idempotent request may only run if it wins the claim of its key, and forfeits the
//! claim if it does not run.

use std::sync::Arc;
use std::time::Duration;

use ploverwick_claims::partition::Holder;
use ploverwick_claims::scribe::Outcome;
use ploverwick_codes::attempt::{Attempt, Refusal, Verdict};
use ploverwick_codes::{Class, Code};
use ploverwick_timeline::{Event, Kind};
use ploverwick_wire::{JoinAsk, frame};
use tokio::sync::mpsc;

use crate::chain::{Exchange, IdempotencyKey, refuse, remaining};
use crate::controllers::claims;
use crate::lock::lock;
use crate::node::Node;
use crate::relay::frames::Frames;
use crate::relay::relay;
use crate::response::{CachedResponse, Head, Lookup, Part, Sink};

const LOG_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Runs a request with a key, or attaches it to the existing run of that key.
pub(crate) async fn run(node: Arc<Node>, exchange: Exchange, sender: mpsc::Sender<Part>) {
    let Some(idempotency_key) = exchange.idempotency_key else {
        return;
    };
    let after = exchange.resume_after;
    let time_left = remaining(&node, exchange.deadline);
    let response = match node.responses.entry(idempotency_key.key, &exchange.request) {
        Lookup::Found(response) => {
            let event = Event::new(Kind::Claim, format!("joins {}", response.request));
            node.record(event.request(&exchange.request));
            response
        }
        Lookup::Started(response) => {
            let started = Arc::clone(&response);
            tokio::spawn(run_first(
                Arc::clone(&node),
                exchange,
                idempotency_key,
                started,
            ));
            response
        }
    };
    let late = sender.clone();
    if tokio::time::timeout(time_left, response.read(after, sender))
        .await
        .is_err()
    {
        let sent = Attempt::new().send();
        let verdict = sent.fail(Code::DeadlineWhileRunning, "the answer is not whole yet");
        let _ = late.send(Part::End(verdict)).await;
    }
}

/// Fills a new cache entry, by running the request or by copying the response from the instance that
/// holds the key.
async fn run_first(
    node: Arc<Node>,
    exchange: Exchange,
    idempotency_key: IdempotencyKey,
    response: Arc<CachedResponse>,
) {
    let request = exchange.request.clone();
    let sink = Sink::Cached(Arc::clone(&response));
    let verdict = if exchange.idempotent {
        run_idempotent(&node, exchange, sink).await
    } else {
        claim_and_run(&node, exchange, idempotency_key, sink).await
    };
    if verdict.code().class() == Class::NotRun {
        node.responses.remove(&idempotency_key.key, &request);
    } else {
        node.responses.finished(idempotency_key.key, &response);
    }
}

async fn end(sink: &Sink, verdict: Verdict) -> Verdict {
    // A cached response accepts every part.
    let _ = sink.send(Part::End(verdict.clone())).await;
    verdict
}

/// Runs an idempotent request that has no cached response here. One that resumes is refused, because
/// it needs the rest of the earlier run.
async fn run_idempotent(node: &Arc<Node>, mut exchange: Exchange, sink: Sink) -> Verdict {
    if exchange.resume_after > 0 {
        let verdict = refuse(
            Code::ResumeUnknown,
            "this instance holds no answer for the key",
        );
        return end(&sink, verdict).await;
    }
    exchange.resume_after = 0;
    relay(Arc::clone(node), exchange, sink).await
}

async fn claim_and_run(
    node: &Arc<Node>,
    mut exchange: Exchange,
    idempotency_key: IdempotencyKey,
    sink: Sink,
) -> Verdict {
    let event = |what: String| {
        node.record(Event::new(Kind::Claim, what).request(&exchange.request));
    };
    match claims::claim(node, &exchange.request, idempotency_key).await {
        Outcome::Won => {
            event("wins its key".to_owned());
            // This run starts from the beginning, even if the caller has received a part of an
            // earlier response.
            exchange.resume_after = 0;
            let request = exchange.request.clone();
            let verdict = relay(Arc::clone(node), exchange, sink).await;
            if verdict.code().class() == Class::NotRun {
                claims::forfeit(node, &request, idempotency_key);
            }
            verdict
        }
        Outcome::Lost(holder) => {
            event(format!("loses its key to {}", holder.request));
            join(node, &holder, idempotency_key, &sink).await
        }
        Outcome::Expired => {
            let message = "the key is outside the window in which repeats are recognised";
            end(&sink, refuse(Code::KeyExpired, message)).await
        }
        Outcome::Unconfirmed => {
            event("gives up its claim: the log does not confirm".to_owned());
            let verdict = refuse(Code::LogUnavailable, "the log does not confirm the key");
            let verdict = end(&sink, verdict.retry_after(LOG_RETRY_AFTER)).await;
            // The claim may still take effect. Without the forfeit the key would then be blocked.
            claims::forfeit(node, &exchange.request, idempotency_key);
            verdict
        }
    }
}

/// Copies the response from the instance that holds the key.
pub(crate) async fn join(
    node: &Arc<Node>,
    holder: &Holder,
    idempotency_key: IdempotencyKey,
    sink: &Sink,
) -> Verdict {
    let unknown = |message: String| Attempt::new().send().fail(Code::OutcomeUnknown, message);
    let address = {
        let members = lock(&node.members);
        let present = members.is_present(&holder.life);
        present
            .then(|| members.address(&holder.life.instance))
            .flatten()
    };
    let Some(address) = address else {
        let message = format!("{} started the request and is gone", holder.life);
        return end(sink, unknown(message)).await;
    };
    if holder.life == node.life {
        // The response was evicted, or the claim was abandoned and is not forfeited yet.
        return end(sink, missing_response(node, holder, idempotency_key)).await;
    }
    let message = JoinAsk {
        key: idempotency_key.key.as_bytes().to_vec().into(),
        request: holder.request.to_string(),
        resume_after: 0,
    };
    let frames = Frames::join(node, address, message).await;
    let verdict = match frames {
        Ok(mut frames) => copy_frames(&mut frames, sink).await,
        Err(cause) => unknown(format!("cannot ask {}: {cause}", holder.life)),
    };
    end(sink, verdict).await
}

/// Returns the verdict of a request of this process whose response is not cached.
pub(crate) fn missing_response(
    node: &Arc<Node>,
    holder: &Holder,
    idempotency_key: IdempotencyKey,
) -> Verdict {
    if claims::was_abandoned(node, &holder.request) {
        claims::forfeit(node, &holder.request, idempotency_key);
        let verdict = refuse(
            Code::LogUnavailable,
            "an earlier try of the key is being undone",
        );
        return verdict.retry_after(LOG_RETRY_AFTER);
    }
    let sent = Attempt::new().send();
    sent.fail(Code::AnswerLost, "the answer is no longer held")
}

async fn copy_frames(frames: &mut Frames, sink: &Sink) -> Verdict {
    let sent = Attempt::new().send();
    loop {
        let part = match frames.next().await {
            Ok(frame::Part::Head(head)) => Part::Head(Head {
                status: u16::try_from(head.status).unwrap_or_default(),
                content_type: head.content_type,
                model: Some(head.model).filter(|model| !model.is_empty()),
            }),
            Ok(frame::Part::Chunk(chunk)) => Part::Data(chunk.data, chunk.last_event),
            Ok(frame::Part::End(end)) => {
                let code = u16::try_from(end.code).ok().and_then(Code::from_number);
                let code = code.unwrap_or(Code::OutcomeUnknown);
                let hint = Duration::from_millis(end.retry_after_ms);
                let hint = (!hint.is_zero()).then_some(hint);
                if code == Code::Done {
                    return sent.finish();
                }
                return match Refusal::decode(code, end.message.clone(), hint) {
                    Some(refusal) => sent.refused(refusal),
                    None => sent.fail(code, end.message),
                };
            }
            Err(cause) => return sent.fail(Code::OutcomeUnknown, cause),
        };
        if sink.send(part).await.is_err() {
            return sent.fail(Code::CancelledWhileRunning, "the caller left");
        }
    }
}
