//! The claim partitions of which this daemon is the scribe, and the channels to their tasks.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Mutex;

use ploverwick_claims::scribe::{ClaimRequest, Outcome};
use ploverwick_names::Request;
use tokio::sync::{mpsc, oneshot};

use crate::lock::lock;

/// The maximum number of claims queued for a scribe.
const MAX_QUEUED_CLAIMS: usize = 1024;

/// A claim queued for a scribe, with the channel for its outcome.
pub(crate) struct PendingClaim {
    pub(crate) claim: ClaimRequest,
    pub(crate) reply: oneshot::Sender<Outcome>,
}

/// The partitions of which this daemon is the scribe.
#[derive(Debug, Default)]
pub(crate) struct Scribes {
    tasks: Mutex<HashMap<u32, mpsc::Sender<PendingClaim>>>,
    abandoned: Mutex<AbandonedRequests>,
}

/// Requests of this process that have not run and never will, up to a fixed number. For older ones
/// the daemon reports that the response is lost, which is safe.
#[derive(Debug, Default)]
struct AbandonedRequests {
    known: HashSet<Request>,
    order: VecDeque<Request>,
}

impl AbandonedRequests {
    /// The maximum number of requests kept.
    const MAX_REQUESTS: usize = 16_384;

    fn insert(&mut self, request: &Request) {
        if !self.known.insert(request.clone()) {
            return;
        }
        self.order.push_back(request.clone());
        if self.order.len() > Self::MAX_REQUESTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }
}

impl Scribes {
    /// Ends the tasks of all partitions.
    pub(crate) fn close(&self) {
        lock(&self.tasks).clear();
    }

    /// Returns the number of partitions of which this daemon is the scribe.
    pub(crate) fn len(&self) -> usize {
        lock(&self.tasks).len()
    }

    /// Returns the channel to the scribe of a partition. If its task is not running, also returns the
    /// receiver, and the caller must start the task.
    pub(crate) fn open(
        &self,
        partition: u32,
    ) -> (
        mpsc::Sender<PendingClaim>,
        Option<mpsc::Receiver<PendingClaim>>,
    ) {
        let mut tasks = lock(&self.tasks);
        if let Some(task) = tasks.get(&partition).filter(|task| !task.is_closed()) {
            return (task.clone(), None);
        }
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_CLAIMS);
        tasks.insert(partition, sender.clone());
        (sender, Some(receiver))
    }

    /// Records that a request of this process has not run and never will.
    pub(crate) fn abandon(&self, request: &Request) {
        lock(&self.abandoned).insert(request);
    }

    /// Returns whether a request of this process was abandoned.
    pub(crate) fn is_abandoned(&self, request: &Request) -> bool {
        lock(&self.abandoned).known.contains(request)
    }
}
