//! Responses in transit to callers, and the cache of responses for repeated idempotency keys.

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

/// The maximum number of parts buffered for a slow caller before backpressure reaches the endpoint.
pub(crate) const PART_CHANNEL_CAPACITY: usize = 64;

/// The assumed overhead of a cached response, so that the number of empty ones is bounded too.
const RESPONSE_OVERHEAD_BYTES: usize = 512;

/// The head of a response.
#[derive(Debug, Clone)]
pub(crate) struct Head {
    /// The HTTP status.
    pub(crate) status: u16,
    /// The content type.
    pub(crate) content_type: String,
    /// The model that responded, for a request to a model.
    pub(crate) model: Option<String>,
}

/// A part of a response.
#[derive(Debug, Clone)]
pub(crate) enum Part {
    /// The head.
    Head(Head),
    /// Bytes, which are whole events if the response is a stream, and the ID of the last event.
    Data(Bytes, u64),
    /// The end.
    End(Verdict),
}

/// The error returned when the receiver of a response has disconnected.
#[derive(Debug)]
pub(crate) struct Disconnected;

/// The destination of a response.
#[derive(Debug)]
pub(crate) enum Sink {
    /// The caller that waits for the response.
    Direct(mpsc::Sender<Part>),
    /// A cached response, which is filled whether or not it is being read.
    Cached(Arc<CachedResponse>),
}

impl Sink {
    /// Forwards a part.
    ///
    /// # Errors
    /// Returns an error if the receiver has disconnected.
    pub(crate) async fn send(&self, part: Part) -> Result<(), Disconnected> {
        match self {
            Self::Direct(sender) => sender.send(part).await.map_err(|_| Disconnected),
            Self::Cached(response) => {
                response.push(part);
                Ok(())
            }
        }
    }

    /// Waits until the receiver has disconnected.
    pub(crate) async fn disconnected(&self) {
        match self {
            Self::Direct(sender) => sender.closed().await,
            Self::Cached(_) => std::future::pending().await,
        }
    }
}

/// A response that is cached in full.
#[derive(Debug)]
pub(crate) struct CachedResponse {
    /// The request that it belongs to.
    pub(crate) request: Request,
    parts: watch::Sender<Vec<Part>>,
}

impl CachedResponse {
    fn new(request: Request) -> Self {
        Self {
            request,
            parts: watch::Sender::new(Vec::new()),
        }
    }

    fn push(&self, part: Part) {
        self.parts.send_modify(|parts| {
            // Parts after the end are ignored.
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
        RESPONSE_OVERHEAD_BYTES + sizes.sum::<usize>()
    }

    /// Returns the verdict if the response has ended with an error.
    fn failure(&self) -> Option<Verdict> {
        match self.parts.borrow().last() {
            Some(Part::End(verdict)) if verdict.code() != Code::Done => Some(verdict.clone()),
            _ => None,
        }
    }

    /// Copies the response to `sender` as it arrives, without the events up to `after`. If it has
    /// already failed, only its end is sent.
    pub(crate) async fn read(&self, after: u64, sender: mpsc::Sender<Part>) {
        if let Some(verdict) = self.failure() {
            // The receiver may have disconnected.
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

/// Removes the events up to `after` from a part; returns `None` if nothing is left.
fn skip_events(part: Part, after: u64) -> Option<Part> {
    match part {
        Part::Data(_, last) if last > 0 && last <= after => None,
        Part::Data(bytes, last) if last > 0 && after > 0 => {
            Some(Part::Data(sse::events_after(&bytes, after), last))
        }
        other => Some(other),
    }
}

/// The cache of responses by idempotency key.
#[derive(Debug)]
pub(crate) struct ResponseCache {
    entries: Mutex<Entries>,
    limit: usize,
}

#[derive(Debug, Default)]
struct Entries {
    by_key: HashMap<Key, Arc<CachedResponse>>,
    finished: VecDeque<(Key, Request, usize)>,
    bytes: usize,
}

/// The result of looking up a key.
pub(crate) enum Lookup {
    /// The key already has a response.
    Found(Arc<CachedResponse>),
    /// The key had no response; an empty one was inserted for the caller to fill.
    Started(Arc<CachedResponse>),
}

impl ResponseCache {
    /// Creates a cache for completed responses of `limit` bytes in total.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            entries: Mutex::default(),
            limit,
        }
    }

    /// Returns the response for a key.
    pub(crate) fn get(&self, key: &Key) -> Option<Arc<CachedResponse>> {
        lock(&self.entries).by_key.get(key).cloned()
    }

    /// Returns the response for a key, or inserts an empty one for `request`.
    pub(crate) fn entry(&self, key: Key, request: &Request) -> Lookup {
        let mut entries = lock(&self.entries);
        if let Some(response) = entries.by_key.get(&key) {
            return Lookup::Found(Arc::clone(response));
        }
        let response = Arc::new(CachedResponse::new(request.clone()));
        entries.by_key.insert(key, Arc::clone(&response));
        Lookup::Started(response)
    }

    /// Removes the response to `request`, so that the key can be used again.
    pub(crate) fn remove(&self, key: &Key, request: &Request) {
        let mut entries = lock(&self.entries);
        let same = entries
            .by_key
            .get(key)
            .is_some_and(|response| response.request == *request);
        if same {
            entries.by_key.remove(key);
        }
    }

    /// Marks a response as complete, and evicts the oldest complete ones if the cache is full.
    pub(crate) fn finished(&self, key: Key, response: &CachedResponse) {
        let mut entries = lock(&self.entries);
        let bytes = response.bytes();
        entries.bytes += bytes;
        entries
            .finished
            .push_back((key, response.request.clone(), bytes));
        while entries.bytes > self.limit {
            let Some((old, request, size)) = entries.finished.pop_front() else {
                break;
            };
            entries.bytes -= size;
            let same = entries
                .by_key
                .get(&old)
                .is_some_and(|response| response.request == request);
            if same {
                entries.by_key.remove(&old);
            }
        }
    }

    /// Returns the number of responses, including incomplete ones.
    pub(crate) fn len(&self) -> usize {
        lock(&self.entries).by_key.len()
    }
}
