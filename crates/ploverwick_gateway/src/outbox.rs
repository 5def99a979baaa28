//! Changes at endpoints that are batched for a short time before they are sent.
//!
//! A placer sends each change to all instances of its failure domain, which is much cheaper in one message
//! with other changes. A completed load is sent immediately, because requests wait for it.

use std::sync::{Mutex, MutexGuard};

use tokio::sync::Notify;

use crate::messages::{Change, ChangeKind};

/// The maximum number of changes in one message.
const MAX_CHANGES_PER_MESSAGE: usize = 24;

/// Changes that wait to be sent.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    pending: Mutex<Pending>,
    /// Signals that a change was added.
    added: Notify,
}

/// The pending changes by recipient.
#[derive(Debug, Default)]
pub(crate) struct Pending {
    /// Changes in this failure domain, for its own instances.
    pub(crate) local: Vec<Change>,
    /// Changes in this failure domain, for the placers of other failure domains.
    pub(crate) remote: Vec<Change>,
    /// Changes in other failure domains, for the instances of this one.
    pub(crate) relayed: Vec<Change>,
}

impl Outbox {
    /// Adds a change at an endpoint of this failure domain; returns whether the changes for this domain's
    /// instances should be sent now.
    pub(crate) fn add(&self, change: Change) -> bool {
        let is_urgent = change.kind == ChangeKind::Loaded;
        self.added.notify_one();
        let mut pending = self.lock();
        pending.remote.push(change.clone());
        pending.local.push(change);
        is_urgent || pending.local.len() >= MAX_CHANGES_PER_MESSAGE
    }

    /// Adds changes that the placer of another failure domain sent.
    pub(crate) fn relay(&self, changes: &[Change]) {
        self.added.notify_one();
        self.lock().relayed.extend_from_slice(changes);
    }

    /// Waits until a change is added.
    pub(crate) async fn added(&self) {
        self.added.notified().await;
    }

    /// Removes and returns the changes for the instances of this failure domain.
    pub(crate) fn take_local(&self) -> Vec<Change> {
        std::mem::take(&mut self.lock().local)
    }

    /// Removes and returns all pending changes.
    pub(crate) fn take(&self) -> Pending {
        std::mem::take(&mut self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().expect("no holder of the lock panics")
    }
}

/// Splits changes into batches that fit into one message each.
pub(crate) fn batches(changes: Vec<Change>) -> impl Iterator<Item = Vec<Change>> {
    let mut remaining = changes;
    std::iter::from_fn(move || {
        let after = remaining.split_off(remaining.len().min(MAX_CHANGES_PER_MESSAGE));
        let batch = std::mem::replace(&mut remaining, after);
        (!batch.is_empty()).then_some(batch)
    })
}
