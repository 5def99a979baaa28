//! Changes at endpoints that are gathered for a moment before they are told.
//!
//! A placer tells each change to all instances of its failure domain: in one message with others it
//! costs a fraction. A load that is complete is told at once, as requests wait for it.

use std::sync::{Mutex, MutexGuard};

use tokio::sync::Notify;

use crate::mail::{Change, Fate};

/// Changes in one message.
const MOST: usize = 24;

/// Changes that wait to be told.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    waiting: Mutex<Waiting>,
    /// Says that something waits.
    added: Notify,
}

/// What waits, by who is to hear it.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    /// Changes in this failure domain, for its own instances.
    pub(crate) near: Vec<Change>,
    /// The same, for the placers of other failure domains.
    pub(crate) far: Vec<Change>,
    /// Changes elsewhere, for the instances of this failure domain.
    pub(crate) passed_on: Vec<Change>,
}

impl Outbox {
    /// Adds a change at an endpoint of this failure domain; returns whether what waits for the own
    /// domain should be told now.
    pub(crate) fn add(&self, change: Change) -> bool {
        let is_urgent = change.fate == Fate::Loaded;
        self.added.notify_one();
        let mut waiting = self.lock();
        waiting.far.push(change.clone());
        waiting.near.push(change);
        is_urgent || waiting.near.len() >= MOST
    }

    /// Adds changes that a placer of another failure domain told.
    pub(crate) fn pass_on(&self, changes: &[Change]) {
        self.added.notify_one();
        self.lock().passed_on.extend_from_slice(changes);
    }

    /// Waits until a change was added.
    pub(crate) async fn added(&self) {
        self.added.notified().await;
    }

    /// Takes what waits for the own failure domain.
    pub(crate) fn take_near(&self) -> Vec<Change> {
        std::mem::take(&mut self.lock().near)
    }

    /// Takes all that waits.
    pub(crate) fn take(&self) -> Waiting {
        std::mem::take(&mut self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().expect("no holder of the lock panics")
    }
}

/// Cuts changes into lists that fit into a message each.
pub(crate) fn cut(changes: Vec<Change>) -> impl Iterator<Item = Vec<Change>> {
    let mut rest = changes;
    std::iter::from_fn(move || {
        let after = rest.split_off(rest.len().min(MOST));
        let list = std::mem::replace(&mut rest, after);
        (!list.is_empty()).then_some(list)
    })
}
