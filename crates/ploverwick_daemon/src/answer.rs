//! Answers on their way to callers, and answers kept for callers that repeat a key.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use ploverwick_claims::Key;
use ploverwick_codes::Code;
use ploverwick_codes::attempt::Verdict;
use ploverwick_names::Request;
use ploverwick_ports::sse;
use tokio::sync::{mpsc, watch};

use crate::lock::lock;

/// How many parts may wait for a slow caller before the endpoint is slowed down.
pub(crate) const PARTS_AHEAD: usize = 64;

/// What an answer takes besides its bytes, so that empty ones are bounded too.
const ANSWER_OVERHEAD: usize = 512;

/// The start of an answer.
#[derive(Debug, Clone)]
pub(crate) struct Head {
    /// The HTTP status.
    pub(crate) status: u16,
    /// The content type.
    pub(crate) content_type: String,
    /// The model that answers, for a request to a model.
    pub(crate) model: Option<String>,
}

/// A part of an answer.
#[derive(Debug, Clone)]
pub(crate) enum Part {
    /// The start.
    Head(Head),
    /// Bytes, whole events if the answer is a stream; with the number of the last event.
    Data(Bytes, u64),
    /// The end.
    End(Verdict),
}

/// Says that nobody wants the rest of an answer.
#[derive(Debug)]
pub(crate) struct Unwanted;

/// Where the parts of an answer go.
#[derive(Debug)]
pub(crate) enum Sink {
    /// To the one caller that waits for them.
    Direct(mpsc::Sender<Part>),
    /// To an answer that is kept, whether anybody reads it or not.
    Kept(Arc<Answer>),
}

impl Sink {
    /// Passes a part on.
    ///
    /// # Errors
    /// Fails if nobody wants the rest.
    pub(crate) async fn send(&self, part: Part) -> Result<(), Unwanted> {
        match self {
            Self::Direct(sender) => sender.send(part).await.map_err(|_| Unwanted),
            Self::Kept(answer) => {
                answer.push(part);
                Ok(())
            }
        }
    }

    /// Returns once nobody wants the rest.
    pub(crate) async fn unwanted(&self) {
        match self {
            Self::Direct(sender) => sender.closed().await,
            Self::Kept(_) => std::future::pending().await,
        }
    }
}

/// An answer that is kept whole.
#[derive(Debug)]
pub(crate) struct Answer {
    /// The request that it answers.
    pub(crate) request: Request,
    parts: watch::Sender<Vec<Part>>,
}

impl Answer {
    fn new(request: Request) -> Self {
        Self {
            request,
            parts: watch::Sender::new(Vec::new()),
        }
    }

    fn push(&self, part: Part) {
        self.parts.send_modify(|parts| {
            // An answer has one end.
            if !matches!(parts.last(), Some(Part::End(_))) {
                parts.push(part);
            }
        });
    }

    fn bytes(&self) -> usize {
        let parts = self.parts.borrow();
        let sizes = parts.iter().map(|part| match part {
            Part::Data(bytes, _) => bytes.len(),
            Part::Head(_) | Part::End(_) => 0,
        });
        ANSWER_OVERHEAD + sizes.sum::<usize>()
    }

    /// Returns how the answer ended, if it ended without being whole.
    fn failure(&self) -> Option<Verdict> {
        match self.parts.borrow().last() {
            Some(Part::End(verdict)) if verdict.code() != Code::Done => Some(verdict.clone()),
            _ => None,
        }
    }

    /// Copies the answer to `sender` as it comes, without the events up to `after`. Of one that
    /// has failed already only the end is of use.
    pub(crate) async fn read(&self, after: u64, sender: mpsc::Sender<Part>) {
        if let Some(verdict) = self.failure() {
            // The reader may have left.
            let _ = sender.send(Part::End(verdict)).await;
            return;
        }
        let mut parts = self.parts.subscribe();
        let mut sent = 0;
        loop {
            let fresh: Vec<Part> = parts.borrow_and_update()[sent..].to_vec();
            sent += fresh.len();
            for part in fresh {
                let ends = matches!(part, Part::End(_));
                let Some(part) = skip_events(part, after) else {
                    continue;
                };
                if sender.send(part).await.is_err() || ends {
                    return;
                }
            }
            tokio::select! {
                changed = parts.changed() => if changed.is_err() { return },
                () = sender.closed() => return,
            }
        }
    }
}

/// Takes the events up to `after` out of a part; `None` if nothing is left.
fn skip_events(part: Part, after: u64) -> Option<Part> {
    match part {
        Part::Data(_, last) if last > 0 && last <= after => None,
        Part::Data(bytes, last) if last > 0 && after > 0 => {
            Some(Part::Data(sse::events_after(&bytes, after), last))
        }
        other => Some(other),
    }
}

/// The answers that are kept, by key.
#[derive(Debug)]
pub(crate) struct Answers {
    kept: Mutex<Kept>,
    limit: usize,
}

#[derive(Debug, Default)]
struct Kept {
    by_key: HashMap<Key, Arc<Answer>>,
    finished: VecDeque<(Key, Request, usize)>,
    bytes: usize,
}

/// An answer found or begun.
pub(crate) enum Entry {
    /// The key has an answer here.
    Found(Arc<Answer>),
    /// The key had none; this one has begun.
    Begun(Arc<Answer>),
}

impl Answers {
    /// Makes room for answers of `limit` bytes.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            kept: Mutex::default(),
            limit,
        }
    }

    /// Finds a key's answer.
    pub(crate) fn get(&self, key: &Key) -> Option<Arc<Answer>> {
        lock(&self.kept).by_key.get(key).cloned()
    }

    /// Finds a key's answer or begins one for `request`.
    pub(crate) fn entry(&self, key: Key, request: &Request) -> Entry {
        let mut kept = lock(&self.kept);
        if let Some(answer) = kept.by_key.get(&key) {
            return Entry::Found(Arc::clone(answer));
        }
        let answer = Arc::new(Answer::new(request.clone()));
        kept.by_key.insert(key, Arc::clone(&answer));
        Entry::Begun(answer)
    }

    /// Forgets a key's answer, so that the key may be tried again.
    pub(crate) fn remove(&self, key: &Key, request: &Request) {
        let mut kept = lock(&self.kept);
        let same = kept
            .by_key
            .get(key)
            .is_some_and(|answer| answer.request == *request);
        if same {
            kept.by_key.remove(key);
        }
    }

    /// Says that a key's answer is whole. The oldest whole ones make room for it.
    pub(crate) fn finished(&self, key: Key, answer: &Answer) {
        let mut kept = lock(&self.kept);
        let bytes = answer.bytes();
        kept.bytes += bytes;
        kept.finished
            .push_back((key, answer.request.clone(), bytes));
        while kept.bytes > self.limit {
            let Some((old, request, size)) = kept.finished.pop_front() else {
                break;
            };
            kept.bytes -= size;
            let same = kept
                .by_key
                .get(&old)
                .is_some_and(|answer| answer.request == request);
            if same {
                kept.by_key.remove(&old);
            }
        }
    }

    /// Returns the number of answers kept or on their way.
    pub(crate) fn len(&self) -> usize {
        lock(&self.kept).by_key.len()
    }
}
