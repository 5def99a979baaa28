//! The requests of which there is news, until it is told.

use std::collections::HashSet;
use std::sync::Mutex;

use ploverwick_quarantine::Fingerprint;
use tokio::sync::Notify;

/// The requests of which there is news.
#[derive(Debug, Default)]
pub(crate) struct QuarantineUpdates {
    waiting: Mutex<HashSet<Fingerprint>>,
    added: Notify,
}

impl QuarantineUpdates {
    /// Says that what is counted against a request has changed here.
    pub(crate) fn add(&self, fingerprint: Fingerprint) {
        let mut waiting = self.waiting.lock().expect("no holder of the lock panics");
        waiting.insert(fingerprint);
        self.added.notify_one();
    }

    /// Waits until something was added.
    pub(crate) async fn added(&self) {
        self.added.notified().await;
    }

    /// Takes all that waits to be told.
    pub(crate) fn take(&self) -> HashSet<Fingerprint> {
        let mut waiting = self.waiting.lock().expect("no holder of the lock panics");
        std::mem::take(&mut waiting)
    }
}
