//! The partitions of claims of which this daemon is the scribe, and the channels to them.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Mutex;

use ploverwick_claims::scribe::{ClaimRequest, Outcome};
use ploverwick_names::Request;
use tokio::sync::{mpsc, oneshot};

use crate::lock::lock;

/// How many claims may wait for a scribe.
const ASKS: usize = 1024;

/// A claim on its way to a scribe.
pub(crate) struct Asked {
    pub(crate) ask: ClaimRequest,
    pub(crate) answer: oneshot::Sender<Outcome>,
}

/// The partitions of which this daemon is the scribe.
#[derive(Debug, Default)]
pub(crate) struct Scribes {
    tasks: Mutex<HashMap<u32, mpsc::Sender<Asked>>>,
    given_up: Mutex<GivenUp>,
}

/// Requests of this life that never ran and never will, up to a fixed number. For an older one
/// the entry says that the answer is lost, which is safe.
#[derive(Debug, Default)]
struct GivenUp {
    known: HashSet<Request>,
    order: VecDeque<Request>,
}

impl GivenUp {
    /// The most requests remembered.
    const MOST: usize = 16_384;

    fn insert(&mut self, request: &Request) {
        if !self.known.insert(request.clone()) {
            return;
        }
        self.order.push_back(request.clone());
        if self.order.len() > Self::MOST
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

    /// Returns the channel to the scribe of a partition; with the receiver if its task must be started.
    pub(crate) fn open(
        &self,
        partition: u32,
    ) -> (mpsc::Sender<Asked>, Option<mpsc::Receiver<Asked>>) {
        let mut tasks = lock(&self.tasks);
        if let Some(task) = tasks.get(&partition).filter(|task| !task.is_closed()) {
            return (task.clone(), None);
        }
        let (sender, asks) = mpsc::channel(ASKS);
        tasks.insert(partition, sender.clone());
        (sender, Some(asks))
    }

    /// Remembers that a request of this life never ran and never will.
    pub(crate) fn give_up(&self, request: &Request) {
        lock(&self.given_up).insert(request);
    }

    /// Says whether a request of this life was given up.
    pub(crate) fn gave_up(&self, request: &Request) -> bool {
        lock(&self.given_up).known.contains(request)
    }
}
