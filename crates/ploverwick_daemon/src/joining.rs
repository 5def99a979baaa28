//! Requests with a key: one run, whose answer every repeat gets.
//!
//! A key's answer is kept at the entry that runs it. A repeat at the same entry reads it; a repeat
//! elsewhere finds its place through the claim in the log. Only the winner of a claim may run a
//! non-idempotent request, and a winner that does not run it gives the claim back.

use std::sync::Arc;
use std::time::Duration;

use ploverwick_claims::partition::Holder;
use ploverwick_claims::scribe::Outcome;
use ploverwick_codes::attempt::{Attempt, Refusal, Verdict};
use ploverwick_codes::{Class, Code};
use ploverwick_timeline::{Event, Kind};
use ploverwick_wire::{JoinAsk, frame};
use tokio::sync::mpsc;

use crate::answer::{Answer, Entry, Head, Part, Sink};
use crate::chain::{Exchange, Keyed, refuse, remaining};
use crate::controllers::claims;
use crate::lock::lock;
use crate::node::Node;
use crate::relay::frames::Frames;
use crate::relay::relay;

const LOG_HINT: Duration = Duration::from_secs(1);

/// Runs a keyed request, or joins the run that its key already has.
pub(crate) async fn run(node: Arc<Node>, exchange: Exchange, sender: mpsc::Sender<Part>) {
    let Some(keyed) = exchange.keyed else { return };
    let after = exchange.resume_after;
    let left = remaining(&node, exchange.deadline);
    let answer = match node.answers.entry(keyed.key, &exchange.request) {
        Entry::Found(answer) => {
            let event = Event::new(Kind::Claim, format!("joins {}", answer.request));
            node.record(event.request(&exchange.request));
            answer
        }
        Entry::Begun(answer) => {
            let begun = Arc::clone(&answer);
            tokio::spawn(begin(Arc::clone(&node), exchange, keyed, begun));
            answer
        }
    };
    let late = sender.clone();
    if tokio::time::timeout(left, answer.read(after, sender))
        .await
        .is_err()
    {
        let sent = Attempt::new().send();
        let verdict = sent.fail(Code::DeadlineWhileRunning, "the answer is not whole yet");
        let _ = late.send(Part::End(verdict)).await;
    }
}

/// Fills a begun answer: by running the request, or from whoever holds its key.
async fn begin(node: Arc<Node>, exchange: Exchange, keyed: Keyed, answer: Arc<Answer>) {
    let request = exchange.request.clone();
    let sink = Sink::Kept(Arc::clone(&answer));
    let verdict = if exchange.idempotent {
        first_run(&node, exchange, sink).await
    } else {
        claim_and_run(&node, exchange, keyed, sink).await
    };
    if verdict.code().class() == Class::NotRun {
        node.answers.remove(&keyed.key, &request);
    } else {
        node.answers.finished(keyed.key, &answer);
    }
}

async fn end(sink: &Sink, verdict: Verdict) -> Verdict {
    // A kept answer takes every part.
    let _ = sink.send(Part::End(verdict.clone())).await;
    verdict
}

/// Runs a request that has no answer here. One that resumes would need the earlier run's rest.
async fn first_run(node: &Arc<Node>, mut exchange: Exchange, sink: Sink) -> Verdict {
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
    keyed: Keyed,
    sink: Sink,
) -> Verdict {
    let event = |what: String| {
        node.record(Event::new(Kind::Claim, what).request(&exchange.request));
    };
    match claims::claim(node, &exchange.request, keyed).await {
        Outcome::Won => {
            event("wins its key".to_owned());
            // Whatever the caller has of an earlier answer, this run starts at the beginning.
            exchange.resume_after = 0;
            let request = exchange.request.clone();
            let verdict = relay(Arc::clone(node), exchange, sink).await;
            if verdict.code().class() == Class::NotRun {
                claims::forfeit(node, &request, keyed);
            }
            verdict
        }
        Outcome::Lost(holder) => {
            event(format!("loses its key to {}", holder.request));
            join(node, &holder, keyed, &sink).await
        }
        Outcome::Expired => {
            let message = "the key is outside the window in which repeats are recognised";
            end(&sink, refuse(Code::KeyExpired, message)).await
        }
        Outcome::Unconfirmed => {
            event("gives up its claim: the log does not confirm".to_owned());
            let verdict = refuse(Code::LogUnavailable, "the log does not confirm the key");
            let verdict = end(&sink, verdict.retry_after(LOG_HINT)).await;
            // The claim may still take effect; without this the key would stay taken.
            claims::forfeit(node, &exchange.request, keyed);
            verdict
        }
    }
}

/// Copies the answer from the entry that holds the key.
pub(crate) async fn join(node: &Arc<Node>, holder: &Holder, keyed: Keyed, sink: &Sink) -> Verdict {
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
        // The answer was here and is not any more, or the claim was given up and not yet back.
        return end(sink, gone_here(node, holder, keyed)).await;
    }
    let ask = JoinAsk {
        key: keyed.key.as_bytes().to_vec().into(),
        request: holder.request.to_string(),
        resume_after: 0,
    };
    let frames = Frames::join(node, address, ask).await;
    let verdict = match frames {
        Ok(mut frames) => copy(&mut frames, sink).await,
        Err(cause) => unknown(format!("cannot ask {}: {cause}", holder.life)),
    };
    end(sink, verdict).await
}

/// Says what became of a request of this life whose answer is not held.
pub(crate) fn gone_here(node: &Arc<Node>, holder: &Holder, keyed: Keyed) -> Verdict {
    if claims::was_given_up(node, &holder.request) {
        claims::forfeit(node, &holder.request, keyed);
        let verdict = refuse(
            Code::LogUnavailable,
            "an earlier try of the key is being undone",
        );
        return verdict.retry_after(LOG_HINT);
    }
    let sent = Attempt::new().send();
    sent.fail(Code::AnswerLost, "the answer is no longer held")
}

async fn copy(frames: &mut Frames, sink: &Sink) -> Verdict {
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
