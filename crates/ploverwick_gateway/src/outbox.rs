//! Changes at endpoints that are gathered for a moment before they are told.
//!
//! A placer tells each change to all instances of its failure domain: in one message with others it
//! costs a fraction. A load that is complete is told at once, as requests wait for it.

use std::sync::{Mutex, MutexGuard};

use tokio::sync::Notify;

use crate::messages::{Change, ChangeKind};

/// Changes in one message.
const MAX_CHANGES_PER_MESSAGE: usize = 24;

/// Changes that wait to be told.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    waiting: Mutex<Pending>,
    /// Says that something waits.
    added: Notify,
}

/// What waits, by who is to hear it.
#[derive(Debug, Default)]
pub(crate) struct Pending {
    /// Changes in this failure domain, for its own instances.
    pub(crate) local: Vec<Change>,
    /// The same, for the placers of other failure domains.
    pub(crate) remote: Vec<Change>,
    /// Changes elsewhere, for the instances of this failure domain.
    pub(crate) relayed: Vec<Change>,
}

impl Outbox {
    /// Adds a change at an endpoint of this failure domain; returns whether what waits for the own
    /// domain should be told now.
    pub(crate) fn add(&self, change: Change) -> bool {
        let is_urgent = change.kind == ChangeKind::Loaded;
        self.added.notify_one();
        let mut waiting = self.lock();
        waiting.remote.push(change.clone());
        waiting.local.push(change);
        is_urgent || waiting.local.len() >= MAX_CHANGES_PER_MESSAGE
    }

    /// Adds changes that a placer of another failure domain told.
    pub(crate) fn relay(&self, changes: &[Change]) {
        self.added.notify_one();
        self.lock().relayed.extend_from_slice(changes);
    }

    /// Waits until a change was added.
    pub(crate) async fn added(&self) {
        self.added.notified().await;
    }

    /// Takes what waits for the own failure domain.
    pub(crate) fn take_local(&self) -> Vec<Change> {
        std::mem::take(&mut self.lock().local)
    }

    /// Takes all that waits.
    pub(crate) fn take(&self) -> Pending {
        std::mem::take(&mut self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, Pending> {
        self.waiting.lock().expect("no holder of the lock panics")
    }
}

/// Cuts changes into lists that fit into a message each.
pub(crate) fn batches(changes: Vec<Change>) -> impl Iterator<Item = Vec<Change>> {
    let mut rest = changes;
    std::iter::from_fn(move || {
        let after = rest.split_off(rest.len().min(MAX_CHANGES_PER_MESSAGE));
        let list = std::mem::replace(&mut rest, after);
        (!list.is_empty()).then_some(list)
    })
}
