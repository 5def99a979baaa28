//! The requests whose quarantine entries have changed, until peers have been sent the changes.

use std::collections::HashSet;
use std::sync::Mutex;

use ploverwick_quarantine::Fingerprint;
use tokio::sync::Notify;

/// The requests whose quarantine entries have changed.
#[derive(Debug, Default)]
pub(crate) struct QuarantineUpdates {
    pending: Mutex<HashSet<Fingerprint>>,
    added: Notify,
}

impl QuarantineUpdates {
    /// Adds a request whose entry has changed at this instance.
    pub(crate) fn add(&self, fingerprint: Fingerprint) {
        let mut pending = self.pending.lock().expect("no holder of the lock panics");
        pending.insert(fingerprint);
        self.added.notify_one();
    }

    /// Waits until a request is added.
    pub(crate) async fn added(&self) {
        self.added.notified().await;
    }

    /// Removes and returns all pending requests.
    pub(crate) fn take(&self) -> HashSet<Fingerprint> {
        let mut pending = self.pending.lock().expect("no holder of the lock panics");
        std::mem::take(&mut pending)
    }
}
