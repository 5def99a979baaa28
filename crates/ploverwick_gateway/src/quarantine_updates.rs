//! The requests and parts of prompts whose quarantine entries have changed, until peers have been sent the changes.

use std::collections::HashSet;
use std::sync::Mutex;

use ploverwick_quarantine::Fingerprint;
use ploverwick_quarantine::prompt::Part;
use tokio::sync::Notify;

/// What quarantine entries are about.
#[derive(Debug, Default)]
pub(crate) struct Subjects {
    pub(crate) requests: HashSet<Fingerprint>,
    pub(crate) parts: HashSet<Part>,
}

impl Subjects {
    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty() && self.parts.is_empty()
    }
}

/// The subjects whose quarantine entries have changed.
#[derive(Debug, Default)]
pub(crate) struct QuarantineUpdates {
    pending: Mutex<Subjects>,
    added: Notify,
}

impl QuarantineUpdates {
    /// Adds a request whose entry has changed at this instance.
    pub(crate) fn add(&self, fingerprint: Fingerprint) {
        self.update(|pending| pending.requests.insert(fingerprint));
    }

    /// Adds a part whose entry has changed at this instance.
    pub(crate) fn add_part(&self, part: Part) {
        self.update(|pending| pending.parts.insert(part));
    }

    /// Waits until a subject is added.
    pub(crate) async fn added(&self) {
        self.added.notified().await;
    }

    /// Removes and returns all pending subjects.
    pub(crate) fn take(&self) -> Subjects {
        let mut pending = self.pending.lock().expect("no holder of the lock panics");
        std::mem::take(&mut pending)
    }

    fn update(&self, insert: impl FnOnce(&mut Subjects) -> bool) {
        let mut pending = self.pending.lock().expect("no holder of the lock panics");
        insert(&mut pending);
        self.added.notify_one();
    }
}
